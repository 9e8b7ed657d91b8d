// Package proxy sends HTTP requests over pooled connections, one request at a
// time on each connection. A call returns either the response to its own
// request or an error. A connection whose exchange did not complete cleanly is
// closed and never reused.
package proxy

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/bufmem"
)

// Headers used between callers, nodes and upstreams.
const (
	// HeaderIdempotencyKey is the caller's idempotency key, a UUID of version 7.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCustomer names the customer on whose behalf the call is made.
	HeaderCustomer = "Vp-Customer"
	// HeaderKey is a key of the caller's account. It is a secret, and is removed on
	// every hop.
	HeaderKey = "Vp-Key"
	// HeaderAccount is set on requests between nodes if the configuration at the entry
	// contains accounts. It is the name of the call's account, or NoAccount.
	HeaderAccount = "Vp-Account"
	// HeaderTimeout is the time left until the call's deadline, in milliseconds.
	HeaderTimeout = "Vp-Timeout-Ms"
	// HeaderRequestID identifies the request across all hops.
	HeaderRequestID = "Vp-Request-Id"
	// HeaderAttempt marks a call that is part of a retry. Callers may set it to
	// any value that is not empty. A node sets it if the call that it received was
	// part of a retry or if it makes a second or later attempt itself. The value
	// that a node sets is the number of its own attempt, starting from 1.
	HeaderAttempt = "Vp-Attempt"
	// HeaderOutcome is set on every response and states whether the call ran.
	HeaderOutcome = "Vp-Outcome"
	// HeaderReason explains an outcome that is not "ran".
	HeaderReason = "Vp-Reason"
	// HeaderVersion names the upstream version that responded. On requests
	// between nodes it names the requested version.
	HeaderVersion = "Vp-Version"
	// HeaderService names the requested service on requests between nodes.
	HeaderService = "Vp-Service"
	// HeaderLoad carries the numbers of calls in flight and queued on responses
	// between nodes.
	HeaderLoad = "Vp-Load"
	// HeaderCaller names the calling service on requests between nodes, that is,
	// the service of the node that received the call from its caller.
	HeaderCaller = "Vp-Caller"
	// HeaderPriority is the priority of a call on requests between nodes; calls
	// with priority 0 are served first.
	HeaderPriority = "Vp-Priority"
	// HeaderObjective is the time left to meet the call's latency objective on
	// requests between nodes, in milliseconds.
	HeaderObjective = "Vp-Objective-Ms"
	// HeaderQueue is "no" on requests between nodes if the call must not be
	// queued.
	HeaderQueue = "Vp-Queue"
	// HeaderNested is set on requests between nodes if the call was made by an upstream
	// while it serves another one.
	HeaderNested = "Vp-Nested"
	// HeaderRoute names the route of a call on requests between nodes.
	HeaderRoute = "Vp-Route"
	// HeaderWaited is set on responses between nodes. It is how long the call and the
	// nested calls that it made waited for targets, in milliseconds.
	HeaderWaited = "Vp-Waited-Ms"
	// HeaderOnce is set on requests between nodes if the call must not run more
	// than once.
	HeaderOnce = "Vp-Once"
	// HeaderRetry is set on responses between nodes if a call was refused. It is
	// the time after which capacity may be free again, in milliseconds.
	HeaderRetry = "Vp-Retry-Ms"
	// HeaderTooLate is set on responses between nodes if a call was refused and would
	// not have been worth queueing either.
	HeaderTooLate = "Vp-Too-Late"
	// HeaderStarved is set on responses between nodes if a call that the upstream
	// made while it handled this one was refused for lack of capacity.
	HeaderStarved = "Vp-Starved"
	// HeaderLimit is set on responses of an upstream that is limited in its rate. It
	// is the number of calls per second that the upstream accepts from all nodes
	// together, a decimal number. The limit holds until a response states none.
	HeaderLimit = "Vp-Limit"
	// HeaderLeaving is "1" on responses of an upstream that is about to stop.
	HeaderLeaving = "Vp-Leaving"
	// HeaderInstance identifies the instance of an upstream that HeaderLimit,
	// HeaderLeaving or HeaderCold is about, on messages between nodes: its start time in
	// milliseconds since 1970, a slash and its ID.
	HeaderInstance = "Vp-Instance"
	// HeaderCold is set on responses between nodes while the upstream is paced for
	// warm-up: for how many milliseconds it will be, a slash and the calls per second.
	HeaderCold = "Vp-Cold"
	// HeaderWarmUp is set on responses of an upstream's health path. It is for how many
	// milliseconds the upstream stays cold.
	HeaderWarmUp = "Vp-Warmup-Ms"
	// HeaderCredit is set on 100 Continue between nodes: the number of bytes of the body
	// that may be sent in addition to those of earlier ones. Without it, the whole body
	// may be sent.
	HeaderCredit = "Vp-Credit"
	// HeaderSent is set on requests between nodes: when the request was sent, on the clock
	// of the receiving node. It is the incarnation of that node, a slash and a time in
	// microseconds, both in base 36, or "-" if the difference of the clocks is not known.
	HeaderSent = "Vp-Sent"
	// HeaderClock is set on responses to requests with HeaderSent: the incarnation of the
	// responding node and the times on its clock, in microseconds, at which the request
	// arrived and the response was written, in base 36 and separated by slashes.
	HeaderClock = "Vp-Clock"
	// HeaderExchange identifies a request between nodes, so that the entry node can
	// withdraw it.
	HeaderExchange = "Vp-Exchange"
	// HeaderTarget names the target that responded.
	HeaderTarget = "Vp-Target"
)

// NoAccount is the value of HeaderAccount for a call without an account. It is not
// a valid name.
const NoAccount = "-"

// Outcome states whether a call ran on an upstream.
type Outcome string

// The values of HeaderOutcome.
const (
	// OutcomeRan means that the response was produced by the upstream.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that no upstream has received or will receive the call.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = "unknown"
)

// SetOnly sets a header to one value. RequestHeader.Set replaces only the first of
// several values.
func SetOnly(header *fasthttp.RequestHeader, name, value string) {
	header.Del(name)
	header.Set(name, value)
}

// DiscardTrailer reads the trailer section of a chunked message and drops its fields.
// A sender could otherwise use it to set headers that the node sets.
func DiscardTrailer(reader *bufio.Reader) error {
	var discarded fasthttp.ResponseHeader
	err := discarded.ReadTrailer(reader)
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// headerCopies is how often fasthttp holds the bytes of a header section, with those in
// the read buffer.
const headerCopies = 3

// ReadHeader reads a header section. fasthttp requires that it fits into the buffer, so
// the buffer doubles until it does or reaches the limit. The memory is taken from the
// hold, which may be nil. It returns the reader to use from then on, which reads from the
// same source.
func ReadHeader(header interface{ Read(*bufio.Reader) error }, reader *bufio.Reader, source io.Reader, hold *bufmem.Hold, limit int) (*bufio.Reader, error) {
	for {
		err := header.Read(reader)
		if err == nil {
			return reader, nil
		}
		var smallBuffer *fasthttp.ErrSmallBuffer
		if !errors.As(err, &smallBuffer) || reader.Size() >= limit {
			return reader, err
		}
		size := min(2*reader.Size(), limit)
		if hold != nil {
			if err := hold.Grow(int64((size - reader.Size()) * headerCopies)); err != nil {
				return reader, err
			}
		}
		read, err := reader.Peek(reader.Buffered())
		if err != nil {
			return reader, err
		}
		reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(read), source), size)
	}
}
