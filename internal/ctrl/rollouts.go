package ctrl

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/google/uuid"

	"github.com/vanillapulley/vanillapulley/internal/canary"
	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// decideInterval is the interval between two decisions of the leader.
const decideInterval = 100 * time.Millisecond

// rollouts runs the controllers of all rollouts, and updates the deduplication
// witnesses, while this replica is the leader.
type rollouts struct {
	control     *Control
	log         logr.Logger
	timing      canary.Timing
	controllers map[string]*activeController
	// firstSeen maps the epoch of each rollout to the time on the monotonic clock
	// at which this replica first saw it. The time limit of the rollout of a whole
	// service starts at that time.
	firstSeen map[uint64]time.Time
	// lock guards firstSeen.
	lock   sync.Mutex
	placer *placer
}

// activeController is the controller of the rollout with the given epoch.
type activeController struct {
	epoch      uint64
	controller *canary.Controller
}

// newRollouts returns the rollouts of a control daemon, without controllers.
func newRollouts(control *Control) *rollouts {
	return &rollouts{
		control:     control,
		log:         control.logs.Layer("rollout"),
		timing:      rolloutTiming(control.settings.Rollout),
		controllers: map[string]*activeController{},
		firstSeen:   map[uint64]time.Time{},
		placer:      newPlacer(),
	}
}

// rolloutTiming returns the default timing, with the values from the settings that
// are set.
func rolloutTiming(settings config.Rollout) canary.Timing {
	timing := canary.DefaultTiming()
	override := func(target *time.Duration, value config.Duration) {
		if value > 0 {
			*target = time.Duration(value)
		}
	}
	override(&timing.Dwell, settings.Dwell)
	override(&timing.Watch, settings.Watch)
	override(&timing.Cold, settings.Cold)
	return timing
}

// run makes decisions every decideInterval until the context ends.
func (rollouts *rollouts) run(ctx context.Context) error {
	return tasks.Every(ctx, decideInterval, func() {
		rollouts.recordFirstSeen()
		if !rollouts.control.replica.isLeader() {
			clear(rollouts.controllers)
			return
		}
		rollouts.decideAll(ctx)
		if rollouts.control.settings.Interface != config.InterfacePlatform {
			// Callers at the platform interface send no idempotency keys, so
			// that interface needs no witnesses.
			rollouts.updateWitnesses(ctx)
		}
	})
}

// recordFirstSeen records the current time for open rollouts that this replica
// sees for the first time.
func (rollouts *rollouts) recordFirstSeen() {
	now := rollouts.control.now()
	rollouts.lock.Lock()
	defer rollouts.lock.Unlock()
	for _, rollout := range rollouts.control.replica.config().OpenRollouts() {
		if _, ok := rollouts.firstSeen[rollout.Epoch()]; !ok {
			rollouts.firstSeen[rollout.Epoch()] = now
		}
	}
}

// resendWindow is how long after a rollout was first seen its request may still be
// sent again, by an operator who has not received the response.
const resendWindow = 30 * time.Second

// inResendWindow reports whether the rollout with the given epoch was first seen
// less than resendWindow ago, so that its request may still be sent again.
func (rollouts *rollouts) inResendWindow(epoch uint64) bool {
	rollouts.lock.Lock()
	defer rollouts.lock.Unlock()
	at, ok := rollouts.firstSeen[epoch]
	return ok && rollouts.control.now().Sub(at) < resendWindow
}

// deadline returns the deadline of the rollout of a whole service on the clock of
// this replica.
func (rollouts *rollouts) deadline(rollout rsrc.Rollout) time.Time {
	rollouts.lock.Lock()
	defer rollouts.lock.Unlock()
	return rollouts.firstSeen[rollout.Epoch()].Add(rollout.TimeLimit())
}

// decideAll passes the observations since the last call to the controllers of all
// open rollouts.
func (rollouts *rollouts) decideAll(ctx context.Context) {
	var observations []distr.Observation
	rollouts.control.tree.Do(func(core *distr.Core, _ time.Time) { observations = core.TakeObservations() })
	config := rollouts.control.replica.config()
	records := rollouts.control.tree.Records()
	for _, rollout := range config.OpenRollouts() {
		rollouts.decideRollout(ctx, config, rollout, observations, records)
	}
}

