// Package link carries JSON-RPC between processes over TCP. Each connection has a
// bounded queue of outgoing notifications. If the peer does not read fast enough
// and the queue is full, the connection is closed.
package link

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/sourcegraph/jsonrpc2"

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
}

func (options Options) dial(ctx context.Context, address string) (net.Conn, error) {
	if options.Dial != nil {
		return options.Dial(ctx, address)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// countingConn is a net.Conn that counts bytes and limits the time of each read
// and write.
type countingConn struct {
	net.Conn
	options Options
}

// Read reads with a timeout of Options.Idle.
func (conn countingConn) Read(buffer []byte) (int, error) {
	if conn.options.Idle > 0 {
		if err := conn.SetReadDeadline(time.Now().Add(conn.options.Idle)); err != nil {
			return 0, err
		}
	}
	n, err := conn.Conn.Read(buffer)
	conn.options.Traffic.Received.Add(uint64(n))
	return n, err
}

// Write writes with a timeout of writeTimeout.
func (conn countingConn) Write(buffer []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := conn.Conn.Write(buffer)
	conn.options.Traffic.Sent.Add(uint64(n))
	return n, err
}

// Dial connects to an address. The connection is closed when the context ends.
func Dial(ctx context.Context, address string, handler Handler, options Options) (*Conn, error) {
	raw, err := options.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(ctx, raw, handler, options), nil
}

// Serve accepts connections until the context ends, and then returns nil. If
// Accept fails earlier, Serve returns that error. It calls opened for each
// connection before the first message is handled.
func Serve(ctx context.Context, listener net.Listener, handler Handler, options Options, opened func(*Conn)) error {
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	for {
		raw, err := listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		conn := prepareConn(raw)
		opened(conn)
		conn.start(ctx, raw, handler, options)
	}
}

// prepareConn returns a Conn that has not been started.
func prepareConn(raw net.Conn) *Conn {
	return &Conn{
		remote:  raw.RemoteAddr().String(),
		queue:   make(chan notification, queueLength),
		started: make(chan struct{}),
		ended:   make(chan struct{}),
	}
}

func newConn(ctx context.Context, raw net.Conn, handler Handler, options Options) *Conn {
	conn := prepareConn(raw)
	conn.start(ctx, raw, handler, options)
	return conn
}

func (conn *Conn) start(ctx context.Context, raw net.Conn, handler Handler, options Options) {
	// If the option cannot be set, a lost connection is still detected by the idle
	// timeout.
	_ = proxy.SetUserTimeout(raw, userTimeout)
	stream := jsonrpc2.NewBufferedStream(countingConn{Conn: raw, options: options}, jsonrpc2.VarintObjectCodec{})
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
