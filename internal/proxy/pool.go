package proxy

import (
	"bufio"
	"context"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/vanillapulley/vanillapulley/internal/body"
)

// ExchangeError reports an exchange that did not yield a complete response.
type ExchangeError struct {
	// MaybeSent is true if the peer may use the request: part of it may have reached the
	// peer or, if its body was announced, all of it. It is also true if the peer has sent
	// an invalid response.
	MaybeSent bool
	Err       error
}

// Error returns the cause with a prefix that depends on MaybeSent.
func (err *ExchangeError) Error() string {
	if err.MaybeSent {
		return "no whole answer: " + err.Err.Error()
	}
	return "not sent whole: " + err.Err.Error()
}

// Unwrap returns the cause.
func (err *ExchangeError) Unwrap() error { return err.Err }

// ErrUnframed reports a response without framing: its end cannot be
// distinguished from a lost connection.
var ErrUnframed = errors.New("the answer has neither a length nor chunks")

// ErrMismatch reports a response that belongs to another request.
var ErrMismatch = errors.New("the answer belongs to another request")

// Settings configures the pools.
type Settings struct {
	// MaxConns is the maximum number of connections to one address. If all are
	// in use, a call waits for one until its context ends.
	MaxConns int
	// MaxIdleTime is how long a connection may be idle and still be reused. It
	// must be shorter than the peer's idle timeout. If the peer's Keep-Alive
	// header contains a timeout and usableIdlePercent of it is shorter than
	// MaxIdleTime, that share applies instead.
	MaxIdleTime time.Duration
	// MaxHeader is the maximum size of the header section of a response in bytes, and
	// MaxBody that of its body.
	MaxHeader int
	MaxBody   int
	// DialTimeout limits the time to establish a connection. If it is zero, only
	// the call's deadline applies.
	DialTimeout time.Duration
	// UserTimeout is how long sent bytes may remain unacknowledged by the peer's
	// network stack before the connection is considered lost (TCP_USER_TIMEOUT).
	// If it is zero, the system default applies.
	UserTimeout time.Duration
	// AllowCloseDelimited accepts responses that are delimited only by the close
	// of the connection.
	AllowCloseDelimited bool
	// Belongs reports whether a response belongs to the request. If it is nil,
	// every response is accepted.
	Belongs func(request *fasthttp.Request, response *fasthttp.Response) bool
	// RequestID returns the ID that Belongs compares, or an empty string if a request
	// has none. No ID is sent twice on one connection: a late copy of the first
	// response could not be told from the second response. If RequestID is nil,
	// requests have no IDs.
	RequestID func(request *fasthttp.Request) string
}

// DefaultSettings returns settings whose connection limit suits an upstream that
// accepts about 110 connections.
func DefaultSettings() Settings {
	return Settings{MaxConns: 100, MaxIdleTime: 20 * time.Second, MaxHeader: 16 << 10, MaxBody: 64 << 20}
}

// conn is one connection of a pool.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// body is the reader of the body of the last response, or nil.
	body *body.Reader
	// arrived counts the bytes that reader has read from the network.
	arrived int64
	// interim and interimBytes count the interim responses of the exchange in progress.
	interim      int
	interimBytes int64
	// write is the write of the request in progress.
	write requestWrite
	// held is the request in progress if its body is announced, otherwise nil.
	held *heldRequest
	// idle is the time at which the connection was returned to the pool.
	idle time.Time
	// maxIdleTime is Settings.MaxIdleTime or a shorter limit that follows from
	// the peer's Keep-Alive header.
	maxIdleTime time.Duration
	// sent holds the IDs of the requests that were sent on the connection, with the
	// deadlines of their calls. A call is not sent again after its deadline.
	sent map[string]time.Time
}

// pool holds the connections to one address.
type pool struct {
	// inUse is a semaphore. It holds one entry for each call that has a
	// connection or is dialing, and its capacity is Settings.MaxConns.
	inUse chan struct{}
	lock  sync.Mutex
	// idle is a stack: the most recently used connection is on top.
	idle []*conn
}

// Pools holds the connection pools of all addresses. It is safe for concurrent
// use. Lock order: Pools.lock before pool.lock; at present, the two locks are
// never held together.
type Pools struct {
	settings Settings
	now      func() time.Time
	// turns is the semaphore of the announced bodies that are being sent.
	turns chan struct{}
	lock  sync.Mutex
	pools map[string]*pool
}

// New returns a Pools without connections.
func New(settings Settings, now func() time.Time) *Pools {
	return &Pools{settings: settings, now: now, turns: make(chan struct{}, maxBodiesSent), pools: map[string]*pool{}}
}

func (pools *Pools) pool(address string) *pool {
	pools.lock.Lock()
	defer pools.lock.Unlock()
	entry, ok := pools.pools[address]
	if !ok {
		entry = &pool{inUse: make(chan struct{}, pools.settings.MaxConns)}
		pools.pools[address] = entry
	}
	return entry
}

// Do sends a request to an address and reads the response. If the request contains
// "Expect: 100-continue", its body is sent only when the peer asks for it. If the context carries
// a bufmem.Hold, the body of the response is charged to it. If it gets no complete
// response to the request, for instance because the context ends or the
// connection is lost, it returns an *ExchangeError and closes the connection if
// there is one. A peer that is still running the call can cancel it when it
// detects the close.
func (pools *Pools) Do(ctx context.Context, address string, request *fasthttp.Request, response *fasthttp.Response) error {
	_, err := pools.DoAnnounced(ctx, address, request, response)
	return err
}

