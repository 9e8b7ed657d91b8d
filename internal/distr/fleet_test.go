package distr_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// One-way latencies within a zone, between zones of a region and between
// regions, the idle timeout of connections, and the overhead per message.
const (
	sameZone      = 250 * time.Microsecond
	otherZone     = 1500 * time.Microsecond
	otherRegion   = 20 * time.Millisecond
	idleTimeout   = 8 * time.Second
	frameOverhead = 60
)

type scheduledEvent struct {
	at    time.Time
	order int
	run   func()
}

type queue []scheduledEvent

func (queue queue) Len() int { return len(queue) }
func (queue queue) Less(i, j int) bool {
	if !queue[i].at.Equal(queue[j].at) {
		return queue[i].at.Before(queue[j].at)
	}
	return queue[i].order < queue[j].order
}
func (queue queue) Swap(i, j int)  { queue[i], queue[j] = queue[j], queue[i] }
func (queue *queue) Push(item any) { *queue = append(*queue, item.(scheduledEvent)) }
func (queue *queue) Pop() any {
	last := (*queue)[len(*queue)-1]
	*queue = (*queue)[:len(*queue)-1]
	return last
}

// endpoint is one end of a simulated connection.
type endpoint struct {
	node         *fleetNode
	id           distr.LinkID
	peer         *endpoint
	open         bool
	lastReceived time.Time
	// nextArrival is the earliest arrival time of the next message. It keeps
	// messages in order.
	nextArrival time.Time
}

type fleetNode struct {
	name      string
	zone      string
	root      bool
	core      *distr.Core
	down      bool
	endpoints map[distr.LinkID]*endpoint
	lastLink  distr.LinkID
	starts    int
	// highestVersion is the highest version that the node has run, across
	// restarts.
	highestVersion uint64
	sent           int
	received       int
	messages       int
	// updateBytes counts the bytes of configuration updates sent.
	updateBytes int
}

// fleet runs cores on a simulated network with a simulated clock.
type fleet struct {
	now    time.Time
	random *rand.Rand
	nodes  map[string]*fleetNode
	queue  queue
	order  int
	// partitioned marks the nodes on the other side of the partition. Nodes on
	// the same side reach each other.
	partitioned map[string]bool
	config      *rsrc.Config
	noQuorum    bool
	// settings adjusts the settings of each node before it starts.
	settings          func(*distr.Settings)
	duplicateMessages bool
	// confirmWithoutQuorum enables a faulty variant in which a root confirms
	// its own version without a quorum.
	confirmWithoutQuorum bool
	// violation is the first violation of a rule: a node went back to an older
	// version or refused an update, or a change was invalid.
	violation      error
	encodedUpdates map[*rsrc.Delta]wire.Update
	names          []string
}

func newFleet(seed uint64) *fleet {
	return &fleet{
		now:            time.Unix(1_000_000, 0),
		random:         rand.New(rand.NewPCG(seed, 9)),
		nodes:          map[string]*fleetNode{},
		partitioned:    map[string]bool{},
		config:         rsrc.EmptyConfig(),
		settings:       func(*distr.Settings) {},
		encodedUpdates: map[*rsrc.Delta]wire.Update{},
	}
}

func (fleet *fleet) recordViolation(format string, args ...any) {
	if fleet.violation == nil {
		fleet.violation = fmt.Errorf(format, args...)
	}
}

func (fleet *fleet) after(delay time.Duration, run func()) {
	fleet.order++
	heap.Push(&fleet.queue, scheduledEvent{at: fleet.now.Add(delay), order: fleet.order, run: run})
}

func (fleet *fleet) latency(a, b *fleetNode) time.Duration {
	switch {
	case a.zone == b.zone:
		return sameZone
	case a.zone[0] == b.zone[0]:
		return otherZone
	default:
		return otherRegion
	}
}

var zones = []string{"a1", "a2", "a3", "b1", "b2"}

func (fleet *fleet) roots(count int) {
	for i := range count {
		fleet.start(fmt.Sprintf("c%d", i+1), zones[i%len(zones)], true)
	}
	for i := 2; i <= count; i++ {
		fleet.runEvent(fleet.nodes[fmt.Sprintf("c%d", i)], func(core *distr.Core) { core.ReplaceParents(fleet.now, []string{"c1"}) })
	}
}

