package rsrc

import (
	"slices"
	"time"
)

// State is a rollout's place in its life.
type State string

// The states of a rollout, in the order of a good one's life; rolledBack and
// failed end a bad one. Watching means all traffic is on the new version and
// the comparison with the old one goes on.
const (
	StateScheduled  State = "scheduled"
	StateCanary     State = "canary"
	StateRamping    State = "ramping"
	StateWatching   State = "watching"
	StateFinished   State = "finished"
	StateRolledBack State = "rolledBack"
	StateFailed     State = "failed"
)

var transitions = map[State][]State{
	StateScheduled: {StateScheduled, StateCanary, StateRolledBack, StateFailed},
	StateCanary:    {StateCanary, StateRamping, StateWatching, StateRolledBack, StateFailed},
	StateRamping:   {StateRamping, StateWatching, StateRolledBack, StateFailed},
	StateWatching:  {StateFinished, StateRolledBack},
}

// Ended reports whether no further step follows.
func (state State) Ended() bool { return len(transitions[state]) == 0 }

// CanTransitionTo reports whether next is a legal step from state.
func (state State) CanTransitionTo(next State) bool {
	return slices.Contains(transitions[state], next)
}

// Step is one decision about a rollout.
type Step struct {
	State State
	// Share is the new version's part of the route's calls, in permille.
	Share int
	// Cause says why the step was taken, for operators.
	Cause string
	At    time.Time
}

// Rollout shifts a route, or all calls to a service, from one version to
// another by a deadline.
type Rollout struct {
	// route is empty for the rollout of a service, service for that of a route.
	route    string
	service  string
	revision uint64
	// from is empty for the rollout of a service: all versions but to.
	from     string
	to       string
	deadline time.Time
	// timeLimit is the time that was allowed from the order on; zero for the
	// rollout of a route.
	timeLimit time.Duration
	// epoch is the revision of the write that began the rollout; local
	// guards are tied to it.
	epoch uint64
	// steps holds every decision so far, oldest first, and is never empty.
	steps []Step
	// finished is when all traffic was on the new version, or zero.
	finished time.Time
}

// NewRollout returns a scheduled rollout of a route.
func NewRollout(route, from, to string, deadline, now time.Time) Rollout {
	first := Step{State: StateScheduled, Cause: "accepted", At: now}
	return Rollout{route: route, from: from, to: to, deadline: deadline, steps: []Step{first}}
}

// NewServiceRollout returns a scheduled rollout of all calls to a service.
func NewServiceRollout(service, to string, timeLimit time.Duration, now time.Time) Rollout {
	rollout := NewRollout("", "", to, now.Add(timeLimit), now)
	return rollout.WithService(service, timeLimit)
}

// WithService returns the rollout as one of a whole service.
func (rollout Rollout) WithService(service string, timeLimit time.Duration) Rollout {
	rollout.service, rollout.timeLimit = service, timeLimit
	return rollout
}

// WithDeadline returns the rollout with another deadline. A leader goes by its own
// steady clock from the moment it saw the order.
func (rollout Rollout) WithDeadline(deadline time.Time) Rollout {
	rollout.deadline = deadline
	return rollout
}

// RestoreRollout rebuilds a rollout from its stored parts.
func RestoreRollout(route, from, to string, deadline time.Time, epoch uint64, finished time.Time, steps []Step) Rollout {
	return Rollout{route: route, from: from, to: to, deadline: deadline, epoch: epoch, finished: finished, steps: steps}
}

// RolloutKey returns the key of a route's rollout.
func RolloutKey(route string) Key { return NewKey(KindRollout, route) }

// ServiceRolloutKey returns the key of a service's rollout. No route's name
// holds a slash.
func ServiceRolloutKey(service string) Key { return NewKey(KindRollout, "services/"+service) }

// Route returns the name of the route that is shifted, empty for a service.
func (rollout Rollout) Route() string { return rollout.route }

// Service returns the name of the service that is shifted, empty for a route.
func (rollout Rollout) Service() string { return rollout.service }

// TimeLimit returns the time allowed from the order on, zero for a route.
func (rollout Rollout) TimeLimit() time.Duration { return rollout.timeLimit }

