package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func limitOf(tracker *Tracker) float64 {
	if perSecond, limited := tracker.RateLimit().PerSecond(); limited {
		return perSecond
	}
	return -1
}

// TestLimitEndsWithALaterResponse has responses overtake each other: a response to a
// call that was sent before the limit was stated says nothing about its end.
func TestLimitEndsWithALaterResponse(t *testing.T) {
	start := time.Unix(100, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	upstream := notice("a", 10, 1)
	tracker := New()
	tracker.Renew(start, upstream, ttl)
	require.False(t, tracker.Observe(at(10), at(0), upstream, Statement{}))
	require.True(t, tracker.Observe(at(20), at(5), upstream, Statement{Limit: NewRateLimit(20)}))
	require.False(t, tracker.Observe(at(21), at(19), upstream, Statement{}), "sent before the limit was stated")
	require.EqualValues(t, 20, limitOf(tracker))
	require.True(t, tracker.Observe(at(30), at(22), upstream, Statement{Limit: NewRateLimit(5)}), "a lower limit")
	require.False(t, tracker.Observe(at(31), at(23), upstream, Statement{LimitUnreadable: true}), "no word that the limit ended")
	require.EqualValues(t, 5, limitOf(tracker))
	since, _ := tracker.LimitOrigin()
	require.Equal(t, at(20), since)
	require.True(t, tracker.Observe(at(50), at(40), upstream, Statement{}))
	require.EqualValues(t, -1, limitOf(tracker))
}

// TestStatementsBelongToOneIncarnation checks that a limit neither outlives its
// incarnation, also under the same ID, nor is stated by an earlier one.
func TestStatementsBelongToOneIncarnation(t *testing.T) {
	now := time.Unix(100, 0)
	first, second := notice("a", 10, 5), notice("a", 11, 1)
	tracker := New()
	tracker.Renew(now, first, ttl)
	require.True(t, tracker.Observe(now, now, first, Statement{Limit: NewRateLimit(0)}))
	tracker.Renew(now, notice("a", 10, 6), ttl)
	require.EqualValues(t, 0, limitOf(tracker), "a notice of the same incarnation")
	tracker.Renew(now, second, ttl)
	require.EqualValues(t, -1, limitOf(tracker))
	require.False(t, tracker.Observe(now, now, first, Statement{Limit: NewRateLimit(3), Leaving: true}))
	current, _ := tracker.Current()
	require.False(t, current.Draining)
}

// TestLeavingIsFinalForOneIncarnation checks that no later notice of an upstream
// that stated that it is leaving makes it accept work again.
func TestLeavingIsFinalForOneIncarnation(t *testing.T) {
	now := time.Unix(100, 0)
	tracker := New()
	tracker.Renew(now, notice("a", 10, 5), ttl)
	require.True(t, tracker.Observe(now, now, notice("a", 10, 4), Statement{Leaving: true}))
	tracker.Renew(now, notice("a", 10, 6), ttl)
	current, _ := tracker.Current()
	require.True(t, current.Draining)
	tracker.Renew(now, notice("a", 11, 1), ttl)
	current, _ = tracker.Current()
	require.False(t, current.Draining)

	tracker.MarkAbsent()
	require.True(t, tracker.Observe(now, now, notice("a", 11, 1), Statement{Leaving: true}), "stated while its notices are late")
	tracker.Renew(now, notice("a", 11, 2), ttl)
	current, _ = tracker.Current()
	require.True(t, current.Draining)
}
