package node

import (
	"context"
	"errors"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// result is what one try came to.
type result struct {
	outcome proxy.Outcome
	reason  string
	learned picker.Result
	load    *picker.Load
	// final forbids another try.
	final bool
	// spent is true when an upstream saw the call, whatever came of it.
	spent bool
	// full is true for a gate's refusal for want of a slot in time.
	full bool
	// retryAfter is the pause that an upstream asked for.
	retryAfter time.Duration
	// starved is true for an error answer of an upstream that had a call of its
	// own refused for want of room.
	starved bool
	// room is when a gate that refused expects a free slot.
	room time.Duration
}

// judge tells how a try ended. Only the gate's own word, or the certainty
// that nothing was sent, counts as not run.
func (node *Node) judge(ctx context.Context, err error, response *fasthttp.Response) result {
	var exchange *proxy.ExchangeError
	if errors.As(err, &exchange) {
		return judgeLost(ctx, exchange)
	}
	judged := result{
		outcome: proxy.Outcome(response.Header.Peek(proxy.HeaderOutcome)),
		reason:  string(response.Header.Peek(proxy.HeaderReason)),
		load:    readLoad(string(response.Header.Peek(proxy.HeaderLoad))),
		spent:   len(response.Header.Peek(proxy.HeaderTarget)) > 0,
		room:    readMilliseconds(response.Header.Peek(proxy.HeaderRetry)),
	}
	switch judged.outcome {
	case proxy.OutcomeRan:
		if response.StatusCode() >= fasthttp.StatusInternalServerError {
			judged.learned = picker.ResultFailed
			judged.retryAfter = retryAfter(response)
			if len(response.Header.Peek(proxy.HeaderStarved)) > 0 {
				// It says nothing about this upstream.
				judged.learned, judged.starved = picker.ResultCanceled, true
			}
		}
	case proxy.OutcomeNotRun:
		judged.learned = picker.ResultRefused
		if judged.spent {
			judged.learned = picker.ResultFailed
		}
		judged.full = judged.reason == string(limit.ReasonFull) || judged.reason == string(limit.ReasonDeadline)
		judged.final = response.StatusCode() < fasthttp.StatusInternalServerError
	default:
		judged.outcome, judged.learned = proxy.OutcomeUnknown, picker.ResultFailed
		judged.final = true
	}
	return judged
}

// retryAfter reads the pause an upstream asks for, if it names seconds.
func retryAfter(response *fasthttp.Response) time.Duration {
	seconds, err := strconv.Atoi(string(response.Header.Peek("Retry-After")))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func readMilliseconds(text []byte) time.Duration {
	milliseconds, err := strconv.Atoi(string(text))
	if err != nil || milliseconds < 0 {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

func judgeLost(ctx context.Context, exchange *proxy.ExchangeError) result {
	lost := result{outcome: proxy.OutcomeUnknown, reason: exchange.Err.Error(), learned: picker.ResultFailed, spent: true}
	if !exchange.MaybeSent {
		lost.outcome, lost.spent = proxy.OutcomeNotRun, false
	}
	if errors.Is(context.Cause(ctx), proxy.ErrCallerDisconnected) {
		lost.learned = picker.ResultCanceled
		lost.reason = proxy.ErrCallerDisconnected.Error()
	} else if ctx.Err() != nil || errors.Is(exchange.Err, fasthttp.ErrTimeout) || errors.Is(exchange.Err, os.ErrDeadlineExceeded) {
		lost.reason = "deadline"
	}
	return lost
}

// readLoad reads calls in flight, calls that wait and the mean time of a call
// in milliseconds; nil if the text is anything else.
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
