package raft

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Limits on the entries in one append message.
const (
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
)

// progress is the leader's record of another replica's state.
type progress struct {
	// match is the highest index known to be persisted by the replica.
	match uint64
	// next is the index of the next entry to send. It is greater than match.
	next uint64
	// round is the highest confirmation round that the replica has replied to;
	// see Message.Round.
	round uint64
	// lastReply is the time of the replica's last reply.
	lastReply time.Time
	// lastSnapshotSent is the time a snapshot was last sent to the replica. It
	// limits how often a snapshot is sent again.
	lastSnapshotSent time.Time
}

// pendingRead is a read that waits until a quorum has confirmed the given round;
// see Message.Round.
type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// Core is the state machine of one Raft replica. It is not safe for concurrent
// use.
type Core struct {
	id     string
	timing Timing
	random *rand.Rand

	hardState          HardState
	persistedHardState HardState
	role               Role
	leader             string

	log logState
	// commit never decreases, and applied never exceeds commit.
	commit  uint64
	applied uint64

	// votes contains the ids of the replicas that granted their vote or pre-vote
	// in the current election.
	votes    map[string]bool
	progress map[string]*progress
	// leaving maps the ids of replicas that are about to stop to the time at which they
	// last said so. It is used by the leader only.
	leaving map[string]time.Time
	// round is the number of the latest confirmation round; see Message.Round.
	round uint64
	reads []pendingRead
	// deferredReads are the tokens of reads that wait until the leader has
	// committed an entry of its own term.
	deferredReads []uint64

	// electionDue is the time of this replica's next pre-vote.
	electionDue time.Time
	// startupPreVotes counts the pre-votes since the replica started. While it
	// is below maxStartupPreVotes, pre-votes are retried at short intervals. An
	// append or snapshot from a leader sets it to maxStartupPreVotes.
	startupPreVotes int
	heartbeatDue    time.Time
	// lastLeaderContact is the time of the last append or snapshot from the
	// current leader.
	lastLeaderContact time.Time

	receivedSnapshot *Snapshot
	messages         []Message
	readResults      []ReadResult
}

// DurableState is the state that a replica reads from its disk at startup.
type DurableState struct {
	HardState HardState
	// Snapshot is nil if no snapshot has been taken.
	Snapshot *Snapshot
	// Entries have consecutive indexes. Entries that the snapshot covers are
	// ignored.
	Entries []Entry
}

// New returns a replica with the given id and durable state. The replica starts
// no election while the latest membership in its log does not list it as a voter.
func New(id string, durable DurableState, timing Timing, random *rand.Rand, now time.Time) (*Core, error) {
	log, err := newLogState(durable)
	if err != nil {
		return nil, err
	}
	core := &Core{
		id:                 id,
		timing:             timing,
		random:             random,
		hardState:          durable.HardState,
		persistedHardState: durable.HardState,
		log:                log,
		commit:             log.baseSnapshot.Index,
		applied:            log.baseSnapshot.Index,
	}
	core.electionDue = core.startupElectionTime(now)
	return core, nil
}

// Resume tells a new core that the caller has applied all entries up to index before it
// read the durable state again, which shows that they are committed. It returns false,
// and changes nothing, if the log does not end at index or later.
func (core *Core) Resume(index uint64) bool {
	if index < core.commit || index > core.log.last() {
		return false
	}
	core.commit, core.applied = index, index
	return true
}

// ID returns the replica's id.
func (core *Core) ID() string { return core.id }

// Role returns the replica's role in the current term.
func (core *Core) Role() Role { return core.role }

// Term returns the current term.
func (core *Core) Term() uint64 { return core.hardState.Term }

// Leader returns the id of the current term's leader, or an empty string if it
// is not known.
func (core *Core) Leader() string { return core.leader }

// Commit returns the highest index known to be committed.
func (core *Core) Commit() uint64 { return core.commit }

// Applied returns the highest index that the caller has applied, as reported to
// Advance.
func (core *Core) Applied() uint64 { return core.applied }

// LastIndex returns the index of the last entry in the log.
func (core *Core) LastIndex() uint64 { return core.log.last() }

