// Package canary makes the decisions on rollouts: whether the new version is
// worse than the old one, whether there is enough evidence to raise its share,
// and which step comes next.
//
// The package reads no clock and uses no sockets or goroutines.
package canary

import "math"

// sample holds the trials of both versions in one block, that is, in one
// interval of time.
type sample struct {
	oldTrials   int
	oldFailures int
	newTrials   int
	newFailures int
}

// add adds the calls of both versions in one interval.
func (sample *sample) add(oldCounts, newCounts Counts) {
	sample.oldTrials += oldCounts.Calls
	sample.oldFailures += oldCounts.Errors
	sample.newTrials += newCounts.Calls
	sample.newFailures += newCounts.Errors
}

// eProcess is a sequential test of the null hypothesis "the new version fails
// no more often than the old one". Its capital is a nonnegative supermartingale
// under that hypothesis, so the test may be evaluated after every block: the
// probability that the capital ever exceeds 1/a is at most a.
//
// The test places bets on several excess failure rates at once. Part of the
// capital is reserved for bets that start later, so that a long period without
// failures does not hide a version that becomes bad afterwards.
//
// The bet on one block is the safe test for two proportions by Turner, Ly and
// Grünwald (2021): the likelihood of the alternative, divided by the likelihood
// of the nearest pair of rates without an excess, in which both versions have
// the same pooled rate.
//
// Failures in one block may have a common cause that is unrelated to the
// version, such as a pause of one VM. The factor of each block is therefore
// capped. The cap can only lower the capital, so the capital is still a
// supermartingale and the bound on the probability still holds.
type eProcess struct {
	excesses []float64
	// maxLogFactor is the upper bound of the logarithm of one block's factor.
	maxLogFactor float64
	// logCapitals holds the logarithm of the capital of each bet. It has one
	// row per call of addBets and one column per excess.
	logCapitals [][]float64
	// failures and trials are those of the old version before the current
	// block. A bet must not depend on the block that it is placed on.
	failures float64
	trials   float64
}

const (
	// priorTrials and priorFailures keep an estimated rate above zero, and
	// maxRate keeps a rate below one.
	priorTrials   = 100
	priorFailures = 0.1
	maxRate       = 0.98
)

func newEProcess(maxLogFactor float64, excesses ...float64) *eProcess {
	eProcess := &eProcess{maxLogFactor: maxLogFactor, excesses: excesses}
	eProcess.addBets()
	return eProcess
}

// addBets adds a row of new bets, whose capital does not depend on earlier
// blocks. The existing bets continue.
func (eProcess *eProcess) addBets() {
	eProcess.logCapitals = append(eProcess.logCapitals, make([]float64, len(eProcess.excesses)))
}

// baseline returns the failure rate of the old version, estimated from the
// blocks so far.
func (eProcess *eProcess) baseline() float64 {
	return (eProcess.failures + priorFailures) / (eProcess.trials + priorTrials)
}

// updateBaseline adds trials of the old version to the estimate of its rate.
func (eProcess *eProcess) updateBaseline(failures, trials int) {
	eProcess.failures += float64(failures)
	eProcess.trials += float64(trials)
}

// add updates the capital with one block of trials of both versions.
func (eProcess *eProcess) add(block sample) {
	oldRate := eProcess.baseline()
	for i, excess := range eProcess.excesses {
		eProcess.addLogFactor(i, blockLogFactor(block, oldRate, min(maxRate, oldRate+excess)))
	}
	eProcess.updateBaseline(block.oldFailures, block.oldTrials)
}

// blockLogFactor returns the logarithm of the factor by which one block
// multiplies the capital of a bet.
func blockLogFactor(block sample, oldRate, newRate float64) float64 {
	trials := float64(block.oldTrials + block.newTrials)
	if block.newTrials == 0 || block.oldTrials == 0 {
		return 0
	}
	pooled := (float64(block.oldTrials)*oldRate + float64(block.newTrials)*newRate) / trials
	return logRatio(block.oldFailures, block.oldTrials, oldRate, pooled) +
		logRatio(block.newFailures, block.newTrials, newRate, pooled)
}

// addNewOnly updates the capital with a block that has no trials of the old
// version. It uses an upper bound of the old version's rate instead.
func (eProcess *eProcess) addNewOnly(failures, trials int) {
	bound := eProcess.upperBound()
	for i, excess := range eProcess.excesses {
		eProcess.addLogFactor(i, logRatio(failures, trials, min(maxRate, bound+excess), bound))
	}
}

// addLogFactor adds the logarithm of one block's factor, which is capped at
// maxLogFactor, to every bet on the excess with the given index.
func (eProcess *eProcess) addLogFactor(excessIndex int, logFactor float64) {
	for _, row := range eProcess.logCapitals {
		row[excessIndex] += min(logFactor, eProcess.maxLogFactor)
	}
}

// upperBoundSigmas is the distance between the estimate and the upper bound, in
// standard deviations.
const upperBoundSigmas = 3.7

// upperBound returns a rate that the true failure rate of the old version is
// very unlikely to exceed.
func (eProcess *eProcess) upperBound() float64 {
	count := eProcess.failures + 1
	return min(maxRate/2, (count+upperBoundSigmas*math.Sqrt(count))/(eProcess.trials+priorTrials))
}

// logRatio returns the logarithm of the likelihood ratio of the given failures
// among trials: the likelihood under rate, divided by that under otherRate.
func logRatio(failures, trials int, rate, otherRate float64) float64 {
	successes := float64(trials - failures)
	return float64(failures)*math.Log(rate/otherRate) + successes*math.Log((1-rate)/(1-otherRate))
}

// capital returns the total capital of all bets, which is the evidence against
// the new version. Each row of bets gets a smaller part of the initial capital
// than the row before it; all bets of one row get equal parts.
func (eProcess *eProcess) capital() float64 {
	total := 0.0
	for rowIndex, row := range eProcess.logCapitals {
		weight := rowWeight(rowIndex) / float64(len(row))
		for _, logCapital := range row {
			total += weight * math.Exp(min(logCapital, 700))
		}
	}
	return total
}

// rowWeight returns the part of the initial capital for a row of bets. The parts
// of infinitely many rows add up to one.
func rowWeight(rowIndex int) float64 {
	position := float64(rowIndex + 1)
	return 6 / (math.Pi * math.Pi * position * position)
}

// marginTest is a sequential non-inferiority test. Its null hypothesis is "the
// failure rate of the new version exceeds that of the old one by at least a
// margin". Rejecting it clears the new version at its current share.
type marginTest struct {
	margin             float64
	logLikelihoodRatio float64
}

// add updates the test with trials of the new version, given the estimated rate
// of the old one.
func (marginTest *marginTest) add(failures, trials int, oldRate float64) {
	rateLimit := min(maxRate, oldRate+marginTest.margin)
	marginTest.logLikelihoodRatio += logRatio(failures, trials, oldRate, rateLimit)
}

// cleared reports whether the new version is cleared, that is, whether the null
// hypothesis is rejected at the given significance level.
func (marginTest *marginTest) cleared(level float64) bool {
	return marginTest.logLikelihoodRatio >= math.Log(1/level)
}

// trialsToClear returns the expected number of trials until a marginTest clears
// the new version, if it has the failure rate of the old one.
func trialsToClear(margin, level, oldRate float64) float64 {
	rateLimit := min(maxRate, oldRate+margin)
	logFactorPerTrial := oldRate*math.Log(oldRate/rateLimit) + (1-oldRate)*math.Log((1-oldRate)/(1-rateLimit))
	return math.Log(1/level) / logFactorPerTrial
}