// decideRollout lets the controller of a rollout decide on its next step, and
// proposes that step. It creates the controller if there is none for the epoch of
// the rollout.
func (rollouts *rollouts) decideRollout(ctx context.Context, config *rsrc.Config, rollout rsrc.Rollout, observations []distr.Observation, records []member.Record) {
	now := rollouts.control.now()
	name, timing := rollout.Service(), rollouts.timing
	if name == "" {
		route, _ := config.Route(rollout.Route())
		name = route.Service()
	} else {
		timing = canary.ServiceTiming(rollout.TimeLimit())
	}
	service, _ := config.Service(name)
	active := rollouts.controllers[rollout.Subject()]
	if active == nil || active.epoch != rollout.Epoch() {
		active = &activeController{epoch: rollout.Epoch(), controller: canary.New(service.Policy(), timing, now)}
		rollouts.controllers[rollout.Subject()] = active
	}
	input := canary.Input{Rollout: rollout, Policy: service.Policy(), MinTargets: 1}
	if rollout.Service() != "" {
		input.Rollout = rollout.WithDeadline(rollouts.deadline(rollout))
	}
	if version, ok := config.UpstreamVersion(name, rollout.To()); ok {
		input.MinTargets = version.MinTargets()
	}
	for _, observation := range observations {
		countObservation(&input, observation)
	}
	for _, record := range records {
		if record.State == member.StateServing && record.Upstream.Service == name && record.Upstream.Version == rollout.To() {
			input.Targets++
			input.Slots += record.Upstream.Slots
		}
	}
	step, ok := active.controller.Decide(now, input)
	if !ok {
		return
	}
	command := wire.Command{RequestID: uuid.NewString(), At: now.UTC()}
	step.At = command.At
	if err := addRolloutStep(&command, config, rollout, step); err != nil {
		rollouts.log.Error(err, "cannot advance the rollout", "rollout", rollout.Subject())
		return
	}
	rollouts.propose(ctx, command)
	rollouts.log.Info("rollout step", "rollout", rollout.Subject(), "to", rollout.To(), "state", string(step.State), "share", step.Share, "cause", step.Cause)
	rollouts.control.stats.Count(`vp_rollout_steps_total{state="`+string(step.State)+`"}`, 1)
}

// countObservation adds an observation to the counts of the old or the new version
// if it belongs to the rollout of the input.
func countObservation(input *canary.Input, observation distr.Observation) {
	rollout := input.Rollout
	if observation.Route != rollout.Subject() || observation.Epoch != rollout.Epoch() {
		return
	}
	counts := canary.Counts{Calls: observation.Calls, Errors: observation.Errors, Latency: observation.Latency}
	switch observation.Version {
	case rollout.From():
		input.Before.Add(counts)
	case rollout.To():
		input.After.Add(counts)
	}
}

// propose proposes a command on this replica and logs if it is not accepted.
func (rollouts *rollouts) propose(ctx context.Context, command wire.Command) {
	timeoutCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := rollouts.control.replica.proposeLocal(timeoutCtx, command)
	if err != nil || result.Code != wire.CodeOK {
		rollouts.log.Info("command not accepted", "code", string(result.Code), "reason", result.Reason)
	}
}

// updateWitnesses proposes a new placement of deduplication witnesses if a change
// is due.
func (rollouts *rollouts) updateWitnesses(ctx context.Context) {
	now := rollouts.control.now()
	records := rollouts.control.tree.Records()
	config := rollouts.control.replica.config()
	witnesses, _ := config.Witnesses()
	next, ok := rollouts.placer.next(now, witnesses, records)
	if !ok {
		return
	}
	command := wire.Command{
		RequestID: uuid.NewString(),
		At:        now.UTC(),
		Expect:    []wire.Expect{{Key: wire.FromKey(rsrc.WitnessesKey()), Revision: witnesses.Revision()}},
		Put:       []wire.Resource{wire.FromResource(next)},
	}
	rollouts.log.Info("changing the witness placement", "nodes", next.Placements()[0].Nodes)
	rollouts.propose(ctx, command)
}
