package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/limit"
)

// TestABurstIsServedIfDeadlinesAllow checks that no call is refused when a
// burst exceeds the slots of the only remaining upstream after a rollout, as
// long as the calls' deadlines leave time to wait.
func TestABurstIsServedIfDeadlinesAllow(t *testing.T) {
	const (
		slots       = 12
		burst       = 200
		serviceTime = 20 * time.Millisecond
		timeout     = 5 * time.Second
	)
	now := time.Unix(1000, 0)
	limiter := limit.New(slots, config.DefaultQueue)
	running, refused := 0, 0
	for range burst {
		ticket := limit.NewTicket("lonestar", now.Add(timeout), func(reason limit.Reason) {
			if reason != "" {
				refused++
			}
		})
		switch decision, _ := limiter.Arrive(now, ticket); decision {
		case limit.Run:
			running++
		case limit.Refuse:
			refused++
		}
	}
	require.Equal(t, slots, running)
	for limiter.InFlight() > 0 {
		now = now.Add(serviceTime / slots)
		limiter.Done(now, 0, serviceTime)
	}
	require.Zero(t, refused)
}
