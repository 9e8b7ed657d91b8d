package canary

import (
	"fmt"
	"math"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// CanaryShare is the largest share, in permille, before a version is cleared.
const CanaryShare = 50

// Criteria is what a policy asks of the evidence.
type Criteria struct {
	// Margin is the excess error rate that a cleared version does not have.
	Margin float64
	// Level is the chance of clearing a version that has that excess.
	Level float64
	// FinishAtDeadline lets a version that has not shown itself bad finish at the
	// deadline without being cleared.
	FinishAtDeadline bool
}

// CriteriaFor returns a policy's weight.
func CriteriaFor(policy rsrc.Policy) Criteria {
	switch policy {
	case rsrc.PolicyCompletion:
		return Criteria{Margin: 0.03, Level: 0.05, FinishAtDeadline: true}
	case rsrc.PolicyRollback:
		return Criteria{Margin: 0.01, Level: 0.005}
	default:
		return Criteria{Margin: 0.02, Level: 0.01}
	}
}

// Timing holds the controller's durations.
type Timing struct {
	// Dwell is the shortest time on one step, enough for the share to be in
	// force everywhere and for observations to come back.
	Dwell time.Duration
	// Watch is how long the comparison goes on after the finish.
	Watch time.Duration
	// Cold is how long after its first calls a version's latency is ignored.
	Cold time.Duration
	// Reaction is the time from badness to no more calls; it bounds the first
	// share.
	Reaction time.Duration
	// Ramp lists the shares after clearance, in permille; nil means the usual
	// ones.
	Ramp []int
	// TimeLimit is the time allowed for the rollout of a whole service.
	TimeLimit time.Duration
	// WholeService is true when all calls of a service move and its old targets stop
	// at the end. Its operator has started new ones for all of the traffic, so
	// their number does not bound the share, and the share jumps in one step:
	// the calls of a small share decide.
	WholeService bool
}

// Parts of the time allowed for the rollout of a whole service.
const (
	dwellDivisor = 14
	watchDivisor = 6
	// deadlineReserve is kept between the last decision and the deadline: the operator
	// counts from the first try of the order, which may be accepted on a later
	// one.
	deadlineReserve = 1800 * time.Millisecond
	// serviceColdPeriod is how long new targets are slow.
	serviceColdPeriod = 3500 * time.Millisecond
)

// ServiceTiming divides the time allowed for the rollout of a whole service.
func ServiceTiming(timeLimit time.Duration) Timing {
	return Timing{
		TimeLimit:    timeLimit,
		Dwell:        timeLimit / dwellDivisor,
		Watch:        timeLimit / watchDivisor,
		Cold:         serviceColdPeriod,
		Reaction:     time.Second,
		Ramp:         []int{serviceCanaryShare, rsrc.FullShare},
		WholeService: true,
	}
}

// serviceCanaryShare is the share, in permille, on which the rollout of a whole service
// is decided. It keeps the calls that a bad version gets under a tenth of all.
const serviceCanaryShare = 80

// extraCalls is half of the fifty calls that a bad version may get beyond a
// tenth; the others are for the time that it takes to be seen with all calls.
const extraCalls = 25.0

// DefaultTiming suits a fleet with a convergence time of some seconds.
func DefaultTiming() Timing {
	return Timing{Dwell: 6 * time.Second, Watch: 10 * time.Minute, Cold: 15 * time.Second, Reaction: 2 * time.Second}
}

// MaxCallsAtRisk bounds the calls that a version may hurt within the reaction
// time before it is cleared.
const MaxCallsAtRisk = 60

// allowedFalsePositiveRate is the chance of calling a good version bad that a rollout accepts.
func (controller *Controller) allowedFalsePositiveRate() float64 {
	switch {
	case controller.timing.WholeService && controller.state == rsrc.StateWatching:
		return serviceSuspicionRate
	case controller.timing.WholeService:
		return serviceFalsePositiveRate
	default:
		return falsePositiveRate
	}
}

const (
	// serviceFalsePositiveRate is above the usual chance: within seconds a bad version gets
	// more calls than it may while more evidence is awaited.
	serviceFalsePositiveRate = 0.004
	// serviceSuspicionRate is the chance of evidence against a good version that
	// keeps it from all traffic without being cleared, or takes it back once it
	// has all traffic: a bad version hurts most then.
	serviceSuspicionRate = 0.04
)

// defaultRamp lists the shares after clearance, in permille.
var defaultRamp = []int{CanaryShare, 250, 500, rsrc.FullShare}

// ramp returns the shares after clearance.
func (controller *Controller) ramp() []int {
	if controller.timing.Ramp != nil {
		return controller.timing.Ramp
	}
	return defaultRamp
}

// maxUtilizationPercent is the largest use of the new version's slots that a step plans
// for.
const maxUtilizationPercent = 80

// Input is what the controller knows when it decides.
type Input struct {
	Rollout rsrc.Rollout
	Policy  rsrc.Policy
	// Before and After are the counts of the old and the new version since the
	// last decision.
	Before Counts
	After  Counts
	// Targets and Slots describe the new version's targets; MinTargets is what
	// it needs for all traffic.
	Targets    int
	Slots      int
	MinTargets int
}

// Controller decides about one rollout. It is not safe for concurrent use. A
// new leader starts one afresh: the rollout keeps its step, the evidence
// starts again.
type Controller struct {
	timing   Timing
	criteria Criteria
	evidence *Evidence
	stepTest *marginTest
	state    rsrc.State
	share    int
	// callRate is the route's calls a second, a moving average.
	callRate float64
	// latency is the mean time of an answer.
	latency      time.Duration
	started      time.Time
	lastDecision time.Time
	stepStarted  time.Time
	firstCall    time.Time
	lastWarning  string
}

// New returns the controller of a rollout, from now on.
func New(policy rsrc.Policy, timing Timing, now time.Time) *Controller {
	criteria := CriteriaFor(policy)
	return NewWithCriteria(criteria, timing, now)
}

// NewWithCriteria returns a controller with a weight that is not one of the
// policies'.
func NewWithCriteria(criteria Criteria, timing Timing, now time.Time) *Controller {
	return &Controller{
		timing:       timing,
		criteria:     criteria,
		evidence:     NewEvidence(),
		stepTest:     &marginTest{margin: criteria.Margin},
		started:      now,
		lastDecision: now,
		stepStarted:  now,
	}
}

// Decide takes what happened since the last call and returns the next step,
// if there is one to take. The owner writes it to the log and calls again
// with the advanced rollout.
func (controller *Controller) Decide(now time.Time, input Input) (rsrc.Step, bool) {
	controller.update(now, input)
	last := input.Rollout.LastStep()
	if last.State.Ended() {
		return rsrc.Step{}, false
	}
	if last.Share != controller.share || last.State != controller.state {
		controller.startStep(now, last)
	}
	if cause, bad := controller.evidence.RegressionAt(controller.allowedFalsePositiveRate()); bad {
		return newStep(now, rsrc.StateRolledBack, 0, cause), true
	}
	switch last.State {
	case rsrc.StateScheduled:
		return controller.startCanary(now, input)
	case rsrc.StateWatching:
		return controller.finishWatch(now, input)
	default:
		return controller.advanceRamp(now, input)
	}
}

func newStep(now time.Time, state rsrc.State, share int, cause string) rsrc.Step {
	return rsrc.Step{State: state, Share: share, Cause: cause, At: now}
}

func (controller *Controller) startStep(now time.Time, last rsrc.Step) {
	controller.share, controller.state = last.Share, last.State
	controller.stepStarted = now
	controller.stepTest = &marginTest{margin: controller.criteria.Margin}
	controller.evidence.Restart()
}

// update updates evidence, rate and latency.
func (controller *Controller) update(now time.Time, input Input) {
	elapsed := now.Sub(controller.lastDecision).Seconds()
	controller.lastDecision = now
	calls := input.Before.Calls + input.After.Calls
	if elapsed > 0 {
		// The average covers the time since the start until that is a window.
		span := min(rateWindow.Seconds(), now.Sub(controller.started).Seconds())
		weight := min(1, elapsed/span)
		controller.callRate += (float64(calls)/elapsed - controller.callRate) * weight
	}
	if input.After.Calls > 0 && controller.firstCall.IsZero() {
		controller.firstCall = now
	}
	if mean, ok := meanLatency(input.Before, input.After); ok {
		controller.latency += (mean - controller.latency) / 4
	}
	if calls == 0 {
		return
	}
	oldRate := controller.evidence.ErrorRate()
	if input.Before.Calls == 0 && controller.evidence.oldTotal.Calls == 0 {
		// Nothing to compare with yet.
		return
	}
	cold := now.Sub(controller.firstCall) < controller.timing.Cold
	controller.evidence.Add(input.Before, input.After, cold)
	controller.stepTest.add(input.After.Errors, input.After.Calls, oldRate)
}

// rateWindow is the span of the moving average of the call rate.
const rateWindow = 10 * time.Second

func meanLatency(oldCounts, newCounts Counts) (time.Duration, bool) {
	total, answers := 0.0, 0
	bound := float64(distr.LatencyBase)
	for bucket := range distr.LatencyBuckets {
		count := oldCounts.Latency[bucket] + newCounts.Latency[bucket]
		total += bound * float64(count)
		answers += count
		bound *= distr.LatencyGrowth
	}
	if answers == 0 {
		return 0, false
	}
	return time.Duration(total / float64(answers)), true
}

// startCanary starts the canary once the new version has targets.
func (controller *Controller) startCanary(now time.Time, input Input) (rsrc.Step, bool) {
	if !now.Before(input.Rollout.Deadline()) {
		return newStep(now, rsrc.StateFailed, 0, "the deadline passed before the new version had targets"), true
	}
	if input.Targets == 0 {
		return controller.warn(now, input, "the new version has no targets")
	}
	if now.Sub(controller.stepStarted) < controller.timing.Dwell {
		// The old version's traffic is needed to choose the first share.
		return rsrc.Step{}, false
	}
	share := controller.firstShare()
	return newStep(now, rsrc.StateCanary, share, controller.forecast(now, input, share)), true
}

// firstShare bounds the calls at risk within the reaction time.
func (controller *Controller) firstShare() int {
	perReaction := controller.callRate * controller.timing.Reaction.Seconds()
	first := CanaryShare
	if controller.timing.WholeService {
		first = serviceCanaryShare + controller.extraShare()
	}
	if perReaction*float64(first)/rsrc.FullShare <= MaxCallsAtRisk {
		return first
	}
	return max(1, int(MaxCallsAtRisk/perReaction*rsrc.FullShare))
}

// extraShare adds the spare calls to the first share of the rollout of a whole
// service, spread over the time until the decision. Where calls are few, more
// of them are needed to tell a version that fails some of them.
func (controller *Controller) extraShare() int {
	decisionTime := controller.timing.TimeLimit - controller.timing.Watch - deadlineReserve - controller.timing.Dwell
	calls := controller.callRate * decisionTime.Seconds()
	if calls <= 0 {
		return 0
	}
	return min(CanaryShare, int(extraCalls/calls*rsrc.FullShare))
}

// forecast says how the rollout is expected to go.
func (controller *Controller) forecast(now time.Time, input Input, share int) string {
	needed, ok := controller.TimeToFullShare(share)
	if !ok {
		return "started; the traffic is not known yet"
	}
	left := input.Rollout.Deadline().Sub(now)
	if needed > left {
		return fmt.Sprintf("started; the deadline cannot be met: evidence needs %s, %s are left", roundToSecond(needed), roundToSecond(left))
	}
	return fmt.Sprintf("started; evidence needs %s, %s are left", roundToSecond(needed), roundToSecond(left))
}

// TimeToFullShare estimates the time from a share to all traffic at the present rate,
// and false when there is no traffic to estimate from.
func (controller *Controller) TimeToFullShare(share int) (time.Duration, bool) {
	if controller.callRate <= 0 {
		return 0, false
	}
	trials := trialsToPass(controller.criteria.Margin, controller.criteria.Level, controller.evidence.ErrorRate())
	total := time.Duration(0)
	for _, next := range append([]int{share}, controller.ramp()...) {
		if next < share || next == rsrc.FullShare {
			continue
		}
		share = next + 1
		seconds := trials / (controller.callRate * float64(next) / rsrc.FullShare)
		total += max(controller.timing.Dwell, time.Duration(min(seconds, math.MaxInt32)*float64(time.Second)))
	}
	return total, true
}

func roundToSecond(duration time.Duration) time.Duration { return duration.Round(time.Second) }

// warn records once why a rollout does not go on.
func (controller *Controller) warn(now time.Time, input Input, cause string) (rsrc.Step, bool) {
	if controller.lastWarning == cause {
		return rsrc.Step{}, false
	}
	controller.lastWarning = cause
	last := input.Rollout.LastStep()
	return newStep(now, last.State, last.Share, "the deadline cannot be met as it stands: "+cause), true
}

// advanceRamp takes the next step of the ramp when the present one is cleared.
func (controller *Controller) advanceRamp(now time.Time, input Input) (rsrc.Step, bool) {
	last := input.Rollout.LastStep()
	overdue := !now.Before(input.Rollout.Deadline())
	dwellOver := now.Sub(controller.stepStarted) >= controller.timing.Dwell
	passed := dwellOver && controller.stepTest.passed(controller.criteria.Level)
	next := nextShare(controller.ramp(), last.Share)
	limit := controller.capacity(input)
	switch {
	case passed && next <= limit:
		return controller.raiseShare(now, next, "cleared at "+formatShare(last.Share)), true
	case controller.mustFinishNow(now, input) && limit >= rsrc.FullShare && controller.evidence.oldTotal.Calls > 0:
		return controller.raiseShare(now, rsrc.FullShare, "the deadline is near and nothing bad was seen"), true
	case overdue:
		return newStep(now, rsrc.StateFailed, 0, "the deadline passed before the evidence was in"), true
	case passed:
		return controller.warn(now, input, fmt.Sprintf("%d targets with %d slots carry at most %s", input.Targets, input.Slots, formatShare(limit)))
	default:
		return rsrc.Step{}, false
	}
}

func (controller *Controller) raiseShare(now time.Time, share int, cause string) rsrc.Step {
	if share >= rsrc.FullShare {
		return newStep(now, rsrc.StateWatching, rsrc.FullShare, cause)
	}
	return newStep(now, rsrc.StateRamping, share, cause)
}

// mustFinishNow reports that only the time for one more step is left and the
// policy puts completion first.
func (controller *Controller) mustFinishNow(now time.Time, input Input) bool {
	timeBefore := controller.timing.Dwell
	if controller.timing.WholeService {
		timeBefore = controller.timing.Watch + deadlineReserve
	}
	if controller.timing.WholeService {
		if _, suspected := controller.evidence.RegressionAt(serviceSuspicionRate); suspected {
			return false
		}
	}
	return controller.criteria.FinishAtDeadline && !now.Before(input.Rollout.Deadline().Add(-timeBefore))
}

func nextShare(ramp []int, share int) int {
	for _, next := range ramp {
		if next > share {
			return next
		}
	}
	return rsrc.FullShare
}

func formatShare(share int) string { return fmt.Sprintf("%.1f%%", float64(share)/10) }

// capacity is the largest share that the new version's targets can carry.
func (controller *Controller) capacity(input Input) int {
	if controller.timing.WholeService && input.Targets > 0 {
		return rsrc.FullShare
	}
	busySlots := controller.callRate * controller.latency.Seconds()
	limit := rsrc.FullShare
	if usableSlots := float64(input.Slots) * maxUtilizationPercent / 100; busySlots > usableSlots {
		limit = int(usableSlots / busySlots * rsrc.FullShare)
	}
	if input.Targets < input.MinTargets {
		limit = min(limit, rsrc.FullShare-1)
	}
	if input.Targets == 0 {
		limit = 0
	}
	return limit
}

// serviceWatch is how long the new version of a whole service is watched: less if
// the last step came late, as after a change of leaders.
func (controller *Controller) serviceWatch(deadline time.Time) time.Duration {
	left := deadline.Sub(controller.stepStarted) - finalStepReserve
	return max(minServiceWatch, min(controller.timing.Watch, left))
}

const (
	// minServiceWatch is the time from a failing version's first calls until they
	// show, with a large share.
	minServiceWatch = 1500 * time.Millisecond
	// finalStepReserve is the time for the last step to be agreed on and read.
	finalStepReserve = 300 * time.Millisecond
)

// finishWatch ends the rollout when nothing bad was seen for long enough.
func (controller *Controller) finishWatch(now time.Time, input Input) (rsrc.Step, bool) {
	watchStarted, span := input.Rollout.Finished(), controller.timing.Watch
	if controller.timing.WholeService {
		// The steady clock of this leader; the order's own time may jump.
		watchStarted = controller.stepStarted
		span = controller.serviceWatch(input.Rollout.Deadline())
	}
	if now.Sub(watchStarted) < span {
		return rsrc.Step{}, false
	}
	return newStep(now, rsrc.StateFinished, rsrc.FullShare, "nothing bad was seen while watching"), true
}
