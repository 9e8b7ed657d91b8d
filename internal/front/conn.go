package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/bufmem"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

const (
	// maxPipelined is the capacity of a connection's queue of requests whose
	// response has not been written. The writing goroutine holds one more request,
	// so that up to maxPipelined+1 run concurrently. The reading goroutine may hold
	// another request that it has read but cannot queue yet.
	maxPipelined = 32
	// lingerTimeout is how long data is still read and discarded after the last
	// response. Closing a connection with unread data would reset it, and the
	// caller might lose that response.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout limits the time to write a response.
	writeTimeout = 10 * time.Second
	// connBytes is about what an open connection takes: two goroutines, the first
	// buffers of both directions and the queue.
	connBytes = 16 << 10
	// requestBytes is about what a request takes without its body while its handler
	// runs, if its header section fits into the first buffer.
	requestBytes = 20 << 10
	// firstHeaderBuffer is the size of the first read buffer, which fits the header
	// section of an ordinary request. It grows up to Limits.MaxHeader.
	firstHeaderBuffer = 4 << 10
	// politeBytes is the memory of a connection from which its request is refused by a
	// response when it is evicted. That takes lingerTimeout, in which the rest of the
	// request is discarded.
	politeBytes = 64 << 10
)

// conn is one connection. One goroutine reads requests and another one writes
// responses.
type conn struct {
	server *Server
	raw    net.Conn
	// client is this connection in the memory budget, and base the memory that it
	// takes without a request.
	client *bufmem.Client
	base   *bufmem.Hold
	// reader reads through Read, which notes the progress of the client.
	reader     *bufio.Reader
	readerSize int
	writer     *bufio.Writer
	// body is the deferred body that the reading goroutine is reading, or nil.
	body *deferredBody
	// pending is the queue of requests in progress, in the order of arrival.
	pending chan *pending

	// lock guards the fields below.
	lock sync.Mutex
	// inFlight is the number of requests in progress, including the one that is
	// being read. A request is no longer counted when its response is the next one
	// to be written and is ready.
	inFlight int
	// closing is set before the last response of the connection is written. No
	// request is read afterwards.
	closing bool
	// writing is true while a response is being written.
	writing bool
	// awaiting is true while the reading goroutine waits for the first byte of a
	// request, and reading from then on until the request is complete.
	awaiting bool
	reading  bool
	// refusing is true once the next request is to be refused. The read may return that
	// request although its deadline has passed.
	refusing bool
	// evicted is true once the connection was closed to free memory or a descriptor, or
	// because the process stops.
	evicted bool
	// cancel cancels the requests in progress. It is nil until the connection is served.
	cancel context.CancelCauseFunc
	// lastRequest is when the last request was completed, or the connection accepted.
	lastRequest time.Time
}

// pending is a request in progress.
type pending struct {
	request *fasthttp.RequestCtx
	// done is closed when the response is ready.
	done chan struct{}
	// last is set if the connection is to be closed after this response.
	last bool
	// hold is the memory of the request and the response.
	hold *bufmem.Hold
	// body is nil if the body was read before the handler was called.
	body *deferredBody
}

func newConn(server *Server, raw net.Conn) *conn {
	conn := &conn{
		server:      server,
		raw:         raw,
		writer:      bufio.NewWriter(raw),
		pending:     make(chan *pending, maxPipelined),
		lastRequest: time.Now(),
	}
	conn.client = server.deps.Memory.NewClient(func(bytes int64) bool { return conn.evict(ReasonMemory, bytes) })
	conn.base = conn.client.NewHold()
	return conn
}

// Read reads from the network and notes the progress of the client.
func (conn *conn) Read(buffer []byte) (int, error) {
	if err := conn.limitStall(); err != nil {
		return 0, err
	}
	n, err := conn.raw.Read(buffer)
	conn.client.Received(n)
	conn.countBody(n)
	return n, err
}

// evict ends the connection unless all it does is to wait for handlers, and reports
// whether it does. A larger request that is being read is refused as not run; otherwise
// the connection is closed at once, so that its descriptor and its buffers are free.
func (conn *conn) evict(reason string, bytes int64) bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	if conn.evicted || conn.inFlight > 0 && !conn.reading && !conn.writing {
		return false
	}
	conn.evicted = true
	conn.server.count(reason)
	if conn.reading && !conn.writing && bytes > politeBytes {
		_ = conn.raw.SetReadDeadline(time.Now())
	} else {
		conn.closeRaw()
	}
	return true
}

