package distr

import (
	"slices"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/member"
)

// maxRootRefusals is the largest number of refusals after which a node still
// asks only control VMs to be its parent. After one more refusal, or after
// unanswered attempts (see nextAddress), it also asks other nodes. Control VMs
// that have just started refuse joining nodes until they have found a leader.
const maxRootRefusals = 6

// finder holds the state of the search for a parent and for lateral peers.
type finder struct {
	// dialling maps each address being dialled to the role intended for it.
	dialling map[string]Role
	// joinLink is the connection on which a request to become a child awaits an
	// answer, or zero if there is none.
	joinLink LinkID
	// redirects holds the remaining addresses from the last redirect. They are
	// tried before a control VM is asked again.
	redirects []Address
	// attempts counts the attempts since the last parent was found, except those
	// on redirects. refused counts the refusals received in the same time.
	attempts    int
	refused     int
	nextAttempt time.Time
	nextLateral time.Time
}

func newFinder(now time.Time) finder {
	return finder{dialling: map[string]Role{}, nextAttempt: now, nextLateral: now}
}

// restart discards the remaining redirects and the request that awaits an answer,
// and schedules the next attempt after a pause.
func (finder *finder) restart(now time.Time, pause time.Duration) {
	finder.redirects = nil
	finder.joinLink = 0
	finder.nextAttempt = now.Add(pause)
}

// unanswered estimates the number of attempts without an answer, including one in
// progress. Attempts on redirects are not counted in attempts, but their refusals
// are counted in refused, so the difference can be negative and zero is returned
// then.
func (finder *finder) unanswered() int { return max(0, finder.attempts-finder.refused) }

// linkClosed ends the attempt that was made on the connection, if any.
func (finder *finder) linkClosed(id LinkID) {
	if finder.joinLink == id {
		finder.joinLink = 0
	}
}

// joining reports whether an attempt to find a parent is in progress.
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

// ReplaceParents replaces the addresses of possible parents. If they changed, it
// also disconnects the current parent and starts a new search. It is called on
// roots, with the address of the current leader, or none on the leader itself.
func (core *Core) ReplaceParents(now time.Time, parents []string) {
	if slices.Equal(parents, core.settings.Parents) {
		return
	}
	core.settings.Parents = parents
	if core.parent != nil {
		core.disconnect(core.parent)
	}
	core.search.restart(now, 0)
}

// SetParentAddresses replaces the addresses of the control VMs for later attempts
// to find a parent. Unlike ReplaceParents, it keeps the current parent.
func (core *Core) SetParentAddresses(parents []string) { core.settings.Parents = parents }

// findParent starts the next attempt to find a parent when it is due.
func (core *Core) findParent(now time.Time) {
	leading := core.settings.Root && len(core.settings.Parents) == 0
	if core.parent != nil || leading || core.search.joining() || now.Before(core.search.nextAttempt) {
		return
	}
	address, ok := core.nextAddress()
	core.search.nextAttempt = now.Add(core.backoff())
	if !ok || core.search.dialling[address] != RoleUnknown {
		return
	}
	core.search.dialling[address] = RoleParent
	core.addAction(Action{Dial: address})
}

// backoff returns the pause before the next attempt. The first attempts follow
// each other quickly, because the control VMs are back within a second after a
// restart of the whole system.
func (core *Core) backoff() time.Duration {
	slowRetries := core.search.unanswered() - fastRetries
	if slowRetries < 0 {
		return core.jitter(fastRetryDelay)
	}
	mean := core.settings.Timing.Retry << min(slowRetries, maxDoublings)
	return core.jitter(min(mean, core.settings.Timing.RetryMax))
}

const (
	// fastRetries is the number of unanswered attempts from which the slow
	// backoff applies. Before that, the delay is fastRetryDelay on average.
	// Together the fast attempts take about one second, the time in which a
	// restarted VM is back.
	fastRetries    = 10
	fastRetryDelay = 100 * time.Millisecond
	// maxDoublings prevents an overflow of the backoff. RetryMax limits the
	// result.
	maxDoublings = 6
)

// nextAddress returns the next address to try as a parent. Addresses from a
// redirect come first, then control VMs. After more than two unanswered
// attempts or more than maxRootRefusals refusals, every second attempt of a node
// that is not a root goes to an address from peerAddresses.
func (core *Core) nextAddress() (string, bool) {
	if len(core.search.redirects) > 0 {
		redirect := core.search.redirects[0]
		core.search.redirects = core.search.redirects[1:]
		return redirect.Link, true
	}
	core.search.attempts++
	peers := core.peerAddresses()
	usePeer := (core.search.unanswered() > 2 || core.search.refused > maxRootRefusals) && core.search.attempts%2 == 0 && !core.settings.Root
	if usePeer && len(peers) > 0 {
		return peers[core.random.IntN(len(peers))], true
	}
	if len(core.settings.Parents) == 0 {
		return "", false
	}
	return core.settings.Parents[core.random.IntN(len(core.settings.Parents))], true
}

