package proxy

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is how many unanswered probes end a connection.
const keepAliveProbes = 2

// keepAlive makes idle connections probe at the pace of Silence.
func (settings Settings) keepAliveConfig() net.KeepAliveConfig {
	if settings.UserTimeout == 0 {
		return net.KeepAliveConfig{}
	}
	// The system counts in whole seconds.
	interval := max(time.Second, settings.UserTimeout/keepAliveProbes)
	return net.KeepAliveConfig{Enable: true, Idle: interval, Interval: interval, Count: keepAliveProbes}
}

// SetSilence bounds how long sent bytes may stay unacknowledged.
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
