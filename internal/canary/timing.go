package canary

import (
	"time"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// RouteCanaryShare is the largest share, in permille, that the new version gets
// in the rollout of a route before it is cleared.
const RouteCanaryShare = 50

// Criteria determines how much evidence a policy requires. A version is cleared
// for the next share when the evidence rules out an excess error rate of Margin.
type Criteria struct {
	// Margin is the excess error rate that must be ruled out to clear a version.
	Margin float64
	// Level is the largest acceptable probability of clearing a version that has
	// that excess.
	Level float64
	// CompleteUncleared gives all traffic to the new version shortly before the
	// deadline even if it is not cleared, unless there is evidence against it.
	CompleteUncleared bool
}

// CriteriaFor returns the criteria of a policy.
func CriteriaFor(policy rsrc.Policy) Criteria {
	switch policy {
	case rsrc.PolicyCompletion:
		return Criteria{Margin: 0.03, Level: 0.05, CompleteUncleared: true}
	case rsrc.PolicyRollback:
		return Criteria{Margin: 0.01, Level: 0.005}
	default:
		return Criteria{Margin: 0.02, Level: 0.01}
	}
}

// Timing holds the durations and the shares of a rollout.
type Timing struct {
	// Dwell is the minimum duration of a stage, which is the time in which the
	// rollout keeps its state and its share. It must be long enough for all nodes
	// to apply the share and to report observations.
	Dwell time.Duration
	// Watch is how long the versions are compared after the new version got all
	// traffic.
	Watch time.Duration
	// Cold is how long after its first calls the latency of the new version is
	// ignored.
	Cold time.Duration
	// Reaction is the time from the first failures of a bad version until it
	// gets no more calls. It limits the first share.
	Reaction time.Duration
	// Ramp lists the shares of the rollout, in permille and in increasing order.
	// When the new version is cleared, it gets the next share above its current
	// one. Nil means defaultRamp.
	Ramp []int
	// TimeLimit is the time allowed for the rollout of a whole service; zero for
	// the rollout of a route.
	TimeLimit time.Duration
	// Trial is how long few targets of the new version of a whole service get the
	// calls of as many targets under all traffic, before the version is watched.
	Trial time.Duration
	// WholeService is true for the rollout of a whole service, after which the
	// old targets are stopped. The operator is expected to have started enough
	// new targets for all traffic, so their number does not limit the share. See
	// advanceService for its steps.
	WholeService bool
}

// maxTrial is the longest trial of a whole service. More calls tell little more.
const maxTrial = 3 * time.Second

// MaxTrialStep is the time after which a node that has seen no step follow one of a trial
// takes the leader for lost: the longest trial or pause, and the time until a step has
// reached all nodes. The version is tried at full load, so it must not stay there.
const MaxTrialStep = maxTrial + 800*time.Millisecond

// The constants of ServiceTiming. Dwell, Watch and Trial are the time limit divided
// by dwellDivisor, watchDivisor and trialDivisor.
const (
	dwellDivisor = 14
	watchDivisor = 8
	trialDivisor = 5
	// deadlineReserve is the planned time between the end of the watch and the
	// deadline. It is needed because the operator measures the time limit from
	// the first attempt to request the rollout, but a later attempt may be the
	// one that is accepted, and because a change of leader takes about a second.
	deadlineReserve = 2800 * time.Millisecond
	// serviceColdPeriod is how long new targets have a higher latency after their
	// first calls.
	serviceColdPeriod = 3500 * time.Millisecond
)

// ServiceTiming returns the timing of the rollout of a whole service within the
// given time limit.
func ServiceTiming(timeLimit time.Duration) Timing {
	return Timing{
		TimeLimit:    timeLimit,
		Dwell:        timeLimit / dwellDivisor,
		Watch:        timeLimit / watchDivisor,
		Trial:        min(maxTrial, timeLimit/trialDivisor),
		Cold:         serviceColdPeriod,
		Reaction:     time.Second,
		Ramp:         []int{serviceWatchShare, rsrc.FullShare},
		WholeService: true,
	}
}

// serviceCanaryShare is the base of the first share in the rollout of a whole
// service, in permille. Most calls that a bad version may get are left to the trial
// and to the watch, which tell more. firstShare adds extraShare to it and lowers the
// sum at high call rates.
const serviceCanaryShare = 30

// extraCalls is the number of calls that the new version of a whole service may
// get in addition to those of serviceCanaryShare. In the rollout of a whole
// service, a bad version may get a tenth of all calls plus fifty. Half of the
// fifty calls are for the canary share; the other half is for the time that it
// takes to detect a bad version after it got all traffic.
const extraCalls = 12.0

// DefaultTiming returns the timing for the rollout of a route if all nodes apply
// a new share within a few seconds.
func DefaultTiming() Timing {
	return Timing{Dwell: 6 * time.Second, Watch: 10 * time.Minute, Cold: 15 * time.Second, Reaction: 2 * time.Second}
}
