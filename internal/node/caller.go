package node

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/retry"
)

// maxProbes is how many gates may turn a call away for want of a free slot
// before it queues at one of them, maxRefusals how many may turn it away for
// any reason.
const (
	maxProbes   = 2
	maxRefusals = 6
)

// serveCaller takes a call from a caller, picks a target and brings the whole
// answer back.
func (node *Node) serveCaller(ctx context.Context, request *fasthttp.RequestCtx) {
	call, timeout, ok := node.newCall(request)
	if !ok {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, call.started.Add(timeout))
	defer cancel()
	ended := node.run(ctx, call)
	if ended.outcome == proxy.OutcomeNotRun && ended.full {
		node.parents.markStarved(call.id)
	}
	node.stats.Call(call.customer, call.class, string(ended.outcome), node.now().Sub(call.started))
	node.logCall(ctx, call, ended)
}

// run tries targets until there is an answer for the caller.
func (node *Node) run(ctx context.Context, call *call) result {
	node.lock.Lock()
	node.budget(call.service).RecordCall(call.repeated)
	call.versionSet = node.chooseVersions(call)
	node.lock.Unlock()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	for {
		ended, pause := node.try(ctx, call, response)
		if pause < 0 {
			return ended
		}
		if pause == 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// noRetry ends a call's tries.
const noRetry = -1

// try sends the call to one target. It returns the pause before the next try,
// or noRetry when the caller has its answer.
func (node *Node) try(ctx context.Context, call *call, response *fasthttp.Response) (result, time.Duration) {
	started := node.now()
	choice, mayQueue, ok := node.chooseTarget(started, call)
	if !ok {
		ended := result{outcome: proxy.OutcomeNotRun, reason: "no target of " + call.service}
		return node.deliver(ctx, call, ended, nil), noRetry
	}
	target := choice.Target
	err := node.exchange(ctx, call, target, mayQueue, response)
	result := node.classify(ctx, err, response)
	result.final = result.final || mayQueue && result.full
	call.recordTarget(target.Name, result)
	latency := node.now().Sub(started)
	node.lock.Lock()
	node.picker.Done(node.now(), target.Name, result.pickerResult, latency, result.load)
	node.lock.Unlock()
	if call.versionSet.rollout != nil {
		node.guard.observe(*call.versionSet.rollout, target.Version, result, latency)
	}
	call.recordAttempt(result)
	if pause, shouldRetry := node.shouldRetry(ctx, call, result); shouldRetry {
		node.stats.Count("vp_retries_total", 1)
		call.keepErrorResponse(result, response)
		call.avoidNewVersion()
		return result, pause
	}
	return node.deliver(ctx, call, result, response), noRetry
}

// count adds a try's outcome to what is known of the call.
func (call *call) recordAttempt(result result) {
	call.mayHaveRun = call.mayHaveRun || result.outcome == proxy.OutcomeUnknown
	if !call.isFreeRetry(result) {
		call.tries++
		return
	}
	call.refusals++
	if result.slotAfter > 0 && (call.retryAfter == 0 || result.slotAfter < call.retryAfter) {
		call.retryAfter = result.slotAfter
	}
}

// free reports whether another try costs nothing: no upstream saw this one. A
// keyed call may have been refused for one that holds its claim, and then has to
// pause, but not where there was no slot for it.
func (call *call) isFreeRetry(result result) bool {
	return !result.reachedUpstream && (call.class != classKeyed || result.full)
}

// avoid sends the next try of a read that the new version did not answer well
// to the old one, so that fewer callers are hurt while the evidence comes in.
func (call *call) avoidNewVersion() {
	if call.versionSet.rollout != nil && call.class == classRead && call.versionSet.isNew {
		call.versionSet = versionSetOf(call.versionSet.rollout, false)
	}
}

// keep remembers an upstream's error answer before another try.
func (call *call) keepErrorResponse(result result, response *fasthttp.Response) {
	if result.outcome != proxy.OutcomeRan {
		return
	}
	if call.errorResponse == nil {
		call.errorResponse = &fasthttp.Response{}
	}
	response.CopyTo(call.errorResponse)
}

// place chooses a target with a free slot, or else the one where the call
// waits least; patient is true when it is to wait there.
func (node *Node) chooseTarget(now time.Time, call *call) (choice picker.Choice, mayQueue, ok bool) {
	load := node.gate.load()
	node.lock.Lock()
	defer node.lock.Unlock()
	node.picker.SetLoad(now, node.settings.Name, load)
	criteria := picker.Criteria{Service: call.service, Accepts: call.versionSet.matches, Excluded: slices.Concat(call.failedTargets, call.full)}
	if len(call.full) < maxProbes {
		choice, ok = node.picker.Choose(now, criteria)
		if ok && choice.HasFreeSlot {
			return choice, false, true
		}
		if ok {
			node.picker.Done(now, choice.Target.Name, picker.ResultCanceled, 0, nil)
		}
	}
	criteria.Excluded, criteria.Queue = call.failedTargets, true
	choice, ok = node.picker.Choose(now, criteria)
	if !ok && call.tries > 0 {
		// All have failed it; a service may have one target only.
		criteria.Excluded = nil
		choice, ok = node.picker.Choose(now, criteria)
	}
	return choice, true, ok
}

// visited remembers where the call need not go again.
func (call *call) recordTarget(name string, result result) {
	if result.full {
		call.full = append(call.full, name)
		return
	}
	call.failedTargets = append(call.failedTargets, name)
}

// again decides on another try. What no upstream saw goes elsewhere without
// cost; everything else needs the retry budget.
func (node *Node) shouldRetry(ctx context.Context, call *call, result result) (time.Duration, bool) {
	// A keyed call's answer stays the same however often it is asked for.
	succeeded := result.outcome == proxy.OutcomeRan && (result.pickerResult != picker.ResultFailed && !result.starved || call.class == classKeyed)
	// An unknown outcome is final for a keyed call; a read may simply be read
	// again.
	final := result.final && (call.class != classRead || result.outcome != proxy.OutcomeUnknown)
	if succeeded || final || ctx.Err() != nil || node.deadlineReached(ctx) {
		return 0, false
	}
	if result.outcome == proxy.OutcomeNotRun && call.isFreeRetry(result) {
		return 0, call.refusals < maxRefusals
	}
	if maxAttempts := call.route.MaxAttempts(); maxAttempts > 0 && call.tries >= maxAttempts {
		return 0, false
	}
	deadline, _ := ctx.Deadline()
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.budget(call.service).AllowRetry(retry.Attempt{
		Idempotent: call.repeatable,
		NotRun:     result.outcome == proxy.OutcomeNotRun && !call.mayHaveRun,
		InRetry:    call.repeated,
		Tries:      call.tries,
		RetryAfter: result.retryAfter,
	}, deadline.Sub(node.now()))
}

// exchange sends the call to a target's gate, in this process if it is here.
func (node *Node) exchange(ctx context.Context, call *call, target picker.Target, mayQueue bool, response *fasthttp.Response) error {
	response.Reset()
	if target.Name == node.settings.Name {
		localRequest := node.localRequests.Get().(*fasthttp.RequestCtx)
		defer node.localRequests.Put(localRequest)
		call.request.Request.CopyTo(&localRequest.Request)
		localRequest.Response.Reset()
		node.writeGateHeaders(ctx, call, target, mayQueue, &localRequest.Request)
		node.gate.serve(ctx, localRequest)
		localRequest.Response.CopyTo(response)
		return nil
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	call.request.Request.CopyTo(request)
	node.writeGateHeaders(ctx, call, target, mayQueue, request)
	return node.gates.Do(ctx, target.Gate, request, response)
}

// address writes what the target's gate is to know into a request.
func (node *Node) writeGateHeaders(ctx context.Context, call *call, target picker.Target, mayQueue bool, request *fasthttp.Request) {
	dropHopHeaders(request)
	deadline, _ := ctx.Deadline()
	now := node.now()
	header := &request.Header
	header.SetNoDefaultContentType(true)
	header.Set(proxy.HeaderTimeout, formatMilliseconds(deadline.Sub(now)))
	header.Set(proxy.HeaderObjective, formatMilliseconds(call.started.Add(call.route.Objective()).Sub(now)))
	header.Set(proxy.HeaderRequestID, call.id)
	header.Set(proxy.HeaderCustomer, call.customer)
	header.Set(proxy.HeaderService, call.service)
	header.Set(proxy.HeaderVersion, target.Version)
	header.Set(proxy.HeaderCaller, node.reloadable.Load().service)
	header.Set(proxy.HeaderPriority, strconv.Itoa(node.parents.effectivePriority(call.id, call.route.Priority())))
	if !mayQueue {
		header.Set(proxy.HeaderQueue, "no")
	}
	if !call.repeatable {
		header.Set(proxy.HeaderOnce, "yes")
	}
	if call.tries > 0 || call.repeated {
		header.Set(proxy.HeaderAttempt, strconv.Itoa(call.tries+1))
	}
}

// milliseconds writes a duration that is left, at least one.
func formatMilliseconds(left time.Duration) string {
	return strconv.FormatInt(max(1, left.Milliseconds()), 10)
}

// hopHeaders are written anew at each hop or concern one connection only; a
// caller's own values must not pass for a node's.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Upgrade", "Te", "Expect",
	proxy.HeaderTimeout, proxy.HeaderObjective, proxy.HeaderService, proxy.HeaderVersion, proxy.HeaderCaller,
	proxy.HeaderPriority, proxy.HeaderQueue, proxy.HeaderOnce, proxy.HeaderAttempt,
}

// dropHopHeaders takes out what concerns only the caller's connection.
func dropHopHeaders(request *fasthttp.Request) {
	for _, name := range hopHeaders {
		request.Header.Del(name)
	}
	request.Header.ResetConnectionClose()
}

// deliver gives the caller its answer: the last one of an upstream if there
// was any. A keyed call that is not answered is looked up first, since it may
// have run when it was sent before.
func (node *Node) deliver(ctx context.Context, call *call, ended result, response *fasthttp.Response) result {
	if ended.outcome != proxy.OutcomeRan && call.errorResponse != nil {
		response, ended.outcome = call.errorResponse, proxy.OutcomeRan
	}
	if ended.outcome == proxy.OutcomeRan {
		response.CopyTo(&call.request.Response)
		call.request.Response.Header.Del(proxy.HeaderLoad)
		call.request.Response.Header.Del(proxy.HeaderStarved)
		call.request.Response.Header.ResetConnectionClose()
		node.dialect.Ran(&call.request.Response)
		return ended
	}
	// A key that came with other contents is certain not to have run; any
	// other refusal may be that of a gate that knows less than another.
	if call.class == classKeyed && ended.reason != dedup.ReasonReused {
		previous := node.claims.lookup(ctx, call.key)
		if previous.Kind == dedup.Ran {
			node.claims.replay(node.gate, call.request, previous)
			ended.outcome = proxy.OutcomeRan
			return ended
		}
		if previous.Kind == dedup.Unknown {
			call.mayHaveRun, ended.reason = true, previous.Reason
		}
	}
	final := LocalReply{Status: fasthttp.StatusServiceUnavailable, Outcome: ended.outcome, Reason: ended.reason, RetryAfter: call.retryAfter}
	if call.mayHaveRun {
		final.Outcome, final.Status = proxy.OutcomeUnknown, fasthttp.StatusBadGateway
	}
	if ended.final && response != nil && !call.mayHaveRun && !ended.full {
		final.Status = response.StatusCode()
	}
	if call.mayHaveRun && node.deadlineReached(ctx) {
		final.Status = fasthttp.StatusGatewayTimeout
	}
	node.dialect.LocalReply(&call.request.Response, final)
	ended.outcome = final.Outcome
	return ended
}

// deadlineSlack is how much sooner a connection may report its deadline than
// the call's own timer.
const deadlineSlack = 5 * time.Millisecond

// timeIsUp reports whether a call has no time left. The deadline of its
// connection may have come first.
func (node *Node) deadlineReached(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && deadline.Sub(node.now()) < deadlineSlack
}
