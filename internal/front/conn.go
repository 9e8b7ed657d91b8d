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

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

const (
	// maxPipeline bounds the requests of one connection that run side by side;
	// reading stops beyond it.
	maxPipelined = 32
	// linger is how long a closed connection is still read, so that unread
	// bytes do not reset it before the last answer has arrived.
	lingerTimeout = 500 * time.Millisecond
	// writeTimeout bounds the time in which a caller must take an answer.
	writeTimeout = 10 * time.Second
)

// conn is one connection. One goroutine reads, one writes.
type conn struct {
	server     *Server
	raw        net.Conn
	reader     *bufio.Reader
	readerSize int
	writer     *bufio.Writer
	// pending holds the requests in progress in the order of their arrival.
	pending chan *pending

	// lock guards the fields below.
	lock sync.Mutex
	// open counts the requests that are read and not answered, and one that is
	// being read.
	inFlight int
	// closing is set with the last answer; nothing is read as a request after.
	closing bool
	// awaiting is true while the reader waits for the first byte of a request.
	awaiting bool
}

// pending is a request in progress; done is closed when its answer is ready.
type pending struct {
	request *fasthttp.RequestCtx
	done    chan struct{}
	// last is set when the connection ends after this answer.
	last bool
}

func newConn(server *Server, raw net.Conn) *conn {
	return &conn{
		server:  server,
		raw:     raw,
		writer:  bufio.NewWriter(raw),
		pending: make(chan *pending, maxPipelined),
	}
}

func (conn *conn) idle() bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	return conn.inFlight == 0
}

// begin counts a request that is about to be read. It returns false once the
// last answer was chosen: what comes after counts as not read.
func (conn *conn) beginRequest() bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	if !conn.closing {
		conn.inFlight++
	}
	return !conn.closing
}

// done counts a request out and decides whether its answer is the last one.
func (conn *conn) done(last bool) (closing bool) {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	conn.inFlight--
	conn.closing = conn.closing || last || conn.inFlight == 0 && conn.server.draining.Load()
	return conn.closing
}

// stopAwaiting wakes a reader that waits for the next request, so that it sees
// that none is to be taken. One that is in the midst of a request goes on.
func (conn *conn) stopAwaiting() {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	if conn.awaiting {
		_ = conn.raw.SetReadDeadline(time.Now())
	}
}

func (conn *conn) setAwaiting(awaiting bool) {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	conn.awaiting = awaiting
}

func (conn *conn) isClosing() bool {
	conn.lock.Lock()
	defer conn.lock.Unlock()
	return conn.closing
}

// end makes reader and writer stop.
func (conn *conn) closeRaw() { _ = conn.raw.Close() }

// serve reads until the connection ends, then waits for the writer.
func (conn *conn) serve(ctx context.Context) {
	ctx, cancel := context.WithCancelCause(ctx)
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
	if !disconnected {
		conn.lingeringClose()
	}
	conn.closeRaw()
}

// finish ends the sending side and takes what still arrives for a short while:
// closing a connection with unread bytes would reset it, and with it the last
// answer on its way.
func (conn *conn) lingeringClose() {
	if tcp, ok := conn.raw.(*net.TCPConn); !ok || tcp.CloseWrite() != nil {
		return
	}
	if conn.raw.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
		_, _ = io.Copy(io.Discard, conn.raw)
	}
}

// read takes requests until the connection ends or breaks the protocol. It
// reports whether the caller is gone.
func (conn *conn) readRequests(ctx context.Context) bool {
	for {
		if conn.server.draining.Load() && !conn.idle() {
			// What is not read yet was not taken; the caller sends it again.
			return false
		}
		limits := conn.server.deps.Limits()
		err := conn.awaitRequest(limits)
		if errors.Is(err, errDraining) {
			return false
		}
		if err != nil {
			// Without requests in progress there is nothing to cancel.
			return !conn.idle()
		}
		if !conn.beginRequest() {
			return false
		}
		request := &fasthttp.RequestCtx{}
		request.Init2(conn.raw, discardLogger{}, true)
		status, err := conn.readRequest(request, limits)
		if err != nil && status == 0 {
			conn.done(false)
			return true
		}
		next := &pending{request: request, done: make(chan struct{}), last: err != nil}
		if err != nil {
			conn.server.deps.WriteError(&request.Response, status)
			close(next.done)
			conn.pending <- next
			return false
		}
		next.last = request.Request.ConnectionClose()
		conn.pending <- next
		conn.dispatch(ctx, next)
		if next.last {
			return conn.awaitDisconnect()
		}
	}
}

