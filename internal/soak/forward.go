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

// forwarder is a TCP proxy in front of one address of a process. It can inject
// network faults.
type forwarder struct {
	listener    net.Listener
	destination string
	// delay, in nanoseconds, is how long data is held back before it is passed on.
	delay atomic.Int64
	// dropIn discards the data sent to the process, dropOut the data sent by it.
	dropIn  atomic.Bool
	dropOut atomic.Bool
	// endless replaces the next response on each connection by one that does not
	// end until the connection is closed. cut ends it in the middle of its head.
	endless atomic.Bool
	cut     atomic.Bool

	// lock guards conns, the open connections on both sides.
	lock   sync.Mutex
	conns  map[net.Conn]bool
	active sync.WaitGroup
}

// newForwarder listens on address; its run method forwards connections to
// destination.
func newForwarder(address, destination string) (*forwarder, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return &forwarder{listener: listener, destination: destination, conns: map[net.Conn]bool{}}, nil
}

// run accepts and forwards connections until the context is done, then resets the
// open ones.
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

// forwardConn connects a client to the process and copies data in both directions
// until both directions have ended.
func (forwarder *forwarder) forwardConn(client net.Conn) {
	server, err := net.Dial("tcp", forwarder.destination)
	if err != nil {
		resetConn(client)
		return
	}
	forwarder.track(client, true)
	forwarder.track(server, true)
	var copies sync.WaitGroup
	copies.Go(func() { forwarder.copy(server, client, &forwarder.dropIn, nil) })
	copies.Go(func() { forwarder.copy(client, server, &forwarder.dropOut, forwarder.spoil) })
	copies.Wait()
	forwarder.track(client, false)
	forwarder.track(server, false)
}

// track adds a connection to conns if open is true; otherwise it removes the
// connection from conns and closes it.
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

// bufferBytes is the size of the buffer for each direction of a connection.
const bufferBytes = 16 << 10

// copy forwards the data of one direction. While drop is set, it reads and
// discards all data, which simulates a network path that loses every packet.
// Once bytes are missing from the stream, nothing more is forwarded in this
// direction until the connection is closed. If spoil, which may be nil, returns true, the
// connection has ended.
func (forwarder *forwarder) copy(destination, source net.Conn, drop *atomic.Bool, spoil func(destination net.Conn, response []byte) bool) {
	buffer := make([]byte, bufferBytes)
	dropped := false
	for {
		n, err := source.Read(buffer)
		if n > 0 && spoil != nil && spoil(destination, buffer[:n]) {
			resetConn(source)
			return
		}
		if delay := time.Duration(forwarder.delay.Load()); delay > 0 {
			time.Sleep(delay)
		}
		dropped = dropped || n > 0 && drop.Load()
		if n > 0 && !dropped {
			if _, writeErr := destination.Write(buffer[:n]); writeErr != nil {
				resetConn(source)
				return
			}
		}
		if err != nil {
			propagateClose(destination, err)
			return
		}
	}
}

// spoil sends a faulty response in place of the given one, if a fault asks for it, and
// reports whether it did.
func (forwarder *forwarder) spoil(destination net.Conn, response []byte) bool {
	switch {
	case forwarder.endless.Load():
		sendEndlessly(destination)
	case forwarder.cut.Load():
		_, _ = destination.Write(response[:min(len(response), cutBytes)])
		_ = destination.Close()
	default:
		return false
	}
	return true
}

// cutBytes is where a response is cut off: after the first lines of its head.
const cutBytes = 40

// sendEndlessly sends a response without end until the connection is closed.
func sendEndlessly(conn net.Conn) {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n")
	for filler := make([]byte, bufferBytes); err == nil; {
		_, err = conn.Write(filler)
	}
	resetConn(conn)
}

// propagateClose is called after a read from the other connection has returned
// err. At the end of the data it closes the sending side of destination; after any
// other error it resets destination.
func propagateClose(destination net.Conn, err error) {
	if tcp, ok := destination.(*net.TCPConn); ok && err == io.EOF {
		_ = tcp.CloseWrite()
		return
	}
	resetConn(destination)
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// resetAll resets all open connections.
func (forwarder *forwarder) resetAll() {
	forwarder.lock.Lock()
	defer forwarder.lock.Unlock()
	for conn := range forwarder.conns {
		resetConn(conn)
	}
}
