package rsrc

import (
	"strings"
	"time"
)

// Limits and default of a route's timeout.
const (
	DefaultTimeout = 10 * time.Second
	MinTimeout     = time.Millisecond
	MaxTimeout     = 10 * time.Minute
)

// CallKind tells whether a call on a route may run more than once.
type CallKind string

// The kinds of call.
const (
	// CallByMethod follows the idempotence of the HTTP method.
	CallByMethod CallKind = ""
	// CallIdempotent may run more than once, whatever its method.
	CallIdempotent CallKind = "idempotent"
	// CallNonIdempotent may run at most once, whatever its method.
	CallNonIdempotent CallKind = "nonIdempotent"
)

// WeightedService is one service's part of a split route.
type WeightedService struct {
	Service string
	// Weight is the part's share in proportion to the sum of all weights.
	Weight int
}

// RouteOptions are the parts of a route that may be left out.
type RouteOptions struct {
	// Host narrows the route to calls for one host; empty means any.
	Host string
	Kind CallKind
	// Split divides the calls over services; it replaces the route's service.
	Split []WeightedService
	// MaxAttempts bounds the targets that one call is sent to; zero leaves it
	// to the nodes.
	MaxAttempts int
	// Objective is the time within which an answer has its full worth; zero
	// means the timeout.
	Objective time.Duration
	// Priority ranks the route's calls when there is not room for all; 0 comes
	// first.
	Priority int
}

// Route sends the calls under a path prefix to a version of a service.
type Route struct {
	name     string
	revision uint64
	service  string
	// prefix starts with a slash and is unique among the routes of a host.
	prefix string
	// version names the stable version; a rollout may send a share elsewhere.
	// It is empty on a route that follows the rollouts of whole services.
	version string
	// timeout is within MinTimeout and MaxTimeout.
	timeout time.Duration
	// options.Split is never changed after the route was made.
	options RouteOptions
}

// NewRoute returns a route; a zero timeout means DefaultTimeout.
func NewRoute(name, service, prefix, version string, timeout time.Duration) Route {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return Route{name: name, service: service, prefix: prefix, version: version, timeout: timeout}
}

// WithOptions returns the route with other options.
func (route Route) WithOptions(options RouteOptions) Route {
	route.options = options
	return route
}

// RouteKey returns the key of the named route.
func RouteKey(name string) Key { return NewKey(KindRoute, name) }

// Name returns the route's name.
func (route Route) Name() string { return route.name }

// Service returns the service the route leads to.
func (route Route) Service() string { return route.service }

// Prefix returns the path prefix whose calls the route takes.
func (route Route) Prefix() string { return route.prefix }

// Version returns the stable version.
func (route Route) Version() string { return route.version }

// Options returns the parts of the route that may be left out.
func (route Route) Options() RouteOptions { return route.options }

// Host returns the host whose calls the route takes, empty for any.
func (route Route) Host() string { return route.options.Host }

// Kind returns whether the route's calls may run more than once.
func (route Route) Kind() CallKind { return route.options.Kind }

// MaxAttempts bounds the targets of one call; zero leaves it to the nodes.
func (route Route) MaxAttempts() int { return route.options.MaxAttempts }

// Priority returns the rank of the route's calls; 0 comes first.
func (route Route) Priority() int { return route.options.Priority }

// Objective returns the time within which an answer has its full worth.
func (route Route) Objective() time.Duration {
	if route.options.Objective > 0 {
		return min(route.options.Objective, route.timeout)
	}
	return route.timeout
}

// WeightedServices returns the services that the route leads to, with their weights.
func (route Route) WeightedServices() []WeightedService {
	if len(route.options.Split) > 0 {
		return route.options.Split
	}
	return []WeightedService{{Service: route.service, Weight: 1}}
}

// Timeout returns the longest time a call on the route may take.
func (route Route) Timeout() time.Duration { return route.timeout }

// WithVersion returns the route with another stable version.
func (route Route) WithVersion(version string) Route {
	route.version = version
	return route
}

// Key returns the route's identity.
func (route Route) Key() Key { return RouteKey(route.name) }

// Revision returns the log index of the route's last write.
func (route Route) Revision() uint64 { return route.revision }

// WithRevision returns the route under another revision.
func (route Route) WithRevision(revision uint64) Resource {
	route.revision = revision
	return route
}

// Matches reports whether path lies under the route's prefix; a prefix ends
// at a path segment.
func (route Route) Matches(path string) bool {
	if !strings.HasPrefix(path, route.prefix) {
		return false
	}
	if len(path) == len(route.prefix) || strings.HasSuffix(route.prefix, "/") {
		return true
	}
	return path[len(route.prefix)] == '/' || path[len(route.prefix)] == '?'
}

func (route Route) check(config *Config) error {
	key := route.Key()
	if err := checkName(key, "name", route.name); err != nil {
		return err
	}
	if err := route.checkServices(config); err != nil {
		return err
	}
	if !strings.HasPrefix(route.prefix, "/") {
		return validationError(key, "prefix", "must start with /, is %q", route.prefix)
	}
	if route.timeout < MinTimeout || route.timeout > MaxTimeout {
		return validationError(key, "timeout", "must be from %s to %s, is %s", MinTimeout, MaxTimeout, route.timeout)
	}
	if other, ok := config.duplicateRoute(route); ok {
		return validationError(key, "prefix", "route %q has the same host and prefix %q", other, route.prefix)
	}
	return route.options.check(key)
}

// checkServices wants every service and version that the route leads to.
func (route Route) checkServices(config *Config) error {
	key, total := route.Key(), 0
	for _, weighted := range route.WeightedServices() {
		if _, ok := config.Service(weighted.Service); !ok {
			return validationError(key, "service", "service %q does not exist", weighted.Service)
		}
		if weighted.Weight < 0 {
			return validationError(key, "split", "the weight of %q must not be negative, is %d", weighted.Service, weighted.Weight)
		}
		total += weighted.Weight
	}
	if total == 0 {
		return validationError(key, "split", "the weights add up to 0")
	}
	if route.version == "" {
		return nil
	}
	if len(route.options.Split) > 0 {
		return validationError(key, "version", "a split route names no version")
	}
	if _, ok := config.UpstreamVersion(route.service, route.version); !ok {
		return validationError(key, "version", "version %q of service %q does not exist", route.version, route.service)
	}
	return nil
}

func (options RouteOptions) check(key Key) error {
	switch {
	case options.Kind != CallByMethod && options.Kind != CallIdempotent && options.Kind != CallNonIdempotent:
		return validationError(key, "kind", "%q is unknown: use idempotent or nonIdempotent", options.Kind)
	case options.MaxAttempts < 0:
		return validationError(key, "maxAttempts", "must not be negative, is %d", options.MaxAttempts)
	case options.Priority < 0:
		return validationError(key, "priority", "must not be negative, is %d", options.Priority)
	case options.Objective < 0:
		return validationError(key, "objective", "must not be negative, is %s", options.Objective)
	default:
		return nil
	}
}
