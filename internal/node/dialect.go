package node

import (
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// Ask is what a caller's request says of itself.
type RequestInfo struct {
	// ID identifies the attempt; empty if the caller gave none.
	ID       string
	Customer string
	// Key is an idempotency key, empty for none.
	Key string
	// Repeated is true when the call is part of a retry further up.
	Repeated bool
	// Timeout is how long the caller waits; zero if it did not say.
	Timeout time.Duration
}

// Handover is what an upstream is told with a call.
type ForwardInfo struct {
	// Timeout is the time left for the call.
	Timeout time.Duration
	// UpstreamID names the upstream that the call is meant for, empty if it
	// told none.
	UpstreamID string
	// CallerService is the service beside which the call began.
	CallerService string
}

// Told is what an upstream's answer says beside its contents.
type ResponseInfo struct {
	// NotRun is the upstream's word that the call did not run.
	NotRun bool
	// Stranger is true when another upstream than the one meant answered.
	WrongUpstream bool
	// Unproven is true for an answer that lacks the mark of a genuine one.
	Unverified bool
}

// Final is an answer that a node makes up itself.
type LocalReply struct {
	Status  int
	Outcome proxy.Outcome
	Reason  string
	// RetryAfter is when a call that did not run may find room; zero for
	// unknown.
	RetryAfter time.Duration
}

// Dialect is how callers and upstreams speak with a node: names and formats
// only, no decisions.
type Dialect interface {
	// Ask reads a caller's request.
	RequestInfo(request *fasthttp.Request) (RequestInfo, error)
	// Handover writes what the upstream is to know into a request.
	ForwardInfo(request *fasthttp.Request, handover ForwardInfo)
	// Belongs tells whether an upstream's answer is that to a request.
	Belongs(request *fasthttp.Request, response *fasthttp.Response) bool
	// Told reads what an upstream's answer says beside its contents.
	ResponseInfo(response *fasthttp.Response) ResponseInfo
	// Ran finishes an upstream's answer for the caller.
	Ran(response *fasthttp.Response)
	// Final makes an answer without an upstream's.
	LocalReply(response *fasthttp.Response, final LocalReply)
}

// own is the project's own dialect.
type defaultDialect struct{}

// Ask implements Dialect.
func (defaultDialect) RequestInfo(request *fasthttp.Request) (RequestInfo, error) {
	header := &request.Header
	info := RequestInfo{
		ID:       string(header.Peek(proxy.HeaderRequestID)),
		Customer: string(header.Peek(proxy.HeaderCustomer)),
		Key:      string(header.Peek(proxy.HeaderIdempotencyKey)),
		Repeated: len(header.Peek(proxy.HeaderAttempt)) > 0,
	}
	timeout, err := readTimeout(header)
	info.Timeout = timeout
	return info, err
}

// readTimeout reads the time that a call may still take, zero for no word.
func readTimeout(header *fasthttp.RequestHeader) (time.Duration, error) {
	text := string(header.Peek(proxy.HeaderTimeout))
	if text == "" {
		return 0, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || milliseconds <= 0 || milliseconds > maxHopTimeout.Milliseconds() {
		return 0, errors.New(proxy.HeaderTimeout + " must be a number of milliseconds from 1 to " + fmt.Sprint(maxHopTimeout.Milliseconds()))
	}
	return time.Duration(milliseconds) * time.Millisecond, nil
}

// Handover implements Dialect.
func (defaultDialect) ForwardInfo(request *fasthttp.Request, info ForwardInfo) {
	request.Header.Set(proxy.HeaderTimeout, strconv.FormatInt(max(1, info.Timeout.Milliseconds()), 10))
}

// Belongs implements Dialect; own upstreams echo nothing.
func (defaultDialect) Belongs(*fasthttp.Request, *fasthttp.Response) bool { return true }

// Told implements Dialect; own upstreams say nothing beside their answers.
func (defaultDialect) ResponseInfo(*fasthttp.Response) ResponseInfo { return ResponseInfo{} }

// Ran implements Dialect.
func (defaultDialect) Ran(*fasthttp.Response) {}

// Final implements Dialect.
func (defaultDialect) LocalReply(response *fasthttp.Response, reply LocalReply) {
	response.Reset()
	response.SetStatusCode(reply.Status)
	response.Header.Set(proxy.HeaderOutcome, string(reply.Outcome))
	response.Header.Set(proxy.HeaderReason, reply.Reason)
	response.Header.SetContentType("text/plain; charset=utf-8")
	response.SetBodyString("vanillapulley: " + string(reply.Outcome) + ": " + reply.Reason + "\n")
	if reply.Outcome == proxy.OutcomeNotRun && reply.Status == fasthttp.StatusServiceUnavailable {
		seconds := max(1, int64(reply.RetryAfter.Round(time.Second)/time.Second))
		response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
}
