package distr

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// newRoot returns the core of a control VM with a published configuration.
func newRoot(t *testing.T, now time.Time) *Core {
	settings := Settings{Name: "c1", Root: true, MaxChildren: 4, JoinsPerSecond: 100, Timing: DefaultTiming(), Members: member.DefaultTiming()}
	root := New(settings, rand.New(rand.NewPCG(1, 1)), now)
	config, err := rsrc.EmptyConfig().Apply(1, rsrc.Change{Put: []rsrc.Resource{rsrc.NewService("s", "")}})
	require.NoError(t, err)
	root.Publish(config)
	return root
}

// TestStaleRootDropsChildren checks that a root that loses contact with the quorum
// of control VMs disconnects its children with a bye and accepts no new ones while
// it is stale. Otherwise a child would keep waiting for updates that cannot arrive
// instead of finding another root. If a stale root refuses a node, the refusal must
// carry a retry delay. The node then asks a control VM again first, instead of
// turning to other nodes, when the control VMs have just started.
func TestStaleRootDropsChildren(t *testing.T) {
	now := time.Unix(1000, 0)
	root := newRoot(t, now)
	hello := func(id LinkID) []Action {
		root.Accepted(id)
		root.Receive(now, id, Message{Hello: &Hello{Name: "n1", Version: 1}})
		return root.TakeActions()
	}
	hello(1)
	require.Equal(t, 1, root.Children())
	root.SetStale(now, true)
	require.Zero(t, root.Children())
	bye := slices.ContainsFunc(root.TakeActions(), func(action Action) bool { return action.Send != nil && action.Send.Bye })
	require.True(t, bye, "the child should not have to wait for the idle timeout")
	for _, action := range hello(2) {
		if action.Send != nil && action.Send.Welcome != nil {
			require.False(t, action.Send.Welcome.Accepted)
			require.Positive(t, action.Send.Welcome.RetryAfter)
		}
	}
	require.Zero(t, root.Children())
	root.SetStale(now, false)
	hello(3)
	require.Equal(t, 1, root.Children())
}

// TestStaleRootHoldsJoinersUntilLeaderFound checks the restart of a whole system,
// in which a node asks a control VM before there is a leader. The node must be
// admitted once there is one, without asking again. After maxJoinWait it must be
// refused so that it tries another root.
func TestStaleRootHoldsJoinersUntilLeaderFound(t *testing.T) {
	now := time.Unix(1000, 0)
	root := newRoot(t, now)
	root.SetStale(now, true)
	root.Accepted(1)
	root.Receive(now, 1, Message{Hello: &Hello{Name: "n1", Version: 1}})
	now = now.Add(maxJoinWait / 2)
	root.Tick(now)
	root.SetStale(now, false)
	require.Equal(t, 1, root.Children())

	root.SetStale(now, true)
	root.TakeActions()
	root.Accepted(2)
	root.Receive(now, 2, Message{Hello: &Hello{Name: "n2", Version: 1}})
	root.Tick(now.Add(maxJoinWait))
	refused := slices.ContainsFunc(root.TakeActions(), func(action Action) bool {
		return action.Send != nil && action.Send.Welcome != nil && !action.Send.Welcome.Accepted && action.Send.Welcome.RetryAfter > 0
	})
	require.True(t, refused)
	root.SetStale(now, false)
	require.Zero(t, root.Children())
}

// TestJoinerRetriesRootsBeforePeers checks a node that is refused repeatedly by
// control VMs without a leader. The pauses must stay short. The test ends with
// refusal number maxRootRefusals, the last one after which the node still asks
// only control VMs.
func TestJoinerRetriesRootsBeforePeers(t *testing.T) {
	now := time.Unix(1000, 0)
	settings := Settings{Name: "n1", Parents: []string{"root"}, Seeds: []string{"peer"}, MaxChildren: 4, Timing: DefaultTiming(), Members: member.DefaultTiming()}
	core := New(settings, rand.New(rand.NewPCG(1, 1)), now)
	start, asked := now, 0
	for id := LinkID(1); asked < maxRootRefusals; now = now.Add(10 * time.Millisecond) {
		core.Tick(now)
		for _, action := range core.TakeActions() {
			if action.Dial != "root" {
				// This dial opens a lateral connection to learn a peer's version,
				// not to find a parent.
				continue
			}
			asked++
			core.LinkUp(now, id, action.Dial)
			core.Receive(now, id, Message{Welcome: &Welcome{Name: "c1", RetryAfter: joinRetryAfter}})
			id++
		}
	}
	require.Less(t, now.Sub(start), maxRootRefusals*2*joinRetryAfter)
}

// TestFirstRetriesAreFrequent checks a node whose control VMs do not answer.
// It must retry frequently during the first second, in which the whole system may
// be starting, and less often later.
func TestFirstRetriesAreFrequent(t *testing.T) {
	now := time.Unix(1000, 0)
	settings := Settings{Name: "n1", Parents: []string{"root"}, MaxChildren: 4, Timing: DefaultTiming(), Members: member.DefaultTiming()}
	core := New(settings, rand.New(rand.NewPCG(1, 1)), now)
	countDials := func(length time.Duration) int {
		count := 0
		for end := now.Add(length); now.Before(end); now = now.Add(10 * time.Millisecond) {
			core.Tick(now)
			for _, action := range core.TakeActions() {
				if action.Dial == "root" {
					count++
					core.DialFailed(action.Dial)
				}
			}
		}
		return count
	}
	require.GreaterOrEqual(t, countDials(time.Second), 7, "each wait is at most 150 ms")
	countDials(5 * time.Second)
	require.LessOrEqual(t, countDials(10*time.Second), 15)
}

// TestNewChildGetsRecordsBeforeConfiguration checks that a new child receives the
// membership records before the configuration. Otherwise it would accept calls
// for routes whose targets it does not know.
func TestNewChildGetsRecordsBeforeConfiguration(t *testing.T) {
	now := time.Unix(1000, 0)
	root := newRoot(t, now)
	root.Accepted(1)
	root.Receive(now, 1, Message{Hello: &Hello{Name: "n1", Version: 1}})
	root.Receive(now, 1, Message{Records: []member.Record{{Name: "n1", Gate: "g", Incarnation: 1, Sequence: 1}}})
	root.TakeActions()
	root.Accepted(2)
	root.Receive(now, 2, Message{Hello: &Hello{Name: "n2"}})
	var order []string
	for _, action := range root.TakeActions() {
		switch {
		case action.Send == nil:
		case action.Send.Welcome != nil:
			order = append(order, "welcome")
		case action.Send.Records != nil:
			order = append(order, "records")
		case action.Send.Update != nil:
			order = append(order, "update")
		}
	}
	require.Equal(t, []string{"welcome", "records", "update"}, order)
}
