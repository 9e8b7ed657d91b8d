package limit_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/limit"
)

// TestABurstWithTimeIsServed plays what an upstream meets that serves alone
// after a rollout: a burst beyond its slots whose calls have time to wait.
func TestABurstWithTimeIsServed(t *testing.T) {
	const (
		slots   = 12
		burst   = 200
		service = 20 * time.Millisecond
		allowed = 5 * time.Second
	)
	now := time.Unix(1000, 0)
	gate := limit.New(slots, config.DefaultQueue)
	running, refused := 0, 0
	for range burst {
		ticket := limit.NewTicket("lonestar", now.Add(allowed), func(reason limit.Reason) {
			if reason != "" {
				refused++
			}
		})
		switch verdict, _ := gate.Arrive(now, ticket); verdict {
		case limit.Run:
			running++
		case limit.Refuse:
			refused++
		}
	}
	require.Equal(t, slots, running)
	for gate.InFlight() > 0 {
		now = now.Add(service / slots)
		gate.Done(now, 0, service)
	}
	require.Zero(t, refused)
}