func (fleet *fleet) addNodes(count int) {
	for i := range count {
		fleet.start(fmt.Sprintf("n%d", i+1), zones[i%len(zones)], false)
	}
}

// start starts a node, or restarts it without any state from the previous run.
func (fleet *fleet) start(name, zone string, root bool) {
	node, ok := fleet.nodes[name]
	if !ok {
		node = &fleetNode{name: name, zone: zone, root: root}
		fleet.nodes[name] = node
		fleet.names = slices.Sorted(maps.Keys(fleet.nodes))
	}
	node.starts++
	node.down = false
	node.endpoints = map[distr.LinkID]*endpoint{}
	settings := distr.Settings{
		Name: name, Zone: node.zone, Link: name, Root: root,
		MaxChildren: 8, MaxLaterals: 2, JoinsPerSecond: 100,
		Seeds:  []string{"n1", "n2", "n3", "n4", "n5", "n6"},
		Timing: distr.DefaultTiming(), Members: member.DefaultTiming(),
	}
	if !root {
		for _, other := range fleet.names {
			if fleet.nodes[other].root {
				settings.Parents = append(settings.Parents, other)
			}
		}
	}
	fleet.settings(&settings)
	node.core = distr.New(settings, rand.New(rand.NewPCG(fleet.random.Uint64(), 3)), fleet.now)
	fleet.runEvent(node, func(core *distr.Core) {
		if root {
			core.Publish(fleet.config)
			return
		}
		record := member.Record{Gate: name, Incarnation: uint64(node.starts), State: member.StateServing}
		record.Upstream = member.Upstream{Service: "s" + name, Version: "v1", Slots: 12}
		core.Announce(fleet.now, record)
	})
	start := node.starts
	fleet.after(time.Duration(fleet.random.Int64N(int64(25*time.Millisecond))), func() { fleet.tick(node, start) })
}

// tick runs the periodic work of a node and schedules the next tick. It does
// nothing if the node has been stopped or restarted since it was scheduled.
func (fleet *fleet) tick(node *fleetNode, start int) {
	if node.down || node.starts != start {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(node.endpoints)) {
		if endpoint := node.endpoints[id]; fleet.now.Sub(endpoint.lastReceived) > idleTimeout {
			fleet.connectionClosed(endpoint)
		}
	}
	fleet.runEvent(node, func(core *distr.Core) { core.Tick(fleet.now) })
	fleet.after(50*time.Millisecond, func() { fleet.tick(node, start) })
}

// runEvent runs an event on a node's core and carries out the resulting actions.
func (fleet *fleet) runEvent(node *fleetNode, event func(core *distr.Core)) {
	event(node.core)
	for actions := node.core.TakeActions(); len(actions) > 0; actions = node.core.TakeActions() {
		for _, action := range actions {
			fleet.perform(node, action)
		}
	}
}

func (fleet *fleet) perform(node *fleetNode, action distr.Action) {
	switch {
	case action.Send != nil:
		fleet.send(node, action.ID, *action.Send)
	case action.Close:
		if endpoint, ok := node.endpoints[action.ID]; ok {
			delete(node.endpoints, action.ID)
			endpoint.open = false
			fleet.notifyClosed(endpoint)
		}
	case action.Dial != "":
		fleet.dial(node, action.Dial)
	case action.Config != nil:
		if action.Config.Version() < node.highestVersion {
			fleet.recordViolation("%s went back from version %d to %d", node.name, node.highestVersion, action.Config.Version())
		}
		node.highestVersion = action.Config.Version()
	case action.Refused != nil:
		fleet.recordViolation("%s refused: %v", node.name, action.Refused)
	case action.Confirm:
		start := node.starts
		fleet.after(3*time.Millisecond, func() {
			if node.starts == start {
				ok := !fleet.noQuorum && !fleet.partitioned[node.name]
				version := fleet.config.Version()
				if fleet.confirmWithoutQuorum && !ok {
					fleet.runEvent(node, func(core *distr.Core) { core.Confirmed(action.ID, core.Config().Version(), true) })
					return
				}
				fleet.runEvent(node, func(core *distr.Core) {
					if ok {
						core.Publish(fleet.config)
					}
					core.Confirmed(action.ID, version, ok)
				})
			}
		})
	}
}

