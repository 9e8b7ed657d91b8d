package proxy

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of unacknowledged keep-alive probes after which
// the system closes a connection.
const keepAliveProbes = 2

// tcpKeepAlive returns TCP keep-alive parameters with which the loss of an idle
// connection is detected too. The probe interval is derived from UserTimeout. If
// UserTimeout is zero, tcpKeepAlive returns the zero value, with which Go's
// default applies.
func (settings Settings) tcpKeepAlive() net.KeepAliveConfig {
	if settings.UserTimeout == 0 {
		return net.KeepAliveConfig{}
	}
	// The system counts keep-alive intervals in whole seconds.
	interval := max(time.Second, settings.UserTimeout/keepAliveProbes)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// SetUserTimeout sets TCP_USER_TIMEOUT, which limits how long sent bytes may
// remain unacknowledged. It does nothing if conn is not a TCP connection.
func SetUserTimeout(conn net.Conn, timeout time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var optErr error
	err = raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
