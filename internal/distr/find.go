package distr

import (
	"slices"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/member"
)

// maxRootRefusals is how many refusals a node takes before it turns to its
// peers. Control VMs that have just started refuse until they found a leader.
const maxRootRefusals = 6

// finder is the search for a parent and for lateral peers.
type finder struct {
	// dialling maps an address to the role wanted of it.
	dialling map[string]Role
	// joinLink is the connection that was asked to be the parent, if any.
	joinLink LinkID
	// candidates are to be tried before asking a control VM again.
	candidates []Address
	// failures counts the tries since the last parent, refused those of them
	// that a control VM answered.
	failures    int
	refused     int
	nextAttempt time.Time
	nextLateral time.Time
}

func newFinder(now time.Time) finder {
	return finder{dialling: map[string]Role{}, nextAttempt: now, nextLateral: now}
}

func (finder *finder) restart(now time.Time, pause time.Duration) {
	finder.candidates = nil
	finder.joinLink = 0
	finder.nextAttempt = now.Add(pause)
}

// unanswered counts the tries that nobody answered. Redirects are answered,
// too, and are no tries of their own.
func (finder *finder) unanswered() int { return max(0, finder.failures-finder.refused) }

func (finder *finder) linkClosed(id LinkID) {
	if finder.joinLink == id {
		finder.joinLink = 0
	}
}

func (finder *finder) joining() bool {
	if finder.joinLink != 0 {
		return true
	}
	for _, role := range finder.dialling {
		if role == RoleParent {
			return true
		}
	}
	return false
}

// SetParents replaces the addresses of the control VMs; a root's own parent
// is the present leader, or none on the leader itself.
func (core *Core) SetParents(now time.Time, parents []string) {
	if slices.Equal(parents, core.settings.Parents) {
		return
	}
	core.settings.Parents = parents
	if core.parent != nil {
		core.disconnect(core.parent)
	}
	core.search.restart(now, 0)
}

// UpdateParents replaces the addresses of the control VMs; a present parent
// stays.
func (core *Core) UpdateParents(parents []string) { core.settings.Parents = parents }

// findParent starts the next try to find a parent when it is due.
func (core *Core) findParent(now time.Time) {
	leading := core.settings.Root && len(core.settings.Parents) == 0
	if core.parent != nil || leading || core.search.joining() || now.Before(core.search.nextAttempt) {
		return
	}
	address, ok := core.nextCandidate()
	core.search.nextAttempt = now.Add(core.backoff())
	if !ok || core.search.dialling[address] != RoleUnknown {
		return
	}
	core.search.dialling[address] = RoleParent
	core.addAction(Action{Dial: address})
}

// backoff is the pause before the next try. The first tries come soon: after a
// restart of everything the control VMs are back within a second.
func (core *Core) backoff() time.Duration {
	slowRetries := core.search.unanswered() - fastRetries
	if slowRetries < 0 {
		return core.jitter(fastRetryDelay)
	}
	mean := core.settings.Timing.Retry << min(slowRetries, maxDoublings)
	return core.jitter(min(mean, core.settings.Timing.RetryMax))
}

const (
	// fastRetries is how many tries without an answer are followed by the next
	// one after eagerRetry in the mean; together they take a second, the time
	// in which a VM is back.
	fastRetries    = 10
	fastRetryDelay = 100 * time.Millisecond
	// maxDoublings keeps the backoff from overflowing; RetryMax bounds it.
	maxDoublings = 6
)

// nextCandidate returns an address to ask: a redirect first, then a control
// VM, and every other time without success a peer.
func (core *Core) nextCandidate() (string, bool) {
	if len(core.search.candidates) > 0 {
		candidate := core.search.candidates[0]
		core.search.candidates = core.search.candidates[1:]
		return candidate.Link, true
	}
	core.search.failures++
	peers := core.peerAddresses()
	usePeer := (core.search.unanswered() > 2 || core.search.refused > maxRootRefusals) && core.search.failures%2 == 0 && !core.settings.Root
	if usePeer && len(peers) > 0 {
		return peers[core.random.IntN(len(peers))], true
	}
	if len(core.settings.Parents) == 0 {
		return "", false
	}
	return core.settings.Parents[core.random.IntN(len(core.settings.Parents))], true
}

// peerAddresses returns the nodes that may be asked, own zone first if it has
// any, or the seeds if no node is known.
func (core *Core) peerAddresses() []string {
	var sameZone, all []string
	for _, record := range core.table.Records() {
		if record.Name == core.settings.Name || record.State == member.StateSuspect || record.Link == "" || core.connected(record.Name) {
			continue
		}
		all = append(all, record.Link)
		if record.Zone == core.settings.Zone {
			sameZone = append(sameZone, record.Link)
		}
	}
	switch {
	case len(sameZone) > 0 && core.random.IntN(2) == 0:
		return sameZone
	case len(all) > 0:
		return all
	default:
		return core.settings.Seeds
	}
}

