// Package lease tracks the upstream on a node: which of several announcements
// is the latest, whether the upstream accepts new work, and when its lease has
// expired.
//
// The package uses no clock, socket or goroutine: callers pass in the current
// time.
package lease

import (
	"slices"
	"time"
)

// Notice is an announcement by an upstream.
type Notice struct {
	// ID identifies the upstream. It is empty for an upstream without an
	// identity; its most recently received notice always applies.
	ID string
	// Born is the start time of the upstream in milliseconds since 1970. It
	// orders the incarnations of one upstream, and successive upstreams at one
	// address.
	Born int64
	// Sequence orders the notices of one incarnation.
	Sequence uint64

	Service string
	Version string
	Address string
	// Slots is the number of calls that the upstream can run at once.
	Slots int
	// Draining is true if the upstream accepts no new work.
	Draining bool
	// Cold is the remaining time for which the upstream is slow after its
	// start.
	Cold time.Duration
}

// sameIncarnation reports whether two notices come from the same incarnation of
// an upstream, that is, have the same ID and start time.
func (notice Notice) sameIncarnation(other Notice) bool {
	return notice.ID == other.ID && notice.Born == other.Born
}

// supersedes reports whether a notice is later than another.
func (notice Notice) supersedes(other Notice) bool {
	switch {
	case notice.ID == "" || other.ID == "":
		return true
	case notice.sameIncarnation(other):
		return notice.Sequence > other.Sequence
	default:
		return notice.Born > other.Born
	}
}

// departure records an incarnation that has deregistered.
type departure struct {
	id   string
	born int64
}

// maxDepartures limits the number of departures that are kept. That is enough
// because delayed notices arrive within seconds.
const maxDepartures = 64

// Tracker tracks the current upstream of a node and its lease. It is not safe
// for concurrent use.
type Tracker struct {
	// current is the latest notice. Its upstream is present only while held is
	// true.
	current Notice
	held    bool
	expires time.Time
	// departures is ordered from the oldest to the latest.
	departures []departure
}

// New returns a tracker without an upstream.
func New() *Tracker { return &Tracker{} }

// Current returns the latest notice and whether its upstream is considered
// present, draining or not.
func (tracker *Tracker) Current() (Notice, bool) { return tracker.current, tracker.held }

// Last returns the latest notice, even if its upstream is gone.
func (tracker *Tracker) Last() Notice { return tracker.current }

// Departed reports whether the latest upstream has deregistered. This is final
// for its incarnation, whereas an upstream whose lease has only expired may
// return.
func (tracker *Tracker) Departed() bool {
	return tracker.departed(tracker.current.ID, tracker.current.Born)
}

// Renew applies a notice and extends the lease by ttl. It returns false if the
// notice is out of date.
func (tracker *Tracker) Renew(now time.Time, notice Notice, ttl time.Duration) bool {
	if tracker.departed(notice.ID, notice.Born) {
		return false
	}
	if tracker.current.Slots > 0 && !notice.supersedes(tracker.current) {
		return false
	}
	if notice.ID != "" && notice.sameIncarnation(tracker.current) {
		// Draining cannot be undone within an incarnation.
		notice.Draining = notice.Draining || tracker.current.Draining
	}
	tracker.current, tracker.held, tracker.expires = notice, true, now.Add(ttl)
	return true
}

// Leave deregisters an incarnation for good. If born is zero, it deregisters
// the latest known incarnation of the upstream with this ID. It reports whether
// that upstream was present.
func (tracker *Tracker) Leave(id string, born int64) bool {
	present := tracker.held && tracker.current.ID == id && (born == 0 || born >= tracker.current.Born)
	if born == 0 && tracker.current.ID == id {
		born = tracker.current.Born
	}
	if id != "" && !tracker.departed(id, born) {
		tracker.departures = append(tracker.departures, departure{id: id, born: born})
		tracker.departures = tracker.departures[max(0, len(tracker.departures)-maxDepartures):]
	}
	if present {
		tracker.held = false
	}
	return present
}

// MarkAbsent marks the upstream as absent. A later notice of the same
// incarnation makes it present again.
func (tracker *Tracker) MarkAbsent() { tracker.held = false }

// Expired reports whether the lease of the present upstream has expired without
// a new notice.
func (tracker *Tracker) Expired(now time.Time) bool {
	return tracker.held && now.After(tracker.expires)
}

// departed reports whether an incarnation or a later one of the same upstream
// has deregistered.
func (tracker *Tracker) departed(id string, born int64) bool {
	return id != "" && slices.ContainsFunc(tracker.departures, func(gone departure) bool {
		return gone.id == id && born <= gone.born
	})
}

// Restore applies a notice that this node had passed on to other nodes before
// it restarted. If gone is true, the incarnation is deregistered. Otherwise the
// notice is dropped if an upstream is already present or a later notice is
// known, except that draining is carried over to a present upstream of the same
// incarnation. An upstream whose address and service are known counts as
// present for ttl; without them, it has to send a notice first.
func (tracker *Tracker) Restore(now time.Time, notice Notice, gone bool, ttl time.Duration) {
	if notice.ID == "" {
		return
	}
	if gone {
		tracker.Leave(notice.ID, notice.Born)
		return
	}
	if tracker.held && notice.sameIncarnation(tracker.current) {
		tracker.current.Draining = tracker.current.Draining || notice.Draining
		return
	}
	if tracker.held || tracker.departed(notice.ID, notice.Born) || !notice.supersedes(tracker.current) {
		return
	}
	tracker.current = notice
	if notice.Address != "" && notice.Service != "" {
		tracker.held, tracker.expires = true, now.Add(ttl)
	}
}
