package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestStopWaitsForTheVerdict guards against a stop that closes the connection to a gate
// before the gate has said whether the call ran, and against one that waits for too long.
func TestStopWaitsForTheVerdict(t *testing.T) {
	const wait = 500 * time.Millisecond
	for name, responds := range map[string]bool{"verdict": true, "none": false} {
		t.Run(name, func(t *testing.T) {
			read := make(chan struct{})
			peer := newPeer(t, func(conn net.Conn, _ string) bool {
				close(read)
				_, _ = io.Copy(io.Discard, conn)
				if responds {
					_, _ = fmt.Fprint(conn, "HTTP/1.1 503 Service Unavailable\r\nVp-Outcome: not-run\r\nContent-Length: 0\r\n\r\n")
				} else {
					time.Sleep(2 * wait)
				}
				return false
			})
			pools := New(DefaultSettings(), time.Now)
			ctx, cancel := context.WithCancelCause(t.Context())
			request, response := &fasthttp.Request{}, &fasthttp.Response{}
			request.SetRequestURI("http://h/x")
			stopped := make(chan time.Time, 1)
			go func() {
				<-read
				stopped <- time.Now()
				cancel(&StopError{Until: time.Now().Add(wait)})
			}()
			err := pools.Do(ctx, peer.listener.Addr().String(), request, response)
			took := time.Since(<-stopped)
			if responds {
				require.NoError(t, err)
				require.Equal(t, string(OutcomeNotRun), string(response.Header.Peek(HeaderOutcome)))
				return
			}
			var exchangeError *ExchangeError
			require.ErrorAs(t, err, &exchangeError)
			require.True(t, exchangeError.MaybeSent)
			require.InDelta(t, wait.Seconds(), took.Seconds(), wait.Seconds()/2)
		})
	}
}

// TestStopIsNoEndOfABody guards against the part of a body without a length that reaches the
// caller as a whole one, because the stop of the node has made the upstream close the
// connection. A body of known length that is complete is delivered.
func TestStopIsNoEndOfABody(t *testing.T) {
	for answer, whole := range map[string]bool{openAnswer: false, knownAnswer: true} {
		t.Run(fmt.Sprint(whole), func(t *testing.T) {
			ctx, cancel := context.WithCancelCause(t.Context())
			peer := newPeer(t, func(conn net.Conn, _ string) bool {
				cancel(&StopError{Until: time.Now().Add(farDeadline)})
				if whole {
					_, _ = io.WriteString(conn, answer)
				} else {
					_, _ = io.WriteString(conn, answer[:len(answer)-1])
				}
				// The connection ends when the node has closed its sending side.
				_, _ = io.Copy(io.Discard, conn)
				return false
			})
			var request fasthttp.Request
			var response fasthttp.Response
			request.SetRequestURI("http://h/")
			err := closeDelimitedPools().Do(ctx, peer.address(), &request, &response)
			if whole {
				require.NoError(t, err)
				require.Equal(t, "part", string(response.Body()))
				return
			}
			require.True(t, maybeSent(t, err), "delivered %q", response.Body())
			var exchangeError *ExchangeError
			require.ErrorAs(t, err, &exchangeError)
			require.Equal(t, (&StopError{}).Error(), exchangeError.Reason())
		})
	}
}
