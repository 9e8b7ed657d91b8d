package node

import (
	"strings"
	"sync"
)

// parents tracks the calls that the local upstream is serving. Calls that the
// upstream makes in turn (nested calls) enter at this node. Their id is that of
// the call being served, either unchanged or followed by a dot and a suffix.
// The lock guards all fields.
type parents struct {
	lock  sync.Mutex
	calls map[string]*parent
}

// parent is a call that the upstream is serving.
type parent struct {
	priority int
	// starved is true once a nested call was refused for lack of slots.
	starved bool
}

func newParents() *parents { return &parents{calls: map[string]*parent{}} }

// begin records a call that is sent to the upstream. If the id is already
// present, the call is a duplicate and the first one stays recorded.
func (parents *parents) begin(id string, priority int) {
	parents.lock.Lock()
	defer parents.lock.Unlock()
	if id != "" && parents.calls[id] == nil {
		parents.calls[id] = &parent{priority: priority}
	}
}

// end removes a call and reports whether one of its nested calls was refused
// for lack of slots.
func (parents *parents) end(id string) bool {
	parents.lock.Lock()
	defer parents.lock.Unlock()
	found := parents.calls[id]
	delete(parents.calls, id)
	return found != nil && found.starved
}

// find returns the parent of a nested call, or nil if there is none. The lock
// must be held.
func (parents *parents) find(id string) *parent {
	if found := parents.calls[id]; found != nil {
		return found
	}
	if dot := strings.LastIndexByte(id, '.'); dot > 0 {
		return parents.calls[id[:dot]]
	}
	return nil
}

// effectivePriority returns the priority of a call. A nested call is never more
// urgent than its parent; higher numbers are less urgent.
func (parents *parents) effectivePriority(id string, priority int) int {
	parents.lock.Lock()
	defer parents.lock.Unlock()
	if found := parents.find(id); found != nil {
		return max(priority, found.priority)
	}
	return priority
}

// markStarved records that a nested call was refused for lack of slots. If its
// parent then fails, the parent's upstream is not at fault.
func (parents *parents) markStarved(id string) {
	parents.lock.Lock()
	defer parents.lock.Unlock()
	if found := parents.find(id); found != nil {
		found.starved = true
	}
}
