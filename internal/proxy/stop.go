package proxy

import (
	"context"
	"errors"
	"net"
	"time"
)

// StopError is the cancellation cause of calls in progress when the process stops.
type StopError struct {
	// Until is the time until which a call waits for the response of its peer.
	Until time.Time
}

// Error returns a reason that may be passed on to a caller.
func (err *StopError) Error() string { return "the node stops" }

// IsStopped reports whether a context ended because the process stops.
func IsStopped(ctx context.Context) bool {
	var stopped *StopError
	return errors.As(context.Cause(ctx), &stopped)
}

// abort ends the exchange in progress for the given cause. If the process stops, it closes
// only the sending side: the peer takes that as a disconnect, and its response says
// whether the call ran. Otherwise it closes the connection.
func (conn *conn) abort(cause error, deadline time.Time) {
	var stopped *StopError
	if !errors.As(cause, &stopped) {
		_ = conn.Close()
		return
	}
	if deadline.IsZero() || stopped.Until.Before(deadline) {
		deadline = stopped.Until
	}
	tcp, ok := conn.Conn.(*net.TCPConn)
	if !ok || tcp.SetReadDeadline(deadline) != nil || tcp.CloseWrite() != nil {
		_ = conn.Close()
	}
}
