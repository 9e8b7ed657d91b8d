package rsrc

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxRemovals bounds how many removals a configuration remembers; a holder of
// a version older than the oldest remembered removal needs a full copy.
const MaxRemovals = 1024

// Removal records that a resource was removed.
type Removal struct {
	Key      Key
	Revision uint64
}

// hostPrefix is where a route takes calls.
type hostPrefix struct{ host, prefix string }

// Config is one closed configuration: every resource that any of its routes
// refers to is part of it. It is immutable and safe for concurrent use.
type Config struct {
	// version is the log index of the last write; it never falls.
	version   uint64
	resources map[Key]Resource
	// removed is sorted by revision, at most MaxRemoved long.
	removed []Removal
	// floor is the oldest version from which a delta can be made.
	floor uint64
	// routes is sorted by falling prefix length, so that the first match is
	// the most specific.
	routes []Route
	// byHost has the routes of each host, in the same order; the empty host
	// stands for any.
	byHost map[string][]Route
	// routesByHostPrefix maps host and prefix to the first route there.
	routesByHostPrefix map[hostPrefix]string
	// digest is the sum of the hashes of all keys and revisions.
	digest uint64
}

// EmptyConfig returns the configuration of version zero, without resources.
func EmptyConfig() *Config { return &Config{resources: map[Key]Resource{}} }

// Version returns the log index of the last write.
func (config *Config) Version() uint64 { return config.version }

// Digest returns a hash of all keys and revisions; two holders of one version
// with the same digest hold the same configuration.
func (config *Config) Digest() uint64 { return config.digest }

// Floor returns the oldest version from which DeltaSince can start.
func (config *Config) Floor() uint64 { return config.floor }

// Len returns the number of resources.
func (config *Config) Len() int { return len(config.resources) }

// Get returns the resource with the given key.
func (config *Config) Get(key Key) (Resource, bool) {
	resource, ok := config.resources[key]
	return resource, ok
}

// All returns every resource, sorted by key.
func (config *Config) All() []Resource {
	return slices.SortedFunc(maps.Values(config.resources), func(a, b Resource) int {
		return strings.Compare(a.Key().String(), b.Key().String())
	})
}

// Removed returns the remembered removals, oldest first.
func (config *Config) Removed() []Removal { return config.removed }

// Routes returns all routes, longest prefix first.
func (config *Config) Routes() []Route { return config.routes }

func lookup[T Resource](config *Config, key Key) (T, bool) {
	resource, ok := config.resources[key].(T)
	return resource, ok
}

// Service returns the named service.
func (config *Config) Service(name string) (Service, bool) {
	return lookup[Service](config, NewKey(KindService, name))
}

// Route returns the named route.
func (config *Config) Route(name string) (Route, bool) {
	return lookup[Route](config, RouteKey(name))
}

// Rollout returns the latest rollout of the named route.
func (config *Config) Rollout(route string) (Rollout, bool) {
	return lookup[Rollout](config, RolloutKey(route))
}

// Witnesses returns the placement of deduplication claims.
func (config *Config) Witnesses() (Witnesses, bool) {
	return lookup[Witnesses](config, WitnessesKey())
}

// UpstreamVersion returns the named version of a service.
func (config *Config) UpstreamVersion(service, name string) (Version, bool) {
	return lookup[Version](config, VersionKey(service, name))
}

// Match returns the most specific route for a host and path. Routes of the
// host itself come before those of any host.
func (config *Config) Match(host, path string) (Route, bool) {
	for _, route := range config.byHost[host] {
		if route.Matches(path) {
			return route, true
		}
	}
	if host == "" {
		return Route{}, false
	}
	return config.Match("", path)
}

// duplicateRoute returns the name of another route with the same host and prefix.
func (config *Config) duplicateRoute(route Route) (string, bool) {
	other := config.routesByHostPrefix[hostPrefix{route.Host(), route.prefix}]
	return other, other != "" && other != route.name
}

// ServiceRollout returns the latest rollout of a whole service.
func (config *Config) ServiceRollout(service string) (Rollout, bool) {
	return lookup[Rollout](config, ServiceRolloutKey(service))
}

// OpenRollouts returns the rollouts that have not ended, sorted by key.
func (config *Config) OpenRollouts() []Rollout {
	var open []Rollout
	for _, resource := range config.resources {
		if rollout, ok := resource.(Rollout); ok && !rollout.LastStep().State.Ended() {
			open = append(open, rollout)
		}
	}
	slices.SortFunc(open, func(a, b Rollout) int { return strings.Compare(a.Subject(), b.Subject()) })
	return open
}

// Edition returns the mark of the last whole replacement.
func (config *Config) Edition() (Edition, bool) {
	return lookup[Edition](config, EditionKey())
}

// Change is a set of writes that is accepted or refused whole.
type Change struct {
	Put    []Resource
	Remove []Key
}

