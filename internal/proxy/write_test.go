package proxy

import (
	"bufio"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// lateConn is a connection whose Write passes the data on and returns only when the writer
// is interrupted.
type lateConn struct {
	net.Conn
	interrupted chan struct{}
	once        sync.Once
}

func (conn *lateConn) interrupt() { conn.once.Do(func() { close(conn.interrupted) }) }

func (conn *lateConn) Write(data []byte) (int, error) {
	n, err := conn.Conn.Write(data)
	<-conn.interrupted
	return n, err
}

func (conn *lateConn) SetWriteDeadline(deadline time.Time) error {
	defer conn.interrupt()
	return conn.Conn.SetWriteDeadline(deadline)
}

func (conn *lateConn) Close() error {
	defer conn.interrupt()
	return conn.Conn.Close()
}

// TestResponseOvertakesTheEndOfTheWrite guards against a connection that is closed because
// the peer responded to the whole request before the writing goroutine had returned.
func TestResponseOvertakesTheEndOfTheWrite(t *testing.T) {
	const size = 60 << 10
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	late := &lateConn{Conn: near, interrupted: make(chan struct{})}
	conn := &conn{Conn: late, writer: bufio.NewWriterSize(late, 2*size)}
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	request.SetRequestURI("http://h.example/")
	request.Header.SetMethod(fasthttp.MethodPost)
	request.SetBody(make([]byte, size))
	conn.startWrite(request)
	received := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(received)
	require.NoError(t, received.Read(bufio.NewReader(io.LimitReader(far, 2*size))))
	require.True(t, conn.finishWrite(nil))
}
