// Package gate controls all access to the upstream beside this node.
//
// Inputs: calls of entry nodes, with their service, version, deadline, priority and
// idempotency key; notices of the upstream, and the statements in its responses; the
// record of the upstream that other nodes kept from before a restart; the witnesses
// of the configuration in force; requests of other nodes about keys.
//
// Outcomes: each call is forwarded to the upstream when it has a slot and its turn
// within the rate limit, and is answered with the upstream's response; or it is
// refused, which means that it did not run; or its outcome is unknown. A keyed call
// runs at most once among all nodes. The record of the upstream tells other nodes
// whether they may send calls, and a departure is acknowledged only when other nodes
// know of it. The package listens on no address: package node does.
package gate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/uptime"
	"github.com/vanillapulley/vanillapulley/internal/warmup"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// noticeHeartbeats is how many heartbeats of an upstream may be missed before its
// lease expires.
const noticeHeartbeats = 3

// maxConnectFailures is how many consecutive connection attempts to the
// upstream may fail before the upstream is withdrawn.
const maxConnectFailures = 3

// Host is the daemon that the gate is part of. The gate holds no lock when it calls
// these methods.
type Host interface {
	// PublishRecord sends the present record of the gate to the other nodes.
	PublishRecord()
	// PublishRecordSoon is PublishRecord in a later step of the daemon, so that many
	// changes in a short time are sent together.
	PublishRecordSoon()
	// ReplicateRecord sends the present record of the gate, which says that the upstream
	// leaves, to the other nodes and waits until enough of them have it or the context
	// ends. It also waits, for a shorter time, until the control VMs have it on disk.
	ReplicateRecord(ctx context.Context) error
}

// Deps are the dependencies of a gate.
type Deps struct {
	Settings config.Node
	// Incarnation identifies this run of the node, which began at Started.
	Incarnation uint64
	Started     time.Time
	Logs        *logs.Factory
	Stats       *stats.Set
	Now         func() time.Time
	// Random is for the gate alone.
	Random  *rand.Rand
	Dialect proto.Dialect
	// Keyed is true if callers may send idempotency keys.
	Keyed bool
	// Upstreams contains the connections to the upstream.
	Upstreams *proxy.Pools
	// Pool runs the requests to witnesses.
	Pool *ants.Pool
	Host Host
	// Config returns the configuration in force, or nil if there is none yet.
	Config func() *rsrc.Config
	// Service returns the service of the node's settings, which may change while the
	// node runs. It is empty if the settings name none.
	Service func() string
}

// Gate controls all access to this node's upstream: every call to the upstream
// passes through it. Its lock guards the fields below it. Lock order: the lock of
// Claims, then that of Gate. No lock is held while waiting.
type Gate struct {
	settings    config.Node
	incarnation uint64
	now         func() time.Time
	// uptime is the clock of which entry nodes have estimates.
	uptime      func() time.Duration
	log         logr.Logger
	daemonLog   logr.Logger
	callLog     logr.Logger
	stats       *stats.Set
	dialect     proto.Dialect
	keyed       bool
	upstreams   *proxy.Pools
	host        Host
	config      func() *rsrc.Config
	service     func() string
	claims      *Claims
	parentCalls *ParentCalls
	// random is guarded by lock.
	random    *rand.Rand
	bodies    *bodies
	noticeTTL time.Duration
	// ctx ends with the daemon. Start sets it.
	ctx context.Context
	// earlyNotice is the latest notice that arrived before formerStateKnown
	// returned true.
	earlyNotice atomic.Pointer[lease.Notice]
	// formerState is closed once formerStateKnown returns true.
	formerState     chan struct{}
	formerStateOnce sync.Once

	lock sync.Mutex
	// waiting contains the calls that wait for a slot or for their bodies.
	waiting        map[*waiter]bool
	limit          *limit.Limiter
	tracker        *lease.Tracker
	nodeLeaving    bool
	failedConnects int
	limitLog       limitLog
	// unreadableLogged is the time of the latest log line about an unreadable limit.
	unreadableLogged time.Time
	// recordedLimit is the rate limit in the latest record.
	recordedLimit lease.RateLimit
	// replicated is the latest departure of an upstream that other nodes know.
	replicated departure
	// evacuation is the latest order on the zone, and configured is true if there was
	// a configuration. readmitted may be nil; see OnReadmitted.
	evacuation rsrc.Evacuation
	configured bool
	readmitted func(now time.Time)
	// warmUp is the warm-up state of the upstream.
	warmUp warmup.Tracker
	// appliedWarmUp is what the limiter and the latest log line know of warmUp.
	appliedWarmUp appliedWarmUp
	// recordedWarmUp is the forecast in the latest record, made at recordedWarmUpAt.
	recordedWarmUp   warmup.Forecast
	recordedWarmUpAt time.Time
	// absent is true from the end of an upstream's presence to its next notice.
	absent bool
	// healthDue wakes RunWarmUp when the upstream is to be asked whether it is cold.
	healthDue chan struct{}
	// pacing wakes RunPacing when a call may wait for the rate limit.
	pacing chan struct{}
}

