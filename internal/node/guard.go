package node

import (
	"context"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillapulley/vanillapulley/internal/canary"
	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// guardEvery is how often a node looks at what it has seen itself and passes
// it on.
const guardEvery = 100 * time.Millisecond

// watched is what a node has seen of one rollout.
type watched struct {
	rollout  rsrc.Rollout
	evidence *canary.Evidence
	before   distr.Observation
	after    distr.Observation
	// badSince is when this node's own evidence was first in, or zero.
	badSince time.Time
	// tripped keeps the new version's share at zero for this epoch.
	tripped bool
}

// guardGrace is how long a node waits for the leader to act on what this node
// has seen and reported. A node that stopped at once would take the leader's
// evidence away: it needs failures from several blocks of time.
const guardGrace = 3 * time.Second

// guard watches the rollouts from this node alone. It only ever lowers a new
// version's share, without asking, when the leader has not acted in time. Its lock guards byRoute.
type guard struct {
	node    *Node
	log     logr.Logger
	lock    sync.Mutex
	byRoute map[string]*watched
}

func newGuard(node *Node) *guard {
	return &guard{node: node, log: node.logs.Layer("rollout"), byRoute: map[string]*watched{}}
}

// share returns the new version's share on this node, in permille.
func (guard *guard) share(rollout rsrc.Rollout) int {
	guard.lock.Lock()
	defer guard.lock.Unlock()
	held, ok := guard.byRoute[rollout.Subject()]
	if ok && held.rollout.Epoch() == rollout.Epoch() && held.tripped {
		return 0
	}
	return rollout.Share()
}

// observe counts one try on a version.
func (guard *guard) observe(rollout rsrc.Rollout, version string, result result, latency time.Duration) {
	failed, counts := verdict(result, rollout.Service() != "")
	if !counts {
		return
	}
	guard.lock.Lock()
	defer guard.lock.Unlock()
	held, ok := guard.byRoute[rollout.Subject()]
	if !ok || held.rollout.Epoch() != rollout.Epoch() {
		held = newWatched(rollout)
		guard.byRoute[rollout.Subject()] = held
	}
	held.rollout = rollout
	observation := &held.before
	if rollout.MatchesVersion(version, true) {
		observation = &held.after
	}
	observation.Calls++
	if failed {
		observation.Errors++
		return
	}
	observation.Latency[distr.LatencyBucket(latency)]++
}

func newWatched(rollout rsrc.Rollout) *watched {
	observation := distr.Observation{Route: rollout.Subject(), Epoch: rollout.Epoch()}
	held := &watched{evidence: canary.NewEvidence(), before: observation, after: observation}
	held.before.Version, held.after.Version = rollout.From(), rollout.To()
	return held
}

// verdict tells whether a try speaks for or against its version at all. A
// planned stop and a caller that left do not. During the rollout of a whole
// service a gate without a free slot is usual: the new version has few targets
// at first.
func verdict(result result, whole bool) (failed, counts bool) {
	switch {
	case result.learned == picker.ResultCanceled:
		return false, false
	case result.outcome == proxy.OutcomeNotRun:
		return true, result.reason == string(limit.ReasonFull) && !whole || result.learned == picker.ResultFailed
	default:
		return result.learned == picker.ResultFailed, true
	}
}

// run looks at the evidence and passes the counts on, until the context ends.
func (guard *guard) run(ctx context.Context) error {
	return tasks.Every(ctx, guardEvery, guard.look)
}

func (guard *guard) look() {
	observations := guard.collect()
	if len(observations) == 0 {
		return
	}
	guard.node.tree.Do(func(core *distr.Core, _ time.Time) {
		for _, observation := range observations {
			core.Observe(observation)
		}
	})
}

// collect adds the counts since the last look to the evidence and returns
// them.
func (guard *guard) collect() []distr.Observation {
	guard.lock.Lock()
	defer guard.lock.Unlock()
	var observations []distr.Observation
	for _, held := range guard.byRoute {
		if held.before.Calls+held.after.Calls == 0 {
			continue
		}
		observations = append(observations, held.before, held.after)
		// A single node cannot tell a cold version from a slow one.
		const cold = true
		held.evidence.Add(counts(held.before), counts(held.after), cold)
		held.before.Reset()
		held.after.Reset()
		guard.trip(held)
	}
	return observations
}

func counts(observation distr.Observation) canary.Counts {
	return canary.Counts{Calls: observation.Calls, Errors: observation.Errors, Latency: observation.Latency}
}

func (guard *guard) trip(held *watched) {
	cause, bad := held.evidence.Regression()
	if !bad || held.tripped {
		return
	}
	now := guard.node.now()
	if held.badSince.IsZero() {
		held.badSince = now
	}
	if now.Sub(held.badSince) < guardGrace {
		return
	}
	held.tripped = true
	guard.node.stats.Count("vp_guard_tripped_total", 1)
	guard.log.Info("share lowered on this node", "route", held.rollout.Subject(), "to", held.rollout.To(), "cause", cause)
}
