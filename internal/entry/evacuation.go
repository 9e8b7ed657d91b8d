package entry

import (
	"context"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// Reasons of refusals at the entry during an evacuation.
const (
	// reasonNoTargetLeft is the reason if all targets that a call may go to are in
	// evacuated zones.
	reasonNoTargetLeft = "no target is left outside the evacuated zones"
	// reasonExcess is the reason if the targets of the other zones cannot serve the
	// call in time.
	reasonExcess = "the other zones cannot take it"
)

// Labels of the metric vp_entry_refused_total.
const (
	labelNoTarget = "no target"
	labelExcess   = "excess"
)

// evacuationRetryAfter is the retry delay of a call whose targets are all evacuated.
// An evacuation lasts for minutes; a shorter delay would only add load, and a longer one
// would delay calls after its end.
const evacuationRetryAfter = time.Second

// hopelessTargets is how many full targets must have said that a call is not worth
// queueing before it is refused. It is the number of full targets that the picker tries
// before it looks for a queue.
const hopelessTargets = 2

// SetEvacuatedZones sets the zones whose targets get no calls from this entry.
func (entry *Entry) SetEvacuatedZones(zones []string) {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	entry.picker.SetEvacuatedZones(entry.now(), zones)
	entry.shedder.Reset()
}

// hasEvacuated reports whether a service has targets in evacuated zones.
func (entry *Entry) hasEvacuated(service string) bool {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	return entry.picker.HasEvacuated(service)
}

// isExcess reports whether a call is refused at once because the targets outside the
// evacuated zones cannot take it. Nested calls are left to the gates: their parents hold
// slots already, which a refusal here would waste.
func (entry *Entry) isExcess(call *call) bool {
	if !entry.hasEvacuated(call.service) {
		return false
	}
	if call.nested {
		return false
	}
	priority := call.priority()
	entry.lock.Lock()
	defer entry.lock.Unlock()
	call.offeredAt = entry.now()
	retryAfter, refused := entry.shedder.Offer(call.offeredAt, call.service, priority, entry.random.Float64())
	call.sent = !refused
	if refused {
		call.retryAfter = retryAfter
	}
	return refused
}

// refuseExcess refuses a call that the remaining targets cannot take. Like a refusal
// for lack of a slot, this is no evidence about a version.
func (entry *Entry) refuseExcess(ctx context.Context, call *call) result {
	refusal := result{outcome: proxy.OutcomeNotRun, reason: reasonExcess, full: true}
	return entry.refuse(ctx, call, refusal, labelExcess)
}

// refuseHopeless refuses a call instead of queueing it at the chosen target, if enough
// full targets have said that queueing is not worth it. It reports whether it has.
func (entry *Entry) refuseHopeless(ctx context.Context, call *call, target picker.Target) (result, bool) {
	if !call.sent || call.notWorthQueueing < hopelessTargets {
		return result{}, false
	}
	entry.lock.Lock()
	entry.picker.Done(entry.now(), target.Name, picker.ResultCanceled, 0, nil)
	entry.lock.Unlock()
	return entry.refuseExcess(ctx, call), true
}

// recordRejection tells the shedder that no gate had room for a call.
func (entry *Entry) recordRejection(call *call, last result) {
	if !call.sent || last.outcome != proxy.OutcomeNotRun || !last.full || last.reason == string(limit.ReasonNested) {
		return
	}
	entry.lock.Lock()
	defer entry.lock.Unlock()
	entry.shedder.Rejected(entry.now(), call.service, call.offeredAt, call.retryAfter)
}

// refuseWithoutTarget refuses a call for which there is no target.
func (entry *Entry) refuseWithoutTarget(ctx context.Context, call *call) result {
	refusal := result{outcome: proxy.OutcomeNotRun, reason: "no target of " + call.service}
	if call.search.MetEvacuated() || entry.hasEvacuated(call.service) {
		refusal.reason = reasonNoTargetLeft
		if call.retryAfter == 0 {
			call.retryAfter = evacuationRetryAfter
		}
	}
	return entry.refuse(ctx, call, refusal, labelNoTarget)
}

// refuse refuses a call that is sent to no further target and returns its result.
func (entry *Entry) refuse(ctx context.Context, call *call, refusal result, label string) result {
	entry.stats.Count(`vp_entry_refused_total{reason="`+label+`"}`, 1)
	return entry.deliver(ctx, call, refusal, nil)
}

// isEvacuated reports whether a gate refused the call because its zone is evacuated.
func (result result) isEvacuated() bool {
	return result.outcome == proxy.OutcomeNotRun && result.reason == string(limit.ReasonEvacuated)
}