// New returns a gate without an upstream. Start must be called before the gate
// serves calls of other nodes or notices.
func New(deps Deps) *Gate {
	gate := &Gate{
		settings:    deps.Settings,
		incarnation: deps.Incarnation,
		now:         deps.Now,
		uptime:      uptime.Now,
		log:         deps.Logs.Layer("gate"),
		daemonLog:   deps.Logs.Layer("daemon"),
		callLog:     deps.Logs.Layer(logs.LayerCalls),
		stats:       deps.Stats,
		dialect:     deps.Dialect,
		keyed:       deps.Keyed,
		upstreams:   deps.Upstreams,
		host:        deps.Host,
		config:      deps.Config,
		service:     deps.Service,
		parentCalls: newParentCalls(),
		random:      deps.Random,
		bodies:      newBodies(deps.Now),
		noticeTTL:   noticeHeartbeats * time.Duration(deps.Settings.Heartbeat),
		formerState: make(chan struct{}),
		waiting:     map[*waiter]bool{},
		limit:       limit.New(0, deps.Settings.Queue),
		tracker:     lease.New(),
		pacing:      make(chan struct{}, 1),
		healthDue:   make(chan struct{}, 1),
	}
	gate.warmUp.Forget(deps.Started)
	gate.OnReadmitted(gate.zoneReadmitted)
	gate.appliedWarmUp.state = warmup.StateWarm
	gate.claims = newClaims(gate, deps)
	return gate
}

// Start sets the client for requests to other nodes, and the context that ends with
// the daemon.
func (gate *Gate) Start(ctx context.Context, client *link.Client) {
	gate.ctx, gate.claims.client = ctx, client
}

// Applied is called when a new configuration is in force. It must not block.
func (gate *Gate) Applied(config *rsrc.Config) {
	gate.claims.setWitnesses(config)
	// The pace of a cold upstream comes first: calls are admitted once the order on the
	// zone is in effect.
	gate.lock.Lock()
	gate.refreshWarmUp()
	gate.lock.Unlock()
	gate.applyEvacuation(config)
	gate.formerStateOnce.Do(func() { close(gate.formerState) })
}

// Claims returns the part of the gate that runs each keyed call at most once.
func (gate *Gate) Claims() *Claims { return gate.claims }

// ParentCalls returns the calls that the upstream is serving.
func (gate *Gate) ParentCalls() *ParentCalls { return gate.parentCalls }

// Load returns what the gate is doing at present, for the choice of targets.
func (gate *Gate) Load() picker.Load {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return picker.Load{InFlight: gate.limit.InFlight(), Queued: gate.limit.Queued(), ServiceTime: gate.limit.ServiceTime()}
}

