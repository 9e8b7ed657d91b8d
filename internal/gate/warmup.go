package gate

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/warmup"
)

const (
	// noticeDelay is how long a notice may have been on its way before it is handled. A
	// shorter time would take a notice from before an event for one from after it on a
	// busy machine; a longer one would discard the notice that follows the event.
	noticeDelay = 100 * time.Millisecond
	// healthTimeout limits a request to the health path. The next heartbeat tells the
	// state after about this time.
	healthTimeout = time.Second
)

// appliedWarmUp is what the gate has put into effect of the upstream's warm-up.
type appliedWarmUp struct {
	state warmup.State
	// perSecond is the rate of calls; zero if they are not paced for warm-up.
	perSecond float64
}

// hearNotice applies what an accepted notice says about the upstream's warm-up, given the
// notice before. An upstream that was absent may have become cold without a word of it in
// the notice, which may be older than its return. The first notice of a start that says
// cold is certainly newer. The lock must be held.
func (gate *Gate) hearNotice(old, notice lease.Notice) {
	now := gate.now()
	isReplaced := old.Slots > 0 && (old.ID != notice.ID || old.Born != notice.Born)
	gate.warmUp.Hear(now, now.Add(-noticeDelay), notice.Cold)
	if gate.absent || isReplaced {
		gate.absent = false
		gate.warmUp.Forget(now)
		if isReplaced && notice.Cold > 0 {
			gate.warmUp.Hear(now, now, notice.Cold)
			return
		}
		gate.requestHealth()
	}
}

// zoneReadmitted is called at the end of an evacuation of the zone, before any call is
// admitted. The upstream may have become cold. It does not block. The lock must be held.
func (gate *Gate) zoneReadmitted(now time.Time) {
	gate.warmUp.Forget(now)
	gate.refreshWarmUp()
	if _, present := gate.tracker.Current(); present {
		gate.requestHealth()
	}
}

// requestHealth makes RunWarmUp ask the upstream whether it is cold.
func (gate *Gate) requestHealth() {
	select {
	case gate.healthDue <- struct{}{}:
	default:
	}
}

// refreshWarmUp puts the warm-up state into effect: the settings of the upstream's
// service, the pace of calls and the log. It reports whether the record of the upstream
// must be published. The lock must be held.
func (gate *Gate) refreshWarmUp() bool {
	now, upstream := gate.now(), gate.tracker.Last()
	var settings warmup.Settings
	if config := gate.config(); config != nil {
		if service, ok := config.Service(upstream.Service); ok {
			settings = warmup.Settings{Duration: service.WarmUp().WarmUp, PerSecond: service.WarmUp().WarmUpRate}
		}
	}
	gate.warmUp.SetSettings(settings)
	applied := appliedWarmUp{state: gate.warmUp.State(now)}
	if perSecond, paced := gate.warmUp.PerSecond(now); paced {
		applied.perSecond = perSecond
	}
	if before := gate.appliedWarmUp; before != applied {
		gate.appliedWarmUp = applied
		if before.perSecond != applied.perSecond {
			gate.applyLimit()
			gate.wakePacing()
		}
		gate.log.Info("warm-up state of the upstream", "upstream", upstream.ID, "born", upstream.Born, "before", string(before.state),
			"state", string(applied.state), "perSecond", applied.perSecond, "left", gate.warmUp.Left(now).String())
	}
	return gate.warmUp.Forecast(now, gate.recordedWarmUp, now.Sub(gate.recordedWarmUpAt)) != gate.recordedWarmUp
}

// recordWarmUp returns the forecast for the record of the upstream. The lock must be
// held.
func (gate *Gate) recordWarmUp() warmup.Forecast {
	now := gate.now()
	if forecast := gate.warmUp.Forecast(now, gate.recordedWarmUp, now.Sub(gate.recordedWarmUpAt)); forecast != gate.recordedWarmUp {
		gate.recordedWarmUp, gate.recordedWarmUpAt = forecast, now
	}
	return gate.recordedWarmUp
}

// countWarmUp counts a call that waits or is refused while the upstream is paced for
// warm-up.
func (gate *Gate) countWarmUp(verdict limit.Decision, reason limit.Reason) {
	switch {
	case verdict == limit.Wait:
		gate.stats.Count("vp_warm_up_held_total", 1)
	case reason == limit.ReasonRate:
		gate.stats.Count("vp_warm_up_refused_total", 1)
	}
}

// ColdUpstream returns 1 if calls are paced because the upstream is cold or may be, and
// otherwise 0.
func (gate *Gate) ColdUpstream() float64 {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if gate.appliedWarmUp.perSecond > 0 {
		return 1
	}
	return 0
}

// RunWarmUp asks the upstream whether it is cold, once after each event that calls for
// it, until the context ends.
func (gate *Gate) RunWarmUp(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gate.healthDue:
			gate.queryHealth(ctx)
		}
	}
}

// queryHealth sends one request to the health path of the upstream if its state is
// unknown, and applies the response. Without a response that tells the state, it stays
// unknown.
func (gate *Gate) queryHealth(ctx context.Context) {
	gate.lock.Lock()
	sent := gate.now()
	upstream, present := gate.tracker.Current()
	unknown := gate.warmUp.State(sent) == warmup.StateUnknown
	gate.lock.Unlock()
	path := gate.healthPath(upstream.Service)
	if !present || !unknown || path == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var request fasthttp.Request
	var response fasthttp.Response
	request.Header.SetRequestURI(path)
	request.Header.SetHost(upstream.Address)
	gate.dialect.ForwardInfo(&request, proto.ForwardInfo{Timeout: healthTimeout, UpstreamID: upstream.ID, CallerService: upstream.Service})
	err := gate.upstreams.Do(ctx, upstream.Address, &request, &response)
	var left time.Duration
	told, outcome, status, reason := false, "unanswered", 0, ""
	if err != nil {
		reason = exchangeReason(err)
	} else {
		status = response.StatusCode()
		left, told = gate.dialect.WarmUp(&response)
		told = told && !gate.dialect.ResponseInfo(&response).WrongUpstream
		outcome = "no state"
	}
	if told {
		outcome = "told"
	}
	gate.stats.Count(fmt.Sprintf(`vp_warm_up_health_requests_total{outcome=%q}`, outcome), 1)
	gate.log.Info("upstream asked whether it is cold", "upstream", upstream.ID, "born", upstream.Born, "outcome", outcome,
		"status", status, "reason", reason, "left", left.String(), "took", gate.now().Sub(sent).String())
	if told {
		gate.hearHealth(upstream, sent, left)
	}
}

// healthPath returns the health path of a service in the configuration in force, or an
// empty string if it has none that can be requested.
func (gate *Gate) healthPath(service string) string {
	config := gate.config()
	if config == nil {
		return ""
	}
	found, ok := config.Service(service)
	path := found.TargetOptions().HealthPath
	if !ok || !strings.HasPrefix(path, "/") || strings.ContainsAny(path, " \r\n\t") {
		return ""
	}
	return path
}

// hearHealth applies the response to a health request that was sent to an upstream at the
// given time.
func (gate *Gate) hearHealth(upstream lease.Notice, sent time.Time, left time.Duration) {
	gate.lock.Lock()
	outdated := false
	if last := gate.tracker.Last(); last.ID == upstream.ID && last.Born == upstream.Born {
		gate.warmUp.Hear(gate.now(), sent, left)
		outdated = gate.refreshWarmUp()
	}
	gate.lock.Unlock()
	if outdated {
		gate.host.PublishRecordSoon()
	}
}
