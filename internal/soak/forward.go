package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

// forwarder stands between a process and those that connect to it.
type forwarder struct {
	listener net.Listener
	target   string
	// delay holds each piece of data back, in nanoseconds.
	delay atomic.Int64
	// muteIn and muteOut swallow what goes to the process and what comes from
	// it.
	muteIn  atomic.Bool
	muteOut atomic.Bool

	lock  sync.Mutex
	conns map[net.Conn]bool
	ended sync.WaitGroup
}

// newForwarder listens at a free address and forwards to another.
func newForwarder(address, target string) (*forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &forwarder{listener: listener, target: target, conns: map[net.Conn]bool{}}, nil
}

// run forwards until the context ends.
func (forwarder *forwarder) run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		_ = forwarder.listener.Close()
		forwarder.reset()
	})
	defer stop()
	defer forwarder.ended.Wait()
	for {
		conn, err := forwarder.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		forwarder.ended.Go(func() { forwarder.carry(conn) })
	}
}

// carry joins a connection to the process until either side ends it.
func (forwarder *forwarder) carry(near net.Conn) {
	far, err := net.Dial("tcp", forwarder.target)
	if err != nil {
		abort(near)
		return
	}
	forwarder.track(near, true)
	forwarder.track(far, true)
	var both sync.WaitGroup
	both.Go(func() { forwarder.copy(far, near, &forwarder.muteIn) })
	both.Go(func() { forwarder.copy(near, far, &forwarder.muteOut) })
	both.Wait()
	forwarder.track(near, false)
	forwarder.track(far, false)
}

func (forwarder *forwarder) track(conn net.Conn, open bool) {
	forwarder.lock.Lock()
	defer forwarder.lock.Unlock()
	if open {
		forwarder.conns[conn] = true
		return
	}
	delete(forwarder.conns, conn)
	_ = conn.Close()
}

// pieceBytes is how much is forwarded at a time.
const pieceBytes = 16 << 10

// copy passes one direction on. A muted direction swallows what comes, as a
// path that loses every packet does; such a connection can only be ended, since
// bytes are missing.
func (forwarder *forwarder) copy(to, from net.Conn, mute *atomic.Bool) {
	buffer := make([]byte, pieceBytes)
	swallowed := false
	for {
		n, err := from.Read(buffer)
		if delay := time.Duration(forwarder.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		swallowed = swallowed || n > 0 && mute.Load()
		if n > 0 && !swallowed {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			finish(to, err)
			return
		}
	}
}

// finish passes the end of a connection on.
func finish(to net.Conn, err error) {
	if tcp, ok := to.(*net.TCPConn); ok && err == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	abort(to)
}

// abort resets a connection.
func abort(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// reset ends all present connections.
func (forwarder *forwarder) reset() {
	forwarder.lock.Lock()
	defer forwarder.lock.Unlock()
	for conn := range forwarder.conns {
		abort(conn)
	}
}
