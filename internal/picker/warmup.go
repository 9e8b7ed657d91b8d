package picker

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/warmup"
)

// ObserveWarmUp records what the gate of an instance said in a response about the
// instance's warm-up. A forecast without time left means that the instance is warm.
func (picker *Picker) ObserveWarmUp(now time.Time, instance Instance, forecast warmup.Forecast) {
	if state, ok := picker.states[instance.Node]; ok && state.target.instance() == instance {
		state.learnWarmUp(now, forecast)
	}
}

func (state *targetState) learnWarmUp(now time.Time, forecast warmup.Forecast) {
	state.coldRate, state.coldUntil = forecast.PerSecond, now.Add(forecast.Left)
}

// isCold reports whether the target is cold, as far as this node knows.
func (state *targetState) isCold(now time.Time) bool { return now.Before(state.coldUntil) }

// maxColdDoublings bounds the pause after a refusal by a cold target, to 1 s in the mean.
// Without doubling, the gates of cold targets refuse twice as many calls. With four
// doublings, callers lose three times as many calls when targets are scarce.
const maxColdDoublings = 2

// pauseAfterRefusal returns for how long other targets are tried first. Many entry nodes
// share the low rate of a cold target, so each of them comes back less often the more of
// its calls are refused. A random part keeps them from coming back together.
func (picker *Picker) pauseAfterRefusal(now time.Time, state *targetState) time.Duration {
	if !state.isCold(now) {
		state.coldRefusals = 0
		return refusalPause
	}
	pause := refusalPause << state.coldRefusals
	state.coldRefusals = min(state.coldRefusals+1, maxColdDoublings)
	return pause/2 + time.Duration(picker.random.Int64N(int64(pause)))
}
