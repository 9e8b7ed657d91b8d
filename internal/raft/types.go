// Package raft is the consensus core of the control plane: a replicated log
// with pre-vote, quorum check, reads confirmed by the quorum, learners, one
// change of membership at a time, and snapshots.
//
// The core has no clock, socket, file or goroutine. It takes events with the
// present time and collects what its owner must do in a Ready: persist first,
// then send, then apply, then report with Done.
package raft

import (
	"fmt"
	"time"
)

// EntryKind tells what a log entry is for.
type EntryKind int

// The kinds of log entry.
const (
	// EntryCommand carries a command for the state machine.
	EntryCommand EntryKind = iota
	// EntryNoop starts a leader's term.
	EntryNoop
	// EntryMembers replaces the membership; it holds from the moment it is in
	// the log.
	EntryMembers
)

// Entry is one record of the replicated log.
type Entry struct {
	Index   uint64
	Term    uint64
	Kind    EntryKind
	Data    []byte
	Members []Member
}

// Member is one replica of the group.
type Member struct {
	// ID is made with the replica's data folder; a wiped disk means a new id.
	ID string
	// Name is the VM's name in its settings; it survives a wiped disk.
	Name string
	// Address is where the replica takes messages.
	Address string
	// Voter is false for a learner, which does not count for any quorum.
	Voter bool
}

// HardState must be persisted before any message that follows from it.
type HardState struct {
	Term uint64
	Vote string
}

// Snapshot stands for the log up to and including Index.
type Snapshot struct {
	Index   uint64
	Term    uint64
	Members []Member
	Data    []byte
}

// MessageKind tells what a message asks or answers.
type MessageKind int

// The kinds of message between replicas.
const (
	MessagePreVote MessageKind = iota
	MessagePreVoteReply
	MessageVote
	MessageVoteReply
	MessageAppend
	MessageAppendReply
	MessageSnapshot
)

// Message travels between replicas. It may be lost, delayed, doubled or
// reordered.
type Message struct {
	Kind MessageKind
	From string
	To   string
	Term uint64
	// Index and LogTerm name the entry before Entries, the candidate's last
	// entry, or in a reply the last entry known to match.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	// Round numbers the leader's confirmations of its leadership; replies
	// echo it.
	Round    uint64
	Reject   bool
	Entries  []Entry
	Snapshot *Snapshot
}

// ReadResult answers ReadIndex: a state machine that has applied Index is as
// fresh as the read's start. OK is false when leadership was lost meanwhile.
type ReadResult struct {
	Token uint64
	Index uint64
	OK    bool
}

// Ready is what the owner must do, in the order of the fields.
type Ready struct {
	// HardState is nil when it has not changed.
	HardState *HardState
	// ReceivedSnapshot is a received snapshot that replaces log and state machine.
	ReceivedSnapshot *Snapshot
	// Entries are to be appended; one with a lower index than the last
	// persisted one replaces the tail from there.
	Entries   []Entry
	Messages  []Message
	Committed []Entry
	Reads     []ReadResult
}

// Empty reports whether there is nothing to do.
func (ready Ready) Empty() bool {
	return ready.HardState == nil && ready.ReceivedSnapshot == nil && len(ready.Entries) == 0 &&
		len(ready.Messages) == 0 && len(ready.Committed) == 0 && len(ready.Reads) == 0
}

// Role is a replica's part in the present term.
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

// NotLeaderError refuses what only the leader can do. Leader is the id of the
// present leader, or empty when none is known.
type NotLeaderError struct {
	Leader string
}

// Error names the leader if there is one.
func (err *NotLeaderError) Error() string {
	if err.Leader == "" {
		return "no leader is known"
	}
	return "not the leader, which is " + err.Leader
}

// MembershipError refuses a change of membership.
type MembershipError struct {
	Reason string
}

// Error returns the reason.
func (err *MembershipError) Error() string { return "membership: " + err.Reason }

// CorruptError reports state that no correct run can produce.
type CorruptError struct {
	Reason string
}

// Error returns the reason.
func (err *CorruptError) Error() string { return fmt.Sprintf("corrupt state: %s", err.Reason) }

// Timing holds the core's durations.
type Timing struct {
	// HeartbeatInterval is the longest silence of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest silence after which a follower seeks votes;
	// the actual one is random between ElectionTimeout and twice that.
	ElectionTimeout time.Duration
	// AbsenceTimeout is the silence after which a voter may be replaced by a learner
	// that has caught up.
	AbsenceTimeout time.Duration
}

// DefaultTiming suits replicas up to 50 ms apart.
func DefaultTiming() Timing {
	return Timing{HeartbeatInterval: 100 * time.Millisecond, ElectionTimeout: 600 * time.Millisecond, AbsenceTimeout: 3 * time.Second}
}
