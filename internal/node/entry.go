package node

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/retry"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// The classes that calls are measured in.
const (
	classKeyed = "keyed"
	classRead  = "read"
	classOther = "other"
)

// call is one caller's request on its way.
type call struct {
	request  *fasthttp.RequestCtx
	config   *rsrc.Config
	route    rsrc.Route
	customer string
	id       string
	class    string
	// repeatable is true when a second run does no harm or cannot happen.
	repeatable bool
	// repeated is true when the call is part of a retry further up.
	repeated bool
	// key is set for calls of class keyed.
	key dedup.Key
	// mayHaveRun is true once any try was sent without a certain outcome.
	mayHaveRun bool
	// failed is the latest error answer of an upstream, kept in case no later
	// try does better.
	failed *fasthttp.Response
	// version is the one that the next try goes to.
	version string
	tried   []string
	tries   int
}

// answer tells the caller how a call without an upstream's answer ended.
func answer(request *fasthttp.RequestCtx, status int, outcome proxy.Outcome, reason string) {
	request.Response.Reset()
	request.SetStatusCode(status)
	request.Response.Header.Set(proxy.HeaderOutcome, string(outcome))
	request.Response.Header.Set(proxy.HeaderReason, reason)
	request.SetContentType("text/plain; charset=utf-8")
	request.SetBodyString("vanillapulley: " + string(outcome) + ": " + reason + "\n")
}

// refuseEarly refuses a call before it was tried. A key may have come before,
// so only a call without one is certain not to have run.
func refuseEarly(request *fasthttp.RequestCtx, status int, reason string) {
	outcome := proxy.OutcomeNotRun
	if _, err := dedup.ParseKey("", "", string(request.Request.Header.Peek(proxy.HeaderKey))); err == nil {
		outcome = proxy.OutcomeUnknown
	}
	answer(request, status, outcome, reason)
}

// serveCaller takes a call from a caller, picks a target and brings the whole
// answer back.
func (node *Node) serveCaller(request *fasthttp.RequestCtx) {
	started := node.now()
	call, ok := node.newCall(request)
	if !ok {
		return
	}
	timeout, err := callTimeout(&request.Request, call.route.Timeout())
	if err != nil {
		refuseEarly(request, fasthttp.StatusBadRequest, err.Error())
		return
	}
	deadline, cancel := context.WithDeadline(node.ctx, started.Add(timeout))
	defer cancel()
	ctx, stop := proxy.WatchCaller(deadline, request.Conn())
	node.run(ctx, call)
	stop()
	outcome := string(request.Response.Header.Peek(proxy.HeaderOutcome))
	node.stats.Call(call.customer, call.class, outcome, node.now().Sub(started))
}

func (node *Node) newCall(request *fasthttp.RequestCtx) (*call, bool) {
	config := node.config.Load()
	if config == nil {
		refuseEarly(request, fasthttp.StatusServiceUnavailable, "no configuration yet")
		return nil, false
	}
	route, ok := config.Match(string(request.Path()))
	if !ok {
		refuseEarly(request, fasthttp.StatusNotFound, "no route")
		return nil, false
	}
	header := &request.Request.Header
	call := &call{
		request:    request,
		config:     config,
		route:      route,
		customer:   string(header.Peek(proxy.HeaderCustomer)),
		id:         string(header.Peek(proxy.HeaderRequest)),
		class:      classOther,
		repeatable: idempotent(string(header.Method())),
		repeated:   len(header.Peek(proxy.HeaderAttempt)) > 0,
	}
	if call.customer == "" {
		call.customer = "none"
	}
	if call.id == "" {
		call.id = uuid.NewString()
	}
	if call.repeatable {
		call.class = classRead
	}
	if key := string(header.Peek(proxy.HeaderKey)); key != "" {
		parsed, err := dedup.ParseKey(route.Service(), call.customer, key)
		if err != nil {
			refuseEarly(request, fasthttp.StatusBadRequest, err.Error())
			return nil, false
		}
		call.class, call.repeatable, call.key = classKeyed, true, parsed
		// A resend must come to the same version as the first call.
		call.id = key
	}
	return call, true
}

