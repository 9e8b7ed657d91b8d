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
	// Service is the mean time of all calls on the target, zero for unknown.
	Service time.Duration
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
	slowStart        = 4 * time.Second
	loadStale        = time.Second
	speedStale       = 5 * time.Second
	ejectBase        = 5 * time.Second
	ejectMax         = time.Minute
	refusedPause     = 250 * time.Millisecond
	failuresToEject  = 5
	ejectMaxPercent  = 34
	coldLatency      = 5 * time.Millisecond
	slowStartMinimum = 0.1
)

// targetState is what the picker has learned of one target.
type targetState struct {
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

// Picker holds the targets of all services. It is not safe for concurrent
// use.
type Picker struct {
	zone   string
	self   string
	random *rand.Rand
	states map[string]*targetState
	// groups holds the targets of each service, sorted by name.
	groups map[string][]*targetState
}

// New returns a picker for a node in the given zone.
func New(zone string, random *rand.Rand) *Picker {
	return &Picker{zone: zone, random: random, states: map[string]*targetState{}, groups: map[string][]*targetState{}}
}

// Near names the target beside this node, which is preferred among equals: a
// call to it crosses no network.
func (picker *Picker) Near(self string) { picker.self = self }

// Want describes the target that a call needs.
type Want struct {
	Service string
	// Takes tells whether a version will do; nil means any.
	Takes func(version string) bool
	// Tried lists targets that are not to be chosen again.
	Tried []string
	// Queue is true for a call that found no free slot and is to wait where it
	// waits least.
	Queue bool
}

func (want Want) fits(state *targetState) bool {
	return (want.Takes == nil || want.Takes(state.target.Version)) && !slices.Contains(want.Tried, state.target.Name)
}

// Choice is a chosen target.
type Choice struct {
	Target Target
	// Room is true when the target is believed to have a free slot.
	Room bool
}

// SetTargets replaces the set of targets and keeps what was learned of those
// that stay.
func (picker *Picker) SetTargets(now time.Time, targets []Target) {
	states := make(map[string]*targetState, len(targets))
	clear(picker.groups)
	for _, target := range targets {
		held, ok := picker.states[target.Name]
		if !ok || held.target.Service != target.Service || held.target.Version != target.Version {
			held = &targetState{since: now, latency: coldLatency.Seconds(), measured: now}
		}
		held.target = target
		states[target.Name] = held
	}
	picker.states = states
	for _, name := range slices.SortedFunc(maps.Keys(states), strings.Compare) {
		held := states[name]
		picker.groups[held.target.Service] = append(picker.groups[held.target.Service], held)
	}
}

// Count returns the number of targets of a version.
func (picker *Picker) Count(service, version string) int {
	return picker.Versions(service, func(other string) bool { return other == version })
}

// Versions returns the number of targets whose version will do.
func (picker *Picker) Versions(service string, takes func(version string) bool) int {
	count := 0
	for _, state := range picker.groups[service] {
		if takes(state.target.Version) {
			count++
		}
	}
	return count
}

// Common returns the version that most targets of a service run, the first by
// name among equals.
func (picker *Picker) Common(service string) string {
	counts := map[string]int{}
	for _, state := range picker.groups[service] {
		counts[state.target.Version]++
	}
	common := ""
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if counts[version] > counts[common] {
			common = version
		}
	}
	return common
}

// Pick chooses a target of a version that is not in tried, and counts a call
// in flight on it until Done.
func (picker *Picker) Pick(now time.Time, service, version string, tried []string) (Target, bool) {
	choice, ok := picker.Choose(now, Want{Service: service, Takes: func(other string) bool { return other == version }, Tried: tried})
	return choice.Target, ok
}

// Choose chooses a target, and counts a call in flight on it until Done.
func (picker *Picker) Choose(now time.Time, want Want) (Choice, bool) {
	var usable []*targetState
	for _, state := range picker.groups[want.Service] {
		if want.fits(state) {
			usable = append(usable, state)
		}
	}
	if len(usable) == 0 {
		return Choice{}, false
	}
	chosen := picker.shortest(now, want, usable)
	if chosen == nil {
		chosen = picker.choose(now, picker.prefer(now, usable))
	}
	room := chosen.hasRoom(now)
	chosen.inFlight++
	return Choice{Target: chosen.target, Room: room}, true
}

// farPenalty is how much longer a queue of the own zone may be than one of
// another zone: traffic between zones is dear.
const farPenalty = 1.5

