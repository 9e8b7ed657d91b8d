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

// newRoot returns a control VM's core with a configuration.
func newRoot(t *testing.T, now time.Time) *Core {
	settings := Settings{Name: "c1", Root: true, MaxChildren: 4, JoinsPerSecond: 100, Timing: DefaultTiming(), Members: member.DefaultTiming()}
	root := New(settings, rand.New(rand.NewPCG(1, 1)), now)
	config, err := rsrc.EmptyConfig().Apply(1, rsrc.Change{Put: []rsrc.Resource{rsrc.NewService("s", "")}})
	require.NoError(t, err)
	root.Publish(config)
	return root
}

// TestStaleRootDropsChildren cuts a control VM off from the source: its
// child must find another root and not wait for news that cannot come; a root
// that has just started is asked again before any peer is.
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
	require.True(t, bye, "the child need not wait for silence")
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

// TestStaleRootHoldsJoinersUntilLeaderFound restarts everything: a node asks a
// control VM before there is a leader, and must be taken in once there is one,
// without asking again; one that waits for long is sent elsewhere.
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
	sentAway := slices.ContainsFunc(root.TakeActions(), func(action Action) bool {
		return action.Send != nil && action.Send.Welcome != nil && !action.Send.Welcome.Accepted && action.Send.Welcome.RetryAfter > 0
	})
	require.True(t, sentAway)
	root.SetStale(now, false)
	require.Zero(t, root.Children())
}

// TestJoinerRetriesRootsBeforePeers is refused again and again by control VMs that
// have no leader yet: the pauses stay short, and peers are asked only later.
func TestJoinerRetriesRootsBeforePeers(t *testing.T) {
	now := time.Unix(1000, 0)
	settings := Settings{Name: "n1", Parents: []string{"root"}, Seeds: []string{"peer"}, MaxChildren: 4, Timing: DefaultTiming(), Members: member.DefaultTiming()}
	core := New(settings, rand.New(rand.NewPCG(1, 1)), now)
	start, asked := now, 0
	for id := LinkID(1); asked < maxRootRefusals; now = now.Add(10 * time.Millisecond) {
		core.Tick(now)
		for _, action := range core.TakeActions() {
			if action.Dial != "root" {
				// Peers are asked beside it what they run, not to be the parent.
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

// TestFirstRetriesAreFrequent has no control VM that answers: a node asks often in
// the first second, when all may be starting, and seldom later.
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
	require.GreaterOrEqual(t, countDials(time.Second), 7, "a wait of 150 ms at most")
	countDials(5 * time.Second)
	require.LessOrEqual(t, countDials(10*time.Second), 15)
}

// TestNewChildGetsRecordsBeforeConfiguration wants no node to run a
// configuration without knowing whom its routes lead to.
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
