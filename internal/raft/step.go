package raft

import "time"

// Step processes a message from another replica and ignores messages that are
// addressed to a different replica. If the message is malformed, Step returns an
// error and changes no state. It also returns an error if an append would replace
// a committed entry.
func (core *Core) Step(now time.Time, message Message) error {
	if message.To != core.id {
		return nil
	}
	if err := message.validate(); err != nil {
		return err
	}
	switch message.Kind {
	case MessagePreVote, MessageVote:
		core.stepVote(now, message)
		return nil
	case MessagePreVoteReply, MessageVoteReply:
		core.stepVoteReply(now, message)
		return nil
	}
	if message.Term < core.hardState.Term {
		core.rejectStaleLeader(message)
		return nil
	}
	switch message.Kind {
	case MessageAppend:
		core.followLeader(now, message)
		return core.stepAppend(message)
	case MessageSnapshot:
		core.followLeader(now, message)
		core.stepSnapshot(message)
	case MessageAppendReply:
		core.stepAppendReply(now, message)
	case MessageTimeoutNow:
		core.stepTimeoutNow(now, message)
	}
	return nil
}

// validate returns an error for a message that would corrupt the log: a snapshot
// message without a snapshot, or an append whose entries are not consecutive or
// have a term above the message's term.
func (message Message) validate() error {
	if message.Kind == MessageSnapshot && message.Snapshot == nil {
		return &CorruptError{Reason: "a snapshot message without a snapshot"}
	}
	for i, entry := range message.Entries {
		if entry.Index != message.Index+1+uint64(i) || entry.Term > message.Term {
			return &CorruptError{Reason: "entries that do not follow each other"}
		}
	}
	return nil
}

// rejectStaleLeader replies to an append or snapshot from a leader of an earlier
// term with the current term, so that the leader steps down. It ignores an append
// reply of an earlier term.
func (core *Core) rejectStaleLeader(message Message) {
	if message.Kind == MessageAppend || message.Kind == MessageSnapshot {
		core.send(Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Reject: true, Index: core.log.last()})
	}
}

// followLeader makes the sender of an append or snapshot the current leader and
// restarts the election timeout.
func (core *Core) followLeader(now time.Time, message Message) {
	if message.Term > core.hardState.Term || core.role != RoleFollower || core.leader != message.From {
		core.becomeFollower(now, message.Term, message.From)
	}
	core.lastLeaderContact = now
	core.startupPreVotes = maxStartupPreVotes
	core.resetElectionTimer(now)
}

// hasLiveLeader reports whether this replica is a leader with an active quorum or has
// received an append or snapshot from the leader within ElectionTimeout. While
// it returns true, no candidate is granted a vote, so that a replica that
// reconnects after a network partition does not depose a working leader.
func (core *Core) hasLiveLeader(now time.Time) bool {
	if core.role == RoleLeader {
		return core.quorumActive(now)
	}
	return core.leader != "" && now.Sub(core.lastLeaderContact) < core.timing.ElectionTimeout
}

func (core *Core) stepVote(now time.Time, message Message) {
	reply := Message{Kind: MessagePreVoteReply, To: message.From, Term: message.Term}
	if message.Kind == MessageVote {
		reply.Kind = MessageVoteReply
	}
	if core.hasLiveLeader(now) && !message.Transfer || message.Term < core.hardState.Term {
		reply.Reject, reply.Term = true, core.hardState.Term
		core.send(reply)
		return
	}
	if message.Kind == MessageVote && message.Term > core.hardState.Term {
		core.becomeFollower(now, message.Term, "")
	}
	canVote := core.hardState.Vote == "" || core.hardState.Vote == message.From
	if message.Kind == MessagePreVote {
		// A pre-vote does not depend on the vote cast in the current term.
		canVote = message.Term > core.hardState.Term
	}
	if !canVote || !core.upToDate(message) {
		reply.Reject, reply.Term = true, core.hardState.Term
		core.send(reply)
		core.campaignSoon(now, message)
		return
	}
	if message.Kind == MessageVote {
		core.hardState.Vote = message.From
		core.resetElectionTimer(now)
	}
	core.send(reply)
}

// campaignSoon is called after this replica has rejected a candidate. If the
// candidate's log is less up to date than this replica's log, campaignSoon moves
// this replica's next pre-vote forward to within one heartbeat interval: the
// candidate may be unable to win, and presumably no replica with a log as complete
// as this one has started an election yet. If both are candidates in the same term, the
// votes may be split, and one of the two, by log and id, tries again that soon.
func (core *Core) campaignSoon(now time.Time, message Message) {
	ahead := !core.upToDate(message)
	if split := message.Kind == MessageVote && message.Term == core.hardState.Term && core.role == RoleCandidate; split {
		sameLog := message.LogTerm == core.log.lastTerm() && message.Index == core.log.last()
		ahead = ahead || sameLog && core.id > message.From
	} else if core.role != RoleFollower {
		return
	}
	due := now.Add(time.Duration(core.random.Int64N(int64(core.timing.HeartbeatInterval))))
	if ahead && due.Before(core.electionDue) {
		core.electionDue = due
	}
}

