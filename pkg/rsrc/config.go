package rsrc

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// MaxRemovals is the largest number of removals that a configuration keeps. A
// replica whose version is older than the newest removal that was dropped needs
// a full copy.
const MaxRemovals = 1024

// Removal records the removal of a resource and the revision of that write.
type Removal struct {
	Key      Key
	Revision uint64
}

// hostAndPrefix holds the host, in lower case, and the path prefix of a route.
type hostAndPrefix struct{ host, prefix string }

// Config is a complete configuration: it contains every resource that its
// routes refer to. It is immutable and safe for concurrent use.
type Config struct {
	// version is the log index of the last write. It never decreases.
	version   uint64
	resources map[Key]Resource
	// removed is sorted by revision and has at most MaxRemovals entries.
	removed []Removal
	// floor is the oldest version from which a delta can be computed, which is
	// the revision of the newest removal that was dropped.
	floor uint64
	// routes is sorted by decreasing prefix length, so that the first match is
	// the most specific.
	routes []Route
	// byHost holds the routes of each host, in the same order. Hosts are in lower case.
	// Routes for any host are stored under the empty host.
	byHost map[string][]Route
	// routesByHostPrefix maps a host and prefix to the name of the first route
	// with them.
	routesByHostPrefix map[hostAndPrefix]string
	// accounts is sorted by name.
	accounts []Account
	// accountsByKey maps the digest of each key to the index in accounts of the first
	// account with that key.
	accountsByKey map[KeyDigest]int
	// evacuations holds the latest order on each zone that ever had one.
	evacuations map[string]Evacuation
	// digest is the sum of the hashes of all keys and revisions.
	digest uint64
}

// EmptyConfig returns a configuration without resources, at version zero.
func EmptyConfig() *Config { return &Config{resources: map[Key]Resource{}} }

// Version returns the log index of the last write.
func (config *Config) Version() uint64 { return config.version }

// Digest returns a hash of all keys and revisions. Configurations with the same
// version and the same digest are taken to be equal.
func (config *Config) Digest() uint64 { return config.digest }

// Floor returns the oldest version from which DeltaSince can compute a delta.
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

// Removed returns the removals that are kept, oldest first.
func (config *Config) Removed() []Removal { return config.removed }

// Routes returns all routes, sorted by decreasing prefix length.
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

// Witnesses returns the placements of the deduplication witnesses.
func (config *Config) Witnesses() (Witnesses, bool) {
	return lookup[Witnesses](config, WitnessesKey())
}

// Account returns the named account.
func (config *Config) Account(name string) (Account, bool) {
	return lookup[Account](config, AccountKey(name))
}

// Accounts returns all accounts, sorted by name.
func (config *Config) Accounts() []Account { return config.accounts }

// AccountWithKey returns the account that has the key with the given digest. The time
// does not depend on the number of accounts and keys.
func (config *Config) AccountWithKey(digest KeyDigest) (Account, bool) {
	i, ok := config.accountsByKey[digest]
	if !ok {
		return Account{}, false
	}
	return config.accounts[i], true
}

// UpstreamVersion returns the named version of a service.
func (config *Config) UpstreamVersion(service, name string) (Version, bool) {
	return lookup[Version](config, VersionKey(service, name))
}

// Match returns the most specific route for a host, in lower case, and path. Routes for the
// given host take precedence over routes for any host.
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

// duplicateRoute returns the name of another route with the same host and
// prefix.
func (config *Config) duplicateRoute(route Route) (string, bool) {
	other := config.routesByHostPrefix[hostAndPrefix{strings.ToLower(route.Host()), route.prefix}]
	return other, other != "" && other != route.name
}

// ServiceRollout returns the latest rollout of a whole service.
func (config *Config) ServiceRollout(service string) (Rollout, bool) {
	return lookup[Rollout](config, ServiceRolloutKey(service))
}

