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
	// ServiceTime is the mean time of all calls on the target, zero for unknown.
	ServiceTime time.Duration
}

// Result is how one call on a target ended.
type Result int

// The results that the picker learns from.
const (
	// ResultSucceeded is an answer without error.
	ResultSucceeded Result = iota
	// ResultFailed is an error answer or a lost connection.
	ResultFailed
	// ResultRefused is a refusal by the target's node, which ran nothing.
	ResultRefused
	// ResultCanceled tells nothing about the target.
	ResultCanceled
)

// Timing and bounds of the choice.
const (
	latencyDecay       = 10 * time.Second
	slowStartWindow    = 4 * time.Second
	maxLoadAge         = time.Second
	maxServiceTimeAge  = 5 * time.Second
	baseEjectionTime   = 5 * time.Second
	maxEjectionTime    = time.Minute
	refusalPause       = 250 * time.Millisecond
	failuresToEject    = 5
	maxEjectionPercent = 34
	initialLatency     = 5 * time.Millisecond
	minSlowStartFactor = 0.1
)

// targetState is what the picker has learned of one target.
type targetState struct {
	target Target
	// latency is a peak-sensitive moving average, in seconds.
	latency    float64
	measuredAt time.Time
	inFlight   int
	load       Load
	loadAt     time.Time
	addedAt    time.Time
	// failures counts failed calls in a row.
	failures     int
	ejectedUntil time.Time
	ejections    int
	// pausedUntil follows a refusal, so that others are tried first.
	pausedUntil time.Time
}

// Picker holds the targets of all services. It is not safe for concurrent
// use.
type Picker struct {
	zone        string
	localTarget string
	random      *rand.Rand
	states      map[string]*targetState
	// groups holds the targets of each service, sorted by name.
	groups map[string][]*targetState
}

// New returns a picker for a node in the given zone.
func New(zone string, random *rand.Rand) *Picker {
	return &Picker{zone: zone, random: random, states: map[string]*targetState{}, groups: map[string][]*targetState{}}
}

// SetLocalTarget names the target beside this node, which is preferred among equals: a
// call to it crosses no network.
func (picker *Picker) SetLocalTarget(localTarget string) { picker.localTarget = localTarget }

// Criteria describes the target that a call needs.
type Criteria struct {
	Service string
	// Accepts tells whether a version will do; nil means any.
	Accepts func(version string) bool
	// Excluded lists targets that are not to be chosen again.
	Excluded []string
	// Queue is true for a call that found no free slot and is to wait where it
	// waits least.
	Queue bool
}

func (criteria Criteria) matches(state *targetState) bool {
	return (criteria.Accepts == nil || criteria.Accepts(state.target.Version)) && !slices.Contains(criteria.Excluded, state.target.Name)
}

// Choice is a chosen target.
type Choice struct {
	Target Target
	// HasFreeSlot is true when the target is believed to have a free slot.
	HasFreeSlot bool
}

// SetTargets replaces the set of targets and keeps what was learned of those
// that stay.
func (picker *Picker) SetTargets(now time.Time, targets []Target) {
	states := make(map[string]*targetState, len(targets))
	clear(picker.groups)
	for _, target := range targets {
		state, ok := picker.states[target.Name]
		if !ok || state.target.Service != target.Service || state.target.Version != target.Version {
			state = &targetState{addedAt: now, latency: initialLatency.Seconds(), measuredAt: now}
		}
		state.target = target
		states[target.Name] = state
	}
	picker.states = states
	for _, name := range slices.SortedFunc(maps.Keys(states), strings.Compare) {
		state := states[name]
		picker.groups[state.target.Service] = append(picker.groups[state.target.Service], state)
	}
}

// Count returns the number of targets of a version.
func (picker *Picker) Count(service, version string) int {
	return picker.CountMatching(service, func(other string) bool { return other == version })
}

