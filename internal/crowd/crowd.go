// Package crowd plays clients that misuse their connections: they send requests that
// never end, or never read the responses. Tests run them against real processes. The
// load it answers is a few thousand connections over loopback.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Shape is what each client of a crowd sends. Afterwards the client keeps its
// connection open without sending or reading anything.
type Shape struct {
	// First is sent once, and Unit then so often that Bytes bytes of it are sent.
	First string
	Unit  string
	Bytes int
}

const (
	// dialTimeout bounds the wait for a process that does not accept connections.
	dialTimeout = 2 * time.Second
	// writeTimeout ends the sending of a client whose peer does not read.
	writeTimeout = 2 * time.Second
	// dialsAtOnce keeps the dials below the backlog of a listener.
	dialsAtOnce = 64
)

// Crowd is a number of clients.
type Crowd struct {
	group sync.WaitGroup
	sent  sync.WaitGroup
	leave context.CancelFunc
	// whole counts the clients that have sent everything.
	whole atomic.Int64
}

// Start starts clients that send the same shape to an address.
func Start(ctx context.Context, address string, clients int, shape Shape) *Crowd {
	ctx, leave := context.WithCancel(ctx)
	crowd := &Crowd{leave: leave}
	dials := make(chan struct{}, dialsAtOnce)
	for range clients {
		crowd.sent.Add(1)
		crowd.group.Go(func() { crowd.run(ctx, address, shape, dials) })
	}
	return crowd
}

func (crowd *Crowd) run(ctx context.Context, address string, shape Shape, dials chan struct{}) {
	dials <- struct{}{}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
	<-dials
	if err != nil {
		crowd.sent.Done()
		return
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	if shape.send(conn) == nil {
		crowd.whole.Add(1)
	}
	crowd.sent.Done()
	<-ctx.Done()
}

// send sends the shape until it is complete or a write fails.
func (shape Shape) send(conn net.Conn) error {
	if _, err := io.WriteString(conn, shape.First); err != nil {
		return err
	}
	for left := shape.Bytes; left > 0; left -= len(shape.Unit) {
		if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return err
		}
		if _, err := io.WriteString(conn, shape.Unit[:min(left, len(shape.Unit))]); err != nil {
			return err
		}
	}
	return nil
}

// Sent waits until each client has sent everything or failed, and returns how many
// have sent everything.
func (crowd *Crowd) Sent() int {
	crowd.sent.Wait()
	return int(crowd.whole.Load())
}

// Leave closes the connections and waits for the clients.
func (crowd *Crowd) Leave() {
	crowd.leave()
	crowd.group.Wait()
}