func idempotent(method string) bool {
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// callTimeout is the caller's own limit, but at most the route's.
func callTimeout(request *fasthttp.Request, most time.Duration) (time.Duration, error) {
	text := string(request.Header.Peek(proxy.HeaderTimeout))
	if text == "" {
		return most, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 {
		return 0, errors.New(proxy.HeaderTimeout + " must be a positive number of milliseconds")
	}
	if milliseconds > most.Milliseconds() {
		return most, nil
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// chooseVersion gives the same request the same version for as long as the
// shares stay.
func (node *Node) chooseVersion(call *call) (version string, rollout *rsrc.Rollout) {
	held, ok := call.config.Rollout(call.route.Name())
	if !ok || held.Last().State.Ended() {
		return call.route.Version(), nil
	}
	share := node.guard.share(held)
	if int(xxhash.Sum64String(call.id)%rsrc.FullShare) < share {
		return held.To(), &held
	}
	return held.From(), &held
}

// run tries targets until there is an answer for the caller.
func (node *Node) run(ctx context.Context, call *call) {
	version, rollout := node.chooseVersion(call)
	call.version = version
	node.lock.Lock()
	node.budget.Call(call.repeated)
	if rollout != nil && node.picker.Count(call.route.Service(), version) == 0 {
		call.version = otherVersion(*rollout, version)
	}
	node.lock.Unlock()
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	for {
		again := node.try(ctx, call, rollout, response)
		if again < 0 {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(again):
		}
	}
}

func otherVersion(rollout rsrc.Rollout, version string) string {
	if version == rollout.To() {
		return rollout.From()
	}
	return rollout.To()
}

// noRetry ends a call's tries.
const noRetry = -1

// try sends the call to one target. It returns the pause before the next try,
// or noRetry when the caller has its answer.
func (node *Node) try(ctx context.Context, call *call, rollout *rsrc.Rollout, response *fasthttp.Response) time.Duration {
	version := call.version
	started := node.now()
	call.tries++
	node.lock.Lock()
	target, ok := node.picker.Pick(started, call.route.Service(), version, call.tried)
	node.lock.Unlock()
	if !ok {
		return node.noTarget(ctx, call, version)
	}
	call.tried = append(call.tried, target.Name)
	err := node.exchange(ctx, call, target, version, response)
	result := node.judge(ctx, err, response)
	latency := node.now().Sub(started)
	node.lock.Lock()
	node.picker.Done(node.now(), target.Name, result.learned, latency, result.load)
	node.lock.Unlock()
	if rollout != nil {
		node.guard.observe(*rollout, version, result, latency)
	}
	call.mayHaveRun = call.mayHaveRun || result.outcome == proxy.OutcomeUnknown
	if pause, again := node.again(ctx, call, result); again {
		node.stats.Count("vp_retries_total", 1)
		call.keep(result, response)
		call.avoid(rollout)
		return pause
	}
	node.deliver(ctx, call, result, response)
	return noRetry
}

// avoid sends the next try of a read that the new version did not answer well
// to the old one, so that fewer callers are hurt while the evidence comes in.
func (call *call) avoid(rollout *rsrc.Rollout) {
	if rollout != nil && call.class == classRead && call.version == rollout.To() {
		call.version = rollout.From()
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

// noTarget ends a call for which no target is left, or tries the same ones
// again if the budget allows it.
func (node *Node) noTarget(ctx context.Context, call *call, version string) time.Duration {
	refused := result{outcome: proxy.OutcomeNotRun, reason: "no target of " + call.route.Service() + "/" + version}
	if len(call.tried) > 0 && call.failed == nil {
		call.tried = nil
		if pause, again := node.again(ctx, call, refused); again {
			return pause
		}
	}
	node.deliver(ctx, call, refused, nil)
	return noRetry
}

// again asks the retry budget for another try.
func (node *Node) again(ctx context.Context, call *call, result result) (time.Duration, bool) {
	// A keyed call's answer stays the same however often it is asked for.
	good := result.outcome == proxy.OutcomeRan && (result.learned != picker.ResultFailed || call.class == classKeyed)
	// An unknown outcome is final for a keyed call; a read may simply be read
	// again.
	final := result.final && (call.class != classRead || result.outcome != proxy.OutcomeUnknown)
	if good || final || ctx.Err() != nil {
		return 0, false
	}
	deadline, _ := ctx.Deadline()
	node.lock.Lock()
	defer node.lock.Unlock()
	return node.budget.Again(retry.Attempt{
		Idempotent: call.repeatable,
		NotRun:     result.outcome == proxy.OutcomeNotRun,
		Repeated:   call.repeated,
		Tries:      call.tries,
		RetryAfter: result.retryAfter,
	}, deadline.Sub(node.now()))
}

// exchange sends the call to a target's gate.
func (node *Node) exchange(ctx context.Context, call *call, target picker.Target, version string, response *fasthttp.Response) error {
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	call.request.Request.CopyTo(request)
	response.Reset()
	dropHopHeaders(request)
	deadline, _ := ctx.Deadline()
	header := &request.Header
	header.Set(proxy.HeaderTimeout, strconv.FormatInt(max(1, deadline.Sub(node.now()).Milliseconds()), 10))
	header.Set(proxy.HeaderRequest, call.id)
	header.Set(proxy.HeaderCustomer, call.customer)
	header.Set(proxy.HeaderService, call.route.Service())
	header.Set(proxy.HeaderVersion, version)
	if call.tries > 1 || call.repeated {
		header.Set(proxy.HeaderAttempt, strconv.Itoa(max(2, call.tries)))
	}
	return node.pools.Do(ctx, target.Gate, request, response)
}

// dropHopHeaders takes out what concerns only the caller's connection.
func dropHopHeaders(request *fasthttp.Request) {
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Upgrade", "Te", "Expect"} {
		request.Header.Del(name)
	}
	request.Header.ResetConnectionClose()
}

// result is what one try came to.
type result struct {
	outcome proxy.Outcome
	reason  string
	learned picker.Result
	load    *picker.Load
	// final forbids another try.
	final bool
	// retryAfter is the pause that an upstream asked for.
	retryAfter time.Duration
}

// judge tells how a try ended. Only the gate's own word, or the certainty
// that nothing was sent, counts as not run.
func (node *Node) judge(ctx context.Context, err error, response *fasthttp.Response) result {
	var exchange *proxy.ExchangeError
	if errors.As(err, &exchange) {
		return judgeLost(ctx, exchange)
	}
	judged := result{
		outcome: proxy.Outcome(response.Header.Peek(proxy.HeaderOutcome)),
		reason:  string(response.Header.Peek(proxy.HeaderReason)),
		load:    readLoad(string(response.Header.Peek(proxy.HeaderLoad))),
	}
	switch judged.outcome {
	case proxy.OutcomeRan:
		if response.StatusCode() >= fasthttp.StatusInternalServerError {
			judged.learned = picker.ResultFailed
			judged.retryAfter = retryAfter(response)
		}
	case proxy.OutcomeNotRun:
		judged.learned = picker.ResultRefused
		judged.final = response.StatusCode() < fasthttp.StatusInternalServerError
	default:
		judged.outcome, judged.learned = proxy.OutcomeUnknown, picker.ResultFailed
		judged.final = true
	}
	return judged
}

// retryAfter reads the pause an upstream asks for, if it names seconds.
func retryAfter(response *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(response.Header.Peek("Retry-After")))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func judgeLost(ctx context.Context, exchange *proxy.ExchangeError) result {
	lost := result{outcome: proxy.OutcomeUnknown, reason: exchange.Err.Error(), learned: picker.ResultFailed}
	if !exchange.Sent {
		lost.outcome = proxy.OutcomeNotRun
	}
	if errors.Is(context.Cause(ctx), proxy.ErrCallerLeft) {
		lost.learned = picker.ResultCanceled
		lost.reason = proxy.ErrCallerLeft.Error()
	} else if ctx.Err() != nil {
		lost.reason = "deadline"
	}
	return lost
}

func readLoad(text string) *picker.Load {
	first, second, ok := strings.Cut(text, "/")
	if !ok {
		return nil
	}
	inFlight, err := strconv.Atoi(first)
	if err != nil {
		return nil
	}
	queued, err := strconv.Atoi(second)
	if err != nil {
		return nil
	}
	return &picker.Load{InFlight: inFlight, Queued: queued}
}

// deliver gives the caller its answer: the last one of an upstream if there
// was any. A keyed call that is not answered is looked up first, since it may
// have run when it was sent before.
func (node *Node) deliver(ctx context.Context, call *call, result result, response *fasthttp.Response) {
	if result.outcome != proxy.OutcomeRan && call.failed != nil {
		response, result.outcome = call.failed, proxy.OutcomeRan
	}
	if result.outcome == proxy.OutcomeRan {
		response.CopyTo(&call.request.Response)
		call.request.Response.Header.Del(proxy.HeaderLoad)
		call.request.Response.Header.ResetConnectionClose()
		return
	}
	if call.class == classKeyed && !result.final {
		earlier := node.claims.lookup(ctx, call.key)
		if earlier.Kind == dedup.Ran {
			node.claims.replay(node.gate, call.request, earlier)
			return
		}
		if earlier.Kind == dedup.Unknown {
			call.mayHaveRun, result.reason = true, earlier.Reason
		}
	}
	status := fasthttp.StatusServiceUnavailable
	outcome := result.outcome
	if call.mayHaveRun {
		outcome, status = proxy.OutcomeUnknown, fasthttp.StatusBadGateway
	}
	if result.final && response != nil {
		status = response.StatusCode()
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		status = fasthttp.StatusGatewayTimeout
	}
	answer(call.request, status, outcome, result.reason)
	if outcome == proxy.OutcomeNotRun && status == fasthttp.StatusServiceUnavailable {
		call.request.Response.Header.Set("Retry-After", "1")
	}
}
