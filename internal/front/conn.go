package front

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

const (
	// maxPipeline bounds the requests of one connection that run side by side;
	// reading stops beyond it.
	maxPipeline = 32
	// linger is how long a closed connection is still read, so that unread
	// bytes do not reset it before the last answer has arrived.
	linger = 500 * time.Millisecond
	// writeTimeout bounds the time in which a caller must take an answer.
	writeTimeout = 10 * time.Second
)

// conn is one connection. One goroutine reads, one writes.
type conn struct {
	server *Server
	raw    net.Conn
	reader *bufio.Reader
	size   int
	writer *bufio.Writer
	// pending holds the requests in progress in the order of their arrival.
	pending chan *pending
	// open counts the requests that are read and not answered, and one that is
	// being read.
	open atomic.Int64
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
		pending: make(chan *pending, maxPipeline),
	}
}

func (conn *conn) idle() bool { return conn.open.Load() == 0 }

// end makes reader and writer stop.
func (conn *conn) end() { _ = conn.raw.Close() }

// serve reads until the connection ends, then waits for the writer.
func (conn *conn) serve(ctx context.Context) {
	ctx, left := context.WithCancelCause(ctx)
	written := make(chan struct{})
	go func() {
		defer close(written)
		conn.write(left)
	}()
	if conn.read(ctx) {
		left(proxy.ErrCallerLeft)
	}
	close(conn.pending)
	<-written
	left(nil)
	conn.end()
}

// read takes requests until the connection ends or breaks the protocol. It
// reports whether the caller is gone.
func (conn *conn) read(ctx context.Context) bool {
	for {
		limits := conn.server.deps.Limits()
		if err := conn.await(limits); err != nil {
			// An idle connection that timed out has no request to cancel, one
			// with requests in progress does not time out.
			return true
		}
		conn.open.Add(1)
		request := &fasthttp.RequestCtx{}
		request.Init2(conn.raw, silent{}, true)
		status, err := conn.readRequest(request, limits)
		if err != nil && status == 0 {
			conn.open.Add(-1)
			return true
		}
		next := &pending{request: request, done: make(chan struct{}), last: err != nil}
		if err != nil {
			conn.server.deps.Refused(&request.Response, status)
			close(next.done)
			conn.pending <- next
			return false
		}
		next.last = request.Request.ConnectionClose()
		conn.pending <- next
		conn.start(ctx, next)
		if next.last {
			// Nothing may follow, but the caller may still leave.
			_ = conn.raw.SetReadDeadline(time.Time{})
			_, err := conn.reader.Peek(1)
			return err != nil
		}
	}
}

// await waits for the first byte of the next request. While requests run the
// caller may stay silent.
func (conn *conn) await(limits Limits) error {
	if conn.reader == nil || conn.size != limits.MaxHeader && conn.reader.Buffered() == 0 {
		// A head must fit into the buffer whole.
		conn.size = limits.MaxHeader
		conn.reader = bufio.NewReaderSize(conn.raw, conn.size)
	}
	for {
		if err := conn.raw.SetReadDeadline(time.Now().Add(limits.Idle)); err != nil {
			return err
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
		return statusOf(err), err
	}
	if request.Request.MayContinue() {
		if _, err := io.WriteString(conn.raw, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return 0, err
		}
	}
	err := request.Request.ContinueReadBody(conn.reader, limits.MaxBody, false)
	return statusOf(err), err
}

// statusOf tells how to answer a request that cannot be read; zero means not
// at all, since the connection is gone.
func statusOf(err error) int {
	var small *fasthttp.ErrSmallBuffer
	var timeout net.Error
	switch {
	case err == nil, errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, net.ErrClosed):
		return 0
	case errors.As(err, &small):
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

func (conn *conn) start(ctx context.Context, next *pending) {
	conn.server.active.Add(1)
	run := func() {
		defer close(next.done)
		defer conn.server.active.Add(-1)
		conn.server.deps.Handler(ctx, next.request)
	}
	if conn.server.deps.Pool.Submit(run) != nil {
		conn.server.deps.Refused(&next.request.Response, fasthttp.StatusServiceUnavailable)
		conn.server.active.Add(-1)
		close(next.done)
	}
}

// write sends the answers in the order of their requests. After a failed write
// it only waits for the handlers.
func (conn *conn) write(left context.CancelCauseFunc) {
	broken := false
	for next := range conn.pending {
		<-next.done
		conn.open.Add(-1)
		if broken {
			continue
		}
		if err := conn.writeOne(next); err != nil {
			broken = true
			left(proxy.ErrCallerLeft)
			conn.end()
		}
	}
}

func (conn *conn) writeOne(next *pending) error {
	response := &next.request.Response
	response.SkipBody = response.SkipBody || next.request.IsHead()
	closing := next.last || conn.server.draining.Load() && conn.idle()
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
	conn.lingerClosed()
	return nil
}

// lingerClosed ends the sending side; the reader goes on for a short while.
func (conn *conn) lingerClosed() {
	if tcp, ok := conn.raw.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
	time.AfterFunc(linger, conn.end)
}

type silent struct{}

// Printf drops the library's own lines.
func (silent) Printf(string, ...any) {}
