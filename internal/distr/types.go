// Package distr implements the protocol that distributes configurations,
// membership records and observations between nodes. The nodes form a tree with
// the control VMs, called roots, at the top: the control VM that is the leader
// has no parent, and the other control VMs are its children. Each node also
// opens a few lateral connections to other nodes, which deliver what did not
// arrive through the tree and keep the exchange running when the control VMs are down.
//
// The core uses no clock, sockets or goroutines. It receives events with the
// current time and collects actions that its owner carries out.
package distr

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// LinkID identifies a connection. The owner of the core assigns the IDs and
// never reuses one.
type LinkID uint64

// Role is the role that the other end of a connection has for this node.
type Role int

// The roles of the other end.
const (
	// RoleUnknown means that the handshake is not complete.
	RoleUnknown Role = iota
	RoleParent
	RoleChild
	// RoleLateral is a lateral peer, that is, a node connected outside the tree.
	// Both ends compare their states and exchange what is missing.
	RoleLateral
)

// Address holds a node's name and its address for control connections.
type Address struct {
	Name string
	Link string
}

// Message is a message sent over a connection. Exactly one field is set.
type Message struct {
	Hello   *Hello
	Welcome *Welcome
	Update  *rsrc.Delta
	Pull    *Pull
	Report  *Report
	Records []member.Record
	Digest  *Digest
	// Path is sent to a child when its ancestors change. It lists them, nearest
	// first.
	Path []string
	// Sync asks for a reply with Synced.
	Sync *Sync
	// Synced confirms that the sender has the record for which Sync asked.
	Synced ReplicationID
	// Bye announces that the sender closes the connection. The receiver must
	// not suspect the sender of having failed.
	Bye bool
}

// Sync asks whether the receiver has the sender's record that was sent before.
type Sync struct {
	ID ReplicationID
	// Incarnation is that of the record. A receiver that knows a higher one has
	// rejected the record.
	Incarnation uint64
}

// Hello is the first message on a connection. The side that dialled sends it.
type Hello struct {
	Name string
	Zone string
	Link string
	// Lateral requests a lateral connection. Without it, the sender requests to
	// become a child.
	Lateral bool
	// Version is the configuration version the sender runs, or zero if it has
	// none.
	Version uint64
	// NeedFloor asks a control VM for the lowest configuration version that the
	// sender may apply, confirmed by a quorum of control VMs.
	NeedFloor bool
}

// Welcome is the reply to a Hello. It accepts or refuses the request.
type Welcome struct {
	Name string
	Zone string
	// Accepted is false when the request is refused and the sender of the Hello
	// has to try another node.
	Accepted bool
	// Redirect lists other parents to try, best first.
	Redirect []Address
	// RetryAfter is how long to wait before the next attempt, or zero for the
	// default delay.
	RetryAfter time.Duration
	// Floor is, if Confirmed is true, the lowest configuration version that the
	// receiver may apply, confirmed by a quorum of control VMs. Otherwise it is
	// the version the sender runs, or zero if the sender is not ready.
	Floor     uint64
	Confirmed bool
	// Path lists the ancestors of a new child, nearest first. A path that leads
	// to a root ends with rootMarker.
	Path []string
	// Former is the sender's record of the receiver. From it a restarted
	// receiver recovers what it had announced before the restart.
	Former *member.Record
	// Departures are those of the upstreams of all nodes, as far as the sender knows them
	// from the replicated log. They come with Floor.
	Departures []member.Departure
}

// rootMarker is the path element that follows the name of a root. It marks a path
// as leading to a root.
const rootMarker = "*"

// Pull requests the changes after Version. Version zero requests a full copy.
type Pull struct {
	Version uint64
}

// Digest is used to compare the states of two nodes. The side that dialled
// sends its sum periodically. The other side replies with its own sum, which
// also serves as a heartbeat, and adds the hashes of its buckets if the sums
// differ.
type Digest struct {
	Version uint64
	// Sum is the hash over all buckets of membership records.
	Sum uint64
	// Groups holds the hash of each bucket of records. It is set when the sums
	// differ.
	Groups *member.Digest
	// Last marks the last digest of an exchange. Only records may follow it.
	Last bool
}

// Report describes the sender's subtree to its parent.
type Report struct {
	// Version is the lowest configuration version in force in the subtree.
	Version uint64
	// Count is the number of nodes in the subtree, including the sender.
	Count int
	// Room is true if a node in the subtree can accept another child.
	Room bool
	// Observations are merged and sent at most once. Lost observations are not
	// sent again.
	Observations []Observation
}

// LatencyBuckets is the number of buckets of an observation's latency
// histogram.
const LatencyBuckets = 24

