package distr

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/member"
)

// minReplicas is the number of other nodes that must have received a record before
// it counts as replicated. If fewer nodes are connected, all of them must have
// received it, and at least one.
const minReplicas = 2

// ReplicationID identifies a record that must be replicated.
type ReplicationID uint64

// replication is the own record on its way to other nodes.
type replication struct {
	// asked holds the connections on which the record was sent.
	asked map[LinkID]bool
	// received holds the names of the nodes that have received it.
	received map[string]bool
}

// Replicate updates the node's own record like Announce, but sends it at once. An
// action reports when enough other nodes have received it. Until then the record is
// also sent on each new connection.
func (core *Core) Replicate(now time.Time, record member.Record) ReplicationID {
	core.Announce(now, record)
	core.lastReplication++
	id := core.lastReplication
	core.replications[id] = &replication{asked: map[LinkID]bool{}, received: map[string]bool{}}
	core.continueReplications()
	return id
}

// CancelReplication ends the wait for other nodes. The record itself stays announced.
func (core *Core) CancelReplication(id ReplicationID) { delete(core.replications, id) }

// continueReplications sends the own record on the connections that have not got it.
func (core *Core) continueReplications() {
	for id, pending := range core.replications {
		own, _ := core.table.Get(core.settings.Name)
		for _, link := range core.sortedLinks() {
			if link.role == RoleUnknown || pending.asked[link.id] {
				continue
			}
			pending.asked[link.id] = true
			delete(link.pendingRecords, own.Name)
			core.send(link, Message{Records: []member.Record{own}})
			core.send(link, Message{Sync: &Sync{ID: id, Incarnation: own.Incarnation}})
		}
		core.endReplication(id, pending)
	}
}

// receiveSync confirms that this node has the sender's record, unless it has one of a
// higher incarnation. That happens if the sender's clock was set back before it
// restarted; it will announce its record again.
func (core *Core) receiveSync(from *link, sync Sync) {
	if record, ok := core.table.Get(from.name); ok && record.Incarnation <= sync.Incarnation {
		core.send(from, Message{Synced: sync.ID})
	}
}

// receiveSynced handles the confirmation that the other end has the record.
func (core *Core) receiveSynced(from *link, id ReplicationID) {
	pending, ok := core.replications[id]
	if !ok || from.role == RoleUnknown {
		return
	}
	pending.received[from.name] = true
	core.endReplication(id, pending)
}

// endReplication reports a record as replicated if enough other nodes have it.
func (core *Core) endReplication(id ReplicationID, pending *replication) {
	connected := map[string]bool{}
	for _, link := range core.links {
		if link.role != RoleUnknown {
			connected[link.name] = true
		}
	}
	if len(pending.received) == 0 || len(pending.received) < min(minReplicas, len(connected)) {
		return
	}
	delete(core.replications, id)
	core.addAction(Action{Replicated: id})
}
