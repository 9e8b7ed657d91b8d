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
	// faultDelay makes a forwarder delay each block of data by a twentieth of the
	// fault's duration.
	faultDelay kind = "delay"
	// faultReset resets the open connections of a forwarder.
	faultReset kind = "reset"
	// faultMuteIn, faultMuteOut and faultMute drop the data sent to a process, sent
	// by it, and in both directions.
	faultMuteIn  kind = "mute-in"
	faultMuteOut kind = "mute-out"
	faultMute    kind = "mute"
	// faultReplace replaces an upstream by a new one.
	faultReplace kind = "replace"
)

// fault is one planned fault.
type fault struct {
	// at is the time from the start of the fault period.
	at   time.Duration
	kind kind
	// target is the name of a process, such as "n1", or of one of its forwarders
	// or upstreams, such as "n1/gate" or "n1/upstream".
	target string
	// duration is how long the fault lasts. For a stopped process it is the time
	// until the restart. A reset has no duration.
	duration time.Duration
}

func (fault fault) String() string {
	return fmt.Sprintf("%6.2fs %s %s for %.2fs", fault.at.Seconds(), fault.kind, fault.target, fault.duration.Seconds())
}

// Bounds of the planned faults.
const (
	minFaults   = 8
	maxFaults   = 16
	minDuration = 200 * time.Millisecond
	maxDuration = 2500 * time.Millisecond
	// seriesPercent is the probability that a fault is followed by another one of
	// the same kind, with a newly drawn target, within maxSeriesGap.
	seriesPercent = 35
	maxSeriesGap  = 500 * time.Millisecond
)

// faultTargets lists the possible targets of each kind of fault.
func faultTargets(size size) map[kind][]string {
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
		faultReplace: upstreams,
	}
}

// faultKinds lists all kinds of faults. Their order determines which kind a random
// number of the seed selects.
var faultKinds = []kind{faultKill, faultTorn, faultTerm, faultPause, faultDelay, faultReset, faultMuteIn, faultMuteOut, faultMute, faultReplace}

// planFaults derives the faults of a run from its seed and sorts them by time. All
// faults start within the period.
func planFaults(seed uint64, size size, period time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	targets := faultTargets(size)
	var faults []fault
	count := minFaults + random.IntN(maxFaults-minFaults+1)
	for len(faults) < count {
		kind := faultKinds[random.IntN(len(faultKinds))]
		at := time.Duration(random.Int64N(int64(period)))
		for {
			target := targets[kind][random.IntN(len(targets[kind]))]
			duration := minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
			faults = append(faults, fault{at: at, kind: kind, target: target, duration: duration})
			at += time.Duration(random.Int64N(int64(maxSeriesGap)))
			if at >= period || random.IntN(100) >= seriesPercent {
				break
			}
		}
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}