// upToDate reports whether the candidate's log is at least as up to date as this
// replica's log, so that it contains every entry here that may be committed.
func (core *Core) upToDate(message Message) bool {
	if message.LogTerm != core.log.lastTerm() {
		return message.LogTerm > core.log.lastTerm()
	}
	return message.Index >= core.log.last()
}

func (core *Core) stepVoteReply(now time.Time, message Message) {
	if message.Reject {
		if message.Term > core.hardState.Term {
			core.becomeFollower(now, message.Term, "")
		}
		return
	}
	preVote := message.Kind == MessagePreVoteReply && core.role == RolePreCandidate && message.Term == core.hardState.Term+1
	vote := message.Kind == MessageVoteReply && core.role == RoleCandidate && message.Term == core.hardState.Term
	if preVote || vote {
		core.votes[message.From] = true
		core.tallyVotes(now)
	}
}

func (core *Core) stepAppend(message Message) error {
	reply := Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Round: message.Round}
	if message.Index < core.log.baseSnapshot.Index {
		message = trimToSnapshot(message, core.log.baseSnapshot.Index)
	}
	prevMatches := message.Index <= core.log.last() &&
		(message.Index <= core.log.baseSnapshot.Index || core.log.term(message.Index) == message.LogTerm)
	if !prevMatches {
		reply.Reject = true
		reply.Index = min(core.log.last(), message.Index-1)
		core.send(reply)
		return nil
	}
	for _, entry := range message.Entries {
		if err := core.storeEntry(entry); err != nil {
			return err
		}
	}
	reply.Index = max(message.Index+uint64(len(message.Entries)), core.log.baseSnapshot.Index)
	core.commit = max(core.commit, min(message.Commit, reply.Index))
	core.send(reply)
	return nil
}

// trimToSnapshot removes the entries that the snapshot already covers from an
// append message and sets the message's index to the snapshot's index.
func trimToSnapshot(message Message, snapshotIndex uint64) Message {
	drop := min(snapshotIndex-message.Index, uint64(len(message.Entries)))
	message.Entries = message.Entries[drop:]
	message.Index = snapshotIndex
	return message
}

// storeEntry appends an entry received from the leader. It first truncates the log
// if the entry conflicts with an existing one. Replacing a committed entry is an
// error.
func (core *Core) storeEntry(entry Entry) error {
	if core.log.term(entry.Index) == entry.Term && entry.Index <= core.log.last() {
		return nil
	}
	if entry.Index <= core.commit {
		return &CorruptError{Reason: "a leader replaces a committed entry"}
	}
	if entry.Index <= core.log.last() {
		core.log.truncate(entry.Index)
	}
	core.log.append(entry)
	return nil
}

// stepSnapshot replaces the log by a received snapshot unless all entries that it
// covers are already committed here. If the log contains the snapshot's last entry, it
// agrees with the snapshot and is kept: the later entries may have been acknowledged, and
// the leader sends none of them again.
func (core *Core) stepSnapshot(message Message) {
	snapshot := *message.Snapshot
	reply := Message{Kind: MessageAppendReply, To: message.From, Term: core.hardState.Term, Round: message.Round}
	if snapshot.Index > core.commit {
		if entry, ok := core.log.entry(snapshot.Index); !ok || entry.Term != snapshot.Term {
			core.log.reset(snapshot)
			core.receivedSnapshot = &snapshot
		}
		core.commit = snapshot.Index
	}
	reply.Index = core.commit
	core.send(reply)
}

func (core *Core) stepAppendReply(now time.Time, message Message) {
	if message.Term > core.hardState.Term {
		core.becomeFollower(now, message.Term, "")
		return
	}
	peer := core.progress[message.From]
	if core.role != RoleLeader || peer == nil {
		return
	}
	peer.lastReply = now
	peer.round = max(peer.round, message.Round)
	core.finishReads()
	if message.Reject {
		peer.next = max(peer.match+1, min(peer.next-1, message.Index+1))
		core.sendAppend(now, message.From, peer)
		return
	}
	if message.Index > peer.match {
		peer.match = message.Index
		peer.next = max(peer.next, peer.match+1)
		core.advanceCommit(now)
	}
	if core.role == RoleLeader && peer.next <= core.log.last() {
		core.sendAppend(now, message.From, peer)
	}
}
