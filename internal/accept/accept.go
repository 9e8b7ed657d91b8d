// Package accept provides a listener that outlives a lack of descriptors or memory.
package accept

import (
	"errors"
	"net"
	"slices"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/sys/unix"
)

// The pause after a failed Accept doubles from minPause to maxPause.
const (
	minPause = 5 * time.Millisecond
	maxPause = 200 * time.Millisecond
)

// transient are the errors of Accept that end by themselves, as soon as other
// connections are closed.
var transient = []error{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED}

// listener is a net.Listener whose Accept waits while a transient error lasts.
type listener struct {
	net.Listener
	log logr.Logger
}

// Wrap returns a listener whose Accept tries again after a transient error. It logs when
// connections cannot be accepted and when they can again.
func Wrap(inner net.Listener, log logr.Logger) net.Listener {
	return &listener{Listener: inner, log: log}
}

// Accept implements net.Listener.
func (listener *listener) Accept() (net.Conn, error) {
	var failedSince time.Time
	pause := minPause
	for {
		conn, err := listener.Listener.Accept()
		if err == nil || !isTransient(err) {
			if !failedSince.IsZero() {
				listener.log.Info("connections can be accepted again", "address", listener.Addr().String(), "after", time.Since(failedSince))
			}
			return conn, err
		}
		if failedSince.IsZero() {
			failedSince = time.Now()
			listener.log.Error(err, "connections cannot be accepted, trying again", "address", listener.Addr().String())
		}
		time.Sleep(pause)
		pause = min(2*pause, maxPause)
	}
}

// MaxClose is the longest time that Close takes.
const MaxClose = 200 * time.Millisecond

// backlogPollInterval is the time between two looks at the backlog.
const backlogPollInterval = time.Millisecond

// Close implements net.Listener. It first lets Accept return the connections that peers have
// established already, which would otherwise be reset although a request may be on its
// way. Meanwhile the backlog is zero, so that the system admits almost no others.
func (listener *listener) Close() error {
	tcp, ok := listener.Listener.(*net.TCPListener)
	if !ok {
		return listener.Listener.Close()
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return errors.Join(err, tcp.Close())
	}
	pending := true
	for end := time.Now().Add(MaxClose); pending && time.Now().Before(end); {
		err = raw.Control(func(fd uintptr) {
			fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
			ready, pollErr := unix.Poll(fds, 0)
			pending = unix.Listen(int(fd), 0) == nil && pollErr == nil && ready > 0
		})
		if err != nil {
			break
		}
		if pending {
			time.Sleep(backlogPollInterval)
		}
	}
	return tcp.Close()
}

func isTransient(err error) bool {
	return slices.ContainsFunc(transient, func(cause error) bool { return errors.Is(err, cause) })
}
