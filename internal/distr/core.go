package distr

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// link is the state of one connection.
type link struct {
	id   LinkID
	name string
	zone string
	// address is where the other end takes connections.
	address string
	role    Role
	// dialled is true when this side opened the connection.
	dialled bool
	// version is the configuration the other end is known to run or to have
	// been sent.
	version uint64
	// report is the last one from a child, if it has reported.
	report   Report
	reported bool
	// pendingRecords holds records that wait to be sent, by name.
	pendingRecords map[string]member.Record
	// pendingHello is the request to be a child that a stale root has not answered
	// yet, since waitingAt.
	pendingHello *Hello
	pendingSince time.Time
}

// peerVersion is what one peer said of its version.
type peerVersion struct {
	zone    string
	version uint64
}

// Core decides for one node. It is not safe for concurrent use.
type Core struct {
	settings Settings
	random   *rand.Rand
	table    *member.Table

	// config is in force; its version never falls and is never below floor.
	config *rsrc.Config
	// floor is the minimum version that may be applied; it counts only while
	// floorKnown.
	floor        uint64
	floorKnown   bool
	peerVersions map[string]peerVersion
	// deltas caches the changes from older versions to the present one.
	deltas map[uint64]*rsrc.Delta

	links  map[LinkID]*link
	parent *link
	// path lists the ancestors, nearest first; it is empty without a parent.
	path   []string
	search finder

	observations     map[observationKey]*Observation
	lastReport       Report
	nextReport       time.Time
	nextObservations time.Time
	nextDigest       time.Time
	nextFlush        time.Time

	// stale is true on a root that takes no children for want of news.
	stale bool

	joinTokens        float64
	joinTokensUpdated time.Time

	actions []Action
}

// New returns the core of a node that knows nothing yet.
func New(settings Settings, random *rand.Rand, now time.Time) *Core {
	core := &Core{
		settings:          settings,
		random:            random,
		table:             member.NewTable(settings.Name, settings.Members),
		config:            rsrc.EmptyConfig(),
		floorKnown:        settings.Root,
		peerVersions:      map[string]peerVersion{},
		deltas:            map[uint64]*rsrc.Delta{},
		links:             map[LinkID]*link{},
		observations:      map[observationKey]*Observation{},
		joinTokens:        float64(settings.JoinsPerSecond),
		joinTokensUpdated: now,
		nextDigest:        now.Add(time.Duration(random.Int64N(int64(settings.Timing.Compare)))),
	}
	core.search = newFinder(now)
	return core
}

// Config returns the configuration in force.
func (core *Core) Config() *rsrc.Config { return core.config }

// Ready reports whether a configuration at or above the floor is in force.
func (core *Core) Ready() bool { return core.floorKnown && core.config.Version() > 0 }

// Table returns the membership the node knows.
func (core *Core) Table() *member.Table { return core.table }

// Parent returns the parent's name, or an empty string.
func (core *Core) Parent() string {
	if core.parent == nil {
		return ""
	}
	return core.parent.name
}

// Children returns the number of children.
func (core *Core) Children() int { return len(core.linksWithRole(RoleChild)) }

// Path returns the ancestors, nearest first.
func (core *Core) Path() []string { return core.path }

// TakeActions returns the actions collected since the last call.
func (core *Core) TakeActions() []Action {
	actions := core.actions
	core.actions = nil
	return actions
}

func (core *Core) addAction(action Action) { core.actions = append(core.actions, action) }

func (core *Core) send(to *link, message Message) {
	core.addAction(Action{ID: to.id, Send: &message})
}

// disconnect ends a connection on purpose.
func (core *Core) disconnect(to *link) {
	if to.role != RoleUnknown {
		core.send(to, Message{Bye: true})
	}
	core.addAction(Action{ID: to.id, Close: true})
	core.removeLink(to)
}

// removeLink takes a connection out of all tables.
func (core *Core) removeLink(removed *link) {
	delete(core.links, removed.id)
	core.search.linkClosed(removed.id)
	if core.parent == removed {
		core.parent = nil
		core.setPath(nil)
	}
}

