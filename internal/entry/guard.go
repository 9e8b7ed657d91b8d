package entry

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-logr/logr"

	"github.com/vanillapulley/vanillapulley/internal/canary"
	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// guardInterval is how often a node evaluates its own observations and reports
// them.
const guardInterval = 100 * time.Millisecond

// versionCounts are the counts of the calls of one class to both versions.
type versionCounts struct {
	oldVersion distr.Observation
	newVersion distr.Observation
}

// observedRollout contains a node's observations of one rollout.
type observedRollout struct {
	rollout  rsrc.Rollout
	evidence *canary.Evidence
	// byClass holds the counts of each class of calls since the last report.
	byClass [distr.CallClasses]versionCounts
	// regressedSince is when this node's own evidence first showed a
	// regression, or made one likely in the rollout of a whole service, or zero.
	regressedSince time.Time
	// tripped is true once this node has set the new version's share to zero.
	// It applies only to this epoch, that is, to one start of the rollout.
	tripped bool
	// revision and revisionSince are the latest step of the rollout and when this node
	// first used it.
	revision      uint64
	revisionSince time.Time
}

// The levels at which a node's own evidence counts in the rollout of a whole service.
// A false alarm costs little there: this node's calls stay with the old version until
// the leader has decided. guardGrace starts at guardSuspectLevel, and the node trips at
// guardTripLevel.
const (
	guardSuspectLevel = 0.2
	guardTripLevel    = 0.01
)

// guardGrace is how long a node waits for the leader to act on the observations
// that this node has reported. A node that stopped immediately would deprive
// the leader of evidence: the leader needs failures from several intervals.
const guardGrace = 3 * time.Second

// guard evaluates rollouts from this node's observations alone. If the leader
// does not act in time, it sets the new version's share on this node to zero
// without coordination. It never raises a share. Its lock guards bySubject,
// which is keyed by the route or service of the rollout.
type guard struct {
	entry     *Entry
	log       logr.Logger
	lock      sync.Mutex
	bySubject map[string]*observedRollout
}

func newGuard(entry *Entry, log logr.Logger) *guard {
	return &guard{entry: entry, log: log, bySubject: map[string]*observedRollout{}}
}

// share returns the new version's share on this node, in permille.
func (guard *guard) share(rollout rsrc.Rollout) int {
	guard.lock.Lock()
	defer guard.lock.Unlock()
	observed := guard.observed(rollout)
	if observed.tripped {
		return 0
	}
	if rollout.Revision() > observed.revision {
		observed.revision, observed.revisionSince = rollout.Revision(), guard.entry.now()
	}
	if rollout.InTrial() && guard.entry.now().Sub(observed.revisionSince) > canary.MaxTrialStep {
		// No step followed the trial, so the leader cannot be heard.
		return 0
	}
	return rollout.Share()
}

// observed returns the observations of a rollout. The lock must be held.
func (guard *guard) observed(rollout rsrc.Rollout) *observedRollout {
	observed, ok := guard.bySubject[rollout.Subject()]
	if !ok || observed.rollout.Epoch() != rollout.Epoch() {
		observed = newObservedRollout(rollout)
		guard.bySubject[rollout.Subject()] = observed
	}
	return observed
}

// observe counts one try of a call on the named route at a version.
func (guard *guard) observe(rollout rsrc.Rollout, version, route string, result result, latency time.Duration) {
	failed, isEvidence := classifyForGuard(result, rollout.Service() != "")
	if !isEvidence {
		return
	}
	guard.lock.Lock()
	defer guard.lock.Unlock()
	observed := guard.observed(rollout)
	observed.rollout = rollout
	counts := &observed.byClass[xxhash.Sum64String(route)%distr.CallClasses]
	observation := &counts.oldVersion
	if rollout.MatchesVersion(version, true) {
		observation = &counts.newVersion
	}
	observation.Calls++
	if failed {
		observation.Errors++
		return
	}
	observation.Latency[distr.LatencyBucket(latency)]++
}

func newObservedRollout(rollout rsrc.Rollout) *observedRollout {
	observed := &observedRollout{rollout: rollout, evidence: canary.NewEvidence()}
	for class := range observed.byClass {
		observation := distr.Observation{Route: rollout.Subject(), Epoch: rollout.Epoch(), Class: class}
		counts := &observed.byClass[class]
		counts.oldVersion, counts.newVersion = observation, observation
		counts.oldVersion.Version, counts.newVersion.Version = rollout.From(), rollout.To()
	}
	return observed
}

