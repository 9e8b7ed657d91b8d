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

// decideInterval is how often the leader checks whether rollouts take a next step
// and whether the witnesses must change.
const decideInterval = 100 * time.Millisecond

// rolloutManager runs the controllers of all rollouts, and updates the
// deduplication witnesses, while this replica is the leader.
type rolloutManager struct {
	control     *Control
	log         logr.Logger
	timing      canary.Timing
	controllers map[string]*activeController
	// firstSeen maps the epoch of each rollout, which identifies it, to when this
	// replica first saw it. The time limit of the rollout of a whole service starts at
	// that time.
	firstSeen map[uint64]firstSight
	// lock guards firstSeen.
	lock   sync.Mutex
	placer *placer
}

// firstSight is when and how a replica first saw a rollout.
type firstSight struct {
	// at is a time on the monotonic clock.
	at time.Time
	// open is true if the rollout was in progress.
	open bool
}

// activeController is the controller of the rollout with the given epoch.
type activeController struct {
	epoch      uint64
	controller *canary.Controller
}

// newRolloutManager returns a manager without controllers.
func newRolloutManager(control *Control) *rolloutManager {
	return &rolloutManager{
		control:     control,
		log:         control.logs.Layer("rollout"),
		timing:      rolloutTiming(control.settings.Rollout),
		controllers: map[string]*activeController{},
		firstSeen:   map[uint64]firstSight{},
		placer:      newPlacer(),
	}
}

// rolloutTiming returns the default timing. Settings greater than zero override
// its values.
func rolloutTiming(settings config.Rollout) canary.Timing {
	timing := canary.DefaultTiming()
	override := func(field *time.Duration, value config.Duration) {
		if value > 0 {
			*field = time.Duration(value)
		}
	}
	override(&timing.Dwell, settings.Dwell)
	override(&timing.Watch, settings.Watch)
	override(&timing.Cold, settings.Cold)
	return timing
}

// run updates rollouts and witnesses every decideInterval until the context ends.
func (rolloutManager *rolloutManager) run(ctx context.Context) error {
	return tasks.Every(ctx, decideInterval, func() {
		rolloutManager.recordFirstSeen()
		if !rolloutManager.control.replica.isLeader() {
			clear(rolloutManager.controllers)
			return
		}
		rolloutManager.decideAll(ctx)
		if rolloutManager.control.settings.Interface != config.InterfacePlatform {
			// Callers at the platform interface send no idempotency keys, so
			// that interface needs no witnesses.
			rolloutManager.updateWitnesses(ctx)
		}
	})
}

// recordFirstSeen records the current time for rollouts that this replica sees for the
// first time.
func (rolloutManager *rolloutManager) recordFirstSeen() {
	now := rolloutManager.control.now()
	rolloutManager.lock.Lock()
	defer rolloutManager.lock.Unlock()
	for _, rollout := range rolloutManager.control.replica.config().Rollouts() {
		if _, ok := rolloutManager.firstSeen[rollout.Epoch()]; !ok {
			rolloutManager.firstSeen[rollout.Epoch()] = firstSight{at: now, open: !rollout.LatestStep().State.Ended()}
		}
	}
}

// resendWindow is the period after a rollout was first seen in which another
// request with the same arguments may be a resend of the request that started it.
// Operators resend a request for up to 4 s if they have received no response, and an
// attempt may take 1 s.
const resendWindow = 5 * time.Second

// resend tells whether an order repeats the one that started a rollout.
type resend int

const (
	resendNo resend = iota
	resendYes
	// resendUnclear means that this replica has seen the rollout only after its end,
	// for example because it has restarted, and that this was within resendWindow.
	resendUnclear
)

// classifyOrder tells whether an order with the arguments of the rollout with the given
// epoch, which has ended, is a resend.
func (rolloutManager *rolloutManager) classifyOrder(epoch uint64) resend {
	rolloutManager.lock.Lock()
	defer rolloutManager.lock.Unlock()
	sight, ok := rolloutManager.firstSeen[epoch]
	switch {
	case ok && rolloutManager.control.now().Sub(sight.at) >= resendWindow:
		return resendNo
	case ok && sight.open:
		return resendYes
	default:
		return resendUnclear
	}
}

// deadline returns the deadline of the rollout of a whole service on the clock of
// this replica.
func (rolloutManager *rolloutManager) deadline(rollout rsrc.Rollout) time.Time {
	rolloutManager.lock.Lock()
	defer rolloutManager.lock.Unlock()
	return rolloutManager.firstSeen[rollout.Epoch()].at.Add(rollout.TimeLimit())
}

