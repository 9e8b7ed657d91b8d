package canary

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// The bounds that users require.
const (
	wantInTimePercent         = 99
	wantRolledBackPercent     = 99
	maxFalseRollbacksPermille = 1
)

// feasibleTimeLimit is long enough for a rollout at every call rate tested.
const feasibleTimeLimit = 45 * time.Minute

var faultKinds = []kind{badAtOnce, badLater, badLoaded, slow}

func TestGoodVersionsFinishInTime(t *testing.T) {
	for _, policy := range []rsrc.Policy{rsrc.PolicyCompletion, rsrc.PolicyBalanced, rsrc.PolicyRollback} {
		t.Run(string(policy), func(t *testing.T) {
			t.Parallel()
			summary := simulateMany(good, 60, feasibleTimeLimit, 300, withPolicy(policy))
			t.Logf("in time %d, rolled back %d of %d", summary.inTime, summary.rolledBack, summary.runs)
			require.GreaterOrEqual(t, summary.inTime*100, wantInTimePercent*summary.runs)
			require.LessOrEqual(t, summary.maxCanaryShare, RouteCanaryShare)
		})
	}
}

func TestFalseRollbacks(t *testing.T) {
	summary := simulateMany(good, 40, feasibleTimeLimit, 1000, withPolicy(rsrc.PolicyBalanced))
	t.Logf("rolled back %d of %d", summary.rolledBack, summary.runs)
	require.LessOrEqual(t, summary.rolledBack*1000, maxFalseRollbacksPermille*summary.runs)
}

func TestBadVersionsAreRolledBack(t *testing.T) {
	for _, kind := range faultKinds {
		for _, policy := range []rsrc.Policy{rsrc.PolicyCompletion, rsrc.PolicyRollback} {
			t.Run(fmt.Sprintf("%s/%s", kind, policy), func(t *testing.T) {
				t.Parallel()
				summary := simulateMany(kind, 100, feasibleTimeLimit, 200, withPolicy(policy))
				slices.Sort(summary.affectedCalls)
				slices.Sort(summary.timeToEnd)
				t.Logf("rolled back %d of %d, affected calls median %d worst %d, detected after median %s",
					summary.rolledBack, summary.runs, summary.affectedCalls[100], summary.affectedCalls[199], summary.timeToEnd[100])
				require.GreaterOrEqual(t, summary.rolledBack*100, wantRolledBackPercent*summary.runs)
				require.LessOrEqual(t, summary.maxCanaryShare, RouteCanaryShare)
			})
		}
	}
}

// BenchmarkCurve reports how often rollouts of good and of bad versions complete
// in time and how often they are rolled back, for each policy, for several
// margins and for the fixed ramp.
func BenchmarkCurve(b *testing.B) {
	deciders := map[string]func(now time.Time) decider{
		"policy-completion":   withPolicy(rsrc.PolicyCompletion),
		"policy-balanced":     withPolicy(rsrc.PolicyBalanced),
		"policy-rollback":     withPolicy(rsrc.PolicyRollback),
		"baseline-fixed-ramp": func(now time.Time) decider { return &fixedRamp{stepStarted: now} },
	}
	for _, margin := range []float64{0.005, 0.01, 0.02, 0.04, 0.08} {
		deciders[fmt.Sprintf("margin=%.3f", margin)] = func(now time.Time) decider {
			return NewWithCriteria(Criteria{Margin: margin, Level: 0.01}, simulationTiming(), now)
		}
	}
	names := []string{}
	for name := range deciders {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, limit := range []time.Duration{5 * time.Minute, feasibleTimeLimit} {
		for _, name := range names {
			for _, kind := range append([]kind{good, slightlyBad}, faultKinds...) {
				b.Run(fmt.Sprintf("due=%s/%s/%s", limit, name, kind), func(b *testing.B) {
					var summary summary
					for b.Loop() {
						summary = simulateMany(kind, 100, limit, 100, deciders[name])
					}
					slices.Sort(summary.affectedCalls)
					slices.Sort(summary.timeToEnd)
					b.ReportMetric(float64(summary.inTime), "in-time%")
					b.ReportMetric(float64(summary.rolledBack), "rolled-back%")
					b.ReportMetric(float64(summary.affectedCalls[50]), "hurt-median")
					b.ReportMetric(float64(summary.affectedCalls[99]), "hurt-worst")
					b.ReportMetric(summary.timeToEnd[50].Seconds(), "detect-s")
				})
			}
		}
	}
}
