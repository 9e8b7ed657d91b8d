package front

import (
	"cmp"
	"context"
	"time"

	"github.com/valyala/fasthttp"
)

func (conn *conn) setCancel(cancel context.CancelCauseFunc) {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	conn.cancel = cancel
	if cause := conn.server.stopped.Load(); cause != nil {
		cancel(*cause)
	}
}

// cutOff cancels the requests in progress, and ends the reading: a request or a body that
// is not complete is refused.
func (conn *conn) cutOff(cause error) {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	if conn.cancel != nil {
		conn.cancel(cause)
	}
	if conn.reading || conn.awaiting {
		conn.stopReading()
	}
}

// interruptRead ends the reading of a deferred body that was asked for. The reading
// goroutine may not have begun to wait for it.
func (conn *conn) interruptRead() {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	conn.stopReading()
}

// stopReading ends the reading of a request or a body that is not complete. The lock must
// be held.
func (conn *conn) stopReading() {
	conn.evicted = true
	_ = conn.raw.SetReadDeadline(time.Now())
}

// stopAwaiting interrupts a reading goroutine that waits for the next request, so
// that it refuses that and reads no further one, unless a request is in progress. A
// request that has been partly read is read to its end.
func (conn *conn) stopAwaiting() {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	if conn.awaiting {
		conn.refusing = conn.inFlight == 0
		_ = conn.raw.SetReadDeadline(time.Now())
	}
}

// refuseNext responds to the next request before it is read. A connection without
// requests in progress is closed this way during a graceful shutdown, because a request may
// be on its way: it would get no response, and its caller could not tell whether it ran.
func (conn *conn) refuseNext() {
	request := &fasthttp.RequestCtx{}
	request.Init2(conn.raw, discardLogger{}, true)
	conn.endRead()
	conn.server.deps.WriteError(request, cmp.Or(conn.server.deps.IdleStatus, fasthttp.StatusRequestTimeout))
	next := &pending{request: request, done: make(chan struct{}), hold: conn.client.NewHold(), last: true}
	close(next.done)
	conn.pending <- next
}

// isBusy reports whether a request is in flight or a response is being written.
func (conn *conn) isBusy() bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	return conn.inFlight > 0 || conn.writing
}

func (conn *conn) isRefusing() bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	return conn.refusing
}