// CountMatching returns the number of targets whose version will do.
func (picker *Picker) CountMatching(service string, accepts func(version string) bool) int {
	count := 0
	for _, state := range picker.groups[service] {
		if accepts(state.target.Version) {
			count++
		}
	}
	return count
}

// MostCommonVersion returns the version that most targets of a service run, the first by
// name among equals.
func (picker *Picker) MostCommonVersion(service string) string {
	counts := map[string]int{}
	for _, state := range picker.groups[service] {
		counts[state.target.Version]++
	}
	mostCommon := ""
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if counts[version] > counts[mostCommon] {
			mostCommon = version
		}
	}
	return mostCommon
}

// Pick chooses a target of a version that is not in tried, and counts a call
// in flight on it until Done.
func (picker *Picker) Pick(now time.Time, service, version string, tried []string) (Target, bool) {
	choice, ok := picker.Choose(now, Criteria{Service: service, Accepts: func(other string) bool { return other == version }, Excluded: tried})
	return choice.Target, ok
}

// Choose chooses a target, and counts a call in flight on it until Done.
func (picker *Picker) Choose(now time.Time, criteria Criteria) (Choice, bool) {
	var candidates []*targetState
	for _, state := range picker.groups[criteria.Service] {
		if criteria.matches(state) {
			candidates = append(candidates, state)
		}
	}
	if len(candidates) == 0 {
		return Choice{}, false
	}
	chosen := picker.shortestQueue(now, criteria, candidates)
	if chosen == nil {
		chosen = picker.pickOfTwo(now, picker.prefer(now, candidates))
	}
	free := chosen.hasFreeSlot(now)
	chosen.inFlight++
	return Choice{Target: chosen.target, HasFreeSlot: free}, true
}

// farPenalty is how much longer a queue of the own zone may be than one of
// another zone: traffic between zones is dear.
const crossZonePenalty = 1.5

// shortest returns the target whose queue is the shortest for its speed, nil if
// the call is not to queue.
func (picker *Picker) shortestQueue(now time.Time, criteria Criteria, candidates []*targetState) *targetState {
	if !criteria.Queue {
		return nil
	}
	var best *targetState
	lowestCost := math.Inf(1)
	for _, state := range candidates {
		cost := state.meanServiceTime(now) * float64(state.estimatedLoad(now)+1) / float64(max(1, state.target.Slots))
		if state.target.Zone != picker.zone {
			cost *= crossZonePenalty
		}
		if state.target.Suspect || now.Before(state.ejectedUntil) {
			cost += lastResortPenalty
		}
		if cost < lowestCost {
			best, lowestCost = state, cost
		}
	}
	return best
}

// unusualCost puts suspect and ejected targets behind all others, in seconds.
const lastResortPenalty = 3600

// prefer narrows the candidates while some remain: not suspect, not ejected,
// not just refused, with room, in the own zone.
func (picker *Picker) prefer(now time.Time, candidates []*targetState) []*targetState {
	preferences := []func(*targetState) bool{
		func(state *targetState) bool { return !state.target.Suspect },
		func(state *targetState) bool { return !now.Before(state.ejectedUntil) },
		func(state *targetState) bool { return !now.Before(state.pausedUntil) },
		func(state *targetState) bool { return state.hasFreeSlot(now) },
		func(state *targetState) bool { return state.target.Zone == picker.zone && state.hasFreeSlot(now) },
	}
	for _, preferred := range preferences {
		remaining := slices.DeleteFunc(slices.Clone(candidates), func(state *targetState) bool { return !preferred(state) })
		if len(remaining) > 0 {
			candidates = remaining
		}
	}
	return candidates
}

// busy is the larger of the own calls in flight and the target's own figure,
// which fades with its age: the calls that it counted end one by one.
func (state *targetState) estimatedLoad(now time.Time) int {
	age := now.Sub(state.loadAt)
	if age >= maxLoadAge {
		return state.inFlight
	}
	reported := float64(state.load.InFlight + state.load.Queued)
	return max(state.inFlight, int(math.Round(reported*float64(maxLoadAge-age)/float64(maxLoadAge))))
}

