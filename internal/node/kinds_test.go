package node

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// deaf is an upstream that takes requests and breaks off its first answers.
type deaf struct {
	address string
	runs    atomic.Int64
}

// startDeaf breaks off the given number of answers, then answers.
func startDeaf(t *testing.T, broken int64) *deaf {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	held := &deaf{address: listener.Addr().String()}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			held.serve(conn, broken)
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return held
}

func (deaf *deaf) serve(conn net.Conn, broken int64) {
	defer func() { _ = conn.Close() }()
	var request fasthttp.Request
	if request.Read(bufio.NewReader(conn)) != nil {
		return
	}
	if deaf.runs.Add(1) <= broken {
		return
	}
	_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok")
}

// kindConfig has one route of each kind.
func kindConfig(t *testing.T) *rsrc.Config {
	route := func(name string, kind rsrc.CallKind) rsrc.Route {
		options := rsrc.RouteOptions{Host: "h.example", Kind: kind, MaxAttempts: 2}
		return rsrc.NewRoute(name, "s", "/"+name+"/", "", time.Second).WithOptions(options)
	}
	config, err := rsrc.EmptyConfig().Apply(1, rsrc.Change{Put: []rsrc.Resource{
		rsrc.NewService("s", ""),
		route("again", rsrc.CallIdempotent),
		route("once", rsrc.CallNonIdempotent),
	}})
	require.NoError(t, err)
	return config
}

// TestTheKindDecidesWhatIsRepeated loses the answer of an upstream: a call whose
// route allows it is tried again, whatever its method, and no other is.
func TestTheKindDecidesWhatIsRepeated(t *testing.T) {
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
	} {
		t.Run(c.method+c.path, func(t *testing.T) {
			node := startNode(t, "n1", kindConfig(t))
			upstream := startDeaf(t, 1)
			announce(t, node, lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: upstream.address})
			require.Equal(t, c.status, send(t, node, c.method, c.path))
			require.Equal(t, c.runs, upstream.runs.Load())
		})
	}
}

// TestAttemptsAreBounded has every answer lost: the route allows two targets.
func TestAttemptsAreBounded(t *testing.T) {
	node := startNode(t, "n1", kindConfig(t))
	upstream := startDeaf(t, 100)
	announce(t, node, lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: upstream.address})
	require.Equal(t, http.StatusBadGateway, send(t, node, http.MethodGet, "/again/x"))
	require.EqualValues(t, 2, upstream.runs.Load())
}

// TestADrainHoldsFromItsAcknowledgement wants no call at an upstream once its
// notice was taken, and none again for a late one.
func TestADrainHoldsFromItsAcknowledgement(t *testing.T) {
	node := startNode(t, "n1", kindConfig(t))
	upstream := startDeaf(t, 0)
	notice := lease.Notice{ID: "i-1", Born: 1, Sequence: 1, Address: upstream.address}
	announce(t, node, notice)
	require.Equal(t, http.StatusOK, send(t, node, http.MethodGet, "/once/x"))
	notice = full(notice)
	notice.Sequence, notice.Draining = 3, true
	node.Announce(notice)
	require.Equal(t, http.StatusServiceUnavailable, send(t, node, http.MethodGet, "/once/x"))
	notice.Sequence, notice.Draining = 2, false
	node.Announce(notice)
	require.Equal(t, http.StatusServiceUnavailable, send(t, node, http.MethodGet, "/once/x"))
	node.Deregister("i-1", 0)
	notice.Sequence = 9
	node.Announce(notice)
	require.Equal(t, http.StatusServiceUnavailable, send(t, node, http.MethodGet, "/once/x"))
	require.EqualValues(t, 1, upstream.runs.Load())
}

// TestARestartWithAnEarlierClockRecalls restarts a node after the time of day
// went back: what it had acknowledged still holds.
func TestARestartWithAnEarlierClockRecalls(t *testing.T) {
	node := startNode(t, "n1", kindConfig(t))
	upstream := startDeaf(t, 0)
	node.RestoreFormer(member.Record{
		Name:        "n1",
		Incarnation: node.incarnation + uint64(time.Minute),
		Upstream:    member.Upstream{ID: "i-1", Born: 1, Sequence: 9, Service: "s", Version: "v1", Slots: 12, Gone: true},
	})
	node.Announce(full(lease.Notice{ID: "i-1", Born: 1, Sequence: 10, Address: upstream.address}))
	require.Equal(t, member.StateIdle, node.gate.record().State)
	require.Equal(t, http.StatusServiceUnavailable, send(t, node, http.MethodGet, "/once/x"))
	require.Zero(t, upstream.runs.Load())
}

// TestReadyFollowsConfigurationAndStop asks as a platform does.
func TestReadyFollowsConfigurationAndStop(t *testing.T) {
	node := startNode(t, "n1", kindConfig(t))
	ask := func() int {
		response, err := http.Get("http://" + node.settings.Admin + "/v1/ready")
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode
	}
	require.Equal(t, http.StatusOK, ask())
	node.stopping.Store(true)
	require.Equal(t, http.StatusServiceUnavailable, ask())
}

func full(notice lease.Notice) lease.Notice {
	notice.Service, notice.Version, notice.Slots = "s", "v1", 12
	return notice
}

// announce tells a node of its upstream and waits until calls may go there.
func announce(t *testing.T, node *Node, notice lease.Notice) {
	node.Announce(full(notice))
	require.Eventually(t, func() bool {
		node.lock.Lock()
		defer node.lock.Unlock()
		return node.picker.Count("s", "v1") > 0
	}, 5*time.Second, time.Millisecond)
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

// TestSplitsKeepTheirWeights counts at every moment, not only in the end.
func TestSplitsKeepTheirWeights(t *testing.T) {
	splits := newSplits()
	parts := []rsrc.WeightedService{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "none", Weight: 0}}
	counts := map[string]int{}
	for i := 1; i <= 1000; i++ {
		counts[splits.next("r", parts)]++
		require.InDelta(t, float64(i)*0.1, counts["b"], 1)
	}
	require.Zero(t, counts["none"])
}

// TestATimeoutIsSaidSo has an upstream that takes a call and stays silent: at the
// route's timeout the caller is told that it may have run, and that time was the
// reason.
func TestATimeoutIsSaidSo(t *testing.T) {
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
