// Package rsrc defines the resources that make up a configuration and
// validates each resource as well as the references between resources.
//
// All types are immutable: a change returns a new value. Points in time are
// absolute, durations have the type time.Duration, and traffic shares are in
// permille of the calls of a route or service.
//
// Several numbers identify the state of a configuration and of its resources:
//   - the version of a Config is the log index of its last write,
//   - the revision of a resource is the log index of the last write of this
//     resource,
//   - the number of an Edition is set by operators when they replace the whole
//     configuration,
//   - the epoch of a Rollout is the revision of the write that started it.
//
// The resource Version is unrelated to them: it names a version of the software
// that the upstreams of a service run.
package rsrc

import (
	"fmt"
	"regexp"
)

// Kind is the type of a resource.
type Kind string

// The kinds of resources in a configuration.
const (
	KindService   Kind = "service"
	KindVersion   Kind = "version"
	KindRoute     Kind = "route"
	KindRollout   Kind = "rollout"
	KindWitnesses Kind = "witnesses"
	KindEdition   Kind = "edition"
	KindAccount   Kind = "account"
	// KindEvacuation is the kind of the operators' orders on zones.
	KindEvacuation Kind = "evacuation"
)

// FullShare is the share, in permille, that represents all calls of a route or
// service.
const FullShare = 1000

const maxNameBytes = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// Key identifies a resource within a configuration.
type Key struct {
	kind Kind
	name string
}

// NewKey returns the key of the named resource.
func NewKey(kind Kind, name string) Key { return Key{kind: kind, name: name} }

// Kind returns the kind of the resource.
func (key Key) Kind() Kind { return key.kind }

// Name returns the name of the resource, which is unique within its kind.
func (key Key) Name() string { return key.name }

// String returns the kind and the name, separated by a slash.
func (key Key) String() string { return string(key.kind) + "/" + key.name }

// Resource is one entry of a configuration.
type Resource interface {
	// Key returns the key that identifies the resource.
	Key() Key
	// Revision returns the log index of the write that produced this value, or
	// zero if the value has not been accepted yet.
	Revision() uint64
	// WithRevision returns a copy of the resource with the given revision.
	WithRevision(revision uint64) Resource
	// check returns a ValidationError if the resource is invalid or refers to
	// a resource that config does not contain.
	check(config *Config) error
}

// ValidationError reports invalid input. Path identifies the resource and the
// field, and Reason describes the problem.
type ValidationError struct {
	Path   string
	Reason string
}

// Error returns the path and the reason.
func (err *ValidationError) Error() string { return err.Path + ": " + err.Reason }

// ConflictError reports a write that was rejected because its expected
// revision is not the current revision of the resource.
type ConflictError struct {
	Key      Key
	Expected uint64
	Current  uint64
}

// Reason returns a description with the expected and the current revision.
func (err *ConflictError) Reason() string {
	return fmt.Sprintf("conflict: the write expects revision %d, the current one is %d", err.Expected, err.Current)
}

// Error returns the key of the resource and the reason.
func (err *ConflictError) Error() string { return err.Key.String() + ": " + err.Reason() }

func validationError(key Key, field, format string, args ...any) error {
	path := key.String()
	if field != "" {
		path += "." + field
	}
	return &ValidationError{Path: path, Reason: fmt.Sprintf(format, args...)}
}

func checkName(key Key, field, name string) error {
	if name == "" {
		return validationError(key, field, "is missing")
	}
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		return validationError(key, field, "%q is not a name: lower-case letters, digits, dots and dashes, at most %d bytes", name, maxNameBytes)
	}
	return nil
}
