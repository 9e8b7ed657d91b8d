// Package front serves HTTP/1.1 connections. It reads ahead, so that requests
// sent behind each other run side by side and a caller's leaving is noticed
// while its requests run; answers go out in the order of the requests.
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
)

// Limits bound what the other end of a connection may send. They are asked for
// at each request, so that a change holds for open connections too.
type Limits struct {
	// MaxHeader and MaxBody are in bytes.
	MaxHeader int
	MaxBody   int
	// HeaderTimeout bounds the time from a request's first byte to its end.
	HeaderTimeout time.Duration
	// Idle is how long a connection may lie unused.
	Idle time.Duration
}

// DefaultLimits hold where no configuration states others.
func DefaultLimits() Limits {
	return Limits{MaxHeader: 16 << 10, MaxBody: 64 << 20, HeaderTimeout: 10 * time.Second, Idle: time.Minute}
}

// Handler answers one request. The context ends when the caller leaves, with
// the cause proxy.ErrCallerLeft. Neither argument may be kept.
type Handler func(ctx context.Context, request *fasthttp.RequestCtx)

// Deps are what a server depends on.
type Deps struct {
	Handler Handler
	Limits  func() Limits
	// Pool runs the handlers; a request that finds no worker is answered with
	// status 503.
	Pool *ants.Pool
	// Refused answers what is not a valid request.
	WriteError func(response *fasthttp.Response, status int)
}

// Server serves the connections of one listener. Its lock guards conns.
type Server struct {
	deps     Deps
	draining atomic.Bool
	active   atomic.Int64

	lock      sync.Mutex
	conns     map[*conn]bool
	connGroup sync.WaitGroup
}

// New returns a server that is not running yet.
func New(deps Deps) *Server {
	return &Server{deps: deps, conns: map[*conn]bool{}}
}

// acceptPause follows a failed accept, for instance for want of descriptors.
const acceptRetryDelay = 5 * time.Millisecond

// Serve accepts connections until the listener is closed.
func (server *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		raw, err := listener.Accept()
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
	conn := newConn(server, raw)
	server.lock.Lock()
	server.conns[conn] = true
	server.lock.Unlock()
	server.connGroup.Go(func() {
		conn.serve(ctx)
		server.lock.Lock()
		defer server.lock.Unlock()
		delete(server.conns, conn)
	})
}

// Active returns the number of requests in progress.
func (server *Server) Active() int { return int(server.active.Load()) }

// Drain marks every further answer as the last of its connection. Behind a
// request in progress nothing more is read.
func (server *Server) Drain() {
	server.draining.Store(true)
	server.lock.Lock()
	defer server.lock.Unlock()
	for conn := range server.conns {
		conn.stopAwaiting()
	}
}

// Shutdown closes the connections without requests in progress and waits for
// the others; those that still run at the context's end are closed.
func (server *Server) Shutdown(ctx context.Context) error {
	server.Drain()
	ended := make(chan struct{})
	go func() {
		server.connGroup.Wait()
		close(ended)
	}()
	ticker := time.NewTicker(shutdownPollInterval)
	defer ticker.Stop()
	for {
		server.closeConns(false)
		select {
		case <-ended:
			return nil
		case <-ctx.Done():
			server.closeConns(true)
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

// shutdownLook is the pause between two looks for idle connections.
const shutdownPollInterval = 20 * time.Millisecond

func (server *Server) closeConns(all bool) {
	server.lock.Lock()
	defer server.lock.Unlock()
	for conn := range server.conns {
		if all || conn.idle() {
			conn.closeRaw()
		}
	}
}
