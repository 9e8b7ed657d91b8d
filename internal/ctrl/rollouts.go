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

// decideEvery is the pause between two decisions of the leader.
const decideInterval = 100 * time.Millisecond

// rollouts runs the controllers of all rollouts while this replica leads.
type rollouts struct {
	control     *Control
	log         logr.Logger
	timing      canary.Timing
	controllers map[string]*activeController
	// seen is when this replica first saw each rollout, by epoch, on its steady
	// clock; deadlines of whole services count from there.
	firstSeen map[uint64]time.Time
	// lock guards seen.
	lock   sync.Mutex
	placer *placer
}

// running is the controller of one rollout, told apart by its epoch.
type activeController struct {
	epoch      uint64
	controller *canary.Controller
}

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

func (rollouts *rollouts) run(ctx context.Context) error {
	return tasks.Every(ctx, decideInterval, func() {
		rollouts.recordFirstSeen()
		if !rollouts.control.replica.isLeader() {
			clear(rollouts.controllers)
			return
		}
		rollouts.decideAll(ctx)
		if rollouts.control.settings.Interface != config.InterfacePlatform {
			// Callers there give no keys, so nobody has to witness claims.
			rollouts.updateWitnesses(ctx)
		}
	})
}

// notice remembers when rollouts of whole services were first seen here.
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

// resendWindow is how long after its first sight a rollout's order may still
// come again from an operator who lost the answer.
const resendWindow = 30 * time.Second

// justEnded reports whether a rollout that has ended was first seen so shortly
// ago that its order may be coming again.
func (rollouts *rollouts) inResendWindow(epoch uint64) bool {
	rollouts.lock.Lock()
	defer rollouts.lock.Unlock()
	at, ok := rollouts.firstSeen[epoch]
	return ok && rollouts.control.now().Sub(at) < resendWindow
}

// due is the deadline of a whole service's rollout on this replica's clock.
func (rollouts *rollouts) deadline(rollout rsrc.Rollout) time.Time {
	rollouts.lock.Lock()
	defer rollouts.lock.Unlock()
	return rollouts.firstSeen[rollout.Epoch()].Add(rollout.TimeLimit())
}

// decide lets every controller look at what was observed since the last time.
func (rollouts *rollouts) decideAll(ctx context.Context) {
	var observations []distr.Observation
	rollouts.control.tree.Do(func(core *distr.Core, _ time.Time) { observations = core.TakeObservations() })
	config := rollouts.control.replica.config()
	records := rollouts.control.tree.Records()
	for _, rollout := range config.OpenRollouts() {
		rollouts.decideRollout(ctx, config, rollout, observations, records)
	}
}

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
		rollouts.log.Error(err, "step refused", "rollout", rollout.Subject())
		return
	}
	rollouts.propose(ctx, command)
	rollouts.log.Info("rollout step", "rollout", rollout.Subject(), "to", rollout.To(), "state", string(step.State), "share", step.Share, "cause", step.Cause)
	rollouts.control.stats.Count(`vp_rollout_steps_total{state="`+string(step.State)+`"}`, 1)
}

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

func (rollouts *rollouts) propose(ctx context.Context, command wire.Command) {
	timeoutCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := rollouts.control.replica.proposeLocal(timeoutCtx, command)
	if err != nil || result.Code != wire.CodeOK {
		rollouts.log.Info("step not accepted", "code", string(result.Code), "reason", result.Reason)
	}
}

// place keeps the placement of deduplication witnesses.
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
	rollouts.log.Info("witnesses change", "nodes", next.Placements()[0].Nodes)
	rollouts.propose(ctx, command)
}