// classifyForGuard reports whether a try failed and whether it counts as
// evidence about its version. A disconnected caller and an error response that
// is due to refused nested calls do not count. If the call did not run, the try
// counts only if the gate could not be reached, the upstream refused the call,
// or the gate had no free slot; a planned shutdown, for example, does not count.
// During the rollout of a whole service, a gate without a free slot does not
// count either, because the new version has few targets at first.
func classifyForGuard(result result, wholeService bool) (failed, counts bool) {
	switch {
	case result.pickerResult == picker.ResultCanceled:
		return false, false
	case result.outcome == proxy.OutcomeNotRun:
		return true, result.reason == string(limit.ReasonFull) && !wholeService || result.pickerResult == picker.ResultFailed
	default:
		return result.pickerResult == picker.ResultFailed, true
	}
}

// run evaluates and reports the observations periodically until the context
// ends.
func (guard *guard) run(ctx context.Context) error {
	return tasks.Every(ctx, guardInterval, guard.report)
}

func (guard *guard) report() {
	observations := guard.collect()
	if len(observations) == 0 {
		return
	}
	guard.entry.report(observations)
}

// collect adds the counts since the previous call to the evidence, resets them
// and returns them. It trips the rollouts whose evidence requires it.
func (guard *guard) collect() []distr.Observation {
	guard.lock.Lock()
	defer guard.lock.Unlock()
	var observations []distr.Observation
	for _, observed := range guard.bySubject {
		oldCounts, newCounts, reports := observed.take()
		if len(reports) == 0 {
			if guard.inProgress(observed) {
				// A node with few calls trips without waiting for the next one.
				guard.trip(observed)
			}
			continue
		}
		observations = append(observations, reports...)
		// A single node cannot distinguish a cold version from a slow one, so
		// the latency of the new version is ignored.
		const cold = true
		observed.evidence.Add(oldCounts, newCounts, cold)
		guard.trip(observed)
	}
	return observations
}

// take returns the counts of both versions since the last report, over all classes and
// as the observations of each class with calls, and resets them.
func (observed *observedRollout) take() (oldCounts, newCounts canary.Counts, observations []distr.Observation) {
	for class := range observed.byClass {
		counts := &observed.byClass[class]
		if counts.oldVersion.Calls+counts.newVersion.Calls == 0 {
			continue
		}
		observations = append(observations, counts.oldVersion, counts.newVersion)
		oldCounts.Add(canaryCounts(counts.oldVersion))
		newCounts.Add(canaryCounts(counts.newVersion))
		counts.oldVersion.Reset()
		counts.newVersion.Reset()
	}
	return oldCounts, newCounts, observations
}

// inProgress reports whether the observed rollout has not ended in the configuration of
// this node.
func (guard *guard) inProgress(observed *observedRollout) bool {
	config := guard.entry.config()
	if config == nil {
		return false
	}
	for _, rollout := range config.OpenRollouts() {
		if rollout.Subject() == observed.rollout.Subject() {
			return rollout.Epoch() == observed.rollout.Epoch()
		}
	}
	return false
}

func canaryCounts(observation distr.Observation) canary.Counts {
	return canary.Counts{Calls: observation.Calls, Errors: observation.Errors, Latency: observation.Latency}
}

// trip sets the new version's share on this node to zero if the evidence first
// showed a regression at least guardGrace ago and still shows one. The lock must
// be held.
func (guard *guard) trip(observed *observedRollout) {
	if observed.tripped {
		return
	}
	cause, suspected := observed.evidence.Regression()
	regressed := suspected
	if observed.rollout.Service() != "" {
		_, suspected = observed.evidence.RegressionAt(guardSuspectLevel)
		cause, regressed = observed.evidence.RegressionAt(guardTripLevel)
	}
	now := guard.entry.now()
	if suspected && observed.regressedSince.IsZero() {
		observed.regressedSince = now
	}
	if !regressed || now.Sub(observed.regressedSince) < guardGrace {
		return
	}
	observed.tripped = true
	guard.entry.stats.Count("vp_guard_tripped_total", 1)
	guard.log.Info("new version stopped on this node", "route", observed.rollout.Subject(), "to", observed.rollout.To(), "cause", cause)
}
