// Package retry decides whether a call may be retried after a failed attempt.
// Each node has a retry budget that is proportional to the number of its calls.
// A call that may have run is retried only if it is idempotent and not itself
// part of a retry by an earlier hop. The backoff uses full jitter.
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
	// Backoff is the mean pause before the first retry. The mean doubles with
	// each further retry, up to the limit that MaxBackoff sets.
	Backoff time.Duration
	// MaxBackoff is the maximum pause, unless Attempt.RetryAfter is longer.
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

// tokensPerRetry is the number of tokens that one retry takes from the budget.
const tokensPerRetry = 1000

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
	return &Budget{settings: settings, random: random, tokens: settings.Burst * tokensPerRetry}
}

// SetSettings replaces the settings. The available budget is cut to the new
// burst.
func (budget *Budget) SetSettings(settings Settings) {
	budget.settings = settings
	budget.tokens = min(budget.tokens, settings.Burst*tokensPerRetry)
}

// Denied returns the number of retries that were denied because the budget was
// exhausted.
func (budget *Budget) Denied() uint64 { return budget.denied }

// RecordCall adds Settings.BudgetPermille thousandths of a retry to the budget,
// up to the burst. A call that is part of a retry by an earlier hop adds
// nothing; otherwise the retries of successive hops would multiply.
func (budget *Budget) RecordCall(inRetry bool) {
	if inRetry {
		return
	}
	budget.tokens = min(budget.tokens+budget.settings.BudgetPermille, budget.settings.Burst*tokensPerRetry)
}

// AllowRetry reports whether the call may be retried, and after which pause. The
// pause is at least attempt.RetryAfter. A retry is allowed only if the pause is
// shorter than the remaining time. Each allowed retry is taken from the budget.
func (budget *Budget) AllowRetry(attempt Attempt, remaining time.Duration) (time.Duration, bool) {
	safe := attempt.NotRun || attempt.Idempotent && !attempt.InRetry
	if !safe || attempt.Attempts >= budget.settings.MaxAttempts {
		return 0, false
	}
	pause := max(attempt.RetryAfter, budget.pause(attempt.Attempts))
	if pause >= remaining {
		return 0, false
	}
	if budget.tokens < tokensPerRetry {
		budget.denied++
		return 0, false
	}
	budget.tokens -= tokensPerRetry
	return pause, true
}

// pause returns a random duration between zero and a bound. The bound doubles
// with each attempt, up to MaxBackoff.
func (budget *Budget) pause(attempts int) time.Duration {
	bound := min(budget.settings.MaxBackoff, budget.settings.Backoff<<min(attempts, 10))
	return time.Duration(budget.random.Int64N(int64(bound) + 1))
}
