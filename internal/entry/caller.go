package entry

import (
	"context"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/retry"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// maxRefusals is how many refusals end a call; only refusals that allow a free retry
// count (see isFreeRetry).
const maxRefusals = 6

// Serve handles a caller's request: it picks a target, forwards the call
// and responds once the whole response has arrived.
func (entry *Entry) Serve(ctx context.Context, request *fasthttp.RequestCtx) {
	call, timeout, ok := entry.newCall(request)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, call.started.Add(timeout))
	defer cancel()
	if !entry.limits.admit(ctx, call) {
		return
	}
	last := entry.run(ctx, call)
	if last.outcome == proxy.OutcomeNotRun && !call.mayHaveRun && call.errorResponse == nil {
		entry.limits.giveBack(call)
	}
	if last.outcome == proxy.OutcomeNotRun && last.full {
		entry.parentCalls.MarkStarved(call.nestedID)
	}
	if call.nested && last.pickerResult != picker.ResultCanceled {
		entry.parentCalls.ObserveNested(entry.now(), call.nestedID, last.waited, call.isCongested(last))
	}
	entry.recordRejection(call, last)
	entry.stats.ObserveCall(call.customer, call.class, string(last.outcome), entry.now().Sub(call.started))
	entry.logCall(ctx, call, last)
}

// isCongested reports whether a nested call found no capacity within its objective.
func (call *call) isCongested(last result) bool {
	return last.outcome == proxy.OutcomeNotRun && last.full || last.waited > call.route.Objective()
}

// run tries targets until there is a response for the caller.
func (entry *Entry) run(ctx context.Context, call *call) result {
	entry.lock.Lock()
	entry.budget(call.service).RecordCall(call.inRetry)
	call.versionSet = entry.chooseVersions(call)
	entry.lock.Unlock()
	if entry.isExcess(call) {
		return entry.refuseExcess(ctx, call)
	}
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	for {
		if !entry.maySend(ctx) {
			return entry.refuseStopped(ctx, call)
		}
		last, pause := entry.try(ctx, call, response)
		if pause < 0 {
			return last
		}
		if pause > 0 {
			entry.pause(ctx, pause)
		}
	}
}

// noRetry is returned by try instead of a pause if there is no further try. It
// is negative, and pauses are not.
const noRetry = -1

// try sends the call to one target. It returns the pause before the next try,
// or noRetry when the response was delivered to the caller.
func (entry *Entry) try(ctx context.Context, call *call, response *fasthttp.Response) (result, time.Duration) {
	started := entry.now()
	choice, mayQueue, ok := entry.chooseTarget(started, call)
	if !ok {
		return entry.refuseWithoutTarget(ctx, call), noRetry
	}
	target := choice.Target
	if mayQueue {
		if last, refused := entry.refuseHopeless(ctx, call, target); refused {
			return last, noRetry
		}
	}
	bodyBegun, err := entry.exchange(ctx, call, target, mayQueue, response)
	result := entry.classify(ctx, err, response)
	if bodyBegun {
		result.recordBody(err)
	}
	excuseStop(ctx, &result)
	// A call that found no slot although it was allowed to queue is not tried
	// again, unless it was to queue in its own zone first.
	result.final = result.final || mayQueue && result.full && !choice.WaitsInZone
	call.recordTarget(target, result)
	latency := entry.now().Sub(started)
	entry.lock.Lock()
	entry.picker.Done(entry.now(), target.Name, result.pickerResult, latency, result.load)
	entry.observeTarget(entry.now(), target, result, response)
	if !mayQueue && result.outcome == proxy.OutcomeRan && result.pickerResult == picker.ResultSucceeded {
		entry.picker.RecordServiceTime(call.service, call.route.Name(), latency)
	}
	entry.lock.Unlock()
	if call.versionSet.rollout != nil {
		entry.guard.observe(*call.versionSet.rollout, target.Version, call.route.Name(), result, latency)
	}
	call.recordTry(result)
	if pause, shouldRetry := entry.shouldRetry(ctx, call, result); shouldRetry {
		entry.stats.Count("vp_retries_total", 1)
		call.keepErrorResponse(result, response)
		call.avoidNewVersion()
		return result, pause
	}
	return entry.deliver(ctx, call, result, response), noRetry
}

// recordTry updates the call's counters with the result of a try.
func (call *call) recordTry(result result) {
	call.mayHaveRun = call.mayHaveRun || result.outcome == proxy.OutcomeUnknown
	if !call.isFreeRetry(result) {
		call.tries++
		return
	}
	call.refusals++
	if result.tooLate {
		call.notWorthQueueing++
	}
	if result.slotAfter > 0 && (call.retryAfter == 0 || result.slotAfter < call.retryAfter) {
		call.retryAfter = result.slotAfter
	}
}

