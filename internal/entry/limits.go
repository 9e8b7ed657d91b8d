package entry

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/quota"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/internal/uptime"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// TokenSource reaches the homes of the limits of accounts, which are named by their
// link addresses.
type TokenSource interface {
	// Take asks a home for tokens.
	Take(ctx context.Context, home string, request quota.TakeRequest) ([]quota.Answer, error)
	// Submit runs a function on a worker. It may block while there is none.
	Submit(run func()) error
}

const (
	// limitTick is the interval at which calls that wait for a token are checked. It
	// is below the delays of package quota.
	limitTick = 10 * time.Millisecond
	// takeTimeout ends a request for tokens after package quota has given it up.
	takeTimeout = 400 * time.Millisecond
	// tokenWaitPart and maxTokenWait limit how long a call waits for a token: a part
	// of its timeout, but no longer than an unanswered request is in flight.
	tokenWaitPart = 10
	maxTokenWait  = 250 * time.Millisecond
	// limitLogLines is the largest number of log lines per second about calls without
	// a token. An account that sends several times its limit causes many.
	limitLogLines = 20
	// minRetryAfter is the shortest time that is stated to callers.
	minRetryAfter = time.Millisecond
)

// Reasons for refusing a call of an account with a limit.
const (
	reasonLimit       = "limit of the account"
	reasonLimitsAway  = "limit of the account: no control VM has a lease"
	labelLimit        = "limit"
	labelLimitUnknown = "unknown"
)

// limits decides whether calls of accounts with a limit may be sent.
type limits struct {
	entry  *Entry
	source TokenSource
	now    func() time.Duration
	// waiting is true while calls may be waiting for a token.
	waiting atomic.Bool

	// lock guards the fields below. It is not held while source is called.
	lock sync.Mutex
	core *quota.Entry
	// config is the configuration that core was last told of.
	config *rsrc.Config
	// logSecond is the second of the latest log line, lines the number of lines in it
	// and dropped the number of lines that were left out since the latest line.
	logSecond      int64
	lines, dropped int
}

func newLimits(entry *Entry, source TokenSource) *limits {
	return &limits{entry: entry, source: source, now: uptime.Now, core: quota.NewEntry(entry.settings.AccountLimit.Quota())}
}

// SetHomes replaces the link addresses of the control VMs, nearest first, which give
// out the tokens of accounts.
func (entry *Entry) SetHomes(addresses []string) {
	entry.limits.lock.Lock()
	entry.limits.core.SetHomes(entry.limits.now(), addresses)
	requests := entry.limits.core.Requests(entry.limits.now())
	entry.limits.lock.Unlock()
	entry.limits.send(requests)
}

// RunLimits checks the calls that wait for a token until the context ends.
func (entry *Entry) RunLimits(ctx context.Context) error {
	return tasks.Every(ctx, limitTick, entry.limits.tick)
}

func (limits *limits) tick() {
	config := limits.entry.config()
	limits.lock.Lock()
	if config != nil && config != limits.config {
		limits.config = config
		limited := map[string]bool{}
		for _, account := range config.Accounts() {
			limited[account.Name()] = account.Limit().RatePerSecond > 0
		}
		limits.core.SetAccounts(func(name string) bool { return limited[name] })
	}
	var requests []quota.TakeRequest
	if limits.waiting.Load() {
		limits.waiting.Store(limits.core.Tick(limits.now()))
		requests = limits.core.Requests(limits.now())
	}
	limits.lock.Unlock()
	limits.send(requests)
}

// admit waits for a token if the call's account has a limit. If there is none, it
// responds to the caller and returns false.
func (limits *limits) admit(ctx context.Context, call *call) bool {
	if call.account == nil || call.account.Limit().RatePerSecond <= 0 {
		return true
	}
	deadline, _ := ctx.Deadline()
	wait := min(maxTokenWait, deadline.Sub(call.started)/tokenWaitPart)
	answer := make(chan quota.Outcome, 1)
	limits.lock.Lock()
	limits.core.Ask(limits.now(), call.account.Name(), wait, func(outcome quota.Outcome) { answer <- outcome })
	requests := limits.core.Requests(limits.now())
	limits.waiting.Store(true)
	limits.lock.Unlock()
	limits.send(requests)
	outcome := quota.Outcome{Verdict: quota.Unknown, RetryAfter: earlyRetryAfter}
	select {
	case outcome = <-answer:
	case <-ctx.Done():
	}
	if outcome.Verdict == quota.Admitted {
		call.token = &outcome.Token
		return true
	}
	limits.refuse(call, outcome)
	return false
}

