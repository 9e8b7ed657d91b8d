package node

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// maxHopTimeout bounds a call whose entry node states no limit.
const maxHopTimeout = 10 * time.Minute

// connectFailures is how many connections to the upstream may fail in a row
// before it counts as gone.
const connectFailures = 3

// upstream is the target beside this node, as it announced itself.
type upstream struct {
	service string
	version string
	address string
	slots   int
	// until is when the announcement expires.
	until time.Time
}

// gate is the only way to this node's upstream. Its lock guards all fields.
type gate struct {
	node *Node
	log  logr.Logger

	lock     sync.Mutex
	limit    *limit.Gate
	upstream *upstream
	leaving  bool
	failures int
}

func newGate(node *Node) *gate {
	return &gate{node: node, log: node.logs.Layer("gate"), limit: limit.New(0, node.settings.Queue)}
}

// record describes this node and its upstream to the others.
func (gate *gate) record() member.Record {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	record := member.Record{Gate: gate.node.settings.Gate, Incarnation: gate.node.incarnation, State: member.StateIdle}
	if gate.upstream != nil {
		record.State = member.StateServing
		record.Upstream = member.Upstream{
			Service: gate.upstream.service,
			Version: gate.upstream.version,
			Slots:   gate.upstream.slots,
		}
	}
	if gate.leaving {
		record.State = member.StateLeaving
	}
	return record
}

func (gate *gate) load() (inFlight, queued int) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return gate.limit.InFlight(), gate.limit.Queued()
}

// drain refuses new calls from now on.
func (gate *gate) drain() {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.leaving = true
	gate.limit.Drain()
}

// accept takes an upstream's announcement and reports whether it is news.
func (gate *gate) accept(announced upstream) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	old := gate.upstream
	gate.upstream = &announced
	news := old == nil || old.service != announced.service || old.version != announced.version || old.slots != announced.slots
	if news {
		gate.failures = 0
		gate.limit.SetSlots(gate.node.now(), announced.slots)
		if !gate.leaving {
			gate.limit.Resume()
		}
		gate.log.Info("upstream announced", "service", announced.service, "version", announced.version, "slots", announced.slots)
	}
	return news
}

// withdraw ends the upstream's announcement: it gets no new work.
func (gate *gate) withdraw(reason string) {
	gate.lock.Lock()
	gone := gate.upstream != nil
	gate.upstream = nil
	gate.limit.Drain()
	gate.lock.Unlock()
	if gone {
		gate.log.Info("upstream withdrawn", "reason", reason)
		gate.node.announce()
	}
}

// expire looks at the announcement's lease and at the waiting calls.
func (gate *gate) expire() {
	now := gate.node.now()
	gate.lock.Lock()
	late := gate.upstream != nil && now.After(gate.upstream.until)
	gate.limit.Expire(now)
	gate.lock.Unlock()
	if late {
		gate.withdraw("its announcement expired")
	}
}

// refusal says why a call did not run.
type refusal struct {
	status int
	reason string
}

// serve takes a call from an entry node.
func (gate *gate) serve(request *fasthttp.RequestCtx) {
	timeout, err := callTimeout(&request.Request, maxHopTimeout)
	if err != nil {
		answer(request, fasthttp.StatusBadRequest, proxy.OutcomeNotRun, err.Error())
		return
	}
	deadline, cancel := context.WithDeadline(gate.node.ctx, gate.node.now().Add(timeout))
	defer cancel()
	if key := request.Request.Header.Peek(proxy.HeaderKey); len(key) > 0 {
		// A keyed call goes on when its caller leaves, so that a resend finds
		// its answer.
		gate.node.claims.serve(deadline, gate, request, string(key))
	} else {
		ctx, stop := proxy.WatchCaller(deadline, request.Conn())
		gate.serveOnce(ctx, request)
		stop()
	}
	inFlight, queued := gate.load()
	request.Response.Header.Set(proxy.HeaderLoad, fmt.Sprintf("%d/%d", inFlight, queued))
}

func (gate *gate) serveOnce(ctx context.Context, request *fasthttp.RequestCtx) {
	upstream, refused := gate.enter(ctx, &request.Request)
	if refused != nil {
		gate.refuse(request, *refused)
		return
	}
	gate.forward(ctx, upstream, request)
}

func (gate *gate) refuse(request *fasthttp.RequestCtx, refused refusal) {
	gate.node.stats.Count(fmt.Sprintf(`vp_gate_refused_total{reason=%q}`, refused.reason), 1)
	answer(request, refused.status, proxy.OutcomeNotRun, refused.reason)
}