// Drain makes the gate refuse all new calls from now on.
func (gate *Gate) Drain() {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.nodeLeaving = true
	gate.limit.Drain()
}

// refusal is the reason why a call did not run.
type refusal struct {
	status int
	reason string
	// slotAfter is the expected time until a slot is free; zero if unknown.
	slotAfter time.Duration
	// tooLate is true if the call would not have been worth queueing.
	tooLate bool
}

// Serve handles a call from an entry node.
func (gate *Gate) Serve(ctx context.Context, request *fasthttp.RequestCtx) {
	arrived, header := gate.uptime(), &request.Request.Header
	if len(header.Peek(proxy.HeaderSent)) > 0 {
		defer gate.writeClock(&request.Response, arrived)
	}
	timeout, err := proto.ReadTimeout(header)
	if err != nil {
		gate.refuse(request, refusal{status: fasthttp.StatusBadRequest, reason: err.Error()})
		return
	}
	if timeout == 0 {
		timeout = proto.MaxHopTimeout
	}
	if timeout = gate.shorten(header, timeout, gate.age(header, arrived)); timeout <= 0 {
		gate.refuse(request, refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonAged})
		return
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body := gate.newArrival(ctx, &request.Request)
	defer body.end()
	if refused := gate.awaitLink(ctx, &request.Request, body); refused != nil {
		gate.refuse(request, *refused)
	} else if key := header.Peek(proxy.HeaderIdempotencyKey); len(key) > 0 && gate.keyed {
		// The hash of the body is part of what identifies a keyed call, so the body is
		// received before the key is looked up.
		if !gate.receiveBody(ctx, request, body) {
			return
		}
		gate.claims.serve(ctx, request, string(key))
	} else {
		gate.serveUnkeyed(ctx, request, body)
	}
	gate.writeStatement(&request.Response.Header)
	load := gate.Load()
	var buffer [64]byte
	text := append(strconv.AppendInt(buffer[:0], int64(load.InFlight), 10), '/')
	text = append(strconv.AppendInt(text, int64(load.Queued), 10), '/')
	request.Response.Header.SetBytesV(proxy.HeaderLoad, strconv.AppendInt(text, load.ServiceTime.Milliseconds(), 10))
}

func (gate *Gate) serveUnkeyed(ctx context.Context, request *fasthttp.RequestCtx, body *arrival) {
	granted, refused := gate.acquireSlotFor(ctx, &request.Request, body)
	if refused != nil {
		gate.refuse(request, *refused)
		return
	}
	if !gate.receiveBody(ctx, request, body) {
		gate.returnUnusedSlot()
		return
	}
	if request.Request.MayContinue() && !gate.isCurrent(granted.upstream) {
		// The upstream has left or has been replaced while the body was on its way.
		gate.returnUnusedSlot()
		gate.refuse(request, refusal{status: fasthttp.StatusServiceUnavailable, reason: "wrong version"})
		return
	}
	if ctx.Err() != nil {
		// The caller has left since the slot was granted.
		gate.returnUnusedSlot()
		gate.refuse(request, refusal{status: fasthttp.StatusServiceUnavailable, reason: string(canceledReason(ctx))})
		return
	}
	if len(request.Request.Header.Peek(proxy.HeaderOnce)) > 0 {
		// A call that may run only once is not aborted when its caller
		// disconnects.
		detached, end := detach(ctx)
		defer end()
		ctx = detached
	}
	gate.forward(ctx, granted, request)
}

// reasonNoBody is the reason for refusing a call whose body did not arrive.
const reasonNoBody = "the body did not arrive"

// receiveBody receives the body of a call if the entry node has only announced it. If it
// returns false, it has refused the call.
func (gate *Gate) receiveBody(ctx context.Context, request *fasthttp.RequestCtx, body *arrival) bool {
	if !request.Request.MayContinue() {
		return true
	}
	ctx, end := gate.withdrawable(ctx, &request.Request)
	defer end()
	err := body.receive(ctx)
	if err != nil {
		gate.logNoBody(&request.Request, err)
		gate.refuse(request, refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonNoBody})
	}
	return err == nil
}

