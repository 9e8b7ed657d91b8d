package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestAnnouncedBodies guards against a body that a peer gets without having asked for it,
// and against a call that is reported as not sent although the peer got all of it.
func TestAnnouncedBodies(t *testing.T) {
	const size = 60 << 10
	for name, c := range map[string]struct {
		// serve handles one connection whose request header was read.
		serve     func(conn net.Conn, reader *bufio.Reader)
		begun     bool
		maybeSent bool
		status    int
	}{
		"a peer that restarts before it answers": {serve: func(net.Conn, *bufio.Reader) {}},
		"a peer that restarts after 100": {serve: func(conn net.Conn, reader *bufio.Reader) {
			// The body is not read, and the reset ends the write of a body that exceeds
			// the buffers of the sockets.
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
			_, _ = reader.Peek(1)
			_ = conn.(*net.TCPConn).SetLinger(0)
		}, begun: true},
		"a peer that restarts after the body": {serve: func(conn net.Conn, reader *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\n")
			_, _ = io.CopyN(io.Discard, reader, size)
		}, begun: true, maybeSent: true},
		"a peer whose answer is malformed": {serve: func(conn net.Conn, reader *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n")
			_, _ = reader.Peek(1)
		}, maybeSent: true},
		"a peer whose answer has no length": {serve: func(conn net.Conn, reader *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nok")
			_, _ = reader.Peek(1)
		}, maybeSent: true},
		"a peer whose answer is cut": {serve: func(conn net.Conn, _ *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Le")
		}},
		"a peer that refuses": {serve: func(conn net.Conn, reader *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
			_, _ = reader.Peek(1)
		}, status: 503},
		"a peer that asks for parts": {serve: func(conn net.Conn, reader *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\nVp-Credit: 1000\r\n\r\n")
			_, _ = io.CopyN(io.Discard, reader, 1000)
			time.Sleep(20 * time.Millisecond)
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
			if _, err := reader.Peek(1); err == nil {
				return
			}
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\nVp-Credit: 60440\r\n\r\n")
			_, _ = io.CopyN(io.Discard, reader, size-1000)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}, begun: true, status: 200},
		"a peer that refuses after a part": {serve: func(conn net.Conn, reader *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\nVp-Credit: 1000\r\n\r\n")
			_, _ = io.CopyN(io.Discard, reader, 1000)
			_, _ = io.WriteString(conn, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
		}, begun: true, status: 503},
		"a peer that answers 100 twice": {serve: func(conn net.Conn, reader *bufio.Reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n")
			_, _ = io.CopyN(io.Discard, reader, size)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}, begun: true, status: 200},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer func() { _ = listener.Close() }()
			early := make(chan int, 1)
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				var header fasthttp.RequestHeader
				_ = header.Read(reader)
				time.Sleep(20 * time.Millisecond)
				_ = conn.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
				_, _ = reader.Peek(1)
				early <- reader.Buffered()
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				c.serve(conn, reader)
			}()
			var request fasthttp.Request
			var response fasthttp.Response
			request.SetRequestURI("http://h/")
			request.Header.SetMethod("POST")
			request.Header.Set("Expect", "100-continue")
			body := size
			if name == "a peer that restarts after 100" {
				body = 32 << 20
			}
			request.SetBody(make([]byte, body))
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			pools := New(DefaultSettings(), time.Now)
			begun, err := pools.DoAnnounced(ctx, listener.Addr().String(), &request, &response)
			require.Zero(t, <-early, "the body was sent unasked")
			require.Equal(t, c.begun, begun)
			if c.status > 0 {
				require.NoError(t, err)
				require.Equal(t, c.status, response.StatusCode())
				if !begun {
					require.Len(t, pools.pool(listener.Addr().String()).idle, 1, "the connection stays usable")
				}
				return
			}
			require.Equal(t, c.maybeSent, maybeSent(t, err))
		})
	}
}

// TestEndedContextSendsNothing guards against a request that is sent although its caller
// has left before.
func TestEndedContextSendsNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	arrived := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		for {
			n, err := conn.Read(make([]byte, 1<<10))
			arrived <- n
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	}()
	pools := New(DefaultSettings(), time.Now)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	var request fasthttp.Request
	var response fasthttp.Response
	request.SetRequestURI("http://h/")
	require.NoError(t, pools.Do(ctx, listener.Addr().String(), &request, &response))
	require.Positive(t, <-arrived)
	cancel()
	for range 20 {
		require.False(t, maybeSent(t, pools.Do(ctx, listener.Addr().String(), &request, &response)))
	}
	select {
	case n := <-arrived:
		require.Zero(t, n)
	case <-time.After(50 * time.Millisecond):
	}
}
