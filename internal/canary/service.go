package canary

import (
	"fmt"
	"time"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

const (
	// serviceWatchShare is the share, in permille, while the new version of a whole
	// service is watched. The old version keeps the rest, so that both versions are
	// compared at the same time, also by a new leader, which knows no earlier calls.
	serviceWatchShare = 900
	// trialUtilizationPercent is the intended utilization of the slots of the targets
	// in the trial. It is above the utilization at which services run, whatever the
	// demand is at the moment. Calls that find no slot go to the other targets of the
	// version.
	trialUtilizationPercent = 100
	// maxTrialShare limits the share of the trial, in permille.
	maxTrialShare = 900
	// The share of the trial follows the demand if that has changed by more than
	// trialTolerancePercent, but not more often than nodes apply a share.
	trialTolerancePercent = 12
	trialAdjustInterval   = 500 * time.Millisecond
	// minTrial is the minimum duration of the trial: calls need some tenths of a
	// second to fill the slots, and their outcomes about as long to be reported.
	minTrial = 1600 * time.Millisecond
	// allowedExtraCalls is how many calls a bad version of a whole service may get in
	// addition to a tenth of all calls.
	allowedExtraCalls = 50
	// trialBudget is the fraction of the calls a bad version may get that are spent
	// at the end of the trial. The rest is for the time to detect a version that is
	// bad only with all traffic.
	trialBudget = 0.85
	// maxTrialCalls is the number of calls for each target in the trial beyond which more
	// calls tell little more.
	maxTrialCalls = 120
	// minTrialOutcomes is the number of outcomes of a trial with which a version that
	// fails a fifth of its calls is nearly always suspected.
	minTrialOutcomes = 25
	// pausedShare is the share, in permille, between the trial and the watch.
	pausedShare = 20
	// trialReaction is the time until the outcomes of the last calls of the trial are
	// reported: nodes apply a share within 0.5 s and report within 0.3 s.
	trialReaction = 900 * time.Millisecond
	// minServiceWatch is the planned minimum time for which a version with nearly all
	// traffic is watched. A failing version is expected to be detected within it. A new
	// leader near the deadline watches for less, but at least for shortestWatch.
	minServiceWatch = 1200 * time.Millisecond
	shortestWatch   = 600 * time.Millisecond
	// finalStepReserve is the time to commit the step to StateFinished and to
	// read it. A watch that starts late may use the rest of deadlineReserve.
	finalStepReserve = 300 * time.Millisecond
)

// The significance levels of the single tests of a whole service, and the slowdowns
// that correspond to them.
const (
	// watchSignificance is the level of the test before the watch. A version that
	// fails it stays in the trial, and has failed at the deadline if it does not pass.
	watchSignificance = 0.02
	// lastTrialSignificance is the level of the test when there is no time for another
	// trial. A version that fails it is rolled back.
	lastTrialSignificance = 0.004
	// finalSignificance is the level of the tests at the end of the pause and of the
	// watch. A version that fails them is rolled back.
	finalSignificance = 0.0005
	// maxSlowdown is the slowdown at which a version is rolled back at once. Noisy
	// neighbors slow down a target up to 2.5 times, and targets of the old version
	// 1.15 times on average, so that they alone cause less.
	maxSlowdown = 2.5
	// suspectSlowdown is the slowdown at which a version is not watched yet.
	suspectSlowdown = 2.1
)

// advanceService returns the next step of a whole service before its watch. The steps
// follow a plan backwards from the deadline, so that a version that becomes bad after
// some time has had few calls by then:
//
//   - in the canary, a small share goes to all targets of the new version, which
//     covers the time in which they are cold;
//   - in the trial, few targets get enough calls to be busy, so that a version that is
//     bad under load fails while it has a small share;
//   - in the pause after it, the outcomes of the trial are awaited at a low share;
//   - in the watch, the new version has nearly all traffic.
func (controller *Controller) advanceService(now time.Time, input Input) (rsrc.Step, bool) {
	last, deadline := input.Rollout.LatestStep(), input.Rollout.Deadline()
	watchDue := deadline.Add(-deadlineReserve - controller.timing.Watch)
	inStage := now.Sub(controller.shareChanged)
	isTrial := last.State == rsrc.StateRamping && last.Share != pausedShare
	isPause := last.State == rsrc.StateRamping && last.Share == pausedShare
	mustWatch := !now.Before(lastWatch(deadline))
	switch {
	case !now.Before(deadline):
		return newStep(now, rsrc.StateFailed, 0, "the deadline passed before the evidence was in"), true
	case input.Targets == 0:
		return controller.warn(now, input, "the new version has no targets")
	case last.State == rsrc.StateCanary && !mustWatch:
		return controller.startTrial(now, input, watchDue)
	case isTrial && !mustWatch:
		return controller.continueTrial(now, input)
	case !mustWatch && (!isPause || inStage < trialReaction || now.Before(watchDue)), !controller.compared():
		return rsrc.Step{}, false
	}
	level := finalSignificance
	if mustWatch {
		level = lastTrialSignificance
	}
	if cause, suspected := controller.suspicion(level); suspected {
		return newStep(now, rsrc.StateRolledBack, 0, cause), true
	}
	if cause, suspected := controller.suspicion(watchSignificance); suspected && !mustWatch {
		return controller.repeatTrial(now, input, cause)
	}
	if controller.trialEnds.IsZero() && controller.totals.stage.newTrials < minTrialOutcomes && !mustWatch {
		// This leader is new and does not know the outcomes of the trial.
		return controller.repeatTrial(now, input, "too few outcomes")
	}
	if !controller.criteria.CompleteUncleared && !controller.stageTest.cleared(controller.criteria.Level) {
		return rsrc.Step{}, false
	}
	return newStep(now, rsrc.StateWatching, serviceWatchShare, "the deadline is near and nothing bad was seen; "+controller.figures()), true
}

// lastWatch returns the latest time at which the watch starts.
func lastWatch(deadline time.Time) time.Time {
	return deadline.Add(-finalStepReserve - minServiceWatch)
}

// startTrial returns the step to the trial when it is due.
func (controller *Controller) startTrial(now time.Time, input Input, watchDue time.Time) (rsrc.Step, bool) {
	share, length := controller.planTrial(input)
	lastTrial := lastWatch(input.Rollout.Deadline()).Add(-trialReaction - minTrial)
	hasNewTargets := now.Sub(controller.grownAt) < controller.timing.Cold
	if now.Before(watchDue.Add(-length-trialReaction)) || hasNewTargets && now.Before(lastTrial) {
		return rsrc.Step{}, false
	}
	controller.trialEnds = now.Add(length)
	return newStep(now, rsrc.StateRamping, share, "trial of few targets at full load"), true
}

// continueTrial returns the step to the pause after the trial, or one to another share
// if the demand has changed.
func (controller *Controller) continueTrial(now time.Time, input Input) (rsrc.Step, bool) {
	if !now.Before(controller.trialEnds) {
		return newStep(now, rsrc.StateRamping, pausedShare, "waiting for the outcomes of the trial"), true
	}
	last := input.Rollout.LatestStep().Share
	share := controller.trialShare(input, max(trialAdjustInterval, controller.trialEnds.Sub(now)))
	// After a change of leader, reports that were held back look like a higher demand.
	share = min(2*last, max(share, last/2, pausedShare+1), maxTrialShare)
	changed := max(share, last)*100 > min(share, last)*(100+trialTolerancePercent)
	if !changed || now.Sub(controller.shareChanged) < trialAdjustInterval {
		return rsrc.Step{}, false
	}
	return newStep(now, rsrc.StateRamping, share, "trial continued at another demand"), true
}

// continuesTrial reports whether the last step only changed the share of a trial or ended
// it. The outcomes that arrive in the pause are those of the trial.
func (controller *Controller) continuesTrial(last rsrc.Step) bool {
	return controller.timing.WholeService && controller.state == rsrc.StateRamping && last.State == rsrc.StateRamping
}

// repeatTrial returns the step to another trial of a version that is suspected after
// the first one, if there is time for it.
func (controller *Controller) repeatTrial(now time.Time, input Input, cause string) (rsrc.Step, bool) {
	share, _ := controller.planTrial(input)
	end := now.Add(minTrial)
	if end.Add(trialReaction).After(lastWatch(input.Rollout.Deadline())) {
		return rsrc.Step{}, false
	}
	controller.trialEnds = end
	return newStep(now, rsrc.StateRamping, share, "another trial: "+cause), true
}

// minCompared is how long a new leader compares the versions at the share that it finds.
// A version that fails most of its calls is detected within this time.
const minCompared = 500 * time.Millisecond

// compared reports whether both versions have had calls since this controller started,
// for at least minCompared.
func (controller *Controller) compared() bool {
	return controller.totals.all.oldTrials > 0 && controller.totals.all.newTrials > 0 &&
		controller.lastDecision.Sub(controller.firstCall) >= minCompared
}

// cold reports whether the times of the new version are ignored, because its calls have
// just started or because it has more targets than before. A new leader that finds the
// trial or the watch need not wait, since they start later than that.
func (controller *Controller) cold(now time.Time) bool {
	return now.Sub(controller.coldSince) < controller.timing.Cold
}

// updateCold finds out since when targets of the new version may be cold.
func (controller *Controller) updateCold(now time.Time, input Input) {
	isLater := controller.timing.WholeService && input.Rollout.LatestStep().Share > 0 && input.Rollout.LatestStep().State != rsrc.StateCanary
	if input.After.Calls > 0 && controller.firstCall.IsZero() {
		controller.firstCall = now
		if !isLater {
			controller.coldSince = now
		}
	}
	if controller.timing.WholeService && input.Targets > controller.mostTargets && controller.mostTargets > 0 {
		controller.coldSince, controller.grownAt = now, now
	}
	controller.mostTargets = max(controller.mostTargets, input.Targets)
}

// suspicion reports whether a comparison of all calls so far, or of those of this stage,
// speaks against the new version at the given level, for all classes of calls together
// or for one of them. It complements the bets, which may be evaluated at any time and
// therefore need more failures.
func (controller *Controller) suspicion(level float64) (string, bool) {
	if slowdown := controller.slowdown(); slowdown >= suspectSlowdown {
		return slowerCause(slowdown), true
	}
	isSuspect := controller.totals.isSuspect(level)
	for class := range controller.byClass {
		isSuspect = isSuspect || controller.byClass[class].isSuspect(level/classLevelDivisor)
	}
	if isSuspect {
		return "fails more often than the old version; " + controller.figures(), true
	}
	return "", false
}

// figures describes the outcomes that this controller knows.
func (controller *Controller) figures() string {
	all := controller.totals.all
	return fmt.Sprintf("%d of %d calls failed, of the old version %d of %d, %.1f times slower", all.newFailures, all.newTrials, all.oldFailures, all.oldTrials, controller.slowdown())
}

// classLevelDivisor divides the level of a single test among the classes, so that they
// add few false alarms to those of the test of all calls.
const classLevelDivisor = 20

// slowdown returns how many times slower than the old version the new one is, for all
// classes of calls together or for one of them, whichever is more.
func (controller *Controller) slowdown() float64 {
	slowdown := controller.totals.slowdown()
	for class := range controller.byClass {
		slowdown = max(slowdown, controller.byClass[class].slowdown())
	}
	return slowdown
}

func slowerCause(slowdown float64) string {
	return fmt.Sprintf("%.1f times slower than the old version", slowdown)
}

// planTrial returns the share, in permille, and the duration of the trial. A trial that
// would give a bad version too many calls is shorter or, as the second choice, gets a
// lower share.
func (controller *Controller) planTrial(input Input) (int, time.Duration) {
	share, length := controller.fullLoadShare(input), controller.timing.Trial
	if callRate := controller.recentRate * float64(share) / rsrc.FullShare; callRate > 0 {
		affordable := time.Duration(controller.trialCallsLeft(input) / callRate * float64(time.Second))
		length = max(minTrial, min(length, affordable))
	}
	return controller.trialShare(input, length), length
}

// trialShare returns the share, in permille, for a trial of the given length.
func (controller *Controller) trialShare(input Input, length time.Duration) int {
	share := controller.fullLoadShare(input)
	if calls := controller.recentRate * length.Seconds(); calls > 0 {
		share = min(share, int(controller.trialCallsLeft(input)/calls*rsrc.FullShare))
	}
	return max(pausedShare+1, share)
}

// trialCallsLeft returns how many more calls the new version may get until the end of the
// trial. It counts calls that are not reported yet, which take longer if the version is slow, and expects the mean of the average
// and the recent call rate until the deadline.
func (controller *Controller) trialCallsLeft(input Input) float64 {
	untilDeadline := input.Rollout.Deadline().Sub(controller.lastDecision).Seconds()
	expected := float64(controller.allCalls) + (controller.callRate+controller.recentRate)/2*untilDeadline
	slowness := max(0, controller.totals.warm.new.meanLatency()-controller.evidence.oldTotal.meanLatency())
	unreportedTime := trialReaction + slowness
	unreported := controller.recentRate * float64(controller.share) / rsrc.FullShare * unreportedTime.Seconds()
	left := trialBudget*(expected/10+allowedExtraCalls) - float64(controller.newTotal.Calls) - unreported
	leftOfTrial := float64(maxTrialCalls * rsrc.TrialTargets(input.Targets))
	if controller.state == rsrc.StateRamping {
		leftOfTrial -= float64(controller.newTotal.Calls-controller.callsBefore) + unreported
	}
	return max(0, min(left, leftOfTrial))
}

// fullLoadShare returns the share, in permille, at which the targets in the trial are
// used to trialUtilizationPercent at the present demand.
func (controller *Controller) fullLoadShare(input Input) int {
	slots := float64(input.Slots) / float64(input.Targets) * float64(rsrc.TrialTargets(input.Targets))
	busySlots := controller.recentRate * controller.evidence.oldTotal.meanLatency().Seconds()
	if busySlots*maxTrialShare < slots*trialUtilizationPercent/100*rsrc.FullShare {
		return maxTrialShare
	}
	return max(pausedShare+1, int(slots*trialUtilizationPercent/100/busySlots*rsrc.FullShare))
}

// serviceWatch returns how long the new version of a whole service is watched.
// It is less than Timing.Watch if the new version got all traffic late, for
// example after a change of leader.
func (controller *Controller) serviceWatch(deadline time.Time) time.Duration {
	left := deadline.Sub(controller.stageStarted) - finalStepReserve
	return max(shortestWatch, min(controller.timing.Watch, left))
}
