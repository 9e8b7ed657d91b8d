package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/front"
	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/sample"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// lossyUpstream is an upstream that reads requests and closes the connection
// instead of sending its first responses.
type lossyUpstream struct {
	address string
	runs    atomic.Int64
}

// startLossyUpstream starts an upstream that fails to send the given number of
// responses, which may be zero, and responds normally after that.
func startLossyUpstream(t *testing.T, failures int64) *lossyUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	upstream := &lossyUpstream{address: listener.Addr().String()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			upstream.serve(conn, failures)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return upstream
}

func (lossyUpstream *lossyUpstream) serve(conn net.Conn, failures int64) {
	defer func() { _ = conn.Close() }()
	var request fasthttp.Request
	if request.Read(bufio.NewReader(conn)) != nil {
		return
	}
	if lossyUpstream.runs.Add(1) <= failures {
		return
	}
	_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
}

// kindConfig returns a configuration with an idempotent, a non-idempotent and an
// upload route.
func kindConfig(t *testing.T) *rsrc.Config { return kindConfigWithin(t, time.Second) }

// kindConfigWithin is like kindConfig, with the given timeout of the routes.
func kindConfigWithin(t *testing.T, timeout time.Duration) *rsrc.Config {
	route := func(name string, kind rsrc.CallKind) rsrc.Route {
		options := rsrc.RouteOptions{Host: "h.example", Kind: kind, MaxAttempts: 2}
		return rsrc.NewRoute(name, "s", "/"+name+"/", "", timeout).WithOptions(options)
	}
	config, err := rsrc.EmptyConfig().Apply(1, rsrc.Change{Put: []rsrc.Resource{
		rsrc.NewService("s", ""),
		route("again", rsrc.CallIdempotent),
		route("once", rsrc.CallNonIdempotent),
		route("upload", rsrc.CallUpload),
	}})
	require.NoError(t, err)
	return config
}

// TestRouteKindDecidesRetries loses the response of an upstream. A call on an
// idempotent route is tried again whatever its method, a call on a
// non-idempotent or upload route is not.
func TestRouteKindDecidesRetries(t *testing.T) {
	for _, c := range []struct {
		method string
		path   string
		status int
		runs   int64
	}{
		{http.MethodPost, "/again/x", http.StatusOK, 2},
		{http.MethodGet, "/again/x", http.StatusOK, 2},
		{http.MethodPut, "/once/x", http.StatusBadGateway, 1},
		{http.MethodGet, "/once/x", http.StatusBadGateway, 1},
		{http.MethodPut, "/upload/x", http.StatusBadGateway, 1},
		{http.MethodGet, "/upload/x", http.StatusBadGateway, 1},
	} {
		t.Run(c.method+c.path, func(t *testing.T) {
			node := startNode(t, "n1", kindConfig(t))
			upstream := startLossyUpstream(t, 1)
			announce(t, node, lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: upstream.address})
			require.Equal(t, c.status, send(t, node, c.method, c.path))
			require.Equal(t, c.runs, upstream.runs.Load())
		})
	}
}

// TestMaxAttemptsBoundsRetries loses every response. The route allows two
// tries.
func TestMaxAttemptsBoundsRetries(t *testing.T) {
	node := startNode(t, "n1", kindConfig(t))
	upstream := startLossyUpstream(t, 100)
	announce(t, node, lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: upstream.address})
	require.Equal(t, http.StatusBadGateway, send(t, node, http.MethodGet, "/again/x"))
	require.EqualValues(t, 2, upstream.runs.Load())
}

// TestDrainTakesEffectWhenAcknowledged checks that no call reaches an upstream
// after its draining notice was accepted, and that stale notices do not revert
// this.
func TestDrainTakesEffectWhenAcknowledged(t *testing.T) {
	node := startNode(t, "n1", kindConfig(t))
	upstream := startLossyUpstream(t, 0)
	notice := lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: upstream.address}
	announce(t, node, notice)
	require.Equal(t, http.StatusOK, send(t, node, http.MethodGet, "/once/x"))
	notice = completeNotice(notice)
	notice.Sequence, notice.Draining = 3, true
	node.gate.AcceptNotice(notice)
	require.Equal(t, http.StatusServiceUnavailable, send(t, node, http.MethodGet, "/once/x"))
	notice.Sequence, notice.Draining = 2, false
	node.gate.AcceptNotice(notice)
	require.Equal(t, http.StatusServiceUnavailable, send(t, node, http.MethodGet, "/once/x"))
	node.gate.Deregister("i-1", 0)
	notice.Sequence = 9
	node.gate.AcceptNotice(notice)
	require.Equal(t, http.StatusServiceUnavailable, send(t, node, http.MethodGet, "/once/x"))
	require.EqualValues(t, 1, upstream.runs.Load())
}

