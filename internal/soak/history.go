package soak

import (
	"fmt"
	"sync"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// callKind determines how often a call may run.
type callKind int

// The kinds of calls.
const (
	// callRead is a read; it may run several times.
	callRead callKind = iota
	// callNonIdempotent has no idempotency key and must not run more than once.
	callNonIdempotent
	// callKeyed has an idempotency key; it may be sent again, but must not run
	// more than once.
	callKeyed
	// callProbe is sent until the fleet is ready; its result is not checked.
	callProbe
)

// call records what callers and upstreams observed of one call. A send is one
// request of a caller; the nodes may make several attempts for it. A run is the
// arrival of the call at an upstream, whether or not it is completed there.
type call struct {
	callKind callKind
	// runs counts the arrivals at upstreams.
	runs int
	// outcomes holds one outcome for each finished send of the call; the outcome is
	// empty if the send got no response.
	outcomes []proxy.Outcome
}

// history records all calls and the violations of the guarantees under test. It
// is safe for concurrent use.
type history struct {
	lock  sync.Mutex
	calls map[string]*call
	// violations describes each guarantee that did not hold.
	violations []string
	// served counts the sends that an upstream answered with status 200; unserved
	// counts all others.
	served   int
	unserved int
}

func newHistory() *history { return &history{calls: map[string]*call{}} }

// begin adds a call unless the path is already known.
func (history *history) begin(path string, callKind callKind) {
	history.lock.Lock()
	defer history.lock.Unlock()
	if history.calls[path] == nil {
		history.calls[path] = &call{callKind: callKind}
	}
}

// recordRun records that an upstream received the call with the given path.
func (history *history) recordRun(path string) {
	history.lock.Lock()
	defer history.lock.Unlock()
	if call := history.calls[path]; call != nil {
		call.runs++
		return
	}
	history.violations = append(history.violations, path+" ran but was never sent")
}

// recordOutcome records how a send of a call ended.
func (history *history) recordOutcome(path string, outcome proxy.Outcome, served bool) {
	history.lock.Lock()
	defer history.lock.Unlock()
	call := history.calls[path]
	call.outcomes = append(call.outcomes, outcome)
	if served {
		history.served++
		return
	}
	history.unserved++
}

// addViolation records that a guarantee did not hold.
func (history *history) addViolation(format string, args ...any) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.violations = append(history.violations, fmt.Sprintf(format, args...))
}

// check compares the outcomes that callers received with the runs that upstreams
// counted. It returns all violations, including those recorded before.
func (history *history) check() []string {
	history.lock.Lock()
	defer history.lock.Unlock()
	violations := history.violations
	for path, call := range history.calls {
		if reason := call.violation(); reason != "" {
			violations = append(violations, fmt.Sprintf("%s: %s (runs %d, sends %v)", path, reason, call.runs, call.outcomes))
		}
	}
	return violations
}

// maxAttemptsPerSend is the limit in the nodes' default retry settings on the
// attempts for one request. A read may run once for each attempt.
const maxAttemptsPerSend = 4

// violation describes how the call violates a guarantee, or returns "".
func (call *call) violation() string {
	allNotRun, ran := len(call.outcomes) > 0, false
	for _, outcome := range call.outcomes {
		allNotRun = allNotRun && outcome == proxy.OutcomeNotRun
		ran = ran || outcome == proxy.OutcomeRan
	}
	switch {
	case call.callKind == callProbe:
		return ""
	case call.callKind != callRead && call.runs > 1:
		return "ran more than once"
	case call.callKind == callRead && call.runs > maxAttemptsPerSend*max(1, len(call.outcomes)):
		return "ran more often than the retry limit permits"
	case allNotRun && call.runs > 0:
		return "ran although every response said not-run"
	case ran && call.runs == 0:
		return "a response said ran, but no upstream received the call"
	}
	return ""
}
