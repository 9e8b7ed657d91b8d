package gate

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/member"
)

// Record returns the membership record of this node and its upstream.
func (gate *Gate) Record() member.Record {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	last := gate.tracker.Last()
	_, present := gate.tracker.Current()
	record := member.Record{
		Gate:        gate.settings.Gate,
		Incarnation: gate.incarnation,
		State:       member.StateIdle,
		Upstream: member.Upstream{
			Service:  last.Service,
			Version:  last.Version,
			Slots:    last.Slots,
			ID:       last.ID,
			Born:     last.Born,
			Sequence: last.Sequence,
			Draining: last.Draining,
			Gone:     gate.tracker.Deregistered(),
		},
	}
	record.Upstream.WarmUp = gate.recordWarmUp()
	gate.recordedLimit = gate.rateLimit()
	record.Upstream.Limit, record.Upstream.Limited = gate.recordedLimit.PerSecond()
	if record.Upstream.Limited {
		since, source := gate.tracker.LimitOrigin()
		record.Upstream.LimitedSince, record.Upstream.LimitSource = since.UnixMilli(), string(source)
	}
	switch {
	case gate.nodeLeaving:
		record.State = member.StateLeaving
	case present && !last.Draining:
		record.State = member.StateServing
	}
	return record
}

// HasNoUpstream reports whether the node has no upstream at present.
func (gate *Gate) HasNoUpstream() bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	_, present := gate.tracker.Current()
	return !present
}

// accept applies an upstream's notice. It returns false if the notice is stale.
// If the notice changes anything that other nodes need to know, the node's
// record is published. Once accept has applied a notice that the upstream is
// draining, no further call reaches that upstream.
func (gate *Gate) accept(notice lease.Notice, ttl time.Duration) bool {
	gate.lock.Lock()
	old, present := gate.tracker.Current()
	// Before the first bookkeeping after a pause, an expired lease counts as present.
	gate.absent = gate.absent || gate.tracker.Expired(gate.now())
	if !gate.tracker.Renew(gate.now(), notice, ttl) {
		gate.lock.Unlock()
		return false
	}
	notice, _ = gate.tracker.Current()
	changed := !present || !sameUpstream(old, notice)
	gate.hearNotice(old, notice)
	if changed {
		gate.applyNotice(notice)
	}
	outdated := gate.refreshWarmUp()
	gate.lock.Unlock()
	if changed {
		gate.log.Info("upstream announced", "upstream", notice.ID, "service", notice.Service, "version", notice.Version,
			"slots", notice.Slots, "born", notice.Born, "sequence", notice.Sequence, "draining", notice.Draining)
		gate.host.PublishRecord()
	} else if outdated {
		gate.host.PublishRecordSoon()
	}
	return true
}

// isRepeated reports whether a notice is from the present upstream. A notice that was
// overtaken by a later one has had its effect.
func (gate *Gate) isRepeated(notice lease.Notice) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	current, present := gate.tracker.Current()
	return present && current.ID == notice.ID && current.Born == notice.Born
}

// sameUpstream reports whether two notices are the same in everything that
// other nodes need to know.
func sameUpstream(old, notice lease.Notice) bool {
	notice.Sequence, notice.Cold = old.Sequence, old.Cold
	return old == notice
}

// applyNotice updates the admission limits to the current notice. The lock must
// be held.
func (gate *Gate) applyNotice(notice lease.Notice) {
	gate.failedConnects = 0
	// The pace of a cold upstream comes before the slots, which may admit waiting calls.
	gate.refreshWarmUp()
	gate.limit.SetSlots(gate.now(), notice.Slots)
	gate.applyLimit()
	if notice.Draining || gate.nodeLeaving {
		gate.limit.Drain()
		return
	}
	gate.limit.Resume()
}

// RestoreUpstream restores the state of the upstream that this node announced
// before a restart. It reports whether this changed the node's record.
func (gate *Gate) RestoreUpstream(previous member.Record) bool {
	upstream := previous.Upstream
	// Incarnations are compared for equality only. They are start times, so if
	// the clock was set back, the previous run has the higher one.
	if previous.Incarnation == gate.incarnation || upstream.ID == "" {
		return false
	}
	before := gate.Record().Upstream
	gate.lock.Lock()
	gate.tracker.Restore(gate.now(), lease.Notice{
		ID: upstream.ID, Born: upstream.Born, Sequence: upstream.Sequence, Draining: upstream.Draining,
		Service: upstream.Service, Version: upstream.Version, Slots: upstream.Slots,
		Address: gate.settings.Upstream,
	}, upstream.Gone, gate.noticeTTL)
	gate.tracker.AdoptLimit(gate.now(), upstream.ID, upstream.Born, RecordedLimit(upstream), lease.LimitFromRecord)
	notice, present := gate.tracker.Current()
	if present {
		gate.applyNotice(notice)
	} else {
		gate.limit.Drain()
	}
	gate.lock.Unlock()
	if gate.Record().Upstream == before {
		return false
	}
	gate.log.Info("upstream restored from other nodes", "upstream", upstream.ID, "born", upstream.Born, "sequence", upstream.Sequence,
		"draining", upstream.Draining, "gone", upstream.Gone, "limited", upstream.Limited, "perSecond", upstream.Limit)
	return true
}

// withdraw marks the upstream as absent until its next notice. It gets no new
// calls until then.
func (gate *Gate) withdraw(reason string) {
	gate.lock.Lock()
	notice, present := gate.tracker.Current()
	gate.tracker.MarkAbsent()
	gate.absent = true
	gate.limit.Drain()
	gate.lock.Unlock()
	if present {
		gate.log.Info("upstream withdrawn", "upstream", notice.ID, "reason", reason)
		gate.host.PublishRecord()
	}
}

// deregister marks an instance of an upstream as permanently gone. If born is
// zero, this is the latest known instance, otherwise the one that was started at
// that time. After deregister returns, no further call reaches the instance.
func (gate *Gate) deregister(id string, born int64) {
	gate.lock.Lock()
	present := gate.tracker.Deregister(gate.now(), id, born)
	if present {
		gate.limit.Drain()
		gate.absent = true
	}
	gate.lock.Unlock()
	gate.log.Info("upstream deregistered", "upstream", id, "born", born, "present", present)
	if present {
		gate.host.PublishRecord()
	}
}

// Expire withdraws the upstream if its lease has expired, and refuses queued
// calls that can no longer finish in time.
func (gate *Gate) Expire() {
	now := gate.now()
	gate.lock.Lock()
	expired := gate.tracker.Expired(now)
	gate.limit.Expire(now)
	outdated := gate.refreshWarmUp()
	gate.lock.Unlock()
	if outdated {
		gate.host.PublishRecordSoon()
	}
	if expired {
		gate.withdraw("its announcement expired")
	}
}
