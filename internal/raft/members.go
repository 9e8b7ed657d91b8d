package raft

import (
	"slices"
	"time"
)

// Bootstrap returns the durable state of the first replica of a new group.
func Bootstrap(first Member) Durable {
	first.Voter = true
	entry := Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: []Member{first}}
	return Durable{HardState: HardState{Term: 1}, Entries: []Entry{entry}}
}

// changeMembers appends a membership that differs in one voter at most.
func (core *Core) changeMembers(now time.Time, members []Member) error {
	if core.role != RoleLeader {
		return &NotLeaderError{Leader: core.leader}
	}
	if core.log.membersIndex > core.commit || core.log.term(core.commit) != core.hard.Term {
		return &MembersError{Reason: "another change is not committed yet"}
	}
	core.appendEntry(Entry{Kind: EntryMembers, Members: members})
	core.trackMembers(now)
	core.broadcast(now)
	return nil
}

// AddLearner adds a replica that receives the log and counts for no quorum.
// Adding a present member again changes only its address.
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

// Remove takes a replica out of the group.
func (core *Core) Remove(now time.Time, id string) error {
	if !core.isMember(id) {
		return &MembersError{Reason: id + " is not a member"}
	}
	members := slices.DeleteFunc(slices.Clone(core.log.members), func(member Member) bool { return member.ID == id })
	if !slices.ContainsFunc(members, func(member Member) bool { return member.Voter }) {
		return &MembersError{Reason: "the last voter cannot be removed"}
	}
	return core.changeMembers(now, members)
}

// CaughtUp reports whether a learner has all that is committed on its disk
// and answered within the election timeout.
func (core *Core) CaughtUp(now time.Time, id string) bool {
	peer := core.progress[id]
	return peer != nil && peer.match >= core.commit && now.Sub(peer.heard) < core.timing.Election
}

// Repair takes the next step towards voters only: a caught-up learner first
// displaces the voter of the same name, whose disk it replaces, and is then
// promoted. It does nothing while another change is under way. It returns
// whether a step was taken.
func (core *Core) Repair(now time.Time, maxVoters int) bool {
	if core.role != RoleLeader || core.log.membersIndex > core.commit {
		return false
	}
	for _, learner := range core.log.members {
		if learner.Voter || !core.CaughtUp(now, learner.ID) {
			continue
		}
		if old, ok := core.namesake(learner); ok {
			return core.Remove(now, old.ID) == nil
		}
		if core.voters() < maxVoters {
			return core.promote(now, learner.ID) == nil
		}
	}
	return false
}

// namesake returns another member with the learner's name.
func (core *Core) namesake(learner Member) (Member, bool) {
	for _, member := range core.log.members {
		if member.Name == learner.Name && member.ID != learner.ID {
			return member, true
		}
	}
	return Member{}, false
}

func (core *Core) voters() int {
	count := 0
	for _, member := range core.log.members {
		if member.Voter {
			count++
		}
	}
	return count
}

func (core *Core) promote(now time.Time, id string) error {
	members := slices.Clone(core.log.members)
	for i := range members {
		if members[i].ID == id {
			members[i].Voter = true
		}
	}
	return core.changeMembers(now, members)
}
