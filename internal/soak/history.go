package soak

import (
	"fmt"
	"sync"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// callKind tells how a call may be treated.
type callKind int

// The uses of calls.
const (
	// callRead may run any number of times.
	callRead callKind = iota
	// callNonIdempotent has no key and must not run twice.
	callNonIdempotent
	// callKeyed has a key, may be sent again and must not run twice.
	callKeyed
	// callProbe is sent until the fleet is ready and not judged.
	callProbe
)

// call is what callers and upstreams saw of one call.
type call struct {
	callKind callKind
	runs     int
	// outcomes holds the outcomes of its sends; an empty one stands for a send
	// without an answer.
	outcomes []proxy.Outcome
}

// history collects what was seen of all calls. It is safe for concurrent use.
type history struct {
	lock  sync.Mutex
	calls map[string]*call
	// violations lists broken promises.
	violations []string
	served     int
	unserved   int
}

func newHistory() *history { return &history{calls: map[string]*call{}} }

// begin opens a call's entry.
func (history *history) begin(path string, callKind callKind) {
	history.lock.Lock()
	defer history.lock.Unlock()
	if history.calls[path] == nil {
		history.calls[path] = &call{callKind: callKind}
	}
}

// recordRun tells that an upstream got a call.
func (history *history) recordRun(path string) {
	history.lock.Lock()
	defer history.lock.Unlock()
	if call := history.calls[path]; call != nil {
		call.runs++
		return
	}
	history.violations = append(history.violations, path+" ran but was never sent")
}

// recordOutcome tells how a send ended.
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

// addViolation records a addViolation promise.
func (history *history) addViolation(format string, args ...any) {
	history.lock.Lock()
	defer history.lock.Unlock()
	history.violations = append(history.violations, fmt.Sprintf(format, args...))
}

// check compares what callers were told with what upstreams saw.
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

// maxTriesPerSend bounds the tries of a read: those of the route's default, for each of
// its sends.
const maxTriesPerSend = 4

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
	case call.callKind == callRead && call.runs > maxTriesPerSend*max(1, len(call.outcomes)):
		return "was tried too often"
	case allNotRun && call.runs > 0:
		return "ran though every answer said that it had not"
	case ran && call.runs == 0:
		return "was answered but never ran"
	}
	return ""
}