// DoAnnounced is like Do and reports whether the peer has asked for a body that was
// announced to it.
func (pools *Pools) DoAnnounced(ctx context.Context, address string, request *fasthttp.Request, response *fasthttp.Response) (bodyBegun bool, err error) {
	pool := pools.pool(address)
	select {
	case pool.inUse <- struct{}{}:
	case <-ctx.Done():
		return false, &ExchangeError{Err: context.Cause(ctx)}
	}
	defer func() { <-pool.inUse }()
	id := pools.requestID(request)
	conn, err := pools.acquireConn(ctx, pool, address, id)
	if err != nil {
		return false, &ExchangeError{Err: err}
	}
	if ctx.Err() != nil {
		// The caller may have left while the connection was established.
		pool.put(conn, pools.now())
		return false, &ExchangeError{Err: context.Cause(ctx)}
	}
	deadline, _ := ctx.Deadline()
	conn.recordSent(id, deadline, pools.now())
	err = pools.exchange(ctx, conn, request, response)
	bodyBegun = conn.held != nil && conn.held.begun
	conn.held = nil
	if err != nil || response.ConnectionClose() || request.ConnectionClose() || len(conn.sent) >= maxSentIDs {
		_ = conn.Close()
		return bodyBegun, err
	}
	if conn.reader.Size() > firstReader {
		// No byte is left in it: surplus bytes close the connection.
		conn.reader = bufio.NewReaderSize(conn, firstReader)
	}
	pool.put(conn, pools.now())
	return bodyBegun, nil
}

// put makes a connection available for reuse.
func (pool *pool) put(conn *conn, now time.Time) {
	conn.idle = now
	pool.lock.Lock()
	defer pool.lock.Unlock()
	pool.idle = append(pool.idle, conn)
}

// acquireConn returns an idle connection that is still usable and on which no request
// with this ID was sent, or else a new connection. It closes the idle connections that
// are no longer usable.
func (pools *Pools) acquireConn(ctx context.Context, pool *pool, address, id string) (*conn, error) {
	for {
		top := pool.take(id)
		if top == nil {
			return pools.dial(ctx, address)
		}
		if pools.now().Sub(top.idle) < top.maxIdleTime && isReusable(top.Conn) {
			return top, nil
		}
		_ = top.Close()
	}
}

// CloseIdle closes the connections that have been idle for too long to be reused. Without
// it, those to addresses that are gone would stay open.
func (pools *Pools) CloseIdle() {
	pools.lock.Lock()
	entries := slices.Collect(maps.Values(pools.pools))
	pools.lock.Unlock()
	now := pools.now()
	for _, entry := range entries {
		for _, outdated := range entry.takeOutdated(now) {
			_ = outdated.Close()
		}
	}
}

// takeOutdated removes the connections that have been idle for too long to be reused.
func (pool *pool) takeOutdated(now time.Time) []*conn {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	var outdated []*conn
	pool.idle = slices.DeleteFunc(pool.idle, func(candidate *conn) bool {
		if now.Sub(candidate.idle) < candidate.maxIdleTime {
			return false
		}
		outdated = append(outdated, candidate)
		return true
	})
	return outdated
}

// take removes the topmost connection on which no request with this ID was sent from
// the stack. It returns nil if there is none.
func (pool *pool) take(id string) *conn {
	pool.lock.Lock()
	defer pool.lock.Unlock()
	for i, candidate := range slices.Backward(pool.idle) {
		if _, sent := candidate.sent[id]; !sent {
			pool.idle = slices.Delete(pool.idle, i, i+1)
			return candidate
		}
	}
	return nil
}

// requestID returns the ID of a request, or an empty string if it has none.
func (pools *Pools) requestID(request *fasthttp.Request) string {
	if pools.settings.RequestID == nil {
		return ""
	}
	return pools.settings.RequestID(request)
}

// firstReader is the size of the read buffer of a connection, which fits the header
// section of an ordinary response.
const firstReader = 4 << 10

// maxSentIDs is the number of calls that can still be sent again from which a
// connection is closed instead of reused.
const maxSentIDs = 512

// recordSent records that a request was sent, and forgets the calls that are over.
func (conn *conn) recordSent(id string, deadline, now time.Time) {
	if id == "" {
		return
	}
	maps.DeleteFunc(conn.sent, func(_ string, deadline time.Time) bool { return now.After(deadline) })
	conn.sent[id] = deadline
}

func (pools *Pools) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: pools.settings.DialTimeout, KeepAliveConfig: pools.settings.tcpKeepAlive()}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if pools.settings.UserTimeout > 0 {
		if err := SetUserTimeout(raw, pools.settings.UserTimeout); err != nil {
			return nil, errors.Join(err, raw.Close())
		}
	}
	dialed := &conn{Conn: raw, writer: bufio.NewWriter(raw), maxIdleTime: pools.settings.MaxIdleTime, sent: map[string]time.Time{}}
	dialed.reader = bufio.NewReaderSize(dialed, firstReader)
	return dialed, nil
}

// Read reads from the network and counts the bytes.
func (conn *conn) Read(buffer []byte) (int, error) {
	n, err := conn.Conn.Read(buffer)
	conn.arrived += int64(n)
	return n, err
}

// consumed returns how many bytes of responses have been parsed.
func (conn *conn) consumed() int64 { return conn.arrived - int64(conn.reader.Buffered()) }

// isReusable reports whether an idle connection is open and has no data to read.
// A connection that the peer has closed is not reusable, and neither is one with
// unread data, because such data is left over from an earlier exchange.
func isReusable(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		reusable = errors.Is(peekErr, unix.EAGAIN)
	})
	return err == nil && reusable
}