// Latency bucket i counts calls with a latency of up to
// LatencyBase * LatencyGrowth^i that were not counted in a lower bucket.
const (
	LatencyBase   = 500 * time.Microsecond
	LatencyGrowth = 1.5
)

// LatencyBucket returns the index of the bucket for a latency. The last bucket
// has no upper bound.
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

// Observation counts the outcomes of calls to one version in one rollout since
// the previous observation.
type Observation struct {
	// Route is the subject of the rollout, which is the name of the route in the
	// rollout of a route.
	Route string
	// Version is empty for the old versions in the rollout of a whole service.
	Version string
	// Class is the class of the calls, from 0 to CallClasses-1.
	Class int
	// Epoch identifies the rollout to which the counts belong.
	Epoch  uint64
	Calls  int
	Errors int
	// Latency is the latency histogram of the calls that succeeded.
	Latency [LatencyBuckets]int
}

// CallClasses is the number of classes of calls that are observed apart. It bounds the
// size of reports; routes share classes beyond it.
const CallClasses = 4

type observationKey struct {
	route   string
	version string
	class   int
	epoch   uint64
}

// merge adds the counts of another observation of the same route, version, class and
// epoch.
func (observation *Observation) merge(other Observation) {
	observation.Calls += other.Calls
	observation.Errors += other.Errors
	for i, count := range other.Latency {
		observation.Latency[i] += count
	}
}

// Action is an instruction to the owner of the core. Exactly one field is set,
// in addition to ID for actions that concern a connection.
type Action struct {
	ID LinkID
	// Send is a message to send on connection ID. It is lost if the connection
	// fails first.
	Send *Message
	// Close requests that connection ID be closed. The owner does not call
	// LinkDown for it.
	Close bool
	// Dial is an address to connect to. The owner then calls LinkUp or
	// DialFailed.
	Dial string
	// Config is the new configuration, which replaces the previous one
	// atomically.
	Config *rsrc.Config
	// Refused is the error of an update that failed validation and was not
	// applied.
	Refused error
	// Former is another node's record of this node. After a restart it is the
	// record that this node announced before.
	Former *member.Record
	// Replicated reports that enough other nodes have received a record.
	Replicated ReplicationID
	// Confirm requests a version confirmed by a quorum, for the node that joins
	// on connection ID. Only roots emit it; the owner then calls Confirmed.
	Confirm bool
}

// Timing holds the intervals and delays of the core.
type Timing struct {
	// Report is the maximum interval between reports to the parent.
	Report time.Duration
	// Observe is the maximum interval between reports while there are
	// observations to send.
	Observe time.Duration
	// Compare is the interval between digests sent to the parent and over
	// lateral connections.
	Compare time.Duration
	// Retry is the mean delay between attempts to find a parent after the fast
	// ones (see fastRetries). The delay doubles with each further unanswered
	// attempt. Attempts to open lateral connections are 2*Retry apart on average.
	Retry time.Duration
	// RetryMax is the maximum mean delay between attempts to find a parent.
	RetryMax time.Duration
	// Coalesce is how long changed records are held back so that they are sent
	// in one message.
	Coalesce time.Duration
}

// DefaultTiming returns the default durations. With them, a change reaches all
// nodes of a tree of depth four within half a second. Digests also serve as
// heartbeats: three intervals of Compare fit into the idle timeout of a
// connection between nodes.
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

// Settings holds the configuration of a core.
type Settings struct {
	Name string
	Zone string
	Link string
	// Root is true on every control VM, whether leader or not. Control VMs
	// receive configurations from the replicated log.
	Root bool
	// Parents holds the addresses of control VMs. Seeds holds the addresses of
	// other nodes, which are used while the membership table contains no suitable
	// node. The node tries them as lateral peers, and as parents when control VMs
	// do not answer or refuse repeatedly.
	Parents []string
	Seeds   []string
	// MaxChildren is the maximum number of children of this node. With zero it
	// accepts none.
	MaxChildren int
	// MaxLaterals is the number of lateral connections the node opens.
	MaxLaterals int
	// JoinsPerSecond is the maximum rate at which a root admits joining nodes.
	JoinsPerSecond int
	Timing         Timing
	Members        member.Timing
}

// minPeersForFloor is the number of nodes that must report their version before a
// node without a confirmed minimum version uses the highest reported one. They
// must be in at least two zones.
const minPeersForFloor = 3

// Reset sets all counts to zero and keeps the route, version and epoch.
func (observation *Observation) Reset() {
	observation.Calls, observation.Errors = 0, 0
	observation.Latency = [LatencyBuckets]int{}
}
