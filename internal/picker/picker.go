// Package picker chooses a target for each call. It compares two randomly
// chosen targets by latency and load, prefers targets in the node's own zone
// while they have free slots, sends fewer calls to targets that have just been
// added (slow start), and ejects failing targets. The share of a version's
// targets that can be ejected at the same time is limited.
//
// Some targets accept only a limited rate of calls. The load that the package answers
// there is one that needs both the limits and the slots of the other targets: a
// limited target counts with what its limit lets it run at once, and long calls go
// there first once slots are scarce.
//
// The package uses no clock, socket or goroutine: callers pass in the current
// time.
package picker

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/warmup"
)

// Target is an upstream that calls can be sent to.
type Target struct {
	Name string
	Zone string
	// Gate is the address at which the target's node admits calls to it.
	Gate    string
	Service string
	Version string
	// ID and Born identify the start of the target; they are empty and zero for a
	// target without an identity.
	ID   string
	Born int64
	// Limit is the rate limit of the target. In a Choice, it is the one that this
	// node last heard of.
	Limit lease.RateLimit
	// WarmUp tells for how long the target is cold.
	WarmUp warmup.Forecast
	// Slots is the number of calls that the target can run at once.
	Slots int
	// Suspect is true while another node has reported that it lost contact with
	// the target's node. A suspect target is chosen only as a last resort; see
	// prefer and lastResortPenalty.
	Suspect bool
}

// Load is the load of a target, as reported by its node together with a
// response.
type Load struct {
	InFlight int
	Queued   int
	// ServiceTime is the mean time of all calls on the target, or zero if it is
	// unknown.
	ServiceTime time.Duration
}

// Result is the outcome of a call on a target.
type Result int

// Outcomes of a call.
const (
	// ResultSucceeded is a response without an error.
	ResultSucceeded Result = iota
	// ResultFailed is an error response or a lost connection.
	ResultFailed
	// ResultRefused is a refusal by the target's node; the call did not run.
	ResultRefused
	// ResultCanceled is a result that says nothing about the health of the
	// target, for example because the call was canceled or never sent.
	ResultCanceled
)

// Time constants and bounds of target selection.
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

// targetState holds the measurements and the ejection state of one target.
type targetState struct {
	target Target
	// evacuated is true while the zone of the target is evacuated.
	evacuated bool
	// limit is the rate limit of the target according to the latest word of it.
	limit lease.RateLimit
	// coldRate is the rate of calls that the target tolerates until coldUntil.
	coldRate  float64
	coldUntil time.Time
	// coldRefusals counts refusals of the cold target, less the calls that it served.
	coldRefusals int
	// latency is a moving average in seconds that follows increases faster than
	// decreases.
	latency    float64
	measuredAt time.Time
	inFlight   int
	load       Load
	loadAt     time.Time
	addedAt    time.Time
	// failures counts consecutive failed calls.
	failures     int
	ejectedUntil time.Time
	// ejections counts the ejections since the last successful call.
	ejections int
	// pausedUntil is set after a refusal; until then, other targets are tried
	// first.
	pausedUntil time.Time
}

// Picker holds the targets of all services. It is not safe for concurrent use.
type Picker struct {
	zone        string
	localTarget string
	random      *rand.Rand
	states      map[string]*targetState
	// evacuatedZones holds the zones whose targets must not be chosen.
	evacuatedZones map[string]bool
	// statesByService holds the targets of each service, sorted by name.
	statesByService map[string][]*targetState
	// statements holds what instances stated in responses. It outlasts the targets.
	statements map[Instance]statement
	// serviceTimes holds the service times of each service.
	serviceTimes map[string]*serviceTimes
}

// New returns a picker for a node in the given zone.
func New(zone string, random *rand.Rand) *Picker {
	return &Picker{zone: zone, random: random, states: map[string]*targetState{}, statesByService: map[string][]*targetState{}, statements: map[Instance]statement{}, serviceTimes: map[string]*serviceTimes{}}
}

// SetLocalTarget sets the name of the target on this node. It is preferred
// among otherwise equal targets, because a call to it does not cross the
// network.
func (picker *Picker) SetLocalTarget(localTarget string) { picker.localTarget = localTarget }