// SnapshotIndex returns the index of the snapshot that precedes the log, or zero
// if there is none.
func (core *Core) SnapshotIndex() uint64 { return core.log.baseSnapshot.Index }

// Members returns the latest membership in the log, which may be uncommitted.
func (core *Core) Members() []Member { return core.log.members }

// CommittedMembers returns the latest committed membership.
func (core *Core) CommittedMembers() []Member { return core.log.membersAt(core.commit) }

// Entry returns the entry at the given index, or false if the log does not
// contain it, for example because it was compacted.
func (core *Core) Entry(index uint64) (Entry, bool) { return core.log.entry(index) }

// Tick sends a heartbeat or starts a pre-vote if one is due at the given time. If
// this replica is a leader without an active quorum, it steps down. Call Tick at
// least every half heartbeat interval.
func (core *Core) Tick(now time.Time) {
	if core.role == RoleLeader {
		core.tickLeader(now)
		return
	}
	if now.Before(core.electionDue) || !core.isVoter(core.id) {
		return
	}
	core.campaign(now, RolePreCandidate, false)
}

// tickLeader steps down if the leader has lost its quorum, and otherwise sends
// a heartbeat if one is due.
func (core *Core) tickLeader(now time.Time) {
	if !core.quorumActive(now) {
		core.becomeFollower(now, core.hardState.Term, "")
		return
	}
	if !now.Before(core.heartbeatDue) {
		core.broadcast(now)
	}
}

// quorumActive reports whether a quorum of voters replied within the election
// timeout. This replica counts as having replied.
func (core *Core) quorumActive(now time.Time) bool {
	return core.hasQuorum(func(id string) bool {
		return id == core.id || now.Sub(core.progress[id].lastReply) < core.timing.ElectionTimeout
	})
}

// hasQuorum reports whether the voters for which satisfies returns true form a
// quorum.
func (core *Core) hasQuorum(satisfies func(id string) bool) bool {
	voters, count := 0, 0
	for _, member := range core.log.members {
		if !member.Voter {
			continue
		}
		voters++
		if satisfies(member.ID) {
			count++
		}
	}
	return voters > 0 && count > voters/2
}

func (core *Core) isVoter(id string) bool {
	return slices.ContainsFunc(core.log.members, func(member Member) bool { return member.ID == id && member.Voter })
}

// maxStartupPreVotes is the number of pre-votes that a newly started replica makes
// at short intervals before it uses the longer intervals set in campaign. With the
// default timing, these pre-votes take about one second (0.3 to 1.5 s), by which
// time the other replicas have restarted as well.
const maxStartupPreVotes = 6

// startupElectionTime returns the time at which a newly started replica begins
// its next pre-vote. The delay is shorter than an election timeout, because the
// replica knows no leader and the pre-vote cannot disturb an existing one. The
// other replicas may still be starting, so a failed pre-vote is retried after
// another such delay, for up to maxStartupPreVotes pre-votes.
func (core *Core) startupElectionTime(now time.Time) time.Time {
	return now.Add(core.timing.HeartbeatInterval/2 + time.Duration(core.random.Int64N(int64(core.timing.ElectionTimeout/3))))
}

// resetElectionTimer restarts the randomized election timeout.
func (core *Core) resetElectionTimer(now time.Time) {
	jitter := time.Duration(core.random.Int64N(int64(core.timing.ElectionTimeout)))
	core.electionDue = now.Add(core.timing.ElectionTimeout + jitter)
}

// becomeFollower makes the replica a follower of the given leader, which may be
// empty, and fails its pending reads.
func (core *Core) becomeFollower(now time.Time, term uint64, leader string) {
	if term > core.hardState.Term {
		core.hardState = HardState{Term: term}
	}
	core.role = RoleFollower
	core.leader = leader
	core.votes = nil
	core.progress, core.leaving = nil, nil
	core.failReads()
	core.resetElectionTimer(now)
}

func (core *Core) failReads() {
	for _, read := range core.reads {
		core.readResults = append(core.readResults, ReadResult{Token: read.token})
	}
	for _, token := range core.deferredReads {
		core.readResults = append(core.readResults, ReadResult{Token: token})
	}
	core.reads, core.deferredReads = nil, nil
}

