package node

import (
	"context"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/lease"
)

// limitLogInterval is the interval of the log lines about a limited upstream.
const limitLogInterval = time.Second

// limitLog counts what the gate does between two log lines about a limited
// upstream. The gate's lock guards it.
type limitLog struct {
	// logged is the time of the latest line; zero if the upstream is not limited.
	logged time.Time
	// sent counts the calls that were sent to the upstream.
	sent int
}

// observe applies what the upstream stated about itself in a genuine response to a
// call that was sent at the given time. If it stated that it is leaving, no further
// call reaches it once observe has returned, and other nodes are told.
func (gate *gate) observe(sent time.Time, upstream lease.Notice, statement lease.Statement) {
	if statement.LimitUnreadable {
		gate.node.stats.Count("vp_upstream_limit_unreadable_total", 1)
	}
	now := gate.node.now()
	gate.lock.Lock()
	before, limitBefore := gate.tracker.Last(), gate.rateLimit()
	changed := gate.tracker.Observe(now, sent, upstream, statement)
	after, limitAfter := gate.tracker.Last(), gate.rateLimit()
	if changed {
		gate.applyLimit()
		gate.wakePacing()
	}
	if after.Draining {
		gate.limit.Drain()
	}
	gate.lock.Unlock()
	if after.Draining && !before.Draining {
		gate.log.Info("upstream stated that it is leaving", "upstream", upstream.ID, "born", upstream.Born)
		gate.node.publishRecord()
	}
	gate.logLimitChange(upstream, limitBefore, limitAfter)
}

// rateLimit returns the rate limit of the upstream. The lock must be held.
func (gate *gate) rateLimit() lease.RateLimit {
	limit, _ := gate.tracker.RateLimit()
	return limit
}

// logLimitChange logs that a rate limit began or ended.
func (gate *gate) logLimitChange(upstream lease.Notice, before, after lease.RateLimit) {
	_, was := before.PerSecond()
	perSecond, is := after.PerSecond()
	if was != is {
		gate.log.Info("rate limit of the upstream began or ended", "upstream", upstream.ID, "born", upstream.Born, "limited", is, "perSecond", perSecond)
	}
}

// applyLimit sets the rate at which calls are admitted to that of the upstream. The
// lock must be held.
func (gate *gate) applyLimit() {
	if perSecond, limited := gate.rateLimit().PerSecond(); limited {
		gate.limit.SetRate(gate.node.now(), perSecond)
	} else {
		gate.limit.ClearRate(gate.node.now())
	}
}

// wakePacing makes runPacing look for the next call that waits for the rate limit.
// The lock must be held.
func (gate *gate) wakePacing() {
	if _, waiting := gate.limit.NextAdmission(gate.node.now()); !waiting {
		return
	}
	select {
	case gate.pacing <- struct{}{}:
	default:
	}
}

// runPacing admits the calls that wait for the rate limit when their turn comes,
// until the context ends.
func (gate *gate) runPacing(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gate.pacing:
		case <-timer.C:
		}
		now := gate.node.now()
		gate.lock.Lock()
		gate.limit.Admit(now)
		delay, waiting := gate.limit.NextAdmission(now)
		gate.lock.Unlock()
		if waiting {
			timer.Reset(delay)
		}
	}
}

// logLimit writes a line about a limited upstream once per limitLogInterval.
func (gate *gate) logLimit(now time.Time) {
	gate.lock.Lock()
	limit, since := gate.tracker.RateLimit()
	perSecond, limited := limit.PerSecond()
	entry := gate.limitLog
	due := limited && now.Sub(entry.logged) >= limitLogInterval
	if due || !limited {
		gate.limitLog = limitLog{}
	}
	if due {
		gate.limitLog.logged = now
	}
	upstream, inFlight, queued := gate.tracker.Last(), gate.limit.InFlight(), gate.limit.Queued()
	gate.lock.Unlock()
	if due && !entry.logged.IsZero() {
		gate.log.Info("rate limit of the upstream", "upstream", upstream.ID, "perSecond", perSecond, "since", now.Sub(since).String(),
			"sent", entry.sent, "interval", now.Sub(entry.logged).String(), "inFlight", inFlight, "queued", queued)
	}
}

// countSent counts a call that is sent to the upstream.
func (gate *gate) countSent() {
	gate.node.stats.Count("vp_upstream_calls_total", 1)
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.limitLog.sent++
}

// upstreamLimit returns the rate limit of the upstream in calls per second, or -1
// if it has none.
func (gate *gate) upstreamLimit() float64 {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if perSecond, limited := gate.rateLimit().PerSecond(); limited {
		return perSecond
	}
	return -1
}
