package rsrc

import (
	"slices"
	"time"
)

// State is the state of a rollout.
type State string

// The states of a rollout. A successful rollout goes through them in this
// order up to StateFinished and may skip StateRamping. In StateWatching the new
// version gets all traffic, or nearly all in the rollout of a whole service, and is
// still compared with the old version.
// StateRolledBack means that there was evidence against the new version or that
// an operator stopped the rollout, and StateFailed that the deadline passed.
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

// Ended reports whether the state is final.
func (state State) Ended() bool { return len(transitions[state]) == 0 }

// CanTransitionTo reports whether a rollout may go from state to next.
func (state State) CanTransitionTo(next State) bool {
	return slices.Contains(transitions[state], next)
}

// Step is one decision on a rollout.
type Step struct {
	State State
	// Share is the share of calls that go to the new version, in permille.
	Share int
	// Cause tells operators why the step was taken.
	Cause string
	At    time.Time
}

// Rollout moves the calls of a route from one version to another before a
// deadline. The rollout of a whole service does so for all calls to the service.
type Rollout struct {
	// route is empty for the rollout of a service; service is empty for the
	// rollout of a route.
	route    string
	service  string
	revision uint64
	// from is empty for the rollout of a service. It then stands for all
	// versions except to.
	from     string
	to       string
	deadline time.Time
	// timeLimit is the time allowed from the operator's request to the end of
	// the rollout. It is zero for the rollout of a route.
	timeLimit time.Duration
	// epoch is the revision of the write that started the rollout. Nodes use it
	// to distinguish the rollout from earlier ones of the same route or service.
	epoch uint64
	// steps holds all decisions so far, oldest first. It is never empty in a
	// valid rollout.
	steps []Step
	// fullShareAt is the time at which the new version got all traffic, or zero.
	fullShareAt time.Time
}

// NewRollout returns a rollout of a route in StateScheduled.
func NewRollout(route, from, to string, deadline, now time.Time) Rollout {
	first := Step{State: StateScheduled, Cause: "accepted", At: now}
	return Rollout{route: route, from: from, to: to, deadline: deadline, steps: []Step{first}}
}

// NewServiceRollout returns a rollout of a whole service in StateScheduled.
func NewServiceRollout(service, to string, timeLimit time.Duration, now time.Time) Rollout {
	rollout := NewRollout("", "", to, now.Add(timeLimit), now)
	return rollout.WithService(service, timeLimit)
}

// WithService returns a copy of the rollout as the rollout of a whole service.
func (rollout Rollout) WithService(service string, timeLimit time.Duration) Rollout {
	rollout.service, rollout.timeLimit = service, timeLimit
	return rollout
}

// WithDeadline returns a copy of the rollout with another deadline. For the
// rollout of a service, a leader sets it to the time at which it first saw the
// rollout plus the time limit, on its own monotonic clock.
func (rollout Rollout) WithDeadline(deadline time.Time) Rollout {
	rollout.deadline = deadline
	return rollout
}

// RestoreRollout returns a rollout with the given stored fields. For the rollout
// of a service, WithService must be called on the result.
func RestoreRollout(route, from, to string, deadline time.Time, epoch uint64, fullShareAt time.Time, steps []Step) Rollout {
	return Rollout{route: route, from: from, to: to, deadline: deadline, epoch: epoch, fullShareAt: fullShareAt, steps: steps}
}

// RolloutKey returns the key of the rollout of a route.
func RolloutKey(route string) Key { return NewKey(KindRollout, route) }

// ServiceRolloutKey returns the key of the rollout of a service. It differs
// from the key of any route's rollout because route names contain no slash.
func ServiceRolloutKey(service string) Key { return NewKey(KindRollout, "services/"+service) }

// Route returns the name of the route whose calls are moved. It is empty for
// the rollout of a service.
func (rollout Rollout) Route() string { return rollout.route }

// Service returns the name of the service whose calls are moved. It is empty
// for the rollout of a route.
func (rollout Rollout) Service() string { return rollout.service }

// TimeLimit returns the time allowed from the operator's request to the end of
// the rollout. It is zero for the rollout of a route.
func (rollout Rollout) TimeLimit() time.Duration { return rollout.timeLimit }

// Subject returns a name for the route or service whose calls are moved. It is
// unique among all rollouts.
func (rollout Rollout) Subject() string { return rollout.Key().Name() }

// MatchesVersion reports whether version is the new version of the rollout if
// isNew is set, or an old version otherwise.
func (rollout Rollout) MatchesVersion(version string, isNew bool) bool {
	if isNew {
		return version == rollout.to
	}
	return version == rollout.from || rollout.from == "" && version != rollout.to
}

// From returns the old version. It is empty for the rollout of a service.
func (rollout Rollout) From() string { return rollout.from }

// To returns the new version.
func (rollout Rollout) To() string { return rollout.to }

// Deadline returns the deadline. By that time, in the rollout of a route the new
// version must get all traffic; the rollout of a service must have finished.
func (rollout Rollout) Deadline() time.Time { return rollout.deadline }

// Epoch returns the revision of the write that started the rollout.
func (rollout Rollout) Epoch() uint64 { return rollout.epoch }

// FullShareAt returns the time at which the new version got all traffic, or zero.
func (rollout Rollout) FullShareAt() time.Time { return rollout.fullShareAt }

// Steps returns all decisions so far, oldest first.
func (rollout Rollout) Steps() []Step { return rollout.steps }

// LatestStep returns the latest decision, or a zero Step if there is none.
func (rollout Rollout) LatestStep() Step {
	if len(rollout.steps) == 0 {
		return Step{}
	}
	return rollout.steps[len(rollout.steps)-1]
}

// targetsPerTrialTarget is the number of targets of the new version for each target in
// the trial of a whole service.
const targetsPerTrialTarget = 16

// InTrial reports whether the rollout is the trial of a whole service. Few targets of the
// new version then serve its calls, so that a small share of all calls makes them busy.
func (rollout Rollout) InTrial() bool {
	return rollout.service != "" && rollout.LatestStep().State == StateRamping
}

// TrialTargets returns how many of the given number of targets take part in the trial of
// a whole service.
func TrialTargets(targets int) int {
	return (targets + targetsPerTrialTarget - 1) / targetsPerTrialTarget
}

// Share returns the share of calls that go to the new version, in permille.
func (rollout Rollout) Share() int { return rollout.LatestStep().Share }

// Advance returns a copy of the rollout with one more step, or a
// ValidationError if the current state does not allow the step.
func (rollout Rollout) Advance(step Step) (Rollout, error) {
	last := rollout.LatestStep()
	if !last.State.CanTransitionTo(step.State) {
		return rollout, validationError(rollout.Key(), "state", "cannot go from %s to %s", last.State, step.State)
	}
	if step.State == StateWatching && rollout.fullShareAt.IsZero() {
		rollout.fullShareAt = step.At
	}
	rollout.steps = append(slices.Clone(rollout.steps), step)
	return rollout, nil
}

// Key returns the key of the rollout, which is derived from its route or
// service.
func (rollout Rollout) Key() Key {
	if rollout.service != "" {
		return ServiceRolloutKey(rollout.service)
	}
	return RolloutKey(rollout.route)
}

// Revision returns the log index of the last step of the rollout.
func (rollout Rollout) Revision() uint64 { return rollout.revision }

// WithRevision returns a copy of the rollout with the given revision. The first
// revision also becomes the epoch.
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
	last := rollout.LatestStep()
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

// checkService validates the rollout of a service. The new version does not have
// to exist in the configuration, because the targets announce their versions.
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