// isCurrent reports whether calls may be sent to the upstream that a slot was granted for.
func (gate *Gate) isCurrent(upstream lease.Notice) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	current, present := gate.tracker.Current()
	return present && !gate.tracker.Expired(gate.now()) && current.ID == upstream.ID && current.Born == upstream.Born
}

// Reject responds to a request of an entry node that cannot be parsed, or that cannot
// be served for lack of memory or of a worker. The outcome is that of this try; the
// entry node knows whether there were others.
func (gate *Gate) Reject(request *fasthttp.RequestCtx, status int) {
	gate.stats.Count("vp_requests_refused_total", 1)
	gate.refuse(request, refusal{status: status, reason: fasthttp.StatusMessage(status)})
}

func (gate *Gate) refuse(request *fasthttp.RequestCtx, refused refusal) {
	gate.stats.Count(fmt.Sprintf(`vp_gate_refused_total{reason=%q}`, refused.reason), 1)
	proto.Default{}.LocalReply(&request.Response, proto.LocalReply{Status: refused.status, Outcome: proxy.OutcomeNotRun, Reason: refused.reason})
	if refused.slotAfter > 0 {
		request.Response.Header.Set(proxy.HeaderRetry, proto.FormatMilliseconds(refused.slotAfter))
	}
	if refused.tooLate {
		request.Response.Header.Set(proxy.HeaderTooLate, "yes")
	}
}

// newTicket returns an admission ticket with the customer, deadline, priority
// and objective of a request. The objective is the time after which the
// response loses most of its value. A ticket may also forbid queueing.
func (gate *Gate) newTicket(ctx context.Context, header *fasthttp.RequestHeader, decided func(limit.Reason)) *limit.Ticket {
	deadline, _ := ctx.Deadline()
	ticket := limit.NewTicket(string(header.Peek(proxy.HeaderCustomer)), deadline, decided)
	if priority, err := strconv.Atoi(string(header.Peek(proxy.HeaderPriority))); err == nil {
		ticket.SetPriority(priority)
	}
	if isNested(header) {
		// If the call was refused, the work of its parent would be lost. So it may wait for
		// longer than its own objective allows, but its parent needs time after it.
		ticket.SetObjective(gate.now().Add(deadline.Sub(gate.now()) / nestedTimeDivisor))
	} else if objective := proto.ReadMilliseconds(header.Peek(proxy.HeaderObjective)); objective > 0 {
		ticket.SetObjective(gate.now().Add(objective))
	}
	if len(header.Peek(proxy.HeaderQueue)) > 0 {
		ticket.DisableQueueing()
	}
	return ticket
}

// grant is a slot of the upstream.
type grant struct {
	upstream lease.Notice
	// waited is how long the call waited for the slot.
	waited time.Duration
}

