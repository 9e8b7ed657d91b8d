package front

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// bodyStallTimeout is how long a peer that was told to send the body may send none of
// it. The handler may hold a slot meanwhile. It is the time after which a node gives up
// a connection to another node that does not acknowledge data.
const bodyStallTimeout = time.Second

// deferredBody is the body of a request that waits for 100 Continue. The handler asks
// for the body. The writing goroutine then sends 100 Continue, so that it follows the
// responses to earlier requests, and the reading goroutine reads the body.
type deferredBody struct {
	// wanted is closed when the handler asks for the body. The body must be complete
	// before deadline, which is set before; zero means no deadline.
	wanted   chan struct{}
	deadline time.Time
	// flow is set before wanted is closed.
	flow Flow
	// unsent is the number of bytes that the peer may send and that have not arrived. It
	// counts only if flow has credits.
	unsent atomic.Int64
	// undecided holds a value until either the writing goroutine decides to send 100
	// Continue or the handler stops waiting for that.
	undecided chan struct{}
	// continued is closed when 100 Continue is about to be sent.
	continued chan struct{}
	// received gets the result of the reading. It is nil if the body is complete.
	received chan error
	// interrupt makes the reading end if the body is not complete.
	interrupt func()
}

func newDeferredBody(interrupt func()) *deferredBody {
	body := &deferredBody{
		interrupt: interrupt,
		wanted:    make(chan struct{}),
		undecided: make(chan struct{}, 1),
		continued: make(chan struct{}),
		received:  make(chan error, 1),
	}
	body.undecided <- struct{}{}
	return body
}

// decide returns true for its first call.
func (body *deferredBody) decide() bool {
	select {
	case <-body.undecided:
		return true
	default:
		return false
	}
}

// isContinued reports whether 100 Continue was sent or is about to be sent.
func (body *deferredBody) isContinued() bool {
	select {
	case <-body.continued:
		return true
	default:
		return false
	}
}

type bodyKey struct{}

// Flow limits how fast a peer sends a body.
type Flow struct {
	// Credits contains numbers of bytes that the peer may send in addition. It contains
	// the first one before the body is asked for. If it is nil, the peer may send the whole
	// body.
	Credits <-chan int
	// Received is called with the number of bytes that have arrived. It may be nil.
	Received func(bytes int)
}

// HasAnnouncedBody reports whether the body of the request whose handler got the context
// waits for ReceiveBody.
func HasAnnouncedBody(ctx context.Context) bool {
	_, ok := ctx.Value(bodyKey{}).(*deferredBody)
	return ok
}

// ReceiveBody tells the peer to send the body of the request whose handler got the
// context, and reads it. It does nothing if the body was read before the handler was
// called. It must be called at most once. If it returns an error, the body is incomplete.
func ReceiveBody(ctx context.Context, flow Flow) error {
	body, ok := ctx.Value(bodyKey{}).(*deferredBody)
	if !ok {
		return nil
	}
	body.flow = flow
	body.deadline, _ = ctx.Deadline()
	close(body.wanted)
	select {
	case err := <-body.received:
		return err
	case <-ctx.Done():
	}
	if body.decide() {
		return context.Cause(ctx)
	}
	// The reading goroutine may be using the request, and may just have received it all.
	body.interrupt()
	return <-body.received
}

// sendContinue waits until the handler of a request asks for the body or has returned.
// In the first case it sends 100 Continue, and again for each further credit until the
// handler has returned. The reading goroutine writes nothing.
func (conn *conn) sendContinue(next *pending) error {
	select {
	case <-next.done:
		return nil
	case <-next.body.wanted:
	}
	if !next.body.decide() {
		return nil
	}
	close(next.body.continued)
	if err := conn.writeContinue(next.body.firstCredit()); err != nil {
		return err
	}
	if err := conn.expectBody(next.body); err != nil {
		return err
	}
	for {
		select {
		case <-next.done:
			return nil
		case bytes := <-next.body.flow.Credits:
			next.body.unsent.Add(int64(bytes))
			if err := conn.writeContinue(creditLine(bytes)); err != nil {
				return err
			}
			if err := conn.expectBody(next.body); err != nil {
				return err
			}
		}
	}
}

// expectBody limits how long the reading goroutine waits for the next bytes of a body.
func (conn *conn) expectBody(body *deferredBody) error {
	err := conn.setReadDeadline(body.stallDeadline(time.Now()))
	if errors.Is(err, errEvicted) {
		// The reading goroutine ends the reading, and the request is refused.
		return nil
	}
	return err
}