// peerAddresses returns the addresses of known nodes that are not suspect and to
// which there is no connection. If some of them are in this node's zone, half of
// the calls return only these. If there are none at all, it returns the seeds.
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

// maintainLaterals opens lateral connections until MaxLaterals are open. While the
// minimum version is unknown after more than two attempts to find a parent, it
// opens at least minPeersForFloor+1.
func (core *Core) maintainLaterals(now time.Time) {
	if core.settings.Root || now.Before(core.search.nextLateral) {
		return
	}
	count := 0
	for _, link := range core.linksWithRole(RoleLateral) {
		if link.outgoing {
			count++
		}
	}
	wanted := core.settings.MaxLaterals
	if !core.floorKnown && core.search.attempts > 2 {
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

// DialFailed handles a failed attempt to connect to the address.
func (core *Core) DialFailed(address string) { delete(core.search.dialling, address) }

// LinkUp adds a connection that was opened for a Dial action and sends a Hello
// on it.
func (core *Core) LinkUp(now time.Time, id LinkID, address string) {
	role := core.search.dialling[address]
	delete(core.search.dialling, address)
	up := &link{id: id, address: address, outgoing: true, pendingRecords: map[string]member.Record{}}
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
	core.receiveDepartures(welcome.Departures)
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
	core.search.attempts, core.search.refused = 0, 0
	core.search.redirects = nil
	core.setPath(welcome.Path)
	core.lastReport = Report{}
	core.sendDigest(from)
	core.pullIfBehind(from, welcome)
}

// pullIfBehind requests the configuration from the other end if that has a newer
// one and the minimum version is known. Updates that arrived before the minimum
// version was known were dropped.
func (core *Core) pullIfBehind(from *link, welcome Welcome) {
	if core.floorKnown && core.config.Version() < welcome.Floor {
		core.send(from, Message{Pull: &Pull{Version: core.config.Version()}})
	}
}

func (core *Core) receiveLateralWelcome(from *link, welcome Welcome) {
	if !welcome.Accepted || !from.outgoing {
		core.disconnect(from)
		return
	}
	from.role = RoleLateral
	core.sendDigest(from)
	core.pullIfBehind(from, welcome)
}

// receiveRefusal closes a connection to a node that refused to be the parent and
// schedules the next attempt.
func (core *Core) receiveRefusal(now time.Time, from *link, welcome Welcome) {
	core.disconnect(from)
	core.search.refused++
	if welcome.RetryAfter > 0 {
		core.search.nextAttempt = now.Add(core.jitter(welcome.RetryAfter))
		return
	}
	if len(welcome.Redirect) > 0 {
		core.search.redirects = welcome.Redirect
		core.search.nextAttempt = now
		return
	}
	// The node answered, so the backoff for failed connections does not apply to
	// the next attempt.
	core.search.nextAttempt = now.Add(core.jitter(joinRetryAfter))
}

// learnFloor sets the minimum version from a welcome. A confirmed version is used
// immediately. Otherwise the highest reported version is used once at least
// minPeersForFloor nodes in at least two zones have reported theirs.
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
	core.reportedVersions[from.name] = reportedVersion{zone: from.zone, version: welcome.Floor}
	highest, zones := uint64(0), map[string]bool{}
	for _, reported := range core.reportedVersions {
		highest = max(highest, reported.version)
		zones[reported.zone] = true
	}
	if len(core.reportedVersions) >= minPeersForFloor && len(zones) > 1 {
		core.floor, core.floorKnown = highest, true
		for _, link := range core.sortedLinks() {
			if link.role == RoleParent || link.role == RoleLateral {
				core.send(link, Message{Pull: &Pull{}})
			}
		}
	}
}

// setPath sets the list of ancestors and sends the new path to the children if
// it changed. It has no effect on a root.
func (core *Core) setPath(path []string) {
	if slices.Equal(path, core.path) || core.settings.Root {
		return
	}
	core.path = path
	for _, child := range core.linksWithRole(RoleChild) {
		core.send(child, Message{Path: core.childPath()})
	}
}

// receivePath applies a new path sent by the parent. If the path contains this
// node, there is a cycle in the tree, and the node leaves its parent to break it.
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
