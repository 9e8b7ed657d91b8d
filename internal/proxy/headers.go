// Package proxy carries one HTTP exchange at a time over pooled connections.
// An answer belongs to the request on its connection or is an error; a
// connection whose exchange did not end cleanly is closed, never reused.
package proxy

// The headers between callers, nodes and upstreams.
const (
	// HeaderKey is the caller's idempotency key, a UUID of version 7.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderCustomer names the customer the call is for.
	HeaderCustomer = "Vp-Customer"
	// HeaderTimeout is the time the call may still take, in milliseconds.
	HeaderTimeout = "Vp-Timeout-Ms"
	// HeaderRequest identifies the request through all hops.
	HeaderRequestID = "Vp-Request-Id"
	// HeaderAttempt is above 1 when the call is part of a retry.
	HeaderAttempt = "Vp-Attempt"
	// HeaderOutcome tells on every answer whether the call ran.
	HeaderOutcome = "Vp-Outcome"
	// HeaderReason explains an outcome that is not "ran".
	HeaderReason = "Vp-Reason"
	// HeaderVersion names the upstream version that answered, and between
	// nodes the one that is asked for.
	HeaderVersion = "Vp-Version"
	// HeaderService names, between nodes, the service that is asked for.
	HeaderService = "Vp-Service"
	// HeaderLoad carries, between nodes, calls in flight and waiting.
	HeaderLoad = "Vp-Load"
	// HeaderCaller names, between nodes, the service beside which a call began.
	HeaderCaller = "Vp-Caller"
	// HeaderPriority is, between nodes, the rank of a call; 0 comes first.
	HeaderPriority = "Vp-Priority"
	// HeaderObjective is, between nodes, the time in which an answer still has
	// its full worth, in milliseconds.
	HeaderObjective = "Vp-Objective-Ms"
	// HeaderQueue is "no", between nodes, when the call is not to wait.
	HeaderQueue = "Vp-Queue"
	// HeaderOnce is set, between nodes, on calls that may run only once.
	HeaderOnce = "Vp-Once"
	// HeaderRetry is, between nodes, the time until a refused call may find
	// room, in milliseconds.
	HeaderRetry = "Vp-Retry-Ms"
	// HeaderStarved is set, between nodes, on an answer whose upstream had a
	// call of its own refused for want of room.
	HeaderStarved = "Vp-Starved"
	// HeaderTarget names the target that answered.
	HeaderTarget = "Vp-Target"
)

// Outcome is what is known of a call.
type Outcome string

// The values of HeaderOutcome.
const (
	// OutcomeRan means that the upstream answered; the answer is its own.
	OutcomeRan Outcome = "ran"
	// OutcomeNotRun means that no upstream has seen or will see the call.
	OutcomeNotRun Outcome = "not-run"
	// OutcomeUnknown means that the call may have run.
	OutcomeUnknown Outcome = "unknown"
)
