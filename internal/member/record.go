// Package member implements the membership table: soft state about every node
// and its upstream, that is, which nodes are present, what they serve, and
// which are leaving or suspected to have failed. Nodes exchange the records
// among themselves and do not need the control plane for it. The owner of a
// record is the node that it describes. Only the owner changes its contents,
// and the versions of a record are ordered by incarnation and sequence. Other
// nodes may only mark a record as suspect or gone.
//
// The package uses no clock, sockets or goroutines; callers pass in the time.
package member

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/vanillapulley/vanillapulley/internal/warmup"
)

// State is the state of a node's record.
type State int

// The states of a record. Between two records with the same incarnation and
// sequence, StateSuspect overrides serving, idle and leaving, and StateGone
// overrides all others.
const (
	// StateServing means that the upstream accepts new calls.
	StateServing State = iota
	// StateIdle means that no upstream has been announced.
	StateIdle
	// StateLeaving means that running calls are completed and no new calls
	// are accepted.
	StateLeaving
	// StateSuspect is set by a neighbour whose connection to the node was
	// lost. The owner refutes it by announcing a higher sequence.
	StateSuspect
	// StateGone means that the node has left, that its lease has expired, or
	// that it did not refute a suspicion in time. The record is retained for a
	// while so that an old copy received from another node does not restore it.
	StateGone
)

// String returns the name of the state.
func (state State) String() string {
	return [...]string{"serving", "idle", "leaving", "suspect", "gone"}[state]
}

// Upstream describes the target that runs next to a node.
type Upstream struct {
	Service string
	Version string
	// Slots is the number of calls the target runs concurrently.
	Slots int
	// ID, Born and Sequence are those of the last notice from the target that
	// the node has acknowledged, so that a restarted node can learn from other
	// nodes which notices it had acknowledged. ID identifies the target, Born is
	// its start time in milliseconds since 1970, and Sequence orders the notices
	// since that start. They are empty and zero for a target without an identity.
	ID       string
	Born     int64
	Sequence uint64
	// Limit is the number of calls per second that the target accepts from all
	// nodes together, according to its responses. It has a meaning only if Limited
	// is true.
	Limited bool
	Limit   float64
	// LimitedSince is when the node first heard of a limit that has held without a
	// break since then, in milliseconds since 1970 on its clock. LimitSource is how
	// the node learnt of the present limit. Both are for operators only.
	LimitedSince int64
	LimitSource  string
	// Draining is true when the target accepts no new calls, and Gone is true
	// when it has left.
	Draining bool
	Gone     bool
	// WarmUp tells whether the target is cold, and for how long.
	WarmUp warmup.Forecast
}

// Record is the membership record of one node, replicated to all nodes.
type Record struct {
	Name string
	Zone string
	// Link is the node's address for control connections, and Gate its address
	// for calls.
	Link string
	Gate string
	// Incarnation is the start time of the node in nanoseconds since 1970, so
	// it increases with every restart.
	Incarnation uint64
	// Sequence increases with every announcement by the owner.
	Sequence uint64
	State    State
	Upstream Upstream
	// Root is true for control VMs, which are the roots of the distribution
	// tree.
	Root bool
}

// Supersedes reports whether record overrides other: it has a higher
// incarnation, or the same incarnation and a higher sequence. If both are equal,
// a suspect record overrides a serving, idle or leaving one, and a gone record
// overrides one in any other state.
func (record Record) Supersedes(other Record) bool {
	if record.Incarnation != other.Incarnation {
		return record.Incarnation > other.Incarnation
	}
	if record.Sequence != other.Sequence {
		return record.Sequence > other.Sequence
	}
	return record.State >= StateSuspect && record.State > other.State
}

// hash returns a hash of the name and of the fields that order records. The other
// fields are left out because the owner increases the sequence whenever it
// changes them.
func (record Record) hash() uint64 {
	comparedState := StateServing
	if record.State >= StateSuspect {
		comparedState = record.State
	}
	return xxhash.Sum64String(fmt.Sprintf("%s %d %d %d", record.Name, record.Incarnation, record.Sequence, comparedState))
}

// Timing holds the intervals and timeouts of the membership table.
type Timing struct {
	// Refresh is the interval at which an owner repeats its record.
	Refresh time.Duration
	// Lease is how long a record stays valid without being repeated.
	Lease time.Duration
	// Suspicion is how long an owner has to refute a suspicion before its
	// record is marked as gone.
	Suspicion time.Duration
	// Retention is how long a record is kept after it is marked as gone.
	Retention time.Duration
}

// DefaultTiming returns the default durations. With 480 nodes they keep the
// steady-state traffic near one record per second on each connection.
func DefaultTiming() Timing {
	return Timing{
		Refresh:   4 * time.Minute,
		Lease:     12 * time.Minute,
		Suspicion: 5 * time.Second,
		Retention: 30 * time.Minute,
	}
}