// firstCredit returns the header line for the first part of a body.
func (body *deferredBody) firstCredit() string {
	if body.flow.Credits == nil {
		return ""
	}
	select {
	case bytes := <-body.flow.Credits:
		body.unsent.Add(int64(bytes))
		return creditLine(bytes)
	default:
		return creditLine(0)
	}
}

func creditLine(bytes int) string { return proxy.HeaderCredit + ": " + strconv.Itoa(bytes) + "\r\n" }

// writeContinue sends 100 Continue with the given header line, which may be empty.
func (conn *conn) writeContinue(line string) error {
	if err := conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	_, err := io.WriteString(conn.raw, "HTTP/1.1 100 Continue\r\n"+line+"\r\n")
	return err
}

// errEnd means that no further request is read from a connection, although the peer
// has not disconnected.
var errEnd = errors.New("no further request is read")

// readDeferredBody waits until the handler asks for the body and reads it, or returns
// when the handler has ended without the body and the next request begins. It returns
// errEnd if no further request may be read, and another error if the peer has
// disconnected.
func (conn *conn) readDeferredBody(next *pending, limits Limits) error {
	err := conn.awaitBody(next, limits)
	if err == nil && next.body.isContinued() {
		err = conn.readAfterContinue(next, limits)
	}
	if err != nil && next.body.isContinued() && errorStatus(err) != 0 {
		// The rest of the body could be read as the next request.
		next.last = true
		next.body.received <- err
		return errEnd
	}
	if err != nil && !errors.Is(err, errEnd) {
		next.body.received <- proxy.ErrCallerDisconnected
		return err
	}
	next.body.received <- err
	return err
}

// awaitBody waits for the first byte of the body or, if the handler returns without
// asking for the body, of the next request.
func (conn *conn) awaitBody(next *pending, limits Limits) error {
	conn.setAwaiting(true)
	defer conn.setAwaiting(false)
	for {
		if err := conn.setReadDeadline(time.Now().Add(limits.Idle)); err != nil {
			return err
		}
		// The checks follow setReadDeadline, which undoes an earlier interruption by
		// writeResponse or sendContinue.
		if next.body.isContinued() {
			return nil
		}
		if conn.isClosing() {
			return errEnd
		}
		_, err := conn.reader.Peek(1)
		if err == nil {
			break
		}
		if !isTimeout(err) {
			return err
		}
		if conn.idle() {
			return errEnd
		}
	}
	select {
	case <-next.done:
		return nil
	case <-next.body.continued:
		return nil
	default:
	}
	// The peer did not wait for 100 Continue.
	select {
	case <-next.body.continued:
		return nil
	case <-next.done:
		return errEnd
	}
}

// readAfterContinue reads the body after 100 Continue. The connection can be evicted
// again while it does.
func (conn *conn) readAfterContinue(next *pending, limits Limits) error {
	started := time.Now()
	conn.client.Begin(started)
	conn.resumeRead()
	conn.body = next.body
	defer func() { conn.body = nil }()
	conn.countBody(conn.reader.Buffered())
	defer conn.endRead()
	request := &next.request.Request
	return conn.readBody(request, next.hold, request.Header.ContentLength(), started, limits)
}

// resumeRead marks the request that was dispatched without its body as being read.
func (conn *conn) resumeRead() {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	conn.reading = true
}

// limitStall limits the next read of a deferred body.
func (conn *conn) limitStall() error {
	if conn.body == nil {
		return nil
	}
	return conn.setReadDeadline(conn.body.stallDeadline(time.Now()))
}

// stallDeadline returns until when the next bytes of the body must arrive. A peer that may
// send nothing at present has until the deadline of the body.
func (body *deferredBody) stallDeadline(now time.Time) time.Time {
	deadline := now.Add(bodyStallTimeout)
	isWaiting := body.flow.Credits != nil && body.unsent.Load() <= 0
	if !body.deadline.IsZero() && (isWaiting || body.deadline.Before(deadline)) {
		return body.deadline
	}
	return deadline
}

// countBody reports bytes of the deferred body that have arrived.
func (conn *conn) countBody(bytes int) {
	if conn.body == nil || bytes <= 0 {
		return
	}
	conn.body.unsent.Add(-int64(bytes))
	if conn.body.flow.Received != nil {
		conn.body.flow.Received(bytes)
	}
}
