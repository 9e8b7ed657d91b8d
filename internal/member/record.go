// Package member keeps the soft state about nodes and their upstreams: who is
// present, what it serves, who is leaving and who is suspected. It is spread
// between nodes without the control plane. Each record is written by its owner
// alone and ordered by incarnation and sequence.
//
// The package has no clock, socket or goroutine.
package member

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// State is what an owner says of its upstream.
type State int

// The states of a record, in the order in which one may override another of
// the same incarnation and sequence.
const (
	// StateServing takes new work.
	StateServing State = iota
	// StateIdle has no upstream announced.
	StateIdle
	// StateLeaving finishes its work and takes no more.
	StateLeaving
	// StateSuspect is said by a neighbour that lost its connection; the owner
	// refutes it with a higher sequence.
	StateSuspect
	// StateGone ends a record; it is kept for a while so that an old copy does
	// not come back.
	StateGone
)

// String returns the state's name.
func (state State) String() string {
	return [...]string{"serving", "idle", "leaving", "suspect", "gone"}[state]
}

// Upstream is the target beside a node.
type Upstream struct {
	Service string
	Version string
	// Slots is how many calls the target runs at once.
	Slots int
	// ID, Born and Sequence order what the target said of itself, so that a
	// node that restarted can learn from others what it had acknowledged.
	// Empty and zero for a target without identity.
	ID       string
	Born     int64
	Sequence uint64
	// Draining and Gone tell that the target takes no new work, or left.
	Draining bool
	Gone     bool
}

// Record is what everybody knows of one node.
type Record struct {
	Name string
	Zone string
	// Link is the address for control connections, Gate the one for calls.
	Link string
	Gate string
	// Incarnation is the node's start in nanoseconds since 1970; a restart
	// raises it.
	Incarnation uint64
	// Sequence rises with every change by the owner.
	Sequence uint64
	State    State
	Upstream Upstream
	// Root is true on control VMs, which are the roots of distribution.
	Root bool
}

// Supersedes reports whether record overrides other.
func (record Record) Supersedes(other Record) bool {
	if record.Incarnation != other.Incarnation {
		return record.Incarnation > other.Incarnation
	}
	if record.Sequence != other.Sequence {
		return record.Sequence > other.Sequence
	}
	return record.State >= StateSuspect && record.State > other.State
}

// hash covers what orders records, not their contents, which follow from it.
func (record Record) hash() uint64 {
	comparedState := StateServing
	if record.State >= StateSuspect {
		comparedState = record.State
	}
	return xxhash.Sum64String(fmt.Sprintf("%s %d %d %d", record.Name, record.Incarnation, record.Sequence, comparedState))
}

// Timing holds the durations of the soft state.
type Timing struct {
	// Refresh is how often an owner repeats its record.
	Refresh time.Duration
	// Lease is how long a record holds without being repeated.
	Lease time.Duration
	// Suspicion is how long an owner has to refute a suspicion.
	Suspicion time.Duration
	// Retention is how long a gone record is kept.
	Retention time.Duration
}

// DefaultTiming keeps the steady cost of 480 nodes near one record a second
// for each connection.
func DefaultTiming() Timing {
	return Timing{
		Refresh:   4 * time.Minute,
		Lease:     12 * time.Minute,
		Suspicion: 5 * time.Second,
		Retention: 30 * time.Minute,
	}
}