// Criteria describes which targets are acceptable for a call.
type Criteria struct {
	Service string
	// Accepts reports whether a version is acceptable; nil accepts any version.
	Accepts func(version string) bool
	// Excluded lists the names of targets that must not be chosen, because they
	// have already been tried.
	Excluded []string
	// ExcludedZones lists zones whose targets must not be chosen, in addition to the
	// evacuated zones.
	ExcludedZones []string
	// Class is the class of the call, for example its route. Classes differ in their
	// service times; see relativeTime.
	Class string
	// Queue is true for a call that found no free slot and is to be queued. The
	// target is then chosen by its expected wait; see shortestQueue.
	Queue bool
	// Subset returns, from the number of acceptable targets, to how many of them the
	// first choice of a call is limited; nil means no limit. All nodes choose the same
	// targets. A call that finds no capacity there may go to every target.
	Subset func(targets int) int
	// only lists the names of the targets of the subset; nil means no limit.
	only []string
	// Upload is set for a call with a large body.
	Upload Upload
}

func (criteria Criteria) matches(state *targetState) bool {
	return !state.evacuated && !slices.Contains(criteria.ExcludedZones, state.target.Zone) &&
		(criteria.Accepts == nil || criteria.Accepts(state.target.Version)) &&
		(criteria.only == nil || slices.Contains(criteria.only, state.target.Name)) &&
		!slices.Contains(criteria.Excluded, state.target.Name)
}

// Choice is the result of a target selection.
type Choice struct {
	Target Target
	// HasCapacity is true if the target is expected to run the call at once.
	HasCapacity bool
	// WaitsInZone is true if a call with a large body is to queue in the node's own zone
	// before other zones are considered.
	WaitsInZone bool
}

// SetTargets replaces the set of targets. It keeps the state of a target whose
// name, service and version are unchanged.
func (picker *Picker) SetTargets(now time.Time, targets []Target) {
	states := make(map[string]*targetState, len(targets))
	clear(picker.statesByService)
	for _, target := range targets {
		state, ok := picker.states[target.Name]
		if !ok || state.target.Service != target.Service || state.target.Version != target.Version {
			ok = false
			state = &targetState{addedAt: now, latency: initialLatency.Seconds(), measuredAt: now}
		}
		state.limit = picker.limitOf(target, state, ok)
		if !ok || state.target.instance() != target.instance() || state.target.WarmUp != target.WarmUp {
			state.learnWarmUp(now, target.WarmUp)
		}
		state.target = target
		state.evacuated = picker.evacuatedZones[target.Zone]
		states[target.Name] = state
	}
	picker.states = states
	picker.forgetStatements(now)
	for _, name := range slices.SortedFunc(maps.Keys(states), strings.Compare) {
		state := states[name]
		picker.statesByService[state.target.Service] = append(picker.statesByService[state.target.Service], state)
	}
}

// Count returns the number of targets of a service that run a version, as
// CountMatching does.
func (picker *Picker) Count(service, version string) int {
	return picker.CountMatching(service, func(other string) bool { return other == version })
}

// CountMatching returns the number of targets of a service whose version is
// accepted. Targets in evacuated zones do not count.
func (picker *Picker) CountMatching(service string, accepts func(version string) bool) int {
	count := 0
	for _, state := range picker.statesByService[service] {
		if !state.evacuated && accepts(state.target.Version) {
			count++
		}
	}
	return count
}

// MostCommonVersion returns the version that most targets of a service run outside
// evacuated zones. Ties go to the version that sorts first.
func (picker *Picker) MostCommonVersion(service string) string {
	counts := map[string]int{}
	for _, state := range picker.statesByService[service] {
		if !state.evacuated {
			counts[state.target.Version]++
		}
	}
	mostCommon := ""
	for _, version := range slices.Sorted(maps.Keys(counts)) {
		if counts[version] > counts[mostCommon] {
			mostCommon = version
		}
	}
	return mostCommon
}

