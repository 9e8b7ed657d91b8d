package distr

import (
	"cmp"
	"slices"
	"time"
)

// maxRedirects bounds the list of other parents in a refusal.
const maxRedirects = 4

// joinRetryAfter is how long a root without a token for a joiner sends it away.
const joinRetryAfter = 200 * time.Millisecond

// maxJoinWait is how long a stale root lets a joiner wait: a leader is found
// within that time after most restarts.
const maxJoinWait = 250 * time.Millisecond

func (core *Core) receiveHello(now time.Time, from *link, hello Hello) {
	if from.role != RoleUnknown {
		return
	}
	from.name, from.zone, from.address = hello.Name, hello.Zone, hello.Link
	from.version = hello.Version
	core.closeOlderLinks(from)
	if hello.Lateral {
		core.acceptLateral(from)
		return
	}
	if core.settings.Root && core.stale {
		from.pendingHello, from.pendingSince = &hello, now
		return
	}
	core.admit(now, from, hello)
}

// admit answers a node that asks to be a child.
func (core *Core) admit(now time.Time, from *link, hello Hello) {
	if core.settings.Root && !core.takeJoinToken(now) {
		core.welcome(from, Welcome{RetryAfter: core.jitter(joinRetryAfter)})
		return
	}
	if core.settings.Root && hello.NeedFloor {
		core.addAction(Action{ID: from.id, Confirm: true})
		return
	}
	core.acceptOrRedirect(from, Welcome{})
}

// admitPending answers all that asked while this root was stale. After a restart
// of everything each node is served as soon as one root is.
func (core *Core) admitPending(now time.Time) {
	for _, link := range core.sortedLinks() {
		if hello := link.pendingHello; hello != nil {
			link.pendingHello = nil
			core.admit(now, link, *hello)
		}
	}
}

// refusePending sends those away that have waited for long; another root may
// have found the source.
func (core *Core) refusePending(now time.Time) {
	for _, link := range core.sortedLinks() {
		if link.pendingHello != nil && now.Sub(link.pendingSince) >= maxJoinWait {
			link.pendingHello = nil
			core.welcome(link, Welcome{RetryAfter: core.settings.Timing.Coalesce})
		}
	}
}

// acceptLateral takes a bounded number of lateral connections from others, so
// that a node that many know first does not carry them all. A refusal tells
// the version here all the same.
func (core *Core) acceptLateral(from *link) {
	accepted := 0
	for _, link := range core.linksWithRole(RoleLateral) {
		if !link.dialled {
			accepted++
		}
	}
	if accepted > core.settings.MaxLaterals*2 {
		core.welcome(from, Welcome{})
		return
	}
	from.role = RoleLateral
	core.welcome(from, Welcome{Accepted: true})
}

// acceptOrRedirect takes the other end as a child or names others to ask.
func (core *Core) acceptOrRedirect(from *link, welcome Welcome) {
	if !core.canAccept(from) {
		welcome.Redirect = core.redirects(from)
		core.welcome(from, welcome)
		return
	}
	from.role = RoleChild
	welcome.Accepted = true
	welcome.Path = core.childPath()
	core.welcome(from, welcome)
	if from.version == 0 {
		// It has just started and would answer calls without knowing a target.
		core.send(from, Message{Records: core.table.Records()})
	}
	core.sendUpdate(from)
}

// childPath is the path of this node's children.
func (core *Core) childPath() []string {
	if core.settings.Root {
		return []string{core.settings.Name, rootMarker}
	}
	return append([]string{core.settings.Name}, core.path...)
}

// closeOlderLinks ends an earlier connection that the same node had opened in the
// same role; the node has forgotten it.
func (core *Core) closeOlderLinks(from *link) {
	for _, other := range core.sortedLinks() {
		if other != from && other.name == from.name && !other.dialled && other.role == RoleChild {
			core.disconnect(other)
		}
	}
}

// canAccept reports whether a node may become a child: there is room and it is
// not an ancestor.
func (core *Core) canAccept(from *link) bool {
	if core.Children() >= core.settings.MaxChildren || !core.Ready() && !core.settings.Root {
		return false
	}
	return !slices.Contains(core.path, from.name) && from.name != core.settings.Name
}

// takeJoinToken admits a joiner to a root at a bounded rate.
func (core *Core) takeJoinToken(now time.Time) bool {
	rate := float64(core.settings.JoinsPerSecond)
	core.joinTokens = min(rate, core.joinTokens+now.Sub(core.joinTokensUpdated).Seconds()*rate)
	core.joinTokensUpdated = now
	if core.joinTokens < 1 {
		return false
	}
	core.joinTokens--
	return true
}

// Confirmed gives the quorum's answer to a Confirm action.
func (core *Core) Confirmed(id LinkID, version uint64, ok bool) {
	joiner, present := core.links[id]
	switch {
	case !present:
	case ok:
		core.acceptOrRedirect(joiner, Welcome{Floor: version, Confirmed: true})
	default:
		core.welcome(joiner, Welcome{RetryAfter: core.settings.Timing.Retry})
	}
}

func (core *Core) welcome(to *link, welcome Welcome) {
	welcome.Name, welcome.Zone = core.settings.Name, core.settings.Zone
	if !welcome.Confirmed && core.Ready() {
		welcome.Floor = core.config.Version()
	}
	if former, ok := core.table.Get(to.name); ok {
		welcome.Former = &former
	}
	core.send(to, Message{Welcome: &welcome})
	if !welcome.Accepted {
		to.role = RoleUnknown
	}
}

// redirects lists children with room, the joiner's zone and small subtrees
// first.
func (core *Core) redirects(joiner *link) []Address {
	children := slices.DeleteFunc(core.linksWithRole(RoleChild), func(child *link) bool {
		return child.address == "" || child.name == joiner.name || !child.report.Room
	})
	core.random.Shuffle(len(children), func(i, j int) { children[i], children[j] = children[j], children[i] })
	slices.SortStableFunc(children, func(a, b *link) int {
		return cmp.Or(
			cmp.Compare(zoneDistance(a, joiner), zoneDistance(b, joiner)),
			cmp.Compare(a.report.Count, b.report.Count),
		)
	})
	addresses := make([]Address, 0, maxRedirects)
	for _, child := range children[:min(len(children), maxRedirects)] {
		addresses = append(addresses, Address{Name: child.name, Link: child.address})
	}
	return addresses
}

func zoneDistance(a, b *link) int {
	if a.zone == b.zone {
		return 0
	}
	return 1
}
