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
