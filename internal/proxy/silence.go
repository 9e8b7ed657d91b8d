package proxy

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// keepAliveProbes is how many unanswered probes end a connection.
const keepAliveProbes = 2

// keepAlive makes idle connections probe at the pace of Silence.
func (settings Settings) keepAlive() net.KeepAliveConfig {
	if settings.Silence == 0 {
		return net.KeepAliveConfig{}
	}
	// The system counts in whole seconds.
	pace := max(time.Second, settings.Silence/keepAliveProbes)
	return net.KeepAliveConfig{Enable: true, Idle: pace, Interval: pace, Count: keepAliveProbes}
}

// SetSilence bounds how long sent bytes may stay unacknowledged.
func SetSilence(conn net.Conn, silence time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var failure error
	err = raw.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
