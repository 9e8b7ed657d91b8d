package ctrl

import (
	"context"
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
const decideEvery = 500 * time.Millisecond

// rollouts runs the controllers of all rollouts while this replica leads.
type rollouts struct {
	control     *Control
	log         logr.Logger
	timing      canary.Timing
	controllers map[string]*running
	placer      *placer
}

// running is the controller of one rollout, told apart by its epoch.
type running struct {
	epoch      uint64
	controller *canary.Controller
}

func newRollouts(control *Control) *rollouts {
	return &rollouts{
		control:     control,
		log:         control.logs.Layer("rollout"),
		timing:      rolloutTiming(control.settings.Rollout),
		controllers: map[string]*running{},
		placer:      newPlacer(),
	}
}

func rolloutTiming(settings config.Rollout) canary.Timing {
	timing := canary.DefaultTiming()
	set := func(target *time.Duration, value config.Duration) {
		if value > 0 {
			*target = time.Duration(value)
		}
	}
	set(&timing.Dwell, settings.Dwell)
	set(&timing.Watch, settings.Watch)
	set(&timing.Cold, settings.Cold)
	return timing
}

func (rollouts *rollouts) run(ctx context.Context) error {
	return tasks.Every(ctx, decideEvery, func() {
		if !rollouts.control.replica.leads() {
			clear(rollouts.controllers)
			return
		}
		rollouts.decide(ctx)
		rollouts.place(ctx)
	})
}

// decide lets every controller look at what was observed since the last time.
func (rollouts *rollouts) decide(ctx context.Context) {
	var observations []distr.Observation
	rollouts.control.tree.Do(func(core *distr.Core, _ time.Time) { observations = core.TakeObservations() })
	config := rollouts.control.replica.config()
	records := rollouts.control.tree.Records()
	for _, resource := range config.All() {
		rollout, ok := resource.(rsrc.Rollout)
		if !ok || rollout.Last().State.Ended() {
			continue
		}
		rollouts.decideOne(ctx, config, rollout, observations, records)
	}
}

func (rollouts *rollouts) decideOne(ctx context.Context, config *rsrc.Config, rollout rsrc.Rollout, observations []distr.Observation, records []member.Record) {
	now := rollouts.control.now()
	route, _ := config.Route(rollout.Route())
	service, _ := config.Service(route.Service())
	held := rollouts.controllers[rollout.Route()]
	if held == nil || held.epoch != rollout.Epoch() {
		held = &running{epoch: rollout.Epoch(), controller: canary.New(service.Policy(), rollouts.timing, now)}
		rollouts.controllers[rollout.Route()] = held
	}
	input := canary.Input{Rollout: rollout, Policy: service.Policy(), MinTargets: 1}
	if version, ok := config.UpstreamVersion(route.Service(), rollout.To()); ok {
		input.MinTargets = version.MinTargets()
	}
	for _, observation := range observations {
		countObservation(&input, observation)
	}
	for _, record := range records {
		if record.State == member.StateServing && record.Upstream.Service == route.Service() && record.Upstream.Version == rollout.To() {
			input.Targets++
			input.Slots += record.Upstream.Slots
		}
	}
	step, ok := held.controller.Decide(now, input)
	if !ok {
		return
	}
	command := wire.Command{RequestID: uuid.NewString(), At: now.UTC()}
	step.At = command.At
	if err := addStep(&command, config, rollout, step); err != nil {
		rollouts.log.Error(err, "step refused", "route", rollout.Route())
		return
	}
	rollouts.propose(ctx, command)
	rollouts.log.Info("rollout step", "route", rollout.Route(), "to", rollout.To(), "state", string(step.State), "share", step.Share, "cause", step.Cause)
	rollouts.control.stats.Count(`vp_rollout_steps_total{state="`+string(step.State)+`"}`, 1)
}

func countObservation(input *canary.Input, observation distr.Observation) {
	rollout := input.Rollout
	if observation.Route != rollout.Route() || observation.Epoch != rollout.Epoch() {
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
	bounded, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := rollouts.control.replica.proposeHere(bounded, command)
	if err != nil || result.Code != wire.CodeOK {
		rollouts.log.Info("step not accepted", "code", string(result.Code), "reason", result.Reason)
	}
}

// place keeps the placement of deduplication witnesses.
func (rollouts *rollouts) place(ctx context.Context) {
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
