package gate

import (
	"bytes"
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// forward sends the call to the upstream and returns the outcome that was
// reported to the entry node. The caller must hold a slot, which forward
// releases. The request is changed in place before it is sent. A call whose slot was
// granted before an evacuation, but that was not sent yet, is refused: a keyed call may
// take seconds to claim its key.
func (gate *Gate) forward(ctx context.Context, granted grant, request *fasthttp.RequestCtx) proxy.Outcome {
	upstream := granted.upstream
	if gate.isEvacuated() {
		gate.returnUnusedSlot()
		gate.refuse(request, evacuatedRefusal())
		return proxy.OutcomeNotRun
	}
	started := gate.now()
	priority, _ := strconv.Atoi(string(request.Request.Header.Peek(proxy.HeaderPriority)))
	defer func() { gate.releaseSlot(priority, gate.now().Sub(started)) }()
	outgoing := &request.Request
	callerService := string(outgoing.Header.Peek(proxy.HeaderCaller))
	customer, route := string(outgoing.Header.Peek(proxy.HeaderCustomer)), string(outgoing.Header.Peek(proxy.HeaderRoute))
	gate.writeAccount(&outgoing.Header)
	for _, name := range gateHeaders {
		outgoing.Header.Del(name)
	}
	outgoing.Header.SetNoDefaultContentType(true)
	id := string(outgoing.Header.Peek(proxy.HeaderRequestID))
	deadline, _ := ctx.Deadline()
	gate.dialect.ForwardInfo(outgoing, proto.ForwardInfo{Timeout: deadline.Sub(started), UpstreamID: upstream.ID, CallerService: callerService})
	gate.parentCalls.begin(id, parentCall{priority: priority, customer: customer, route: route})
	gate.countSent()
	err := gate.upstreams.Do(ctx, upstream.Address, outgoing, &request.Response)
	starved, nestedWait := gate.parentCalls.end(id)
	outcome := gate.finishResponse(ctx, upstream, started, id, request, err)
	request.Response.Header.Del(proxy.HeaderStarved)
	if starved && outcome == proxy.OutcomeRan {
		request.Response.Header.Set(proxy.HeaderStarved, "yes")
	}
	if waited := granted.waited + nestedWait; waited >= time.Millisecond {
		request.Response.Header.Set(proxy.HeaderWaited, proto.FormatMilliseconds(waited))
	} else {
		request.Response.Header.Del(proxy.HeaderWaited)
	}
	return outcome
}

// gateHeaders are intended for the gate only and are not sent to the upstream.
var gateHeaders = []string{
	proxy.HeaderService, proxy.HeaderVersion, proxy.HeaderCaller, proxy.HeaderObjective,
	proxy.HeaderPriority, proxy.HeaderQueue, proxy.HeaderOnce, proxy.HeaderLimit, proxy.HeaderInstance,
	proxy.HeaderKey, proxy.HeaderAccount, proxy.HeaderNested, proxy.HeaderRoute, proxy.HeaderSent, proxy.HeaderExchange, fasthttp.HeaderExpect,
}

// writeAccount removes a key from a request to the upstream, and sets or removes the
// header with the name of the account, as the entry node decided.
func (gate *Gate) writeAccount(header *fasthttp.RequestHeader) {
	header.Del(gate.dialect.KeyHeader())
	switch name := string(header.Peek(proxy.HeaderAccount)); name {
	case "":
		// The configuration of the entry node contains no accounts.
	case proxy.NoAccount:
		header.Del(gate.dialect.AccountHeader())
	default:
		proxy.SetOnly(header, gate.dialect.AccountHeader(), name)
	}
}

// finishResponse sets the outcome headers of the response. The outcome is ran
// or not-run only if that is certain. The call was sent at the given time.
func (gate *Gate) finishResponse(ctx context.Context, upstream lease.Notice, sent time.Time, id string, request *fasthttp.RequestCtx, err error) proxy.Outcome {
	if err != nil {
		return gate.respondToFailure(ctx, upstream, id, request, err)
	}
	header := &request.Response.Header
	header.ResetConnectionClose()
	gate.recordConnect(true)
	info := gate.dialect.ResponseInfo(&request.Response)
	proto.DropStatement(header)
	if info.WrongUpstream {
		gate.withdraw("another upstream answers at its address")
	} else if !info.Unverified {
		gate.observe(sent, upstream, info.Statement)
	}
	switch {
	case info.WrongUpstream || info.NotRun:
		gate.refuse(request, refusal{status: fasthttp.StatusServiceUnavailable, reason: "the upstream refused it"})
		header.Set(proxy.HeaderTarget, gate.settings.Name)
		return proxy.OutcomeNotRun
	case info.Unverified:
		return gate.replyUnknown(ctx, upstream, id, request, "the upstream's answer is not a genuine one")
	}
	header.Set(proxy.HeaderOutcome, string(proxy.OutcomeRan))
	header.Set(proxy.HeaderVersion, upstream.Version)
	header.Set(proxy.HeaderTarget, gate.settings.Name)
	return proxy.OutcomeRan
}

func (gate *Gate) respondToFailure(ctx context.Context, upstream lease.Notice, id string, request *fasthttp.RequestCtx, err error) proxy.Outcome {
	var exchangeError *proxy.ExchangeError
	if errors.As(err, &exchangeError) && !exchangeError.MaybeSent {
		gate.refuse(request, refusal{status: fasthttp.StatusServiceUnavailable, reason: proto.ReasonUnreachable})
		if ctx.Err() == nil {
			gate.recordConnect(false)
		}
		return proxy.OutcomeNotRun
	}
	gate.logFailedExchange(id, upstream.ID, err)
	return gate.replyUnknown(ctx, upstream, id, request, "the upstream gave no whole answer: "+exchangeReason(err))
}

// replyUnknown responds to a call that may have run.
func (gate *Gate) replyUnknown(ctx context.Context, upstream lease.Notice, id string, request *fasthttp.RequestCtx, reason string) proxy.Outcome {
	status := fasthttp.StatusBadGateway
	if ctx.Err() != nil {
		status = fasthttp.StatusGatewayTimeout
	}
	gate.stats.Count("vp_gate_lost_answers_total", 1)
	gate.logLostResponse(id, upstream.ID, reason)
	proto.Default{}.LocalReply(&request.Response, proto.LocalReply{Status: status, Outcome: proxy.OutcomeUnknown, Reason: reason})
	request.Response.Header.Set(proxy.HeaderTarget, gate.settings.Name)
	return proxy.OutcomeUnknown
}

// recordConnect counts consecutive failed connections to the upstream and
// withdraws the upstream when there are too many.
func (gate *Gate) recordConnect(ok bool) {
	gate.lock.Lock()
	gate.failedConnects++
	if ok {
		gate.failedConnects = 0
	}
	tooMany := gate.failedConnects >= maxConnectFailures
	gate.lock.Unlock()
	if tooMany {
		gate.withdraw("connection attempts failed")
	}
}

// encodeResponse returns a response in the form in which it is recorded.
func encodeResponse(response *fasthttp.Response) []byte {
	var buffer bytes.Buffer
	_, _ = response.WriteTo(&buffer)
	return buffer.Bytes()
}