// maintainLaterals opens lateral connections until there are enough.
func (core *Core) maintainLaterals(now time.Time) {
	if core.settings.Root || now.Before(core.search.nextLateral) {
		return
	}
	count := 0
	for _, link := range core.linksWithRole(RoleLateral) {
		if link.dialled {
			count++
		}
	}
	wanted := core.settings.MaxLaterals
	if !core.floorKnown && core.search.failures > 2 {
		wanted = max(wanted, minPeersForFloor+1)
	}
	if count >= wanted {
		return
	}
	core.search.nextLateral = now.Add(core.jitter(core.settings.Timing.Retry * 2))
	peers := core.peerAddresses()
	if len(peers) == 0 {
		return
	}
	address := peers[core.random.IntN(len(peers))]
	if address == core.settings.Link || core.search.dialling[address] != RoleUnknown {
		return
	}
	core.search.dialling[address] = RoleLateral
	core.addAction(Action{Dial: address})
}

// DialFailed tells that no connection to the address could be made.
func (core *Core) DialFailed(address string) { delete(core.search.dialling, address) }

// LinkUp tells that a dialled connection stands.
func (core *Core) LinkUp(now time.Time, id LinkID, address string) {
	role := core.search.dialling[address]
	delete(core.search.dialling, address)
	up := &link{id: id, address: address, dialled: true, pendingRecords: map[string]member.Record{}}
	core.links[id] = up
	if role == RoleParent {
		core.search.joinLink = id
	}
	core.send(up, Message{Hello: &Hello{
		Name:      core.settings.Name,
		Zone:      core.settings.Zone,
		Link:      core.settings.Link,
		Lateral:   role != RoleParent,
		Version:   core.config.Version(),
		NeedFloor: !core.floorKnown,
	}})
}

func (core *Core) receiveWelcome(now time.Time, from *link, welcome Welcome) {
	if from.role != RoleUnknown {
		return
	}
	from.name, from.zone = welcome.Name, welcome.Zone
	if welcome.Former != nil && welcome.Former.Name == core.settings.Name {
		core.addAction(Action{Former: welcome.Former})
	}
	core.learnFloor(from, welcome)
	if core.search.joinLink != from.id {
		core.receiveLateralWelcome(from, welcome)
		return
	}
	core.search.joinLink = 0
	if !welcome.Accepted {
		core.receiveRefusal(now, from, welcome)
		return
	}
	if slices.Contains(welcome.Path, core.settings.Name) {
		core.disconnect(from)
		return
	}
	core.parent, from.role = from, RoleParent
	core.search.failures, core.search.refused = 0, 0
	core.search.candidates = nil
	core.setPath(welcome.Path)
	core.lastReport = Report{}
	core.sendDigest(from)
	core.pullIfBehind(from, welcome)
}

// pullIfBehind asks a parent for its configuration once there is a floor; what it
// sent before was dropped.
func (core *Core) pullIfBehind(from *link, welcome Welcome) {
	if core.floorKnown && core.config.Version() < welcome.Floor {
		core.send(from, Message{Pull: &Pull{Version: core.config.Version()}})
	}
}

func (core *Core) receiveLateralWelcome(from *link, welcome Welcome) {
	if !welcome.Accepted || !from.dialled {
		core.disconnect(from)
		return
	}
	from.role = RoleLateral
	core.sendDigest(from)
	core.pullIfBehind(from, welcome)
}

func (core *Core) receiveRefusal(now time.Time, from *link, welcome Welcome) {
	core.disconnect(from)
	core.search.refused++
	if welcome.RetryAfter > 0 {
		core.search.nextAttempt = now.Add(core.jitter(welcome.RetryAfter))
		return
	}
	if len(welcome.Redirect) > 0 {
		core.search.candidates = welcome.Redirect
		core.search.nextAttempt = now
		return
	}
	// It answered, so the next one is asked without the backoff that failed
	// connections bring.
	core.search.nextAttempt = now.Add(core.jitter(joinRetryAfter))
}

// learnFloor takes a confirmed floor at once, and an unconfirmed one when
// enough nodes of enough zones have answered.
func (core *Core) learnFloor(from *link, welcome Welcome) {
	if core.floorKnown {
		return
	}
	if welcome.Confirmed {
		core.floor, core.floorKnown = welcome.Floor, true
		return
	}
	if welcome.Floor == 0 {
		return
	}
	core.peerVersions[from.name] = peerVersion{zone: from.zone, version: welcome.Floor}
	highest, zones := uint64(0), map[string]bool{}
	for _, answer := range core.peerVersions {
		highest = max(highest, answer.version)
		zones[answer.zone] = true
	}
	if len(core.peerVersions) >= minPeersForFloor && len(zones) > 1 {
		core.floor, core.floorKnown = highest, true
		for _, link := range core.sortedLinks() {
			if link.role == RoleParent || link.role == RoleLateral {
				core.send(link, Message{Pull: &Pull{}})
			}
		}
	}
}

// setPath takes the parent's ancestors and tells the children of a change.
func (core *Core) setPath(path []string) {
	if slices.Equal(path, core.path) || core.settings.Root {
		return
	}
	core.path = path
	for _, child := range core.linksWithRole(RoleChild) {
		core.send(child, Message{Path: core.childPath()})
	}
}

// receivePath follows the parent's path; a path through this node is a cycle
// and is broken here.
func (core *Core) receivePath(now time.Time, from *link, path []string) {
	if from != core.parent {
		return
	}
	if slices.Contains(path, core.settings.Name) {
		core.disconnect(from)
		core.search.restart(now, core.backoff())
		return
	}
	core.setPath(path)
}
