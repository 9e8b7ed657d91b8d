package distr

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// link holds the state of one connection.
type link struct {
	id   LinkID
	name string
	zone string
	// address is the address at which the other end accepts connections.
	address string
	role    Role
	// outgoing is true if this node opened the connection.
	outgoing bool
	// version is the configuration version that the other end has reported or
	// has been sent.
	version uint64
	// report is the last report from a child. It is valid if reported is true.
	report   Report
	reported bool
	// pendingRecords holds the records to send at the next flush, by name.
	pendingRecords map[string]member.Record
	// pendingHello is a request to become a child that a stale root received at
	// pendingSince and has not answered yet.
	pendingHello *Hello
	pendingSince time.Time
}

// reportedVersion is the configuration version that one node reported in a
// Welcome, and the zone of that node.
type reportedVersion struct {
	zone    string
	version uint64
}

// Core is the state machine of the distribution protocol on one node. It is not
// safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	table    *member.Table

	// config is the configuration in force. Its version never decreases and an
	// applied version is never below floor.
	config *rsrc.Config
	// floor is the minimum version that may be applied. It is valid only if
	// floorKnown is true. Until then, reportedVersions collects the unconfirmed
	// versions of other nodes by node name.
	floor            uint64
	floorKnown       bool
	reportedVersions map[string]reportedVersion
	// deltas caches the changes to the current version. The key is the version from
	// which they start.
	deltas map[uint64]*rsrc.Delta

	links  map[LinkID]*link
	parent *link
	// path lists the ancestors, nearest first. It is empty without a parent.
	path   []string
	search finder

	observations     map[observationKey]*Observation
	lastReport       Report
	nextReport       time.Time
	nextObservations time.Time
	nextDigest       time.Time
	nextFlush        time.Time

	// replications holds the own records that not enough other nodes have received.
	// lastReplication is the latest key.
	replications    map[ReplicationID]*replication
	lastReplication ReplicationID

	// departures maps the names of nodes to the departures of their upstreams that the
	// replicated log contained when this node, or the one that told it, joined. On a root
	// they are complete only if departuresKnown is true.
	departures      map[string]member.Departure
	departuresKnown bool

	// stale is true on a root that accepts no children because it has lost
	// contact with the quorum of control VMs and may miss configurations.
	stale bool

	joinTokens        float64
	joinTokensUpdated time.Time

	actions []Action
}

// New returns the core of a node that has neither a configuration nor
// connections.
func New(settings Settings, random *rand.Rand, now time.Time) *Core {
	core := &Core{
		settings:          settings,
		random:            random,
		table:             member.NewTable(settings.Name, settings.Members),
		config:            rsrc.EmptyConfig(),
		floorKnown:        settings.Root,
		reportedVersions:  map[string]reportedVersion{},
		deltas:            map[uint64]*rsrc.Delta{},
		links:             map[LinkID]*link{},
		observations:      map[observationKey]*Observation{},
		replications:      map[ReplicationID]*replication{},
		departures:        map[string]member.Departure{},
		departuresKnown:   !settings.Root,
		joinTokens:        float64(settings.JoinsPerSecond),
		joinTokensUpdated: now,
		nextDigest:        now.Add(time.Duration(random.Int64N(int64(settings.Timing.Compare)))),
	}
	core.search = newFinder(now)
	return core
}

// Config returns the configuration in force.
func (core *Core) Config() *rsrc.Config { return core.config }

// Ready reports whether the minimum version is known and a configuration is in
// force. Such a configuration is at or above the minimum version.
func (core *Core) Ready() bool { return core.floorKnown && core.config.Version() > 0 }

// Table returns the node's membership table.
func (core *Core) Table() *member.Table { return core.table }

// Parent returns the name of the parent, or an empty string if there is none.
func (core *Core) Parent() string {
	if core.parent == nil {
		return ""
	}
	return core.parent.name
}

// Children returns the number of children.
func (core *Core) Children() int { return len(core.linksWithRole(RoleChild)) }

// Path returns the names of the ancestors, nearest first, followed by rootMarker
// if the last one is a root.
func (core *Core) Path() []string { return core.path }

// TakeActions returns and clears the actions collected since the last call.
func (core *Core) TakeActions() []Action {
	actions := core.actions
	core.actions = nil
	return actions
}

func (core *Core) addAction(action Action) { core.actions = append(core.actions, action) }

func (core *Core) send(to *link, message Message) {
	core.addAction(Action{ID: to.id, Send: &message})
}

// disconnect closes a connection. If the handshake is complete, the other end is
// sent a bye first, so that it does not suspect this node of having failed.
func (core *Core) disconnect(to *link) {
	if to.role != RoleUnknown {
		core.send(to, Message{Bye: true})
	}
	core.addAction(Action{ID: to.id, Close: true})
	core.removeLink(to)
}

