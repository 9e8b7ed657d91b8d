package picker

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxFullTargets is how many targets may refuse a call for lack of capacity before
// the call queues at one.
const maxFullTargets = 2

// Search is the search for a target for one call. It holds the targets that did not
// serve the call.
type Search struct {
	// full lists the targets that refused the call for lack of capacity, and
	// unreachable those whose gates could not connect to the upstream. The call may
	// be sent to them again if there is no other target. tried lists all other
	// targets that the call was sent to.
	tried       []string
	full        []string
	unreachable []string
	// bodySent lists the targets that a large body was sent to. The call is not sent
	// there again.
	bodySent []string
	// waitedInZone is true once a call with a large body was to queue in the node's own
	// zone.
	waitedInZone bool
	// evacuatedZones lists the zones whose gates refused the call because their zone
	// is evacuated. The call is not sent there again.
	evacuatedZones []string
}

// AddTried records that the call was sent to a target, which is not chosen again
// unless there is no other target.
func (search *Search) AddTried(name string) { search.tried = append(search.tried, name) }

// AddFull records that a target refused the call for lack of capacity.
func (search *Search) AddFull(name string) { search.full = append(search.full, name) }

// AddUnreachable records that a target's gate could not connect to the upstream.
func (search *Search) AddUnreachable(name string) {
	search.unreachable = append(search.unreachable, name)
}

// AddBodySent records that a large body was sent to a target that did not serve the call.
func (search *Search) AddBodySent(name string) { search.bodySent = append(search.bodySent, name) }

// Full returns the targets that refused the call for lack of capacity.
func (search *Search) Full() []string { return search.full }

// Failed returns the other targets that did not serve the call.
func (search *Search) Failed() []string {
	return slices.Concat(search.tried, search.unreachable, search.bodySent)
}

// isNew reports whether the call was not sent to any target yet.
func (search *Search) isNew() bool {
	return len(search.tried) == 0 && len(search.full) == 0 && len(search.unreachable) == 0 && len(search.evacuatedZones) == 0
}

// subset returns the names of the targets to which criteria.Subset limits the first
// choice. They are the first ones in the order of the hashes of their names, which is
// the same on all nodes and independent of zones.
func (picker *Picker) subset(criteria Criteria) []string {
	var names []string
	for _, state := range picker.statesByService[criteria.Service] {
		if criteria.matches(state) && !picker.statements[state.target.instance()].leaving {
			names = append(names, state.target.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)) })
	return names[:min(len(names), criteria.Subset(len(names)))]
}

// Next chooses the next target for a call: one that is expected to have capacity or,
// if there is none, the one with the shortest expected queueing time. mayQueue is
// true in the second case: the call may queue at that target. A call with a large body
// first waits in the node's own zone; see nextInZone. If repeat is true, the
// call may be sent again to targets that it was already sent to, if there are no
// others. The criteria are those of the call, without exclusions.
func (picker *Picker) Next(now time.Time, search *Search, criteria Criteria, repeat bool) (choice Choice, mayQueue, ok bool) {
	criteria.ExcludedZones = search.evacuatedZones
	if criteria.Subset != nil && search.isNew() {
		criteria.only = picker.subset(criteria)
		choice, ok = picker.Choose(now, criteria)
		if ok && choice.HasCapacity {
			return choice, false, true
		}
		if ok {
			picker.Done(now, choice.Target.Name, ResultCanceled, 0, nil)
		}
		criteria.only = nil
	}
	if choice, ok = picker.nextInZone(now, search, criteria); ok {
		return choice, choice.WaitsInZone, true
	}
	if len(search.full) < maxFullTargets {
		criteria.Excluded = slices.Concat(search.tried, search.full, search.unreachable, search.bodySent)
		choice, ok = picker.Choose(now, criteria)
		if ok && choice.HasCapacity {
			return choice, false, true
		}
		if ok {
			// The choice is canceled, because nothing was sent to the target.
			picker.Done(now, choice.Target.Name, ResultCanceled, 0, nil)
		}
	}
	criteria.Queue = true
	criteria.Excluded = slices.Concat(search.tried, search.unreachable, search.bodySent)
	choice, ok = picker.Choose(now, criteria)
	if !ok && len(search.unreachable) > 0 {
		criteria.Excluded = slices.Concat(search.tried, search.bodySent)
		choice, ok = picker.Choose(now, criteria)
	}
	if !ok && repeat {
		// A service may have only one target, so the targets are tried again.
		criteria.Excluded = search.bodySent
		choice, ok = picker.Choose(now, criteria)
	}
	return choice, true, ok
}
