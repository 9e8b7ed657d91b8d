package canary

// comparison compares the outcomes of calls to both versions by single tests.
type comparison struct {
	// all holds the calls and failures since the start. stage holds those of the old
	// version since the start and of the new one in the current stage.
	all   sample
	stage sample
	// warm compares the times of the answers of warm targets since the start, and
	// stageTimes those of the current stage.
	warm       times
	stageTimes times
}

// add adds the calls of one interval. If cold is set, their times are ignored.
func (comparison *comparison) add(oldCounts, newCounts Counts, cold bool) {
	comparison.all.add(oldCounts, newCounts)
	comparison.stage.add(oldCounts, newCounts)
	if !cold {
		comparison.warm.add(oldCounts, newCounts)
		comparison.stageTimes.add(oldCounts, newCounts)
	}
}

// startStage starts a new comparison of the calls of a stage.
func (comparison *comparison) startStage() {
	comparison.stage.newTrials, comparison.stage.newFailures = 0, 0
	comparison.stageTimes = times{}
}

// slowdown returns how many times slower than the old version the new one is, since the
// start or in the current stage, whichever is more.
func (comparison *comparison) slowdown() float64 {
	return max(comparison.warm.ratio(), comparison.stageTimes.ratio())
}

// isSuspect reports whether the new version fails more often than the old one, since the
// start or in the current stage.
func (comparison *comparison) isSuspect(level float64) bool {
	return comparison.all.isSuspect(level) || comparison.stage.isSuspect(level)
}

// minSuspectExcess is the failure rate in excess of the old version's below which a single
// test does not speak against a version. With a thousand calls, a good version fails
// the test at a difference of half a percent.
const minSuspectExcess = 0.01

// isSuspect reports whether the new version fails more often than the old one, at the
// given level and by at least minSuspectExcess.
func (sample *sample) isSuspect(level float64) bool {
	newRate := float64(sample.newFailures) / float64(max(1, sample.newTrials))
	oldRate := float64(sample.oldFailures) / float64(max(1, sample.oldTrials))
	return newRate-oldRate >= minSuspectExcess && sample.failsMoreOften(level)
}
