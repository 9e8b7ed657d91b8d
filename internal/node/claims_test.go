package node

import (
	"context"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
)

// TestWinningAttemptIsReleased lets a claim be won by a later attempt than the one
// that it was requested for. The winner is reported, and after its release the key
// is unclaimed.
func TestWinningAttemptIsReleased(t *testing.T) {
	node := startNode(t, "n1", witnessConfig(t, "n1"))
	// Witnesses abstain on keys issued about the time of their start.
	time.Sleep(dedup.MaxClockSkew + 200*time.Millisecond)
	id, err := uuid.NewV7()
	require.NoError(t, err)
	key, err := dedup.ParseKey("s", "", id.String())
	require.NoError(t, err)
	claims := node.claims
	_, stale, _ := claims.ledger.Begin(node.now(), key, 1, func(dedup.Outcome) {})
	claims.ledger.Abandon(key)
	attempt := claims.ledger.NewAttempt(key)
	claims.witness.Claim(node.now(), key, stale)
	_, winner, won := claims.claim(context.Background(), key, attempt)
	require.True(t, won)
	require.NotEqual(t, attempt, winner)
	claims.releaseClaims(key, winner)
	require.Equal(t, dedup.NotRun, claims.lookup(context.Background(), key).Kind)
}