// acquireSlotFor waits for a slot and for the rate limit of the upstream. If it returns
// no refusal, the caller has a slot and must call releaseSlot or returnUnusedSlot. It
// receives the body, which may be nil, if the call is queued. The reason "wrong version"
// also covers a missing upstream and an upstream of another service.
func (gate *Gate) acquireSlotFor(ctx context.Context, request *fasthttp.Request, body *arrival) (grant, *refusal) {
	arrived := gate.now()
	service, version := string(request.Header.Peek(proxy.HeaderService)), string(request.Header.Peek(proxy.HeaderVersion))
	decided := make(chan limit.Reason, 1)
	ticket := gate.newTicket(ctx, &request.Header, func(reason limit.Reason) { decided <- reason })
	gate.lock.Lock()
	upstream, present := gate.tracker.Current()
	// After a pause of this process, calls may arrive before the next run of the
	// bookkeeping that withdraws an upstream whose lease has expired.
	present = present && !gate.tracker.Expired(gate.now())
	// An evacuation comes first, so that the entry node leaves the zone at once.
	evacuated := gate.limit.Evacuated()
	if evacuated || !present || upstream.Service != service || upstream.Version != version {
		reason := "wrong version"
		if evacuated {
			reason = string(limit.ReasonEvacuated)
		} else if gate.nodeLeaving {
			reason = string(limit.ReasonDraining)
		}
		gate.lock.Unlock()
		gate.logRefusal(string(request.Header.Peek(proxy.HeaderRequestID)), reason, present, ticket)
		return grant{}, &refusal{status: fasthttp.StatusServiceUnavailable, reason: reason}
	}
	if upstream.ID != "" && !gate.configured {
		// The upstream may be cold, and its rate is part of the configuration.
		gate.lock.Unlock()
		gate.logRefusal(string(request.Header.Peek(proxy.HeaderRequestID)), reasonNoConfiguration, present, ticket)
		return grant{}, &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonNoConfiguration}
	}
	if !gate.admits(&request.Header) {
		gate.lock.Unlock()
		gate.logRefusal(string(request.Header.Peek(proxy.HeaderRequestID)), string(limit.ReasonNested), present, ticket)
		return grant{}, &refusal{status: fasthttp.StatusServiceUnavailable, reason: string(limit.ReasonNested), slotAfter: nestedRetryAfter, tooLate: true}
	}
	gate.adoptLimit(&request.Header)
	verdict, reason := gate.limit.Arrive(gate.now(), ticket)
	paced := gate.appliedWarmUp.perSecond > 0
	slotAfter := gate.limit.RetryAfter(gate.now())
	tooLate := verdict == limit.Refuse && !gate.limit.WorthQueueing(gate.now(), ticket)
	gate.wakePacing()
	gate.lock.Unlock()
	if paced {
		gate.countWarmUp(verdict, reason)
	}
	switch verdict {
	case limit.Run:
		return grant{upstream: upstream}, nil
	case limit.Wait:
		if err := gate.receiveEarly(ctx, request, body, ticket, decided); err != nil {
			gate.logNoBody(request, err)
			return grant{}, &refusal{status: fasthttp.StatusServiceUnavailable, reason: reasonNoBody}
		}
		reason = gate.waitForSlot(ctx, request, ticket, decided)
	}
	if reason == "" {
		return grant{upstream: upstream, waited: gate.now().Sub(arrived)}, nil
	}
	gate.logRefusal(string(request.Header.Peek(proxy.HeaderRequestID)), string(reason), present, ticket)
	return grant{}, &refusal{status: fasthttp.StatusServiceUnavailable, reason: string(reason), slotAfter: slotAfter, tooLate: tooLate}
}

// reasonNoConfiguration is the reason for refusing a call before the first configuration.
const reasonNoConfiguration = "no configuration yet"

// reasonCallerDisconnected is the reason for refusing a call whose caller
// closed its connection.
const reasonCallerDisconnected = limit.Reason("the caller left")

// waitForSlot waits for the decision on a queued ticket. It returns an empty
// reason once the ticket has a slot.
func (gate *Gate) waitForSlot(ctx context.Context, request *fasthttp.Request, ticket *limit.Ticket, decided <-chan limit.Reason) limit.Reason {
	ctx, end := gate.withdrawable(ctx, request)
	defer end()
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
	return canceledReason(ctx)
}

// releaseSlot releases the slot of a call that has run and records its
// duration.
func (gate *Gate) releaseSlot(priority int, duration time.Duration) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.limit.Done(gate.now(), priority, duration)
	gate.wakePacing()
}

// returnUnusedSlot releases a slot that was not used.
func (gate *Gate) returnUnusedSlot() {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.limit.ReleaseSlot(gate.now())
	gate.wakePacing()
}
