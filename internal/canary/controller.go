package canary

import (
	"fmt"
	"math"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// MaxCallsAtRisk is the largest expected number of calls that a version may get
// within the reaction time before it is cleared.
const MaxCallsAtRisk = 60

// allowedFalsePositiveRate returns the accepted probability that a good version
// is rolled back in the current state.
func (controller *Controller) allowedFalsePositiveRate() float64 {
	switch {
	case controller.timing.WholeService && controller.state == rsrc.StateWatching:
		return fullShareFalsePositiveRate
	case controller.timing.WholeService:
		return serviceFalsePositiveRate
	default:
		return falsePositiveRate
	}
}

const (
	// serviceFalsePositiveRate is higher than falsePositiveRate because in the
	// rollout of a whole service a bad version would exceed its allowed calls
	// (see extraCalls) within seconds if the controller waited for more evidence.
	serviceFalsePositiveRate = 0.004
	// fullShareFalsePositiveRate applies to the rollout of a whole service. With
	// this rate a version that has all traffic is rolled back, and a version that
	// is not cleared does not get all traffic near the deadline. The rate is
	// higher than the others because a bad version does most damage with all
	// traffic.
	fullShareFalsePositiveRate = 0.01
)

// defaultRamp lists the shares of a rollout, in permille, unless the timing sets
// others. It starts with RouteCanaryShare for rollouts whose first share was
// smaller.
var defaultRamp = []int{RouteCanaryShare, 250, 500, rsrc.FullShare}

// ramp returns the shares of the rollout, in permille and in increasing order.
func (controller *Controller) ramp() []int {
	if controller.timing.Ramp != nil {
		return controller.timing.Ramp
	}
	return defaultRamp
}

// maxUtilizationPercent is the largest utilization of the new version's slots
// that a share may cause.
const maxUtilizationPercent = 80

// Input holds the data for one decision of the controller.
type Input struct {
	Rollout rsrc.Rollout
	Policy  rsrc.Policy
	// Before and After are the counts of the old and of the new version since
	// the last call of Decide.
	Before Counts
	After  Counts
	// ByClass holds the same counts by class of calls.
	ByClass [distr.CallClasses]ClassCounts
	// Targets and Slots are the number of targets of the new version and the sum
	// of their slots. MinTargets is the number of targets that the new version
	// needs to get all traffic.
	Targets    int
	Slots      int
	MinTargets int
}

// ClassCounts holds the counts of the calls of one class to both versions.
type ClassCounts struct {
	Before Counts
	After  Counts
}

// Controller decides on the steps of one rollout. It is not safe for concurrent
// use. A new leader creates a new controller: the rollout continues from its
// last step, but the evidence is collected again.
type Controller struct {
	timing    Timing
	criteria  Criteria
	evidence  *Evidence
	stageTest *marginTest
	state     rsrc.State
	share     int
	// callRate is a moving average of the calls per second.
	callRate float64
	// recentRate is like callRate, but follows the demand within trialRateWindow.
	recentRate float64
	// latency is a moving average of the time to an answer.
	latency      time.Duration
	started      time.Time
	lastDecision time.Time
	stageStarted time.Time
	firstCall    time.Time
	// coldSince is when the calls of the new version started or its number of targets
	// last grew. grownAt is only the latter, and mostTargets the number.
	coldSince   time.Time
	grownAt     time.Time
	mostTargets int
	lastWarning string
	// totals compare all calls of both versions, and byClass those of each class.
	totals  comparison
	byClass [distr.CallClasses]comparison
	// trialEnds is when the trial that this controller started ends. It is zero for a
	// new leader, which ends the trial that it finds.
	trialEnds time.Time
	// callsBefore is the number of calls of the new version before this stage.
	callsBefore int
	// shareChanged is when the controller found another share.
	shareChanged time.Time
	// allCalls is the number of calls of both versions since the start, and newTotal
	// the sum of all counts of the new one.
	allCalls int
	newTotal Counts
}

// New returns a controller for a rollout with the criteria of the given policy.
func New(policy rsrc.Policy, timing Timing, now time.Time) *Controller {
	criteria := CriteriaFor(policy)
	return NewWithCriteria(criteria, timing, now)
}

// NewWithCriteria returns a controller for a rollout with the given criteria.
func NewWithCriteria(criteria Criteria, timing Timing, now time.Time) *Controller {
	return &Controller{
		timing:       timing,
		criteria:     criteria,
		evidence:     NewEvidence(),
		stageTest:    &marginTest{margin: criteria.Margin},
		started:      now,
		lastDecision: now,
		stageStarted: now,
	}
}

// Decide evaluates what happened since the last call and returns the next step,
// or false if the rollout stays as it is. The caller writes the step to the
// replicated log and passes the advanced rollout to the next call.
func (controller *Controller) Decide(now time.Time, input Input) (rsrc.Step, bool) {
	controller.update(now, input)
	last := input.Rollout.LatestStep()
	if last.State.Ended() {
		return rsrc.Step{}, false
	}
	if last.Share != controller.share || last.State != controller.state {
		controller.shareChanged = now
		if !controller.continuesTrial(last) {
			controller.startStage(now)
		}
		controller.share, controller.state = last.Share, last.State
	}
	if cause, bad := controller.regression(); bad {
		return newStep(now, rsrc.StateRolledBack, 0, cause), true
	}
	switch last.State {
	case rsrc.StateScheduled:
		return controller.startCanary(now, input)
	case rsrc.StateWatching:
		return controller.finishWatch(now, input)
	default:
		if controller.timing.WholeService {
			return controller.advanceService(now, input)
		}
		return controller.advanceRamp(now, input)
	}
}

func newStep(now time.Time, state rsrc.State, share int, cause string) rsrc.Step {
	return rsrc.Step{State: state, Share: share, Cause: cause, At: now}
}

// regression reports whether the new version is worse than the old one, and describes
// how. For a whole service, the times are compared by their means: bets on single blocks
// reported good versions next to noisy neighbors.
func (controller *Controller) regression() (string, bool) {
	level := controller.allowedFalsePositiveRate()
	if !controller.timing.WholeService {
		return controller.evidence.RegressionAt(level)
	}
	if slowdown := controller.slowdown(); slowdown >= maxSlowdown {
		return slowerCause(slowdown), true
	}
	return controller.evidence.ErrorRegressionAt(level)
}

// startStage starts a new margin test and new bets.
func (controller *Controller) startStage(now time.Time) {
	controller.stageStarted = now
	if !controller.timing.WholeService {
		// The stages of a whole service are too short to clear it in each of them.
		controller.stageTest = &marginTest{margin: controller.criteria.Margin}
	}
	controller.callsBefore = controller.newTotal.Calls
	controller.totals.startStage()
	for class := range controller.byClass {
		controller.byClass[class].startStage()
	}
	controller.evidence.AddBets()
}

// update adds the counts to the evidence and to the margin test of the stage, and
// updates the averages of the call rate and the latency.
func (controller *Controller) update(now time.Time, input Input) {
	elapsed := now.Sub(controller.lastDecision).Seconds()
	controller.lastDecision = now
	calls := input.Before.Calls + input.After.Calls
	if elapsed > 0 {
		// Until the controller has run for rateWindow, the average covers the
		// time since its start.
		age := now.Sub(controller.started).Seconds()
		rate := float64(calls) / elapsed
		controller.callRate += (rate - controller.callRate) * min(1, elapsed/min(rateWindow.Seconds(), age))
		controller.recentRate += (rate - controller.recentRate) * min(1, elapsed/min(trialRateWindow.Seconds(), age))
	}
	controller.allCalls += calls
	controller.newTotal.Add(input.After)
	controller.updateCold(now, input)
	answers := input.Before
	answers.Add(input.After)
	if mean := answers.meanLatency(); mean > 0 {
		controller.latency += (mean - controller.latency) / 4
	}
	if calls == 0 {
		return
	}
	// The rate is read before Add, so that the test of this block does not
	// depend on the block itself.
	oldRate := controller.evidence.ErrorRate()
	if input.Before.Calls == 0 && controller.evidence.oldTotal.Calls == 0 {
		// There are no calls of the old version to compare with yet.
		return
	}
	cold := controller.cold(now)
	controller.evidence.Add(input.Before, input.After, cold)
	controller.totals.add(input.Before, input.After, cold)
	for class, counts := range input.ByClass {
		controller.byClass[class].add(counts.Before, counts.After, cold)
	}
	controller.stageTest.add(input.After.Errors, input.After.Calls, oldRate)
}

// The spans of the moving averages of the call rate.
const (
	rateWindow      = 10 * time.Second
	trialRateWindow = time.Second
)

// startCanary returns the step to StateCanary once the new version has targets.
func (controller *Controller) startCanary(now time.Time, input Input) (rsrc.Step, bool) {
	if !now.Before(input.Rollout.Deadline()) {
		return newStep(now, rsrc.StateFailed, 0, "the deadline passed before the new version had targets"), true
	}
	if input.Targets == 0 {
		return controller.warn(now, input, "the new version has no targets")
	}
	if now.Sub(controller.stageStarted) < controller.timing.Dwell {
		// The call rate of the old version is needed to choose the first share.
		return rsrc.Step{}, false
	}
	share := controller.firstShare()
	return newStep(now, rsrc.StateCanary, share, controller.canaryCause(now, input, share)), true
}

// firstShare returns the share of the canary step, in permille. It is limited so
// that the expected number of calls to the new version within the reaction time
// is at most MaxCallsAtRisk, but it is at least 1.
func (controller *Controller) firstShare() int {
	callsInReaction := controller.callRate * controller.timing.Reaction.Seconds()
	first := RouteCanaryShare
	if controller.timing.WholeService {
		first = serviceCanaryShare + controller.extraShare()
	}
	if callsInReaction*float64(first)/rsrc.FullShare <= MaxCallsAtRisk {
		return first
	}
	return max(1, int(MaxCallsAtRisk/callsInReaction*rsrc.FullShare))
}

// extraShare returns the share, in permille, that is added to the first share
// in the rollout of a whole service. It amounts to extraCalls calls until the
// decision, but is at most RouteCanaryShare. At a low call rate a larger share
// is needed to detect a version that fails only part of its calls.
func (controller *Controller) extraShare() int {
	decisionTime := controller.timing.TimeLimit - controller.timing.Trial - controller.timing.Watch - deadlineReserve - controller.timing.Dwell
	calls := controller.callRate * decisionTime.Seconds()
	if calls <= 0 {
		return 0
	}
	return min(RouteCanaryShare, int(extraCalls/calls*rsrc.FullShare))
}

// canaryCause returns the cause text of the canary step. The text compares the
// time needed to collect the evidence with the time left until the deadline.
func (controller *Controller) canaryCause(now time.Time, input Input, share int) string {
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

// TimeToFullShare estimates the time to go from the given share to all traffic
// at the current call rate. It returns false if there are no calls.
func (controller *Controller) TimeToFullShare(share int) (time.Duration, bool) {
	if controller.callRate <= 0 {
		return 0, false
	}
	trials := trialsToClear(controller.criteria.Margin, controller.criteria.Level, controller.evidence.ErrorRate())
	total := time.Duration(0)
	for _, next := range append([]int{share}, controller.ramp()...) {
		if next < share || next == rsrc.FullShare {
			continue
		}
		// Skips a share of the ramp that equals the given one.
		share = next + 1
		seconds := trials / (controller.callRate * float64(next) / rsrc.FullShare)
		total += max(controller.timing.Dwell, time.Duration(min(seconds, math.MaxInt32)*float64(time.Second)))
	}
	return total, true
}

func roundToSecond(duration time.Duration) time.Duration { return duration.Round(time.Second) }

// warn returns a step that keeps the state and the share and records why the
// rollout does not advance. It returns false if the last warning had the same
// cause.
func (controller *Controller) warn(now time.Time, input Input, cause string) (rsrc.Step, bool) {
	if controller.lastWarning == cause {
		return rsrc.Step{}, false
	}
	controller.lastWarning = cause
	last := input.Rollout.LatestStep()
	return newStep(now, last.State, last.Share, "the deadline cannot be met as it stands: "+cause), true
}

// advanceRamp returns the step to the next share once the new version is cleared
// at the current share and its targets can handle the next one. Near the deadline
// it returns the step to all traffic if mayCompleteUncleared allows it, and at the
// deadline the step to StateFailed.
func (controller *Controller) advanceRamp(now time.Time, input Input) (rsrc.Step, bool) {
	last := input.Rollout.LatestStep()
	overdue := !now.Before(input.Rollout.Deadline())
	dwellOver := now.Sub(controller.stageStarted) >= controller.timing.Dwell
	cleared := dwellOver && controller.stageTest.cleared(controller.criteria.Level)
	next := nextShare(controller.ramp(), last.Share)
	limit := controller.capacity(input)
	switch {
	case cleared && next <= limit:
		return controller.raiseShare(now, next, "cleared at "+formatShare(last.Share)), true
	// Without calls of the old version there is nothing to compare with.
	case controller.mayCompleteUncleared(now, input) && limit >= rsrc.FullShare && controller.evidence.oldTotal.Calls > 0:
		return controller.raiseShare(now, rsrc.FullShare, "the deadline is near and nothing bad was seen"), true
	case overdue:
		return newStep(now, rsrc.StateFailed, 0, "the deadline passed before the evidence was in"), true
	case cleared:
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

// mayCompleteUncleared reports whether the new version may get all traffic
// although it is not cleared: the policy allows it, and the time left until the
// deadline is needed for the last step.
func (controller *Controller) mayCompleteUncleared(now time.Time, input Input) bool {
	return controller.criteria.CompleteUncleared && !now.Before(input.Rollout.Deadline().Add(-controller.timing.Dwell))
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

// capacity returns the largest share, in permille, that the targets of the new
// version can handle. It is less than FullShare while there are fewer than
// MinTargets targets.
func (controller *Controller) capacity(input Input) int {
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

// finishWatch returns the step to StateFinished when the time to watch the new
// version is over.
func (controller *Controller) finishWatch(now time.Time, input Input) (rsrc.Step, bool) {
	watchStarted, span := input.Rollout.FullShareAt(), controller.timing.Watch
	if controller.timing.WholeService {
		// The time stored in the rollout comes from a clock that may jump, so the
		// watch is measured with the monotonic clock of this leader.
		watchStarted = controller.stageStarted
		span = controller.serviceWatch(input.Rollout.Deadline())
	}
	if now.Sub(watchStarted) < span {
		return rsrc.Step{}, false
	}
	if cause, suspected := controller.suspicion(finalSignificance); suspected && controller.timing.WholeService {
		return newStep(now, rsrc.StateRolledBack, 0, cause), true
	}
	return newStep(now, rsrc.StateFinished, rsrc.FullShare, "nothing bad was seen while watching"), true
}
