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

// joinPatience is how long a stale root lets a joiner wait: a leader is found
// within that time after most restarts.
const joinPatience = 250 * time.Millisecond

func (core *Core) receiveHello(now time.Time, from *link, hello Hello) {
	if from.role != RoleUnknown {
		return
	}
	from.name, from.zone, from.address = hello.Name, hello.Zone, hello.Link
	from.version = hello.Version
	core.dropOlder(from)
	if hello.Lateral {
		core.decideLateral(from)
		return
	}
	if core.settings.Root && core.stale {
		from.waiting, from.waitingAt = &hello, now
		return
	}
	core.admit(now, from, hello)
}

// admit answers a node that asks to be a child.
func (core *Core) admit(now time.Time, from *link, hello Hello) {
	if core.settings.Root && !core.takeToken(now) {
		core.welcome(from, Welcome{RetryAfter: core.jitter(joinRetryAfter)})
		return
	}
	if core.settings.Root && hello.NeedFloor {
		core.act(Action{ID: from.id, Confirm: true})
		return
	}
	core.decide(from, Welcome{})
}

// admitWaiting answers all that asked while this root was stale. After a restart
// of everything each node is served as soon as one root is.
func (core *Core) admitWaiting(now time.Time) {
	for _, link := range core.sorted() {
		if hello := link.waiting; hello != nil {
			link.waiting = nil
			core.admit(now, link, *hello)
		}
	}
}

// refuseWaiting sends those away that have waited for long; another root may
// have found the source.
func (core *Core) refuseWaiting(now time.Time) {
	for _, link := range core.sorted() {
		if link.waiting != nil && now.Sub(link.waitingAt) >= joinPatience {
			link.waiting = nil
			core.welcome(link, Welcome{RetryAfter: core.settings.Timing.Coalesce})
		}
	}
}

// decideLateral takes a bounded number of lateral connections from others, so
// that a node that many know first does not carry them all. A refusal tells
// the version here all the same.
func (core *Core) decideLateral(from *link) {
	taken := 0
	for _, link := range core.withRole(RoleLateral) {
		if !link.dialled {
			taken++
		}
	}
	if taken > core.settings.MaxLaterals*2 {
		core.welcome(from, Welcome{})
		return
	}
	from.role = RoleLateral
	core.welcome(from, Welcome{Accepted: true})
}

// decide takes the other end as a child or names others to ask.
func (core *Core) decide(from *link, welcome Welcome) {
	if !core.mayAdopt(from) {
		welcome.Redirect = core.redirects(from)
		core.welcome(from, welcome)
		return
	}
	from.role = RoleChild
	welcome.Accepted = true
	welcome.Path = core.ownPath()
	core.welcome(from, welcome)
	if from.version == 0 {
		// It has just started and would answer calls without knowing a target.
		core.send(from, Message{Records: core.table.Records()})
	}
	core.update(from)
}

// ownPath is the path of this node's children.
func (core *Core) ownPath() []string {
	if core.settings.Root {
		return []string{core.settings.Name, rootMark}
	}
	return append([]string{core.settings.Name}, core.path...)
}

// dropOlder ends an earlier connection that the same node had opened in the
// same role; the node has forgotten it.
func (core *Core) dropOlder(from *link) {
	for _, other := range core.sorted() {
		if other != from && other.name == from.name && !other.dialled && other.role == RoleChild {
			core.drop(other)
		}
	}
}

// mayAdopt reports whether a node may become a child: there is room and it is
// not an ancestor.
func (core *Core) mayAdopt(from *link) bool {
	if core.Children() >= core.settings.MaxChildren || !core.Ready() && !core.settings.Root {
		return false
	}
	return !slices.Contains(core.path, from.name) && from.name != core.settings.Name
}

// takeToken admits a joiner to a root at a bounded rate.
func (core *Core) takeToken(now time.Time) bool {
	rate := float64(core.settings.JoinsPerSecond)
	core.joinTokens = min(rate, core.joinTokens+now.Sub(core.joinsAt).Seconds()*rate)
	core.joinsAt = now
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
		core.decide(joiner, Welcome{Floor: version, Confirmed: true})
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
	children := slices.DeleteFunc(core.withRole(RoleChild), func(child *link) bool {
		return child.address == "" || child.name == joiner.name || !child.report.Room
	})
	core.random.Shuffle(len(children), func(i, j int) { children[i], children[j] = children[j], children[i] })
	slices.SortStableFunc(children, func(a, b *link) int {
		return cmp.Or(
			cmp.Compare(far(a, joiner), far(b, joiner)),
			cmp.Compare(a.report.Count, b.report.Count),
		)
	})
	addresses := make([]Address, 0, maxRedirects)
	for _, child := range children[:min(len(children), maxRedirects)] {
		addresses = append(addresses, Address{Name: child.name, Link: child.address})
	}
	return addresses
}

func far(a, b *link) int {
	if a.zone == b.zone {
		return 0
	}
	return 1
}
