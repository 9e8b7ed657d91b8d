package raft

import (
	"slices"
	"time"
)

// Bootstrap returns the durable state with which each initial voter of a new
// group starts. All of them must be given the same members in the same order.
func Bootstrap(initial ...Member) DurableState {
	members := slices.Clone(initial)
	for i := range members {
		members[i].Voter = true
	}
	entry := Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: members}
	return DurableState{HardState: HardState{Term: 1}, Entries: []Entry{entry}}
}

// changeMembers appends a new membership, which must differ from the current one
// in at most one voter. It rejects the change while an earlier one is uncommitted
// or while the leader has not committed an entry of its own term.
func (core *Core) changeMembers(now time.Time, members []Member) error {
	if core.role != RoleLeader {
		return &NotLeaderError{Leader: core.leader}
	}
	if !core.canChangeMembers() {
		return &MembershipError{Reason: "another change is not committed yet"}
	}
	core.appendEntry(Entry{Kind: EntryMembers, Members: members})
	core.syncProgress(now)
	core.broadcast(now)
	return nil
}

// AddLearner adds a replica that receives the log but does not count toward any
// quorum. If the replica is already a member, only its address is updated.
func (core *Core) AddLearner(now time.Time, member Member) error {
	members := slices.Clone(core.log.members)
	i := slices.IndexFunc(members, func(other Member) bool { return other.ID == member.ID })
	if i < 0 {
		member.Voter = false
		return core.changeMembers(now, append(members, member))
	}
	if members[i].Address == member.Address {
		return nil
	}
	members[i].Address = member.Address
	return core.changeMembers(now, members)
}

// Remove removes a replica from the group.
func (core *Core) Remove(now time.Time, id string) error {
	if !core.isMember(id) {
		return &MembershipError{Reason: id + " is not a member"}
	}
	members := slices.DeleteFunc(slices.Clone(core.log.members), func(member Member) bool { return member.ID == id })
	if !slices.ContainsFunc(members, func(member Member) bool { return member.Voter }) {
		return &MembershipError{Reason: "the last voter cannot be removed"}
	}
	return core.changeMembers(now, members)
}

// CaughtUp reports whether a learner has persisted all committed entries and has
// replied within the election timeout.
func (core *Core) CaughtUp(now time.Time, id string) bool {
	peer := core.progress[id]
	return peer != nil && peer.match >= core.commit && now.Sub(peer.lastReply) < core.timing.ElectionTimeout
}

// Repair makes at most one membership change that brings a caught-up learner closer to
// becoming a voter, unless the learner is about to stop. If a voter has the learner's
// name or address, it is the former replica of the learner's VM, whose disk was lost, and
// Repair demotes it. Otherwise, if the group has fewer than maxVoters voters, Repair
// promotes the learner; if not, it demotes a voter that has not replied for longer than
// the absence timeout. Repair does nothing on a replica that is not the leader or while
// another membership change is uncommitted. It reports whether it made a change.
func (core *Core) Repair(now time.Time, maxVoters int) bool {
	if !core.canChangeMembers() {
		return false
	}
	for _, learner := range core.log.members {
		if learner.Voter || !core.CaughtUp(now, learner.ID) || core.isLeaving(now, learner.ID) {
			continue
		}
		if replaced, ok := core.replacedVoter(learner); ok {
			return core.setVoter(now, replaced.ID, false) == nil
		}
		if core.voterCount() < maxVoters {
			return core.setVoter(now, learner.ID, true) == nil
		}
		if unresponsive, ok := core.unresponsiveVoter(now); ok {
			return core.setVoter(now, unresponsive.ID, false) == nil
		}
	}
	return false
}

// AbsentLearners returns the learners that have not replied for longer than the absence
// timeout, among them demoted voters. The caller may remove them; one that returns asks
// to join again. The result is empty on a replica that is not the leader and while
// another membership change is uncommitted.
func (core *Core) AbsentLearners(now time.Time) []Member {
	if !core.canChangeMembers() {
		return nil
	}
	var absent []Member
	for _, member := range core.log.members {
		peer := core.progress[member.ID]
		if !member.Voter && peer != nil && now.Sub(peer.lastReply) > core.timing.AbsenceTimeout {
			absent = append(absent, member)
		}
	}
	return absent
}

// canChangeMembers reports whether changeMembers would accept a change.
func (core *Core) canChangeMembers() bool {
	return core.role == RoleLeader && core.log.membersIndex <= core.commit && core.log.term(core.commit) == core.hardState.Term
}

// replacedVoter returns a voter with the learner's name or address. Such a voter is the
// former replica of the learner's VM, whose disk was lost.
func (core *Core) replacedVoter(learner Member) (Member, bool) {
	for _, member := range core.log.members {
		sameVM := member.Name == learner.Name || member.Address == learner.Address
		if member.Voter && sameVM {
			return member, true
		}
	}
	return Member{}, false
}

// unresponsiveVoter returns the voter whose last reply is the oldest, if that
// reply is older than the absence timeout, which is longer than a restart takes.
func (core *Core) unresponsiveVoter(now time.Time) (Member, bool) {
	var voter Member
	longestSilence := core.timing.AbsenceTimeout
	for _, member := range core.log.members {
		peer := core.progress[member.ID]
		if !member.Voter || peer == nil {
			continue
		}
		if silence := now.Sub(peer.lastReply); silence > longestSilence {
			voter, longestSilence = member, silence
		}
	}
	return voter, voter.ID != ""
}

// HasLiveLeader reports whether this replica is a leader with an active quorum or
// has received an append or snapshot from the leader within ElectionTimeout.
func (core *Core) HasLiveLeader(now time.Time) bool { return core.hasLiveLeader(now) }

func (core *Core) voterCount() int {
	count := 0
	for _, member := range core.log.members {
		if member.Voter {
			count++
		}
	}
	return count
}

// setVoter promotes a learner or demotes a voter. A demoted voter stays a learner, so that
// later leaders know of it.
func (core *Core) setVoter(now time.Time, id string, voter bool) error {
	members := slices.Clone(core.log.members)
	for i := range members {
		if members[i].ID == id {
			members[i].Voter = voter
		}
	}
	if !slices.ContainsFunc(members, func(member Member) bool { return member.Voter }) {
		return &MembershipError{Reason: "the last voter cannot be demoted"}
	}
	return core.changeMembers(now, members)
}
