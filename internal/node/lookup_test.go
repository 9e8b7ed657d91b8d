package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// clockLag is how far the second node's clock is behind. It exceeds the clock
// skew allowed for keys.
const clockLag = 3 * dedup.MaxClockSkew

// TestAKeyFromTheFutureIsLookedUp runs a keyed call at one node and repeats it
// at a node whose clock is behind, so that the key's time is in the future
// there. The second node must return the first response and must not report
// that the call did not run.
func TestAKeyFromTheFutureIsLookedUp(t *testing.T) {
	config := witnessConfig(t, "n1", "n2")
	first := startNode(t, "n1", config)
	lagging := startNodeAt(t, "n2", config, func() time.Time { return time.Now().Add(-clockLag) })
	startUpstream(t, first, 0)
	startUpstream(t, lagging, 0)
	for _, pair := range [][2]*Node{{first, first}, {first, lagging}, {lagging, first}, {lagging, lagging}} {
		introduce(t, pair[0], pair[1])
	}
	// Witnesses abstain on keys issued about the time of their start.
	time.Sleep(dedup.MaxClockSkew + 200*time.Millisecond)
	key, err := uuid.NewV7()
	require.NoError(t, err)
	placeOrder := func(node *Node) (int, string) {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+node.settings.Callers+"/order", nil)
		require.NoError(t, err)
		request.Header.Set("Idempotency-Key", key.String())
		response, err := http.DefaultClient.Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		return response.StatusCode, response.Header.Get("Vp-Outcome")
	}
	status, outcome := placeOrder(first)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "ran", outcome)
	for range 5 {
		status, outcome = placeOrder(lagging)
		require.Equal(t, "ran", outcome, "status %d", status)
		require.Equal(t, http.StatusOK, status)
	}
}

// witnessConfig returns a configuration with one service and the given witnesses.
func witnessConfig(t *testing.T, witnesses ...string) *rsrc.Config {
	config, err := rsrc.EmptyConfig().Apply(1, rsrc.Change{Put: []rsrc.Resource{
		rsrc.NewService("s", rsrc.PolicyBalanced),
		rsrc.NewVersion("s", "v1", 1),
		rsrc.NewRoute("r", "s", "/", "v1", time.Minute),
		rsrc.NewWitnesses(rsrc.Placement{Nodes: witnesses}),
	}})
	require.NoError(t, err)
	return config
}

// startNodeAt is startNode with a given clock.
func startNodeAt(t *testing.T, name string, config *rsrc.Config, now func() time.Time) *Node {
	node, err := New(Deps{Settings: nodeSettings(t, name), Logs: logs.Discard(), Stats: stats.New(), Now: now, Random: random})
	require.NoError(t, err)
	return runNode(t, node, config)
}
