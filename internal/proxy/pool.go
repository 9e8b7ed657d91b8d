package proxy

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// ExchangeError reports an exchange without a whole answer.
type ExchangeError struct {
	// Sent is false when it is certain that the other side saw nothing of the
	// request.
	Sent bool
	Err  error
}

// Error returns the cause and whether anything was sent.
func (err *ExchangeError) Error() string {
	if err.Sent {
		return "no whole answer: " + err.Err.Error()
	}
	return "nothing was sent: " + err.Err.Error()
}

// Unwrap returns the cause.
func (err *ExchangeError) Unwrap() error { return err.Err }

// ErrCut reports an answer whose end cannot be told from a lost connection.
var ErrUnframed = errors.New("the answer has neither a length nor chunks")

// ErrStranger reports an answer that belongs to another request.
var ErrMismatch = errors.New("the answer belongs to another request")

// Settings bound a pool.
type Settings struct {
	// MaxConns is the number of connections to one address; a call beyond it
	// waits until its deadline.
	MaxConns int
	// MaxIdle is how long a connection may lie unused; it is below the time
	// after which the other side closes it. A shorter time that the other side
	// states in a Keep-Alive header goes before it.
	MaxIdleTime time.Duration
	// MaxBody bounds an answer's body, in bytes.
	MaxBody int
	// Dial bounds the making of a connection; zero leaves it to the call's
	// deadline.
	DialTimeout time.Duration
	// Silence is how long sent bytes may stay unacknowledged by the other
	// side's network stack before the connection counts as lost; zero leaves it
	// to the system.
	UserTimeout time.Duration
	// Identity accepts an answer that ends with its connection.
	AllowCloseDelimited bool
	// Belongs tells whether an answer is the request's own; nil accepts all.
	Belongs func(request *fasthttp.Request, response *fasthttp.Response) bool
}

// DefaultSettings suit an upstream with about 110 connections.
func DefaultSettings() Settings {
	return Settings{MaxConns: 100, MaxIdleTime: 20 * time.Second, MaxBody: 64 << 20}
}

// conn is one connection of a pool.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	idle   time.Time
	// maxIdle is the pool's limit or a shorter one that the other side stated.
	maxIdleTime time.Duration
}

// pool holds the connections to one address.
type pool struct {
	// tokens has one entry for each connection that may be in use.
	tokens chan struct{}
	lock   sync.Mutex
	// idle is a stack: the most recently used connection is on top.
	idle []*conn
}

// Pools holds the connections to all addresses. It is safe for concurrent
// use. Lock order: Pools.lock before pool.lock.
type Pools struct {
	settings Settings
	now      func() time.Time
	lock     sync.Mutex
	pools    map[string]*pool
}

// New returns empty pools.
func New(settings Settings, now func() time.Time) *Pools {
	return &Pools{settings: settings, now: now, pools: map[string]*pool{}}
}

func (pools *Pools) pool(address string) *pool {
	pools.lock.Lock()
	defer pools.lock.Unlock()
	entry, ok := pools.pools[address]
	if !ok {
		entry = &pool{tokens: make(chan struct{}, pools.settings.MaxConns)}
		pools.pools[address] = entry
	}
	return entry
}

// Do carries one exchange. It ends when the answer is whole, the context ends
// or the connection is lost; in the latter cases the connection is closed,
// which cancels the call at the other side.
func (pools *Pools) Do(ctx context.Context, address string, request *fasthttp.Request, response *fasthttp.Response) error {
	pool := pools.pool(address)
	select {
	case pool.tokens <- struct{}{}:
	case <-ctx.Done():
		return &ExchangeError{Err: context.Cause(ctx)}
	}
	defer func() { <-pool.tokens }()
	conn, err := pools.acquireConn(ctx, pool, address)
	if err != nil {
		return &ExchangeError{Err: err}
	}
	err = pools.exchange(ctx, conn, request, response)
	if err != nil || response.ConnectionClose() || request.ConnectionClose() {
		_ = conn.Close()
		return err
	}
	conn.idle = pools.now()
	pool.lock.Lock()
	pool.idle = append(pool.idle, conn)
	pool.lock.Unlock()
	return nil
}

// take returns a live idle connection or a new one.
func (pools *Pools) acquireConn(ctx context.Context, pool *pool, address string) (*conn, error) {
	for {
		pool.lock.Lock()
		count := len(pool.idle)
		if count == 0 {
			pool.lock.Unlock()
			return pools.dial(ctx, address)
		}
		top := pool.idle[count-1]
		pool.idle = pool.idle[:count-1]
		pool.lock.Unlock()
		if pools.now().Sub(top.idle) < top.maxIdleTime && isReusable(top.Conn) {
			return top, nil
		}
		_ = top.Close()
	}
}

func (pools *Pools) dial(ctx context.Context, address string) (*conn, error) {
	dialer := net.Dialer{Timeout: pools.settings.DialTimeout, KeepAliveConfig: pools.settings.keepAliveConfig()}
	raw, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if pools.settings.UserTimeout > 0 {
		if err := SetUserTimeout(raw, pools.settings.UserTimeout); err != nil {
			return nil, errors.Join(err, raw.Close())
		}
	}
	return &conn{Conn: raw, reader: bufio.NewReader(raw), writer: bufio.NewWriter(raw), maxIdleTime: pools.settings.MaxIdleTime}, nil
}

// quiet reports whether an idle connection is open and has nothing to read;
// anything else is the end of it or a leftover of an earlier exchange.
func isReusable(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Control(func(fd uintptr) {
		var buffer [1]byte
		_, _, peekErr := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(peekErr, unix.EAGAIN)
	})
	return err == nil && open
}
