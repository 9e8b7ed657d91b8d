package canary

import "math"

// minSuspectFailures is the number of failures of the new version below which
// failsMoreOften returns false, since one failure may have any cause.
const minSuspectFailures = 2

// failsMoreOften reports whether the new version fails more often than the old
// one, by Fisher's exact test at the given significance level. Unlike the capital
// of an eProcess, the level holds only for one evaluation, at a time that does not
// depend on the data. In return the test needs fewer failures.
func (sample *sample) failsMoreOften(level float64) bool {
	if sample.newFailures < minSuspectFailures {
		return false
	}
	trials, failures := sample.oldTrials+sample.newTrials, sample.oldFailures+sample.newFailures
	pValue := 0.0
	for count := sample.newFailures; count <= min(failures, sample.newTrials); count++ {
		pValue += math.Exp(logChoose(sample.newTrials, count) + logChoose(sample.oldTrials, failures-count) - logChoose(trials, failures))
	}
	return pValue <= level
}

// logChoose returns the logarithm of the number of ways to choose k of n items,
// or minus infinity if there are none.
func logChoose(n, k int) float64 {
	if k < 0 || k > n {
		return math.Inf(-1)
	}
	all, _ := math.Lgamma(float64(n + 1))
	chosen, _ := math.Lgamma(float64(k + 1))
	rest, _ := math.Lgamma(float64(n - k + 1))
	return all - chosen - rest
}
