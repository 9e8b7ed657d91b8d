package gate

import (
	"strings"
	"sync"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/admit"
)

// ParentCalls tracks the calls that the local upstream is serving. Calls that
// the upstream makes in turn (nested calls) enter at this node. Their id is
// that of the call being served, either unchanged or followed by a dot and a
// suffix. The lock guards all fields.
type ParentCalls struct {
	lock  sync.Mutex
	calls map[string]*parentCall
	// admission decides on the calls that are not nested.
	admission *admit.Controller
}

// parentCall is a call that the upstream is serving.
type parentCall struct {
	priority int
	customer string
	route    string
	// nestedWait is the longest wait of a nested call for targets.
	nestedWait time.Duration
	// running counts the calls in progress with this id. It is at least one.
	running int
	// starved is true once a nested call was refused for lack of slots.
	starved bool
}

func newParentCalls() *ParentCalls {
	return &ParentCalls{calls: map[string]*parentCall{}, admission: admit.New()}
}

// begin records a call that is sent to the upstream. If the id is already
// present, the call is a duplicate, and the first one stays recorded.
func (parentCalls *ParentCalls) begin(id string, call parentCall) {
	parentCalls.lock.Lock()
	defer parentCalls.lock.Unlock()
	if id == "" {
		return
	}
	if parentCalls.calls[id] == nil {
		parentCalls.calls[id] = &call
	}
	parentCalls.calls[id].running++
}

// end ends a call and reports whether one of its nested calls was refused for lack
// of slots, and the longest wait of a nested call. The id is removed with the last of its calls, because the others may still
// make nested calls.
func (parentCalls *ParentCalls) end(id string) (starved bool, nestedWait time.Duration) {
	parentCalls.lock.Lock()
	defer parentCalls.lock.Unlock()
	found := parentCalls.calls[id]
	if found == nil {
		return false, 0
	}
	if found.running--; found.running == 0 {
		delete(parentCalls.calls, id)
	}
	return found.starved, found.nestedWait
}

// Customer returns the customer of the parent of a nested call. ok is false if no
// parent is in progress.
func (parentCalls *ParentCalls) Customer(id string) (customer string, ok bool) {
	parentCalls.lock.Lock()
	defer parentCalls.lock.Unlock()
	if found := parentCalls.find(id); found != nil {
		return found.customer, true
	}
	return "", false
}

// find returns the parent of a nested call, or nil if there is none. The lock
// must be held.
func (parentCalls *ParentCalls) find(id string) *parentCall {
	if found := parentCalls.calls[id]; found != nil {
		return found
	}
	if dot := strings.LastIndexByte(id, '.'); dot > 0 {
		return parentCalls.calls[id[:dot]]
	}
	return nil
}

// EffectivePriority returns the priority of a call. A nested call is never more
// urgent than its parent; higher numbers are less urgent.
func (parentCalls *ParentCalls) EffectivePriority(id string, priority int) int {
	parentCalls.lock.Lock()
	defer parentCalls.lock.Unlock()
	if found := parentCalls.find(id); found != nil {
		return max(priority, found.priority)
	}
	return priority
}

// MarkStarved records that a nested call was refused for lack of slots. If its
// parent then fails, the parent's upstream is not at fault.
func (parentCalls *ParentCalls) MarkStarved(id string) {
	parentCalls.lock.Lock()
	defer parentCalls.lock.Unlock()
	if found := parentCalls.find(id); found != nil {
		found.starved = true
	}
}

// ObserveNested records that a nested call has ended that waited for targets for the
// given time. congested is true if that was too long, or if it found no target.
func (parentCalls *ParentCalls) ObserveNested(now time.Time, id string, waited time.Duration, congested bool) {
	parentCalls.lock.Lock()
	defer parentCalls.lock.Unlock()
	if found := parentCalls.find(id); found != nil {
		found.nestedWait = max(found.nestedWait, waited)
		parentCalls.admission.Observe(now, found.route, congested)
	}
}

// admits reports whether a call that is not nested starts; see admit.Controller.
func (parentCalls *ParentCalls) admits(now time.Time, route string, late bool, random float64) bool {
	parentCalls.lock.Lock()
	defer parentCalls.lock.Unlock()
	return parentCalls.admission.Admit(now, route, late, random)
}
