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
		node.parents.starve(call.id)
	}
	node.stats.ObserveCall(call.customer, call.class, string(ended.outcome), node.now().Sub(call.started))
	node.explain(ctx, call, ended)
}

// run tries targets until there is an answer for the caller.
func (node *Node) run(ctx context.Context, call *call) result {
	node.lock.Lock()
	node.budget(call.service).RecordCall(call.repeated)
	call.side = node.chooseSide(call)
	node.lock.Unlock()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	for {
		ended, again := node.try(ctx, call, response)
		if again < 0 {
			return ended
		}
		if again == 0 {
			continue
		}
		select {
		case <-ctx.Done():
		case <-time.After(again):
		}
	}
}

// noRetry ends a call's tries.
const noRetry = -1

// try sends the call to one target. It returns the pause before the next try,
// or noRetry when the caller has its answer.
func (node *Node) try(ctx context.Context, call *call, response *fasthttp.Response) (result, time.Duration) {
	started := node.now()
	choice, patient, ok := node.place(started, call)
	if !ok {
		ended := result{outcome: proxy.OutcomeNotRun, reason: "no target of " + call.service}
		return node.deliver(ctx, call, ended, nil), noRetry
	}
	target := choice.Target
	err := node.exchange(ctx, call, target, patient, response)
	result := node.judge(ctx, err, response)
	result.final = result.final || patient && result.full
	call.visited(target.Name, result)
	latency := node.now().Sub(started)
	node.lock.Lock()
	node.picker.Done(node.now(), target.Name, result.learned, latency, result.load)
	node.lock.Unlock()
	if call.side.rollout != nil {
		node.guard.observe(*call.side.rollout, target.Version, result, latency)
	}
	call.count(result)
	if pause, again := node.again(ctx, call, result); again {
		node.stats.Count("vp_retries_total", 1)
		call.keep(result, response)
		call.avoid()
		return result, pause
	}
	return node.deliver(ctx, call, result, response), noRetry
}

// count adds a try's outcome to what is known of the call.
func (call *call) count(result result) {
	call.mayHaveRun = call.mayHaveRun || result.outcome == proxy.OutcomeUnknown
	if !call.free(result) {
		call.tries++
		return
	}
	call.refusals++
	if result.room > 0 && (call.retryAfter == 0 || result.room < call.retryAfter) {
		call.retryAfter = result.room
	}
}

// free reports whether another try costs nothing: no upstream saw this one. A
// keyed call may have been refused for one that holds its claim, and then has to
// pause, but not where there was no slot for it.
func (call *call) free(result result) bool {
	return !result.spent && (call.class != classKeyed || result.full)
}

// avoid sends the next try of a read that the new version did not answer well
// to the old one, so that fewer callers are hurt while the evidence comes in.
func (call *call) avoid() {
	if call.side.rollout != nil && call.class == classRead && call.side.fresh {
		call.side = sideOf(call.side.rollout, false)
	}
}

// keep remembers an upstream's error answer before another try.
func (call *call) keep(result result, response *fasthttp.Response) {
	if result.outcome != proxy.OutcomeRan {
		return
	}
	if call.failed == nil {
		call.failed = &fasthttp.Response{}
	}
	response.CopyTo(call.failed)
}

// place chooses a target with a free slot, or else the one where the call
// waits least; patient is true when it is to wait there.
func (node *Node) place(now time.Time, call *call) (choice picker.Choice, patient, ok bool) {
	load := node.gate.load()
	node.lock.Lock()
	defer node.lock.Unlock()
	node.picker.SetLoad(now, node.settings.Name, load)
	want := picker.Criteria{Service: call.service, Accepts: call.side.takes, Excluded: slices.Concat(call.tried, call.full)}
	if len(call.full) < maxProbes {
		choice, ok = node.picker.Choose(now, want)
		if ok && choice.HasFreeSlot {
			return choice, false, true
		}
		if ok {
			node.picker.Done(now, choice.Target.Name, picker.ResultCanceled, 0, nil)
		}
	}
	want.Excluded, want.Queue = call.tried, true
	choice, ok = node.picker.Choose(now, want)
	if !ok && call.tries > 0 {
		// All have failed it; a service may have one target only.
		want.Excluded = nil
		choice, ok = node.picker.Choose(now, want)
	}
	return choice, true, ok
}

// visited remembers where the call need not go again.
func (call *call) visited(name string, result result) {
	if result.full {
		call.full = append(call.full, name)
		return
	}
	call.tried = append(call.tried, name)
}

