package canary

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// kind is how the new version behaves in the simulated rollout of a route.
type kind string

const (
	good        kind = "good"
	badAtOnce   kind = "bad-at-once"
	badLater    kind = "bad-later"
	badLoaded   kind = "bad-under-load"
	slow        kind = "slow"
	slightlyBad kind = "faintly-bad"
)

// The parameters of the simulation. The old version fails 2 of 1,000 calls.
// delayTicks is both the delay until nodes apply a share and the delay until
// the controller receives the counts.
const (
	oldErrorRate      = 0.002
	badErrorRate      = 0.05
	slightErrorRate   = 0.02
	baseLatency       = 20 * time.Millisecond
	slowFactor        = 4
	badAfter          = 90 * time.Second
	badFromShare      = 500
	simulationTick    = 500 * time.Millisecond
	delayTicks        = 2
	simulationTimeout = 2 * time.Hour
)

// simulation generates the traffic and the outcomes of the calls of one rollout
// from a seed.
type simulation struct {
	random *rand.Rand
	rate   float64
	kind   kind
	start  time.Time
}

func (simulation *simulation) errorRate(now time.Time, share int) float64 {
	switch {
	case simulation.kind == badAtOnce,
		simulation.kind == badLater && now.Sub(simulation.start) > badAfter,
		simulation.kind == badLoaded && share >= badFromShare:
		return badErrorRate
	case simulation.kind == slightlyBad:
		return slightErrorRate
	}
	return oldErrorRate
}

func (simulation *simulation) draw(calls int, errorRate, factor float64) Counts {
	counts := Counts{Calls: calls}
	for range calls {
		if simulation.random.Float64() < errorRate {
			counts.Errors++
			continue
		}
		latency := float64(baseLatency) * factor * math.Exp(simulation.random.NormFloat64()*0.5)
		counts.Latency[distr.LatencyBucket(time.Duration(latency))]++
	}
	return counts
}

// poisson returns a Poisson-distributed number with the given mean. Above a mean
// of 50 it uses the normal approximation.
func (simulation *simulation) poisson(mean float64) int {
	if mean > 50 {
		return max(0, int(math.Round(mean+math.Sqrt(mean)*simulation.random.NormFloat64())))
	}
	limit, count, product := math.Exp(-mean), 0, simulation.random.Float64()
	for product > limit {
		count++
		product *= simulation.random.Float64()
	}
	return count
}

// result is the outcome of one simulated rollout.
type result struct {
	state rsrc.State
	// inTime is true if the rollout finished and the new version got all traffic
	// by the deadline.
	inTime bool
	// affectedCalls counts the failed calls to a version with a higher error
	// rate, or all calls to a slow version, of which the failed ones count twice.
	affectedCalls int
	// timeToEnd is the time from the first affected call to the end of the
	// rollout.
	timeToEnd time.Duration
	// maxCanaryShare is the largest share before the new version is first cleared.
	maxCanaryShare int
}

// decider decides on the steps of a simulated rollout. It is implemented by the
// controller and by the baseline.
type decider interface {
	Decide(now time.Time, input Input) (rsrc.Step, bool)
}