// errEvicted means that the connection is to end to free memory or a descriptor.
var errEvicted = errors.New("the connection made the least progress for its size")

// setReadDeadline sets the deadline of reads of a request, unless the connection was
// evicted, whose deadline has passed.
func (conn *conn) setReadDeadline(deadline time.Time) error {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	if conn.evicted {
		return errEvicted
	}
	return conn.raw.SetReadDeadline(deadline)
}

func (conn *conn) isEvicted() bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	return conn.evicted
}

// idleSince returns when the last request was completed. It returns false if the
// connection is closed already or a request is in progress whose handler may run.
func (conn *conn) idleSince() (time.Time, bool) {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	return conn.lastRequest, !conn.evicted && (conn.inFlight == 0 || conn.reading || conn.writing)
}

// idle reports whether no request is in flight. The last response may still be
// being written.
func (conn *conn) idle() bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	return conn.inFlight == 0
}

func (conn *conn) endWrite() {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	conn.writing = false
}

// endRead marks the request that was being read as complete. It returns false if the
// connection was evicted before.
func (conn *conn) endRead() bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	conn.reading = false
	conn.lastRequest = time.Now()
	return !conn.evicted
}

// beginRequest counts a request that is about to be read. If closing is set, the
// request must not be read: beginRequest does not count it and returns false.
func (conn *conn) beginRequest() bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	if !conn.closing {
		conn.inFlight++
		conn.reading = true
		conn.evicted = conn.evicted || conn.server.stopped.Load() != nil
	}
	return !conn.closing
}

// done counts a request as finished, marks its response as being written until
// endWrite is called, and reports whether its response is the last
// one on the connection. The response is the last one if last is set, or if the
// server is draining and no other request is in flight.
func (conn *conn) done(last bool) (closing bool) {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	conn.inFlight--
	conn.writing = true
	conn.closing = conn.closing || last || conn.inFlight == 0 && conn.server.draining.Load()
	return conn.closing
}

func (conn *conn) setAwaiting(awaiting bool) {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	conn.awaiting = awaiting
}

// isClosing reports whether closing is set.
func (conn *conn) isClosing() bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	return conn.closing
}

// closeRaw closes the network connection, which stops the reading and the writing
// goroutine.
func (conn *conn) closeRaw() { _ = conn.raw.Close() }

// serve reads requests until the connection ends, then waits for the writing
// goroutine and closes the connection.
func (conn *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
	conn.setCancel(cancel)
	written := make(chan struct{})
	go func() {
		defer close(written)
		conn.writeResponses(cancel)
	}()
	disconnected := conn.readRequests(ctx)
	if disconnected {
		cancel(proxy.ErrCallerDisconnected)
	}
	close(conn.pending)
	<-written
	cancel(nil)
	conn.release()
	if !disconnected {
		conn.lingeringClose()
	}
	conn.closeRaw()
}

// release returns the memory of the connection, which only discards data afterwards.
func (conn *conn) release() {
	conn.reader, conn.writer = nil, nil
	conn.base.Release()
	conn.client.Close()
}

// lingeringClose closes the sending side and discards incoming data for up to
// lingerTimeout. Closing a connection with unread data would reset it, and the
// caller might lose the last response.
func (conn *conn) lingeringClose() {
	if tcp, ok := conn.raw.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		return
	}
	if conn.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, conn.raw)
	}
}

