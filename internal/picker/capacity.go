package picker

import "time"

// hasCapacity reports whether the target is expected to run one more call at once.
// A wrong estimate costs one more hop, because the node of a full target refuses
// the call.
func (state *targetState) hasCapacity(now time.Time) bool {
	return float64(state.estimatedLoad(now)) < state.capacity(now)
}

// minCapacity is the lowest capacity of a target, so that costs stay finite.
const minCapacity = 0.01

// capacity returns how many calls the target can run at once: its slots or, by
// Little's law, its rate times its mean service time if that is less.
func (state *targetState) capacity(now time.Time) float64 {
	capacity := float64(max(1, state.target.Slots))
	if perSecond, limited := state.rate(now); limited {
		capacity = min(capacity, max(minCapacity, perSecond*state.meanServiceTime(now)))
	}
	return capacity
}

// rate returns the rate of calls that the target accepts from all nodes together, and
// false if it is not limited: the lower one of its rate limit and its rate while cold.
func (state *targetState) rate(now time.Time) (float64, bool) {
	perSecond, limited := state.limit.PerSecond()
	if state.isCold(now) && (!limited || state.coldRate < perSecond) {
		return state.coldRate, true
	}
	return perSecond, limited
}
