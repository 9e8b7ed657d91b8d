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

func TestNestedCallIsNoMoreUrgentThanItsParent(t *testing.T) {
	parentCalls := newParentCalls()
	parentCalls.begin("a1", 2)
	parentCalls.begin("b1", 0)
	require.Equal(t, 2, parentCalls.effectivePriority("a1.x", 1))
	require.Equal(t, 2, parentCalls.effectivePriority("a1", 1), "a nested call may use the id unchanged")
	require.Equal(t, 1, parentCalls.effectivePriority("b1.x", 1), "an urgent parent does not make a nested call more urgent")
	require.Equal(t, 1, parentCalls.effectivePriority("c1.x", 1), "the id belongs to no call of this upstream")
	require.Equal(t, 1, parentCalls.effectivePriority(".x", 1))
	require.False(t, parentCalls.end("b1"))
	parentCalls.markStarved("a1.x")
	parentCalls.markStarved("c1.x")
	require.True(t, parentCalls.end("a1"))
	require.False(t, parentCalls.end("a1"))
	require.Empty(t, parentCalls.calls)
}

func TestStarvedResponseIsNoTargetFailure(t *testing.T) {
	response := &fasthttp.Response{}
	response.SetStatusCode(fasthttp.StatusInternalServerError)
	response.Header.Set(proxy.HeaderOutcome, string(proxy.OutcomeRan))
	classified := (&Node{}).classify(t.Context(), nil, response)
	require.Equal(t, picker.ResultFailed, classified.pickerResult)
	response.Header.Set(proxy.HeaderStarved, "yes")
	classified = (&Node{}).classify(t.Context(), nil, response)
	require.Equal(t, picker.ResultCanceled, classified.pickerResult)
	require.True(t, classified.starved)
	require.Equal(t, proxy.OutcomeRan, classified.outcome)
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
