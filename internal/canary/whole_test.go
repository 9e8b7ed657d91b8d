package canary

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// The users' bounds for the rollout of a whole service.
const (
	wholeWithin = 16 * time.Second
	// A bad version gets at most a tenth of all calls, and fifty.
	wholeShareOfCalls = 10
	wholeCalls        = 50
)

// Steps of the model: how often the leader looks, and how many looks pass until
// it sees what happened.
const (
	wholeStep  = 100 * time.Millisecond
	wholeDelay = 5
)

// behaviour is how a version fails in the model.
type behaviour struct {
	name string
	// errors is the part of its calls that fail, at a share and a time after
	// its first call.
	errors func(share int, since time.Duration) float64
	factor float64
}

func always(rate float64) func(int, time.Duration) float64 {
	return func(int, time.Duration) float64 { return rate }
}

var badBehaviours = []behaviour{
	{name: "errors", errors: always(0.45), factor: 1},
	{name: "slow", errors: always(oldErrors), factor: 8},
	{name: "one-class", errors: always(0.12), factor: 1},
	{name: "late", factor: 1, errors: func(_ int, since time.Duration) float64 {
		if since > 3*time.Second {
			return 0.45
		}
		return oldErrors
	}},
}

// exposure is how one rollout of a whole service went.
type exposure struct {
	state rsrc.State
	took  time.Duration
	calls int
	fresh int
}

// playWhole runs one rollout until its deadline.
func playWhole(seed uint64, rate float64, behaviour behaviour) exposure {
	world := &world{random: rand.New(rand.NewPCG(seed, 7))}
	begun := time.Unix(1_000_000, 0)
	rollout := rsrc.NewServiceRollout("s", "v2", wholeWithin, begun)
	controller := New(rsrc.PolicyCompletion, WithinTiming(wholeWithin), begun)
	var pending []Input
	var outcome exposure
	first := time.Duration(0)
	for passed := wholeStep; passed <= wholeWithin; passed += wholeStep {
		now := begun.Add(passed)
		share := rollout.Share()
		if rollout.Last().State == rsrc.StateFinished {
			break
		}
		calls, fresh := world.poisson(rate*wholeStep.Seconds()), 0
		for range calls {
			if world.random.IntN(rsrc.FullShare) < share {
				fresh++
			}
		}
		if fresh > 0 && first == 0 {
			first = passed
		}
		outcome.calls += calls
		outcome.fresh += fresh
		pending = append(pending, Input{
			Before:     world.draw(calls-fresh, oldErrors, 1),
			After:      world.draw(fresh, behaviour.errors(share, passed-first), behaviour.factor),
			Targets:    3,
			Slots:      36,
			MinTargets: 1,
		})
		if len(pending) <= wholeDelay || rollout.Last().State.Ended() {
			continue
		}
		input := pending[0]
		pending = pending[1:]
		input.Rollout = rollout
		if step, ok := controller.Decide(now, input); ok {
			if advanced, err := rollout.Advance(step); err == nil {
				rollout, outcome.took = advanced, passed
			}
		}
	}
	outcome.state = rollout.Last().State
	return outcome
}

// repeatedOrder is how much later than the operator's first try an order may be
// accepted, while the operator counts from the first: seen on an incident.
const repeatedOrder = 1200 * time.Millisecond

func TestWholeServicesFinishInTime(t *testing.T) {
	const runs = 200
	for _, rate := range []float64{40, 100, 240} {
		t.Run(fmt.Sprint(rate), func(t *testing.T) {
			good := behaviour{errors: always(oldErrors), factor: 1}
			inTime := 0
			for seed := range uint64(runs) {
				outcome := playWhole(seed, rate, good)
				if outcome.state == rsrc.StateFinished && outcome.took <= wholeWithin-repeatedOrder {
					inTime++
				}
			}
			require.GreaterOrEqual(t, inTime*100, wantInTimePercent*runs)
		})
	}
}

// TestALateLeaderFinishesInTime has a leader that starts afresh shortly before
// the deadline, when there is no time for all of the watch.
func TestALateLeaderFinishesInTime(t *testing.T) {
	world := &world{random: rand.New(rand.NewPCG(1, 7))}
	begun := time.Unix(1_000_000, 0)
	rollout := rsrc.NewServiceRollout("s", "v2", wholeWithin, begun)
	canary, err := rollout.Advance(rsrc.Step{State: rsrc.StateCanary, Share: 80, At: begun.Add(time.Second)})
	require.NoError(t, err)
	rollout = canary
	started := wholeWithin - 2200*time.Millisecond
	controller := New(rsrc.PolicyCompletion, WithinTiming(wholeWithin), begun.Add(started))
	for passed := started + wholeStep; passed < wholeWithin; passed += wholeStep {
		calls, fresh := world.poisson(100*wholeStep.Seconds()), 0
		for range calls {
			if world.random.IntN(rsrc.FullShare) < rollout.Share() {
				fresh++
			}
		}
		step, ok := controller.Decide(begun.Add(passed), Input{
			Rollout: rollout, Before: world.draw(calls-fresh, oldErrors, 1), After: world.draw(fresh, oldErrors, 1),
			Targets: 3, Slots: 36, MinTargets: 1,
		})
		if !ok {
			continue
		}
		rollout, err = rollout.Advance(step)
		require.NoError(t, err)
	}
	require.Equal(t, rsrc.StateFinished, rollout.Last().State)
}

func TestBadVersionsOfAWholeServiceGetFewCalls(t *testing.T) {
	const runs = 200
	for _, behaviour := range badBehaviours {
		for _, rate := range []float64{40, 100, 240} {
			t.Run(fmt.Sprintf("%s/%.0f", behaviour.name, rate), func(t *testing.T) {
				back, worst := 0, 0
				for seed := range uint64(runs) {
					outcome := playWhole(seed, rate, behaviour)
					if outcome.state == rsrc.StateRolledBack || outcome.state == rsrc.StateFailed {
						back++
					}
					over := outcome.fresh - outcome.calls/wholeShareOfCalls
					worst = max(worst, over)
				}
				t.Logf("rolled back %d of %d, at most %d calls above a tenth", back, runs, worst)
				require.GreaterOrEqual(t, back*100, wantRolledBackPercent*runs)
				require.LessOrEqual(t, worst, wholeCalls)
			})
		}
	}
}
