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
	// dropIn and muteOut swallow what goes to the process and what comes from
	// it.
	dropIn  atomic.Bool
	dropOut atomic.Bool

	lock   sync.Mutex
	conns  map[net.Conn]bool
	active sync.WaitGroup
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
		forwarder.resetAll()
	})
	defer stop()
	defer forwarder.active.Wait()
	for {
		conn, err := forwarder.listener.Accept()
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return trace.Wrap(err)
		}
		forwarder.active.Go(func() { forwarder.forwardConn(conn) })
	}
}

// forwardConn joins a connection to the process until either side ends it.
func (forwarder *forwarder) forwardConn(client net.Conn) {
	server, err := net.Dial("tcp", forwarder.target)
	if err != nil {
		abort(client)
		return
	}
	forwarder.track(client, true)
	forwarder.track(server, true)
	var copies sync.WaitGroup
	copies.Go(func() { forwarder.copy(server, client, &forwarder.dropIn) })
	copies.Go(func() { forwarder.copy(client, server, &forwarder.dropOut) })
	copies.Wait()
	forwarder.track(client, false)
	forwarder.track(server, false)
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

// bufferBytes is how much is forwarded at a time.
const bufferBytes = 16 << 10

// copy passes one direction on. A muted direction swallows what comes, as a
// path that loses every packet does; such a connection can only be ended, since
// bytes are missing.
func (forwarder *forwarder) copy(to, from net.Conn, drop *atomic.Bool) {
	buffer := make([]byte, bufferBytes)
	dropped := false
	for {
		n, err := from.Read(buffer)
		if delay := time.Duration(forwarder.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		dropped = dropped || n > 0 && drop.Load()
		if n > 0 && !dropped {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				abort(from)
				return
			}
		}
		if err != nil {
			propagateClose(to, err)
			return
		}
	}
}

// propagateClose passes the end of a connection on.
func propagateClose(to net.Conn, err error) {
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

// resetAll ends all present connections.
func (forwarder *forwarder) resetAll() {
	forwarder.lock.Lock()
	defer forwarder.lock.Unlock()
	for conn := range forwarder.conns {
		abort(conn)
	}
}