// giveBack returns the token of a call that was not run.
func (limits *limits) giveBack(call *call) {
	if call.token == nil {
		return
	}
	limits.lock.Lock()
	limits.core.Return(limits.now(), call.account.Name(), *call.token)
	limits.lock.Unlock()
}

// send sends requests to homes and passes the answers to the core.
func (limits *limits) send(requests []quota.TakeRequest) {
	for _, request := range requests {
		run := func() {
			ctx, cancel := context.WithTimeout(context.Background(), takeTimeout)
			defer cancel()
			limits.entry.stats.Count("vp_quota_requests_total", 1)
			answers, err := limits.source.Take(ctx, request.Home, request)
			limits.lock.Lock()
			if err == nil {
				limits.core.Answered(limits.now(), request.Home, request.ID, answers)
			} else {
				limits.entry.stats.Count("vp_quota_request_failures_total", 1)
				limits.core.Failed(limits.now(), request.Home, request.ID)
			}
			next := limits.core.Requests(limits.now())
			limits.lock.Unlock()
			limits.send(next)
		}
		if limits.source.Submit(run) != nil {
			limits.lock.Lock()
			limits.core.Failed(limits.now(), request.Home, request.ID)
			limits.lock.Unlock()
		}
	}
}

// refuse responds to a call without a token. A call with an idempotency key may have
// run in an earlier request.
func (limits *limits) refuse(call *call, outcome quota.Outcome) {
	reply := proto.LocalReply{Status: fasthttp.StatusTooManyRequests, Outcome: proxy.OutcomeNotRun, Reason: reasonLimit, RetryAfter: max(outcome.RetryAfter, minRetryAfter)}
	label := labelLimit
	if outcome.Verdict == quota.Unknown {
		reply.Status, reply.Reason, label = fasthttp.StatusServiceUnavailable, reasonLimitsAway, labelLimitUnknown
	}
	if call.class == classKeyed {
		reply.Outcome = proxy.OutcomeUnknown
	}
	limits.entry.dialect.LocalReply(&call.request.Response, reply)
	limits.entry.stats.Count(`vp_account_refusals_total{reason="`+label+`"}`, 1)
	limits.entry.stats.ObserveCall(call.customer, call.class, string(reply.Outcome), limits.entry.now().Sub(call.started))
	dropped, logged := limits.mayLog()
	if !logged {
		return
	}
	limit := call.account.Limit()
	limits.entry.callLog.Info("call refused by the limit of its account", "id", call.id, "account", call.account.Name(), "route", call.route.Name(),
		"status", reply.Status, "reason", reply.Reason, "limit", limit.RatePerSecond, "burst", limit.Burst,
		"home", outcome.Home, "share", outcome.Share, "use", outcome.Demand, "age", outcome.Age.String(), "retryAfter", reply.RetryAfter.String(),
		"config", call.config.Version(), "leftOut", dropped)
}

// mayLog reports whether a log line may be written now, and how many were left out
// since the latest one.
func (limits *limits) mayLog() (int, bool) {
	limits.lock.Lock()
	defer limits.lock.Unlock()
	if second := int64(limits.now() / time.Second); second != limits.logSecond {
		limits.logSecond, limits.lines = second, 0
	}
	if limits.lines >= limitLogLines {
		limits.dropped++
		return 0, false
	}
	dropped := limits.dropped
	limits.lines, limits.dropped = limits.lines+1, 0
	return dropped, true
}

// NearestHomes sorts the link addresses of control VMs by distance: those of the
// node's zone first. Nodes of a zone start with different ones of them, by an offset.
func NearestHomes(near, far []string, offset uint64) []string {
	rotate := func(addresses []string) []string {
		slices.Sort(addresses)
		if len(addresses) == 0 {
			return nil
		}
		first := int(offset % uint64(len(addresses)))
		return append(slices.Clone(addresses[first:]), addresses[:first]...)
	}
	return append(rotate(near), rotate(far)...)
}
