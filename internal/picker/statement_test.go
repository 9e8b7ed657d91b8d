package picker

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/lease"
)

// TestLongCallsGoToALimitedTargetOnceSlotsAreScarce has a target without a limit in
// the node's own zone and a limited one in another zone, both with capacity.
func TestLongCallsGoToALimitedTargetOnceSlotsAreScarce(t *testing.T) {
	now := time.Unix(1000, 0)
	picker := New("a", rand.New(rand.NewPCG(1, 1)))
	picker.SetTargets(now, []Target{
		{Name: "free", Zone: "a", Service: "s", Version: "v", Slots: 12},
		{Name: "limited", Zone: "b", Service: "s", Version: "v", Slots: 12, Limit: lease.NewRateLimit(20)},
	})
	now = now.Add(slowStartWindow)
	for range 4 * serviceTimeDecay {
		picker.RecordServiceTime("s", "long", 300*time.Millisecond)
		picker.RecordServiceTime("s", "short", 20*time.Millisecond)
	}
	chosen := func(class string, inFlight int) string {
		picker.SetLoad(now, "free", Load{InFlight: inFlight, ServiceTime: 100 * time.Millisecond})
		picker.SetLoad(now, "limited", Load{ServiceTime: 100 * time.Millisecond})
		choice, ok := picker.Choose(now, Criteria{Service: "s", Class: class})
		require.True(t, ok)
		picker.Done(now, choice.Target.Name, ResultCanceled, 0, nil)
		return choice.Target.Name
	}
	require.Equal(t, "free", chosen("long", 2), "the own zone first while slots are free")
	require.Equal(t, "limited", chosen("long", 8))
	require.Equal(t, "free", chosen("short", 8))
	require.Equal(t, "limited", chosen("short", 12), "no slot is free")
	require.Equal(t, "limited", chosen("long", 12))
}

// TestAnInstanceThatIsLeavingIsNotChosen checks that the statement holds for one
// instance, also while its node is away, and that it is forgotten in the end.
func TestAnInstanceThatIsLeavingIsNotChosen(t *testing.T) {
	now := time.Unix(1000, 0)
	target := Target{Name: "t", Zone: "a", Service: "s", Version: "v", Slots: 12, ID: "i-1", Born: 1}
	picker := New("a", rand.New(rand.NewPCG(1, 1)))
	isChosen := func(targets ...Target) bool {
		picker.SetTargets(now, targets)
		choice, ok := picker.Choose(now, Criteria{Service: "s"})
		if ok {
			picker.Done(now, choice.Target.Name, ResultCanceled, 0, nil)
		}
		return ok
	}
	require.True(t, isChosen(target))
	picker.Observe(now, target.instance(), lease.RateLimit{}, true)
	require.False(t, isChosen(target))
	require.False(t, isChosen())
	now = now.Add(time.Minute)
	require.False(t, isChosen(target), "back under the same identity")
	next := target
	next.Born = 2
	require.True(t, isChosen(next), "the next start under the same ID")
	now = now.Add(2 * statementRetention)
	require.True(t, isChosen(next))
	require.Empty(t, picker.statements)
}

// TestTheLatestWordOnALimitCounts checks the order of records and responses.
func TestTheLatestWordOnALimitCounts(t *testing.T) {
	now := time.Unix(1000, 0)
	target := Target{Name: "t", Zone: "a", Service: "s", Version: "v", Slots: 12, ID: "i-1", Born: 1}
	picker := New("a", rand.New(rand.NewPCG(1, 1)))
	limitOf := func(target Target) float64 {
		picker.SetTargets(now, []Target{target})
		choice, ok := picker.Choose(now, Criteria{Service: "s"})
		require.True(t, ok)
		picker.Done(now, choice.Target.Name, ResultCanceled, 0, nil)
		perSecond, _ := choice.Target.Limit.PerSecond()
		return perSecond
	}
	require.Zero(t, limitOf(target))
	picker.Observe(now, target.instance(), lease.NewRateLimit(20), false)
	require.EqualValues(t, 20, limitOf(target), "the record has not changed since")
	target.Limit = lease.NewRateLimit(5)
	require.EqualValues(t, 5, limitOf(target), "a changed record")
	picker.Observe(now, target.instance(), lease.RateLimit{}, false)
	require.Zero(t, limitOf(target), "a response after the end of the limit")
	picker.Observe(now, target.instance(), lease.NewRateLimit(7), false)
	picker.SetTargets(now, nil)
	require.EqualValues(t, 7, limitOf(target), "the node was away, the statement is remembered")
}
