package entry

import (
	"github.com/cespare/xxhash/v2"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// versionSet is the set of versions that a call may go to.
type versionSet struct {
	// rollout is the rollout in progress, or nil if there is none.
	rollout *rsrc.Rollout
	// isNew is true for the new versions of the rollout.
	isNew bool
	// matches reports whether a version is in the set.
	matches func(version string) bool
	// subset limits the targets in the trial of a new version; see picker.Criteria.
	subset func(targets int) int
}

// chooseVersions chooses between the old and the new versions of a rollout.
// Calls with the same id get the same choice as long as the shares do not
// change. If the rollout's share is not zero and only the versions that were not
// chosen have targets, the call goes to those. The entry's lock must be held.
func (entry *Entry) chooseVersions(call *call) versionSet {
	rollout, ok := call.config.Rollout(call.route.Name())
	if call.route.Version() == "" {
		rollout, ok = call.config.ServiceRollout(call.service)
	}
	if !ok || rollout.LatestStep().State.Ended() {
		return versionSet{matches: entry.stableVersions(call, rollout, ok)}
	}
	isNew := int(xxhash.Sum64String(call.id)%rsrc.FullShare) < entry.guard.share(rollout)
	chosen := versionSetOf(&rollout, isNew)
	other := versionSetOf(&rollout, !isNew)
	if rollout.Share() > 0 && entry.picker.CountMatching(call.service, chosen.matches) == 0 && entry.picker.CountMatching(call.service, other.matches) > 0 {
		return other
	}
	return chosen
}

func versionSetOf(rollout *rsrc.Rollout, isNew bool) versionSet {
	set := versionSet{rollout: rollout, isNew: isNew, matches: func(version string) bool { return rollout.MatchesVersion(version, isNew) }}
	if isNew && rollout.InTrial() {
		set.subset = rsrc.TrialTargets
	}
	return set
}

// stableVersions returns a function that reports which versions may serve calls
// while no rollout is in progress: the version of the route or the result of
// the service's last rollout. A service without any rollout uses the version
// that most of its targets run, because targets of the next version may start
// before the rollout is requested.
func (entry *Entry) stableVersions(call *call, last rsrc.Rollout, rolledOut bool) func(version string) bool {
	if version := call.route.Version(); version != "" {
		return func(other string) bool { return other == version }
	}
	if rolledOut {
		finished := last.LatestStep().State == rsrc.StateFinished
		return func(version string) bool { return last.MatchesVersion(version, finished) }
	}
	common := entry.picker.MostCommonVersion(call.service)
	return func(version string) bool { return version == common }
}

// chooseService distributes the calls of a split route over its services, so
// that at any time the number of calls of each service is close to the share
// given by its weight.
func (entry *Entry) chooseService(route rsrc.Route) string {
	services := route.WeightedServices()
	if len(services) == 1 {
		return services[0].Service
	}
	entry.lock.Lock()
	defer entry.lock.Unlock()
	return entry.splits.next(route.Name(), services)
}

// splits contains the current weights of the services of each split route. It
// is not safe for concurrent use.
type splits struct {
	currentWeight map[string]map[string]int
}

func newSplits() *splits { return &splits{currentWeight: map[string]map[string]int{}} }

// next implements smooth weighted round robin: the current weight of each
// service grows by its weight, the service with the highest current weight is
// chosen, and the total weight is subtracted from it.
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
