// Package front serves HTTP/1.1 connections. It continues to read a connection
// while requests run, so that pipelined requests run concurrently and a
// disconnect of the caller is detected while its requests run. Responses are
// sent in the order of the requests.
package front

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/bufmem"
)

// Limits are the limits on the requests of a connection. The server reads them
// again before each request, so that a change also applies to open connections.
type Limits struct {
	// MaxHeader is the maximum size of a request's header in bytes, and MaxBody
	// that of its body.
	MaxHeader int
	MaxBody   int
	// HeaderTimeout (setting headerTimeout) limits the time to read a whole
	// request, from the first byte of the header to the last byte of the body.
	HeaderTimeout time.Duration
	// Idle is how long a connection without requests in progress may wait for the
	// next request before it is closed.
	Idle time.Duration
}

// DefaultLimits returns the limits that apply if the configuration sets none.
func DefaultLimits() Limits {
	return Limits{MaxHeader: 16 << 10, MaxBody: 64 << 20, HeaderTimeout: 10 * time.Second, Idle: time.Minute}
}

// Handler responds to one request. The context is canceled with the cause
// proxy.ErrCallerDisconnected when the caller disconnects, and with that of CutOff. It carries the
// bufmem.Hold of the request, which is released when the response is written. The
// handler must not retain either argument after it returns.
type Handler func(ctx context.Context, request *fasthttp.RequestCtx)

// Deps holds the dependencies of a server.
type Deps struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// Pool runs the handlers. If no worker is free, the server responds with
	// status 503.
	Pool *ants.Pool
	// WriteError fills in the response to a request that is rejected with the
	// given status without calling the handler.
	WriteError func(request *fasthttp.RequestCtx, status int)
	// Memory is the budget for connections, requests and responses.
	Memory *bufmem.Budget
	// MaxConns is the maximum number of connections; zero means no limit. If it is
	// reached, the connection that has been idle the longest without a complete
	// request is closed.
	MaxConns int
	// MaxBody returns the maximum size of the body of a request with this header, if
	// it is less than Limits.MaxBody. It may be nil.
	MaxBody func(header *fasthttp.RequestHeader) int
	// DeferBody lets handlers run before the body of a request that waits for 100
	// Continue is read. They must call ReceiveBody before they use the body. The peers
	// must not send the body after any other response than 100 Continue.
	DeferBody bool
	// IdleStatus is the status with which the next request of an idle connection is refused
	// during a shutdown. If it is zero, that is 408, which clients of idle connections expect.
	IdleStatus int
	// Count counts a connection that was closed or a request that was refused, by the
	// reason. It may be nil.
	Count func(reason string)
}

// Reasons that are passed to Deps.Count.
const (
	// ReasonMemory means that the memory budget was exhausted.
	ReasonMemory = "memory"
	// ReasonConns means that a connection was closed in favor of a newer one.
	ReasonConns = "connections"
	// ReasonSize means that a header section or a body exceeded its limit.
	ReasonSize = "size"
	// ReasonTime means that a request was not complete in time.
	ReasonTime = "time"
	// ReasonMalformed means that a request could not be parsed.
	ReasonMalformed = "malformed"
)

// refusalReason returns the reason of a refusal with a status of errorStatus.
func refusalReason(status int) string {
	switch status {
	case fasthttp.StatusServiceUnavailable:
		return ReasonMemory
	case fasthttp.StatusRequestEntityTooLarge, fasthttp.StatusRequestHeaderFieldsTooLarge:
		return ReasonSize
	case fasthttp.StatusRequestTimeout:
		return ReasonTime
	default:
		return ReasonMalformed
	}
}

func (server *Server) count(reason string) {
	if server.deps.Count != nil {
		server.deps.Count(reason)
	}
}

// Server serves the connections of one listener. The lock guards conns.
type Server struct {
	deps     Deps
	draining atomic.Bool
	// drained is true once Drain was called.
	drained atomic.Bool
	// stopped is the cause given to CutOff, or nil.
	stopped atomic.Pointer[error]
	active  atomic.Int64

	lock  sync.Mutex
	conns map[*conn]bool
	// ended is signaled when a connection has been removed from conns.
	ended *sync.Cond
	// connGroup counts the connections that are being served.
	connGroup sync.WaitGroup
}

