package canary

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// kind is how a new version behaves.
type kind string

const (
	good      kind = "good"
	badAtOnce kind = "bad-at-once"
	badLater  kind = "bad-later"
	badLoaded kind = "bad-under-load"
	slow      kind = "slow"
	faint     kind = "faintly-bad"
)

// Rates of the model: the old version fails 2 of 1,000 calls.
const (
	oldErrors    = 0.002
	badErrors    = 0.05
	faintErrors  = 0.02
	baseLatency  = 20 * time.Millisecond
	slowFactor   = 4
	laterAfter   = 90 * time.Second
	loadedShare  = 500
	modelStep    = 500 * time.Millisecond
	reportDelay  = 2
	modelTimeout = 2 * time.Hour
)

// world is the traffic and the versions of one seeded rollout.
type world struct {
	random *rand.Rand
	rate   float64
	kind   kind
	start  time.Time
}

func (world *world) errorRate(now time.Time, share int) float64 {
	switch {
	case world.kind == badAtOnce,
		world.kind == badLater && now.Sub(world.start) > laterAfter,
		world.kind == badLoaded && share >= loadedShare:
		return badErrors
	case world.kind == faint:
		return faintErrors
	}
	return oldErrors
}

func (world *world) draw(calls int, errors, factor float64) Counts {
	counts := Counts{Calls: calls}
	for range calls {
		if world.random.Float64() < errors {
			counts.Errors++
			continue
		}
		latency := float64(baseLatency) * factor * math.Exp(world.random.NormFloat64()*0.5)
		counts.Latency[distr.LatencyBucket(time.Duration(latency))]++
	}
	return counts
}

// poisson draws a count with the given mean.
func (world *world) poisson(mean float64) int {
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*world.random.NormFloat64())))
	}
	limit, count, product := math.Exp(-mean), 0, world.random.Float64()
	for product > limit {
		count++
		product *= world.random.Float64()
	}
	return count
}

// result is how one rollout went.
type result struct {
	state rsrc.State
	// inTime is true when all traffic was on the new version by the deadline.
	inTime bool
	// hurt counts calls that failed beyond the old version's rate, or slow ones.
	hurt   int
	detect time.Duration
	// early is the largest share before the first clearance.
	early int
}

// decider is what the model drives: the controller or a baseline.
type decider interface {
	Decide(now time.Time, input Input) (rsrc.Step, bool)
}

// play runs one rollout to its end.
func play(world *world, decide func(now time.Time) decider, due time.Duration) result {
	now := time.Unix(1_000_000, 0)
	world.start = now
	rollout := rsrc.NewRollout("r", "v1", "v2", now.Add(due), now)
	controller := decide(now)
	var pending []Input
	outcome := result{}
	badSince := time.Time{}
	shares := make([]int, reportDelay+1)
	for now.Sub(world.start) < modelTimeout && !rollout.Last().State.Ended() {
		now = now.Add(modelStep)
		// The share in force lags behind the decision.
		shares = append(shares[1:], rollout.Share())
		share := shares[0]
		calls := world.poisson(world.rate * modelStep.Seconds())
		after := 0
		for range calls {
			if world.random.IntN(rsrc.FullShare) < share {
				after++
			}
		}
		errors, factor := world.errorRate(now, share), 1.0
		if world.kind == slow {
			factor = slowFactor
		}
		input := Input{Targets: 7, Slots: 84, MinTargets: 1}
		input.Before = world.draw(calls-after, oldErrors, 1)
		input.After = world.draw(after, errors, factor)
		if errors > oldErrors && after > 0 || factor > 1 && after > 0 {
			outcome.hurt += input.After.Errors
			if factor > 1 {
				outcome.hurt += after
			}
			if badSince.IsZero() {
				badSince = now
			}
		}
		pending = append(pending, input)
		if len(pending) <= reportDelay {
			continue
		}
		report := pending[0]
		pending = pending[1:]
		report.Rollout = rollout
		step, ok := controller.Decide(now, report)
		if !ok {
			continue
		}
		if advanced, err := rollout.Advance(step); err == nil {
			rollout = advanced
		}
		if step.State == rsrc.StateCanary {
			outcome.early = max(outcome.early, step.Share)
		}
	}
	outcome.state = rollout.Last().State
	outcome.inTime = !rollout.Finished().IsZero() && !rollout.Finished().After(rollout.By()) && outcome.state == rsrc.StateFinished
	if !badSince.IsZero() {
		outcome.detect = now.Sub(badSince)
	}
	return outcome
}

// summary counts the results of many rollouts.
type summary struct {
	runs       int
	inTime     int
	rolledBack int
	early      int
	hurt       []int
	detect     []time.Duration
}

func (summary *summary) add(result result) {
	summary.runs++
	if result.inTime {
		summary.inTime++
	}
	if result.state == rsrc.StateRolledBack || result.state == rsrc.StateFailed {
		summary.rolledBack++
	}
	summary.early = max(summary.early, result.early)
	summary.hurt = append(summary.hurt, result.hurt)
	summary.detect = append(summary.detect, result.detect)
}

// modelTiming shortens the watch so that many runs fit; the rest is as in
// production.
func modelTiming() Timing {
	timing := DefaultTiming()
	timing.Watch = 3 * time.Minute
	return timing
}

// runMany plays seeded rollouts of one kind.
func runMany(kind kind, rate float64, due time.Duration, runs int, decide func(now time.Time) decider) summary {
	var summary summary
	for seed := range runs {
		world := &world{random: rand.New(rand.NewPCG(uint64(seed), uint64(len(kind)))), rate: rate, kind: kind}
		summary.add(play(world, decide, due))
	}
	return summary
}

func withPolicy(policy rsrc.Policy) func(now time.Time) decider {
	return func(now time.Time) decider { return New(policy, modelTiming(), now) }
}

// fixedRamp is the baseline: fixed shares at fixed times, and no test but an
// error rate above one in ten over the last block.
type fixedRamp struct {
	stepped time.Time
}

func (ramp *fixedRamp) Decide(now time.Time, input Input) (rsrc.Step, bool) {
	last := input.Rollout.Last()
	if input.After.Calls > 10 && input.After.Errors*10 > input.After.Calls {
		return step(now, rsrc.StateRolledBack, 0, "baseline"), true
	}
	if now.Sub(ramp.stepped) < 30*time.Second {
		return rsrc.Step{}, false
	}
	ramp.stepped = now
	switch {
	case last.State == rsrc.StateScheduled:
		return step(now, rsrc.StateCanary, CanaryShare, "baseline"), true
	case last.State == rsrc.StateWatching:
		return step(now, rsrc.StateFinished, rsrc.FullShare, "baseline"), true
	case last.Share >= 500:
		return step(now, rsrc.StateWatching, rsrc.FullShare, "baseline"), true
	default:
		return step(now, rsrc.StateRamping, nextShare(usualRamp, last.Share), "baseline"), true
	}
}
