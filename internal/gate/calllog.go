package gate

import (
	"errors"
	"strconv"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// logRefusal logs why this gate refused a call, with the state that the
// decision was based on.
func (gate *Gate) logRefusal(id string, reason string, present bool, ticket *limit.Ticket) {
	load := gate.Load()
	gate.callLog.Info("refused", "id", id, "reason", reason, "upstreamKnown", present, "priority", ticket.Priority(),
		"inFlight", load.InFlight, "queued", load.Queued, "meanService", load.ServiceTime.String())
}

// maxLoggedErrorBytes bounds the text of a failed exchange in a log line. The text
// may contain bytes that the upstream sent.
const maxLoggedErrorBytes = 200

// logFailedExchange logs the error of an exchange with an upstream, which callers
// do not get to see.
func (gate *Gate) logFailedExchange(id, upstream string, err error) {
	text := err.Error()
	gate.callLog.Info("exchange failed", "id", id, "upstream", upstream, "error", strconv.QuoteToASCII(text[:min(len(text), maxLoggedErrorBytes)]))
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
func (gate *Gate) logLostResponse(id, upstream, reason string) {
	gate.callLog.Info("no whole answer", "id", id, "upstream", upstream, "reason", reason)
}

// logNoBody logs why the announced body of a call did not arrive.
func (gate *Gate) logNoBody(request *fasthttp.Request, err error) {
	gate.callLog.Info("announced body did not arrive", "request", string(request.Header.Peek(proxy.HeaderRequestID)), "length", request.Header.ContentLength(), "cause", err.Error())
}
