// Package skew estimates the difference between a node's own clock and the clocks of its
// peers from ordinary exchanges, so that a request can state when it was sent in terms of
// its receiver's clock. The receiver then knows how long the request was in the link.
//
// A request arrives after it was sent, and a response after it was written. Each exchange
// thus gives an upper and a lower bound of the difference. The estimate is the lowest
// upper bound, which is that of the request with the shortest time in the link. The time
// in the link of later requests is therefore never overestimated, unless a clock jumps.
// The first exchange after a jump contradicts the estimate by its bounds and replaces it.
//
// The package uses no clock, socket or goroutine: callers pass in the times.
package skew

import (
	"maps"
	"time"
)

// Exchange contains the times of a request and its response.
type Exchange struct {
	// Peer identifies the run of the peer whose clock is meant.
	Peer uint64
	// Sent and Answered are on the own clock, Arrived and Responded on the peer's.
	Sent      time.Duration
	Arrived   time.Duration
	Responded time.Duration
	Answered  time.Duration
}

// clock is the estimate for one peer: the peer's clock minus the own one.
type clock struct {
	peer   uint64
	offset time.Duration
}

// Table holds the estimates for all peers. It is not safe for concurrent use.
type Table struct {
	clocks map[string]clock
}

// New returns a table without estimates.
func New() *Table { return &Table{clocks: map[string]clock{}} }

// Observe records an exchange with the peer of the given name.
func (table *Table) Observe(name string, exchange Exchange) {
	upper, lower := exchange.Arrived-exchange.Sent, exchange.Responded-exchange.Answered
	if lower > upper {
		// A clock jumped during the exchange.
		delete(table.clocks, name)
		return
	}
	known, ok := table.clocks[name]
	if !ok || known.peer != exchange.Peer || known.offset > upper || known.offset < lower {
		table.clocks[name] = clock{peer: exchange.Peer, offset: upper}
	}
}

// PeerTime converts a time on the own clock to that on a peer's clock. It returns false
// if there is no estimate.
func (table *Table) PeerTime(name string, own time.Duration) (peer uint64, at time.Duration, ok bool) {
	known, ok := table.clocks[name]
	return known.peer, own + known.offset, ok
}

// Keep removes the estimates for all peers but those for which keep returns true.
func (table *Table) Keep(keep func(name string) bool) {
	maps.DeleteFunc(table.clocks, func(name string, _ clock) bool { return !keep(name) })
}
