// Package picker chooses a target for each call: two random choices compared
// by latency and load, own zone first while it has room, slow start for cold
// targets, and ejection of outliers bounded in share.
//
// The package has no clock, socket or goroutine.
package picker

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Target is one upstream that calls may go to.
type Target struct {
	Name    string
	Zone    string
	Gate    string
	Service string
	Version string
	Slots   int
	// Suspect is true while a neighbour has lost the target's node; it is
	// picked only if nothing else is left.
	Suspect bool
}

// Load is what a target's node said of it with an answer.
type Load struct {
	InFlight int
	Queued   int
}

// Result is how one call on a target ended.
type Result int

// The results that the picker learns from.
const (
	// ResultGood is an answer without error.
	ResultGood Result = iota
	// ResultFailed is an error answer or a lost connection.
	ResultFailed
	// ResultRefused is a refusal by the target's node, which ran nothing.
	ResultRefused
	// ResultCanceled tells nothing about the target.
	ResultCanceled
)

// Timing and bounds of the choice.
const (
	latencyDecay     = 10 * time.Second
	slowStart        = 10 * time.Second
	loadStale        = 2 * time.Second
	ejectBase        = 5 * time.Second
	ejectMax         = time.Minute
	refusedPause     = 250 * time.Millisecond
	failuresToEject  = 5
	zoneRoomPercent  = 80
	ejectMaxPercent  = 34
	coldLatency      = 5 * time.Millisecond
	slowStartMinimum = 0.1
)

// state is what the picker has learned of one target.
type state struct {
	target Target
	// latency is a peak-sensitive moving average, in seconds.
	latency  float64
	measured time.Time
	inFlight int
	load     Load
	loadAt   time.Time
	since    time.Time
	// failures counts failed calls in a row.
	failures int
	ejected  time.Time
	ejects   int
	// pausedUntil follows a refusal, so that others are tried first.
	pausedUntil time.Time
}

type group struct {
	service string
	version string
}

// Picker holds the targets of all services. It is not safe for concurrent
// use.
type Picker struct {
	zone   string
	random *rand.Rand
	states map[string]*state
	groups map[group][]*state
}

// New returns a picker for a node in the given zone.
func New(zone string, random *rand.Rand) *Picker {
	return &Picker{zone: zone, random: random, states: map[string]*state{}, groups: map[group][]*state{}}
}

// SetTargets replaces the set of targets and keeps what was learned of those
// that stay.
func (picker *Picker) SetTargets(now time.Time, targets []Target) {
	states := make(map[string]*state, len(targets))
	clear(picker.groups)
	for _, target := range targets {
		held, ok := picker.states[target.Name]
		if !ok || held.target.Service != target.Service || held.target.Version != target.Version {
			held = &state{since: now, latency: coldLatency.Seconds(), measured: now}
		}
		held.target = target
		states[target.Name] = held
	}
	picker.states = states
	for _, name := range slices.SortedFunc(maps.Keys(states), strings.Compare) {
		held := states[name]
		key := group{service: held.target.Service, version: held.target.Version}
		picker.groups[key] = append(picker.groups[key], held)
	}
}

// Count returns the number of targets of a version.
func (picker *Picker) Count(service, version string) int {
	return len(picker.groups[group{service: service, version: version}])
}

// Pick chooses a target of a version that is not in tried, and counts a call
// in flight on it until Done.
func (picker *Picker) Pick(now time.Time, service, version string, tried []string) (Target, bool) {
	all := picker.groups[group{service: service, version: version}]
	usable := slices.DeleteFunc(slices.Clone(all), func(state *state) bool {
		return slices.Contains(tried, state.target.Name)
	})
	if len(usable) == 0 {
		return Target{}, false
	}
	chosen := picker.choose(now, picker.prefer(now, usable))
	chosen.inFlight++
	return chosen.target, true
}

