// Package lease decides what a node believes of the upstream beside it: which
// of several announcements is the latest, whether the upstream takes new work,
// and when it counts as gone.
//
// The package has no clock, socket or goroutine.
package lease

import (
	"slices"
	"time"
)

// Notice is what an upstream says of itself.
type Notice struct {
	// ID names one upstream; empty for one that has no identity, whose latest
	// word always holds.
	ID string
	// Born is the upstream's start in milliseconds since 1970. It orders the
	// lives of one upstream and of those that follow each other at one address.
	Born int64
	// Sequence orders the notices of one life.
	Sequence uint64

	Service string
	Version string
	Address string
	// Slots is how many calls the upstream runs at once.
	Slots int
	// Draining is true once the upstream takes no new work.
	Draining bool
	// Cold is how much longer the upstream stays slow after its start.
	Cold time.Duration
}

// sameLife reports whether two notices are of one start of one upstream.
func (notice Notice) sameIncarnation(other Notice) bool {
	return notice.ID == other.ID && notice.Born == other.Born
}

// after reports whether a notice is later than another.
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

// departure is a life that ended with a word.
type departure struct {
	id   string
	born int64
}

// maxDepartures bounds the memory of ended lives; late notices come within
// seconds.
const maxDepartures = 64

// Tracker is what is believed. It is not safe for concurrent use.
type Tracker struct {
	// current is the latest notice; it counts only while held.
	current Notice
	held    bool
	expires time.Time
	// departures has the latest last.
	departures []departure
}

// New returns a holder that knows of no upstream.
func New() *Tracker { return &Tracker{} }

// Current returns the upstream that is believed to be there, draining or not.
func (tracker *Tracker) Current() (Notice, bool) { return tracker.current, tracker.held }

// Last returns the latest notice, also of an upstream that is gone.
func (tracker *Tracker) Last() Notice { return tracker.current }

// Departed reports whether the latest upstream ended its life with a word,
// which is final; one that only fell silent may speak again.
func (tracker *Tracker) Departed() bool {
	return tracker.departed(tracker.current.ID, tracker.current.Born)
}

// Renew learns a notice that holds for the given time. It returns false for one
// that is overtaken.
func (tracker *Tracker) Renew(now time.Time, notice Notice, ttl time.Duration) bool {
	if tracker.departed(notice.ID, notice.Born) {
		return false
	}
	if tracker.current.Slots > 0 && !notice.supersedes(tracker.current) {
		return false
	}
	if notice.ID != "" && notice.sameIncarnation(tracker.current) {
		// An upstream that began to leave does not come back in this life.
		notice.Draining = notice.Draining || tracker.current.Draining
	}
	tracker.current, tracker.held, tracker.expires = notice, true, now.Add(ttl)
	return true
}

// Leave ends an upstream's life for good; born zero means the life that is
// known. It reports whether this was the present upstream.
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

// MarkAbsent forgets the present upstream, which may come back.
func (tracker *Tracker) MarkAbsent() { tracker.held = false }

// Expired reports whether the present upstream was silent for too long.
func (tracker *Tracker) Expired(now time.Time) bool {
	return tracker.held && now.After(tracker.expires)
}

func (tracker *Tracker) departed(id string, born int64) bool {
	return id != "" && slices.ContainsFunc(tracker.departures, func(gone departure) bool {
		return gone.id == id && born <= gone.born
	})
}

// Restore learns what this node had told others before it was restarted. A
// notice that is overtaken by what is known here is dropped. An upstream whose
// address is given is believed to be there still for the given time; without
// one it has to speak first.
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
