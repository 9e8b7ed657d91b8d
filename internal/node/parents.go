package node

import (
	"strings"
	"sync"
)

// parents holds the calls that the upstream beside this node works on. What
// the upstream calls in turn comes in at this node, under the id of the call
// that it serves, alone or with a dot and a part of its own. Its lock guards
// all fields.
type parents struct {
	lock  sync.Mutex
	calls map[string]*parent
}

// parent is a call at the upstream.
type parent struct {
	priority int
	// starved is true once a call that it made was refused for want of room.
	starved bool
}

func newParents() *parents { return &parents{calls: map[string]*parent{}} }

// begin notes a call that goes to the upstream. An id that is there already is
// that of a second copy of the call; the first one counts.
func (parents *parents) begin(id string, priority int) {
	parents.lock.Lock()
	defer parents.lock.Unlock()
	if id != "" && parents.calls[id] == nil {
		parents.calls[id] = &parent{priority: priority}
	}
}

// end forgets a call and reports whether one that it made was refused for want
// of room.
func (parents *parents) end(id string) bool {
	parents.lock.Lock()
	defer parents.lock.Unlock()
	found := parents.calls[id]
	delete(parents.calls, id)
	return found != nil && found.starved
}

// find returns the call that a nested one serves. The lock must be held.
func (parents *parents) find(id string) *parent {
	if found := parents.calls[id]; found != nil {
		return found
	}
	if dot := strings.LastIndexByte(id, '.'); dot > 0 {
		return parents.calls[id[:dot]]
	}
	return nil
}

// rank returns the priority of a call: one that serves another is no more
// urgent than that.
func (parents *parents) effectivePriority(id string, priority int) int {
	parents.lock.Lock()
	defer parents.lock.Unlock()
	if found := parents.find(id); found != nil {
		return max(priority, found.priority)
	}
	return priority
}

// starve notes that a call was refused for want of room. The one that it serves
// fails for that reason, not for its upstream's.
func (parents *parents) markStarved(id string) {
	parents.lock.Lock()
	defer parents.lock.Unlock()
	if found := parents.find(id); found != nil {
		found.starved = true
	}
}