// Apply returns the configuration after the change under the given version,
// or the first fault; the receiver stays as it is.
func (config *Config) Apply(version uint64, change Change) (*Config, error) {
	if version <= config.version {
		return nil, &ValidationError{Path: "version", Reason: fmt.Sprintf("%d does not follow %d", version, config.version)}
	}
	next := &Config{
		version:   version,
		resources: maps.Clone(config.resources),
		removed:   slices.Clone(config.removed),
		floor:     config.floor,
	}
	for _, resource := range change.Put {
		next.resources[resource.Key()] = resource.WithRevision(version)
	}
	for _, key := range change.Remove {
		if _, ok := next.resources[key]; !ok {
			return nil, validationError(key, "", "does not exist")
		}
		delete(next.resources, key)
		next.removed = append(next.removed, Removal{Key: key, Revision: version})
	}
	return next, next.close()
}

// Restore rebuilds a configuration from its stored parts and checks it.
func Restore(version, floor uint64, resources []Resource, removed []Removal) (*Config, error) {
	config := &Config{version: version, floor: floor, resources: make(map[Key]Resource, len(resources)), removed: removed}
	for _, resource := range resources {
		if resource.Revision() == 0 || resource.Revision() > version {
			return nil, validationError(resource.Key(), "revision", "%d is not within 1 and version %d", resource.Revision(), version)
		}
		config.resources[resource.Key()] = resource
	}
	return config, config.close()
}

// close trims removals, builds the indexes and checks every rule.
func (config *Config) close() error {
	if extra := len(config.removed) - MaxRemovals; extra > 0 {
		config.floor = config.removed[extra-1].Revision
		config.removed = config.removed[extra:]
	}
	config.buildIndexes()
	for _, resource := range config.resources {
		if resource.check(config) != nil {
			return config.firstError()
		}
	}
	return nil
}

// firstError returns the same fault on every replica.
func (config *Config) firstError() error {
	for _, resource := range config.All() {
		if err := resource.check(config); err != nil {
			return err
		}
	}
	return nil
}

func (config *Config) buildIndexes() {
	hash := xxhash.New()
	for key, resource := range config.resources {
		hash.Reset()
		_, _ = fmt.Fprintf(hash, "%s@%d", key, resource.Revision())
		config.digest += hash.Sum64()
		if route, ok := resource.(Route); ok {
			config.routes = append(config.routes, route)
		}
	}
	slices.SortFunc(config.routes, func(a, b Route) int {
		if len(a.prefix) != len(b.prefix) {
			return len(b.prefix) - len(a.prefix)
		}
		return strings.Compare(a.name, b.name)
	})
	config.byHost = map[string][]Route{}
	config.routesByHostPrefix = make(map[hostPrefix]string, len(config.routes))
	for _, route := range config.routes {
		config.byHost[route.Host()] = append(config.byHost[route.Host()], route)
		hostAndPrefix := hostPrefix{route.Host(), route.prefix}
		if config.routesByHostPrefix[hostAndPrefix] == "" {
			config.routesByHostPrefix[hostAndPrefix] = route.name
		}
	}
}

// Delta is what changed between two versions.
type Delta struct {
	From    uint64
	To      uint64
	Floor   uint64
	Digest  uint64
	Put     []Resource
	Removed []Removal
}

// DeltaSince returns what changed after version from; from zero gives a full
// copy, and so does a version below the floor.
func (config *Config) DeltaSince(from uint64) Delta {
	if from < config.floor || from > config.version {
		from = 0
	}
	delta := Delta{From: from, To: config.version, Floor: config.floor, Digest: config.digest}
	for _, resource := range config.All() {
		if resource.Revision() > from {
			delta.Put = append(delta.Put, resource)
		}
	}
	for _, removal := range config.removed {
		if removal.Revision > from {
			delta.Removed = append(delta.Removed, removal)
		}
	}
	return delta
}

// Merge returns the configuration after a delta, or a FaultError when the
// delta does not start at or below the present version, does not rise above
// it, or ends in another digest than stated. The receiver stays as it is.
func (config *Config) Merge(delta Delta) (*Config, error) {
	if delta.To <= config.version {
		return nil, &ValidationError{Path: "version", Reason: fmt.Sprintf("%d does not follow %d", delta.To, config.version)}
	}
	if delta.From > config.version {
		return nil, &ValidationError{Path: "from", Reason: fmt.Sprintf("the delta starts at %d, after %d", delta.From, config.version)}
	}
	resources := map[Key]Resource{}
	removed := []Removal{}
	if delta.From > 0 {
		resources = maps.Clone(config.resources)
		removed = slices.Clone(config.removed)
	}
	for _, removal := range delta.Removed {
		if current, ok := resources[removal.Key]; ok && current.Revision() < removal.Revision {
			delete(resources, removal.Key)
		}
		if !slices.Contains(removed, removal) {
			removed = append(removed, removal)
		}
	}
	for _, resource := range delta.Put {
		resources[resource.Key()] = resource
	}
	next, err := Restore(delta.To, delta.Floor, slices.Collect(maps.Values(resources)), removed)
	if err != nil {
		return nil, err
	}
	if next.digest != delta.Digest {
		return nil, &ValidationError{Path: "digest", Reason: fmt.Sprintf("is %x, the delta states %x", next.digest, delta.Digest)}
	}
	return next, nil
}
