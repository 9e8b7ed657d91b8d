package proxy

import (
	"context"
	"errors"
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// ErrCallerDisconnected is the cancellation cause of a call's context when the
// caller has closed its connection.
var ErrCallerDisconnected = errors.New("the caller left")

// WatchCaller returns a context that is also canceled when the peer closes the
// connection, with the cause ErrCallerDisconnected. It consumes no data from the
// connection. If the peer sends data first, the watch ends and a later
// disconnect is not reported. A connection that is not a TCP connection is not
// watched. The stop function must be called before the connection is read again;
// it removes the read deadline of the connection.
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
		// While the function returns false, Read waits until the connection is
		// readable and calls the function again. The stop function ends the wait
		// by setting a read deadline in the past.
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
