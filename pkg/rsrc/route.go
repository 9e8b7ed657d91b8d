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

// Route sends the calls under a path prefix to a version of a service.
type Route struct {
	name     string
	revision uint64
	service  string
	// prefix starts with a slash and is unique among routes.
	prefix string
	// version names the stable version; a rollout may send a share elsewhere.
	version string
	// timeout is within MinTimeout and MaxTimeout.
	timeout time.Duration
}

// NewRoute returns a route; a zero timeout means DefaultTimeout.
func NewRoute(name, service, prefix, version string, timeout time.Duration) Route {
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	return Route{name: name, service: service, prefix: prefix, version: version, timeout: timeout}
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
	if _, ok := config.Service(route.service); !ok {
		return fault(key, "service", "service %q does not exist", route.service)
	}
	if _, ok := config.UpstreamVersion(route.service, route.version); !ok {
		return fault(key, "version", "version %q of service %q does not exist", route.version, route.service)
	}
	if !strings.HasPrefix(route.prefix, "/") {
		return fault(key, "prefix", "must start with /, is %q", route.prefix)
	}
	if route.timeout < MinTimeout || route.timeout > MaxTimeout {
		return fault(key, "timeout", "must be from %s to %s, is %s", MinTimeout, MaxTimeout, route.timeout)
	}
	for _, other := range config.Routes() {
		if other.name != route.name && other.prefix == route.prefix {
			return fault(key, "prefix", "route %q has the same prefix %q", other.name, route.prefix)
		}
	}
	return nil
}
