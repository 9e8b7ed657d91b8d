package rsrc

import "time"

// Limits bound what callers may send. A zero field leaves the bound to the
// nodes.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader int
	MaxBody   int
	// HeaderTimeout bounds the time in which a request's head must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may lie unused.
	IdleTimeout time.Duration
}

// Edition numbers a configuration that operators replace as a whole.
type Edition struct {
	revision uint64
	// number is chosen by operators and rises with every edition.
	number uint64
	limits Limits
}

// EditionName is the name of the only resource of its kind.
const EditionName = "default"

// NewEdition returns the mark of a whole configuration.
func NewEdition(number uint64, limits Limits) Edition {
	return Edition{number: number, limits: limits}
}

// EditionKey returns the key of the only resource of its kind.
func EditionKey() Key { return NewKey(KindEdition, EditionName) }

// Number returns the operators' number of the configuration.
func (edition Edition) Number() uint64 { return edition.number }

// Limits returns what callers may send.
func (edition Edition) Limits() Limits { return edition.limits }

// Key returns the resource's identity.
func (edition Edition) Key() Key { return EditionKey() }

// Revision returns the log index of the last whole replacement.
func (edition Edition) Revision() uint64 { return edition.revision }

// WithRevision returns the edition under another revision.
func (edition Edition) WithRevision(revision uint64) Resource {
	edition.revision = revision
	return edition
}

func (edition Edition) check(*Config) error {
	limits := edition.limits
	if edition.number == 0 {
		return validationError(edition.Key(), "number", "must be positive")
	}
	if limits.MaxHeader < 0 || limits.MaxBody < 0 || limits.HeaderTimeout < 0 || limits.IdleTimeout < 0 {
		return validationError(edition.Key(), "limits", "must not be negative")
	}
	return nil
}