// removeLink removes all state of a connection, including the parent if the
// connection led to it.
func (core *Core) removeLink(removed *link) {
	delete(core.links, removed.id)
	core.search.linkClosed(removed.id)
	if core.parent == removed {
		core.parent = nil
		core.setPath(nil)
	}
}

// sortedLinks returns the connections ordered by ID, so that runs with the same
// seed are reproducible.
func (core *Core) sortedLinks() []*link {
	ids := slices.Sorted(maps.Keys(core.links))
	links := make([]*link, 0, len(ids))
	for _, id := range ids {
		links = append(links, core.links[id])
	}
	return links
}

// linksWithRole returns the connections with the given role, ordered by ID.
func (core *Core) linksWithRole(role Role) []*link {
	return slices.DeleteFunc(core.sortedLinks(), func(link *link) bool { return link.role != role })
}

// Tick runs everything that is due at the given time. The owner must call it at
// least once per Timing.Coalesce.
func (core *Core) Tick(now time.Time) {
	core.enqueue(core.table.Tick(now), nil)
	core.expireDepartures(now)
	core.refusePending(now)
	core.findParent(now)
	core.maintainLaterals(now)
	core.continueReplications()
	if !now.Before(core.nextDigest) {
		core.nextDigest = now.Add(core.settings.Timing.Compare)
		core.sendDigests()
	}
	if !now.Before(core.nextFlush) {
		core.nextFlush = now.Add(core.settings.Timing.Coalesce)
		core.flushRecords()
		core.sendReport(now)
	}
}

// Accepted adds a connection that the other side opened. No Hello has been
// received on it yet.
func (core *Core) Accepted(id LinkID) {
	core.links[id] = &link{id: id, pendingRecords: map[string]member.Record{}}
}

// LinkDown handles the loss of a connection. The other end is marked as suspect
// if the handshake was complete and no other connection to it exists. A connection
// closed with a bye has already been removed, so the call has no effect.
func (core *Core) LinkDown(now time.Time, id LinkID) {
	lost, ok := core.links[id]
	if !ok {
		return
	}
	if core.parent == lost {
		core.search.restart(now, core.jitter(core.settings.Timing.Retry))
	}
	core.removeLink(lost)
	if lost.role == RoleUnknown || core.connected(lost.name) {
		return
	}
	if record, ok := core.table.Suspect(now, lost.name); ok {
		core.enqueue([]member.Record{record}, nil)
	}
}

// connected reports whether there is a connection to the named node.
func (core *Core) connected(name string) bool {
	return slices.ContainsFunc(core.sortedLinks(), func(link *link) bool { return link.name == name })
}

// jitter returns a random duration between half and one and a half of the mean.
func (core *Core) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(core.random.Int64N(int64(mean)+1))
}

// Receive handles a message received on a connection. Messages on unknown
// connections are ignored.
func (core *Core) Receive(now time.Time, id LinkID, message Message) {
	from, ok := core.links[id]
	if !ok {
		return
	}
	switch {
	case message.Hello != nil:
		core.receiveHello(now, from, *message.Hello)
	case message.Welcome != nil:
		core.receiveWelcome(now, from, *message.Welcome)
	case message.Update != nil:
		core.receiveUpdate(from, *message.Update)
	case message.Pull != nil:
		from.version = message.Pull.Version
		core.sendUpdate(from)
	case message.Report != nil:
		core.receiveReport(from, *message.Report)
	case message.Records != nil:
		core.receiveRecords(now, from, message.Records)
	case message.Digest != nil:
		core.receiveDigest(from, *message.Digest)
	case message.Path != nil:
		core.receivePath(now, from, message.Path)
	case message.Sync != nil:
		core.receiveSync(from, *message.Sync)
	case message.Synced > 0:
		core.receiveSynced(from, message.Synced)
	case message.Bye:
		core.receiveBye(now, from)
	}
}

func (core *Core) receiveBye(now time.Time, from *link) {
	if core.parent == from {
		core.search.restart(now, core.jitter(core.settings.Timing.Retry))
	}
	core.addAction(Action{ID: from.id, Close: true})
	core.removeLink(from)
}

// SetStale sets whether a root has lost contact with the quorum of control VMs. A
// stale root disconnects its children, because they would receive no updates from
// it, and holds back its answers to joining nodes until it is no longer stale or
// maxJoinWait has passed.
func (core *Core) SetStale(now time.Time, stale bool) {
	if core.stale == stale {
		return
	}
	core.stale = stale
	if !stale {
		core.admitPending(now)
		return
	}
	for _, child := range core.linksWithRole(RoleChild) {
		core.disconnect(child)
	}
}

// Publish passes a root the latest configuration from the replicated log. Older
// versions are ignored.
func (core *Core) Publish(config *rsrc.Config) {
	if config.Version() > core.config.Version() {
		core.applyConfig(config)
	}
}

