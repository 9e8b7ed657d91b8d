package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// side is the versions that a call may go to.
type side struct {
	// rollout is in progress; nil if there is none.
	rollout *rsrc.Rollout
	// fresh is true on the new side of the rollout.
	fresh bool
	// takes tells whether a version will do.
	takes func(version string) bool
}

// chooseSide gives the same request the same side for as long as the shares
// stay. The node's lock must be held.
func (node *Node) chooseSide(call *call) side {
	rollout, ok := call.config.Rollout(call.route.Name())
	if call.route.Version() == "" {
		rollout, ok = call.config.ServiceRollout(call.service)
	}
	if !ok || rollout.LatestStep().State.Ended() {
		return side{takes: node.settled(call, rollout, ok)}
	}
	fresh := int(xxhash.Sum64String(call.id)%rsrc.FullShare) < node.guard.share(rollout)
	chosen := sideOf(&rollout, fresh)
	other := sideOf(&rollout, !fresh)
	if rollout.Share() > 0 && node.picker.Versions(call.service, chosen.takes) == 0 && node.picker.Versions(call.service, other.takes) > 0 {
		return other
	}
	return chosen
}

func sideOf(rollout *rsrc.Rollout, fresh bool) side {
	return side{rollout: rollout, fresh: fresh, takes: func(version string) bool { return rollout.MatchesVersion(version, fresh) }}
}

// settled tells which versions take calls while no rollout is in progress: the
// route's own, or what the service's last rollout came to. A service that was
// never rolled out keeps to the version that most of its targets run, since
// targets of the next one may start before their rollout is ordered.
func (node *Node) settled(call *call, last rsrc.Rollout, rolled bool) func(version string) bool {
	if version := call.route.Version(); version != "" {
		return func(other string) bool { return other == version }
	}
	if rolled {
		finished := last.LatestStep().State == rsrc.StateFinished
		return func(version string) bool { return last.MatchesVersion(version, finished) }
	}
	common := node.picker.Common(call.service)
	return func(version string) bool { return version == common }
}

// choosePart divides a split route's calls over its services so that each
// keeps close to its weight at any time.
func (node *Node) choosePart(route rsrc.Route) string {
	parts := route.WeightedServices()
	if len(parts) == 1 {
		return parts[0].Service
	}
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.splits.next(route.Name(), parts)
}

// splits holds, for each split route, how much each part is behind its weight.
// It is not safe for concurrent use.
type splits struct {
	behind map[string]map[string]int
}

func newSplits() *splits { return &splits{behind: map[string]map[string]int{}} }

// next is a smooth weighted round robin: every part earns its weight, the one
// furthest behind is chosen and pays for all.
func (splits *splits) next(route string, parts []rsrc.WeightedService) string {
	behind := splits.behind[route]
	if behind == nil {
		behind = map[string]int{}
		splits.behind[route] = behind
	}
	total, chosen := 0, ""
	for _, part := range parts {
		total += part.Weight
		behind[part.Service] += part.Weight
		if part.Weight > 0 && (chosen == "" || behind[part.Service] > behind[chosen]) {
			chosen = part.Service
		}
	}
	behind[chosen] -= total
	return chosen
}
