package node

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/stats"
)

// TestAKeyedCallGoesOnWhereThereIsRoom refuses a keyed call for want of a slot:
// it goes elsewhere, or queues, like any other call and needs no retry budget.
// One that was refused for its key needs it.
func TestFullGateCostsKeyedCallNoBudget(t *testing.T) {
	node := &Node{now: time.Now}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	call := &call{class: classKeyed, repeatable: true}
	full := result{outcome: proxy.OutcomeNotRun, full: true}
	for range maxRefusals - 1 {
		call.recordAttempt(full)
		pause, shouldRetry := node.shouldRetry(ctx, call, full)
		require.True(t, shouldRetry)
		require.Zero(t, pause)
	}
	require.Zero(t, call.tries)
	call.recordAttempt(full)
	_, shouldRetry := node.shouldRetry(ctx, call, full)
	require.False(t, shouldRetry)
	contended := result{outcome: proxy.OutcomeNotRun, reason: "the key is contended"}
	call.recordAttempt(contended)
	require.Equal(t, 1, call.tries)
}

// TestACopyIsNotRefusedForTheFirst has a copy of a keyed call wait for the first
// one, which is refused because it was not to queue. The copy then tries by
// itself; here it finds no upstream, which is its own reason.
func TestDuplicateKeyedCallRunsAfterFirstIsRefused(t *testing.T) {
	node, err := New(Deps{Settings: nodeSettings(t, "n1"), Logs: logs.Discard(), Stats: stats.New(), Now: time.Now, Random: random})
	require.NoError(t, err)
	id, err := uuid.NewV7()
	require.NoError(t, err)
	key, err := dedup.ParseKey("s", "lonestar", id.String())
	require.NoError(t, err)
	request := &fasthttp.RequestCtx{}
	request.Request.Header.Set(proxy.HeaderService, "s")
	request.Request.Header.Set(proxy.HeaderCustomer, "lonestar")
	status, _, _ := node.claims.ledger.Begin(time.Now(), key, contentHash(request), nil)
	require.Equal(t, dedup.Start, status)
	served := make(chan struct{})
	go func() {
		defer close(served)
		node.claims.serve(t.Context(), node.gate, request, id.String())
	}()
	time.Sleep(50 * time.Millisecond)
	node.claims.finish(key, dedup.Outcome{Kind: dedup.NotRun, Reason: string(limit.ReasonFull)})
	<-served
	require.Equal(t, "wrong version", string(request.Response.Header.Peek(proxy.HeaderReason)))
}
