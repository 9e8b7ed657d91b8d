package canary

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestExactComparison checks the test against p-values that were worked out by
// hand from the hypergeometric distribution.
func TestExactComparison(t *testing.T) {
	for name, c := range map[string]struct {
		counts sample
		level  float64
		want   bool
	}{
		"one failure never counts":    {sample{oldTrials: 1000, newTrials: 1, newFailures: 1}, 0.5, false},
		"2 of 10, none of 10 (0.237)": {sample{oldTrials: 10, newTrials: 10, newFailures: 2}, 0.236, false},
		"2 of 10, none of 10, above":  {sample{oldTrials: 10, newTrials: 10, newFailures: 2}, 0.238, true},
		"3 of 5, none of 5 (0.083)":   {sample{oldTrials: 5, newTrials: 5, newFailures: 3}, 0.083, false},
		"3 of 5, none of 5, above":    {sample{oldTrials: 5, newTrials: 5, newFailures: 3}, 0.084, true},
		"the same rate":               {sample{oldTrials: 100, oldFailures: 10, newTrials: 100, newFailures: 10}, 0.4, false},
		"the old version fails more":  {sample{oldTrials: 100, oldFailures: 30, newTrials: 100, newFailures: 5}, 0.9, false},
		"no calls of the old version": {sample{newTrials: 20, newFailures: 5}, 0.03, false},
	} {
		t.Run(name, func(t *testing.T) { require.Equal(t, c.want, c.counts.failsMoreOften(c.level)) })
	}
}

// TestBlocksToReport counts how many blocks of the largest effect it takes until a
// version is reported as worse, from the initial capital and with the bets of a
// long rollout.
func TestBlocksToReport(t *testing.T) {
	const manyRows = 100
	for name, c := range map[string]struct {
		maxLogFactor float64
		rows         int
		want         int
	}{
		"errors at the start":      {maxErrorLogFactor, 1, 3},
		"errors in a long rollout": {maxErrorLogFactor, manyRows, 2},
		"slow at the start":        {maxSlowLogFactor, 1, 6},
		"slow in a long rollout":   {maxSlowLogFactor, manyRows, 6},
	} {
		t.Run(name, func(t *testing.T) {
			test := newEProcess(c.maxLogFactor, 0.5)
			for range c.rows - 1 {
				test.addBets()
			}
			blocks := 0
			for ; test.capital() < 2/falsePositiveRate; blocks++ {
				test.addLogFactor(0, 100)
			}
			require.Equal(t, c.want, blocks)
		})
	}
}