// readRequests reads requests and dispatches them until the connection ends, a
// request is invalid or no further request may be read. It reports whether the
// caller has disconnected while a request was in flight.
func (conn *conn) readRequests(ctx context.Context) bool {
	proven := false
	for {
		limits := conn.server.deps.Limits()
		err := conn.awaitRequest(limits)
		if conn.server.draining.Load() && (isTimeout(err) || conn.isRefusing()) && conn.beginRequest() {
			conn.refuseNext()
			return false
		}
		if err != nil {
			// An error while requests are in flight counts as a disconnect, which
			// cancels them. Otherwise there is nothing to cancel.
			return !conn.idle()
		}
		if !conn.beginRequest() {
			return false
		}
		request := &fasthttp.RequestCtx{}
		request.Init2(conn.raw, discardLogger{}, true)
		hold := conn.client.NewHold()
		next := &pending{request: request, done: make(chan struct{}), hold: hold}
		status, err := conn.readRequest(next, &limits)
		if !conn.endRead() && status != 0 {
			status = fasthttp.StatusServiceUnavailable
		}
		if err != nil && status == 0 {
			hold.Release()
			conn.done(false)
			conn.endWrite()
			return true
		}
		if err != nil {
			conn.server.count(refusalReason(status))
		} else if !proven {
			proven = true
			conn.client.Completed()
		}
		if err != nil {
			next.last = true
			hold.Release()
			conn.server.deps.WriteError(request, status)
			close(next.done)
			conn.pending <- next
			return false
		}
		next.last = request.Request.ConnectionClose()
		conn.pending <- next
		conn.dispatch(ctx, next)
		if next.body != nil {
			if err := conn.readDeferredBody(next, limits); err != nil {
				return !errors.Is(err, errEnd) && !conn.idle()
			}
		}
		if next.last {
			return conn.awaitDisconnect()
		}
	}
}

// awaitDisconnect is called after the last request of a connection. It reports
// whether the caller disconnects before the last response is ready. If the caller
// sends further data first, awaitDisconnect returns false, and a later disconnect
// is not detected.
func (conn *conn) awaitDisconnect() bool {
	_ = conn.raw.SetReadDeadline(time.Time{})
	// This check follows SetReadDeadline, which undoes an earlier interruption by
	// writeResponse.
	if conn.isClosing() {
		return false
	}
	_, err := conn.reader.Peek(1)
	return err != nil && !conn.idle()
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// awaitRequest waits for the first byte of the next request. The idle timeout
// applies only if no request is in flight. awaitRequest returns io.EOF if closing
// is set. Otherwise it returns the error of the read, or nil.
func (conn *conn) awaitRequest(limits Limits) error {
	conn.setAwaiting(true)
	defer conn.setAwaiting(false)
	if size := min(firstHeaderBuffer, limits.MaxHeader); conn.reader == nil || conn.readerSize != size && conn.reader.Buffered() == 0 {
		conn.readerSize = size
		conn.reader = bufio.NewReaderSize(conn, size)
	}
	for {
		if err := conn.raw.SetReadDeadline(time.Now().Add(limits.Idle)); err != nil {
			return err
		}
		// The checks follow SetReadDeadline, which undoes an earlier interruption
		// by stopAwaiting or writeResponse.
		if conn.isClosing() {
			return io.EOF
		}
		if conn.server.drained.Load() && conn.idle() {
			conn.stopAwaiting()
		}
		_, err := conn.reader.Peek(1)
		if isTimeout(err) && !conn.idle() {
			continue
		}
		return err
	}
}

// lengthChunked is the length that fasthttp returns for chunked encoding.
const lengthChunked = -1

// errorStatus returns the status of the response to a request that cannot be
// read. It returns zero if err is nil or the connection is lost, in which case no
// response can be sent.
func errorStatus(err error) int {
	if err == nil {
		return 0
	}
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return 0
	case errors.Is(err, bufmem.ErrExhausted), errors.Is(err, errEvicted):
		return fasthttp.StatusServiceUnavailable
	case errors.As(err, &smallBuffer):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &netErr) && netErr.Timeout():
		return fasthttp.StatusRequestTimeout
	case errors.As(err, &netErr):
		return 0
	default:
		return fasthttp.StatusBadRequest
	}
}

// dispatch submits a request to the worker pool. If no worker is free, the
// response has status 503.
func (conn *conn) dispatch(ctx context.Context, next *pending) {
	conn.server.active.Add(1)
	run := func() {
		defer close(next.done)
		defer conn.server.active.Add(-1)
		ctx := bufmem.NewContext(ctx, next.hold)
		if next.body != nil {
			ctx = context.WithValue(ctx, bodyKey{}, next.body)
		}
		conn.server.deps.Handler(ctx, next.request)
		next.settle()
	}
	if conn.server.deps.Pool.Submit(run) != nil {
		conn.server.deps.WriteError(next.request, fasthttp.StatusServiceUnavailable)
		conn.server.active.Add(-1)
		close(next.done)
	}
}
