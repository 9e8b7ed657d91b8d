package raft

import "time"

// HandOver makes at most one membership change after which the group needs the vote of a
// replica less, because that replica is about to stop: it promotes a learner that has
// caught up, and then demotes the replica. In this order, the number of voters that may
// be lost never decreases. HandOver reports whether nothing is left to do: the replica is
// no voter, or there is no learner to take its vote. It returns false while a membership
// change is uncommitted, while a learner is catching up, and on a replica that is not the
// leader. The caller calls it again until it returns true.
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
	return !catchingUp
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
