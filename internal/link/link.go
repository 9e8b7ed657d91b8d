// Package link carries JSON-RPC between processes over TCP. Each connection has a
// bounded queue of outgoing notifications. If the peer does not read fast enough
// and the queue is full, the connection is closed.
package link

import (
	"context"
	"encoding/json"
	"maps"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/vanillapulley/vanillapulley/internal/bufmem"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// Limits of one connection.
const (
	// queueLength is the maximum number of queued outgoing notifications.
	queueLength  = 1024
	writeTimeout = 5 * time.Second
	// dialTimeout is many times the round-trip time between regions, but shorter
	// than the second after which the system retransmits an unanswered SYN. A dial
	// to a VM that was still starting thus fails early and can be repeated.
	dialTimeout = 300 * time.Millisecond
	// userTimeout is the time after which a connection with unacknowledged bytes
	// is considered lost. It is shorter than the idle timeout (Options.Idle) of
	// connections between nodes.
	userTimeout = time.Second
)

// Handler handles the incoming messages and the end of connections.
type Handler interface {
	// Notify handles a notification. Notifications are delivered in the order of
	// arrival, and Notify must not block for long.
	Notify(conn *Conn, method string, params json.RawMessage)
	// Call handles a request and returns the result. It runs on a worker of the
	// pool.
	Call(ctx context.Context, conn *Conn, method string, params json.RawMessage) (any, error)
	// Closed is called once, when the connection has ended. If the peer ended it,
	// all notifications have been handled. A Call may still be running, and so may
	// a Notify if the connection was closed by this process.
	Closed(conn *Conn)
}

// Traffic counts the bytes sent and received on connections.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// Conn is one connection, either dialed or accepted.
type Conn struct {
	rpc    *jsonrpc2.Conn
	stream *stream
	remote string
	// queue holds the outgoing notifications. An entry with an empty method makes
	// writeLoop close the connection.
	queue chan notification
	// The channel started is closed when rpc is set, and the channel ended is
	// closed when the connection is closed.
	started chan struct{}
	ended   chan struct{}
	close   sync.Once
}

type notification struct {
	method string
	params any
}

// Options are the options shared by the connections of a process.
type Options struct {
	Traffic *Traffic
	// Pool runs Handler.Call and the dials of Client.Post.
	Pool *ants.Pool
	// Idle is how long a connection may receive nothing before it is considered
	// lost. Zero means no limit.
	Idle time.Duration
	// Dial connects to an address. If it is nil, TCP is used.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Memory is the budget for connections and incoming messages. If it is nil, they are
	// not charged.
	Memory *bufmem.Budget
	// MaxConns is the maximum number of connections that Serve accepts; zero means no
	// limit. If it is reached, the connection that has been idle the longest without
	// a complete message is closed.
	MaxConns int
	// Count counts a connection that was closed, by the reason. It may be nil.
	Count func(reason string)
}

// Reasons that are passed to Options.Count.
const (
	// ReasonMemory means that the memory budget was exhausted.
	ReasonMemory = "memory"
	// ReasonConns means that a connection was closed in favor of a newer one.
	ReasonConns = "connections"
	// ReasonSize means that a message exceeded its limit.
	ReasonSize = "size"
)

func (options Options) count(reason string) {
	if options.Count != nil {
		options.Count(reason)
	}
}

func (options Options) dial(ctx context.Context, address string) (net.Conn, error) {
	if options.Dial != nil {
		return options.Dial(ctx, address)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Dial connects to an address. The connection is closed when the context ends.
func Dial(ctx context.Context, address string, handler Handler, options Options) (*Conn, error) {
	raw, err := options.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(ctx, raw, handler, options)
}

// Serve accepts connections until the context ends, and then returns nil. If
// Accept fails earlier, Serve returns that error. It calls opened for each
// connection before the first message is handled.
func Serve(ctx context.Context, listener net.Listener, handler Handler, options Options, opened func(*Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	accepted := acceptedConns{limit: options.MaxConns, options: options, conns: map[*Conn]bool{}}
	for {
		raw, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		stream, err := newStream(raw, options, true)
		if err != nil {
			options.count(ReasonMemory)
			continue
		}
		conn := prepareConn(stream)
		accepted.add(conn)
		opened(conn)
		conn.start(ctx, handler, options)
	}
}

// acceptedConns limits the number of connections that a listener accepts. Only the
// goroutine of Serve uses it.
type acceptedConns struct {
	limit   int
	options Options
	conns   map[*Conn]bool
}

// add adds a connection and removes those that are closed. At the limit it closes the
// one that has been idle the longest without a complete message.
func (accepted *acceptedConns) add(conn *Conn) {
	if accepted.limit == 0 {
		return
	}
	maps.DeleteFunc(accepted.conns, func(conn *Conn, _ bool) bool { return conn.IsClosed() })
	for len(accepted.conns) >= accepted.limit {
		var longest *Conn
		for candidate := range accepted.conns {
			if longest == nil || candidate.stream.lastMessage.Load() < longest.stream.lastMessage.Load() {
				longest = candidate
			}
		}
		accepted.options.count(ReasonConns)
		longest.Close()
		delete(accepted.conns, longest)
	}
	accepted.conns[conn] = true
}

// prepareConn returns a Conn that has not been started.
func prepareConn(stream *stream) *Conn {
	return &Conn{
		stream:  stream,
		remote:  stream.RemoteAddr().String(),
		queue:   make(chan notification, queueLength),
		started: make(chan struct{}),
		ended:   make(chan struct{}),
	}
}

func newConn(ctx context.Context, raw net.Conn, handler Handler, options Options) (*Conn, error) {
	stream, err := newStream(raw, options, false)
	if err != nil {
		return nil, err
	}
	conn := prepareConn(stream)
	conn.start(ctx, handler, options)
	return conn, nil
}

func (conn *Conn) start(ctx context.Context, handler Handler, options Options) {
	// If the option cannot be set, a lost connection is still detected by the idle
	// timeout.
	_ = proxy.SetUserTimeout(conn.stream.Conn, userTimeout)
	stream := jsonrpc2.NewBufferedStream(conn.stream, codec{stream: conn.stream})
	dispatch := dispatcher{conn: conn, handler: handler, pool: options.Pool}
	conn.rpc = jsonrpc2.NewConn(ctx, stream, dispatch, jsonrpc2.SetLogger(discardLogger{}))
	close(conn.started)
	go conn.writeLoop(ctx)
	go conn.awaitClose(ctx, handler)
}

// awaitClose waits until the connection is lost or the context ends. It then
// closes the connection and calls handler.Closed once.
func (conn *Conn) awaitClose(ctx context.Context, handler Handler) {
	select {
	case <-conn.rpc.DisconnectNotify():
	case <-ctx.Done():
	}
	conn.Close()
	conn.stream.release()
	handler.Closed(conn)
}

func (conn *Conn) writeLoop(ctx context.Context) {
	for {
		select {
		case <-conn.ended:
			return
		case next := <-conn.queue:
			if next.method == "" || conn.rpc.Notify(ctx, next.method, next.params) != nil {
				conn.Close()
				return
			}
		}
	}
}

// Remote returns the address of the peer.
func (conn *Conn) Remote() string { return conn.remote }

// Notify queues a notification and reports whether it was queued. A queued
// notification may never be sent: Notify may also return true on a connection
// that is already closed. If the queue is full, it closes the connection and
// returns false.
func (conn *Conn) Notify(method string, params any) bool {
	select {
	case conn.queue <- notification{method: method, params: params}:
		return true
	case <-conn.ended:
		return false
	default:
		conn.Close()
		return false
	}
}

// FlushAndClose closes the connection after the queued notifications are sent, or
// at once if the queue is full. It does not wait.
func (conn *Conn) FlushAndClose() { conn.Notify("", nil) }

// Call sends a request and waits for the response.
func (conn *Conn) Call(ctx context.Context, method string, params, result any) error {
	return conn.rpc.Call(ctx, method, params, result)
}

// IsClosed reports whether the connection was closed or lost.
func (conn *Conn) IsClosed() bool {
	select {
	case <-conn.ended:
		return true
	default:
		return false
	}
}

// Close closes the connection. Further calls do nothing.
func (conn *Conn) Close() {
	conn.close.Do(func() {
		close(conn.ended)
		<-conn.started
		_ = conn.rpc.Close()
	})
}

// dispatcher is the jsonrpc2.Handler of a connection. It passes notifications and
// requests to a Handler.
type dispatcher struct {
	conn    *Conn
	handler Handler
	pool    *ants.Pool
}

// Handle implements jsonrpc2.Handler.
func (dispatcher dispatcher) Handle(ctx context.Context, rpc *jsonrpc2.Conn, request *jsonrpc2.Request) {
	<-dispatcher.conn.started
	var params json.RawMessage
	if request.Params != nil {
		params = *request.Params
	}
	if request.Notif {
		dispatcher.handler.Notify(dispatcher.conn, request.Method, params)
		return
	}
	err := dispatcher.pool.Submit(func() {
		result, err := dispatcher.handler.Call(ctx, dispatcher.conn, request.Method, params)
		if err != nil {
			_ = rpc.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
			return
		}
		_ = rpc.Reply(ctx, request.ID, result)
	})
	if err != nil {
		_ = rpc.ReplyWithError(ctx, request.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: err.Error()})
	}
}

// discardLogger is a logger that discards everything.
type discardLogger struct{}

// Printf discards the log lines of jsonrpc2. The end of a connection is reported
// through Handler.Closed.
func (discardLogger) Printf(string, ...any) {}
