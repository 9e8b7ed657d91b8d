package quota

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRetire guards against the removal of a member whose lease a later leader would not
// know of, and against a lease that a member gets while it is being removed.
func TestRetire(t *testing.T) {
	limits := map[string]Limit{"a": {Rate: 100}}
	lead := func(now time.Duration, members ...string) *Allotment {
		allotment := NewAllotment(now, DefaultSettings(), members)
		allotment.SetLimits(limits)
		return allotment
	}
	rates := map[string]float64{}
	renew := func(allotment *Allotment, now time.Duration, home *Home) error {
		grant, err := allotment.Renew(now, home.Renewal(now))
		if err != nil {
			home.Lost()
			return err
		}
		home.Apply(now, grant)
		for _, share := range grant.Shares {
			rates[home.name] = share.Limit.Rate
		}
		return nil
	}
	homes := []*Home{NewHome(0, "x", 1), NewHome(0, "y", 2), NewHome(0, "z", 3)}
	first := lead(0, "x", "y", "z")
	require.False(t, first.Retire(0, "x"), "x may hold a lease of an earlier leader")
	for now := time.Duration(0); now < 6*time.Second; now += 100 * time.Millisecond {
		for _, home := range homes {
			require.NoError(t, renew(first, now, home))
		}
	}
	now := 6 * time.Second
	require.Positive(t, rates["x"])
	require.False(t, first.Retire(now, "x"), "x holds a lease")

	// A leader that knows of x leaves its share alone; one that does not gives it away.
	total := func(members ...string) float64 {
		second := lead(now, members...)
		sum := rates["x"]
		for _, home := range homes[1:] {
			copied := *home
			copied.Lost()
			for range 2 {
				grant, err := second.Renew(now, copied.Renewal(now))
				require.NoError(t, err)
				for _, share := range grant.Shares {
					rates[home.name] = share.Limit.Rate
				}
			}
		}
		return sum + rates["y"] + rates["z"]
	}
	require.LessOrEqual(t, total("x", "y", "z"), 100.0001)
	require.Greater(t, total("y", "z"), 100.0001, "the order of events does not show the loss of the protection")

	now += LeaseTime + clockMargin
	require.True(t, first.Retire(now, "x"))
	require.Error(t, renew(first, now, homes[0]), "x is being removed")
	first.SetMembers([]string{"x", "y", "z"})
	require.Error(t, renew(first, now, homes[0]), "x has not been removed yet")
	first.SetMembers([]string{"y", "z"})
	first.SetMembers([]string{"x", "y", "z"})
	require.NoError(t, renew(first, now, homes[0]), "x was added again")
}
