package node

import (
	"github.com/cespare/xxhash/v2"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// side is the versions that a call may go to.
type versionSet struct {
	// rollout is in progress; nil if there is none.
	rollout *rsrc.Rollout
	// fresh is true on the new side of the rollout.
	isNew bool
	// takes tells whether a version will do.
	matches func(version string) bool
}

// chooseSide gives the same request the same side for as long as the shares
// stay. The node's lock must be held.
func (node *Node) chooseVersions(call *call) versionSet {
	rollout, ok := call.config.Rollout(call.route.Name())
	if call.route.Version() == "" {
		rollout, ok = call.config.ServiceRollout(call.service)
	}
	if !ok || rollout.LastStep().State.Ended() {
		return versionSet{matches: node.stableVersions(call, rollout, ok)}
	}
	isNew := int(xxhash.Sum64String(call.id)%rsrc.FullShare) < node.guard.share(rollout)
	chosen := versionSetOf(&rollout, isNew)
	other := versionSetOf(&rollout, !isNew)
	if rollout.Share() > 0 && node.picker.CountMatching(call.service, chosen.matches) == 0 && node.picker.CountMatching(call.service, other.matches) > 0 {
		return other
	}
	return chosen
}

func versionSetOf(rollout *rsrc.Rollout, isNew bool) versionSet {
	return versionSet{rollout: rollout, isNew: isNew, matches: func(version string) bool { return rollout.MatchesVersion(version, isNew) }}
}

// settled tells which versions take calls while no rollout is in progress: the
// route's own, or what the service's last rollout came to. A service that was
// never rolled out keeps to the version that most of its targets run, since
// targets of the next one may start before their rollout is ordered.
func (node *Node) stableVersions(call *call, last rsrc.Rollout, rolledOut bool) func(version string) bool {
	if version := call.route.Version(); version != "" {
		return func(other string) bool { return other == version }
	}
	if rolledOut {
		finished := last.LastStep().State == rsrc.StateFinished
		return func(version string) bool { return last.MatchesVersion(version, finished) }
	}
	common := node.picker.MostCommonVersion(call.service)
	return func(version string) bool { return version == common }
}

// choosePart divides a split route's calls over its services so that each
// keeps close to its weight at any time.
func (node *Node) chooseService(route rsrc.Route) string {
	services := route.WeightedServices()
	if len(services) == 1 {
		return services[0].Service
	}
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.splits.next(route.Name(), services)
}

// splits holds, for each split route, how much each part is behind its weight.
// It is not safe for concurrent use.
type splits struct {
	currentWeight map[string]map[string]int
}

func newSplits() *splits { return &splits{currentWeight: map[string]map[string]int{}} }

// next is a smooth weighted round robin: every part earns its weight, the one
// furthest behind is chosen and pays for all.
func (splits *splits) next(route string, services []rsrc.WeightedService) string {
	currentWeight := splits.currentWeight[route]
	if currentWeight == nil {
		currentWeight = map[string]int{}
		splits.currentWeight[route] = currentWeight
	}
	total, chosen := 0, ""
	for _, service := range services {
		total += service.Weight
		currentWeight[service.Service] += service.Weight
		if service.Weight > 0 && (chosen == "" || currentWeight[service.Service] > currentWeight[chosen]) {
			chosen = service.Service
		}
	}
	currentWeight[chosen] -= total
	return chosen
}
