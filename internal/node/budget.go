package node

import (
	"github.com/vanillapulley/vanillapulley/internal/retry"
)

// Parts of the fleet's retry budget that the nodes may spend.
const (
	// shareSpent leaves room for calls that a repeated call makes in turn: they
	// count as repeats at the service that they go to.
	shareFraction = 0.5
	// slackSpent leaves room for nodes that do not know of each other yet.
	slackFraction = 0.8
)

// retrySettings divides the budget of the settings among the nodes. Repeats in
// any window are at most the bursts of all nodes and the share of the calls in
// it, so no node has to ask another. The node's lock must be held.
func (node *Node) retrySettings() retry.Settings {
	settings := retry.DefaultSettings()
	configured := node.settings.Retry
	if configured.Share > 0 {
		settings.BudgetPermille = int(configured.Share * shareFraction * 1000)
	}
	if configured.Slack > 0 {
		settings.Burst = max(1, int(configured.Slack*slackFraction/float64(node.peers)))
	}
	return settings
}

// budget returns the retry budget of a service. The node's lock must be held.
func (node *Node) budget(service string) *retry.Budget {
	serviceBudget, ok := node.budgets[service]
	if !ok {
		serviceBudget = retry.New(node.retrySettings(), node.random)
		node.budgets[service] = serviceBudget
	}
	return serviceBudget
}
