package rsrc

import "time"

// Limits holds the limits on requests from callers. A zero field means that
// the default of the node applies.
type Limits struct {
	// MaxHeader and MaxBody are the largest sizes of a request's header and
	// body, in bytes.
	MaxHeader int
	MaxBody   int
	// HeaderTimeout is the time within which the whole header of a request must
	// arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection from a caller may stay idle.
	IdleTimeout time.Duration
}

// Edition describes the last replacement of the whole configuration. It holds
// the number that operators gave to it and the limits that apply to all
// requests from callers.
type Edition struct {
	revision uint64
	// number is set by operators and increases with every edition.
	number uint64
	limits Limits
	// accounts is not modified after the edition was created.
	accounts []string
	// numbers is not modified after the edition was created.
	numbers map[string]float64
}

// EditionName is the name of the only resource of kind KindEdition.
const EditionName = "default"

// NewEdition returns an edition with the given number and limits.
func NewEdition(number uint64, limits Limits) Edition {
	return Edition{number: number, limits: limits}
}

// WithAccounts returns a copy of the edition with the names of the accounts in the
// order in which operators sent them. It is nil if they sent no list of accounts.
func (edition Edition) WithAccounts(names []string) Edition {
	edition.accounts = names
	return edition
}

// Accounts returns the names of the accounts in the order in which operators sent
// them, or nil if they sent no list of accounts. Nodes do not get the names.
func (edition Edition) Accounts() []string { return edition.accounts }

// WithNumbers returns a copy of the edition with numbers that operators sent for times, by
// field, as far as no time.Duration represents them exactly.
func (edition Edition) WithNumbers(numbers map[string]float64) Edition {
	edition.numbers = numbers
	return edition
}

// Numbers returns the numbers that operators sent for times, by field, as far as no
// time.Duration represents them exactly. The caller must not modify the map. Nodes do not
// get the numbers.
func (edition Edition) Numbers() map[string]float64 { return edition.numbers }

// EditionKey returns the key of the only resource of kind KindEdition.
func EditionKey() Key { return NewKey(KindEdition, EditionName) }

// Number returns the number that operators gave to the configuration.
func (edition Edition) Number() uint64 { return edition.number }

// Limits returns the limits on requests from callers.
func (edition Edition) Limits() Limits { return edition.limits }

// Key returns the key of the edition.
func (edition Edition) Key() Key { return EditionKey() }

// Revision returns the log index of the last replacement of the whole
// configuration.
func (edition Edition) Revision() uint64 { return edition.revision }

// WithRevision returns a copy of the edition with the given revision.
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
