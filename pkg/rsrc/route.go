package rsrc

import (
	"slices"
	"strings"
	"time"
)

// The default, minimum and maximum timeout of a route.
const (
	DefaultTimeout = 10 * time.Second
	MinTimeout     = time.Millisecond
	MaxTimeout     = 10 * time.Minute
)

// CallKind specifies whether a call on a route may be executed more than once.
type CallKind string

// The kinds of calls.
const (
	// CallByMethod means that the HTTP method determines whether the call is
	// idempotent.
	CallByMethod CallKind = ""
	// CallIdempotent allows more than one execution, regardless of the method.
	CallIdempotent CallKind = "idempotent"
	// CallNonIdempotent allows at most one execution, regardless of the method.
	CallNonIdempotent CallKind = "nonIdempotent"
	// CallUpload allows at most one execution, like CallNonIdempotent, and marks
	// calls with large bodies.
	CallUpload CallKind = "upload"
)

var callKinds = []CallKind{CallByMethod, CallIdempotent, CallNonIdempotent, CallUpload}

// WeightedService is one of the services of a split route, with its weight.
type WeightedService struct {
	Service string
	// Weight divided by the sum of all weights is the service's share of the
	// calls.
	Weight int
}

// RouteOptions holds the optional settings of a route.
type RouteOptions struct {
	// Host restricts the route to calls for one host; empty means any host.
	Host string
	Kind CallKind
	// Split distributes the calls over several services. If it is set, the
	// service of the route is not used.
	Split []WeightedService
	// MaxAttempts is the largest number of targets that one call is sent to;
	// zero means the default of the node.
	MaxAttempts int
	// Objective is the latency objective, the time within which a call should
	// be answered. Zero means the timeout.
	Objective time.Duration
	// Priority orders the calls under overload; 0 is the highest priority.
	Priority int
	// Public means that calls need no key of an account.
	Public bool
	// PublicStated is true if operators sent Public. It has no effect, except that
	// a read returns Public although it is false.
	PublicStated bool
}

// Route directs the calls with a path prefix to a version of a service.
type Route struct {
	name     string
	revision uint64
	service  string
	// prefix starts with a slash and is unique among the routes of a host.
	prefix string
	// version is the name of the stable version. A rollout may send a share of
	// the calls to another version. The field is empty on a split route, and on
	// a route whose version is determined by rollouts of the whole service.
	version string
	// timeout is within MinTimeout and MaxTimeout.
	timeout time.Duration
	// options.Split is not modified after the route was created.
	options RouteOptions
}

// NewRoute returns a route. A zero timeout means DefaultTimeout.
func NewRoute(name, service, prefix, version string, timeout time.Duration) Route {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return Route{name: name, service: service, prefix: prefix, version: version, timeout: timeout}
}

// WithOptions returns a copy of the route with the given options.
func (route Route) WithOptions(options RouteOptions) Route {
	route.options = options
	return route
}

// RouteKey returns the key of the named route.
func RouteKey(name string) Key { return NewKey(KindRoute, name) }

// Name returns the name of the route.
func (route Route) Name() string { return route.name }

// Service returns the name of the service to which the route directs calls.
func (route Route) Service() string { return route.service }

// Prefix returns the path prefix of the calls that the route handles.
func (route Route) Prefix() string { return route.prefix }

// Version returns the name of the stable version.
func (route Route) Version() string { return route.version }

// Options returns the optional settings of the route.
func (route Route) Options() RouteOptions { return route.options }

// Host returns the host of the calls that the route handles; empty means any
// host.
func (route Route) Host() string { return route.options.Host }

// Kind returns whether a call on the route may be executed more than once.
func (route Route) Kind() CallKind { return route.options.Kind }

// MaxAttempts returns the largest number of targets that one call is sent to;
// zero means the default of the node.
func (route Route) MaxAttempts() int { return route.options.MaxAttempts }

// Priority returns the priority of the calls; 0 is the highest.
func (route Route) Priority() int { return route.options.Priority }

// Public reports whether calls need no key of an account.
func (route Route) Public() bool { return route.options.Public }

// Objective returns the latency objective of the route, which is at most its
// timeout.
func (route Route) Objective() time.Duration {
	if route.options.Objective > 0 {
		return min(route.options.Objective, route.timeout)
	}
	return route.timeout
}

// WeightedServices returns the services to which the route directs calls, with
// their weights.
func (route Route) WeightedServices() []WeightedService {
	if len(route.options.Split) > 0 {
		return route.options.Split
	}
	return []WeightedService{{Service: route.service, Weight: 1}}
}

// Timeout returns the maximum duration of a call on the route.
func (route Route) Timeout() time.Duration { return route.timeout }

// WithVersion returns a copy of the route with another stable version.
func (route Route) WithVersion(version string) Route {
	route.version = version
	return route
}

// Key returns the key of the route.
func (route Route) Key() Key { return RouteKey(route.name) }

// Revision returns the log index of the last write of the route.
func (route Route) Revision() uint64 { return route.revision }

// WithRevision returns a copy of the route with the given revision.
func (route Route) WithRevision(revision uint64) Resource {
	route.revision = revision
	return route
}

// Matches reports whether path starts with the prefix of the route. The prefix
// matches whole path segments only: /a matches /a/b but not /ab.
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

// checkServices returns an error if a service or version of the route does not
// exist, or if the weights are invalid.
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
	case !slices.Contains(callKinds, options.Kind):
		return validationError(key, "kind", "%q is unknown: use idempotent, nonIdempotent or upload", options.Kind)
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
