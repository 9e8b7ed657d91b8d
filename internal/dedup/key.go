// Package dedup ensures that a call with an idempotency key runs at most once.
// An attempt to run the call needs claims on its key from a majority of the
// key's three witnesses. The witnesses are chosen from a placement, which is a
// list of nodes. During a change of placement, the old and the new one are both
// active, and an attempt needs a majority in each. The node that ran a call
// keeps its answer for repeated requests.
//
// The package uses no clock, socket or goroutine: callers pass in the current
// time.
package dedup

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// Parameters that must be the same on all nodes.
const (
	// Window is the deduplication window, which starts when a key is issued. A
	// key is accepted until MaxClockSkew before the end of the window; see
	// Key.Expired.
	Window = 10 * time.Minute
	// MaxClockSkew is the maximum difference between the clocks of any two
	// machines, clients included.
	MaxClockSkew = 2 * time.Second
	// WitnessesPerPlacement is the number of witnesses of a key in each
	// placement.
	WitnessesPerPlacement = 3
)

// KeyError reports an invalid idempotency key.
type KeyError struct {
	Reason string
}

// Error returns the name of the header followed by the reason.
func (err *KeyError) Error() string { return "Idempotency-Key " + err.Reason }

// Key identifies one call of one customer to one service.
type Key struct {
	id     string
	issued time.Time
}

// ParseKey parses an idempotency key, which must be a UUID of version 7.
func ParseKey(service, customer, text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil || id.Version() != 7 {
		return Key{}, &KeyError{Reason: "must be a UUID of version 7"}
	}
	seconds, nanoseconds := id.Time().UnixTime()
	key := strings.Join([]string{service, customer, id.String()}, "/")
	return Key{id: key, issued: time.Unix(seconds, nanoseconds)}, nil
}

// RestoreKey returns the key with the given ID and time of issue.
func RestoreKey(id string, issued time.Time) Key { return Key{id: id, issued: issued} }

// ID returns the service, the customer and the UUID joined by slashes.
func (key Key) ID() string { return key.id }

// Issued returns the time at which the client created the key.
func (key Key) Issued() time.Time { return key.issued }

// FromFuture reports whether the time of issue is later than clock skew can
// explain.
func (key Key) FromFuture(now time.Time) bool { return key.issued.After(now.Add(MaxClockSkew)) }

// Expired reports whether the key is too old to be accepted. Keys expire
// MaxClockSkew before the end of the window, so that despite clock differences
// no node accepts a key whose claims witnesses may have removed.
func (key Key) Expired(now time.Time) bool { return now.Sub(key.issued) > Window-MaxClockSkew }

// ChooseWitnesses selects the witnesses of a key among the nodes of a placement
// by rendezvous hashing.
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
	return ranked[:min(WitnessesPerPlacement, len(ranked))]
}
