package ctrl

import (
	"flag"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/raft"
)

const (
	// catchUp is the shortest time after its return from which a VM that lost its disk no
	// longer counts as lost.
	catchUp = 4 * time.Second
	// sharesTolerance allows for rounding in the sum of shares.
	sharesTolerance = 1e-3
)

// untilVotesLive returns the time until all five voters are running replicas.
func (group *group) untilVotesLive(limit time.Duration) time.Duration {
	start := group.now
	for !group.votesLive(5) && group.now.Sub(start) < limit {
		group.run(groupStep)
	}
	return group.now.Sub(start)
}

// repairSeeds is the number of seeds of TestDisksLostInTurn. Hunts use more.
var repairSeeds = flag.Uint64("repair-seeds", 40, "number of seeds of TestDisksLostInTurn")

// TestDisksLostInTurn guards against a control plane that ends although never more than two
// disks are lost at once: the replicas of those lost before must have their votes by the
// time that two others lose theirs, whatever leases of limits were in force.
func TestDisksLostInTurn(t *testing.T) {
	slowest := time.Duration(0)
	for seed := range *repairSeeds {
		group := newGroup(t, seed, 5)
		for round := range 4 {
			first := group.leader()
			if round%2 == 1 {
				first = group.vms[(slices.Index(group.vms, first)+1)%5]
			}
			second := group.vms[(slices.Index(group.vms, first)+1+group.random.IntN(4))%5]
			group.loseDisks(100*time.Millisecond*time.Duration(1+group.random.IntN(8)), first, second)
			back := group.now
			slowest = max(slowest, group.untilVotesLive(10*time.Second))
			require.LessOrEqual(t, group.now.Sub(back), catchUp, "seed %d, round %d\n%s", seed, round, group.describe())
			group.runBusy(back.Add(catchUp).Sub(group.now))
			require.True(t, group.writeService())
		}
		group.requireWritten()
		require.LessOrEqual(t, group.shares, 1+sharesTolerance, "seed %d", seed)
	}
	t.Logf("the votes were with running replicas after %v at most", slowest)
}

// formerLeaders are the ways in which a leader, or a home that holds a lease, drops out
// while a spare VM takes its vote.
var formerLeaders = []struct {
	name string
	play func(group *group)
}{
	{"the leader loses its disk", func(group *group) {
		group.loseDisks(300*time.Millisecond, group.leader())
	}},
	{"the leader freezes", func(group *group) {
		leader := group.leader()
		leader.frozen = true
		group.run(time.Duration(3000+group.random.IntN(3000)) * time.Millisecond)
		leader.frozen = false
	}},
	{"the leader is cut off", func(group *group) {
		leader := group.leader()
		leader.cut = true
		group.run(time.Duration(3000+group.random.IntN(3000)) * time.Millisecond)
		leader.cut = false
	}},
	{"a home is cut off, and the leader restarts once the home was replaced", func(group *group) {
		leader := group.leader()
		home := group.vms[(slices.Index(group.vms, leader)+1)%5]
		for home.renew.Sub(group.now) < 900*time.Millisecond {
			group.run(groupStep)
		}
		home.cut = true
		member := func(member raft.Member) bool { return member.ID == home.replica.id }
		for end := group.now.Add(4 * time.Second); group.now.Before(end) && slices.ContainsFunc(leader.replica.core.CommittedMembers(), member); {
			group.run(groupStep)
		}
		leader.kill()
		group.run(50 * time.Millisecond)
		leader.start(false)
		group.run(2 * time.Second)
		home.cut = false
	}},
}

// TestLeasesOutliveMembers guards against limits that are exceeded because a later leader
// does not know of a lease, and against votes that stay with a lost VM until its lease has
// expired.
func TestLeasesOutliveMembers(t *testing.T) {
	for _, former := range formerLeaders {
		for seed := range uint64(30) {
			group := newGroup(t, seed, 5)
			group.vms = append(group.vms, &groupVM{group: group, address: "spare"})
			group.vms[5].start(false)
			group.run(5 * time.Second)
			former.play(group)
			require.LessOrEqual(t, group.untilVotesLive(10*time.Second), catchUp, "%s, seed %d\n%s", former.name, seed, group.describe())
			group.run(6 * time.Second)
			group.requireWritten()
			require.LessOrEqual(t, group.shares, 1+sharesTolerance, "%s, seed %d", former.name, seed)
		}
	}
}

// disturbances are what may happen while the votes of two lost disks move to the new
// replicas.
var disturbances = []struct {
	name string
	play func(group *group, lost []*groupVM)
}{
	{"all processes are killed", func(group *group, _ []*groupVM) {
		for _, vm := range group.vms {
			vm.kill()
		}
		group.run(500 * time.Millisecond)
		for _, vm := range group.vms {
			vm.start(false)
		}
	}},
	{"the leader restarts", func(group *group, _ []*groupVM) {
		if leader := group.leader(); leader != nil {
			leader.kill()
			group.run(100 * time.Millisecond)
			leader.start(false)
		}
	}},
	{"a new replica comes and goes", func(group *group, lost []*groupVM) {
		lost[0].kill()
		group.run(200 * time.Millisecond)
		lost[0].start(false)
	}},
	{"a VM loses its disk again", func(group *group, lost []*groupVM) {
		group.loseDisks(200*time.Millisecond, lost[1])
	}},
	{"a home renews nothing", func(group *group, lost []*groupVM) {
		for _, vm := range group.vms {
			vm.deaf = !slices.Contains(lost, vm)
		}
	}},
	{"messages take up to 100 ms", func(group *group, _ []*groupVM) { group.maxDelay = 100 * time.Millisecond }},
}

// TestInterruptedRepairEndsInTime guards against votes that stay with lost disks because
// the repair of the group was interrupted.
func TestInterruptedRepairEndsInTime(t *testing.T) {
	for _, disturbance := range disturbances {
		t.Run(disturbance.name, func(t *testing.T) {
			for seed := range uint64(20) {
				group := newGroup(t, seed, 5)
				lost := []*groupVM{group.leader(), group.vms[(slices.Index(group.vms, group.leader())+1)%5]}
				group.loseDisks(300*time.Millisecond, lost...)
				group.run(time.Duration(group.random.IntN(100)) * 10 * time.Millisecond)
				disturbance.play(group, lost)
				require.LessOrEqual(t, group.untilVotesLive(10*time.Second), catchUp, "seed %d\n%s", seed, group.describe())
				group.maxDelay = maxGroupDelay
				others := slices.DeleteFunc(slices.Clone(group.vms), func(vm *groupVM) bool { return slices.Contains(lost, vm) })
				group.loseDisks(100*time.Millisecond, others[:2]...)
				group.requireWritten()
				require.LessOrEqual(t, group.shares, 1+sharesTolerance, "seed %d", seed)
			}
		})
	}
}
