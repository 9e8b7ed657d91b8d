package node

import (
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
// call that was sent at the given time.
func (gate *gate) observe(sent time.Time, upstream lease.Notice, statement lease.Statement) {
	now := gate.node.now()
	gate.lock.Lock()
	before, _ := gate.tracker.RateLimit()
	changed := gate.tracker.Observe(now, sent, upstream, statement)
	after, _ := gate.tracker.RateLimit()
	gate.lock.Unlock()
	if statement.LimitUnreadable {
		gate.node.stats.Count("vp_upstream_limit_unreadable_total", 1)
	}
	_, was := before.PerSecond()
	perSecond, is := after.PerSecond()
	if changed && was != is {
		gate.log.Info("rate limit of the upstream began or ended", "upstream", upstream.ID, "born", upstream.Born, "limited", is, "perSecond", perSecond)
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
	limit, _ := gate.tracker.RateLimit()
	if perSecond, limited := limit.PerSecond(); limited {
		return perSecond
	}
	return -1
}