// isFreeRetry reports whether the call may be tried again without using the
// retry budget or counting a try, because certainly no upstream received it.
// The refusal of a keyed call may mean that another call holds its claim, so
// the next try must back off and is not free, unless the call was refused for
// lack of a slot or because of an evacuation.
func (call *call) isFreeRetry(result result) bool {
	return !result.mayHaveReachedUpstream && (call.class != classKeyed || result.full || result.isEvacuated())
}

// avoidNewVersion restricts the next try of an idempotent call without a key to
// the old version after a failed try at the new version. This limits the number
// of affected callers while the rollout gathers evidence.
func (call *call) avoidNewVersion() {
	if call.versionSet.rollout != nil && call.class == classIdempotent && call.versionSet.isNew {
		call.versionSet = versionSetOf(call.versionSet.rollout, false)
	}
}

// keepErrorResponse saves an upstream's error response before another try.
func (call *call) keepErrorResponse(result result, response *fasthttp.Response) {
	if result.outcome != proxy.OutcomeRan {
		return
	}
	if call.errorResponse == nil {
		call.errorResponse = &fasthttp.Response{}
	}
	moveResponse(call.errorResponse, response)
}

// moveResponse moves a response without a copy of its body. The source is empty
// afterwards.
func moveResponse(to, from *fasthttp.Response) {
	from.Header.CopyTo(&to.Header)
	to.SkipBody = from.SkipBody
	body := from.Body()
	from.SwapBody(nil)
	if len(body) > maxCopiedBody {
		// The pool of fasthttp must not keep large buffers, whose memory is counted.
		to.SetBodyRaw(body)
	} else {
		to.SwapBody(body)
	}
	from.Reset()
}

// chooseTarget chooses the next target for a call. mayQueue is true if the call may
// queue there; see picker.Next.
func (entry *Entry) chooseTarget(now time.Time, call *call) (choice picker.Choice, mayQueue, ok bool) {
	load := entry.gate.Load()
	entry.lock.Lock()
	defer entry.lock.Unlock()
	entry.picker.SetLoad(now, entry.settings.Name, load)
	criteria := picker.Criteria{
		Service: call.service, Class: call.route.Name(), Accepts: call.versionSet.matches, Subset: call.versionSet.subset, Upload: call.upload(now),
	}
	return entry.picker.Next(now, &call.search, criteria, call.tries > 0)
}

// upload describes the body of a call if the route is one for uploads and the body is
// large.
func (call *call) upload(now time.Time) picker.Upload {
	if call.route.Kind() != rsrc.CallUpload || len(call.request.Request.Body()) <= maxUnannouncedBody {
		return picker.Upload{}
	}
	return picker.Upload{Bytes: len(call.request.Request.Body()), Objective: call.objective.Sub(now)}
}

// recordTarget records that a target was tried, had no capacity, was unreachable or is
// in an evacuated zone, so that the next try prefers other targets. A gate that took the
// body before it refused the call for lack of capacity had queued it.
func (call *call) recordTarget(target picker.Target, result result) {
	switch {
	case result.bodySent && !result.full && !result.isEvacuated():
		call.search.AddBodySent(target.Name)
	case result.full:
		call.search.AddFull(target.Name)
	case result.unreachable:
		call.search.AddUnreachable(target.Name)
	case result.isEvacuated():
		call.search.AddEvacuated(target.Zone)
	default:
		call.search.AddTried(target.Name)
	}
}

// shouldRetry decides whether there is another try and after which pause. A
// call that no upstream received is sent elsewhere without using the retry
// budget; any other retry needs budget.
func (entry *Entry) shouldRetry(ctx context.Context, call *call, result result) (time.Duration, bool) {
	// Repeating a keyed call always returns the same response, so its error
	// responses are not retried.
	conclusive := result.outcome == proxy.OutcomeRan && (result.pickerResult != picker.ResultFailed && !result.starved || call.class == classKeyed)
	// An unknown outcome reported by a gate is final, except for an idempotent
	// call without a key, which can safely be repeated.
	final := result.final && (call.class != classIdempotent || result.outcome != proxy.OutcomeUnknown)
	if conclusive || final || ctx.Err() != nil || entry.deadlineReached(ctx) || !entry.maySend(ctx) {
		return 0, false
	}
	if result.outcome == proxy.OutcomeNotRun && call.isFreeRetry(result) {
		return 0, call.refusals < maxRefusals
	}
	if maxAttempts := call.route.MaxAttempts(); maxAttempts > 0 && call.tries >= maxAttempts {
		return 0, false
	}
	deadline, _ := ctx.Deadline()
	entry.lock.Lock()
	defer entry.lock.Unlock()
	return entry.budget(call.service).AllowRetry(retry.Attempt{
		Idempotent: call.repeatable,
		NotRun:     result.outcome == proxy.OutcomeNotRun && !call.mayHaveRun,
		InRetry:    call.inRetry,
		Attempts:   call.tries,
		RetryAfter: result.retryAfter,
	}, deadline.Sub(entry.now()))
}

