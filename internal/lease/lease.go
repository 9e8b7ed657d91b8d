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
func (notice Notice) sameLife(other Notice) bool {
	return notice.ID == other.ID && notice.Born == other.Born
}

// after reports whether a notice is later than another.
func (notice Notice) after(other Notice) bool {
	switch {
	case notice.ID == "" || other.ID == "":
		return true
	case notice.sameLife(other):
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

// Holder is what is believed. It is not safe for concurrent use.
type Holder struct {
	// current is the latest notice; it counts only while held.
	current Notice
	held    bool
	until   time.Time
	// departures has the latest last.
	departures []departure
}

// New returns a holder that knows of no upstream.
func New() *Holder { return &Holder{} }

// Current returns the upstream that is believed to be there, draining or not.
func (holder *Holder) Current() (Notice, bool) { return holder.current, holder.held }

// Last returns the latest notice, also of an upstream that is gone.
func (holder *Holder) Last() Notice { return holder.current }

// Departed reports whether the latest upstream ended its life with a word,
// which is final; one that only fell silent may speak again.
func (holder *Holder) Departed() bool { return holder.departed(holder.current.ID, holder.current.Born) }

// Take learns a notice that holds for the given time. It returns false for one
// that is overtaken.
func (holder *Holder) Take(now time.Time, notice Notice, ttl time.Duration) bool {
	if holder.departed(notice.ID, notice.Born) {
		return false
	}
	if holder.current.Slots > 0 && !notice.after(holder.current) {
		return false
	}
	if notice.ID != "" && notice.sameLife(holder.current) {
		// An upstream that began to leave does not come back in this life.
		notice.Draining = notice.Draining || holder.current.Draining
	}
	holder.current, holder.held, holder.until = notice, true, now.Add(ttl)
	return true
}

// Leave ends an upstream's life for good; born zero means the life that is
// known. It reports whether this was the present upstream.
func (holder *Holder) Leave(id string, born int64) bool {
	present := holder.held && holder.current.ID == id && (born == 0 || born >= holder.current.Born)
	if born == 0 && holder.current.ID == id {
		born = holder.current.Born
	}
	if id != "" && !holder.departed(id, born) {
		holder.departures = append(holder.departures, departure{id: id, born: born})
		holder.departures = holder.departures[max(0, len(holder.departures)-maxDepartures):]
	}
	if present {
		holder.held = false
	}
	return present
}

// Lose forgets the present upstream, which may come back.
func (holder *Holder) Lose() { holder.held = false }

// Expired reports whether the present upstream was silent for too long.
func (holder *Holder) Expired(now time.Time) bool { return holder.held && now.After(holder.until) }

func (holder *Holder) departed(id string, born int64) bool {
	return id != "" && slices.ContainsFunc(holder.departures, func(gone departure) bool {
		return gone.id == id && born <= gone.born
	})
}

// Recall learns what this node had told others before it was restarted. A
// notice that is overtaken by what is known here is dropped. An upstream whose
// address is given is believed to be there still for the given time; without
// one it has to speak first.
func (holder *Holder) Recall(now time.Time, notice Notice, gone bool, ttl time.Duration) {
	if notice.ID == "" {
		return
	}
	if gone {
		holder.Leave(notice.ID, notice.Born)
		return
	}
	if holder.held && notice.sameLife(holder.current) {
		holder.current.Draining = holder.current.Draining || notice.Draining
		return
	}
	if holder.held || holder.departed(notice.ID, notice.Born) || !notice.after(holder.current) {
		return
	}
	holder.current = notice
	if notice.Address != "" && notice.Service != "" {
		holder.held, holder.until = true, now.Add(ttl)
	}
}
