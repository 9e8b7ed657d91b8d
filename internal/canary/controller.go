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

// Weight is what a policy asks of the evidence.
type Weight struct {
	// Margin is the excess error rate that a cleared version does not have.
	Margin float64
	// Level is the chance of clearing a version that has that excess.
	Level float64
	// Hurry lets a version that has not shown itself bad finish at the
	// deadline without being cleared.
	Hurry bool
}

// WeightOf returns a policy's weight.
func WeightOf(policy rsrc.Policy) Weight {
	switch policy {
	case rsrc.PolicyCompletion:
		return Weight{Margin: 0.03, Level: 0.05, Hurry: true}
	case rsrc.PolicyRollback:
		return Weight{Margin: 0.01, Level: 0.005}
	default:
		return Weight{Margin: 0.02, Level: 0.01}
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
	// Within is the time allowed for the rollout of a whole service.
	Within time.Duration
	// Whole is true when all calls of a service move and its old targets stop
	// at the end. Its operator has started new ones for all of the traffic, so
	// their number does not bound the share, and the share jumps in one step:
	// the calls of a small share decide.
	Whole bool
}

// Parts of the time allowed for the rollout of a whole service.
const (
	withinDwell = 14
	withinWatch = 6
	// reserve is kept between the last decision and the deadline: the operator
	// counts from the first try of the order, which may be accepted on a later
	// one.
	reserve = 1800 * time.Millisecond
	// coldStart is how long new targets are slow.
	coldStart = 3500 * time.Millisecond
)

// WithinTiming divides the time allowed for the rollout of a whole service.
func WithinTiming(within time.Duration) Timing {
	return Timing{
		Within:   within,
		Dwell:    within / withinDwell,
		Watch:    within / withinWatch,
		Cold:     coldStart,
		Reaction: time.Second,
		Ramp:     []int{wholeShare, rsrc.FullShare},
		Whole:    true,
	}
}

// wholeShare is the share, in permille, on which the rollout of a whole service
// is decided. It keeps the calls that a bad version gets under a tenth of all.
const wholeShare = 80

// spareCalls is half of the fifty calls that a bad version may get beyond a
// tenth; the others are for the time that it takes to be seen with all calls.
const spareCalls = 25.0

// DefaultTiming suits a fleet with a convergence time of some seconds.
func DefaultTiming() Timing {
	return Timing{Dwell: 6 * time.Second, Watch: 10 * time.Minute, Cold: 15 * time.Second, Reaction: 2 * time.Second}
}

// CallsAtRisk bounds the calls that a version may hurt within the reaction
// time before it is cleared.
const CallsAtRisk = 60

// alarm is the chance of calling a good version bad that a rollout accepts.
func (controller *Controller) alarm() float64 {
	switch {
	case controller.timing.Whole && controller.clearing == rsrc.StateWatching:
		return wholeSuspicion
	case controller.timing.Whole:
		return wholeAlarm
	default:
		return falseAlarm
	}
}

const (
	// wholeAlarm is above the usual chance: within seconds a bad version gets
	// more calls than it may while more evidence is awaited.
	wholeAlarm = 0.004
	// wholeSuspicion is the chance of evidence against a good version that
	// keeps it from all traffic without being cleared, or takes it back once it
	// has all traffic: a bad version hurts most then.
	wholeSuspicion = 0.04
)

// usualRamp lists the shares after clearance, in permille.
var usualRamp = []int{CanaryShare, 250, 500, rsrc.FullShare}

// ramp returns the shares after clearance.
func (controller *Controller) ramp() []int {
	if controller.timing.Ramp != nil {
		return controller.timing.Ramp
	}
	return usualRamp
}

// busyPercent is the largest use of the new version's slots that a step plans
// for.
const busyPercent = 80

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
	weight   Weight
	evidence *Evidence
	clear    *clearance
	clearing rsrc.State
	share    int
	// rate is the route's calls a second, a moving average.
	rate float64
	// latency is the mean time of an answer.
	latency   time.Duration
	started   time.Time
	last      time.Time
	stepped   time.Time
	firstCall time.Time
	warned    string
}

// New returns the controller of a rollout, from now on.
func New(policy rsrc.Policy, timing Timing, now time.Time) *Controller {
	weight := WeightOf(policy)
	return NewWeighted(weight, timing, now)
}

// NewWeighted returns a controller with a weight that is not one of the
// policies'.
func NewWeighted(weight Weight, timing Timing, now time.Time) *Controller {
	return &Controller{
		timing:   timing,
		weight:   weight,
		evidence: NewEvidence(),
		clear:    &clearance{margin: weight.Margin},
		started:  now,
		last:     now,
		stepped:  now,
	}
}

