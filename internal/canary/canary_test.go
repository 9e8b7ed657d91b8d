package canary

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// The users' targets.
const (
	wantInTimePercent     = 99
	wantRolledBackPercent = 99
	maxFalsePermille      = 1
)

// due is a deadline that is feasible at every rate tested.
const due = 45 * time.Minute

var kinds = []kind{badAtOnce, badLater, badLoaded, slow}

func TestGoodVersionsFinishInTime(t *testing.T) {
	for _, policy := range []rsrc.Policy{rsrc.PolicyCompletion, rsrc.PolicyBalanced, rsrc.PolicyRollback} {
		t.Run(string(policy), func(t *testing.T) {
			t.Parallel()
			summary := runMany(good, 60, due, 300, withPolicy(policy))
			t.Logf("in time %d, rolled back %d of %d", summary.inTime, summary.rolledBack, summary.runs)
			require.GreaterOrEqual(t, summary.inTime*100, wantInTimePercent*summary.runs)
			require.LessOrEqual(t, summary.early, CanaryShare)
		})
	}
}

func TestFalseRollbacks(t *testing.T) {
	summary := runMany(good, 40, due, 1000, withPolicy(rsrc.PolicyBalanced))
	t.Logf("rolled back %d of %d", summary.rolledBack, summary.runs)
	require.LessOrEqual(t, summary.rolledBack*1000, maxFalsePermille*summary.runs)
}

func TestBadVersionsAreRolledBack(t *testing.T) {
	for _, kind := range kinds {
		for _, policy := range []rsrc.Policy{rsrc.PolicyCompletion, rsrc.PolicyRollback} {
			t.Run(fmt.Sprintf("%s/%s", kind, policy), func(t *testing.T) {
				t.Parallel()
				summary := runMany(kind, 100, due, 200, withPolicy(policy))
				slices.Sort(summary.hurt)
				slices.Sort(summary.detect)
				t.Logf("rolled back %d of %d, calls hurt median %d worst %d, detected after median %s",
					summary.rolledBack, summary.runs, summary.hurt[100], summary.hurt[199], summary.detect[100])
				require.GreaterOrEqual(t, summary.rolledBack*100, wantRolledBackPercent*summary.runs)
				require.LessOrEqual(t, summary.early, CanaryShare)
			})
		}
	}
}

// BenchmarkCurve prints completion against rollback: each policy, a curve of
// margins, and the fixed ramp, for good and for bad versions.
func BenchmarkCurve(b *testing.B) {
	deciders := map[string]func(now time.Time) decider{
		"policy-completion":   withPolicy(rsrc.PolicyCompletion),
		"policy-balanced":     withPolicy(rsrc.PolicyBalanced),
		"policy-rollback":     withPolicy(rsrc.PolicyRollback),
		"baseline-fixed-ramp": func(now time.Time) decider { return &fixedRamp{stepped: now} },
	}
	for _, margin := range []float64{0.005, 0.01, 0.02, 0.04, 0.08} {
		deciders[fmt.Sprintf("margin=%.3f", margin)] = func(now time.Time) decider {
			return NewWeighted(Weight{Margin: margin, Level: 0.01}, modelTiming(), now)
		}
	}
	names := []string{}
	for name := range deciders {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, limit := range []time.Duration{5 * time.Minute, due} {
		for _, name := range names {
			for _, kind := range append([]kind{good, faint}, kinds...) {
				b.Run(fmt.Sprintf("due=%s/%s/%s", limit, name, kind), func(b *testing.B) {
					var summary summary
					for b.Loop() {
						summary = runMany(kind, 100, limit, 100, deciders[name])
					}
					slices.Sort(summary.hurt)
					slices.Sort(summary.detect)
					b.ReportMetric(float64(summary.inTime), "in-time%")
					b.ReportMetric(float64(summary.rolledBack), "rolled-back%")
					b.ReportMetric(float64(summary.hurt[50]), "hurt-median")
					b.ReportMetric(float64(summary.hurt[99]), "hurt-worst")
					b.ReportMetric(summary.detect[50].Seconds(), "detect-s")
				})
			}
		}
	}
}