func (fleet *fleet) separated(a, b *fleetNode) bool {
	return fleet.partitioned[a.name] != fleet.partitioned[b.name]
}

func (fleet *fleet) dial(node *fleetNode, address string) {
	target, ok := fleet.nodes[address]
	start := node.starts
	wait := time.Second
	if ok && !fleet.separated(node, target) {
		wait = 2 * fleet.latency(node, target)
	}
	fleet.after(wait, func() {
		if node.down || node.starts != start {
			return
		}
		if !ok || target.down || fleet.separated(node, target) || target == node {
			fleet.runEvent(node, func(core *distr.Core) { core.DialFailed(address) })
			return
		}
		local, remote := fleet.newEndpoint(node), fleet.newEndpoint(target)
		local.peer, remote.peer = remote, local
		fleet.runEvent(target, func(core *distr.Core) { core.Accepted(remote.id) })
		fleet.runEvent(node, func(core *distr.Core) { core.LinkUp(fleet.now, local.id, address) })
	})
}

func (fleet *fleet) newEndpoint(node *fleetNode) *endpoint {
	node.lastLink++
	created := &endpoint{node: node, id: node.lastLink, open: true, lastReceived: fleet.now}
	node.endpoints[created.id] = created
	return created
}

// encodedSize returns the size of a message on the wire in bytes.
func (fleet *fleet) encodedSize(message distr.Message) int {
	var update wire.Update
	if message.Update != nil {
		data, ok := fleet.encodedUpdates[message.Update]
		if !ok {
			data = wire.EncodeDelta(*message.Update)
			fleet.encodedUpdates[message.Update] = data
		}
		update = data
	}
	return frameOverhead + len(wire.MustEncode(wire.FromTreeMessage(message, update)))
}

func (fleet *fleet) send(node *fleetNode, id distr.LinkID, message distr.Message) {
	endpoint, ok := node.endpoints[id]
	if !ok {
		return
	}
	size := fleet.encodedSize(message)
	node.sent += size
	node.messages++
	if message.Update != nil {
		node.updateBytes += size
	}
	peer := endpoint.peer
	arrival := fleet.now.Add(fleet.latency(node, peer.node))
	if arrival.Before(peer.nextArrival) {
		arrival = peer.nextArrival
	}
	peer.nextArrival = arrival
	copies := 1
	if fleet.duplicateMessages {
		copies = 2
	}
	for range copies {
		fleet.after(arrival.Sub(fleet.now), func() {
			if !peer.open || peer.node.down || fleet.separated(node, peer.node) {
				return
			}
			peer.lastReceived = fleet.now
			peer.node.received += size
			fleet.runEvent(peer.node, func(core *distr.Core) { core.Receive(fleet.now, peer.id, message) })
		})
	}
}

// notifyClosed closes the other end of a connection after the network latency,
// unless the two nodes are separated by a partition.
func (fleet *fleet) notifyClosed(endpoint *endpoint) {
	peer := endpoint.peer
	fleet.after(fleet.latency(endpoint.node, peer.node), func() {
		if peer.open && !fleet.separated(endpoint.node, peer.node) {
			fleet.connectionClosed(peer)
		}
	})
}

func (fleet *fleet) connectionClosed(endpoint *endpoint) {
	if !endpoint.open || endpoint.node.down {
		return
	}
	endpoint.open = false
	delete(endpoint.node.endpoints, endpoint.id)
	fleet.runEvent(endpoint.node, func(core *distr.Core) { core.LinkDown(fleet.now, endpoint.id) })
}

func (fleet *fleet) kill(name string) {
	node := fleet.nodes[name]
	node.down = true
	for _, id := range slices.Sorted(maps.Keys(node.endpoints)) {
		endpoint := node.endpoints[id]
		endpoint.open = false
		fleet.notifyClosed(endpoint)
	}
}

func (fleet *fleet) run(duration time.Duration) {
	end := fleet.now.Add(duration)
	for len(fleet.queue) > 0 && !fleet.queue[0].at.After(end) {
		next := heap.Pop(&fleet.queue).(scheduledEvent)
		fleet.now = next.at
		next.run()
	}
	fleet.now = end
}
