// Package canary decides about rollouts: whether a new version is worse than
// the old one, whether it has shown itself good enough for a larger share,
// and which step comes next.
//
// The package has no clock, socket or goroutine.
package canary

import "math"

// sample is one block of trials of both versions in the same time.
type sample struct {
	oldTrials   int
	oldFailures int
	newTrials   int
	newFailures int
}

// eProcess is a sequential test of "the new version fails no more often than
// the old one". Its capital is a nonnegative martingale under that hypothesis,
// so that it may be looked at after every block: the chance that it ever
// exceeds 1/a is at most a. It bets on several excesses at once, and a part of
// the capital is kept for bets that start later, so that a long good time does
// not hide a version that turns bad.
//
// The bet on one block is the safe test for two proportions of Turner, Ly and
// Grünwald (2021): the likelihood of the bet over that of the nearest pair of
// rates with no excess.
//
// Failures of one block may share a cause that has nothing to do with the
// version, such as a pause of one VM. Each block's gain is therefore bounded;
// a bounded bet is still a supermartingale, so the chance above still holds.
type eProcess struct {
	excesses []float64
	// maxLogFactor bounds the logarithm of one block's factor.
	maxLogFactor float64
	// logCapitals holds the logarithm of each running bet's capital, one row for
	// each start.
	logCapitals [][]float64
	// failures and trials of the old version before the present block; the
	// bets use nothing of the block itself.
	failures float64
	trials   float64
}

const (
	// priorTrials and priorFailures keep the estimate of a rate away from zero.
	priorTrials   = 100
	priorFailures = 0.1
	maxRate       = 0.98
)

func newEProcess(maxLogFactor float64, excesses ...float64) *eProcess {
	eProcess := &eProcess{maxLogFactor: maxLogFactor, excesses: excesses}
	eProcess.restart()
	return eProcess
}

// restart adds bets that know nothing of the past.
func (eProcess *eProcess) restart() {
	eProcess.logCapitals = append(eProcess.logCapitals, make([]float64, len(eProcess.excesses)))
}

// baseline returns the old version's rate as estimated before this block.
func (eProcess *eProcess) baseline() float64 {
	return (eProcess.failures + priorFailures) / (eProcess.trials + priorTrials)
}

// updateBaseline adds trials of the old version to the estimate.
func (eProcess *eProcess) updateBaseline(failures, trials int) {
	eProcess.failures += float64(failures)
	eProcess.trials += float64(trials)
}

// add bets on one block.
func (eProcess *eProcess) add(block sample) {
	oldRate := eProcess.baseline()
	for i, excess := range eProcess.excesses {
		eProcess.addLogFactor(i, blockLogFactor(block, oldRate, min(maxRate, oldRate+excess)))
	}
	eProcess.updateBaseline(block.oldFailures, block.oldTrials)
}

// blockLogFactor is the logarithm of a bet's factor for one block.
func blockLogFactor(block sample, oldRate, newRate float64) float64 {
	trials := float64(block.oldTrials + block.newTrials)
	if block.newTrials == 0 || block.oldTrials == 0 {
		return 0
	}
	pooled := (float64(block.oldTrials)*oldRate + float64(block.newTrials)*newRate) / trials
	return logRatio(block.oldFailures, block.oldTrials, oldRate, pooled) +
		logRatio(block.newFailures, block.newTrials, newRate, pooled)
}

// addNewOnly bets on a block without the old version, against an upper bound of
// the old version's rate.
func (eProcess *eProcess) addNewOnly(failures, trials int) {
	bound := eProcess.upperBound()
	for i, excess := range eProcess.excesses {
		eProcess.addLogFactor(i, logRatio(failures, trials, min(maxRate, bound+excess), bound))
	}
}

// addLogFactor adds one block's growth to every running bet on an excess.
func (eProcess *eProcess) addLogFactor(excess int, logFactor float64) {
	for _, row := range eProcess.logCapitals {
		row[excess] += min(logFactor, eProcess.maxLogFactor)
	}
}

// upperBoundSigmas is how far above the estimate the upper bound lies.
const upperBoundSigmas = 3.7

// upperBound is a rate that the old version's true rate is very unlikely to
// exceed.
func (eProcess *eProcess) upperBound() float64 {
	count := eProcess.failures + 1
	return min(maxRate/2, (count+upperBoundSigmas*math.Sqrt(count))/(eProcess.trials+priorTrials))
}

// logRatio is the logarithm of the likelihood of failures among trials under
// one rate over that under another.
func logRatio(failures, trials int, rate, otherRate float64) float64 {
	successes := float64(trials - failures)
	return float64(failures)*math.Log(rate/otherRate) + successes*math.Log((1-rate)/(1-otherRate))
}

// capital is the evidence so far: starts share the capital in falling parts,
// the excesses of one start share its part evenly.
func (eProcess *eProcess) capital() float64 {
	total := 0.0
	for restart, row := range eProcess.logCapitals {
		weight := restartWeight(restart) / float64(len(row))
		for _, logCapital := range row {
			total += weight * math.Exp(min(logCapital, 700))
		}
	}
	return total
}

// restartWeight sums to one over all starts.
func restartWeight(restart int) float64 {
	position := float64(restart + 1)
	return 6 / (math.Pi * math.Pi * position * position)
}

// marginTest is a sequential test of "the new version fails more often than the
// old one by at least a margin"; it clears a version of one step.
type marginTest struct {
	margin             float64
	logLikelihoodRatio float64
}

// add bets on trials of the new version, given the old one's estimated rate.
func (marginTest *marginTest) add(failures, trials int, oldRate float64) {
	rateLimit := min(maxRate, oldRate+marginTest.margin)
	marginTest.logLikelihoodRatio += logRatio(failures, trials, oldRate, rateLimit)
}

// passed reports whether the hypothesis is rejected at the given level.
func (marginTest *marginTest) passed(level float64) bool {
	return marginTest.logLikelihoodRatio >= math.Log(1/level)
}

// trialsToPass is how many good trials a clearance needs at an old rate.
func trialsToPass(margin, level, oldRate float64) float64 {
	rateLimit := min(maxRate, oldRate+margin)
	logFactorPerTrial := oldRate*math.Log(oldRate/rateLimit) + (1-oldRate)*math.Log((1-oldRate)/(1-rateLimit))
	return math.Log(1/level) / logFactorPerTrial
}