// Decide takes what happened since the last call and returns the next step,
// if there is one to take. The owner writes it to the log and calls again
// with the advanced rollout.
func (controller *Controller) Decide(now time.Time, input Input) (rsrc.Step, bool) {
	controller.learn(now, input)
	last := input.Rollout.Last()
	if last.State.Ended() {
		return rsrc.Step{}, false
	}
	if last.Share != controller.share || last.State != controller.clearing {
		controller.newStep(now, last)
	}
	if cause, bad := controller.evidence.BadAt(controller.alarm()); bad {
		return step(now, rsrc.StateRolledBack, 0, cause), true
	}
	switch last.State {
	case rsrc.StateScheduled:
		return controller.begin(now, input)
	case rsrc.StateWatching:
		return controller.watch(now, input)
	default:
		return controller.climb(now, input)
	}
}

func step(now time.Time, state rsrc.State, share int, cause string) rsrc.Step {
	return rsrc.Step{State: state, Share: share, Cause: cause, At: now}
}

func (controller *Controller) newStep(now time.Time, last rsrc.Step) {
	controller.share, controller.clearing = last.Share, last.State
	controller.stepped = now
	controller.clear = &clearance{margin: controller.weight.Margin}
	controller.evidence.Restart()
}

// learn updates evidence, rate and latency.
func (controller *Controller) learn(now time.Time, input Input) {
	elapsed := now.Sub(controller.last).Seconds()
	controller.last = now
	calls := input.Before.Calls + input.After.Calls
	if elapsed > 0 {
		// The average covers the time since the start until that is a window.
		span := min(rateWindow.Seconds(), now.Sub(controller.started).Seconds())
		weight := min(1, elapsed/span)
		controller.rate += (float64(calls)/elapsed - controller.rate) * weight
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
	controller.clear.add(input.After.Errors, input.After.Calls, oldRate)
}

// rateWindow is the span of the moving average of the call rate.
const rateWindow = 10 * time.Second

func meanLatency(before, after Counts) (time.Duration, bool) {
	total, answers := 0.0, 0
	bound := float64(distr.LatencyBase)
	for bucket := range distr.LatencyBuckets {
		count := before.Latency[bucket] + after.Latency[bucket]
		total += bound * float64(count)
		answers += count
		bound *= distr.LatencyGrowth
	}
	if answers == 0 {
		return 0, false
	}
	return time.Duration(total / float64(answers)), true
}

// begin starts the canary once the new version has targets.
func (controller *Controller) begin(now time.Time, input Input) (rsrc.Step, bool) {
	if !now.Before(input.Rollout.By()) {
		return step(now, rsrc.StateFailed, 0, "the deadline passed before the new version had targets"), true
	}
	if input.Targets == 0 {
		return controller.warn(now, input, "the new version has no targets")
	}
	if now.Sub(controller.stepped) < controller.timing.Dwell {
		// The old version's traffic is needed to choose the first share.
		return rsrc.Step{}, false
	}
	share := controller.firstShare()
	return step(now, rsrc.StateCanary, share, controller.plan(now, input, share)), true
}

// firstShare bounds the calls at risk within the reaction time.
func (controller *Controller) firstShare() int {
	perReaction := controller.rate * controller.timing.Reaction.Seconds()
	first := CanaryShare
	if controller.timing.Whole {
		first = wholeShare + controller.spareShare()
	}
	if perReaction*float64(first)/rsrc.FullShare <= CallsAtRisk {
		return first
	}
	return max(1, int(CallsAtRisk/perReaction*rsrc.FullShare))
}

// spareShare adds the spare calls to the first share of the rollout of a whole
// service, spread over the time until the decision. Where calls are few, more
// of them are needed to tell a version that fails some of them.
func (controller *Controller) spareShare() int {
	due := controller.timing.Within - controller.timing.Watch - reserve - controller.timing.Dwell
	calls := controller.rate * due.Seconds()
	if calls <= 0 {
		return 0
	}
	return min(CanaryShare, int(spareCalls/calls*rsrc.FullShare))
}

// plan says how the rollout is expected to go.
func (controller *Controller) plan(now time.Time, input Input, share int) string {
	needed, ok := controller.Needed(share)
	if !ok {
		return "started; the traffic is not known yet"
	}
	left := input.Rollout.By().Sub(now)
	if needed > left {
		return fmt.Sprintf("started; the deadline cannot be met: evidence needs %s, %s are left", round(needed), round(left))
	}
	return fmt.Sprintf("started; evidence needs %s, %s are left", round(needed), round(left))
}

// Needed estimates the time from a share to all traffic at the present rate,
// and false when there is no traffic to estimate from.
func (controller *Controller) Needed(share int) (time.Duration, bool) {
	if controller.rate <= 0 {
		return 0, false
	}
	trials := trialsToClear(controller.weight.Margin, controller.weight.Level, controller.evidence.ErrorRate())
	total := time.Duration(0)
	for _, next := range append([]int{share}, controller.ramp()...) {
		if next < share || next == rsrc.FullShare {
			continue
		}
		share = next + 1
		seconds := trials / (controller.rate * float64(next) / rsrc.FullShare)
		total += max(controller.timing.Dwell, time.Duration(min(seconds, math.MaxInt32)*float64(time.Second)))
	}
	return total, true
}

func round(duration time.Duration) time.Duration { return duration.Round(time.Second) }

// warn records once why a rollout does not go on.
func (controller *Controller) warn(now time.Time, input Input, cause string) (rsrc.Step, bool) {
	if controller.warned == cause {
		return rsrc.Step{}, false
	}
	controller.warned = cause
	last := input.Rollout.Last()
	return step(now, last.State, last.Share, "the deadline cannot be met as it stands: "+cause), true
}

// climb takes the next step of the ramp when the present one is cleared.
func (controller *Controller) climb(now time.Time, input Input) (rsrc.Step, bool) {
	last := input.Rollout.Last()
	overdue := !now.Before(input.Rollout.By())
	dwelt := now.Sub(controller.stepped) >= controller.timing.Dwell
	cleared := dwelt && controller.clear.cleared(controller.weight.Level)
	next := nextShare(controller.ramp(), last.Share)
	limit := controller.capacity(input)
	switch {
	case cleared && next <= limit:
		return controller.raise(now, next, "cleared at "+permille(last.Share)), true
	case controller.mustHurry(now, input) && limit >= rsrc.FullShare && controller.evidence.oldTotal.Calls > 0:
		return controller.raise(now, rsrc.FullShare, "the deadline is near and nothing bad was seen"), true
	case overdue:
		return step(now, rsrc.StateFailed, 0, "the deadline passed before the evidence was in"), true
	case cleared:
		return controller.warn(now, input, fmt.Sprintf("%d targets with %d slots carry at most %s", input.Targets, input.Slots, permille(limit)))
	default:
		return rsrc.Step{}, false
	}
}

func (controller *Controller) raise(now time.Time, share int, cause string) rsrc.Step {
	if share >= rsrc.FullShare {
		return step(now, rsrc.StateWatching, rsrc.FullShare, cause)
	}
	return step(now, rsrc.StateRamping, share, cause)
}

// mustHurry reports that only the time for one more step is left and the
// policy puts completion first.
func (controller *Controller) mustHurry(now time.Time, input Input) bool {
	ahead := controller.timing.Dwell
	if controller.timing.Whole {
		ahead = controller.timing.Watch + reserve
	}
	if controller.timing.Whole {
		if _, suspected := controller.evidence.BadAt(wholeSuspicion); suspected {
			return false
		}
	}
	return controller.weight.Hurry && !now.Before(input.Rollout.By().Add(-ahead))
}

func nextShare(ramp []int, share int) int {
	for _, next := range ramp {
		if next > share {
			return next
		}
	}
	return rsrc.FullShare
}

func permille(share int) string { return fmt.Sprintf("%.1f%%", float64(share)/10) }

// capacity is the largest share that the new version's targets can carry.
func (controller *Controller) capacity(input Input) int {
	if controller.timing.Whole && input.Targets > 0 {
		return rsrc.FullShare
	}
	busy := controller.rate * controller.latency.Seconds()
	limit := rsrc.FullShare
	if carried := float64(input.Slots) * busyPercent / 100; busy > carried {
		limit = int(carried / busy * rsrc.FullShare)
	}
	if input.Targets < input.MinTargets {
		limit = min(limit, rsrc.FullShare-1)
	}
	if input.Targets == 0 {
		limit = 0
	}
	return limit
}

// wholeWatch is how long the new version of a whole service is watched: less if
// the last step came late, as after a change of leaders.
func (controller *Controller) wholeWatch(by time.Time) time.Duration {
	left := by.Sub(controller.stepped) - lastMoment
	return max(leastWatch, min(controller.timing.Watch, left))
}

const (
	// leastWatch is the time from a failing version's first calls until they
	// show, with a large share.
	leastWatch = 1500 * time.Millisecond
	// lastMoment is the time for the last step to be agreed on and read.
	lastMoment = 300 * time.Millisecond
)

// watch ends the rollout when nothing bad was seen for long enough.
func (controller *Controller) watch(now time.Time, input Input) (rsrc.Step, bool) {
	since, span := input.Rollout.Finished(), controller.timing.Watch
	if controller.timing.Whole {
		// The steady clock of this leader; the order's own time may jump.
		since = controller.stepped
		span = controller.wholeWatch(input.Rollout.By())
	}
	if now.Sub(since) < span {
		return rsrc.Step{}, false
	}
	return step(now, rsrc.StateFinished, rsrc.FullShare, "nothing bad was seen while watching"), true
}