// hasRoom reports whether a slot is believed to be free. The gates refuse what
// does not fit, so that a wrong belief costs one more hop.
func (state *targetState) hasFreeSlot(now time.Time) bool {
	return state.estimatedLoad(now) < state.target.Slots
}

// SetLoad learns a target's load that did not come with an answer.
func (picker *Picker) SetLoad(now time.Time, name string, load Load) {
	if state, ok := picker.states[name]; ok {
		state.load, state.loadAt = load, now
	}
}

// nearDiscount makes the target beside this node win among equals.
const localDiscount = 0.9

// cost is the expected time of one more call; lower is better. Calls do not
// wait for each other while slots are free, but some targets slow down as they
// fill.
func (picker *Picker) cost(now time.Time, state *targetState) float64 {
	cost := state.meanServiceTime(now) * (1 + float64(state.estimatedLoad(now))/float64(max(1, state.target.Slots)))
	if state.target.Name == picker.localTarget {
		cost *= localDiscount
	}
	return cost
}

// speed is the mean time of a call in seconds, as the target's node measures it
// over all callers, or as it was seen from here.
func (state *targetState) meanServiceTime(now time.Time) float64 {
	if state.load.ServiceTime > 0 && now.Sub(state.loadAt) < maxServiceTimeAge {
		return state.load.ServiceTime.Seconds()
	}
	return state.decayedLatency(now)
}

// warmth is the part of its even share that a target may get, which rises from
// its first appearance on.
func (state *targetState) slowStartFactor(now time.Time) float64 {
	return min(1, max(minSlowStartFactor, now.Sub(state.addedAt).Seconds()/slowStartWindow.Seconds()))
}

// decayed lets an old high latency fade, so that a target that was slow is
// tried again.
func (state *targetState) decayedLatency(now time.Time) float64 {
	fade := math.Exp(-now.Sub(state.measuredAt).Seconds() / latencyDecay.Seconds())
	return max(state.latency*fade, initialLatency.Seconds()/100)
}

func (picker *Picker) pickOfTwo(now time.Time, candidates []*targetState) *targetState {
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
	if picker.random.Float64() > better.slowStartFactor(now) && other.slowStartFactor(now) > better.slowStartFactor(now) {
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
	case ResultSucceeded:
		state.failures, state.ejections = 0, 0
		state.recordLatency(now, latency)
	case ResultFailed:
		state.failures++
		if state.failures >= failuresToEject {
			picker.eject(now, state)
		}
	case ResultRefused:
		state.pausedUntil = now.Add(refusalPause)
	}
}

// learn jumps up to a higher latency at once and comes down slowly.
func (state *targetState) recordLatency(now time.Time, latency time.Duration) {
	sample := latency.Seconds()
	current := state.decayedLatency(now)
	if sample > current {
		state.latency = current + (sample-current)/2
	} else {
		state.latency = current + (sample-current)/8
	}
	state.measuredAt = now
}

// eject takes a target out for a while, unless too large a share of its
// version is out already.
func (picker *Picker) eject(now time.Time, state *targetState) {
	peers := slices.DeleteFunc(slices.Clone(picker.groups[state.target.Service]), func(peer *targetState) bool {
		return peer.target.Version != state.target.Version
	})
	ejectedCount := 0
	for _, peer := range peers {
		if now.Before(peer.ejectedUntil) {
			ejectedCount++
		}
	}
	maxEjected := max(1, len(peers)*maxEjectionPercent/100)
	if len(peers) < 2 || ejectedCount >= maxEjected {
		return
	}
	state.ejections++
	state.failures = 0
	state.ejectedUntil = now.Add(min(maxEjectionTime, baseEjectionTime<<min(state.ejections-1, 4)))
}
