package gate

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/front"
	"github.com/vanillapulley/vanillapulley/internal/intake"
	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

const (
	// maxEarlyBody is the largest body that is received while its call waits for a slot.
	// A call with a larger one must have a slot before.
	maxEarlyBody = 1 << 20
	// maxIntakeWait is the longest expected wait for the link of a call that must not
	// queue. It may find a free slot and a free link on another target.
	maxIntakeWait = 150 * time.Millisecond
	// intakePoll is how often a waiting body checks whether others turned out to be slow.
	intakePoll = 25 * time.Millisecond
)

// errBodyTooLate means that a body was not asked for, because it cannot arrive before the
// deadline of its call.
var errBodyTooLate = errors.New("the body cannot arrive before the deadline")

// bodies paces the bodies that are announced to the gate. The lock guards intake. No
// other lock is acquired while it is held.
type bodies struct {
	now    func() time.Time
	lock   sync.Mutex
	intake *intake.Intake
}

func newBodies(now func() time.Time) *bodies { return &bodies{now: now, intake: intake.New()} }

// arrival is the announced body of a call. It is nil if the call has none or one of unknown
// length, which is not paced. All methods but grant and count are called by the handler.
type arrival struct {
	bodies *bodies
	body   *intake.Body
	size   int
	// credits contains the sum of the grants that the sender was not told of yet.
	credits chan int
	// begun is closed with the first grant; hasBegun is guarded by the lock of bodies.
	begun    chan struct{}
	hasBegun bool
	// announced is true once the body was added to the intake, and received once the
	// reception has begun.
	announced bool
	received  bool
}

// newArrival returns the announced body of a request, or nil if it has none of known length.
func (gate *Gate) newArrival(ctx context.Context, request *fasthttp.Request) *arrival {
	size := request.Header.ContentLength()
	if size <= 0 || !front.HasAnnouncedBody(ctx) {
		return nil
	}
	deadline, _ := ctx.Deadline()
	arrival := &arrival{bodies: gate.bodies, size: size, credits: make(chan int, 1), begun: make(chan struct{})}
	arrival.body = intake.NewBody(size, deadline, arrival.grant)
	if len(request.Header.Peek(proxy.HeaderQueue)) > 0 {
		arrival.body.SetMaxWait(maxIntakeWait)
	}
	return arrival
}

// grant adds bytes to what the sender is to be told. It is called with the lock held.
func (arrival *arrival) grant(bytes int) {
	select {
	case earlier := <-arrival.credits:
		bytes += earlier
	default:
	}
	arrival.credits <- bytes
	if !arrival.hasBegun {
		arrival.hasBegun = true
		close(arrival.begun)
	}
}

// announce adds the body to the intake. It returns false if the body cannot arrive in
// time.
func (arrival *arrival) announce() bool {
	arrival.bodies.lock.Lock()
	defer arrival.bodies.lock.Unlock()
	arrival.announced = arrival.bodies.intake.Arrive(arrival.bodies.now(), arrival.body)
	return arrival.announced
}

// await waits for the first grant, until the context ends, or until pointless returns
// true.
func (arrival *arrival) await(ctx context.Context, pointless func() bool) {
	ticker := time.NewTicker(intakePoll)
	defer ticker.Stop()
	for !pointless() {
		select {
		case <-arrival.begun:
			return
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		arrival.bodies.lock.Lock()
		arrival.bodies.intake.Advance(arrival.bodies.now())
		arrival.bodies.lock.Unlock()
	}
}

// end removes the body from the intake.
func (arrival *arrival) end() {
	if arrival == nil || !arrival.announced {
		return
	}
	arrival.bodies.lock.Lock()
	defer arrival.bodies.lock.Unlock()
	arrival.announced = false
	arrival.bodies.intake.End(arrival.bodies.now(), arrival.body)
}

// receive receives the body if it has not been received yet.
func (arrival *arrival) receive(ctx context.Context) error {
	if arrival == nil {
		return front.ReceiveBody(ctx, front.Flow{})
	}
	if arrival.received {
		return nil
	}
	arrival.received = true
	defer arrival.end()
	if !arrival.announced && !arrival.announce() {
		return errBodyTooLate
	}
	arrival.await(ctx, func() bool { return false })
	return front.ReceiveBody(ctx, front.Flow{Credits: arrival.credits, Received: arrival.count})
}

func (arrival *arrival) count(bytes int) {
	arrival.bodies.lock.Lock()
	defer arrival.bodies.lock.Unlock()
	arrival.bodies.intake.Received(arrival.bodies.now(), arrival.body, bytes)
}

// awaitLink waits until the body of a call may be sent. It comes before the wait for a
// slot, so that a slot is held no longer than the body is in transfer. It returns a
// refusal if the body cannot arrive in time.
func (gate *Gate) awaitLink(ctx context.Context, request *fasthttp.Request, arrival *arrival) *refusal {
	if arrival == nil || arrival.size > maxEarlyBody {
		return nil
	}
	if !arrival.announce() {
		gate.stats.Count("vp_gate_bodies_refused_total", 1)
		reason := limit.ReasonDeadline
		if len(request.Header.Peek(proxy.HeaderQueue)) > 0 {
			reason = limit.ReasonFull
		}
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: string(reason)}
	}
	ctx, end := gate.withdrawable(ctx, request)
	defer end()
	arrival.await(ctx, func() bool { return gate.refusesAll(len(request.Header.Peek(proxy.HeaderQueue)) > 0) })
	if ctx.Err() != nil {
		return &refusal{status: fasthttp.StatusServiceUnavailable, reason: string(canceledReason(ctx))}
	}
	return nil
}

// refusesAll reports whether a call would be refused at present whatever its deadline.
func (gate *Gate) refusesAll(mustNotQueue bool) bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	upstream, present := gate.tracker.Current()
	return !present || gate.limit.Draining() || gate.limit.Evacuated() || mustNotQueue && gate.limit.InFlight() >= upstream.Slots
}

// receiveEarly receives the body of a call that is queued for a slot. If it fails, it
// removes the call from the queue, or returns the slot that the call got meanwhile.
func (gate *Gate) receiveEarly(ctx context.Context, request *fasthttp.Request, arrival *arrival, ticket *limit.Ticket, decided <-chan limit.Reason) error {
	if arrival == nil || arrival.size > maxEarlyBody {
		return nil
	}
	ctx, end := gate.withdrawable(ctx, request)
	defer end()
	err := arrival.receive(ctx)
	if err == nil {
		return nil
	}
	gate.lock.Lock()
	canceled := gate.limit.Cancel(ticket)
	gate.lock.Unlock()
	if !canceled && <-decided == "" {
		gate.returnUnusedSlot()
	}
	return err
}

// acquireSlot is acquireSlotFor for a call without an announced body.
func (gate *Gate) acquireSlot(ctx context.Context, request *fasthttp.Request) (grant, *refusal) {
	return gate.acquireSlotFor(ctx, request, nil)
}
