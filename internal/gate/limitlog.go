package gate

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

// logLimitChange logs that a rate limit began or ended.
func (gate *Gate) logLimitChange(upstream lease.Notice, before, after lease.RateLimit) {
	_, was := before.PerSecond()
	perSecond, is := after.PerSecond()
	if was != is {
		gate.log.Info("rate limit of the upstream began or ended", "upstream", upstream.ID, "born", upstream.Born, "limited", is, "perSecond", perSecond)
	}
}

// logUnreadableLimit counts a response whose rate limit could not be read, and logs
// it at most once per limitLogInterval.
func (gate *Gate) logUnreadableLimit(upstream lease.Notice) {
	gate.stats.Count("vp_upstream_limit_unreadable_total", 1)
	now := gate.now()
	gate.lock.Lock()
	due := now.Sub(gate.unreadableLogged) >= limitLogInterval
	if due {
		gate.unreadableLogged = now
	}
	limit := gate.rateLimit()
	gate.lock.Unlock()
	if perSecond, limited := limit.PerSecond(); due {
		gate.log.Info("rate limit of the upstream could not be read", "upstream", upstream.ID, "born", upstream.Born, "keptLimited", limited, "keptPerSecond", perSecond)
	}
}

// LogLimit writes a line about a limited upstream once per limitLogInterval.
func (gate *Gate) LogLimit(now time.Time) {
	gate.lock.Lock()
	perSecond, limited := gate.rateLimit().PerSecond()
	since, source := gate.tracker.LimitOrigin()
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
		gate.log.Info("rate limit of the upstream", "upstream", upstream.ID, "perSecond", perSecond, "age", now.Sub(since).String(), "source", string(source),
			"sent", entry.sent, "interval", now.Sub(entry.logged).String(), "inFlight", inFlight, "queued", queued)
	}
}

// countSent counts a call that is sent to the upstream.
func (gate *Gate) countSent() {
	gate.stats.Count("vp_upstream_calls_total", 1)
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.limitLog.sent++
}

// UpstreamLimit returns the rate limit of the upstream in calls per second, or -1
// if it has none.
func (gate *Gate) UpstreamLimit() float64 {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if perSecond, limited := gate.rateLimit().PerSecond(); limited {
		return perSecond
	}
	return -1
}
