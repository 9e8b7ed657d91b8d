package proxy

import (
	"bufio"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

const (
	// longUpload exceeds what the buffers of two sockets hold.
	longUpload = 6 << 20
	// readOfUpload is how much of an upload a peer reads before it answers.
	readOfUpload = 1000

	openAnswer  = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart"
	knownAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\npart"
)

// startEarlyPeer starts a peer that sends an answer after the first bytes of each upload, and
// then calls a function for the connection.
func startEarlyPeer(t *testing.T, answer string, end func(conn *net.TCPConn)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				_, _ = io.CopyN(io.Discard, conn, readOfUpload)
				_, _ = io.WriteString(conn, answer)
				end(conn.(*net.TCPConn))
			}()
		}
	}()
	return listener.Addr().String()
}

func newUpload() *fasthttp.Request {
	request := &fasthttp.Request{}
	request.SetRequestURI("http://h/upload")
	request.Header.SetMethod(fasthttp.MethodPut)
	request.SetBody(make([]byte, longUpload))
	return request
}

func closeDelimitedPools() *Pools {
	settings := DefaultSettings()
	settings.AllowCloseDelimited = true
	return New(settings, time.Now)
}

func reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// writeFirstConn reads on after the answer has begun only when a write has failed.
type writeFirstConn struct {
	net.Conn
	// begun is done when the answer has begun, and failed when a write has failed.
	begun, failed       context.Context
	setBegun, setFailed context.CancelFunc
}

func (conn *writeFirstConn) Read(buffer []byte) (int, error) {
	if conn.begun.Err() != nil {
		<-conn.failed.Done()
	}
	n, err := conn.Conn.Read(buffer)
	conn.setBegun()
	return n, err
}

func (conn *writeFirstConn) Write(data []byte) (int, error) {
	n, err := conn.Conn.Write(data)
	if err != nil {
		conn.setFailed()
	}
	return n, err
}

// TestResetThatTheWriteTakesIsNoEnd guards against the part of a body without a length that
// reaches the caller as a whole one. The kernel reports a reset once: here the write of the
// request gets it, and the read of the response an ordinary end.
func TestResetThatTheWriteTakesIsNoEnd(t *testing.T) {
	ctx, cancel := context.WithTimeout(t.Context(), farDeadline)
	defer cancel()
	ordered := &writeFirstConn{}
	ordered.begun, ordered.setBegun = context.WithCancel(ctx)
	ordered.failed, ordered.setFailed = context.WithCancel(ctx)
	address := startEarlyPeer(t, openAnswer, func(conn *net.TCPConn) {
		<-ordered.begun.Done()
		reset(conn)
	})
	pools := closeDelimitedPools()
	conn, err := pools.dial(ctx, address)
	require.NoError(t, err)
	// The write must not end before the reset, whatever the system allows for buffers.
	require.NoError(t, conn.Conn.(*net.TCPConn).SetWriteBuffer(64<<10))
	ordered.Conn = conn.Conn
	conn.Conn, conn.writer = ordered, bufio.NewWriter(ordered)
	var response fasthttp.Response
	err = pools.exchange(ctx, conn, newUpload(), &response)
	require.ErrorIs(t, err, syscall.ECONNRESET, "delivered as status %d with the body %q", response.StatusCode(), response.Body())
	require.True(t, maybeSent(t, err))
	require.Empty(t, response.Body())
}

// TestResetDuringUploadIsNoEnd is like TestResetThatTheWriteTakesIsNoEnd without a forced
// order: either call may get the reset.
func TestResetDuringUploadIsNoEnd(t *testing.T) {
	address := startEarlyPeer(t, openAnswer, reset)
	pools := closeDelimitedPools()
	for range 50 {
		ctx, cancel := context.WithTimeout(t.Context(), farDeadline)
		err := pools.Do(ctx, address, newUpload(), &fasthttp.Response{})
		cancel()
		require.True(t, maybeSent(t, err))
	}
}

// TestEarlyAnswersAreDelivered guards against whole answers that are refused because the
// upload was not written to the end.
func TestEarlyAnswersAreDelivered(t *testing.T) {
	closeWrite := func(conn *net.TCPConn) { _ = conn.CloseWrite() }
	for name, c := range map[string]struct {
		answer string
		end    func(conn *net.TCPConn)
	}{
		"no length, the rest is read": {openAnswer, func(conn *net.TCPConn) {
			closeWrite(conn)
			_, _ = io.Copy(io.Discard, conn)
		}},
		"no length, the rest is not read": {openAnswer, func(conn *net.TCPConn) {
			closeWrite(conn)
			<-t.Context().Done()
		}},
		"length, the rest is read": {knownAnswer, func(conn *net.TCPConn) {
			closeWrite(conn)
			_, _ = io.Copy(io.Discard, conn)
		}},
		"length, the connection stays open": {knownAnswer, func(*net.TCPConn) { <-t.Context().Done() }},
	} {
		t.Run(name, func(t *testing.T) {
			address := startEarlyPeer(t, c.answer, c.end)
			pools := closeDelimitedPools()
			for range 20 {
				ctx, cancel := context.WithTimeout(t.Context(), farDeadline)
				var response fasthttp.Response
				require.NoError(t, pools.Do(ctx, address, newUpload(), &response))
				cancel()
				require.Equal(t, "part", string(response.Body()))
			}
		})
	}
}
