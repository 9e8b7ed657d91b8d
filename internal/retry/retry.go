// Package retry decides whether a failed attempt may be repeated: a budget
// for each node that is a share of its calls, at most one retry in a chain of
// calls for work that may have run, and backoff with full jitter.
//
// The package has no clock, socket or goroutine.
package retry

import (
	"math/rand/v2"
	"time"
)

// Attempt is how one try of a call ended.
type Attempt struct {
	// Idempotent is true when a second run does no harm.
	Idempotent bool
	// NotRun is true when it is certain that the upstream did not see the call.
	NotRun bool
	// InRetry is true when the call is itself part of a retry further up the
	// chain.
	InRetry bool
	// Tries counts the tries so far, this one included.
	Tries int
	// RetryAfter is the pause the refusing side asked for, or zero.
	RetryAfter time.Duration
}

// Settings bound the retries of a node.
type Settings struct {
	// BudgetPermille is how many retries a thousand calls may add.
	BudgetPermille int
	// Burst is how many retries may follow without any call.
	Burst int
	// MaxTries bounds the tries of one call.
	MaxTries int
	// Backoff is the mean pause before the first retry; it doubles each time.
	Backoff time.Duration
	// MaxBackoff bounds the pause.
	MaxBackoff time.Duration
}

// DefaultSettings allow one retry for every ten calls.
func DefaultSettings() Settings {
	return Settings{
		BudgetPermille: 100,
		Burst:          10,
		MaxTries:       4,
		Backoff:        2 * time.Millisecond,
		MaxBackoff:     100 * time.Millisecond,
	}
}

const permille = 1000

// Budget decides for one node. It is not safe for concurrent use.
type Budget struct {
	settings Settings
	random   *rand.Rand
	// tokens is in thousandths of a retry.
	tokens int
	denied uint64
}

// New returns a budget with its burst available.
func New(settings Settings, random *rand.Rand) *Budget {
	return &Budget{settings: settings, random: random, tokens: settings.Burst * permille}
}

// SetSettings changes the settings; what is left is cut to the new burst.
func (budget *Budget) SetSettings(settings Settings) {
	budget.settings = settings
	budget.tokens = min(budget.tokens, settings.Burst*permille)
}

// Denied returns how many retries the budget has refused.
func (budget *Budget) Denied() uint64 { return budget.denied }

// RecordCall adds one call's share to the budget. A call that is part of a retry
// further up the chain adds nothing, or the shares of all hops would multiply.
func (budget *Budget) RecordCall(inRetry bool) {
	if inRetry {
		return
	}
	budget.tokens = min(budget.tokens+budget.settings.BudgetPermille, budget.settings.Burst*permille)
}

// AllowRetry reports whether another try may be made, and after which pause. The
// pause must fit into remaining.
func (budget *Budget) AllowRetry(attempt Attempt, remaining time.Duration) (time.Duration, bool) {
	safe := attempt.NotRun || attempt.Idempotent && !attempt.InRetry
	if !safe || attempt.Tries >= budget.settings.MaxTries {
		return 0, false
	}
	pause := max(attempt.RetryAfter, budget.pause(attempt.Tries))
	if pause >= remaining {
		return 0, false
	}
	if budget.tokens < permille {
		budget.denied++
		return 0, false
	}
	budget.tokens -= permille
	return pause, true
}

// pause is random between zero and a bound that doubles with each try.
func (budget *Budget) pause(tries int) time.Duration {
	bound := min(budget.settings.MaxBackoff, budget.settings.Backoff<<min(tries, 10))
	return time.Duration(budget.random.Int64N(int64(bound) + 1))
}