// exchange sends the call to a target's gate. If the gate is in this process,
// it is called directly. bodyBegun is true if a body was announced to the gate, which has
// asked for it.
func (entry *Entry) exchange(ctx context.Context, call *call, target picker.Target, mayQueue bool, response *fasthttp.Response) (bodyBegun bool, err error) {
	response.Reset()
	deadline, _ := ctx.Deadline()
	id := entry.stopping.begin(entry.settings.Name, target.Name, deadline)
	defer entry.stopping.end(id)
	if target.Name == entry.settings.Name {
		localRequest := entry.localRequests.Get().(*fasthttp.RequestCtx)
		defer func() {
			localRequest.Request.Reset()
			entry.localRequests.Put(localRequest)
		}()
		copyRequest(&localRequest.Request, &call.request.Request)
		localRequest.Response.Reset()
		entry.writeGateHeaders(ctx, call, target, mayQueue, &localRequest.Request)
		localRequest.Request.Header.Set(proxy.HeaderExchange, id)
		entry.gate.Serve(ctx, localRequest)
		moveResponse(response, &localRequest.Response)
		return false, nil
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	copyRequest(request, &call.request.Request)
	entry.writeGateHeaders(ctx, call, target, mayQueue, request)
	request.Header.Set(proxy.HeaderExchange, id)
	if len(request.Body()) > maxUnannouncedBody {
		request.Header.Set(fasthttp.HeaderExpect, "100-continue")
	}
	sent := entry.uptime()
	entry.writeSent(target, sent, &request.Header)
	bodyBegun, err = entry.gates.DoAnnounced(ctx, target.Gate, request, response)
	if err == nil {
		entry.observeClock(target, sent, response)
	}
	return bodyBegun, err
}

// maxUnannouncedBody is the size in bytes up to which a body is sent to another node
// together with the header section. A larger one is sent only after the gate has
// admitted the call, so that a refusal costs little of a link between zones.
const maxUnannouncedBody = 8 << 10

// maxCopiedBody is the size in bytes up to which the body of a request is copied for
// a try. Larger ones are shared, so that they are in memory only once.
const maxCopiedBody = 16 << 10

// copyRequest copies a request. The copy may share the body with the original, so
// neither body may be changed while both are in use.
func copyRequest(to, from *fasthttp.Request) {
	body := from.Body()
	if len(body) <= maxCopiedBody {
		from.CopyTo(to)
		return
	}
	from.SwapBody(nil)
	from.CopyTo(to)
	from.SetBodyRaw(body)
	to.SetBodyRaw(body)
}

// writeGateHeaders writes the headers that the target's gate needs into a
// request.
func (entry *Entry) writeGateHeaders(ctx context.Context, call *call, target picker.Target, mayQueue bool, request *fasthttp.Request) {
	dropHopHeaders(request)
	deadline, _ := ctx.Deadline()
	now := entry.now()
	header := &request.Header
	header.SetNoDefaultContentType(true)
	header.Set(proxy.HeaderTimeout, proto.FormatMilliseconds(deadline.Sub(now)))
	header.Set(proxy.HeaderObjective, proto.FormatMilliseconds(call.objective.Sub(now)))
	proxy.SetOnly(header, proxy.HeaderRequestID, call.id)
	proxy.SetOnly(header, proxy.HeaderCustomer, call.customer)
	if name := call.accountName(); name != "" {
		header.Set(proxy.HeaderAccount, name)
	}
	header.Set(proxy.HeaderService, call.service)
	header.Set(proxy.HeaderVersion, target.Version)
	header.Set(proxy.HeaderCaller, entry.service())
	header.Set(proxy.HeaderPriority, strconv.Itoa(entry.parentCalls.EffectivePriority(call.nestedID, call.priority())))
	header.Set(proxy.HeaderRoute, call.route.Name())
	if call.nested {
		header.Set(proxy.HeaderNested, "yes")
	}
	if !mayQueue {
		header.Set(proxy.HeaderQueue, "no")
	}
	if perSecond, limited := target.Limit.PerSecond(); limited {
		header.Set(proxy.HeaderLimit, proto.FormatRate(perSecond))
		header.Set(proxy.HeaderInstance, proto.FormatInstance(target.ID, target.Born))
	}
	if !call.repeatable {
		header.Set(proxy.HeaderOnce, "yes")
	}
	if call.tries > 0 || call.inRetry {
		header.Set(proxy.HeaderAttempt, strconv.Itoa(call.tries+1))
	}
}

// hopHeaders are set anew at each hop or apply to a single connection. They are
// removed from callers' requests, so that a caller cannot pass off its own
// values as those of a node.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Upgrade", "Te", "Expect",
	proxy.HeaderTimeout, proxy.HeaderObjective, proxy.HeaderService, proxy.HeaderVersion, proxy.HeaderCaller,
	proxy.HeaderPriority, proxy.HeaderQueue, proxy.HeaderOnce, proxy.HeaderAttempt, proxy.HeaderLimit, proxy.HeaderInstance,
	proxy.HeaderKey, proxy.HeaderAccount, proxy.HeaderNested, proxy.HeaderRoute, proxy.HeaderSent, proxy.HeaderExchange,
}

