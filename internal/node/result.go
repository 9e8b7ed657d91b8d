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
	outcome      proxy.Outcome
	reason       string
	pickerResult picker.Result
	load         *picker.Load
	// final forbids another try.
	final bool
	// spent is true when an upstream saw the call, whatever came of it.
	reachedUpstream bool
	// full is true for a gate's refusal for want of a slot in time.
	full bool
	// retryAfter is the pause that an upstream asked for.
	retryAfter time.Duration
	// starved is true for an error answer of an upstream that had a call of its
	// own refused for want of room.
	starved bool
	// room is when a gate that refused expects a free slot.
	slotAfter time.Duration
}

// judge tells how a try ended. Only the gate's own word, or the certainty
// that nothing was sent, counts as not run.
func (node *Node) classify(ctx context.Context, err error, response *fasthttp.Response) result {
	var exchange *proxy.ExchangeError
	if errors.As(err, &exchange) {
		return classifyFailure(ctx, exchange)
	}
	classified := result{
		outcome:         proxy.Outcome(response.Header.Peek(proxy.HeaderOutcome)),
		reason:          string(response.Header.Peek(proxy.HeaderReason)),
		load:            readLoad(string(response.Header.Peek(proxy.HeaderLoad))),
		reachedUpstream: len(response.Header.Peek(proxy.HeaderTarget)) > 0,
		slotAfter:       readMilliseconds(response.Header.Peek(proxy.HeaderRetry)),
	}
	switch classified.outcome {
	case proxy.OutcomeRan:
		if response.StatusCode() >= fasthttp.StatusInternalServerError {
			classified.pickerResult = picker.ResultFailed
			classified.retryAfter = retryAfter(response)
			if len(response.Header.Peek(proxy.HeaderStarved)) > 0 {
				// It says nothing about this upstream.
				classified.pickerResult, classified.starved = picker.ResultCanceled, true
			}
		}
	case proxy.OutcomeNotRun:
		classified.pickerResult = picker.ResultRefused
		if classified.reachedUpstream {
			classified.pickerResult = picker.ResultFailed
		}
		classified.full = classified.reason == string(limit.ReasonFull) || classified.reason == string(limit.ReasonDeadline)
		classified.final = response.StatusCode() < fasthttp.StatusInternalServerError
	default:
		classified.outcome, classified.pickerResult = proxy.OutcomeUnknown, picker.ResultFailed
		classified.final = true
	}
	return classified
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

func classifyFailure(ctx context.Context, exchange *proxy.ExchangeError) result {
	failure := result{outcome: proxy.OutcomeUnknown, reason: exchange.Err.Error(), pickerResult: picker.ResultFailed, reachedUpstream: true}
	if !exchange.MaybeSent {
		failure.outcome, failure.reachedUpstream = proxy.OutcomeNotRun, false
	}
	if errors.Is(context.Cause(ctx), proxy.ErrCallerDisconnected) {
		failure.pickerResult = picker.ResultCanceled
		failure.reason = proxy.ErrCallerDisconnected.Error()
	} else if ctx.Err() != nil || errors.Is(exchange.Err, fasthttp.ErrTimeout) || errors.Is(exchange.Err, os.ErrDeadlineExceeded) {
		failure.reason = "deadline"
	}
	return failure
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