// Subject names what is shifted, unique among all rollouts.
func (rollout Rollout) Subject() string { return rollout.Key().Name() }

// MatchesVersion reports whether a version is on the new side of the rollout or, if not
// fresh, on the old one.
func (rollout Rollout) MatchesVersion(version string, isNew bool) bool {
	if isNew {
		return version == rollout.to
	}
	return version == rollout.from || rollout.from == "" && version != rollout.to
}

// From returns the old version.
func (rollout Rollout) From() string { return rollout.from }

// To returns the new version.
func (rollout Rollout) To() string { return rollout.to }

// Deadline returns the deadline for all traffic to be on the new version.
func (rollout Rollout) Deadline() time.Time { return rollout.deadline }

// Epoch returns the revision that began the rollout.
func (rollout Rollout) Epoch() uint64 { return rollout.epoch }

// Finished returns when all traffic was on the new version, or zero.
func (rollout Rollout) Finished() time.Time { return rollout.finished }

// Steps returns the decisions so far, oldest first.
func (rollout Rollout) Steps() []Step { return rollout.steps }

// LastStep returns the latest decision, or a zero Step for an invalid rollout.
func (rollout Rollout) LastStep() Step {
	if len(rollout.steps) == 0 {
		return Step{}
	}
	return rollout.steps[len(rollout.steps)-1]
}

// Share returns the new version's part of the calls, in permille.
func (rollout Rollout) Share() int { return rollout.LastStep().Share }

// Advance returns the rollout after one more decision, or a FaultError when
// the step is not legal from the present state.
func (rollout Rollout) Advance(step Step) (Rollout, error) {
	last := rollout.LastStep()
	if !last.State.CanTransitionTo(step.State) {
		return rollout, validationError(rollout.Key(), "state", "cannot go from %s to %s", last.State, step.State)
	}
	if step.State == StateWatching && rollout.finished.IsZero() {
		rollout.finished = step.At
	}
	rollout.steps = append(slices.Clone(rollout.steps), step)
	return rollout, nil
}

// Key returns the rollout's identity: what it shifts.
func (rollout Rollout) Key() Key {
	if rollout.service != "" {
		return ServiceRolloutKey(rollout.service)
	}
	return RolloutKey(rollout.route)
}

// Revision returns the log index of the rollout's last step.
func (rollout Rollout) Revision() uint64 { return rollout.revision }

// WithRevision returns the rollout under another revision; the first one sets
// the epoch.
func (rollout Rollout) WithRevision(revision uint64) Resource {
	rollout.revision = revision
	if rollout.epoch == 0 {
		rollout.epoch = revision
	}
	return rollout
}

func (rollout Rollout) check(config *Config) error {
	key := rollout.Key()
	if len(rollout.steps) == 0 {
		return validationError(key, "steps", "is empty")
	}
	last := rollout.LastStep()
	if last.Share < 0 || last.Share > FullShare {
		return validationError(key, "share", "must be from 0 to %d, is %d", FullShare, last.Share)
	}
	if rollout.service != "" {
		return rollout.checkService(config)
	}
	route, ok := config.Route(rollout.route)
	if !ok {
		return validationError(key, "route", "route %q does not exist", rollout.route)
	}
	if last.State.Ended() {
		return nil
	}
	if rollout.from == rollout.to {
		return validationError(key, "to", "route %q already runs version %q", rollout.route, rollout.to)
	}
	for field, version := range map[string]string{"from": rollout.from, "to": rollout.to} {
		if _, ok := config.UpstreamVersion(route.service, version); !ok {
			return validationError(key, field, "version %q of service %q does not exist", version, route.service)
		}
	}
	return nil
}

// checkService does not ask for the version: targets announce theirs.
func (rollout Rollout) checkService(config *Config) error {
	key := rollout.Key()
	if _, ok := config.Service(rollout.service); !ok {
		return validationError(key, "service", "service %q does not exist", rollout.service)
	}
	if rollout.to == "" {
		return validationError(key, "to", "is missing")
	}
	if rollout.timeLimit <= 0 {
		return validationError(key, "within", "must be positive, is %s", rollout.timeLimit)
	}
	return nil
}
