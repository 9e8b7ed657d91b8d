package raft

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Bounds on one append message.
const (
	maxAppendEntries = 256
	maxAppendBytes   = 1 << 20
)

// progress is the leader's view of another replica.
type progress struct {
	// match is the highest index known to be on the replica's disk.
	match uint64
	// next is the first index to send; match < next.
	next uint64
	// round is the highest confirmation round the replica answered.
	round uint64
	// lastReply is when the replica last answered.
	lastReply time.Time
	// lastSnapshotSent is when a snapshot was last sent, to not send it too often.
	lastSnapshotSent time.Time
}

type pendingRead struct {
	token uint64
	index uint64
	round uint64
}

// Core is one replica. It is not safe for concurrent use.
type Core struct {
	id     string
	timing Timing
	random *rand.Rand

	hardState          HardState
	persistedHardState HardState
	role               Role
	leader             string

	log logState
	// commit never falls; applied <= commit.
	commit  uint64
	applied uint64

	votes    map[string]bool
	progress map[string]*progress
	round    uint64
	reads    []pendingRead
	// deferredReads wait until the leader has committed in its own term.
	deferredReads []uint64

	electionDue time.Time
	// startupPreVotes counts the pre-votes since the start; a leader that is heard ends
	// the time of the start.
	startupPreVotes int
	heartbeatDue    time.Time
	// lastLeaderContact is when the present leader last sent an append.
	lastLeaderContact time.Time

	receivedSnapshot *Snapshot
	messages         []Message
	readResults      []ReadResult
}

// DurableState is what a replica finds on its disk at start.
type DurableState struct {
	HardState HardState
	// Snapshot is nil when none was taken.
	Snapshot *Snapshot
	// Entries follow the snapshot without gaps.
	Entries []Entry
}

// New returns a replica with the given id and durable state. A replica whose
// membership does not name it as a voter never seeks votes.
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

// ID returns the replica's id.
func (core *Core) ID() string { return core.id }

// Role returns the replica's part in the present term.
func (core *Core) Role() Role { return core.role }

// Term returns the present term.
func (core *Core) Term() uint64 { return core.hardState.Term }

// Leader returns the id of the present term's leader, or an empty string.
func (core *Core) Leader() string { return core.leader }

// Commit returns the highest index known to be committed.
func (core *Core) Commit() uint64 { return core.commit }

// Applied returns the highest index handed out for applying.
func (core *Core) Applied() uint64 { return core.applied }

// LastIndex returns the index of the last entry in the log.
func (core *Core) LastIndex() uint64 { return core.log.last() }

// SnapshotIndex returns the index the log starts after.
func (core *Core) SnapshotIndex() uint64 { return core.log.baseSnapshot.Index }

// Members returns the latest membership in the log.
func (core *Core) Members() []Member { return core.log.members }

// CommittedMembers returns the latest membership that is committed.
func (core *Core) CommittedMembers() []Member { return core.log.membersAt(core.commit) }

// Entry returns the entry at an index the log still holds.
func (core *Core) Entry(index uint64) (Entry, bool) { return core.log.entry(index) }

// Tick lets time pass. Call it at least every half heartbeat.
func (core *Core) Tick(now time.Time) {
	if core.role == RoleLeader {
		core.tickLeader(now)
		return
	}
	if now.Before(core.electionDue) || !core.isVoter(core.id) {
		return
	}
	core.campaign(now, RolePreCandidate)
}

func (core *Core) tickLeader(now time.Time) {
	if !core.quorumActive(now) {
		core.becomeFollower(now, core.hardState.Term, "")
		return
	}
	if !now.Before(core.heartbeatDue) {
		core.broadcast(now)
	}
}

// quorumActive reports whether a quorum answered within the election timeout.
func (core *Core) quorumActive(now time.Time) bool {
	return core.hasQuorum(func(id string) bool {
		return id == core.id || now.Sub(core.progress[id].lastReply) < core.timing.ElectionTimeout
	})
}

// hasQuorum reports whether the voters that hold are a quorum.
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

// maxStartupPreVotes is how many times a replica that has just started seeks votes
// before it waits for the usual election timeouts: in the time that they take,
// one second or more, the others are back as well.
const maxStartupPreVotes = 6

// startupElectionTime is when a replica that has just started seeks votes. No leader is known
// to it, and the pre-vote keeps it from disturbing one that is there. The others
// may still be starting, so it tries again startupElectionTime.
func (core *Core) startupElectionTime(now time.Time) time.Time {
	return now.Add(core.timing.HeartbeatInterval/2 + time.Duration(core.random.Int64N(int64(core.timing.ElectionTimeout/3))))
}

func (core *Core) resetElectionTimer(now time.Time) {
	jitter := time.Duration(core.random.Int64N(int64(core.timing.ElectionTimeout)))
	core.electionDue = now.Add(core.timing.ElectionTimeout + jitter)
}

func (core *Core) becomeFollower(now time.Time, term uint64, leader string) {
	if term > core.hardState.Term {
		core.hardState = HardState{Term: term}
	}
	core.role = RoleFollower
	core.leader = leader
	core.votes = nil
	core.progress = nil
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

// campaign starts a pre-vote, or a vote after a won pre-vote.
func (core *Core) campaign(now time.Time, role Role) {
	core.role = role
	core.leader = ""
	core.votes = map[string]bool{core.id: true}
	core.resetElectionTimer(now)
	if role == RolePreCandidate {
		// A round that came to nothing is soon repeated; it disturbs nobody.
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
			core.send(Message{Kind: kind, To: member.ID, Term: term, Index: core.log.last(), LogTerm: core.log.lastTerm()})
		}
	}
	core.tallyVotes(now)
}