// sortedLinks returns the connections in a fixed order, so that runs repeat.
func (core *Core) sortedLinks() []*link {
	ids := slices.Sorted(maps.Keys(core.links))
	links := make([]*link, 0, len(ids))
	for _, id := range ids {
		links = append(links, core.links[id])
	}
	return links
}

func (core *Core) linksWithRole(role Role) []*link {
	return slices.DeleteFunc(core.sortedLinks(), func(link *link) bool { return link.role != role })
}

// Tick lets time pass. Call it at least every Coalesce.
func (core *Core) Tick(now time.Time) {
	core.enqueue(core.table.Tick(now), nil)
	core.refusePending(now)
	core.findParent(now)
	core.maintainLaterals(now)
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

// Accepted tells of a connection that the other side opened.
func (core *Core) Accepted(id LinkID) {
	core.links[id] = &link{id: id, pendingRecords: map[string]member.Record{}}
}

// LinkDown tells that a connection was lost. The other end is suspected if it
// had a role and did not say bye.
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

func (core *Core) connected(name string) bool {
	return slices.ContainsFunc(core.sortedLinks(), func(link *link) bool { return link.name == name })
}

// jitter returns a random duration around the mean.
func (core *Core) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(core.random.Int64N(int64(mean)+1))
}

// Receive takes a message from a connection.
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

// SetStale tells a root whether it lost touch with the source. A stale root
// sends its children away, since it would keep them from the news.
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

// Publish gives a root the configuration that the log has come to.
func (core *Core) Publish(config *rsrc.Config) {
	if config.Version() > core.config.Version() {
		core.applyConfig(config)
	}
}

// applyConfig puts a higher configuration in force and passes it on.
func (core *Core) applyConfig(config *rsrc.Config) {
	core.config = config
	clear(core.deltas)
	core.addAction(Action{Config: config})
	for _, child := range core.linksWithRole(RoleChild) {
		core.sendUpdate(child)
	}
}

// sendUpdate sends the other end what it lacks.
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
		// The delta does not fit what is here: ask for a full copy.
		core.send(from, Message{Pull: &Pull{}})
		return
	}
	core.addAction(Action{Refused: err})
}

// Announce writes the node's own record and spreads it.
func (core *Core) Announce(now time.Time, record member.Record) {
	record.Zone, record.Link = core.settings.Zone, core.settings.Link
	core.enqueue([]member.Record{core.table.Announce(now, record)}, nil)
}

// Leave spreads the own record at once, before the process ends.
func (core *Core) Leave(now time.Time, record member.Record) {
	core.Announce(now, record)
	core.flushRecords()
}

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
		changed, ok := core.table.Merge(now, record)
		if !ok {
			continue
		}
		except := from
		if record.Name == core.settings.Name {
			// A refutation goes back to where the suspicion came from, too.
			except = nil
		}
		core.enqueue([]member.Record{changed}, except)
	}
}

// sendDigests sends digests over lateral connections and to the parent.
func (core *Core) sendDigests() {
	for _, link := range core.sortedLinks() {
		if link.role == RoleLateral && link.dialled || link.role == RoleParent {
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

// receiveDigest brings both ends to the same state.
func (core *Core) receiveDigest(from *link, digest Digest) {
	from.version = digest.Version
	if from.role == RoleLateral || from.role == RoleChild {
		core.sendUpdate(from)
	}
	if digest.Version > core.config.Version() && core.floorKnown && !core.settings.Root {
		core.send(from, Message{Pull: &Pull{Version: core.config.Version()}})
	}
	reply := core.localDigest()
	groups := core.table.Digest()
	switch {
	case digest.Groups != nil:
		if records := core.table.DifferingRecords(*digest.Groups); len(records) > 0 {
			core.send(from, Message{Records: records})
		}
		if digest.Last {
			return
		}
		reply.Groups, reply.Last = &groups, true
	case digest.Sum != reply.Sum:
		reply.Groups = &groups
	case from.dialled:
		return
	}
	core.send(from, Message{Digest: reply})
}