// again decides on another try. What no upstream saw goes elsewhere without
// cost; everything else needs the retry budget.
func (node *Node) again(ctx context.Context, call *call, result result) (time.Duration, bool) {
	// A keyed call's answer stays the same however often it is asked for.
	good := result.outcome == proxy.OutcomeRan && (result.learned != picker.ResultFailed && !result.starved || call.class == classKeyed)
	// An unknown outcome is final for a keyed call; a read may simply be read
	// again.
	final := result.final && (call.class != classRead || result.outcome != proxy.OutcomeUnknown)
	if good || final || ctx.Err() != nil || node.timeIsUp(ctx) {
		return 0, false
	}
	if result.outcome == proxy.OutcomeNotRun && call.free(result) {
		return 0, call.refusals < maxRefusals
	}
	if most := call.route.MaxAttempts(); most > 0 && call.tries >= most {
		return 0, false
	}
	deadline, _ := ctx.Deadline()
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.budget(call.service).AllowRetry(retry.Attempt{
		Idempotent: call.repeatable,
		NotRun:     result.outcome == proxy.OutcomeNotRun && !call.mayHaveRun,
		InRetry:    call.repeated,
		Attempts:   call.tries,
		RetryAfter: result.retryAfter,
	}, deadline.Sub(node.now()))
}

// exchange sends the call to a target's gate, in this process if it is here.
func (node *Node) exchange(ctx context.Context, call *call, target picker.Target, patient bool, response *fasthttp.Response) error {
	response.Reset()
	if target.Name == node.settings.Name {
		local := node.locals.Get().(*fasthttp.RequestCtx)
		defer node.locals.Put(local)
		call.request.Request.CopyTo(&local.Request)
		local.Response.Reset()
		node.address(ctx, call, target, patient, &local.Request)
		node.gate.serve(ctx, local)
		local.Response.CopyTo(response)
		return nil
	}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	call.request.Request.CopyTo(request)
	node.address(ctx, call, target, patient, request)
	return node.gates.Do(ctx, target.Gate, request, response)
}

// address writes what the target's gate is to know into a request.
func (node *Node) address(ctx context.Context, call *call, target picker.Target, patient bool, request *fasthttp.Request) {
	dropHopHeaders(request)
	deadline, _ := ctx.Deadline()
	now := node.now()
	header := &request.Header
	header.SetNoDefaultContentType(true)
	header.Set(proxy.HeaderTimeout, milliseconds(deadline.Sub(now)))
	header.Set(proxy.HeaderObjective, milliseconds(call.started.Add(call.route.Objective()).Sub(now)))
	header.Set(proxy.HeaderRequestID, call.id)
	header.Set(proxy.HeaderCustomer, call.customer)
	header.Set(proxy.HeaderService, call.service)
	header.Set(proxy.HeaderVersion, target.Version)
	header.Set(proxy.HeaderCaller, node.live.Load().service)
	header.Set(proxy.HeaderPriority, strconv.Itoa(node.parents.rank(call.id, call.route.Priority())))
	if !patient {
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
func milliseconds(left time.Duration) string {
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
	if ended.outcome != proxy.OutcomeRan && call.failed != nil {
		response, ended.outcome = call.failed, proxy.OutcomeRan
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
		earlier := node.claims.lookup(ctx, call.key)
		if earlier.Kind == dedup.Ran {
			node.claims.replay(node.gate, call.request, earlier)
			ended.outcome = proxy.OutcomeRan
			return ended
		}
		if earlier.Kind == dedup.Unknown {
			call.mayHaveRun, ended.reason = true, earlier.Reason
		}
	}
	final := Final{Status: fasthttp.StatusServiceUnavailable, Outcome: ended.outcome, Reason: ended.reason, RetryAfter: call.retryAfter}
	if call.mayHaveRun {
		final.Outcome, final.Status = proxy.OutcomeUnknown, fasthttp.StatusBadGateway
	}
	if ended.final && response != nil && !call.mayHaveRun && !ended.full {
		final.Status = response.StatusCode()
	}
	if call.mayHaveRun && node.timeIsUp(ctx) {
		final.Status = fasthttp.StatusGatewayTimeout
	}
	node.dialect.Final(&call.request.Response, final)
	ended.outcome = final.Outcome
	return ended
}

// deadlineSlack is how much sooner a connection may report its deadline than
// the call's own timer.
const deadlineSlack = 5 * time.Millisecond

// timeIsUp reports whether a call has no time left. The deadline of its
// connection may have come first.
func (node *Node) timeIsUp(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ok && deadline.Sub(node.now()) < deadlineSlack
}
