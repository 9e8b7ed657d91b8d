// Package tree runs this process's part of the tree over which configurations and
// membership records are distributed. The protocol is implemented by the core of
// package distr, which does no input or output. This package passes connection
// events, messages and clock ticks to the core and performs the actions that the
// core returns. The core calls a connection a link.
package tree

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// notifyMethod is the method name of the notifications that carry tree messages.
const notifyMethod = "tree"

// tickInterval is the interval between calls of the core's Tick method.
const tickInterval = 50 * time.Millisecond

// Idle is the idle timeout of a connection of the tree. A node may lag behind the
// newest configuration for at most 3 seconds. If its parent in the tree fails, the
// node must detect that, find another parent and catch up within these 3 seconds.
const Idle = 1500 * time.Millisecond

// Host is the rest of the process, as far as the tree calls it. The tree calls
// Applied, RestoreFormer and Confirm while it holds its lock, so these methods must
// not call the tree.
type Host interface {
	// Applied is called when a new configuration is in force. It must not block.
	Applied(config *rsrc.Config)
	// RestoreFormer is called with a membership record of this node, received from
	// another node. The record may be one that this node announced before it was
	// restarted. If RestoreFormer returns true, the returned record replaces the
	// announced one. It must not block.
	RestoreFormer(former member.Record) (member.Record, bool)
	// Confirm requests a configuration version that is confirmed by a quorum of
	// the control VMs, for the node that is joining on the connection with the
	// given link ID. The host later passes the result to the core's Confirmed
	// method, from another goroutine and through Tree.Do. Confirm must not block.
	Confirm(id distr.LinkID)
	// Call handles every request. Tree messages are notifications, so the tree
	// itself handles no requests.
	Call(ctx context.Context, method string, params json.RawMessage) (any, error)
	// Notify handles notifications that are not tree messages.
	Notify(method string, params json.RawMessage)
}

// Tree runs a distribution core over connections. It is safe for concurrent use.
// The tree calls some methods of the host while it holds its lock (see Host), so a
// caller must hold no other lock of the process when it calls a method of the tree.
type Tree struct {
	host    Host
	options link.Options
	log     logr.Logger
	stats   *stats.Set
	now     func() time.Time
	group   *tasks.Group
	// dials holds the addresses to connect to.
	dials chan string

	lock sync.Mutex
	core *distr.Core
	// conns and linkIDs map link IDs to connections and back.
	conns   map[distr.LinkID]*link.Conn
	linkIDs map[*link.Conn]distr.LinkID
	lastID  distr.LinkID
	// encoded caches encoded updates, because many receivers get the same one.
	// It is cleared with each new configuration.
	encoded map[*rsrc.Delta]wire.Update
	// replicated holds the channels to close when a record is replicated.
	replicated map[distr.ReplicationID]chan<- struct{}
	// parent is the name of the parent that was last logged, or empty if there
	// was none.
	parent string
}

// New returns a tree that has not been started. Run starts it.
func New(core *distr.Core, host Host, options link.Options, log logr.Logger, set *stats.Set, now func() time.Time) *Tree {
	options.Idle = Idle
	return &Tree{
		host:    host,
		options: options,
		log:     log,
		stats:   set,
		now:     now,
		group:   tasks.New(2),
		dials:   make(chan string, maxPendingDials),
		core:    core,
		conns:   map[distr.LinkID]*link.Conn{},
		linkIDs: map[*link.Conn]distr.LinkID{},
		encoded: map[*rsrc.Delta]wire.Update{},

		replicated: map[distr.ReplicationID]chan<- struct{}{},
	}
}

// Run accepts connections and ticks the core until the context is canceled. It
// then waits for the accept task and returns nil. If the accept task ends while the
// context is not canceled, Run returns the error of the task at once.
func (tree *Tree) Run(ctx context.Context, listener net.Listener) error {
	tree.group.Go(ctx, "dials", tree.runDials)
	tree.group.Go(ctx, "accept", func(ctx context.Context) error {
		return link.Serve(ctx, listener, tree, tree.options, tree.accepted)
	})
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			tree.group.Wait()
			return nil
		case result := <-tree.group.Results():
			return result.Err
		case <-ticker.C:
			tree.Do(func(core *distr.Core, now time.Time) { core.Tick(now) })
		}
	}
}

