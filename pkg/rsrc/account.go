package rsrc

import (
	"crypto/sha256"
	"fmt"
	"math"
	"strings"
)

// MaxKeyBytes is the largest length of a key. A key must fit into the header
// section of a request, which a configuration may limit to a few kilobytes.
const MaxKeyBytes = 512

// keyDigestBytes is the number of bytes of a SHA-256 hash that identify a key. 16
// bytes keep a configuration with thousands of keys small, and finding a second key
// with the same digest takes about 2^128 tries.
const keyDigestBytes = 16

// KeyDigest identifies the key of an account without containing it: the first
// bytes of the SHA-256 hash of the key.
type KeyDigest [keyDigestBytes]byte

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	hash := sha256.Sum256([]byte(key))
	return KeyDigest(hash[:keyDigestBytes])
}

// AccountLimit limits the calls of an account over all nodes together.
type AccountLimit struct {
	// RatePerSecond is the number of calls per second; zero means no limit.
	RatePerSecond float64
	// Burst is the number of calls that may exceed the rate at once.
	Burst float64
}

// AccountOptions holds the optional settings of an account. A nil pointer means
// that the account has no such setting.
type AccountOptions struct {
	RatePerSecond *float64
	Burst         *float64
	// Priority takes precedence over the priority of a route.
	Priority *int
	// Nulls names the settings that operators sent as null. It has no effect,
	// except that a read returns them as null.
	Nulls []string
}

// Account is a client account. Calls with one of its keys belong to it. The keys
// are secrets: an account that was sent to a node has their digests only.
type Account struct {
	name     string
	revision uint64
	// keys is nil if the account was made from digests. It is not modified after
	// the account was created.
	keys []string
	// digests holds the digest of each key, in the order of the keys.
	digests []KeyDigest
	// options.Nulls is not modified after the account was created.
	options AccountOptions
}

// NewAccount returns an account with the given keys, which may be none.
func NewAccount(name string, keys []string, options AccountOptions) Account {
	digests := make([]KeyDigest, 0, len(keys))
	for _, key := range keys {
		digests = append(digests, DigestKey(key))
	}
	return Account{name: name, keys: keys, digests: digests, options: options}
}

// NewAccountFromDigests returns an account that does not contain its keys, but only
// their digests.
func NewAccountFromDigests(name string, digests []KeyDigest, options AccountOptions) Account {
	return Account{name: name, digests: digests, options: options}
}

// AccountKey returns the key of the named account.
func AccountKey(name string) Key { return NewKey(KindAccount, name) }

// Name returns the name of the account.
func (account Account) Name() string { return account.name }

// Keys returns the keys of the account, which are secrets. It returns nil for an
// account that was made from digests.
func (account Account) Keys() []string { return account.keys }

// HasKeys reports whether Keys returns all keys of the account.
func (account Account) HasKeys() bool { return len(account.keys) == len(account.digests) }

// KeyDigests returns the digests of the keys, in the order of the keys.
func (account Account) KeyDigests() []KeyDigest { return account.digests }

// Options returns the optional settings of the account.
func (account Account) Options() AccountOptions { return account.options }

// Limit returns the limit on the calls of the account.
func (account Account) Limit() AccountLimit {
	var limit AccountLimit
	if rate := account.options.RatePerSecond; rate != nil {
		limit.RatePerSecond = *rate
	}
	if burst := account.options.Burst; burst != nil {
		limit.Burst = *burst
	}
	return limit
}

// Priority returns the priority of the calls of the account. ok is false if the
// priority of the route applies.
func (account Account) Priority() (priority int, ok bool) {
	if account.options.Priority == nil {
		return 0, false
	}
	return *account.options.Priority, true
}

// String describes the account without its keys, so that an account that is
// formatted by mistake does not disclose them.
func (account Account) String() string {
	return fmt.Sprintf("account %q with %d keys", account.name, len(account.digests))
}

// GoString is String for the verb %#v.
func (account Account) GoString() string { return account.String() }

// Key returns the key of the resource, which is not a key of the account.
func (account Account) Key() Key { return AccountKey(account.name) }

// Revision returns the log index of the last write of the account.
func (account Account) Revision() uint64 { return account.revision }

// WithRevision returns a copy of the account with the given revision.
func (account Account) WithRevision(revision uint64) Resource {
	account.revision = revision
	return account
}

// check returns errors that contain no key.
func (account Account) check(config *Config) error {
	key := account.Key()
	if err := checkName(key, "name", account.name); err != nil {
		return err
	}
	for i, text := range account.keys {
		if reason := keyFault(text); reason != "" {
			return validationError(key, "keys", "key %d of %d %s", i+1, len(account.keys), reason)
		}
	}
	for _, digest := range account.digests {
		if other, _ := config.AccountWithKey(digest); other.name != account.name {
			return validationError(key, "keys", "account %q has the same key as account %q", account.name, other.name)
		}
	}
	limit := account.Limit()
	switch {
	case !isRate(limit.RatePerSecond):
		return validationError(key, "ratePerS", "must be a number that is not negative, is %v", limit.RatePerSecond)
	case !isRate(limit.Burst):
		return validationError(key, "burst", "must be a number that is not negative, is %v", limit.Burst)
	}
	if priority, ok := account.Priority(); ok && priority < 0 {
		return validationError(key, "priority", "must not be negative, is %d", priority)
	}
	return nil
}

func isRate(number float64) bool { return number >= 0 && !math.IsInf(number, 1) }

// keyFault returns why a key cannot be sent in a header, or an empty text.
func keyFault(key string) string {
	switch {
	case key == "":
		return "is empty"
	case len(key) > MaxKeyBytes:
		return fmt.Sprintf("has more than %d bytes", MaxKeyBytes)
	case strings.ContainsFunc(key, func(char rune) bool { return char < ' ' || char == 0x7f }):
		return "contains a control character"
	case strings.TrimSpace(key) != key:
		return "starts or ends with a space"
	default:
		return ""
	}
}