// awaitEnd follows a request after which nothing may come; the caller may
// still leave. It reports whether that happened before the last answer.
func (conn *conn) awaitDisconnect() bool {
	_ = conn.raw.SetReadDeadline(time.Time{})
	if conn.isClosing() {
		return false
	}
	_, err := conn.reader.Peek(1)
	return err != nil && !conn.idle()
}

// errDraining ends a reader during a planned stop: what comes is not read.
var errDraining = errors.New("no further request is taken")

// await waits for the first byte of the next request. While requests run the
// caller may stay silent.
func (conn *conn) awaitRequest(limits Limits) error {
	conn.setAwaiting(true)
	defer conn.setAwaiting(false)
	if conn.reader == nil || conn.readerSize != limits.MaxHeader && conn.reader.Buffered() == 0 {
		// A head must fit into the buffer whole.
		conn.readerSize = limits.MaxHeader
		conn.reader = bufio.NewReaderSize(conn.raw, conn.readerSize)
	}
	for {
		if err := conn.raw.SetReadDeadline(time.Now().Add(limits.Idle)); err != nil {
			return err
		}
		if conn.isClosing() {
			return io.EOF
		}
		if conn.server.draining.Load() && !conn.idle() && conn.reader.Buffered() == 0 {
			return errDraining
		}
		_, err := conn.reader.Peek(1)
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() && !conn.idle() {
			continue
		}
		return err
	}
}

// readRequest reads one request. A status other than zero is to be answered.
func (conn *conn) readRequest(request *fasthttp.RequestCtx, limits Limits) (int, error) {
	if err := conn.raw.SetReadDeadline(time.Now().Add(limits.HeaderTimeout)); err != nil {
		return 0, err
	}
	if err := request.Request.Header.Read(conn.reader); err != nil {
		return errorStatus(err), err
	}
	if request.Request.MayContinue() {
		if _, err := io.WriteString(conn.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	err := request.Request.ContinueReadBody(conn.reader, limits.MaxBody, false)
	return errorStatus(err), err
}

// statusOf tells how to answer a request that cannot be read; zero means not
// at all, since the connection is gone.
func errorStatus(err error) int {
	var smallBuffer *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return 0
	case errors.As(err, &smallBuffer):
		return fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		return fasthttp.StatusRequestEntityTooLarge
	case errors.As(err, &timeout) && timeout.Timeout():
		return fasthttp.StatusRequestTimeout
	case errors.As(err, &timeout):
		return 0
	default:
		return fasthttp.StatusBadRequest
	}
}

func (conn *conn) dispatch(ctx context.Context, next *pending) {
	conn.server.active.Add(1)
	run := func() {
		defer close(next.done)
		defer conn.server.active.Add(-1)
		conn.server.deps.Handler(ctx, next.request)
	}
	if conn.server.deps.Pool.Submit(run) != nil {
		conn.server.deps.WriteError(&next.request.Response, fasthttp.StatusServiceUnavailable)
		conn.server.active.Add(-1)
		close(next.done)
	}
}

// write sends the answers in the order of their requests. After a failed write
// it only waits for the handlers.
func (conn *conn) writeResponses(cancel context.CancelCauseFunc) {
	failed := false
	for next := range conn.pending {
		<-next.done
		closing := conn.done(next.last)
		if failed {
			continue
		}
		if err := conn.writeResponse(next, closing); err != nil {
			failed = true
			cancel(proxy.ErrCallerDisconnected)
			conn.closeRaw()
		}
	}
}

func (conn *conn) writeResponse(next *pending, closing bool) error {
	response := &next.request.Response
	response.SkipBody = response.SkipBody || next.request.IsHead()
	response.Header.ResetConnectionClose()
	if closing {
		response.SetConnectionClose()
	}
	if err := conn.raw.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := response.Write(conn.writer); err != nil {
		return err
	}
	if err := conn.writer.Flush(); err != nil || !closing {
		return err
	}
	// The reader may be waiting for more; it ends now.
	return conn.raw.SetReadDeadline(time.Now())
}

type discardLogger struct{}

// Printf drops the library's own lines.
func (discardLogger) Printf(string, ...any) {}