// Do passes an event to the core and performs the resulting actions. The tree's
// lock is held throughout.
func (tree *Tree) Do(event func(core *distr.Core, now time.Time)) {
	tree.lock.Lock()
	defer tree.lock.Unlock()
	event(tree.core, tree.now())
	for actions := tree.core.TakeActions(); len(actions) > 0; actions = tree.core.TakeActions() {
		for _, action := range actions {
			tree.perform(action)
		}
	}
	if parent := tree.core.Parent(); parent != tree.parent {
		tree.log.Info("parent changed", "from", tree.parent, "to", parent)
		tree.parent = parent
	}
}

// Replicate announces the record that the function returns and waits until enough
// other nodes have received it or the context ends. The function is called under the
// tree's lock.
func (tree *Tree) Replicate(ctx context.Context, record func() member.Record) error {
	received := make(chan struct{})
	var id distr.ReplicationID
	tree.Do(func(core *distr.Core, now time.Time) {
		id = core.Replicate(now, record())
		tree.replicated[id] = received
	})
	select {
	case <-received:
		return nil
	case <-ctx.Done():
	}
	tree.Do(func(core *distr.Core, _ time.Time) {
		core.CancelReplication(id)
		delete(tree.replicated, id)
	})
	return trace.Wrap(ctx.Err(), "no other node has received the record")
}

// perform carries out one action of the core. The tree's lock must be held.
func (tree *Tree) perform(action distr.Action) {
	switch {
	case action.Send != nil:
		tree.send(action.ID, *action.Send)
	case action.Close:
		if conn, ok := tree.conns[action.ID]; ok {
			tree.remove(conn)
			conn.FlushAndClose()
		}
	case action.Dial != "":
		tree.dial(action.Dial)
	case action.Config != nil:
		clear(tree.encoded)
		tree.stats.Count("vp_config_applied_total", 1)
		tree.log.Info("configuration in force", "version", action.Config.Version(), "resources", action.Config.Len(), "from", tree.core.Parent())
		tree.host.Applied(action.Config)
	case action.Refused != nil:
		tree.stats.Count("vp_config_refused_total", 1)
		tree.log.Error(action.Refused, "configuration refused")
	case action.Former != nil:
		if record, changed := tree.host.RestoreFormer(*action.Former); changed {
			tree.core.Announce(tree.now(), record)
		}
	case action.Replicated > 0:
		close(tree.replicated[action.Replicated])
		delete(tree.replicated, action.Replicated)
	case action.Confirm:
		tree.host.Confirm(action.ID)
	}
}

// send sends a message on the connection with the given link ID. It does nothing if
// the connection has been removed. The tree's lock must be held.
func (tree *Tree) send(id distr.LinkID, message distr.Message) {
	conn, ok := tree.conns[id]
	if !ok {
		return
	}
	tree.stats.Count(fmt.Sprintf(`vp_tree_messages_total{kind=%q}`, kindOf(message)), 1)
	conn.Notify(notifyMethod, wire.FromTreeMessage(message, tree.encode(message.Update)))
}

// kindOf returns the value of the metric label "kind" for a message.
func kindOf(message distr.Message) string {
	switch {
	case message.Hello != nil:
		return "hello"
	case message.Welcome != nil:
		return "welcome"
	case message.Update != nil:
		return "update"
	case message.Pull != nil:
		return "pull"
	case message.Report != nil:
		return "report"
	case message.Records != nil:
		return "records"
	case message.Digest != nil:
		return "digest"
	case message.Path != nil:
		return "path"
	case message.Sync != nil:
		return "sync"
	case message.Synced > 0:
		return "synced"
	default:
		return "bye"
	}
}

// encode returns the encoded form of an update, or an empty one if delta is nil. The
// tree's lock must be held.
func (tree *Tree) encode(delta *rsrc.Delta) wire.Update {
	if delta == nil {
		return wire.Update{}
	}
	update, ok := tree.encoded[delta]
	if !ok {
		update = wire.EncodeDelta(*delta)
		tree.encoded[delta] = update
	}
	return update
}