// New returns a server. Call Serve to run it.
func New(deps Deps) *Server {
	server := &Server{deps: deps, conns: map[*conn]bool{}}
	server.ended = sync.NewCond(&server.lock)
	return server
}

// acceptRetryDelay is the pause after a failed accept, for instance when the
// process has run out of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// Serve accepts connections until the listener is closed, and then returns nil.
// The end of the context does not interrupt a blocked Accept: Serve returns when
// that Accept does, and does not serve the connection it may have accepted.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		raw, err := listener.Accept()
		if err == nil && ctx.Err() != nil {
			return raw.Close()
		}
		if errors.Is(err, net.ErrClosed) || ctx.Err() != nil {
			return nil
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		server.serveConn(ctx, raw)
	}
}

func (server *Server) serveConn(ctx context.Context, raw net.Conn) {
	if !server.awaitRoom() {
		server.count(ReasonConns)
		_ = raw.Close()
		return
	}
	conn := newConn(server, raw)
	if conn.base.Grow(connBytes) != nil {
		server.count(ReasonMemory)
		conn.client.Close()
		_ = raw.Close()
		return
	}
	server.lock.Lock()
	server.conns[conn] = true
	server.lock.Unlock()
	server.connGroup.Go(func() {
		conn.serve(ctx)
		server.lock.Lock()
		defer server.lock.Unlock()
		delete(server.conns, conn)
		server.ended.Signal()
	})
}

// awaitRoom waits until there are fewer than MaxConns connections. It evicts the
// connection that has been idle the longest without a complete request. It returns
// false if all connections have requests in progress.
func (server *Server) awaitRoom() bool {
	server.lock.Lock()
	defer server.lock.Unlock()
	for server.deps.MaxConns > 0 && len(server.conns) >= server.deps.MaxConns {
		var longest *conn
		var since time.Time
		evicted := 0
		for conn := range server.conns {
			idleSince, idle := conn.idleSince()
			if idle && (longest == nil || idleSince.Before(since)) {
				longest, since = conn, idleSince
			}
			if conn.isEvicted() {
				evicted++
			}
		}
		if evicted == 0 {
			if longest == nil || !longest.evict(ReasonConns, 0) {
				return false
			}
		}
		// The goroutine of an evicted connection ends it and signals.
		server.ended.Wait()
	}
	return true
}

// Active returns the number of requests whose handler is queued or running.
func (server *Server) Active() int { return int(server.active.Load()) }

// CloseAfterResponses makes the server close connections after their next response, so
// that few of them are idle when Drain closes the idle ones: a request that is sent at that
// moment gets no response.
func (server *Server) CloseAfterResponses() { server.draining.Store(true) }

// Drain starts a graceful shutdown. A connection with requests in progress is closed after
// a response that no further request has followed so far; it is for the handler to refuse
// those that are not to run. On a connection that waits for a request, the next one is
// refused at once. Drain does not wait, and it may miss connections that are accepted later
// or are just about to wait for a request.
func (server *Server) Drain() {
	server.draining.Store(true)
	server.drained.Store(true)
	server.forEach(func(conn *conn) { conn.stopAwaiting() })
}

func (server *Server) forEach(act func(conn *conn)) {
	server.lock.Lock()
	defer server.lock.Unlock()
	for conn := range server.conns {
		act(conn)
	}
}

// Shutdown drains the server, including the connections that Drain has missed, and waits
// for their ends. When the context ends, it closes the remaining connections, and returns
// the cause if a response was cut off.
func (server *Server) Shutdown(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		server.connGroup.Wait()
		close(ended)
	}()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		server.Drain()
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
			cut := false
			server.forEach(func(conn *conn) {
				cut = cut || conn.isBusy()
				conn.closeRaw()
			})
			if !cut {
				return nil
			}
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

// CutOff cancels the requests in progress with the given cause and refuses those that are
// still being read. It returns at once; the responses are written as usual.
func (server *Server) CutOff(cause error) {
	server.draining.Store(true)
	server.stopped.Store(&cause)
	server.forEach(func(conn *conn) { conn.cutOff(cause) })
}

// shutdownPollInterval is how often Shutdown looks for idle connections.
const shutdownPollInterval = 20 * time.Millisecond
