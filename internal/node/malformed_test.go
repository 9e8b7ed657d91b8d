package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/sample"
	"github.com/vanillapulley/vanillapulley/internal/stats"
)

// malformedAnswers are answers of upstreams that are not HTTP/1.1, with the reason that callers
// get.
var malformedAnswers = []struct{ reason, answer string }{
	{"its status is not a number from 100 to 599", "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"},
	{"the name of a field is not a token", "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok"},
	{"the name of a field is not a token", "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
}

// TestMalformedAnswersReachNobody guards against a malformed answer that reaches a caller as
// an answer, through the node beside the upstream or through another one. The caller is told
// that the call may have run, only a repeatable call is sent again, and no connection is used
// after such an answer.
func TestMalformedAnswersReachNobody(t *testing.T) {
	for i, malformed := range malformedAnswers {
		for _, c := range []struct {
			path string
			runs int64
		}{{"/once/x", 1}, {"/again/x", 2}} {
			t.Run(fmt.Sprint(i, c.path), func(t *testing.T) {
				beside, remote := startPatientNode(t, "n1"), startPatientNode(t, "n2")
				var runs atomic.Int64
				var peers sync.Map
				address, err := sample.StartRaw(t.Context(), malformed.answer, func(_ *fasthttp.Request, peer string) {
					runs.Add(1)
					_, known := peers.LoadOrStore(peer, true)
					if known {
						t.Error("the connection was used again")
					}
				})
				require.NoError(t, err)
				announce(t, beside, lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: address})
				introduce(t, remote, beside)
				for i, node := range []*Node{beside, remote} {
					response := call(t, node, c.path, 0)
					require.Equal(t, http.StatusBadGateway, response.StatusCode())
					require.Equal(t, string(proxy.OutcomeUnknown), string(response.Header.Peek(proxy.HeaderOutcome)))
					require.Contains(t, string(response.Body()), "the answer is malformed: "+malformed.reason)
					require.Equal(t, c.runs*int64(i+1), runs.Load())
				}
			})
		}
	}
}

// startPatientNode runs a node with limits of time that a loaded machine does not reach.
func startPatientNode(t *testing.T, name string) *Node {
	settings := nodeSettings(t, name)
	settings.Heartbeat = config.Duration(time.Minute)
	node, err := New(Deps{Settings: settings, Logs: logs.Discard(), Stats: stats.New(), Now: time.Now, Random: random})
	require.NoError(t, err)
	return runNode(t, node, kindConfigWithin(t, time.Minute))
}

// TestResetDuringUploadReachesNobody guards against the part of an answer without a length that
// reaches a caller as a whole one, because the upstream reset the connection while the upload
// was still being written. An upload is not sent again.
func TestResetDuringUploadReachesNobody(t *testing.T) {
	const uploads, size = 10, 6 << 20
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	var runs atomic.Int64
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			conn := accepted.(*net.TCPConn)
			runs.Add(1)
			_ = conn.SetReadBuffer(4 << 10)
			_, _ = io.CopyN(io.Discard, conn, 1000)
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
			_ = conn.SetLinger(0)
			_ = conn.Close()
		}
	}()
	beside, remote := startPatientNode(t, "n1"), startPatientNode(t, "n2")
	announce(t, beside, lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: listener.Addr().String()})
	introduce(t, remote, beside)
	for i := range 2 * uploads {
		response := call(t, []*Node{beside, remote}[i%2], "/upload/x", size)
		require.Equal(t, http.StatusBadGateway, response.StatusCode(), "%s", response.Body())
		require.Equal(t, string(proxy.OutcomeUnknown), string(response.Header.Peek(proxy.HeaderOutcome)))
		require.EqualValues(t, i+1, runs.Load())
	}
}

// call sends a call with a body of the given size to a node and returns the response.
func call(t *testing.T, node *Node, path string, size int) *fasthttp.Response {
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://" + node.settings.Callers + path)
	request.Header.SetMethod(http.MethodPut)
	request.Header.SetHost("h.example")
	request.UseHostHeader = true
	request.SetBody(make([]byte, size))
	require.NoError(t, (&fasthttp.HostClient{Addr: node.settings.Callers}).Do(request, response))
	return response
}
