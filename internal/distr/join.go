package distr

import (
	"cmp"
	"slices"
	"time"
)

// maxRedirects is the maximum number of addresses in a redirect.
const maxRedirects = 4

// joinRetryAfter is the mean retry delay that a root sends to a joining node when
// the join rate is exceeded. A joining node also uses it after a refusal with
// neither a retry delay nor a redirect.
const joinRetryAfter = 200 * time.Millisecond

// maxJoinWait is how long a stale root delays its answer to a joining node. After
// most restarts a leader is found within this time.
const maxJoinWait = 250 * time.Millisecond

func (core *Core) receiveHello(now time.Time, from *link, hello Hello) {
	if from.role != RoleUnknown {
		return
	}
	from.name, from.zone, from.address = hello.Name, hello.Zone, hello.Link
	from.version = hello.Version
	core.closeOlderChildLinks(from)
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

// admit handles a request to become a child. On a root it applies the join rate
// limit and, if the node needs a minimum version, requests confirmation first.
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

// admitPending answers the requests that arrived while this root was stale. After
// a restart of the whole system, joining nodes are thus admitted as soon as the
// root that they asked is no longer stale.
func (core *Core) admitPending(now time.Time) {
	for _, link := range core.sortedLinks() {
		if hello := link.pendingHello; hello != nil {
			link.pendingHello = nil
			core.admit(now, link, *hello)
		}
	}
}

// refusePending refuses requests that have waited for maxJoinWait, because
// another root may no longer be stale. The retry delay is short so that the
// joining node asks another root soon.
func (core *Core) refusePending(now time.Time) {
	for _, link := range core.sortedLinks() {
		if link.pendingHello != nil && now.Sub(link.pendingSince) >= maxJoinWait {
			link.pendingHello = nil
			core.welcome(link, Welcome{RetryAfter: core.settings.Timing.Coalesce})
		}
	}
}

// acceptLateral answers a request for a lateral connection. The number of
// accepted connections is limited, because otherwise all nodes that know only
// this one would connect to it. A refusal still reports the local version.
func (core *Core) acceptLateral(from *link) {
	accepted := 0
	for _, link := range core.linksWithRole(RoleLateral) {
		if !link.outgoing {
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

// acceptOrRedirect accepts the other end as a child, or refuses it and redirects
// it to other nodes.
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
		// The child has just started. Without the records it would handle calls
		// before it knows any target.
		core.send(from, Message{Records: core.table.Records()})
	}
	core.sendUpdate(from)
}

// childPath returns the path to send to this node's children.
func (core *Core) childPath() []string {
	if core.settings.Root {
		return []string{core.settings.Name, rootMarker}
	}
	return append([]string{core.settings.Name}, core.path...)
}

// closeOlderChildLinks closes earlier connections that the same node opened as a
// child. A node that opens a new connection is assumed to use them no longer, also
// if the new connection is a lateral one.
func (core *Core) closeOlderChildLinks(from *link) {
	for _, other := range core.sortedLinks() {
		if other != from && other.name == from.name && !other.outgoing && other.role == RoleChild {
			core.disconnect(other)
		}
	}
}

// canAccept reports whether a node may become a child: this node is a root or
// ready, has fewer than MaxChildren children, and the other node is neither an
// ancestor nor this node itself.
func (core *Core) canAccept(from *link) bool {
	if core.Children() >= core.settings.MaxChildren || !core.Ready() && !core.settings.Root {
		return false
	}
	return !slices.Contains(core.path, from.name) && from.name != core.settings.Name
}

// takeJoinToken takes a token from the bucket that limits the join rate of a
// root, and reports whether one was available.
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

// Confirmed passes the result of a Confirm action: version is the version
// confirmed by a quorum, and ok is false if none was confirmed.
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

// welcome sends a Welcome after filling in the node's name and zone, its version
// unless a confirmed one is set, and its record of the receiver. A refused
// connection is left without a role.
func (core *Core) welcome(to *link, welcome Welcome) {
	welcome.Name, welcome.Zone = core.settings.Name, core.settings.Zone
	if !welcome.Confirmed && core.Ready() && core.departuresKnown {
		welcome.Floor = core.config.Version()
	}
	if welcome.Confirmed || welcome.Floor > 0 {
		welcome.Departures = core.knownDepartures()
	}
	if former, ok := core.table.Get(to.name); ok {
		welcome.Former = &former
	}
	core.send(to, Message{Welcome: &welcome})
	if !welcome.Accepted {
		to.role = RoleUnknown
	}
}

// redirects returns up to maxRedirects children whose subtrees can accept another
// child. Children in the joining node's zone come first, then those with smaller
// subtrees.
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

// zoneDistance returns 0 if both nodes are in the same zone and 1 otherwise.
func zoneDistance(a, b *link) int {
	if a.zone == b.zone {
		return 0
	}
	return 1
}
