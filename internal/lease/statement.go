package lease

import "time"

// RateLimit is the rate of calls that an upstream accepts from all nodes
// together. The zero value means that there is no limit.
type RateLimit struct {
	limited   bool
	perSecond float64
}

// NewRateLimit returns a limit in calls per second, which must not be negative.
func NewRateLimit(perSecond float64) RateLimit {
	return RateLimit{limited: true, perSecond: perSecond}
}

// PerSecond returns the limit in calls per second, and false if there is none.
func (limit RateLimit) PerSecond() (float64, bool) { return limit.perSecond, limit.limited }

// Statement is what an upstream states about itself in a response.
type Statement struct {
	// Limit is the rate limit that the response states.
	Limit RateLimit
	// LimitUnreadable is true if the response states a limit that could not be
	// parsed. Limit has no meaning then.
	LimitUnreadable bool
	// Leaving is true if the upstream is about to stop.
	Leaving bool
}

// LimitSource tells how a node learnt of the rate limit of its upstream.
type LimitSource string

// The sources of a limit.
const (
	// LimitFromUpstream is a response of the upstream.
	LimitFromUpstream LimitSource = "upstream"
	// LimitFromRecord is the record that other nodes kept while the node restarted.
	LimitFromRecord LimitSource = "record"
	// LimitFromEntry is an entry node that passed on a response of the upstream.
	LimitFromEntry LimitSource = "entry node"
)

// limitState is the rate limit of the current incarnation of the upstream.
type limitState struct {
	limit  RateLimit
	source LimitSource
	// since is the time from which a limit has been in force without a break.
	since time.Time
	// stated is the time at which a response last stated a limit.
	stated time.Time
	// heard is true once a response of the incarnation has been observed. From then
	// on, only responses change the limit.
	heard bool
}

// RateLimit returns the limit in force.
func (tracker *Tracker) RateLimit() RateLimit { return tracker.limit.limit }

// LimitOrigin returns the time from which a limit has been in force without a break,
// as far as this node knows, and how the node learnt of the limit in force.
func (tracker *Tracker) LimitOrigin() (time.Time, LimitSource) {
	return tracker.limit.since, tracker.limit.source
}

// AdoptLimit applies a limit that another node has learnt from a response of the
// given incarnation, and reports whether the limit changed. It is meant for the time
// after a restart of this node: once a response has been observed, the responses
// alone count. Of two limits, the lower one is kept.
func (tracker *Tracker) AdoptLimit(now time.Time, id string, born int64, limit RateLimit, source LimitSource) bool {
	state := &tracker.limit
	if state.heard || !limit.limited || !tracker.current.sameIncarnation(Notice{ID: id, Born: born}) {
		return false
	}
	if state.limit.limited && state.limit.perSecond <= limit.perSecond {
		return false
	}
	if !state.limit.limited {
		state.since = now
	}
	state.limit, state.source = limit, source
	return true
}

// Observe applies what the upstream of a notice stated in a response to a call
// that was sent at the given time, and reports whether that changed the rate limit
// or whether the upstream accepts new work. It ignores an upstream other than the
// current incarnation. An upstream that is leaving accepts no new work from then
// on, as after a draining notice. A limit ends with a response that does not state
// it, to a call that was sent after the last response that did: responses may
// overtake each other.
func (tracker *Tracker) Observe(now, sent time.Time, upstream Notice, statement Statement) bool {
	if !upstream.sameIncarnation(tracker.current) {
		return false
	}
	left := statement.Leaving && !tracker.current.Draining
	if left {
		tracker.current.Draining = true
	}
	return tracker.limit.observe(now, sent, statement) || left
}

// observe applies the limit of a statement and reports whether the limit changed.
func (state *limitState) observe(now, sent time.Time, statement Statement) bool {
	if statement.LimitUnreadable {
		return false
	}
	state.heard = true
	if !statement.Limit.limited {
		if !state.limit.limited || !sent.After(state.stated) {
			return false
		}
		*state = limitState{heard: true}
		return true
	}
	state.stated = now
	if !state.limit.limited {
		state.since = now
	}
	changed := state.limit != statement.Limit
	state.limit, state.source = statement.Limit, LimitFromUpstream
	return changed
}
