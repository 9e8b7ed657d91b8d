// Package link carries JSON-RPC between processes over TCP. Each connection
// has a bounded queue of outgoing notifications; one whose other end does not
// keep up is closed rather than buffered without bound.
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

// Bounds on one connection.
const (
	queueLength  = 1024
	writeTimeout = 5 * time.Second
	// dialTimeout is many round trips between regions. A longer one would wait
	// for the system's second try, a second later, when the first packet went
	// to a VM that was still starting.
	dialTimeout = 300 * time.Millisecond
	// silence ends a connection whose sent bytes are not acknowledged; it is
	// below the longest silence between nodes.
	userTimeout = time.Second
)

// Handler takes what comes in.
type Handler interface {
	// Notify takes a notification, in the order of arrival; it must not block
	// for long.
	Notify(conn *Conn, method string, params json.RawMessage)
	// Call answers a request on a worker of the pool.
	Call(ctx context.Context, conn *Conn, method string, params json.RawMessage) (any, error)
	// Closed tells that the connection has ended, after its last message.
	Closed(conn *Conn)
}

// Traffic counts bytes on connections.
type Traffic struct {
	Sent     atomic.Uint64
	Received atomic.Uint64
}

// Conn is one connection, from either side.
type Conn struct {
	rpc    *jsonrpc2.Conn
	remote string
	queue  chan notification
	// started is closed once rpc is set, ended once the connection is closed.
	started chan struct{}
	closed  chan struct{}
	close   sync.Once
}

type notification struct {
	method string
	params any
}

// Options are shared by the connections of a process.
type Options struct {
	Traffic *Traffic
	Pool    *ants.Pool
	// Idle is the longest silence before a connection counts as lost; zero
	// for no limit.
	Idle time.Duration
	// Dial connects to an address; nil means over TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

func (options Options) dial(ctx context.Context, address string) (net.Conn, error) {
	if options.Dial != nil {
		return options.Dial(ctx, address)
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// countingConn counts bytes and bounds the time of each read and write.
type countingConn struct {
	net.Conn
	options Options
}

// Read waits for at most the idle time.
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

// Write waits for at most the write timeout.
func (conn countingConn) Write(buffer []byte) (int, error) {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return 0, err
	}
	n, err := conn.Conn.Write(buffer)
	conn.options.Traffic.Sent.Add(uint64(n))
	return n, err
}

// Dial connects to an address. The connection ends with the context.
func Dial(ctx context.Context, address string, handler Handler, options Options) (*Conn, error) {
	raw, err := options.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	return newConn(ctx, raw, handler, options), nil
}

// Serve accepts connections until the context ends. It calls opened before
// the first message of each.
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

func prepareConn(raw net.Conn) *Conn {
	return &Conn{
		remote:  raw.RemoteAddr().String(),
		queue:   make(chan notification, queueLength),
		started: make(chan struct{}),
		closed:  make(chan struct{}),
	}
}

func newConn(ctx context.Context, raw net.Conn, handler Handler, options Options) *Conn {
	conn := prepareConn(raw)
	conn.start(ctx, raw, handler, options)
	return conn
}

func (conn *Conn) start(ctx context.Context, raw net.Conn, handler Handler, options Options) {
	// A connection on which the option cannot be set is found by its idle time.
	_ = proxy.SetUserTimeout(raw, userTimeout)
	stream := jsonrpc2.NewBufferedStream(countingConn{Conn: raw, options: options}, jsonrpc2.VarintObjectCodec{})
	dispatch := dispatcher{conn: conn, handler: handler, pool: options.Pool}
	conn.rpc = jsonrpc2.NewConn(ctx, stream, dispatch, jsonrpc2.SetLogger(discardLogger{}))
	close(conn.started)
	go conn.writeLoop(ctx)
	go conn.awaitClose(ctx, handler)
}

// watch reports the end of the connection, once.
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
		case <-conn.closed:
			return
		case next := <-conn.queue:
			if next.method == "" || conn.rpc.Notify(ctx, next.method, next.params) != nil {
				conn.Close()
				return
			}
		}
	}
}

// Remote returns the other end's address.
func (conn *Conn) Remote() string { return conn.remote }

// Notify queues a notification. It closes the connection and returns false
// when the queue is full.
func (conn *Conn) Notify(method string, params any) bool {
	select {
	case conn.queue <- notification{method: method, params: params}:
		return true
	case <-conn.closed:
		return false
	default:
		conn.Close()
		return false
	}
}

// Finish closes the connection after what is queued was sent.
func (conn *Conn) FlushAndClose() { conn.Notify("", nil) }

// Call sends a request and waits for its answer.
func (conn *Conn) Call(ctx context.Context, method string, params, result any) error {
	return conn.rpc.Call(ctx, method, params, result)
}

// Ended reports whether the connection was closed or lost.
func (conn *Conn) IsClosed() bool {
	select {
	case <-conn.closed:
		return true
	default:
		return false
	}
}

// Close ends the connection.
func (conn *Conn) Close() {
	conn.close.Do(func() {
		close(conn.closed)
		<-conn.started
		_ = conn.rpc.Close()
	})
}

// receiver sorts what comes in into notifications and calls.
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

type discardLogger struct{}

// Printf drops the library's own lines; ends of connections are counted.
func (discardLogger) Printf(string, ...any) {}
