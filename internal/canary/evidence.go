package canary

import (
	"fmt"
	"math"

	"github.com/vanillapulley/vanillapulley/internal/distr"
)

// Counts are outcomes of one version in one block of time.
type Counts struct {
	Calls  int
	Errors int
	// Latency counts the answers without error by latency class.
	Latency [distr.LatencyBuckets]int
}

// Add merges other counts.
func (counts *Counts) Add(other Counts) {
	counts.Calls += other.Calls
	counts.Errors += other.Errors
	for i, count := range other.Latency {
		counts.Latency[i] += count
	}
}

// answered returns the number of answers without error.
func (counts Counts) answered() int { return counts.Calls - counts.Errors }

// slowerThan returns the number of answers above a latency class.
func (counts Counts) slowerThan(bucket int) int {
	slow := 0
	for _, count := range counts.Latency[bucket+1:] {
		slow += count
	}
	return slow
}

// falsePositiveRate is the chance that a version that is no worse than the old one
// is ever called bad, shared evenly by errors and slow answers.
const falsePositiveRate = 0.001

// slowFraction is the part of the old version's answers that count as slow.
const slowFraction = 0.05

// blocksPerRestart is after how many blocks new bets start.
const blocksPerRestart = 30

// Evidence compares two versions side by side.
type Evidence struct {
	errors *eProcess
	slow   *eProcess
	// oldTotal holds all counts of the old version.
	oldTotal Counts
	blocks   int
}

// NewEvidence returns evidence without any calls.
func NewEvidence() *Evidence {
	return &Evidence{
		errors: newEProcess(maxErrorLogFactor, 0.01, 0.04, 0.15, 0.5, 0.9),
		slow:   newEProcess(maxSlowLogFactor, 0.08, 0.25, 0.6, 0.9),
	}
}

// The bounds of one block's gain: errors need three blocks at least, slow
// answers, which come in bursts more easily, eight.
var (
	maxErrorLogFactor = math.Log(50)
	maxSlowLogFactor  = math.Log(4)
)

// slowToleranceBuckets is how many latency classes above the old version's slow
// answers the new one's begin; targets of one version differ that much.
const slowToleranceBuckets = 2

// slowBound returns the highest latency class that is not slow, and false
// while the old version has too few answers to say.
func (evidence *Evidence) slowBound() (int, bool) {
	total := evidence.oldTotal.answered()
	if total < minBaselineAnswers {
		return 0, false
	}
	for bucket := range distr.LatencyBuckets - 1 {
		if float64(evidence.oldTotal.slowerThan(bucket)) <= slowFraction*float64(total) {
			return min(bucket+slowToleranceBuckets, distr.LatencyBuckets-1), true
		}
	}
	return 0, false
}

// minBaselineAnswers is how many answers of the old version the slow bound needs.
const minBaselineAnswers = 40

// Add takes one block. Without calls of the old version the new one is
// compared with what the old one did before. The latency of a cold version
// does not count.
func (evidence *Evidence) Add(oldCounts, newCounts Counts, cold bool) {
	evidence.blocks++
	if evidence.blocks%blocksPerRestart == 0 {
		evidence.Restart()
	}
	newOnly := oldCounts.Calls == 0
	if newOnly {
		evidence.errors.addNewOnly(newCounts.Errors, newCounts.Calls)
	} else {
		evidence.errors.add(sample{oldCounts.Calls, oldCounts.Errors, newCounts.Calls, newCounts.Errors})
	}
	if bound, ok := evidence.slowBound(); ok {
		evidence.addSlow(oldCounts, newCounts, bound, newOnly, cold)
	}
	evidence.oldTotal.Add(oldCounts)
}

func (evidence *Evidence) addSlow(oldCounts, newCounts Counts, bound int, newOnly, cold bool) {
	switch {
	case cold:
		evidence.slow.updateBaseline(oldCounts.slowerThan(bound), oldCounts.answered())
	case newOnly:
		evidence.slow.addNewOnly(newCounts.slowerThan(bound), newCounts.answered())
	default:
		evidence.slow.add(sample{oldCounts.answered(), oldCounts.slowerThan(bound), newCounts.answered(), newCounts.slowerThan(bound)})
	}
}

// Restart adds bets that know nothing of the past, as after each step.
func (evidence *Evidence) Restart() {
	evidence.errors.restart()
	evidence.slow.restart()
}

// Regression reports whether the new version is worse, and how, with the usual chance
// of a false alarm.
func (evidence *Evidence) Regression() (string, bool) {
	return evidence.RegressionAt(falsePositiveRate)
}

// RegressionAt reports whether the new version is worse, and how, with a chance of at
// most level that this is ever said of one that is not.
func (evidence *Evidence) RegressionAt(level float64) (string, bool) {
	threshold := 2 / level
	if capital := evidence.errors.capital(); capital >= threshold {
		return fmt.Sprintf("more errors than the old version (evidence %.0f to 1)", min(capital, 1e9)), true
	}
	if capital := evidence.slow.capital(); capital >= threshold {
		return fmt.Sprintf("slower than the old version (evidence %.0f to 1)", min(capital, 1e9)), true
	}
	return "", false
}

// ErrorRate returns the old version's estimated error rate.
func (evidence *Evidence) ErrorRate() float64 { return evidence.errors.baseline() }
