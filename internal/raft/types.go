// Package raft implements the Raft consensus algorithm for the control plane:
// a replicated log with pre-vote, check-quorum, linearizable reads (ReadIndex),
// learners, single-step membership changes and snapshots.
//
// Core uses no clock, socket, file or goroutine. The caller passes in each
// event with the current time and collects the resulting work as a Ready. The
// caller must persist the state in the Ready, then send its messages, then
// apply its committed entries, and finally call Advance.
package raft

import (
	"fmt"
	"time"
)

// EntryKind is the kind of a log entry.
type EntryKind int

// The kinds of log entries.
const (
	// EntryCommand contains a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop is the empty entry that a new leader appends to its log first.
	EntryNoop
	// EntryMembers replaces the membership. The new membership takes effect
	// when the entry is appended to the log, before it is committed.
	EntryMembers
)

// Entry is an entry of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members []Member
}

// Member describes one replica of the Raft group.
type Member struct {
	// ID is generated when the replica's data folder is created. A replica
	// whose disk was wiped gets a new id.
	ID string
	// Name is the VM's name from its settings. It stays the same after the
	// disk is wiped.
	Name string
	// Address is the network address at which the replica receives messages.
	Address string
	// Voter is false for a learner, which does not count toward any quorum.
	Voter bool
}

// HardState is the current term and the vote cast in it. It must be persisted
// before any message that depends on it is sent.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot replaces all log entries up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	Data    []byte
}

// MessageKind is the kind of a request or reply between replicas.
type MessageKind int

// The kinds of messages between replicas.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	// MessageAppendReply is the reply to an append or a snapshot.
	MessageAppendReply
	MessageSnapshot
	// MessageTimeoutNow asks a voter to start an election at once, because the leader is
	// about to stop.
	MessageTimeoutNow
)

// Message is a message between replicas. The network may drop, delay, duplicate
// or reorder it.
type Message struct {
	Kind MessageKind
	From string
	To   string
	// Term is the sender's current term, with two exceptions: a pre-vote request
	// has the term after the sender's current term, and a reply that grants a
	// pre-vote repeats the term of the request.
	Term uint64
	// Index and LogTerm identify the entry that precedes Entries in an append,
	// or the candidate's last entry in a pre-vote or vote request. In an append
	// reply, Index is the last entry known to match the leader's log. If Reject
	// is set, the entries that the leader sends next start at Index+1 or lower.
	Index   uint64
	LogTerm uint64
	// Commit is the leader's commit index.
	Commit uint64
	// Round is the number of the leader's latest confirmation round, in which
	// the leader asks a quorum to confirm that it is still the leader. A reply
	// repeats the round of the message that it answers, unless that message has
	// an earlier term.
	Round  uint64
	Reject bool
	// Transfer is set in a vote request whose sender was asked by the leader to start the
	// election. It is granted although the leader is alive.
	Transfer bool
	Entries  []Entry
	Snapshot *Snapshot
}

// ReadResult is the result of a ReadIndex call. A state machine that has applied
// Index contains every write that was committed before the read started. OK is
// false if leadership was lost before the read was confirmed.
type ReadResult struct {
	Token uint64
	Index uint64
	OK    bool
}

// Ready is the work that the caller must do before it calls Advance, in the order
// of the fields.
type Ready struct {
	// HardState is nil if it has not changed.
	HardState *HardState
	// ReceivedSnapshot is a snapshot from the leader that replaces the log and
	// the state of the state machine. It is nil if there is none.
	ReceivedSnapshot *Snapshot
	// Entries must be appended to the persisted log. An entry whose index is
	// already present replaces that entry and all entries after it.
	Entries []Entry
	// Messages must be sent to other replicas.
	Messages []Message
	// Committed must be applied to the state machine.
	Committed []Entry
	// Reads are the results of earlier ReadIndex calls.
	Reads []ReadResult
}

// Empty reports whether ready contains no work.
func (ready Ready) Empty() bool {
	return ready.HardState == nil && ready.ReceivedSnapshot == nil && len(ready.Entries) == 0 &&
		len(ready.Messages) == 0 && len(ready.Committed) == 0 && len(ready.Reads) == 0
}

// Role is a replica's role in the current term.
type Role int

// The roles of a replica.
const (
	RoleFollower Role = iota
	RolePreCandidate
	RoleCandidate
	RoleLeader
)

// String returns the role's name.
func (role Role) String() string {
	return [...]string{"follower", "precandidate", "candidate", "leader"}[role]
}

// NotLeaderError is returned for an operation that only the leader can perform.
// Leader is the id of the current leader, or empty if none is known.
type NotLeaderError struct {
	Leader string
}

// Error returns a message that includes the leader's id if it is known.
func (err *NotLeaderError) Error() string {
	if err.Leader == "" {
		return "no leader is known"
	}
	return "not the leader, which is " + err.Leader
}

// MembershipError reports why a membership change was rejected.
type MembershipError struct {
	Reason string
}

// Error returns the reason.
func (err *MembershipError) Error() string { return "membership: " + err.Reason }

// CorruptError reports a state, message or call that a correct execution cannot
// produce.
type CorruptError struct {
	Reason string
}

// Error returns the reason.
func (err *CorruptError) Error() string { return fmt.Sprintf("corrupt state: %s", err.Reason) }

// Timing contains the timeouts and intervals of a Core.
type Timing struct {
	// HeartbeatInterval is the maximum time between two appends from a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without an append or snapshot from the
	// leader after which a follower starts a pre-vote. The actual timeout is
	// random between ElectionTimeout and twice that. It is shorter after startup,
	// after a failed pre-vote, and after the rejection of a candidate whose log
	// is less up to date.
	ElectionTimeout time.Duration
	// AbsenceTimeout is the time without a reply after which a voter may be
	// replaced by a learner that has caught up.
	AbsenceTimeout time.Duration
}

// DefaultTiming returns the timing for replicas that are up to 50 ms apart.
func DefaultTiming() Timing {
	return Timing{HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 600 * time.Millisecond, AbsenceTimeout: 3 * time.Second}
}