// campaign starts a pre-vote, or an election after a successful pre-vote or at the request
// of the leader, which transfer says.
func (core *Core) campaign(now time.Time, role Role, transfer bool) {
	core.role = role
	core.leader = ""
	core.votes = map[string]bool{core.id: true}
	core.resetElectionTimer(now)
	if role == RolePreCandidate {
		// A failed pre-vote is retried after half to one election timeout instead
		// of one to two, and sooner during startup, because a pre-vote does not
		// disturb the other replicas.
		half := core.timing.ElectionTimeout / 2
		core.electionDue = now.Add(half + time.Duration(core.random.Int64N(int64(half))))
		if core.startupPreVotes++; core.startupPreVotes < maxStartupPreVotes {
			core.electionDue = core.startupElectionTime(now)
		}
	}
	kind, term := MessagePreVote, core.hardState.Term+1
	if role == RoleCandidate {
		core.hardState = HardState{Term: term, Vote: core.id}
		kind = MessageVote
	}
	for _, member := range core.log.members {
		if member.Voter && member.ID != core.id {
			core.send(Message{Kind: kind, To: member.ID, Term: term, Index: core.log.last(), LogTerm: core.log.lastTerm(), Transfer: transfer})
		}
	}
	core.tallyVotes(now)
}

// tallyVotes moves to the next stage of the election if a quorum has granted its
// votes.
func (core *Core) tallyVotes(now time.Time) {
	won := core.hasQuorum(func(id string) bool { return core.votes[id] })
	switch {
	case !won:
	case core.role == RolePreCandidate:
		core.campaign(now, RoleCandidate, false)
	case core.role == RoleCandidate:
		core.becomeLeader(now)
	}
}

func (core *Core) becomeLeader(now time.Time) {
	core.role = RoleLeader
	core.leader = core.id
	core.progress = map[string]*progress{}
	core.leaving = map[string]time.Time{}
	core.syncProgress(now)
	core.appendEntry(Entry{Kind: EntryNoop})
	core.broadcast(now)
}

// syncProgress adds a progress record for each new member and deletes the records
// of removed members.
func (core *Core) syncProgress(now time.Time) {
	present := map[string]bool{}
	for _, member := range core.log.members {
		present[member.ID] = true
		if member.ID != core.id && core.progress[member.ID] == nil {
			core.progress[member.ID] = &progress{next: core.log.last() + 1, lastReply: now}
		}
	}
	for id := range core.progress {
		if !present[id] {
			delete(core.progress, id)
		}
	}
}

// appendEntry appends an entry of the current term to the leader's log and returns
// it with its index and term set.
func (core *Core) appendEntry(entry Entry) Entry {
	entry.Index = core.log.last() + 1
	entry.Term = core.hardState.Term
	core.log.append(entry)
	return entry
}

func (core *Core) send(message Message) {
	message.From = core.id
	core.messages = append(core.messages, message)
}

// Propose appends a command to the leader's log and returns the entry's index and
// term. The command is committed once an entry with that index and term is
// committed. Flush or the next heartbeat sends it to the other members.
func (core *Core) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if core.role != RoleLeader {
		return 0, 0, &NotLeaderError{Leader: core.leader}
	}
	entry := core.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return entry.Index, entry.Term, nil
}

// Flush sends unsent entries to every other member. The caller calls it once
// after a batch of proposals. It does nothing on a replica that is not the
// leader.
func (core *Core) Flush(now time.Time) {
	if core.role != RoleLeader {
		return
	}
	for _, member := range core.log.members {
		if peer := core.progress[member.ID]; peer != nil && peer.next <= core.log.last() {
			core.sendAppend(now, member.ID, peer)
		}
	}
}

// broadcast sends an append, which also serves as a heartbeat, to every other
// member.
func (core *Core) broadcast(now time.Time) {
	core.heartbeatDue = now.Add(core.timing.HeartbeatInterval)
	for _, member := range core.log.members {
		if peer := core.progress[member.ID]; peer != nil {
			core.sendAppend(now, member.ID, peer)
		}
	}
}

