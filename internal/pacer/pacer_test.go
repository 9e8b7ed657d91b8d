package pacer

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const window = 4 * time.Second

// most returns the largest number of starts within one window.
func most(starts []time.Time) int {
	largest, first := 0, 0
	for i, at := range starts {
		for at.Sub(starts[first]) >= window {
			first++
		}
		largest = max(largest, i-first+1)
	}
	return largest
}

// TestNoWindowExceedsTheLimit offers far more calls than the limit, in bursts and
// after pauses. No window may hold more than the limit, the burst and one call.
func TestNoWindowExceedsTheLimit(t *testing.T) {
	for _, perSecond := range []float64{0.5, 3, 5.4, 23.6, 170, 2000} {
		random := rand.New(rand.NewPCG(1, uint64(perSecond)))
		now := time.Unix(1000, 0)
		var pacer Pacer
		pacer.SetLimit(now, perSecond)
		var starts []time.Time
		for now.Before(time.Unix(1060, 0)) {
			for range 1 + random.IntN(40) {
				if pacer.Take(now) {
					starts = append(starts, now)
				}
			}
			step := time.Duration(random.Int64N(int64(2 * time.Millisecond)))
			if random.IntN(500) == 0 {
				step = time.Duration(random.Int64N(int64(5 * time.Second)))
			}
			now = now.Add(step)
		}
		require.LessOrEqual(t, float64(most(starts)), perSecond*(window+burst).Seconds()+1, perSecond)
	}
}

// TestTheLimitIsReached checks that calls that always wait get the whole limit.
func TestTheLimitIsReached(t *testing.T) {
	now := time.Unix(1000, 0)
	var pacer Pacer
	pacer.SetLimit(now, 23.6)
	calls := 0
	for end := now.Add(10 * time.Second); now.Before(end); now = now.Add(time.Millisecond) {
		if pacer.Take(now) {
			calls++
		}
	}
	require.GreaterOrEqual(t, calls, 235)
}

// TestDelayIsTrue checks that a call that comes back after the stated delay may
// start, and that it may not start earlier.
func TestDelayIsTrue(t *testing.T) {
	now := time.Unix(1000, 0)
	var pacer Pacer
	require.Zero(t, pacer.Delay(now, 100), "no limit")
	pacer.SetLimit(now, 2)
	require.True(t, pacer.Take(now))
	require.False(t, pacer.Take(now))
	delay := pacer.Delay(now, 1)
	require.Equal(t, 500*time.Millisecond, delay)
	require.Equal(t, 1500*time.Millisecond, pacer.Delay(now, 3))
	require.False(t, pacer.Take(now.Add(delay-time.Millisecond)))
	require.True(t, pacer.Take(now.Add(delay)))
	pacer.Return()
	require.True(t, pacer.Take(now.Add(delay)), "the call did not start")
}

// TestChangesOfTheLimit checks the way from a limit close to zero to a high one, the
// end of a limit and a limit that falls.
func TestChangesOfTheLimit(t *testing.T) {
	now := time.Unix(1000, 0)
	var pacer Pacer
	pacer.SetLimit(now, 0)
	require.True(t, pacer.Take(now))
	require.Equal(t, 2*time.Second, pacer.Delay(now, 1), "one call in 2 s even under a limit of zero")
	pacer.SetLimit(now, 100)
	require.LessOrEqual(t, pacer.Delay(now, 1), burst, "the wait under the old limit does not last")
	pacer.Clear()
	require.True(t, pacer.Take(now))
	require.Zero(t, pacer.Delay(now, 1000))
	pacer.SetLimit(now, 1000)
	for pacer.Take(now) {
	}
	pacer.SetLimit(now, 1)
	calls := 0
	for at := now; at.Before(now.Add(window)); at = at.Add(time.Millisecond) {
		if pacer.Take(at) {
			calls++
		}
	}
	require.LessOrEqual(t, calls, 5)
}
