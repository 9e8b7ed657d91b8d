package node

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// TestGuardWaitsForLeaderBeforeTripping checks that a node that observes a bad
// version keeps that version's share for as long as the leader needs to detect
// the fault, and only then sets the share to zero. A guard that trips
// immediately deprives the leader of evidence.
func TestGuardWaitsForLeaderBeforeTripping(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	node, err := New(Deps{Settings: nodeSettings(t, "n1"), Logs: logs.Discard(), Stats: stats.New(), Now: func() time.Time { return now }, Random: random})
	require.NoError(t, err)
	defer node.rpcPool.Release()
	rollout, err := rsrc.NewRollout("r", "v1", "v2", now.Add(time.Hour), now).Advance(rsrc.Step{State: rsrc.StateCanary, Share: 50})
	require.NoError(t, err)
	rollout = rollout.WithRevision(7).(rsrc.Rollout)

	succeeded := result{outcome: proxy.OutcomeRan, pickerResult: picker.ResultSucceeded}
	failed := result{outcome: proxy.OutcomeRan, pickerResult: picker.ResultFailed}
	shareAt := map[time.Duration]int{}
	for elapsed := time.Duration(0); elapsed < 6*time.Second; elapsed += guardInterval {
		for range 40 {
			node.guard.observe(rollout, "v1", succeeded, time.Millisecond)
		}
		for range 3 {
			node.guard.observe(rollout, "v2", failed, time.Millisecond)
		}
		node.guard.collect()
		shareAt[elapsed] = node.guard.share(rollout)
		now = now.Add(guardInterval)
	}
	require.Equal(t, 50, shareAt[2*time.Second], "the leader may still be deciding")
	require.Zero(t, shareAt[5*time.Second], "the leader has not decided in time")
	next := rollout.WithRevision(9).(rsrc.Rollout)
	require.Equal(t, 50, node.guard.share(rsrc.RestoreRollout("r", "v1", "v2", next.Deadline(), 9, time.Time{}, next.Steps())), "the next rollout is not affected")
}
