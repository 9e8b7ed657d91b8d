package gate

import (
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/warmup"
)

// observe applies what the upstream stated about itself in a genuine response to a
// call that was sent at the given time. If it stated that it is leaving, no further
// call reaches it once observe has returned, and other nodes are told.
func (gate *Gate) observe(sent time.Time, upstream lease.Notice, statement lease.Statement) {
	if statement.LimitUnreadable {
		gate.logUnreadableLimit(upstream)
	}
	now := gate.now()
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
	outdated := limitsDiffer(gate.recordedLimit, limitAfter)
	gate.lock.Unlock()
	if after.Draining && !before.Draining {
		gate.log.Info("upstream stated that it is leaving", "upstream", upstream.ID, "born", upstream.Born)
		gate.host.PublishRecord()
	}
	if outdated {
		// The bookkeeping task publishes the record, so that many changes in a short
		// time are published together.
		gate.host.PublishRecordSoon()
	}
	gate.logLimitChange(upstream, limitBefore, limitAfter)
}

// RecordedLimit returns the rate limit in a record.
func RecordedLimit(upstream member.Upstream) lease.RateLimit {
	if !upstream.Limited {
		return lease.RateLimit{}
	}
	return lease.NewRateLimit(upstream.Limit)
}

// recordedLimitTolerance is the relative difference between the rate limit and the
// published one up to which the record is not published again.
const recordedLimitTolerance = 0.1

// limitsDiffer reports whether other nodes need to hear of a rate limit, given the
// one that they know.
func limitsDiffer(known, limit lease.RateLimit) bool {
	knownPerSecond, was := known.PerSecond()
	perSecond, is := limit.PerSecond()
	return was != is || math.Abs(perSecond-knownPerSecond) > recordedLimitTolerance*max(perSecond, knownPerSecond)
}

// adoptLimit applies the rate limit that an entry node has learnt from the upstream,
// if this gate has not heard from the upstream since it started. The lock must be
// held.
func (gate *Gate) adoptLimit(header *fasthttp.RequestHeader) {
	id, born, ok := proto.ParseInstance(string(header.Peek(proxy.HeaderInstance)))
	if !ok {
		return
	}
	perSecond, err := strconv.ParseFloat(string(header.Peek(proxy.HeaderLimit)), 64)
	if err != nil || !(perSecond >= 0) {
		return
	}
	if gate.tracker.AdoptLimit(gate.now(), id, born, lease.NewRateLimit(perSecond), lease.LimitFromEntry) {
		gate.applyLimit()
		gate.log.Info("rate limit of the upstream learnt from an entry node", "upstream", id, "born", born, "perSecond", perSecond)
	}
}

// writeStatement tells the entry node what the upstream states about itself.
func (gate *Gate) writeStatement(header *fasthttp.ResponseHeader) {
	gate.lock.Lock()
	upstream, limit := gate.tracker.Last(), gate.rateLimit()
	cold := gate.warmUp.Forecast(gate.now(), warmup.Forecast{}, 0)
	gate.lock.Unlock()
	if cold.Left > 0 {
		header.Set(proxy.HeaderCold, proto.FormatCold(cold))
	}
	perSecond, limited := limit.PerSecond()
	if limited {
		header.Set(proxy.HeaderLimit, proto.FormatRate(perSecond))
	}
	if upstream.Draining {
		header.Set(proxy.HeaderLeaving, "1")
	}
	if limited || upstream.Draining || cold.Left > 0 {
		header.Set(proxy.HeaderInstance, proto.FormatInstance(upstream.ID, upstream.Born))
	}
}

// rateLimit returns the rate limit of the upstream. The lock must be held.
func (gate *Gate) rateLimit() lease.RateLimit { return gate.tracker.RateLimit() }
