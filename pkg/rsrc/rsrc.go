// Package rsrc holds the resources that operators declare and the rules that
// every one of them, and the closed set of them, must keep.
//
// All types are immutable values: a change makes a new value. Times are
// absolute, durations are typed, and shares are in permille of a route's calls.
package rsrc

import (
	"fmt"
	"regexp"
)

// Kind names a type of resource.
type Kind string

// The kinds of resource a configuration is made of.
const (
	KindService   Kind = "service"
	KindVersion   Kind = "version"
	KindRoute     Kind = "route"
	KindRollout   Kind = "rollout"
	KindWitnesses Kind = "witnesses"
	KindEdition   Kind = "edition"
)

// FullShare is the share, in permille, that stands for all calls of a route.
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

// Kind returns the resource's type.
func (key Key) Kind() Kind { return key.kind }

// Name returns the resource's name, unique within its kind.
func (key Key) Name() string { return key.name }

// String returns kind and name joined by a slash.
func (key Key) String() string { return string(key.kind) + "/" + key.name }

// Resource is one member of a configuration.
type Resource interface {
	// Key returns the identity of the resource.
	Key() Key
	// Revision returns the log index of the write that made this value; zero
	// marks a value that has not been accepted yet.
	Revision() uint64
	// WithRevision returns the same value under another revision.
	WithRevision(revision uint64) Resource
	// check reports a fault of the resource by itself or of a reference that
	// config lacks.
	check(config *Config) error
}

// ValidationError reports a resource that breaks a rule. Path names the resource
// and field, Reason what is wrong with it.
type ValidationError struct {
	Path   string
	Reason string
}

// Error returns path and reason.
func (err *ValidationError) Error() string { return err.Path + ": " + err.Reason }

// ConflictError reports a write whose expected revision is not the current
// one. Nothing was changed.
type ConflictError struct {
	Key      Key
	Expected uint64
	Current  uint64
}

// Reason names both revisions.
func (err *ConflictError) Reason() string {
	return fmt.Sprintf("conflict: the write expects revision %d, the current one is %d", err.Expected, err.Current)
}

// Error names the resource and both revisions.
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