// simulate runs one rollout until it ends or simulationTimeout has passed.
func simulate(simulation *simulation, newDecider func(now time.Time) decider, timeLimit time.Duration) result {
	now := time.Unix(1_000_000, 0)
	simulation.start = now
	rollout := rsrc.NewRollout("r", "v1", "v2", now.Add(timeLimit), now)
	controller := newDecider(now)
	var pending []Input
	outcome := result{}
	badSince := time.Time{}
	shares := make([]int, delayTicks+1)
	for now.Sub(simulation.start) < simulationTimeout && !rollout.LatestStep().State.Ended() {
		now = now.Add(simulationTick)
		// The nodes apply a share delayTicks after the decision.
		shares = append(shares[1:], rollout.Share())
		share := shares[0]
		calls := simulation.poisson(simulation.rate * simulationTick.Seconds())
		newCalls := 0
		for range calls {
			if simulation.random.IntN(rsrc.FullShare) < share {
				newCalls++
			}
		}
		failureRate, factor := simulation.errorRate(now, share), 1.0
		if simulation.kind == slow {
			factor = slowFactor
		}
		input := Input{Targets: 7, Slots: 84, MinTargets: 1}
		input.Before = simulation.draw(calls-newCalls, oldErrorRate, 1)
		input.After = simulation.draw(newCalls, failureRate, factor)
		if failureRate > oldErrorRate && newCalls > 0 || factor > 1 && newCalls > 0 {
			outcome.affectedCalls += input.After.Errors
			if factor > 1 {
				outcome.affectedCalls += newCalls
			}
			if badSince.IsZero() {
				badSince = now
			}
		}
		pending = append(pending, input)
		if len(pending) <= delayTicks {
			continue
		}
		delayedInput := pending[0]
		pending = pending[1:]
		delayedInput.Rollout = rollout
		step, ok := controller.Decide(now, delayedInput)
		if !ok {
			continue
		}
		if advanced, err := rollout.Advance(step); err == nil {
			rollout = advanced
		}
		if step.State == rsrc.StateCanary {
			outcome.maxCanaryShare = max(outcome.maxCanaryShare, step.Share)
		}
	}
	outcome.state = rollout.LatestStep().State
	outcome.inTime = !rollout.FullShareAt().IsZero() && !rollout.FullShareAt().After(rollout.Deadline()) && outcome.state == rsrc.StateFinished
	if !badSince.IsZero() {
		outcome.timeToEnd = now.Sub(badSince)
	}
	return outcome
}

// summary aggregates the results of many rollouts. rolledBack includes the
// rollouts that failed.
type summary struct {
	runs           int
	inTime         int
	rolledBack     int
	maxCanaryShare int
	affectedCalls  []int
	timeToEnd      []time.Duration
}

func (summary *summary) add(result result) {
	summary.runs++
	if result.inTime {
		summary.inTime++
	}
	if result.state == rsrc.StateRolledBack || result.state == rsrc.StateFailed {
		summary.rolledBack++
	}
	summary.maxCanaryShare = max(summary.maxCanaryShare, result.maxCanaryShare)
	summary.affectedCalls = append(summary.affectedCalls, result.affectedCalls)
	summary.timeToEnd = append(summary.timeToEnd, result.timeToEnd)
}

// simulationTiming returns the default timing with a shorter watch, so that many
// rollouts can be simulated.
func simulationTiming() Timing {
	timing := DefaultTiming()
	timing.Watch = 3 * time.Minute
	return timing
}

// simulateMany simulates rollouts of one kind, each with its own seed.
func simulateMany(kind kind, rate float64, timeLimit time.Duration, runs int, newDecider func(now time.Time) decider) summary {
	var summary summary
	for seed := range runs {
		simulation := &simulation{random: rand.New(rand.NewPCG(uint64(seed), uint64(len(kind)))), rate: rate, kind: kind}
		summary.add(simulate(simulation, newDecider, timeLimit))
	}
	return summary
}

func withPolicy(policy rsrc.Policy) func(now time.Time) decider {
	return func(now time.Time) decider { return New(policy, simulationTiming(), now) }
}

// fixedRamp is the baseline. It raises the share at fixed times, and rolls back
// only if more than one in ten calls of the last block failed.
type fixedRamp struct {
	stepStarted time.Time
}

func (ramp *fixedRamp) Decide(now time.Time, input Input) (rsrc.Step, bool) {
	last := input.Rollout.LatestStep()
	if input.After.Calls > 10 && input.After.Errors*10 > input.After.Calls {
		return newStep(now, rsrc.StateRolledBack, 0, "baseline"), true
	}
	if now.Sub(ramp.stepStarted) < 30*time.Second {
		return rsrc.Step{}, false
	}
	ramp.stepStarted = now
	switch {
	case last.State == rsrc.StateScheduled:
		return newStep(now, rsrc.StateCanary, RouteCanaryShare, "baseline"), true
	case last.State == rsrc.StateWatching:
		return newStep(now, rsrc.StateFinished, rsrc.FullShare, "baseline"), true
	case last.Share >= 500:
		return newStep(now, rsrc.StateWatching, rsrc.FullShare, "baseline"), true
	default:
		return newStep(now, rsrc.StateRamping, nextShare(defaultRamp, last.Share), "baseline"), true
	}
}