// Pick chooses a target of the given version that is not listed in tried. The
// call counts as in flight on the target until Done is called.
func (picker *Picker) Pick(now time.Time, service, version string, tried []string) (Target, bool) {
	choice, ok := picker.Choose(now, Criteria{Service: service, Accepts: func(other string) bool { return other == version }, Excluded: tried})
	return choice.Target, ok
}

// Choose chooses a target that meets the criteria. The call counts as in flight
// on the target until Done is called.
func (picker *Picker) Choose(now time.Time, criteria Criteria) (Choice, bool) {
	var candidates []*targetState
	for _, state := range picker.statesByService[criteria.Service] {
		if criteria.matches(state) && !picker.statements[state.target.instance()].leaving {
			candidates = append(candidates, state)
		}
	}
	if len(candidates) == 0 {
		return Choice{}, false
	}
	chosen := picker.shortestQueue(now, criteria, candidates)
	if chosen == nil {
		chosen = picker.pickOfTwo(now, picker.prefer(now, criteria, candidates))
	}
	return chosen.take(now), true
}

// crossZonePenalty multiplies the cost of queueing in another zone, because
// traffic between zones is expensive. A target in the node's own zone is
// preferred until its expected wait is longer by this factor.
const crossZonePenalty = 1.5

// shortestQueue returns the target with the shortest expected wait, derived
// from its load, capacity and mean service time. crossZonePenalty,
// lastResortPenalty and, at targets that are not bound by a rate limit, the relative
// length of the call change the expected wait of targets that are less suitable.
// shortestQueue returns nil if criteria.Queue is false.
func (picker *Picker) shortestQueue(now time.Time, criteria Criteria, candidates []*targetState) *targetState {
	if !criteria.Queue {
		return nil
	}
	var best *targetState
	lowestCost := math.Inf(1)
	relativeTime := picker.relativeTime(criteria)
	for _, state := range candidates {
		cost := state.meanServiceTime(now) * float64(state.estimatedLoad(now)+1) / state.capacity(now)
		if state.target.Zone != picker.zone {
			cost = cost*crossZonePenalty + criteria.Upload.transferTime().Seconds()
		}
		if !state.isRateBound(now) {
			cost *= relativeTime
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

// lastResortPenalty is added to the cost of suspect and ejected targets, in
// seconds, so that they rank behind all others.
const lastResortPenalty = 3600

// prefer filters the candidates by these conditions in turn: the target is not
// suspect, is not ejected, has not refused a call recently, has capacity, has
// capacity of the kind that suits the length of the call while slots are scarce, and
// is in the node's own zone with capacity. A condition that no remaining candidate
// meets is skipped.
func (picker *Picker) prefer(now time.Time, criteria Criteria, candidates []*targetState) []*targetState {
	isLong, slotsAreScarce := picker.relativeTime(criteria) >= 1, areSlotsScarce(now, candidates)
	preferences := []func(*targetState) bool{
		func(state *targetState) bool { return !state.target.Suspect },
		func(state *targetState) bool { return !now.Before(state.ejectedUntil) },
		func(state *targetState) bool { return !now.Before(state.pausedUntil) },
		func(state *targetState) bool { return state.hasCapacity(now) },
		func(state *targetState) bool {
			return slotsAreScarce && state.hasCapacity(now) && state.isRateBound(now) == isLong
		},
		func(state *targetState) bool { return state.target.Zone == picker.zone && state.hasCapacity(now) },
	}
	for _, preferred := range preferences {
		remaining := slices.DeleteFunc(slices.Clone(candidates), func(state *targetState) bool { return !preferred(state) })
		if len(remaining) > 0 {
			candidates = remaining
		}
	}
	return candidates
}

// estimatedLoad returns the estimated number of calls on the target: the larger
// of this node's calls in flight and the load that the target reported. The
// reported load is scaled down linearly with its age and reaches zero at
// maxLoadAge, because the calls that it counted end over time.
func (state *targetState) estimatedLoad(now time.Time) int {
	age := now.Sub(state.loadAt)
	if age >= maxLoadAge {
		return state.inFlight
	}
	reported := float64(state.load.InFlight + state.load.Queued)
	return max(state.inFlight, int(math.Round(reported*float64(maxLoadAge-age)/float64(maxLoadAge))))
}

// SetLoad records a load that was not received with a response from the target.
func (picker *Picker) SetLoad(now time.Time, name string, load Load) {
	if state, ok := picker.states[name]; ok {
		state.load, state.loadAt = load, now
	}
}

// localDiscount lowers the cost of the target on this node, so that it is
// preferred among otherwise equal targets.
const localDiscount = 0.9

// cost returns the expected time of one more call; lower is better. Calls do
// not wait for each other while slots are free, but some targets slow down as
// their load rises, so the cost grows with the load.
func (picker *Picker) cost(now time.Time, state *targetState) float64 {
	cost := state.meanServiceTime(now) * (1 + float64(state.estimatedLoad(now))/state.capacity(now))
	if state.target.Name == picker.localTarget {
		cost *= localDiscount
	}
	return cost
}

// meanServiceTime returns the mean time of a call in seconds. It uses the mean
// over the calls of all callers, as reported by the target's node, if that
// report is less than maxServiceTimeAge old. Otherwise it uses the latency
// measured by this node.
func (state *targetState) meanServiceTime(now time.Time) float64 {
	if state.load.ServiceTime > 0 && now.Sub(state.loadAt) < maxServiceTimeAge {
		return state.load.ServiceTime.Seconds()
	}
	return state.decayedLatency(now)
}

// slowStartFactor returns a factor that reduces the number of calls to a newly
// added target; see pickOfTwo. The factor is the age of the target divided by
// slowStartWindow, but at least minSlowStartFactor and at most 1.
func (state *targetState) slowStartFactor(now time.Time) float64 {
	return min(1, max(minSlowStartFactor, now.Sub(state.addedAt).Seconds()/slowStartWindow.Seconds()))
}

// decayedLatency returns the measured latency, which decays with its age so
// that a target that was slow is tried again.
func (state *targetState) decayedLatency(now time.Time) float64 {
	decay := math.Exp(-now.Sub(state.measuredAt).Seconds() / latencyDecay.Seconds())
	return max(state.latency*decay, initialLatency.Seconds()/100)
}

// pickOfTwo returns the cheaper of two random candidates. If the cheaper one is
// in slow start and the other one has a higher slow-start factor, the other one
// is returned with a probability of 1 minus the cheaper one's factor.
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

// Done records the result of a call for which Pick or Choose has chosen the
// target with the given name. load is nil if the response carried no load.
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
		state.coldRefusals = max(0, state.coldRefusals-1)
		state.recordLatency(now, latency)
	case ResultFailed:
		state.failures++
		if state.failures >= failuresToEject {
			picker.eject(now, state)
		}
	case ResultRefused:
		state.pausedUntil = now.Add(picker.pauseAfterRefusal(now, state))
	}
}

// recordLatency updates the moving average: half of an increase is applied at
// once, but only one eighth of a decrease.
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

// eject marks a target as ejected for a limited time. An ejected target is
// chosen only as a last resort; see prefer and lastResortPenalty. At most
// maxEjectionPercent of the targets of a version outside evacuated zones are ejected at
// the same time.
// One ejected target is always permitted, unless it is the only target of its
// version. The time doubles with each ejection since the last successful call,
// up to maxEjectionTime.
func (picker *Picker) eject(now time.Time, state *targetState) {
	sameVersion := slices.DeleteFunc(slices.Clone(picker.statesByService[state.target.Service]), func(peer *targetState) bool {
		return peer.evacuated || peer.target.Version != state.target.Version
	})
	ejectedCount := 0
	for _, peer := range sameVersion {
		if now.Before(peer.ejectedUntil) {
			ejectedCount++
		}
	}
	maxEjected := max(1, len(sameVersion)*maxEjectionPercent/100)
	if len(sameVersion) < 2 || ejectedCount >= maxEjected {
		return
	}
	state.ejections++
	state.failures = 0
	state.ejectedUntil = now.Add(min(maxEjectionTime, baseEjectionTime<<min(state.ejections-1, 4)))
}