// maxPendingDials is the number of addresses that wait for a goroutine of the pool.
// It exceeds the connections that a core asks for at once.
const maxPendingDials = 64

// dial has runDials connect to an address. If too many addresses are waiting, it
// reports the failure to the core at once. The tree's lock must be held.
func (tree *Tree) dial(address string) {
	select {
	case tree.dials <- address:
	default:
		tree.stats.Count("vp_tree_dial_failures_total", 1)
		tree.core.DialFailed(address)
	}
}

// runDials connects to the addresses that dial has queued. Submit may block until a
// goroutine of the pool is free, and those goroutines may wait for the tree's lock,
// so runDials does not hold it.
func (tree *Tree) runDials(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case address := <-tree.dials:
			tree.connect(ctx, address)
		}
	}
}

// connect connects to an address in a goroutine of options.Pool and passes the
// result to the core.
func (tree *Tree) connect(ctx context.Context, address string) {
	err := tree.options.Pool.Submit(func() {
		conn, err := link.Dial(ctx, address, tree, tree.options)
		tree.Do(func(core *distr.Core, now time.Time) {
			if err != nil || conn.IsClosed() {
				tree.stats.Count("vp_tree_dial_failures_total", 1)
				core.DialFailed(address)
				return
			}
			core.LinkUp(now, tree.add(conn), address)
		})
	})
	if err != nil {
		tree.Do(func(core *distr.Core, _ time.Time) { core.DialFailed(address) })
	}
}

// add assigns a link ID to a connection. The tree's lock must be held.
func (tree *Tree) add(conn *link.Conn) distr.LinkID {
	tree.lastID++
	tree.conns[tree.lastID] = conn
	tree.linkIDs[conn] = tree.lastID
	return tree.lastID
}

// remove deletes a connection and its link ID. The tree's lock must be held.
func (tree *Tree) remove(conn *link.Conn) {
	delete(tree.conns, tree.linkIDs[conn])
	delete(tree.linkIDs, conn)
}

// accepted adds a connection that another process opened.
func (tree *Tree) accepted(conn *link.Conn) {
	tree.Do(func(core *distr.Core, _ time.Time) { core.Accepted(tree.add(conn)) })
}

// Notify implements link.Handler.
func (tree *Tree) Notify(conn *link.Conn, method string, params json.RawMessage) {
	if method != notifyMethod {
		tree.host.Notify(method, params)
		return
	}
	var decoded wire.TreeMessage
	err := json.Unmarshal(params, &decoded)
	if err != nil {
		tree.stats.Count("vp_tree_malformed_total", 1)
		return
	}
	message, err := decoded.Domain()
	if err != nil {
		tree.stats.Count("vp_tree_malformed_total", 1)
		return
	}
	tree.Do(func(core *distr.Core, now time.Time) {
		if id, ok := tree.linkIDs[conn]; ok {
			core.Receive(now, id, message)
		}
	})
}

// Call implements link.Handler.
func (tree *Tree) Call(ctx context.Context, _ *link.Conn, method string, params json.RawMessage) (any, error) {
	return tree.host.Call(ctx, method, params)
}

// Closed implements link.Handler.
func (tree *Tree) Closed(conn *link.Conn) {
	tree.Do(func(core *distr.Core, now time.Time) {
		if id, ok := tree.linkIDs[conn]; ok {
			tree.remove(conn)
			core.LinkDown(now, id)
		}
	})
}

// Records returns the membership records that the node knows.
func (tree *Tree) Records() []member.Record {
	records, _, _ := tree.RecordsIfChanged(0)
	return records
}

// RecordsIfChanged returns all membership records, their version and true if the
// membership has another version than the given one. Otherwise it returns nil, the
// given version and false. Versions start at 1, so a call with version 0 always
// returns the records.
func (tree *Tree) RecordsIfChanged(version uint64) ([]member.Record, uint64, bool) {
	tree.lock.Lock()
	defer tree.lock.Unlock()
	current := tree.core.Table().Version() + 1
	if current == version {
		return nil, version, false
	}
	return tree.core.Table().Records(), current, true
}
