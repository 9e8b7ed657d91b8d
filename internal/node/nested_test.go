package node

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/sample"
)

func TestANestedCallIsNoMoreUrgentThanWhatItServes(t *testing.T) {
	parents := newParents()
	parents.begin("a1", 2)
	parents.begin("b1", 0)
	require.Equal(t, 2, parents.rank("a1.x", 1))
	require.Equal(t, 2, parents.rank("a1", 1), "the id may be passed on as it is")
	require.Equal(t, 1, parents.rank("b1.x", 1), "an urgent caller makes no call more urgent")
	require.Equal(t, 1, parents.rank("c1.x", 1), "no call of this upstream's")
	require.Equal(t, 1, parents.rank(".x", 1))
	require.False(t, parents.end("b1"))
	parents.starve("a1.x")
	parents.starve("c1.x")
	require.True(t, parents.end("a1"))
	require.False(t, parents.end("a1"))
	require.Empty(t, parents.calls)
}

func TestAStarvedAnswerBlamesNoTarget(t *testing.T) {
	response := &fasthttp.Response{}
	response.SetStatusCode(fasthttp.StatusInternalServerError)
	response.Header.Set(proxy.HeaderOutcome, string(proxy.OutcomeRan))
	judged := (&Node{}).judge(t.Context(), nil, response)
	require.Equal(t, picker.ResultFailed, judged.learned)
	response.Header.Set(proxy.HeaderStarved, "yes")
	judged = (&Node{}).judge(t.Context(), nil, response)
	require.Equal(t, picker.ResultCanceled, judged.learned)
	require.True(t, judged.starved)
	require.Equal(t, proxy.OutcomeRan, judged.outcome)
}

// TestAnUpstreamCannotExcuseItself has an upstream send the header by which gates
// tell that its own call found no slot: it counts as any other error.
func TestAnUpstreamCannotExcuseItself(t *testing.T) {
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
	require.Eventually(t, func() bool { return node.gate.record().State == member.StateServing }, 5*time.Second, 10*time.Millisecond)
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
