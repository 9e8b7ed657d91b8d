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

// process is a sequential test of "the new version fails no more often than
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
type process struct {
	excesses []float64
	// maxGain bounds the logarithm of one block's factor.
	maxGain float64
	// logs holds the logarithm of each running bet's capital, one row for
	// each start.
	logs [][]float64
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

func newProcess(maxGain float64, excesses ...float64) *process {
	process := &process{maxGain: maxGain, excesses: excesses}
	process.restart()
	return process
}

// restart adds bets that know nothing of the past.
func (process *process) restart() {
	process.logs = append(process.logs, make([]float64, len(process.excesses)))
}

// baseline returns the old version's rate as estimated before this block.
func (process *process) baseline() float64 {
	return (process.failures + priorFailures) / (process.trials + priorTrials)
}

// learn adds trials of the old version to the estimate.
func (process *process) learn(failures, trials int) {
	process.failures += float64(failures)
	process.trials += float64(trials)
}

// add bets on one block.
func (process *process) add(block sample) {
	oldRate := process.baseline()
	for i, excess := range process.excesses {
		process.grow(i, blockGrowth(block, oldRate, min(maxRate, oldRate+excess)))
	}
	process.learn(block.oldFailures, block.oldTrials)
}

// blockGrowth is the logarithm of a bet's factor for one block.
func blockGrowth(block sample, oldRate, newRate float64) float64 {
	trials := float64(block.oldTrials + block.newTrials)
	if block.newTrials == 0 || block.oldTrials == 0 {
		return 0
	}
	pooled := (float64(block.oldTrials)*oldRate + float64(block.newTrials)*newRate) / trials
	return logRatio(block.oldFailures, block.oldTrials, oldRate, pooled) +
		logRatio(block.newFailures, block.newTrials, newRate, pooled)
}

// addAlone bets on a block without the old version, against an upper bound of
// the old version's rate.
func (process *process) addAlone(failures, trials int) {
	bound := process.upperBound()
	for i, excess := range process.excesses {
		process.grow(i, logRatio(failures, trials, min(maxRate, bound+excess), bound))
	}
}

// grow adds one block's growth to every running bet on an excess.
func (process *process) grow(excess int, growth float64) {
	for _, row := range process.logs {
		row[excess] += min(growth, process.maxGain)
	}
}

// boundSigmas is how far above the estimate the upper bound lies.
const boundSigmas = 3.7

// upperBound is a rate that the old version's true rate is very unlikely to
// exceed.
func (process *process) upperBound() float64 {
	count := process.failures + 1
	return min(maxRate/2, (count+boundSigmas*math.Sqrt(count))/(process.trials+priorTrials))
}

// logRatio is the logarithm of the likelihood of failures among trials under
// one rate over that under another.
func logRatio(failures, trials int, rate, other float64) float64 {
	good := float64(trials - failures)
	return float64(failures)*math.Log(rate/other) + good*math.Log((1-rate)/(1-other))
}

// capital is the evidence so far: starts share the capital in falling parts,
// the excesses of one start share its part evenly.
func (process *process) capital() float64 {
	total := 0.0
	for start, row := range process.logs {
		part := startWeight(start) / float64(len(row))
		for _, log := range row {
			total += part * math.Exp(min(log, 700))
		}
	}
	return total
}

// startWeight sums to one over all starts.
func startWeight(start int) float64 {
	k := float64(start + 1)
	return 6 / (math.Pi * math.Pi * k * k)
}

// clearance is a sequential test of "the new version fails more often than the
// old one by at least a margin"; it clears a version of one step.
type clearance struct {
	margin float64
	log    float64
}

// add bets on trials of the new version, given the old one's estimated rate.
func (clearance *clearance) add(failures, trials int, oldRate float64) {
	limit := min(maxRate, oldRate+clearance.margin)
	clearance.log += logRatio(failures, trials, oldRate, limit)
}

// cleared reports whether the hypothesis is rejected at the given level.
func (clearance *clearance) cleared(level float64) bool {
	return clearance.log >= math.Log(1/level)
}

// trialsToClear is how many good trials a clearance needs at an old rate.
func trialsToClear(margin, level, oldRate float64) float64 {
	limit := min(maxRate, oldRate+margin)
	gain := oldRate*math.Log(oldRate/limit) + (1-oldRate)*math.Log((1-oldRate)/(1-limit))
	return math.Log(1/level) / gain
}
