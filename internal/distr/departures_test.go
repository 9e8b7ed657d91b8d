package distr_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// TestDeparturesComeWithTheFloor guards against a node that serves an upstream after all
// processes lost power although the replicated log says that the upstream has left. The
// node may get its floor from other nodes alone, so these must pass on what they got.
func TestDeparturesComeWithTheFloor(t *testing.T) {
	now := time.Unix(1000, 0)
	left := member.Departure{Record: member.Record{Name: "x", Incarnation: 1, Upstream: member.Upstream{ID: "i-1", Born: 1, Gone: true}}, At: now}
	old := left
	old.Record.Name, old.At = "y", now.Add(-2*member.DepartureRetention)
	config, err := rsrc.EmptyConfig().Apply(5, rsrc.Change{Put: []rsrc.Resource{rsrc.NewService("s", "")}})
	require.NoError(t, err)
	newCore := func(name string, root bool) *distr.Core {
		settings := distr.Settings{Name: name, Zone: name, Root: root, MaxChildren: 4, MaxLaterals: 4, JoinsPerSecond: 100, Timing: distr.DefaultTiming(), Members: member.DefaultTiming()}
		return distr.New(settings, rand.New(rand.NewPCG(1, 1)), now)
	}
	// welcomes returns what the core answers to a request for a lateral connection.
	welcomes := func(core *distr.Core, id distr.LinkID) distr.Welcome {
		core.Accepted(id)
		core.TakeActions()
		core.Receive(now, id, distr.Message{Hello: &distr.Hello{Name: "z", Zone: "z", Lateral: true}})
		return *core.TakeActions()[0].Send.Welcome
	}

	root := newCore("c", true)
	root.Publish(config)
	require.Zero(t, welcomes(root, 1).Floor, "a root vouches for a version before it knows the departures up to it")
	root.SetDepartures([]member.Departure{left, old})
	root.Tick(now)
	told := welcomes(root, 2)
	require.Equal(t, uint64(5), told.Floor)
	require.Equal(t, []member.Departure{left}, told.Departures)

	relay := newCore("p", false)
	relay.LinkUp(now, 1, "c")
	relay.Receive(now, 1, distr.Message{Welcome: &distr.Welcome{Name: "c", Zone: "c", Accepted: true, Floor: 5, Confirmed: true, Departures: told.Departures}})
	delta := config.DeltaSince(0)
	relay.Receive(now, 1, distr.Message{Update: &delta})
	passedOn := welcomes(relay, 2)
	require.Equal(t, uint64(5), passedOn.Floor)
	require.Equal(t, []member.Departure{left}, passedOn.Departures)

	node := newCore("x", false)
	for i, peer := range []string{"p", "q", "r"} {
		id := distr.LinkID(i + 1)
		node.LinkUp(now, id, peer)
		node.TakeActions()
		node.Receive(now, id, distr.Message{Welcome: &distr.Welcome{Name: peer, Zone: peer, Accepted: true, Floor: 5, Departures: passedOn.Departures}})
		require.Equal(t, left.Record, *node.TakeActions()[0].Former, "from %s", peer)
	}
}