func (core *Core) tallyVotes(now time.Time) {
	won := core.hasQuorum(func(id string) bool { return core.votes[id] })
	switch {
	case !won:
	case core.role == RolePreCandidate:
		core.campaign(now, RoleCandidate)
	case core.role == RoleCandidate:
		core.becomeLeader(now)
	}
}

func (core *Core) becomeLeader(now time.Time) {
	core.role = RoleLeader
	core.leader = core.id
	core.progress = map[string]*progress{}
	core.syncProgress(now)
	core.appendEntry(Entry{Kind: EntryNoop})
	core.broadcast(now)
}

// syncProgress keeps one progress for each other member.
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

// Propose appends a command to the leader's log and returns its place. The
// command is accepted once an entry with that index and term is committed.
func (core *Core) Propose(now time.Time, data []byte) (index, term uint64, err error) {
	if core.role != RoleLeader {
		return 0, 0, &NotLeaderError{Leader: core.leader}
	}
	entry := core.appendEntry(Entry{Kind: EntryCommand, Data: data})
	return entry.Index, entry.Term, nil
}

// ReadIndex asks the quorum to confirm the leadership; a ReadResult with the
// same token follows in a later Ready.
func (core *Core) ReadIndex(now time.Time, token uint64) error {
	if core.role != RoleLeader {
		return &NotLeaderError{Leader: core.leader}
	}
	if core.log.term(core.commit) != core.hardState.Term {
		core.deferredReads = append(core.deferredReads, token)
		return nil
	}
	core.startReads(now, token)
	return nil
}

func (core *Core) startReads(now time.Time, tokens ...uint64) {
	core.round++
	for _, token := range tokens {
		core.reads = append(core.reads, pendingRead{token: token, index: core.commit, round: core.round})
	}
	core.broadcast(now)
	core.finishReads()
}

func (core *Core) finishReads() {
	for len(core.reads) > 0 {
		read := core.reads[0]
		confirmed := core.hasQuorum(func(id string) bool {
			return id == core.id || core.progress[id].round >= read.round
		})
		if !confirmed {
			return
		}
		core.readResults = append(core.readResults, ReadResult{Token: read.token, Index: read.index, OK: true})
		core.reads = core.reads[1:]
	}
}

// Flush sends what was proposed since the last call to every other member.
// The owner calls it once after a batch of proposals.
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

func (core *Core) broadcast(now time.Time) {
	core.heartbeatDue = now.Add(core.timing.HeartbeatInterval)
	for _, member := range core.log.members {
		if peer := core.progress[member.ID]; peer != nil {
			core.sendAppend(now, member.ID, peer)
		}
	}
}

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

func (core *Core) sendSnapshot(now time.Time, id string, peer *progress) {
	if now.Sub(peer.lastSnapshotSent) < core.timing.ElectionTimeout {
		return
	}
	peer.lastSnapshotSent = now
	snapshot := core.log.baseSnapshot
	core.send(Message{Kind: MessageSnapshot, To: id, Term: core.hardState.Term, Round: core.round, Snapshot: &snapshot})
}

// Compact replaces the log up to a persisted snapshot's index.
func (core *Core) Compact(index uint64, data []byte) (Snapshot, error) {
	if index > core.applied {
		return Snapshot{}, &CorruptError{Reason: "a snapshot beyond what was applied"}
	}
	core.log.compact(index, data)
	return core.log.baseSnapshot, nil
}

// Ready returns what has to be done since the last Done. The core must not
// take other events until Done was called with it.
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
	// Only persisted entries are handed out for applying.
	upTo := min(core.commit, core.log.stable)
	if core.receivedSnapshot == nil && upTo > core.applied {
		ready.Committed = core.log.entriesFrom(core.applied+1, int(upTo-core.applied), maxAppendBytes)
	}
	return ready
}

// Advance reports that everything in ready was done.
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

// advanceCommit commits the highest index of this term that a quorum has on
// disk.
func (core *Core) advanceCommit(now time.Time) {
	for index := core.log.last(); index > core.commit; index-- {
		if core.log.term(index) != core.hardState.Term {
			return
		}
		onQuorum := core.hasQuorum(func(id string) bool {
			if id == core.id {
				return core.log.stable >= index
			}
			return core.progress[id].match >= index
		})
		if onQuorum {
			core.setCommit(now, index)
			return
		}
	}
}

func (core *Core) setCommit(now time.Time, index uint64) {
	core.commit = index
	if len(core.deferredReads) > 0 {
		tokens := core.deferredReads
		core.deferredReads = nil
		core.startReads(now, tokens...)
	}
	if !core.isMember(core.id) && core.log.membersIndex <= core.commit {
		core.becomeFollower(now, core.hardState.Term, "")
		return
	}
	core.heartbeatDue = now
}

func (core *Core) isMember(id string) bool {
	return slices.ContainsFunc(core.log.members, func(member Member) bool { return member.ID == id })
}

// HardState returns the present term and vote.
func (core *Core) HardState() HardState { return core.hardState }
