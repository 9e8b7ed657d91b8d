package proxy

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/bufmem"
)

const (
	chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	fillerLine  = "X-Filler: yyyyyyyyyyyyyyyy\r\n"
	earlyHints  = "HTTP/1.1 103 Early Hints\r\n"
	// farDeadline is a deadline that no exchange of the tests reaches.
	farDeadline = time.Minute
)

// TestEndlessPartsEndEarly guards against exchanges that read a part of a response without
// end until the deadline of the call. Such an exchange ends by a limit of that part, closes
// the connection and leaves the outcome unknown.
func TestEndlessPartsEndEarly(t *testing.T) {
	for name, c := range map[string]struct{ first, unit, reason string }{
		"header lines":             {"HTTP/1.1 200 OK\r\n", fillerLine, "the head of the answer is too large"},
		"header line":              {"HTTP/1.1 200 OK\r\nX-Filler: ", "y", "the head of the answer is too large"},
		"interim":                  {"", earlyHints + "\r\n", ErrInterim.Error()},
		"large interim":            {"", earlyHints + strings.Repeat(fillerLine, 100) + "\r\n", ErrInterim.Error()},
		"extension":                {chunkedHead + "1;", "y", "the answer is malformed"},
		"extensions":               {chunkedHead, "1;" + strings.Repeat("y", 100) + "\r\nz\r\n", "the answer is malformed"},
		"trailer lines":            {chunkedHead + "0\r\n", fillerLine, "the head of the answer is too large"},
		"trailer line":             {chunkedHead + "0\r\nX-Filler: ", "y", "the head of the answer is too large"},
		"empty lines before it":    {"", "\r\n", errStatusLine.Error()},
		"a first line without end": {"HTTP/1.1 200 ", "y", "the head of the answer is too large"},
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan struct{})
			peer := newPeer(t, func(conn net.Conn, _ string) bool {
				defer close(ended)
				_, err := io.WriteString(conn, c.first)
				for unit := strings.Repeat(c.unit, 1+1000/len(c.unit)); err == nil; {
					_, err = io.WriteString(conn, unit)
				}
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), farDeadline)
			defer cancel()
			var request fasthttp.Request
			var response fasthttp.Response
			request.SetRequestURI("http://" + peer.address() + "/")
			err := newPools().Do(ctx, peer.address(), &request, &response)
			require.NoError(t, ctx.Err())
			require.True(t, maybeSent(t, err))
			var exchangeError *ExchangeError
			require.ErrorAs(t, err, &exchangeError)
			require.Equal(t, c.reason, exchangeError.Reason())
			<-ended
		})
	}
}

// TestOrdinaryInterimResponsesAreSkipped guards against limits that end an exchange with a
// target that reports its progress once a second for a minute.
func TestOrdinaryInterimResponsesAreSkipped(t *testing.T) {
	peer := newPeer(t, func(conn net.Conn, _ string) bool {
		_, _ = io.WriteString(conn, strings.Repeat(earlyHints+strings.Repeat(fillerLine, 10)+"\r\n", 60)+"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		return true
	})
	pools := newPools()
	for range 5 {
		body, err := get(t, pools, peer.address(), "/", farDeadline)
		require.NoError(t, err)
		require.Equal(t, "ok", body)
	}
	require.EqualValues(t, 1, peer.conns.Load(), "the limits apply to each exchange")
}

// TestLargeHeaderSections guards against responses that are lost because their header
// section does not fit into the first read buffer, and against buffers that stay large. The
// memory is taken from the call, and the next exchange on the connection is whole.
func TestLargeHeaderSections(t *testing.T) {
	peer := newPeer(t, func(conn net.Conn, path string) bool {
		lines := strings.Repeat(fillerLine, 15<<10/len(fillerLine))
		if path == "/small" {
			lines = ""
		}
		_, _ = io.WriteString(conn, earlyHints+lines+"\r\nHTTP/1.1 200 OK\r\n"+lines+"Content-Length: 2\r\n\r\nok")
		return true
	})
	pools, budget := newPools(), bufmem.New(bufmem.Sizes{General: 1 << 20, Overall: 1 << 20}, time.Now)
	for _, path := range []string{"/large", "/small", "/large", "/large"} {
		hold := budget.NewHold()
		ctx, cancel := context.WithTimeout(bufmem.NewContext(t.Context(), hold), farDeadline)
		var request fasthttp.Request
		var response fasthttp.Response
		request.SetRequestURI("http://" + peer.address() + path)
		require.NoError(t, pools.Do(ctx, peer.address(), &request, &response))
		cancel()
		require.Equal(t, "ok", string(response.Body()))
		require.Equal(t, path == "/large", budget.Held() >= 15<<10)
		hold.Release()
	}
	require.EqualValues(t, 1, peer.conns.Load())
	require.Equal(t, firstReader, pools.pool(peer.address()).idle[0].reader.Size())
}

// TestIdleConnectionsKeepNoBody guards against bodies that stay in memory with an idle
// connection after their call has returned what it had taken for them.
func TestIdleConnectionsKeepNoBody(t *testing.T) {
	peer := newPeer(t, func(conn net.Conn, _ string) bool {
		_, _ = io.WriteString(conn, chunkedHead+"8000\r\n"+strings.Repeat("z", 32<<10)+"\r\n0\r\n\r\n")
		return true
	})
	pools := newPools()
	body, err := get(t, pools, peer.address(), "/", farDeadline)
	require.NoError(t, err)
	require.Len(t, body, 32<<10)
	require.Nil(t, pools.pool(peer.address()).idle[0].body)
}
