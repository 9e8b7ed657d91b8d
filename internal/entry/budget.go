package entry

import (
	"github.com/vanillapulley/vanillapulley/internal/retry"
)

// Fractions of the configured retry budget that the nodes spend.
const (
	// shareFraction leaves budget for nested calls made by a retried call,
	// which count as retries at the service they go to.
	shareFraction = 0.5
	// slackFraction leaves budget for nodes that do not know of each other yet.
	slackFraction = 0.8
)

// retrySettings returns this node's part of the configured retry budget. The
// number of retries in any window is at most the sum of all nodes' bursts plus
// the configured share of the calls in that window, so nodes do not need to
// coordinate. The entry's lock must be held.
func (entry *Entry) retrySettings() retry.Settings {
	settings := retry.DefaultSettings()
	configured := entry.settings.Retry
	if configured.Share > 0 {
		settings.BudgetPermille = int(configured.Share * shareFraction * 1000)
	}
	if configured.Slack > 0 {
		settings.Burst = max(1, int(configured.Slack*slackFraction/float64(entry.peers)))
	}
	return settings
}

// budget returns the retry budget of a service and creates it if necessary. The
// entry's lock must be held.
func (entry *Entry) budget(service string) *retry.Budget {
	serviceBudget, ok := entry.budgets[service]
	if !ok {
		serviceBudget = retry.New(entry.retrySettings(), entry.random)
		entry.budgets[service] = serviceBudget
	}
	return serviceBudget
}