// Rollouts returns the latest rollout of each route and service that has one, sorted by
// key.
func (config *Config) Rollouts() []Rollout {
	var rollouts []Rollout
	for _, resource := range config.resources {
		if rollout, ok := resource.(Rollout); ok {
			rollouts = append(rollouts, rollout)
		}
	}
	slices.SortFunc(rollouts, func(a, b Rollout) int { return strings.Compare(a.Subject(), b.Subject()) })
	return rollouts
}

// OpenRollouts returns the rollouts that have not ended, sorted by key.
func (config *Config) OpenRollouts() []Rollout {
	return slices.DeleteFunc(config.Rollouts(), func(rollout Rollout) bool { return rollout.LatestStep().State.Ended() })
}

// Edition returns the edition that was set by the last replacement of the whole
// configuration.
func (config *Config) Edition() (Edition, bool) {
	return lookup[Edition](config, EditionKey())
}

// Change is a set of writes that is applied atomically: all of them or none.
type Change struct {
	Put    []Resource
	Remove []Key
}

// Apply returns a new configuration with the change applied and the given
// version, or the first validation error. It does not modify the receiver.
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
		if key.Kind() == KindEvacuation {
			return nil, validationError(key, "", "an evacuation can be finished but not removed")
		}
		delete(next.resources, key)
		next.removed = append(next.removed, Removal{Key: key, Revision: version})
	}
	return next, next.close()
}

// Restore returns a configuration with the given stored contents, or an error
// if they are invalid.
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

// close completes a configuration after its fields have been set: it drops the
// oldest removals, builds the indexes and validates all resources.
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

// firstError returns the first validation error in the order of the keys, so
// that every replica returns the same error.
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
	config.evacuations = map[string]Evacuation{}
	for key, resource := range config.resources {
		hash.Reset()
		_, _ = fmt.Fprintf(hash, "%s@%d", key, resource.Revision())
		config.digest += hash.Sum64()
		switch value := resource.(type) {
		case Route:
			config.routes = append(config.routes, value)
		case Account:
			config.accounts = append(config.accounts, value)
		case Evacuation:
			config.evacuations[value.zone] = value
		}
	}
	config.indexAccounts()
	slices.SortFunc(config.routes, func(a, b Route) int {
		if len(a.prefix) != len(b.prefix) {
			return len(b.prefix) - len(a.prefix)
		}
		return strings.Compare(a.name, b.name)
	})
	config.byHost = map[string][]Route{}
	config.routesByHostPrefix = make(map[hostAndPrefix]string, len(config.routes))
	for _, route := range config.routes {
		host := strings.ToLower(route.Host())
		config.byHost[host] = append(config.byHost[host], route)
		match := hostAndPrefix{host, route.prefix}
		if config.routesByHostPrefix[match] == "" {
			config.routesByHostPrefix[match] = route.name
		}
	}
}

// indexAccounts sorts the accounts and builds the index of their keys.
func (config *Config) indexAccounts() {
	slices.SortFunc(config.accounts, func(a, b Account) int { return strings.Compare(a.name, b.name) })
	config.accountsByKey = map[KeyDigest]int{}
	for i, account := range config.accounts {
		for _, digest := range account.digests {
			if _, taken := config.accountsByKey[digest]; !taken {
				config.accountsByKey[digest] = i
			}
		}
	}
}

// Delta holds the changes from the version From to the version To of a
// configuration. From is zero if it holds a full copy. Floor and Digest are
// those of the configuration at version To.
type Delta struct {
	From    uint64
	To      uint64
	Floor   uint64
	Digest  uint64
	Put     []Resource
	Removed []Removal
}

// DeltaSince returns the changes since the version from. It returns a full copy
// if from is zero, below the floor, or above the current version.
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

// Merge returns a new configuration with a delta applied. A full copy replaces
// all resources. Merge does not modify the receiver. It returns a
// ValidationError in these cases:
//   - the delta starts after the current version,
//   - the delta does not end after the current version,
//   - the result is invalid,
//   - the result does not have the digest that the delta states.
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
