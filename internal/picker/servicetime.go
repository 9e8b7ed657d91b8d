package picker

import "time"

// serviceTimeDecay is the number of calls over which mean service times are
// smoothed: the newest one has a weight of 1/serviceTimeDecay.
const serviceTimeDecay = 32

// maxClasses limits the classes of a service whose service times are kept. Routes
// come and go, and their names are not used again.
const maxClasses = 1024

// serviceTimes holds the mean service time of all calls to a service and of each
// class, in seconds.
type serviceTimes struct {
	mean    float64
	byClass map[string]float64
}

// RecordServiceTime records how long a call of a class took that did not wait for
// its target.
func (picker *Picker) RecordServiceTime(service, class string, duration time.Duration) {
	times := picker.serviceTimes[service]
	if times == nil {
		times = &serviceTimes{byClass: map[string]float64{}}
		picker.serviceTimes[service] = times
	}
	if len(times.byClass) >= maxClasses {
		clear(times.byClass)
	}
	times.mean = smooth(times.mean, duration.Seconds())
	times.byClass[class] = smooth(times.byClass[class], duration.Seconds())
}

func smooth(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + (sample-mean)/serviceTimeDecay
}

// relativeTime returns the mean service time of the call's class as a multiple of
// the mean of all calls to its service; 1 if unknown. Targets whose scarce resource
// is the rate should get long calls, and those whose scarce resource is the slots
// short ones: a call takes as much of a rate limit whatever its length.
func (picker *Picker) relativeTime(criteria Criteria) float64 {
	times := picker.serviceTimes[criteria.Service]
	if times == nil || times.byClass[criteria.Class] == 0 || times.mean == 0 {
		return 1
	}
	return times.byClass[criteria.Class] / times.mean
}

// scarceSlotsPercent is the load in percent from which on the slots of the targets
// without a rate limit are kept for the calls that suit them.
const scarceSlotsPercent = 50

// areSlotsScarce reports whether the targets that are not bound by a rate limit use
// at least scarceSlotsPercent of their slots.
func areSlotsScarce(now time.Time, candidates []*targetState) bool {
	load, slots := 0, 0
	for _, state := range candidates {
		if !state.isRateBound(now) {
			load += state.estimatedLoad(now)
			slots += state.target.Slots
		}
	}
	return 100*load >= scarceSlotsPercent*slots
}

// isRateBound reports whether the rate limit of the target, not its slots, limits
// how many calls it runs.
func (state *targetState) isRateBound(now time.Time) bool {
	_, limited := state.rate(now)
	return limited && state.capacity(now) < float64(state.target.Slots)
}