// sendAppend sends the replica with the given id its next entries, or a snapshot
// if the log no longer contains them. It advances next in the replica's progress
// record, peer, without waiting for a reply.
func (core *Core) sendAppend(now time.Time, id string, peer *progress) {
	if peer.next <= core.log.baseSnapshot.Index {
		core.sendSnapshot(now, id, peer)
		return
	}
	entries := core.log.entriesFrom(peer.next, maxAppendEntries, maxAppendBytes)
	core.send(Message{
		Kind:    MessageAppend,
		To:      id,
		Term:    core.hardState.Term,
		Index:   peer.next - 1,
		LogTerm: core.log.term(peer.next - 1),
		Commit:  core.commit,
		Round:   core.round,
		Entries: entries,
	})
	peer.next += uint64(len(entries))
}

// sendSnapshot sends the latest snapshot to the replica with the given id and
// progress record, at most once per election timeout.
func (core *Core) sendSnapshot(now time.Time, id string, peer *progress) {
	if now.Sub(peer.lastSnapshotSent) < core.timing.ElectionTimeout {
		return
	}
	peer.lastSnapshotSent = now
	snapshot := core.log.baseSnapshot
	core.send(Message{Kind: MessageSnapshot, To: id, Term: core.hardState.Term, Round: core.round, Snapshot: &snapshot})
}

// Ready returns the work that has accumulated since the last call to Advance. The
// caller must call Advance with the result before it passes in another event.
func (core *Core) Ready() Ready {
	ready := Ready{
		ReceivedSnapshot: core.receivedSnapshot,
		Entries:          core.log.unstable(),
		Messages:         core.messages,
		Reads:            core.readResults,
	}
	if core.hardState != core.persistedHardState {
		hardState := core.hardState
		ready.HardState = &hardState
	}
	// Only entries that this replica has persisted may be applied.
	upTo := min(core.commit, core.log.stable)
	if core.receivedSnapshot == nil && upTo > core.applied {
		ready.Committed = core.log.entriesFrom(core.applied+1, int(upTo-core.applied), maxAppendBytes)
	}
	return ready
}

// Advance reports that the caller has completed all work in ready.
func (core *Core) Advance(now time.Time, ready Ready) {
	if ready.HardState != nil {
		core.persistedHardState = *ready.HardState
	}
	if ready.ReceivedSnapshot != nil {
		core.receivedSnapshot = nil
		core.applied = max(core.applied, ready.ReceivedSnapshot.Index)
	}
	if count := len(ready.Entries); count > 0 {
		core.log.stable = max(core.log.stable, ready.Entries[count-1].Index)
	}
	if count := len(ready.Committed); count > 0 {
		core.applied = ready.Committed[count-1].Index
	}
	core.messages = core.messages[len(ready.Messages):]
	core.readResults = core.readResults[len(ready.Reads):]
	if core.role == RoleLeader {
		core.advanceCommit(now)
	}
}

// advanceCommit commits the highest index of the current term that a quorum has
// persisted.
func (core *Core) advanceCommit(now time.Time) {
	for index := core.log.last(); index > core.commit; index-- {
		if core.log.term(index) != core.hardState.Term {
			return
		}
		persistedByQuorum := core.hasQuorum(func(id string) bool {
			if id == core.id {
				return core.log.stable >= index
			}
			return core.progress[id].match >= index
		})
		if persistedByQuorum {
			core.setLeaderCommit(now, index)
			return
		}
	}
}

// setLeaderCommit raises the leader's commit index and starts the deferred reads.
// The leader transfers the leadership and steps down if it is no voter in a committed
// membership. Otherwise it sends the new commit index with a heartbeat at the next Tick.
func (core *Core) setLeaderCommit(now time.Time, index uint64) {
	core.commit = index
	if len(core.deferredReads) > 0 {
		tokens := core.deferredReads
		core.deferredReads = nil
		core.startReads(now, tokens...)
	}
	if !core.isVoter(core.id) && core.log.membersIndex <= core.commit {
		core.transfer(now)
		core.becomeFollower(now, core.hardState.Term, "")
		return
	}
	core.heartbeatDue = now
}

func (core *Core) isMember(id string) bool {
	return slices.ContainsFunc(core.log.members, func(member Member) bool { return member.ID == id })
}

// HardState returns the current term and vote.
func (core *Core) HardState() HardState { return core.hardState }
