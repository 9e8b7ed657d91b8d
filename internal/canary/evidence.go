package canary

import (
	"fmt"
	"math"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/distr"
)

// Counts holds the outcomes of the calls to one version in one interval of time.
type Counts struct {
	Calls  int
	Errors int
	// Latency holds the number of answers without error in each latency bucket.
	Latency [distr.LatencyBuckets]int
}

// Add adds other to counts.
func (counts *Counts) Add(other Counts) {
	counts.Calls += other.Calls
	counts.Errors += other.Errors
	for i, count := range other.Latency {
		counts.Latency[i] += count
	}
}

// successes returns the number of answers without error.
func (counts Counts) successes() int { return counts.Calls - counts.Errors }

// slowerThan returns the number of answers in the latency buckets above the
// given one.
func (counts Counts) slowerThan(bucket int) int {
	slow := 0
	for _, count := range counts.Latency[bucket+1:] {
		slow += count
	}
	return slow
}

// meanLatency returns the mean latency of all answers without error, or zero if there
// are none. Each answer counts with the geometric middle of its bucket.
func (counts Counts) meanLatency() time.Duration {
	total, answers, bound := 0.0, 0, float64(distr.LatencyBase)/math.Sqrt(distr.LatencyGrowth)
	for _, count := range counts.Latency {
		total += bound * float64(count)
		answers += count
		bound *= distr.LatencyGrowth
	}
	if answers == 0 {
		return 0
	}
	return time.Duration(total / float64(answers))
}

// falsePositiveRate is the largest probability that a version that is no worse
// than the old one is ever reported as worse. Half of it is for errors and half
// for slow answers.
const falsePositiveRate = 0.001

// slowFraction is the largest fraction of the old version's answers that count
// as slow, before slowToleranceBuckets is added to the bound.
const slowFraction = 0.05

// blocksPerBetRow is the number of blocks after which a row of bets is added.
const blocksPerBetRow = 30

// Evidence compares the error rates and latencies of two versions.
type Evidence struct {
	errors *eProcess
	slow   *eProcess
	// oldTotal is the sum of all counts of the old version.
	oldTotal Counts
	blocks   int
}

// NewEvidence returns an Evidence that contains no calls.
func NewEvidence() *Evidence {
	return &Evidence{
		errors: newEProcess(maxErrorLogFactor, 0.01, 0.04, 0.15, 0.5, 0.9),
		slow:   newEProcess(maxSlowLogFactor, 0.08, 0.25, 0.6, 0.9),
	}
}

// The upper bounds of one block's factor. From its initial value, the capital
// needs at least two blocks with errors, or six blocks with slow answers, to reach
// the threshold of falsePositiveRate. More blocks are needed for slow answers
// because they occur in bursts more often.
var (
	maxErrorLogFactor = math.Log(50)
	maxSlowLogFactor  = math.Log(4)
)

// slowToleranceBuckets is added to the bucket above which the old version's
// answers count as slow, because the latencies of targets of the same version
// differ by up to that many buckets.
const slowToleranceBuckets = 2

// slowBound returns the highest latency bucket that does not count as slow, or
// false if the old version has too few answers to determine it.
func (evidence *Evidence) slowBound() (int, bool) {
	total := evidence.oldTotal.successes()
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

// minBaselineAnswers is the number of answers of the old version that slowBound
// needs.
const minBaselineAnswers = 40

// Add adds the counts of both versions in one block. If the block has no calls
// to the old version, the new one is compared with earlier blocks of the old
// one. If cold is set, the latency of the new version is ignored.
func (evidence *Evidence) Add(oldCounts, newCounts Counts, cold bool) {
	evidence.blocks++
	if evidence.blocks%blocksPerBetRow == 0 {
		evidence.AddBets()
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
		evidence.slow.updateBaseline(oldCounts.slowerThan(bound), oldCounts.successes())
	case newOnly:
		evidence.slow.addNewOnly(newCounts.slowerThan(bound), newCounts.successes())
	default:
		evidence.slow.add(sample{oldCounts.successes(), oldCounts.slowerThan(bound), newCounts.successes(), newCounts.slowerThan(bound)})
	}
}

// AddBets adds bets whose capital does not depend on earlier blocks. It is called
// at the start of each stage of a rollout and every blocksPerBetRow blocks.
func (evidence *Evidence) AddBets() {
	evidence.errors.addBets()
	evidence.slow.addBets()
}

// Regression reports whether the new version is worse than the old one, and
// describes how, with the default false positive rate.
func (evidence *Evidence) Regression() (string, bool) {
	return evidence.RegressionAt(falsePositiveRate)
}

// RegressionAt reports whether the new version is worse than the old one, and
// describes how. The probability that it ever reports a version that is not
// worse is at most level.
func (evidence *Evidence) RegressionAt(level float64) (string, bool) {
	if cause, bad := evidence.ErrorRegressionAt(level); bad {
		return cause, true
	}
	if capital := evidence.slow.capital(); capital >= 2/level {
		return fmt.Sprintf("slower than the old version (evidence %.0f to 1)", min(capital, 1e9)), true
	}
	return "", false
}

// ErrorRegressionAt is RegressionAt for errors only. Each of the two tests of
// RegressionAt gets half of level.
func (evidence *Evidence) ErrorRegressionAt(level float64) (string, bool) {
	if capital := evidence.errors.capital(); capital >= 2/level {
		return fmt.Sprintf("more errors than the old version (evidence %.0f to 1)", min(capital, 1e9)), true
	}
	return "", false
}

// ErrorRate returns the estimated error rate of the old version.
func (evidence *Evidence) ErrorRate() float64 { return evidence.errors.baseline() }
