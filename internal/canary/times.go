package canary

import (
	"math"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/distr"
)

// times compares the times of the answers of both versions by their geometric means.
// Classes of calls that differ in their times widen the distribution of both versions
// alike, and a few slow answers change a geometric mean little.
type times struct {
	old Counts
	new Counts
}

// minComparedAnswers is the number of answers of each version that ratio needs. At the
// share of a trial, a service of 3 targets gets them in more time than a noisy neighbor
// slows down a target.
const minComparedAnswers = 40

func (times *times) add(oldCounts, newCounts Counts) {
	times.old.Add(oldCounts)
	times.new.Add(newCounts)
}

// ratio returns the geometric mean of the new version's times, divided by that of the
// old one, or one if there are too few answers.
func (times *times) ratio() float64 {
	if times.old.successes() < minComparedAnswers || times.new.successes() < minComparedAnswers {
		return 1
	}
	return math.Exp(times.new.meanLog() - times.old.meanLog())
}

// timeOffset is added to each time, so that differences of a few milliseconds count little:
// targets of the trial may be in another zone, and nodes on a busy machine wait for the
// processor.
const timeOffset = 10 * time.Millisecond

// meanLog returns the mean logarithm of the times of the answers without error, each with
// timeOffset added to the geometric middle of its bucket.
func (counts Counts) meanLog() float64 {
	sum, middle := 0.0, float64(distr.LatencyBase)/math.Sqrt(distr.LatencyGrowth)
	for _, count := range counts.Latency {
		sum += float64(count) * math.Log(middle+float64(timeOffset))
		middle *= distr.LatencyGrowth
	}
	return sum / float64(max(1, counts.successes()))
}
