package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is the kind of a fault.
type kind string

// The kinds of faults.
const (
	// faultKill kills a process with SIGKILL and restarts it.
	faultKill kind = "kill"
	// faultTorn is faultKill with a torn write at the end of the replica's log.
	faultTorn kind = "torn"
	// faultTerm stops a process with SIGTERM and restarts it.
	faultTerm kind = "term"
	// faultPause suspends a process with SIGSTOP and resumes it.
	faultPause kind = "pause"
	// faultDelay makes a forwarder hold back all data for a twentieth of the fault's
	// duration.
	faultDelay kind = "delay"
	// faultReset resets the open connections of a forwarder.
	faultReset kind = "reset"
	// faultMuteIn drops the data sent to a process, faultMuteOut the data sent by
	// it, and faultMute both.
	faultMuteIn  kind = "mute-in"
	faultMuteOut kind = "mute-out"
	faultMute    kind = "mute"
	// faultReplace replaces an upstream by a new one.
	faultReplace kind = "replace"
	// faultEndless replaces the responses of an upstream by bodies without end.
	faultEndless kind = "endless"
	// faultCut ends the responses of an upstream in the middle of their heads.
	faultCut kind = "cut"
	// faultOdd sends odd announcements to a node.
	faultOdd kind = "odd"
	// faultLimit makes an upstream state a rate limit.
	faultLimit kind = "limit"
	// faultCrowd plays untrusted clients against a listener.
	faultCrowd kind = "crowd"
)

// fault is one planned fault.
type fault struct {
	// at is the time from the start of the fault period.
	at   time.Duration
	kind kind
	// subject is the name of a process, such as "n1", or of one of its forwarders
	// or upstreams, such as "n1/gate" or "n1/upstream".
	subject string
	// duration is how long the fault lasts. For a stopped process it is the time
	// until the restart. A reset ignores it.
	duration time.Duration
	// perSecond is the rate limit of faultLimit in calls per second.
	perSecond float64
	// shape is the index of what the clients of faultCrowd send, in crowdShapes.
	shape int
}

func (fault fault) String() string {
	text := fmt.Sprintf("%6.2fs %s %s for %.2fs", fault.at.Seconds(), fault.kind, fault.subject, fault.duration.Seconds())
	if fault.kind == faultCrowd {
		text += fmt.Sprintf(" (shape %d)", fault.shape)
	}
	return text
}

// Bounds of the planned faults. planFaults draws a number of faults between
// minFaults and maxFaults. A plan can have more than that, because a series of
// faults of one kind is completed even if it exceeds the number.
const (
	minFaults   = 8
	maxFaults   = 16
	minDuration = 200 * time.Millisecond
	maxDuration = 2500 * time.Millisecond
	// seriesPercent is the probability that a fault is followed by another one of
	// the same kind, with a newly drawn subject, within maxSeriesGap.
	seriesPercent = 35
	maxSeriesGap  = 500 * time.Millisecond
)

// faultSubjects lists the possible subjects of each kind of fault.
func faultSubjects(size size) map[kind][]string {
	var controls, nodes, forwarders, upstreams []string
	for i := range size.controls {
		controls = append(controls, controlName(i))
		forwarders = append(forwarders, controlName(i)+"/link")
	}
	for i := range size.nodes {
		nodes = append(nodes, nodeName(i))
		upstreams = append(upstreams, nodeName(i)+"/upstream")
		for _, suffix := range []string{"/link", "/gate", "/callers", "/upstream"} {
			forwarders = append(forwarders, nodeName(i)+suffix)
		}
	}
	processes := append(append([]string{}, controls...), nodes...)
	return map[kind][]string{
		faultKill: processes, faultTerm: processes, faultPause: processes, faultTorn: controls,
		faultDelay: forwarders, faultReset: forwarders, faultMuteIn: forwarders, faultMuteOut: forwarders, faultMute: forwarders,
		faultReplace: upstreams, faultEndless: upstreams,
	}
}

// faultKinds lists all kinds of faults. The order must not change: planFaults
// selects a kind by its index, so another order gives other faults for a seed.
var faultKinds = []kind{faultKill, faultTorn, faultTerm, faultPause, faultDelay, faultReset, faultMuteIn, faultMuteOut, faultMute, faultReplace, faultEndless}

// planFaults derives the faults of a run from its seed and sorts them by time. All
// faults start within the period.
func planFaults(seed uint64, size size, period time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	subjects := faultSubjects(size)
	var faults []fault
	count := minFaults + random.IntN(maxFaults-minFaults+1)
	for len(faults) < count {
		kind := faultKinds[random.IntN(len(faultKinds))]
		at := time.Duration(random.Int64N(int64(period)))
		for {
			subject := subjects[kind][random.IntN(len(subjects[kind]))]
			duration := minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
			faults = append(faults, fault{at: at, kind: kind, subject: subject, duration: duration})
			at += time.Duration(random.Int64N(int64(maxSeriesGap)))
			if at >= period || random.IntN(100) >= seriesPercent {
				break
			}
		}
	}
	faults = append(faults, planLimits(seed, subjects[faultReplace], period)...)
	faults = append(faults, planCrowds(seed, size, period)...)
	faults = append(faults, planOddities(seed, subjects[faultReplace], period)...)
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}

// Bounds of the planned rate limits. With them, an upstream states a limit that is
// below its share of the load for long enough to check it.
const (
	maxLimits        = 2
	minLimit         = 1.0
	maxLimit         = 15.0
	minLimitDuration = 2 * limitGrace
	maxLimitDuration = 4 * limitGrace
)

// planLimits draws rate limits of upstreams from a source of random numbers of its
// own, so that the other faults of a seed stay the same.
func planLimits(seed uint64, upstreams []string, period time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 4))
	var limits []fault
	for range 1 + random.IntN(maxLimits) {
		limits = append(limits, fault{
			at:        time.Duration(random.Int64N(int64(period))),
			kind:      faultLimit,
			subject:   upstreams[random.IntN(len(upstreams))],
			duration:  minLimitDuration + time.Duration(random.Int64N(int64(maxLimitDuration-minLimitDuration))),
			perSecond: minLimit + random.Float64()*(maxLimit-minLimit),
		})
	}
	return limits
}

// maxOddities limits the faults that planOddities adds.
const maxOddities = 3

// planOddities draws faults of upstreams that send odd data from a source of random
// numbers of its own, so that the other faults of a seed stay the same.
func planOddities(seed uint64, upstreams []string, period time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 5))
	var oddities []fault
	for range 1 + random.IntN(maxOddities) {
		oddities = append(oddities, fault{
			at:       time.Duration(random.Int64N(int64(period))),
			kind:     []kind{faultCut, faultOdd}[random.IntN(2)],
			subject:  upstreams[random.IntN(len(upstreams))],
			duration: minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration))),
		})
	}
	return oddities
}
