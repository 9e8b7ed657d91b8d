package node

import (
	"github.com/vanillapulley/vanillapulley/internal/retry"
)

// Parts of the fleet's retry budget that the nodes may spend.
const (
	// shareSpent leaves room for calls that a repeated call makes in turn: they
	// count as repeats at the service that they go to.
	shareSpent = 0.5
	// slackSpent leaves room for nodes that do not know of each other yet.
	slackSpent = 0.8
)

// retrySettings divides the budget of the settings among the nodes. Repeats in
// any window are at most the bursts of all nodes and the share of the calls in
// it, so no node has to ask another. The node's lock must be held.
func (node *Node) retrySettings() retry.Settings {
	settings := retry.DefaultSettings()
	stated := node.settings.Retry
	if stated.Share > 0 {
		settings.BudgetPermille = int(stated.Share * shareSpent * 1000)
	}
	if stated.Slack > 0 {
		settings.Burst = max(1, int(stated.Slack*slackSpent/float64(node.peers)))
	}
	return settings
}

// budget returns the retry budget of a service. The node's lock must be held.
func (node *Node) budget(service string) *retry.Budget {
	held, ok := node.budgets[service]
	if !ok {
		held = retry.New(node.retrySettings(), node.random)
		node.budgets[service] = held
	}
	return held
}
