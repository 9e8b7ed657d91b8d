// Package retry decides whether a failed attempt may be retried. Each node has
// a retry budget that is a share of its calls. Work that may have run is
// retried only if it is idempotent and the call is not itself part of a retry
// by an earlier hop. The backoff uses full jitter.
//
// The package uses no clock, socket or goroutine.
package retry

import (
	"math/rand/v2"
	"time"
)

// Attempt describes a failed attempt at a call.
type Attempt struct {
	// Idempotent is true if it is safe to run the call more than once.
	Idempotent bool
	// NotRun is true if it is certain that the upstream did not receive the
	// call.
	NotRun bool
	// InRetry is true if the call is itself part of a retry by an earlier hop
	// of the call chain.
	InRetry bool
	// Attempts is the number of attempts so far, including this one.
	Attempts int
	// RetryAfter is the pause that the refusing side asked for, or zero.
	RetryAfter time.Duration
}

// Settings limit the retries of a node.
type Settings struct {
	// BudgetPermille is the number of retries that a thousand calls add to the
	// budget.
	BudgetPermille int
	// Burst is the maximum number of retries that the budget can accumulate.
	Burst int
	// MaxAttempts is the maximum number of attempts at one call, including the
	// first.
	MaxAttempts int
	// Backoff is the mean pause before the first retry. It doubles with each
	// further retry.
	Backoff time.Duration
	// MaxBackoff is the maximum pause.
	MaxBackoff time.Duration
}

// DefaultSettings returns settings that allow one retry for every ten calls.
func DefaultSettings() Settings {
	return Settings{
		BudgetPermille: 100,
		Burst:          10,
		MaxAttempts:    4,
		Backoff:        2 * time.Millisecond,
		MaxBackoff:     100 * time.Millisecond,
	}
}

const permille = 1000

// Budget is the retry budget of a node. It is not safe for concurrent use.
type Budget struct {
	settings Settings
	random   *rand.Rand
	// tokens is the available budget in thousandths of a retry.
	tokens int
	denied uint64
}

// New returns a budget that starts with its full burst.
func New(settings Settings, random *rand.Rand) *Budget {
	return &Budget{settings: settings, random: random, tokens: settings.Burst * permille}
}

// SetSettings replaces the settings. The available budget is cut to the new
// burst.
func (budget *Budget) SetSettings(settings Settings) {
	budget.settings = settings
	budget.tokens = min(budget.tokens, settings.Burst*permille)
}

// Denied returns the number of retries that were denied because the budget was
// exhausted.
func (budget *Budget) Denied() uint64 { return budget.denied }

// RecordCall adds the share of one call to the budget. A call that is part of a
// retry by an earlier hop adds nothing; otherwise the shares of all hops would
// multiply.
func (budget *Budget) RecordCall(inRetry bool) {
	if inRetry {
		return
	}
	budget.tokens = min(budget.tokens+budget.settings.BudgetPermille, budget.settings.Burst*permille)
}

// AllowRetry reports whether the call may be retried, and after which pause. A
// retry is allowed only if the pause is shorter than the remaining time. Each
// allowed retry is taken from the budget.
func (budget *Budget) AllowRetry(attempt Attempt, remaining time.Duration) (time.Duration, bool) {
	safe := attempt.NotRun || attempt.Idempotent && !attempt.InRetry
	if !safe || attempt.Attempts >= budget.settings.MaxAttempts {
		return 0, false
	}
	pause := max(attempt.RetryAfter, budget.pause(attempt.Attempts))
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

// pause returns a random duration between zero and a bound that doubles with
// each attempt.
func (budget *Budget) pause(attempts int) time.Duration {
	bound := min(budget.settings.MaxBackoff, budget.settings.Backoff<<min(attempts, 10))
	return time.Duration(budget.random.Int64N(int64(bound) + 1))
}
