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
	kindKill    kind = "kill"
	kindTorn    kind = "torn"
	kindTerm    kind = "term"
	kindPause   kind = "pause"
	kindDelay   kind = "delay"
	kindReset   kind = "reset"
	kindMuteIn  kind = "mute-in"
	kindMuteOut kind = "mute-out"
	kindMute    kind = "mute"
	kindReplace kind = "replace"
)

// fault is one thing that goes wrong.
type fault struct {
	at   time.Duration
	kind kind
	// on names a process, or a process and one of its addresses.
	on string
	// lasts is how long, or how long until the process is started again.
	lasts time.Duration
}

func (fault fault) String() string {
	return fmt.Sprintf("%6.2fs %s %s for %.2fs", fault.at.Seconds(), fault.kind, fault.on, fault.lasts.Seconds())
}

// Bounds of a plan.
const (
	minFaults = 8
	maxFaults = 16
	minLasts  = 200 * time.Millisecond
	maxLasts  = 2500 * time.Millisecond
	// seriesPercent is how often a fault is followed by another of its kind
	// elsewhere, within seriesGap.
	seriesPercent = 35
	seriesGap     = 500 * time.Millisecond
)

// targetsOf lists what each kind may strike.
func targetsOf(size size) map[kind][]string {
	var controls, nodes, paths, upstreams []string
	for i := range size.controls {
		controls = append(controls, controlName(i))
		paths = append(paths, controlName(i)+"/link")
	}
	for i := range size.nodes {
		nodes = append(nodes, nodeName(i))
		upstreams = append(upstreams, nodeName(i)+"/upstream")
		for _, path := range []string{"/link", "/gate", "/callers", "/upstream"} {
			paths = append(paths, nodeName(i)+path)
		}
	}
	processes := append(append([]string{}, controls...), nodes...)
	return map[kind][]string{
		kindKill: processes, kindTerm: processes, kindPause: processes, kindTorn: controls,
		kindDelay: paths, kindReset: paths, kindMuteIn: paths, kindMuteOut: paths, kindMute: paths,
		kindReplace: upstreams,
	}
}

// kinds in the order in which a seed chooses them.
var kinds = []kind{kindKill, kindTorn, kindTerm, kindPause, kindDelay, kindReset, kindMuteIn, kindMuteOut, kindMute, kindReplace}

// draw makes the faults of a seed, by their times.
func draw(seed uint64, size size, span time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	targets := targetsOf(size)
	var faults []fault
	count := minFaults + random.IntN(maxFaults-minFaults+1)
	for len(faults) < count {
		kind := kinds[random.IntN(len(kinds))]
		at := time.Duration(random.Int64N(int64(span)))
		for {
			on := targets[kind][random.IntN(len(targets[kind]))]
			lasts := minLasts + time.Duration(random.Int64N(int64(maxLasts-minLasts)))
			faults = append(faults, fault{at: at, kind: kind, on: on, lasts: lasts})
			at += time.Duration(random.Int64N(int64(seriesGap)))
			if at >= span || random.IntN(100) >= seriesPercent {
				break
			}
		}
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return cmp.Compare(a.at, b.at) })
	return faults
}