// decideAll lets the controller of each open rollout decide, based on the
// observations since decideAll last ran.
func (rolloutManager *rolloutManager) decideAll(ctx context.Context) {
	var observations []distr.Observation
	rolloutManager.control.tree.Do(func(core *distr.Core, _ time.Time) { observations = core.TakeObservations() })
	config := rolloutManager.control.replica.config()
	records := rolloutManager.control.tree.Records()
	for _, rollout := range config.OpenRollouts() {
		rolloutManager.decideRollout(ctx, config, rollout, observations, records)
	}
}

// decideRollout lets the controller of a rollout decide on its next step, and
// proposes that step. It creates the controller if there is none for the epoch of
// the rollout.
func (rolloutManager *rolloutManager) decideRollout(ctx context.Context, config *rsrc.Config, rollout rsrc.Rollout, observations []distr.Observation, records []member.Record) {
	now := rolloutManager.control.now()
	serviceName, timing := rollout.Service(), rolloutManager.timing
	if serviceName == "" {
		// The rollout is that of a route.
		route, _ := config.Route(rollout.Route())
		serviceName = route.Service()
	} else {
		timing = canary.ServiceTiming(rollout.TimeLimit())
	}
	service, _ := config.Service(serviceName)
	active := rolloutManager.controllers[rollout.Subject()]
	if active == nil || active.epoch != rollout.Epoch() {
		active = &activeController{epoch: rollout.Epoch(), controller: canary.New(service.Policy(), timing, now)}
		rolloutManager.controllers[rollout.Subject()] = active
	}
	input := canary.Input{Rollout: rollout, Policy: service.Policy(), MinTargets: 1}
	if rollout.Service() != "" {
		input.Rollout = rollout.WithDeadline(rolloutManager.deadline(rollout))
	}
	if version, ok := config.UpstreamVersion(serviceName, rollout.To()); ok {
		input.MinTargets = version.MinTargets()
	}
	for _, observation := range observations {
		countObservation(&input, observation)
	}
	for _, record := range records {
		if record.State == member.StateServing && !config.Evacuated(record.Zone) && record.Upstream.Service == serviceName && record.Upstream.Version == rollout.To() {
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
		rolloutManager.log.Error(err, "cannot advance the rollout", "rollout", rollout.Subject())
		return
	}
	rolloutManager.propose(ctx, command)
	// The step is logged and counted even if the command was not accepted.
	rolloutManager.log.Info("rollout step", "rollout", rollout.Subject(), "to", rollout.To(), "state", string(step.State), "share", step.Share, "cause", step.Cause)
	rolloutManager.control.stats.Count(`vp_rollout_steps_total{state="`+string(step.State)+`"}`, 1)
}

// countObservation adds an observation to the counts of the old or the new version
// if it belongs to the rollout of the input. In observations for the rollout of a
// whole service, Route holds the subject of the rollout.
func countObservation(input *canary.Input, observation distr.Observation) {
	rollout := input.Rollout
	if observation.Route != rollout.Subject() || observation.Epoch != rollout.Epoch() {
		return
	}
	counts := canary.Counts{Calls: observation.Calls, Errors: observation.Errors, Latency: observation.Latency}
	switch observation.Version {
	case rollout.From():
		input.Before.Add(counts)
		input.ByClass[observation.Class].Before.Add(counts)
	case rollout.To():
		input.After.Add(counts)
		input.ByClass[observation.Class].After.Add(counts)
	}
}

// propose proposes a command on this replica and logs a command that is not
// accepted.
func (rolloutManager *rolloutManager) propose(ctx context.Context, command wire.Command) {
	timeoutCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	result, err := rolloutManager.control.replica.proposeLocal(timeoutCtx, command)
	if err != nil || result.Code != wire.CodeOK {
		rolloutManager.log.Info("command not accepted", "code", string(result.Code), "reason", result.Reason)
	}
}

// updateWitnesses proposes a new placement of deduplication witnesses if a change
// is due.
func (rolloutManager *rolloutManager) updateWitnesses(ctx context.Context) {
	now := rolloutManager.control.now()
	records := rolloutManager.control.tree.Records()
	config := rolloutManager.control.replica.config()
	witnesses, _ := config.Witnesses()
	next, ok := rolloutManager.placer.next(now, witnesses, records)
	if !ok {
		return
	}
	command := wire.Command{
		RequestID: uuid.NewString(),
		At:        now.UTC(),
		Expect:    []wire.Expect{{Key: wire.FromKey(rsrc.WitnessesKey()), Revision: witnesses.Revision()}},
		Put:       []wire.Resource{wire.FromResource(next)},
	}
	rolloutManager.log.Info("changing the witness placement", "nodes", next.Placements()[0].Nodes)
	rolloutManager.propose(ctx, command)
}
