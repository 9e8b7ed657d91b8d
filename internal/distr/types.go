// Package distr decides how configurations, membership records and
// observations move between nodes: a tree whose roots are the control VMs,
// with a few lateral connections that repair it and carry on without it.
//
// The core has no clock, socket or goroutine. It takes events with the present
// time and collects actions for its owner.
package distr

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// LinkID names a connection; its owner gives them out and never reuses one.
type LinkID uint64

// Role is what the other end of a connection is to this node.
type Role int

// The roles of the other end.
const (
	// RoleUnknown has not said hello yet.
	RoleUnknown Role = iota
	RoleParent
	RoleChild
	// RoleLateral is an equal that only compares what both know.
	RoleLateral
)

// Address is where a node can be reached for control connections.
type Address struct {
	Name string
	Link string
}

// Message is what travels over a connection. Exactly one field is set.
type Message struct {
	Hello   *Hello
	Welcome *Welcome
	Update  *rsrc.Delta
	Pull    *Pull
	Report  *Report
	Records []member.Record
	Digest  *Digest
	// Path tells a child its ancestors anew, nearest first.
	Path []string
	// Bye ends the connection on purpose; the sender is not to be suspected.
	Bye bool
}

// Hello opens a connection, from the side that dialled.
type Hello struct {
	Name string
	Zone string
	Link string
	// Lateral asks for a comparison of states only, not for a parent.
	Lateral bool
	// Version is the configuration the sender runs; zero for none.
	Version uint64
	// NeedFloor asks for a confirmed minimum version.
	NeedFloor bool
}

// Welcome answers a hello.
type Welcome struct {
	Name string
	Zone string
	// Accepted is false when the sender has to go elsewhere.
	Accepted bool
	// Redirect lists other parents to try, best first.
	Redirect []Address
	// RetryAfter is how long to wait before asking here again; zero for the
	// usual backoff.
	RetryAfter time.Duration
	// Floor is a minimum version; Confirmed says that a quorum of control VMs
	// stands behind it, otherwise it is only the version the sender runs.
	Floor     uint64
	Confirmed bool
	// Path lists the ancestors of a new child, nearest first; rootMark ends a
	// path that leads to a root.
	Path []string
	// Former is the sender's record of the receiver, so that one that was
	// restarted learns what it had told before.
	Former *member.Record
}

// rootMarker follows the name of a root in a path.
const rootMarker = "*"

// Pull asks for what follows a version.
type Pull struct {
	Version uint64
}

// Digest compares states. The side that dialled sends its sums at times; the
// other answers with its own sums, which also shows that it is alive, or with
// its groups of records if they differ.
type Digest struct {
	Version uint64
	// Sum stands for all groups of membership records.
	Sum uint64
	// Groups is sent when the sums differ.
	Groups *member.Digest
	// Last ends an exchange: records may follow, but no further digest.
	Last bool
}

// Report tells a parent about the sender and everything below it.
type Report struct {
	// Version is the lowest configuration version in force below.
	Version uint64
	// Count is the number of nodes below, the sender included.
	Count int
	// Room says that a new child would be taken below.
	Room bool
	// Observations are merged and sent once; a lost one is not repeated.
	Observations []Observation
}

// LatencyBuckets is the number of latency classes of an observation.
const LatencyBuckets = 24

// Latency class i counts answers of up to LatencyBase * LatencyGrowth^i.
const (
	LatencyBase   = 500 * time.Microsecond
	LatencyGrowth = 1.5
)

// LatencyBucket returns the class of a duration; the last one is open.
func LatencyBucket(latency time.Duration) int {
	bound := float64(LatencyBase)
	for bucket := range LatencyBuckets - 1 {
		if float64(latency) <= bound {
			return bucket
		}
		bound *= LatencyGrowth
	}
	return LatencyBuckets - 1
}

// Observation counts outcomes of one version on one route since the last
// observation.
type Observation struct {
	Route   string
	Version string
	// Epoch ties the counts to one rollout.
	Epoch  uint64
	Calls  int
	Errors int
	// Latency counts the calls without error by class.
	Latency [LatencyBuckets]int
}

type observationKey struct {
	route   string
	version string
	epoch   uint64
}

// merge merges another observation of the same route, version and epoch.
func (observation *Observation) merge(other Observation) {
	observation.Calls += other.Calls
	observation.Errors += other.Errors
	for i, count := range other.Latency {
		observation.Latency[i] += count
	}
}

// Action is what the owner has to do. Exactly one field is set, besides ID
// for actions on a connection.
type Action struct {
	ID LinkID
	// Send is delivered on connection ID or lost with it.
	Send *Message
	// Close ends connection ID; no LinkDown follows.
	Close bool
	// Dial asks for a connection to an address; LinkUp or DialFailed follows.
	Dial string
	// Config is the configuration to run from now on, swapped whole.
	Config *rsrc.Config
	// Refused reports an update that failed its check and was not applied.
	Refused error
	// Former is what this node had told of itself before it was restarted.
	Former *member.Record
	// Confirm asks a root for a quorum-confirmed version for connection ID.
	Confirm bool
}

// Timing holds the core's durations.
type Timing struct {
	// Report is the longest pause between reports to the parent.
	Report time.Duration
	// Observe is the longest pause between reports that carry observations.
	Observe time.Duration
	// Compare is the pause between comparisons on lateral connections.
	Compare time.Duration
	// Retry is the mean backoff before another try to find a parent.
	Retry time.Duration
	// RetryMax bounds the growth of that backoff.
	RetryMax time.Duration
	// Coalesce is how long news is held back to travel together.
	Coalesce time.Duration
}

// DefaultTiming spreads a change over a tree of depth four within half a
// second. Comparisons also show that a connection is alive: three of them fit
// into the longest silence.
func DefaultTiming() Timing {
	return Timing{
		Report:   2 * time.Second,
		Observe:  200 * time.Millisecond,
		Compare:  500 * time.Millisecond,
		Retry:    300 * time.Millisecond,
		RetryMax: time.Second,
		Coalesce: 50 * time.Millisecond,
	}
}

// Settings describe the node a core runs on.
type Settings struct {
	Name string
	Zone string
	Link string
	// Root is true on control VMs, which get configurations from the log.
	Root bool
	// Parents are the addresses of control VMs, Seeds those of nodes to ask
	// when no control VM answers.
	Parents []string
	Seeds   []string
	// MaxChildren bounds the children of this node; zero takes none.
	MaxChildren int
	// MaxLaterals is how many lateral connections the node opens.
	MaxLaterals int
	// JoinsPerSecond bounds how many new children a root confirms a second.
	JoinsPerSecond int
	Timing         Timing
	Members        member.Timing
}

// minPeersForFloor is how many nodes must state their version before a node
// without memory trusts them in place of the control VMs.
const minPeersForFloor = 3

// Reset sets all counts to zero.
func (observation *Observation) Reset() {
	observation.Calls, observation.Errors = 0, 0
	observation.Latency = [LatencyBuckets]int{}
}
