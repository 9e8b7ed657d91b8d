package node

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/stats"
)

// testClock is a clock that only the test moves.
type testClock struct {
	start   time.Time
	elapsed atomic.Int64
}

func newTestClock() *testClock { return &testClock{start: time.Now()} }

func (clock *testClock) now() time.Time {
	return clock.start.Add(time.Duration(clock.elapsed.Load()))
}
func (clock *testClock) advance(duration time.Duration) { clock.elapsed.Add(int64(duration)) }

// statingUpstream is an upstream that adds headers to its responses and records
// when it got each call.
type statingUpstream struct {
	address string
	clock   *testClock
	lock    sync.Mutex
	headers map[string]string
	arrived []time.Time
}

func startStatingUpstream(t *testing.T, clock *testClock) *statingUpstream {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	upstream := &statingUpstream{address: listener.Addr().String(), clock: clock}
	server := &fasthttp.Server{Handler: upstream.handle}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	t.Cleanup(func() {
		require.NoError(t, server.Shutdown())
		require.NoError(t, <-served)
	})
	return upstream
}

func (upstream *statingUpstream) handle(request *fasthttp.RequestCtx) {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	upstream.arrived = append(upstream.arrived, upstream.clock.now())
	for name, value := range upstream.headers {
		request.Response.Header.Set(name, value)
	}
	request.SetBodyString("ok")
}

// state sets the headers of the following responses.
func (upstream *statingUpstream) state(headers map[string]string) {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	upstream.headers = headers
}

func (upstream *statingUpstream) calls() int {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	return len(upstream.arrived)
}

// maxIn returns the largest number of calls that arrived from the given time on
// within one window.
func (upstream *statingUpstream) maxIn(from time.Time, window time.Duration) int {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	most, first := 0, 0
	for i, at := range upstream.arrived {
		if at.Before(from) {
			first = i + 1
			continue
		}
		for at.Sub(upstream.arrived[first]) > window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// newGateNode returns a node that is not running, with an announced upstream.
func newGateNode(t *testing.T, clock *testClock, address string) *Node {
	node, err := New(Deps{Settings: nodeSettings(t, "n1"), Logs: logs.Discard(), Stats: stats.New(), Now: clock.now, Random: random})
	require.NoError(t, err)
	require.True(t, node.gate.accept(completeNotice(lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: address}), time.Hour))
	return node
}

// callGate sends a call that may not queue to the gate and returns its status.
func callGate(node *Node, headers map[string]string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var request fasthttp.RequestCtx
	request.Request.SetRequestURI("http://h.example/again/x")
	request.Request.Header.Set(proxy.HeaderService, "s")
	request.Request.Header.Set(proxy.HeaderVersion, "v1")
	request.Request.Header.Set(proxy.HeaderQueue, "no")
	for name, value := range headers {
		request.Request.Header.Set(name, value)
	}
	node.gate.serve(ctx, &request)
	return request.Response.StatusCode()
}

// The users' rule on stated limits: in any limitWindow, an upstream gets at most
// limitTolerance times what the limit allows, plus limitSlack calls.
const (
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

func maxAllowed(perSecond float64) int {
	return int(limitTolerance*perSecond*limitWindow.Seconds()) + limitSlack
}

func TestUpstreamGetsNoMoreThanItsStatedLimit(t *testing.T) {
	clock := newTestClock()
	upstream := startStatingUpstream(t, clock)
	node := newGateNode(t, clock, upstream.address)
	upstream.state(map[string]string{proxy.HeaderLimit: "23.4"})
	callGate(node, nil)
	stated := clock.now()
	for range 1000 {
		clock.advance(10 * time.Millisecond)
		callGate(node, nil)
	}
	require.LessOrEqual(t, upstream.maxIn(stated, limitWindow), maxAllowed(23.4))
	require.GreaterOrEqual(t, upstream.calls(), 200, "the limit is used")
}

func TestLeavingUpstreamGetsNoFurtherCalls(t *testing.T) {
	clock := newTestClock()
	upstream := startStatingUpstream(t, clock)
	node := newGateNode(t, clock, upstream.address)
	upstream.state(map[string]string{proxy.HeaderLeaving: "1"})
	require.Equal(t, fasthttp.StatusOK, callGate(node, nil), "the response that says so is delivered")
	require.Equal(t, fasthttp.StatusServiceUnavailable, callGate(node, nil))
	node.gate.accept(completeNotice(lease.Notice{ID: "i-1", Born: 1, Sequence: 2, Address: upstream.address}), time.Hour)
	require.Equal(t, fasthttp.StatusServiceUnavailable, callGate(node, nil), "a later notice of the same instance")
	require.Equal(t, 1, upstream.calls())
}

// TestCallsWaitForTheRateLimit sends calls that may queue to a limited upstream
// with free slots. All are served once their turn comes, none needs another event
// to be let go.
func TestCallsWaitForTheRateLimit(t *testing.T) {
	clock := newTestClock()
	upstream := startStatingUpstream(t, clock)
	node := startNode(t, "n1", kindConfig(t))
	upstream.state(map[string]string{proxy.HeaderLimit: "40"})
	announce(t, node, lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: upstream.address})
	require.Equal(t, fasthttp.StatusOK, send(t, node, "GET", "/again/x"))
	statuses := make(chan int, 20)
	for range cap(statuses) {
		go func() { statuses <- send(t, node, "GET", "/again/x") }()
	}
	for range cap(statuses) {
		require.Equal(t, fasthttp.StatusOK, <-statuses)
	}
}
