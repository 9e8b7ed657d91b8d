package raft

import "time"

// HandOver makes at most one membership change after which the group needs the vote of a
// replica less, because that replica is about to stop: it promotes a learner that has
// caught up, and then demotes the replica. In this order, the number of voters that may
// be lost never decreases. If the replica is this one, and there is no such learner,
// HandOver transfers the leadership. It reports whether nothing is left to do: the replica
// is no voter, or there is no other replica to take what it has. It returns false while a
// membership change is uncommitted, while a learner is catching up, and on a replica that
// is not the leader. The caller calls it again until it returns true.
func (core *Core) HandOver(now time.Time, id string, maxVoters int) bool {
	if core.role != RoleLeader {
		return false
	}
	core.leaving[id] = now
	if !core.canChangeMembers() {
		return false
	}
	if !core.isVoter(id) {
		return true
	}
	// A group with an even number of voters tolerates no more losses than one with a
	// voter less.
	if count := core.voterCount(); count > maxVoters || count%2 == 0 {
		return core.setVoter(now, id, false) != nil
	}
	successor, catchingUp := core.successor(now)
	if successor != "" {
		return core.setVoter(now, successor, true) != nil
	}
	if catchingUp {
		return false
	}
	return id != core.id || !core.transfer(now)
}

// transfer asks a voter with all entries to start an election, so that the group is not
// without a leader for an election timeout. If the voter cannot win, this replica remains
// the leader or another election follows. transfer returns false if no voter that replies
// is there.
func (core *Core) transfer(now time.Time) bool {
	responsive := false
	for _, member := range core.log.members {
		peer := core.progress[member.ID]
		if !member.Voter || peer == nil || core.isLeaving(now, member.ID) || now.Sub(peer.lastReply) >= core.timing.ElectionTimeout {
			continue
		}
		responsive = true
		if peer.match == core.log.last() {
			core.send(Message{Kind: MessageTimeoutNow, To: member.ID, Term: core.hardState.Term})
			return true
		}
	}
	return responsive
}

// stepTimeoutNow starts an election at the request of the leader.
func (core *Core) stepTimeoutNow(now time.Time, message Message) {
	if core.role == RoleFollower && core.leader == message.From && core.isVoter(core.id) {
		core.campaign(now, RoleCandidate, true)
	}
}

// successor returns a learner that can be promoted, or an empty string and whether a
// learner that replies has yet to catch up.
func (core *Core) successor(now time.Time) (id string, catchingUp bool) {
	for _, member := range core.log.members {
		if member.Voter || core.isLeaving(now, member.ID) {
			continue
		}
		if core.CaughtUp(now, member.ID) {
			return member.ID, false
		}
		peer := core.progress[member.ID]
		catchingUp = catchingUp || peer != nil && peer.match > 0 && now.Sub(peer.lastReply) < core.timing.ElectionTimeout
	}
	return "", catchingUp
}

// isLeaving reports whether a replica has said within the absence timeout that it is about
// to stop.
func (core *Core) isLeaving(now time.Time, id string) bool {
	since, ok := core.leaving[id]
	return ok && now.Sub(since) < core.timing.AbsenceTimeout
}
