package picker

import (
	"slices"
	"time"
)

// linkBytesPerSecond is the assumed rate of a link of a node (4 Mbit/s). Links carry 2.2
// to 6.7 Mbit/s and are shared with other calls.
const linkBytesPerSecond = 500_000

// uploadServiceMargin is the multiple of the mean service time that must be left after
// the wait in the own zone. It is the margin that gates use for calls with an objective.
const uploadServiceMargin = 2

// Upload describes a large body. The load that it answers is one of bodies that fill the
// links between nodes and cost the most where they cross between zones.
type Upload struct {
	// Bytes is the size of the body; zero for a call without a large body.
	Bytes int
	// Objective is the time left until the objective of the call.
	Objective time.Duration
}

// transferTime returns how long the body fills the links of both nodes.
func (upload Upload) transferTime() time.Duration {
	return 2 * time.Duration(upload.Bytes) * time.Second / linkBytesPerSecond
}

// nextInZone chooses a target in the node's own zone for a call with a large body: one
// that is expected to have capacity or, if there is none, the one with the shortest
// queue. It returns false if the call cannot wait that long, and once the call has
// waited. The wait is too long if it leaves too little of the objective and takes
// longer than the transfer to another zone.
func (picker *Picker) nextInZone(now time.Time, search *Search, criteria Criteria) (Choice, bool) {
	if criteria.Upload.Bytes == 0 || search.waitedInZone {
		return Choice{}, false
	}
	criteria.Excluded = slices.Concat(search.tried, search.unreachable, search.bodySent)
	var own, free []*targetState
	for _, state := range picker.statesByService[criteria.Service] {
		if state.target.Zone != picker.zone || !criteria.matches(state) || picker.statements[state.target.instance()].leaving || state.target.Suspect || now.Before(state.ejectedUntil) {
			continue
		}
		own = append(own, state)
		if state.hasCapacity(now) && !now.Before(state.pausedUntil) && !slices.Contains(search.full, state.target.Name) {
			free = append(free, state)
		}
	}
	if len(free) > 0 && len(search.full) < maxFullTargets {
		return picker.pickOfTwo(now, picker.prefer(now, criteria, free)).take(now), true
	}
	criteria.Queue = true
	best := picker.shortestQueue(now, criteria, own)
	if best == nil {
		return Choice{}, false
	}
	serviceTime := best.meanServiceTime(now)
	wait := serviceTime * float64(best.estimatedLoad(now)+1) / best.capacity(now)
	longest := max(criteria.Upload.Objective.Seconds()-uploadServiceMargin*serviceTime, criteria.Upload.transferTime().Seconds())
	if wait > longest {
		return Choice{}, false
	}
	search.waitedInZone = true
	choice := best.take(now)
	choice.HasCapacity, choice.WaitsInZone = false, true
	return choice, true
}

// take counts a call as in flight on the target.
func (state *targetState) take(now time.Time) Choice {
	free := state.hasCapacity(now)
	state.inFlight++
	target := state.target
	target.Limit = state.limit
	return Choice{Target: target, HasCapacity: free}
}
