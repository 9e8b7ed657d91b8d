package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func newBudget(settings Settings) *Budget { return New(settings, rand.New(rand.NewPCG(1, 1))) }

func TestOnlySafeCallsAreRetried(t *testing.T) {
	cases := []struct {
		name      string
		attempt   Attempt
		remaining time.Duration
		allowed   bool
	}{
		{"not run", Attempt{NotRun: true, Attempts: 1}, time.Second, true},
		{"may have run", Attempt{Attempts: 1}, time.Second, false},
		{"idempotent", Attempt{Idempotent: true, Attempts: 1}, time.Second, true},
		{"idempotent in a retry", Attempt{Idempotent: true, InRetry: true, Attempts: 1}, time.Second, false},
		{"not run in a retry", Attempt{NotRun: true, InRetry: true, Attempts: 1}, time.Second, true},
		{"too many attempts", Attempt{NotRun: true, Attempts: 4}, time.Second, false},
		{"no time left", Attempt{NotRun: true, Attempts: 1, RetryAfter: time.Second}, time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, allowed := newBudget(DefaultSettings()).AllowRetry(c.attempt, c.remaining)
			require.Equal(t, c.allowed, allowed)
		})
	}
}

// leafCalls returns the number of calls that reach the last service of a chain
// because of one call to the given hop. The last service always fails, and each
// hop retries on its own.
func leafCalls(budgets []*Budget, hop int, inRetry bool) int {
	if hop == len(budgets) {
		return 1
	}
	leaves := 0
	budgets[hop].RecordCall(inRetry)
	for attempts := 1; ; attempts++ {
		leaves += leafCalls(budgets, hop+1, inRetry || attempts > 1)
		attempt := Attempt{Idempotent: true, InRetry: inRetry, Attempts: attempts}
		if _, allowed := budgets[hop].AllowRetry(attempt, time.Second); !allowed {
			return leaves
		}
	}
}

// amplification returns the number of calls that reach the last service of a
// chain per call to the first hop.
func amplification(depth, calls int, settings Settings) float64 {
	var budgets []*Budget
	for range depth {
		budgets = append(budgets, newBudget(settings))
	}
	leaves := 0
	for range calls {
		leaves += leafCalls(budgets, 0, false)
	}
	return float64(leaves) / float64(calls)
}

// TestRetriesDoNotMultiplyInAChain checks a chain of 15 hops, the depth of the
// users' call chains. Each hop may retry original calls up to its budget, but
// not calls that are already part of a retry by an earlier hop.
func TestRetriesDoNotMultiplyInAChain(t *testing.T) {
	settings := DefaultSettings()
	got := amplification(15, 3000, settings)
	bound := 1 + 15*float64(settings.BudgetPermille)/tokensPerRetry
	t.Logf("15 hops: %.2f leaf calls per call, bound %.2f", got, bound+0.1)
	require.LessOrEqual(t, got, bound+0.1)
}

// BenchmarkAmplification compares the default budget with one that is never
// exhausted, at several depths.
func BenchmarkAmplification(b *testing.B) {
	for _, depth := range []int{1, 3, 5} {
		neverExhausted := Settings{BudgetPermille: 3000, Burst: 1 << 30, MaxAttempts: 3, Backoff: 1, MaxBackoff: 1}
		for name, settings := range map[string]Settings{"budget": DefaultSettings(), "plain": neverExhausted} {
			b.Run(name, func(b *testing.B) {
				total := 0.0
				for b.Loop() {
					total = amplification(depth, 200, settings)
				}
				b.ReportMetric(total, "leaf/call")
				b.ReportMetric(float64(depth), "depth")
			})
		}
	}
}