// enter waits for a slot. Without a refusal the caller of enter has one and
// must call leave.
func (gate *gate) enter(ctx context.Context, request *fasthttp.Request) (upstream, *refusal) {
	service, version := string(request.Header.Peek(proxy.HeaderService)), string(request.Header.Peek(proxy.HeaderVersion))
	customer := string(request.Header.Peek(proxy.HeaderCustomer))
	deadline, _ := ctx.Deadline()
	decided := make(chan limit.Reason, 1)
	ticket := limit.NewTicket(customer, deadline, func(reason limit.Reason) { decided <- reason })
	gate.lock.Lock()
	if gate.upstream == nil || gate.upstream.service != service || gate.upstream.version != version {
		reason := "wrong version"
		if gate.leaving {
			reason = string(limit.ReasonDraining)
		}
		gate.lock.Unlock()
		return upstream{}, &refusal{status: fasthttp.StatusServiceUnavailable, reason: reason}
	}
	target := *gate.upstream
	verdict, reason := gate.limit.Arrive(gate.node.now(), ticket)
	gate.lock.Unlock()
	switch verdict {
	case limit.Run:
		return target, nil
	case limit.Wait:
		reason = gate.wait(ctx, ticket, decided)
	}
	if reason == "" {
		return target, nil
	}
	return upstream{}, &refusal{status: fasthttp.StatusServiceUnavailable, reason: string(reason)}
}

// reasonLeft refuses a call whose caller closed its connection.
const reasonLeft = limit.Reason("the caller left")

// wait returns an empty reason once the ticket has a slot.
func (gate *gate) wait(ctx context.Context, ticket *limit.Ticket, decided <-chan limit.Reason) limit.Reason {
	select {
	case reason := <-decided:
		return reason
	case <-ctx.Done():
	}
	gate.lock.Lock()
	canceled := gate.limit.Cancel(ticket)
	gate.lock.Unlock()
	if !canceled {
		return <-decided
	}
	if errors.Is(context.Cause(ctx), proxy.ErrCallerLeft) {
		return reasonLeft
	}
	return limit.ReasonDeadline
}

// leave gives the slot back.
func (gate *gate) leave(ran time.Duration) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.limit.Done(gate.node.now(), ran)
}

// vacate gives a slot back that was not used.
func (gate *gate) vacate() {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.limit.Vacate(gate.node.now())
}

// forward brings the call to the upstream, which has a slot for it, and
// returns the outcome that was answered.
func (gate *gate) forward(ctx context.Context, target upstream, request *fasthttp.RequestCtx) proxy.Outcome {
	started := gate.node.now()
	defer func() { gate.leave(gate.node.now().Sub(started)) }()
	outgoing := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(outgoing)
	request.Request.CopyTo(outgoing)
	outgoing.Header.Del(proxy.HeaderService)
	outgoing.Header.Del(proxy.HeaderVersion)
	deadline, _ := ctx.Deadline()
	outgoing.Header.Set(proxy.HeaderTimeout, fmt.Sprint(max(1, deadline.Sub(started).Milliseconds())))
	err := gate.node.pools.Do(ctx, target.address, outgoing, &request.Response)
	return gate.conclude(ctx, target, request, err)
}

// conclude marks the answer with what is certain.
func (gate *gate) conclude(ctx context.Context, target upstream, request *fasthttp.RequestCtx, err error) proxy.Outcome {
	var exchange *proxy.ExchangeError
	switch {
	case err == nil:
		request.Response.Header.ResetConnectionClose()
		request.Response.Header.Set(proxy.HeaderOutcome, string(proxy.OutcomeRan))
		request.Response.Header.Set(proxy.HeaderVersion, target.version)
		request.Response.Header.Set(proxy.HeaderTarget, gate.node.settings.Name)
		gate.connected(true)
		return proxy.OutcomeRan
	case errors.As(err, &exchange) && !exchange.Sent:
		gate.refuse(request, refusal{status: fasthttp.StatusServiceUnavailable, reason: "the upstream cannot be reached"})
		if ctx.Err() == nil {
			gate.connected(false)
		}
		return proxy.OutcomeNotRun
	default:
		status := fasthttp.StatusBadGateway
		if ctx.Err() != nil {
			status = fasthttp.StatusGatewayTimeout
		}
		gate.node.stats.Count("vp_gate_lost_answers_total", 1)
		answer(request, status, proxy.OutcomeUnknown, "the upstream gave no whole answer: "+err.Error())
		return proxy.OutcomeUnknown
	}
}

// connected counts failed connections to the upstream in a row.
func (gate *gate) connected(ok bool) {
	gate.lock.Lock()
	gate.failures++
	if ok {
		gate.failures = 0
	}
	gone := gate.failures >= connectFailures
	gate.lock.Unlock()
	if gone {
		gate.withdraw("it refuses connections")
	}
}

// encodeAnswer makes the form in which an answer is recorded.
func encodeAnswer(response *fasthttp.Response) []byte {
	var buffer bytes.Buffer
	_, _ = response.WriteTo(&buffer)
	return buffer.Bytes()
}
