package entry

import (
	"context"
	"errors"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/warmup"
)

// result is the result of one try.
type result struct {
	outcome      proxy.Outcome
	reason       string
	pickerResult picker.Result
	load         *picker.Load
	// final is true if the response rules out another try. shouldRetry makes an
	// exception for an unknown outcome of an idempotent call without a key.
	final bool
	// mayHaveReachedUpstream is true unless it is certain that no upstream
	// received the call.
	mayHaveReachedUpstream bool
	// full is true if a gate refused the call because it had no free slot or
	// because of its upstream's rate limit, either immediately or until the deadline.
	full bool
	// tooLate is true if a gate refused the call and said that it would not have been
	// worth queueing.
	tooLate bool
	// unreachable is true if a gate refused the call because it could not connect to
	// its upstream, or if the gate itself could not be connected to.
	unreachable bool
	// bodySent is true if a body that was announced to the gate was sent, at least in
	// part.
	bodySent bool
	// retryAfter is the pause that an upstream asked for.
	retryAfter time.Duration
	// starved is true for an error response of an upstream if one of the
	// upstream's own calls was refused for lack of slots.
	starved bool
	// statement is what the upstream stated about itself. If instanceKnown is true,
	// it is about the instance with instanceID that was started at instanceBorn,
	// otherwise about the one that the call was sent to.
	statement     lease.Statement
	instanceKnown bool
	instanceID    string
	instanceBorn  int64
	// warmUp is for how long the gate paces the upstream because it is cold or may be.
	warmUp warmup.Forecast
	// waited is how long the call and the nested calls that it made waited for targets.
	waited time.Duration
	// slotAfter is the time after which the refusing gate expects a free slot.
	slotAfter time.Duration
}

// classify determines the result of a try. The outcome is not-run only if the
// gate says so or if it is certain that nothing was sent.
func (entry *Entry) classify(ctx context.Context, err error, response *fasthttp.Response) result {
	var exchangeError *proxy.ExchangeError
	if errors.As(err, &exchangeError) {
		return classifyFailure(ctx, exchangeError)
	}
	classified := result{
		outcome:                proxy.Outcome(response.Header.Peek(proxy.HeaderOutcome)),
		reason:                 string(response.Header.Peek(proxy.HeaderReason)),
		load:                   readLoad(string(response.Header.Peek(proxy.HeaderLoad))),
		mayHaveReachedUpstream: len(response.Header.Peek(proxy.HeaderTarget)) > 0,
		waited:                 proto.ReadMilliseconds(response.Header.Peek(proxy.HeaderWaited)),
		slotAfter:              proto.ReadMilliseconds(response.Header.Peek(proxy.HeaderRetry)),
		statement:              proto.Default{}.ResponseInfo(response).Statement,
	}
	classified.warmUp = proto.ParseCold(string(response.Header.Peek(proxy.HeaderCold)))
	classified.instanceID, classified.instanceBorn, classified.instanceKnown = proto.ParseInstance(string(response.Header.Peek(proxy.HeaderInstance)))
	switch classified.outcome {
	case proxy.OutcomeRan:
		if response.StatusCode() >= fasthttp.StatusInternalServerError {
			classified.pickerResult = picker.ResultFailed
			classified.retryAfter = retryAfter(response)
			if len(response.Header.Peek(proxy.HeaderStarved)) > 0 {
				// The failure is not evidence about this upstream.
				classified.pickerResult, classified.starved = picker.ResultCanceled, true
			}
		}
	case proxy.OutcomeNotRun:
		classified.pickerResult = picker.ResultRefused
		// An upstream that limits its rate, or that is cold, and refuses a call works as it
		// should.
		if _, limited := classified.statement.Limit.PerSecond(); classified.mayHaveReachedUpstream && !limited && classified.warmUp.Left == 0 {
			classified.pickerResult = picker.ResultFailed
		}
		switch limit.Reason(classified.reason) {
		case limit.ReasonFull, limit.ReasonDeadline, limit.ReasonRate, limit.ReasonNested:
			classified.full = true
		}
		if limit.Reason(classified.reason) == limit.ReasonNested {
			// The target has capacity for other calls.
			classified.pickerResult = picker.ResultCanceled
		}
		classified.tooLate = classified.full && len(response.Header.Peek(proxy.HeaderTooLate)) > 0
		classified.unreachable = classified.reason == proto.ReasonUnreachable
		// Other gates of the service see the same shortage.
		classified.final = response.StatusCode() < fasthttp.StatusInternalServerError || limit.Reason(classified.reason) == limit.ReasonNested
	default:
		classified.outcome, classified.pickerResult = proxy.OutcomeUnknown, picker.ResultFailed
		classified.final = true
	}
	return classified
}

// recordBody records that the gate asked for an announced body. The exchange ended with
// the given error.
func (result *result) recordBody(err error) {
	result.bodySent = true
	if err != nil && result.unreachable {
		result.unreachable, result.reason = false, "the body was not sent whole"
	}
}

// retryAfter returns the pause that an upstream asks for. It supports only a
// number of seconds and returns zero for anything else.
func retryAfter(response *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(response.Header.Peek("Retry-After")))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func classifyFailure(ctx context.Context, exchangeError *proxy.ExchangeError) result {
	failure := result{outcome: proxy.OutcomeUnknown, reason: exchangeError.Reason(), pickerResult: picker.ResultFailed, mayHaveReachedUpstream: true}
	if !exchangeError.MaybeSent {
		failure.outcome, failure.mayHaveReachedUpstream = proxy.OutcomeNotRun, false
	}
	if errors.Is(context.Cause(ctx), proxy.ErrCallerDisconnected) {
		failure.pickerResult = picker.ResultCanceled
		failure.reason = proxy.ErrCallerDisconnected.Error()
	} else if ctx.Err() != nil || errors.Is(exchangeError.Err, fasthttp.ErrTimeout) || errors.Is(exchangeError.Err, os.ErrDeadlineExceeded) {
		failure.reason = "deadline"
	}
	if !exchangeError.MaybeSent && ctx.Err() == nil {
		// The dial may have failed because a packet was lost or the gate was busy, so
		// the only target of a service stays eligible. The error of a dial that took too
		// long reads like a passed deadline of the call.
		failure.unreachable, failure.reason = true, "the target's node cannot be reached"
	}
	return failure
}

// readLoad parses the load header: calls in flight, queued calls and the mean
// service time in milliseconds, separated by slashes. It returns nil if the
// text has another form.
func readLoad(text string) *picker.Load {
	parts := strings.Split(text, "/")
	if len(parts) != 3 {
		return nil
	}
	var numbers [3]int
	for i, part := range parts {
		number, err := strconv.Atoi(part)
		if err != nil {
			return nil
		}
		numbers[i] = number
	}
	return &picker.Load{InFlight: numbers[0], Queued: numbers[1], ServiceTime: time.Duration(numbers[2]) * time.Millisecond}
}
