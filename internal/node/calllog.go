package node

import (
	"context"
	"errors"
	"strconv"

	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// sampleEvery is the sampling rate for ordinary calls: one out of this many is
// logged as an example of normal traffic.
const sampleEvery = 256

// logCall logs a call if it was retried, refused or unsuccessful, and a sample
// of the other, ordinary calls. The key fullAt lists the targets that refused the
// call for lack of a free slot, and failedAt all other targets that were tried,
// including one that succeeded.
func (node *Node) logCall(ctx context.Context, call *call, last result) {
	ordinary := call.tries <= 1 && call.refusals == 0 && last.outcome == proxy.OutcomeRan && last.pickerResult == picker.ResultSucceeded
	if ordinary && node.ordinaryCalls.Add(1)%sampleEvery != 1 {
		return
	}
	deadline, _ := ctx.Deadline()
	callerLeft := errors.Is(context.Cause(ctx), proxy.ErrCallerDisconnected)
	isNew := call.versionSet.rollout != nil && call.versionSet.isNew
	node.callLog.Info("call", "id", call.id, "route", call.route.Name(), "service", call.service,
		"outcome", string(last.outcome), "status", call.request.Response.StatusCode(), "reason", last.reason,
		"tries", call.tries, "refusals", call.refusals, "failedAt", call.search.Failed(), "fullAt", call.search.Full(),
		"took", node.now().Sub(call.started).String(), "allowed", deadline.Sub(call.started).String(),
		"retryAfter", call.retryAfter.String(), "callerLeft", callerLeft, "onNewVersion", isNew,
		"config", call.config.Version(), "membership", node.membership.Load(), "usual", ordinary)
}

// logRefusal logs why this gate refused a call, with the state that the
// decision was based on.
func (gate *gate) logRefusal(id string, reason string, present bool, ticket *limit.Ticket) {
	load := gate.load()
	gate.node.callLog.Info("refused", "id", id, "reason", reason, "upstreamKnown", present, "priority", ticket.Priority(),
		"inFlight", load.InFlight, "queued", load.Queued, "meanService", load.ServiceTime.String())
}

// maxLoggedErrorBytes bounds the text of a failed exchange in a log line. The text
// may contain bytes that the upstream sent.
const maxLoggedErrorBytes = 200

// logFailedExchange logs the error of an exchange with an upstream, which callers
// do not get to see.
func (gate *gate) logFailedExchange(id, upstream string, err error) {
	text := err.Error()
	gate.node.callLog.Info("exchange failed", "id", id, "upstream", upstream, "error", strconv.QuoteToASCII(text[:min(len(text), maxLoggedErrorBytes)]))
}

// exchangeReason names the fault of an exchange in words that may be passed on to
// a caller.
func exchangeReason(err error) string {
	var exchangeError *proxy.ExchangeError
	if errors.As(err, &exchangeError) {
		return exchangeError.Reason()
	}
	return "the exchange failed"
}

// logLostResponse logs that an upstream returned no complete response to a call
// that it may have run.
func (gate *gate) logLostResponse(id, upstream, reason string) {
	gate.node.callLog.Info("no whole answer", "id", id, "upstream", upstream, "reason", reason)
}