// prefer narrows the candidates while some remain: not suspect, not ejected,
// not just refused, own zone with room.
func (picker *Picker) prefer(now time.Time, candidates []*state) []*state {
	wishes := []func(*state) bool{
		func(state *state) bool { return !state.target.Suspect },
		func(state *state) bool { return !now.Before(state.ejected) },
		func(state *state) bool { return !now.Before(state.pausedUntil) },
		func(state *state) bool { return state.target.Zone == picker.zone && state.hasRoom(now) },
	}
	for _, wish := range wishes {
		kept := slices.DeleteFunc(slices.Clone(candidates), func(state *state) bool { return !wish(state) })
		if len(kept) > 0 {
			candidates = kept
		}
	}
	return candidates
}

// busy is the larger of the own calls in flight and the target's own fresh
// figure.
func (state *state) busy(now time.Time) int {
	if now.Sub(state.loadAt) > loadStale {
		return state.inFlight
	}
	return max(state.inFlight, state.load.InFlight+state.load.Queued)
}

func (state *state) hasRoom(now time.Time) bool {
	return state.busy(now)*100 < state.target.Slots*zoneRoomPercent
}

// cost is the expected wait of one more call; lower is better.
func (state *state) cost(now time.Time) float64 {
	latency := state.decayed(now)
	slots := max(1, state.target.Slots)
	return latency * (1 + float64(state.busy(now))/float64(slots)*2) * float64(state.inFlight+1)
}

// warmth is the part of its even share that a target may get, which rises from
// its first appearance on.
func (state *state) warmth(now time.Time) float64 {
	return min(1, max(slowStartMinimum, now.Sub(state.since).Seconds()/slowStart.Seconds()))
}

// decayed lets an old high latency fade, so that a target that was slow is
// tried again.
func (state *state) decayed(now time.Time) float64 {
	fade := math.Exp(-now.Sub(state.measured).Seconds() / latencyDecay.Seconds())
	return max(state.latency*fade, coldLatency.Seconds()/100)
}

func (picker *Picker) choose(now time.Time, candidates []*state) *state {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := picker.random.IntN(len(candidates))
	j := picker.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	better, other := candidates[i], candidates[j]
	if other.cost(now) < better.cost(now) {
		better, other = other, better
	}
	if picker.random.Float64() > better.warmth(now) && other.warmth(now) > better.warmth(now) {
		return other
	}
	return better
}

// Done ends a call and learns from it. Load is nil when the answer said
// nothing of it.
func (picker *Picker) Done(now time.Time, name string, result Result, latency time.Duration, load *Load) {
	state, ok := picker.states[name]
	if !ok {
		return
	}
	state.inFlight = max(0, state.inFlight-1)
	if load != nil {
		state.load, state.loadAt = *load, now
	}
	switch result {
	case ResultGood:
		state.failures, state.ejects = 0, 0
		state.learn(now, latency)
	case ResultFailed:
		state.failures++
		if state.failures >= failuresToEject {
			picker.eject(now, state)
		}
	case ResultRefused:
		state.pausedUntil = now.Add(refusedPause)
	}
}

// learn jumps up to a higher latency at once and comes down slowly.
func (state *state) learn(now time.Time, latency time.Duration) {
	sample := latency.Seconds()
	current := state.decayed(now)
	if sample > current {
		state.latency = current + (sample-current)/2
	} else {
		state.latency = current + (sample-current)/8
	}
	state.measured = now
}

// eject takes a target out for a while, unless too large a share of its
// version is out already.
func (picker *Picker) eject(now time.Time, state *state) {
	peers := picker.groups[group{service: state.target.Service, version: state.target.Version}]
	out := 0
	for _, peer := range peers {
		if now.Before(peer.ejected) {
			out++
		}
	}
	mayGo := max(1, len(peers)*ejectMaxPercent/100)
	if len(peers) < 2 || out >= mayGo {
		return
	}
	state.ejects++
	state.failures = 0
	state.ejected = now.Add(min(ejectMax, ejectBase<<min(state.ejects-1, 4)))
}