// shortest returns the target whose queue is the shortest for its speed, nil if
// the call is not to queue.
func (picker *Picker) shortest(now time.Time, want Want, usable []*targetState) *targetState {
	if !want.Queue {
		return nil
	}
	var best *targetState
	least := math.Inf(1)
	for _, state := range usable {
		cost := state.speed(now) * float64(state.busy(now)+1) / float64(max(1, state.target.Slots))
		if state.target.Zone != picker.zone {
			cost *= farPenalty
		}
		if state.target.Suspect || now.Before(state.ejected) {
			cost += unusualCost
		}
		if cost < least {
			best, least = state, cost
		}
	}
	return best
}

// unusualCost puts suspect and ejected targets behind all others, in seconds.
const unusualCost = 3600

// prefer narrows the candidates while some remain: not suspect, not ejected,
// not just refused, with room, in the own zone.
func (picker *Picker) prefer(now time.Time, candidates []*targetState) []*targetState {
	wishes := []func(*targetState) bool{
		func(state *targetState) bool { return !state.target.Suspect },
		func(state *targetState) bool { return !now.Before(state.ejected) },
		func(state *targetState) bool { return !now.Before(state.pausedUntil) },
		func(state *targetState) bool { return state.hasRoom(now) },
		func(state *targetState) bool { return state.target.Zone == picker.zone && state.hasRoom(now) },
	}
	for _, wish := range wishes {
		kept := slices.DeleteFunc(slices.Clone(candidates), func(state *targetState) bool { return !wish(state) })
		if len(kept) > 0 {
			candidates = kept
		}
	}
	return candidates
}

// busy is the larger of the own calls in flight and the target's own figure,
// which fades with its age: the calls that it counted end one by one.
func (state *targetState) busy(now time.Time) int {
	age := now.Sub(state.loadAt)
	if age >= loadStale {
		return state.inFlight
	}
	told := float64(state.load.InFlight + state.load.Queued)
	return max(state.inFlight, int(math.Round(told*float64(loadStale-age)/float64(loadStale))))
}

// hasRoom reports whether a slot is believed to be free. The gates refuse what
// does not fit, so that a wrong belief costs one more hop.
func (state *targetState) hasRoom(now time.Time) bool {
	return state.busy(now) < state.target.Slots
}

// Tell learns a target's load that did not come with an answer.
func (picker *Picker) Tell(now time.Time, name string, load Load) {
	if state, ok := picker.states[name]; ok {
		state.load, state.loadAt = load, now
	}
}

// nearDiscount makes the target beside this node win among equals.
const nearDiscount = 0.9

// cost is the expected time of one more call; lower is better. Calls do not
// wait for each other while slots are free, but some targets slow down as they
// fill.
func (picker *Picker) cost(now time.Time, state *targetState) float64 {
	cost := state.speed(now) * (1 + float64(state.busy(now))/float64(max(1, state.target.Slots)))
	if state.target.Name == picker.self {
		cost *= nearDiscount
	}
	return cost
}

// speed is the mean time of a call in seconds, as the target's node measures it
// over all callers, or as it was seen from here.
func (state *targetState) speed(now time.Time) float64 {
	if state.load.Service > 0 && now.Sub(state.loadAt) < speedStale {
		return state.load.Service.Seconds()
	}
	return state.decayed(now)
}

// warmth is the part of its even share that a target may get, which rises from
// its first appearance on.
func (state *targetState) warmth(now time.Time) float64 {
	return min(1, max(slowStartMinimum, now.Sub(state.since).Seconds()/slowStart.Seconds()))
}

// decayed lets an old high latency fade, so that a target that was slow is
// tried again.
func (state *targetState) decayed(now time.Time) float64 {
	fade := math.Exp(-now.Sub(state.measured).Seconds() / latencyDecay.Seconds())
	return max(state.latency*fade, coldLatency.Seconds()/100)
}

func (picker *Picker) choose(now time.Time, candidates []*targetState) *targetState {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := picker.random.IntN(len(candidates))
	j := picker.random.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	better, other := candidates[i], candidates[j]
	if picker.cost(now, other) < picker.cost(now, better) {
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
func (state *targetState) learn(now time.Time, latency time.Duration) {
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
func (picker *Picker) eject(now time.Time, state *targetState) {
	peers := slices.DeleteFunc(slices.Clone(picker.groups[state.target.Service]), func(peer *targetState) bool {
		return peer.target.Version != state.target.Version
	})
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
