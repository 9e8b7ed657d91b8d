// Package lease tracks the upstream on a node: which of several notices is the
// latest, whether the upstream accepts new work, when its lease has expired, and
// which rate limit it states in its responses.
//
// The package uses no clock, socket or goroutine: callers pass in the current
// time.
package lease

import (
	"slices"
	"time"
)

// Notice is the state that an upstream announces about itself.
type Notice struct {
	// ID identifies the upstream. It is empty for an upstream without an
	// identity. Notices without an ID are never out of date.
	ID string
	// Born is the start time of the upstream in milliseconds since 1970. It
	// orders the incarnations of one upstream, and successive upstreams on one
	// node.
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
	// Cold is the remaining warm-up time of the upstream after its start.
	Cold time.Duration
}

// sameIncarnation reports whether two notices come from the same incarnation of
// an upstream, that is, have the same ID and start time.
func (notice Notice) sameIncarnation(other Notice) bool {
	return notice.ID == other.ID && notice.Born == other.Born
}

// supersedes reports whether a notice is later than another. If one of them has
// no ID, they cannot be ordered, and the result is true.
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

// deregistration records an incarnation that has deregistered.
type deregistration struct {
	id   string
	born int64
	// until is the time at which the record expires.
	until time.Time
}

// deregistrationWindow is how long the departure of a known incarnation keeps out
// earlier incarnations with the same ID. It is far longer than a notice may be delayed,
// and it ends because the start time of the incarnation may have been wrong.
const deregistrationWindow = time.Minute

// lateNoticeWindow is how long a notice may be delayed on its way. The
// deregistration of an upstream that is not known holds for this time.
const lateNoticeWindow = 10 * time.Second

// maxDeregistrations limits the number of deregistrations that are kept. That
// is enough because delayed notices arrive within seconds.
const maxDeregistrations = 64

// Tracker tracks the current upstream of a node and its lease. It is not safe
// for concurrent use.
type Tracker struct {
	// current is the latest notice. present is true unless its upstream has
	// deregistered, has been marked as absent, or is known only from a restored
	// notice without an address or a service.
	current Notice
	present bool
	expires time.Time
	// limit is that of the incarnation in current.
	limit limitState
	// gone is true if the incarnation in current has deregistered.
	gone bool
	// deregistrations is ordered from the oldest to the latest.
	deregistrations []deregistration
	// successor is the latest notice that was rejected because the upstream in current
	// started later.
	successor Notice
}

// New returns a tracker without an upstream.
func New() *Tracker { return &Tracker{} }

// Current returns the latest notice and whether its upstream is present. A
// draining upstream counts as present.
func (tracker *Tracker) Current() (Notice, bool) { return tracker.current, tracker.present }

// Last returns the latest notice, even if its upstream is gone.
func (tracker *Tracker) Last() Notice { return tracker.current }

// Deregistered reports whether the upstream of the latest notice has
// deregistered. Deregistration is final for the incarnation, whereas an upstream
// whose lease has only expired may return.
func (tracker *Tracker) Deregistered() bool { return tracker.gone }

// Renew applies a notice and sets the lease to expire after ttl. It returns
// false if the notice is out of date or its incarnation has deregistered.
func (tracker *Tracker) Renew(now time.Time, notice Notice, ttl time.Duration) bool {
	tracker.deregistrations = slices.DeleteFunc(tracker.deregistrations, func(gone deregistration) bool {
		return now.After(gone.until)
	})
	if tracker.deregistered(notice.ID, notice.Born) || tracker.gone && notice.sameIncarnation(tracker.current) {
		return false
	}
	// Slots is zero before the first notice.
	if tracker.current.Slots > 0 && !notice.supersedes(tracker.current) && !tracker.replaces(now, notice) {
		return false
	}
	if notice.ID != "" && notice.sameIncarnation(tracker.current) {
		// Draining cannot be undone within an incarnation.
		notice.Draining = notice.Draining || tracker.current.Draining
	}
	tracker.setCurrent(notice)
	tracker.present, tracker.expires = true, now.Add(ttl)
	return true
}

// replaces reports whether a notice of an upstream that claims an earlier start than the
// latest one is accepted all the same. Start times may be wrong, so they decide only while
// the latest upstream keeps its lease. After that, the second notice in a row is accepted;
// a single one may be late.
func (tracker *Tracker) replaces(now time.Time, notice Notice) bool {
	if notice.sameIncarnation(tracker.current) || !now.After(tracker.expires) {
		tracker.successor = Notice{}
		return false
	}
	again := notice.sameIncarnation(tracker.successor) && notice.Sequence > tracker.successor.Sequence
	tracker.successor = notice
	return again
}

