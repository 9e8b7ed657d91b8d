package proxy

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// ErrCallerLeft is the cause of a context whose caller closed the connection.
var ErrCallerDisconnected = errors.New("the caller left")

// WatchCaller returns a context that also ends when the other end of the
// connection is closed. Stop must be called before the connection is read
// again. Nothing is taken off the connection.
func WatchCaller(parent context.Context, conn net.Conn) (ctx context.Context, stop func()) {
	ctx, cancel := context.WithCancelCause(parent)
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return ctx, func() { cancel(nil) }
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return ctx, func() { cancel(nil) }
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		// Read waits until the connection is readable and calls again; the
		// past deadline set by stop ends it.
		_ = raw.Read(func(fd uintptr) bool {
			var buffer [1]byte
			n, _, err := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
			if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR) {
				return false
			}
			if err != nil || n == 0 {
				cancel(ErrCallerDisconnected)
			}
			return true
		})
	}()
	return ctx, func() {
		_ = tcp.SetReadDeadline(time.Unix(1, 0))
		<-ended
		_ = tcp.SetReadDeadline(time.Time{})
		cancel(nil)
	}
}