// TestRestartWithEarlierClockRestoresUpstream gives a node the record of its
// previous run, whose incarnation is higher because the clock was set back. The
// upstream is deregistered in that record, and a later notice must not revert
// this.
func TestRestartWithEarlierClockRestoresUpstream(t *testing.T) {
	node := startNode(t, "n1", kindConfig(t))
	upstream := startLossyUpstream(t, 0)
	node.RestoreFormer(member.Record{
		Name:        "n1",
		Incarnation: node.incarnation + uint64(time.Minute),
		Upstream:    member.Upstream{ID: "i-1", Born: 1, Sequence: 9, Service: "s", Version: "v1", Slots: 12, Gone: true},
	})
	node.gate.AcceptNotice(completeNotice(lease.Notice{ID: "i-1", Born: 1, Sequence: 10, Address: upstream.address}))
	require.Equal(t, member.StateIdle, node.gate.Record().State)
	require.Equal(t, http.StatusServiceUnavailable, send(t, node, http.MethodGet, "/once/x"))
	require.Zero(t, upstream.runs.Load())
}

// TestReadyFollowsConfigurationAndShutdown sends readiness probes as a platform
// does. They must succeed once a configuration is in force and fail during the
// shutdown.
func TestReadyFollowsConfigurationAndShutdown(t *testing.T) {
	node := startNode(t, "n1", kindConfig(t))
	probe := func() int {
		response, err := http.Get("http://" + node.settings.Admin + "/v1/ready")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, probe())
	node.stopping.Store(true)
	require.Equal(t, http.StatusServiceUnavailable, probe())
}

func completeNotice(notice lease.Notice) lease.Notice {
	notice.Service, notice.Version, notice.Slots = "s", "v1", 12
	return notice
}

// announce sends a notice to a node and waits until its picker has the target.
func announce(t *testing.T, node *Node, notice lease.Notice) {
	node.gate.AcceptNotice(completeNotice(notice))
	require.Eventually(t, func() bool { return node.entry.CountTargets("s", "v1") > 0 }, 5*time.Second, time.Millisecond)
}

func send(t *testing.T, node *Node, method, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.settings.Callers+path, strings.NewReader(""))
	require.NoError(t, err)
	request.Host = "h.example"
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

// TestRouteTimeoutAnswersGatewayTimeout has an upstream that accepts
// connections but neither reads nor responds. At the route's timeout the caller
// must get status 504, which says that the call timed out and may have run.
func TestRouteTimeoutAnswersGatewayTimeout(t *testing.T) {
	node := startNode(t, "n1", kindConfig(t))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	announce(t, node, lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: listener.Addr().String()})
	for range 2 {
		begun := time.Now()
		require.Equal(t, http.StatusGatewayTimeout, send(t, node, http.MethodGet, "/once/x"))
		require.GreaterOrEqual(t, time.Since(begun), 900*time.Millisecond)
	}
}

// TestLargestHeadReachesTheUpstream guards against a call whose head is within the limit of
// the configuration and is refused by the gate, because of the headers that the entry node
// has added.
func TestLargestHeadReachesTheUpstream(t *testing.T) {
	config := kindConfig(t)
	entry, target := startNode(t, "n1", config), startNode(t, "n2", config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	defer func() {
		require.NoError(t, server.Close())
		<-ended
	}()
	announce(t, target, lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: listener.Addr().String()})
	introduce(t, entry, target)
	for size, want := range map[int]int{front.DefaultLimits().MaxHeader: http.StatusOK, front.DefaultLimits().MaxHeader + 1: http.StatusRequestHeaderFieldsTooLarge} {
		conn, err := net.Dial("tcp", entry.settings.Callers)
		require.NoError(t, err)
		head := "GET /again/x HTTP/1.1\r\nHost: h.example\r\nX: "
		const end = "\r\n\r\n"
		_, err = io.WriteString(conn, head+strings.Repeat("x", size-len(head)-len(end))+end)
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, want, response.StatusCode, size)
		require.NoError(t, conn.Close())
	}
}

// TestUpstreamCannotSetStarvedHeader has an upstream send the header with which
// gates report that a nested call found no slot. The gate must remove the
// header, so that the error counts like any other.
func TestUpstreamCannotSetStarvedHeader(t *testing.T) {
	node := startNode(t, "n1", oneRoute(t))
	upstream := sample.New(sample.Settings{
		Service: "s", Version: "v1", Address: sample.FreeAddress(), Admin: node.settings.Admin,
		Slots: 1, FailPermille: 1000, TTL: time.Minute, Now: time.Now, Random: random(),
		OnCall: func(request *fasthttp.RequestCtx) { request.Response.Header.Set(proxy.HeaderStarved, "yes") },
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- upstream.Run(ctx) }()
	defer func() {
		cancel()
		<-ended
	}()
	require.Eventually(t, func() bool { return node.gate.Record().State == member.StateServing }, 5*time.Second, 10*time.Millisecond)
	request, response := &fasthttp.Request{}, &fasthttp.Response{}
	request.SetRequestURI("http://" + node.settings.Gate + "/")
	request.Header.Set(proxy.HeaderService, "s")
	request.Header.Set(proxy.HeaderVersion, "v1")
	request.Header.Set(proxy.HeaderTimeout, "1000")
	require.NoError(t, fasthttp.DoTimeout(request, response, 5*time.Second))
	require.Equal(t, fasthttp.StatusInternalServerError, response.StatusCode())
	require.Equal(t, string(proxy.OutcomeRan), string(response.Header.Peek(proxy.HeaderOutcome)))
	require.Empty(t, response.Header.Peek(proxy.HeaderStarved))
}