// setCurrent replaces the latest notice. A rate limit and a departure hold for one
// incarnation.
func (tracker *Tracker) setCurrent(notice Notice) {
	if !notice.sameIncarnation(tracker.current) {
		tracker.limit, tracker.gone = limitState{}, false
	}
	tracker.successor = Notice{}
	tracker.current = notice
}

// Deregister marks the upstream with this ID as absent if it is present and not
// of a later incarnation than born, and reports whether it did so. If the ID is
// not empty, Deregister also records the incarnation, so that notices of this
// and of earlier incarnations are rejected. If born is zero, the incarnation is
// that of the latest notice with this ID. If there is no such notice, notices
// with this ID that started by now are rejected for lateNoticeWindow.
func (tracker *Tracker) Deregister(now time.Time, id string, born int64) bool {
	wasPresent := tracker.present && tracker.current.ID == id && (born == 0 || born >= tracker.current.Born)
	until := now.Add(deregistrationWindow)
	if born == 0 {
		// The clock may be wrong, so a start time derived from it must not
		// lock out an upstream for long.
		born, until = now.UnixMilli(), now.Add(lateNoticeWindow)
		if tracker.current.ID == id {
			born, until = tracker.current.Born, now.Add(deregistrationWindow)
		}
	}
	// The latest word on an incarnation holds for its own time.
	tracker.deregistrations = slices.DeleteFunc(tracker.deregistrations, func(gone deregistration) bool {
		return gone.id == id && gone.born <= born
	})
	tracker.gone = tracker.gone || id != "" && id == tracker.current.ID && born >= tracker.current.Born
	if id != "" && !tracker.deregistered(id, born) {
		tracker.deregistrations = append(tracker.deregistrations, deregistration{id: id, born: born, until: until})
		tracker.deregistrations = tracker.deregistrations[max(0, len(tracker.deregistrations)-maxDeregistrations):]
	}
	if wasPresent {
		tracker.present = false
	}
	return wasPresent
}

// MarkAbsent marks the upstream as absent. The next notice that Renew accepts
// makes it present again, even if it is from the same incarnation.
func (tracker *Tracker) MarkAbsent() { tracker.present = false }

// Expired reports whether the lease of the present upstream has expired without
// a new notice.
func (tracker *Tracker) Expired(now time.Time) bool {
	return tracker.present && now.After(tracker.expires)
}

// deregistered reports whether an incarnation or a later one of the same
// upstream has deregistered.
func (tracker *Tracker) deregistered(id string, born int64) bool {
	return id != "" && slices.ContainsFunc(tracker.deregistrations, func(gone deregistration) bool {
		return gone.id == id && born <= gone.born
	})
}

// Restore applies a notice that this node had passed on to other nodes before
// it restarted. The first rule that applies decides:
//   - A notice without an ID is ignored.
//   - If gone is true, the incarnation is deregistered.
//   - If the same incarnation is present, it becomes draining if the notice is
//     draining. The rest of the notice is ignored.
//   - If another upstream or incarnation is present, or if the notice does not
//     supersede the latest one, the notice is ignored.
//   - If the incarnation has deregistered, the notice becomes the latest one, so that
//     the node's record names the upstream that is gone.
//   - Otherwise the notice becomes the latest one. If it has an address and a
//     service, the upstream is present with a lease of ttl. If not, the upstream
//     becomes present with its next notice.
func (tracker *Tracker) Restore(now time.Time, notice Notice, gone bool, ttl time.Duration) {
	if notice.ID == "" {
		return
	}
	if gone {
		tracker.Deregister(now, notice.ID, notice.Born)
	}
	if tracker.present && notice.sameIncarnation(tracker.current) {
		tracker.current.Draining = tracker.current.Draining || notice.Draining
		return
	}
	if tracker.present || !notice.supersedes(tracker.current) {
		return
	}
	tracker.setCurrent(notice)
	tracker.gone = tracker.deregistered(notice.ID, notice.Born)
	if !tracker.gone && notice.Address != "" && notice.Service != "" {
		tracker.present, tracker.expires = true, now.Add(ttl)
	}
}
