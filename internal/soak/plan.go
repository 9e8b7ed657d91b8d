package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a way in which something goes wrong.
type kind string

// The kinds of faults.
const (
	faultKill    kind = "kill"
	faultTorn    kind = "torn"
	faultTerm    kind = "term"
	faultPause   kind = "pause"
	faultDelay   kind = "delay"
	faultReset   kind = "reset"
	faultMuteIn  kind = "mute-in"
	faultMuteOut kind = "mute-out"
	faultMute    kind = "mute"
	faultReplace kind = "replace"
)

// fault is one thing that goes wrong.
type fault struct {
	at   time.Duration
	kind kind
	// target names a process, or a process and one of its addresses.
	target string
	// duration is how long, or how long until the process is started again.
	duration time.Duration
}

func (fault fault) String() string {
	return fmt.Sprintf("%6.2fs %s %s for %.2fs", fault.at.Seconds(), fault.kind, fault.target, fault.duration.Seconds())
}

// Bounds of a plan.
const (
	minFaults   = 8
	maxFaults   = 16
	minDuration = 200 * time.Millisecond
	maxDuration = 2500 * time.Millisecond
	// seriesPercent is how often a fault is followed by another of its kind
	// elsewhere, within seriesGap.
	seriesPercent = 35
	maxSeriesGap  = 500 * time.Millisecond
)

// faultTargets lists what each kind may strike.
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

// faultKinds in the order in which a seed chooses them.
var faultKinds = []kind{faultKill, faultTorn, faultTerm, faultPause, faultDelay, faultReset, faultMuteIn, faultMuteOut, faultMute, faultReplace}

// planFaults makes the faults of a seed, by their times.
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