// applyConfig puts a configuration with a higher version in force and sends the
// changes to the children.
func (core *Core) applyConfig(config *rsrc.Config) {
	core.config = config
	clear(core.deltas)
	core.addAction(Action{Config: config})
	for _, child := range core.linksWithRole(RoleChild) {
		core.sendUpdate(child)
	}
}

// sendUpdate sends the other end the changes since its version, unless it is up to
// date or this node is not ready.
func (core *Core) sendUpdate(to *link) {
	if !core.Ready() || to.version >= core.config.Version() {
		return
	}
	delta, ok := core.deltas[to.version]
	if !ok {
		computed := core.config.DeltaSince(to.version)
		delta = &computed
		core.deltas[to.version] = delta
	}
	to.version = core.config.Version()
	core.send(to, Message{Update: delta})
}

func (core *Core) receiveUpdate(from *link, delta rsrc.Delta) {
	from.version = max(from.version, delta.To)
	if delta.To <= core.config.Version() || core.settings.Root {
		return
	}
	if !core.floorKnown || delta.To < core.floor {
		return
	}
	config, err := core.config.Merge(delta)
	if err == nil {
		core.applyConfig(config)
		return
	}
	if delta.From > 0 {
		// The delta cannot be merged into the current configuration, so request
		// a full copy.
		core.send(from, Message{Pull: &Pull{}})
		return
	}
	core.addAction(Action{Refused: err})
}

// Announce updates the node's own record and queues it for all connections.
func (core *Core) Announce(now time.Time, record member.Record) {
	record.Zone, record.Link = core.settings.Zone, core.settings.Link
	core.enqueue([]member.Record{core.table.Announce(now, record)}, nil)
}

// Leave announces the node's own record and sends it immediately, because the
// process is about to exit.
func (core *Core) Leave(now time.Time, record member.Record) {
	core.Announce(now, record)
	core.flushRecords()
}

// enqueue queues records to be sent on all connections with a completed
// handshake, other than except.
func (core *Core) enqueue(records []member.Record, except *link) {
	for _, link := range core.links {
		if link == except || link.role == RoleUnknown {
			continue
		}
		for _, record := range records {
			link.pendingRecords[record.Name] = record
		}
	}
}

// flushRecords sends the queued records, in one message per connection.
func (core *Core) flushRecords() {
	for _, link := range core.sortedLinks() {
		if len(link.pendingRecords) == 0 || link.role == RoleUnknown {
			continue
		}
		records := make([]member.Record, 0, len(link.pendingRecords))
		for _, name := range slices.Sorted(maps.Keys(link.pendingRecords)) {
			records = append(records, link.pendingRecords[name])
		}
		clear(link.pendingRecords)
		core.send(link, Message{Records: records})
	}
}

func (core *Core) receiveRecords(now time.Time, from *link, records []member.Record) {
	for _, record := range records {
		if record.Name == core.settings.Name {
			core.addAction(Action{Former: &record})
		}
		changed, ok := core.table.Merge(now, record)
		if !ok {
			continue
		}
		except := from
		if record.Name == core.settings.Name {
			// The refutation must also reach the node that sent the suspicion.
			except = nil
		}
		core.enqueue([]member.Record{changed}, except)
	}
}

// sendDigests sends digests to the parent and over the lateral connections that
// this node opened.
func (core *Core) sendDigests() {
	for _, link := range core.sortedLinks() {
		if link.role == RoleLateral && link.outgoing || link.role == RoleParent {
			core.sendDigest(link)
		}
	}
}

func (core *Core) sendDigest(to *link) {
	core.send(to, Message{Digest: core.localDigest()})
}

func (core *Core) localDigest() *Digest {
	return &Digest{Version: core.config.Version(), Sum: core.table.Digest().Sum()}
}

// receiveDigest compares the sender's state with the local one. It sends or
// requests a newer configuration. It answers a sum with its own sum, and adds the
// hashes of its buckets if the sums differ. It answers bucket hashes with the
// records of the differing buckets and its own bucket hashes, marked as Last. A
// digest marked as Last is answered only with records.
func (core *Core) receiveDigest(from *link, digest Digest) {
	from.version = digest.Version
	if from.role == RoleLateral || from.role == RoleChild {
		core.sendUpdate(from)
	}
	if digest.Version > core.config.Version() && core.floorKnown && !core.settings.Root {
		core.send(from, Message{Pull: &Pull{Version: core.config.Version()}})
	}
	reply := core.localDigest()
	buckets := core.table.Digest()
	switch {
	case digest.Groups != nil:
		if records := core.table.DifferingRecords(*digest.Groups); len(records) > 0 {
			core.send(from, Message{Records: records})
		}
		if digest.Last {
			return
		}
		reply.Groups, reply.Last = &buckets, true
	case digest.Sum != reply.Sum:
		reply.Groups = &buckets
	case from.outgoing:
		// This is the answer to a digest of this node, and the sums are equal.
		return
	}
	core.send(from, Message{Digest: reply})
}
