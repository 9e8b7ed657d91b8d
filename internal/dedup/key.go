// Package dedup makes a call with an idempotency key run at most once.
// Claims on keys are held by witnesses, a majority of three for each key and
// placement; the node that ran a call keeps its answer for resends.
//
// The package has no clock, socket or goroutine.
package dedup

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Bounds that all nodes must share.
const (
	// Window is how long after its issue a key may be used.
	Window = 10 * time.Minute
	// MaxClockSkew is the most by which two clocks may differ.
	MaxClockSkew = 2 * time.Second
	// Replicas is how many witnesses hold a claim.
	Replicas = 3
)

// KeyError refuses an idempotency key.
type KeyError struct {
	Reason string
}

// Error returns the reason.
func (err *KeyError) Error() string { return "Idempotency-Key " + err.Reason }

// Key identifies one call of one customer on one service.
type Key struct {
	id     string
	issued time.Time
}

// ParseKey reads an idempotency key, which must be a UUID of version 7.
func ParseKey(service, customer, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, &KeyError{Reason: "must be a UUID of version 7"}
	}
	seconds, nanoseconds := id.Time().UnixTime()
	key := strings.Join([]string{service, customer, id.String()}, "/")
	return Key{id: key, issued: time.Unix(seconds, nanoseconds)}, nil
}

// RestoreKey rebuilds a key from its parts.
func RestoreKey(id string, issued time.Time) Key { return Key{id: id, issued: issued} }

// ID returns service, customer and key in one string.
func (key Key) ID() string { return key.id }

// Issued returns when the caller made the key.
func (key Key) Issued() time.Time { return key.issued }

// FromFuture reports whether the key claims to be issued later than clocks
// may differ.
func (key Key) FromFuture(now time.Time) bool { return key.issued.After(now.Add(MaxClockSkew)) }

// Expired reports whether claims on the key may have been forgotten.
func (key Key) Expired(now time.Time) bool { return now.Sub(key.issued) > Window-MaxClockSkew }

// ChooseWitnesses returns the witnesses of a key among a placement's nodes, by
// rendezvous hashing.
func ChooseWitnesses(key Key, nodes []string) []string {
	ranked := slices.Clone(nodes)
	weight := func(node string) uint64 { return xxhash.Sum64String(key.id + "\x00" + node) }
	slices.SortFunc(ranked, func(a, b string) int {
		switch wa, wb := weight(a), weight(b); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		default:
			return strings.Compare(a, b)
		}
	})
	return ranked[:min(Replicas, len(ranked))]
}