// dropHopHeaders removes the headers that apply only to the caller's hop.
func dropHopHeaders(request *fasthttp.Request) {
	for _, name := range hopHeaders {
		request.Header.Del(name)
	}
	request.Header.ResetConnectionClose()
}

// deliver writes the response for the caller: the last response of an upstream,
// if there was one, and otherwise a response that the node generates. A keyed
// call without an upstream's response is looked up first, because it may have
// run in an earlier request; if it did, its recorded response is used. deliver
// returns last with the outcome that the caller gets.
func (entry *Entry) deliver(ctx context.Context, call *call, last result, response *fasthttp.Response) result {
	if last.outcome != proxy.OutcomeRan && call.errorResponse != nil {
		response, last.outcome = call.errorResponse, proxy.OutcomeRan
	}
	if last.outcome == proxy.OutcomeRan {
		moveResponse(&call.request.Response, response)
		call.request.Response.Header.Del(proxy.HeaderLoad)
		call.request.Response.Header.Del(proxy.HeaderStarved)
		call.request.Response.Header.Del(proxy.HeaderWaited)
		proto.DropStatement(&call.request.Response.Header)
		call.request.Response.Header.ResetConnectionClose()
		entry.dialect.Ran(&call.request.Response)
		return last
	}
	// If the key was reused for a different request, this request certainly did
	// not run. After any other refusal it may have run elsewhere, because other
	// nodes may know more about the key than the gate that refused it.
	if call.class == classKeyed && last.reason != dedup.ReasonReused {
		previous := entry.claims.LookUp(ctx, call.key)
		if previous.Kind == dedup.Ran {
			entry.claims.Respond(call.request, previous)
			last.outcome = proxy.OutcomeRan
			return last
		}
		if previous.Kind == dedup.Unknown {
			call.mayHaveRun, last.reason = true, previous.Reason
		}
	}
	if call.retryAfter == 0 && entry.stopping.plan.Load() != nil {
		call.retryAfter = earlyRetryAfter
	}
	final := proto.LocalReply{Status: fasthttp.StatusServiceUnavailable, Outcome: last.outcome, Reason: last.reason, RetryAfter: call.retryAfter}
	if call.mayHaveRun {
		final.Outcome, final.Status = proxy.OutcomeUnknown, fasthttp.StatusBadGateway
	}
	// A gate that rejects the request itself also determines the status.
	if last.final && response != nil && !call.mayHaveRun && !last.full {
		final.Status = response.StatusCode()
	}
	if call.mayHaveRun && entry.deadlineReached(ctx) {
		final.Status = fasthttp.StatusGatewayTimeout
	}
	entry.dialect.LocalReply(&call.request.Response, final)
	last.outcome = final.Outcome
	return last
}

// deadlineTolerance is how much earlier than the call's own timer a connection
// may report that the deadline has passed.
const deadlineTolerance = 5 * time.Millisecond

// deadlineReached reports whether a call has no time left, within
// deadlineTolerance.
func (entry *Entry) deadlineReached(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && deadline.Sub(entry.now()) < deadlineTolerance
}
