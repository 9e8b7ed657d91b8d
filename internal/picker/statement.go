package picker

import (
	"time"

	"github.com/vanillapulley/vanillapulley/internal/lease"
)

// Instance identifies one start of the upstream on a node.
type Instance struct {
	Node string
	ID   string
	// Born is the start time in milliseconds since 1970.
	Born int64
}

// statement is what an instance stated in its responses to calls of this node.
type statement struct {
	limit   lease.RateLimit
	leaving bool
	// at is the time of the latest response.
	at time.Time
}

// statementRetention is how long the statements of an instance are kept after its
// latest response while it is not among the targets. The node of a target may be
// away for that long and return without a memory of what the target stated.
const statementRetention = 10 * time.Minute

// Observe records what an instance stated in a response. An instance that is
// leaving is never chosen again. An instance without an ID cannot be told apart from
// the next one on its node. Of such an instance only the rate limit is recorded,
// because the first response of the next one corrects it.
func (picker *Picker) Observe(now time.Time, instance Instance, limit lease.RateLimit, leaving bool) {
	if state, ok := picker.states[instance.Node]; ok && state.target.instance() == instance {
		state.limit = limit
	}
	known := picker.statements[instance]
	leaving = instance.ID != "" && (leaving || known.leaving)
	if _, limited := limit.PerSecond(); !limited && !leaving {
		delete(picker.statements, instance)
		return
	}
	picker.statements[instance] = statement{limit: limit, leaving: leaving, at: now}
}

// instance returns the instance that the target describes.
func (target Target) instance() Instance {
	return Instance{Node: target.Name, ID: target.ID, Born: target.Born}
}

// forgetStatements removes statements that are older than statementRetention, except
// those of present targets.
func (picker *Picker) forgetStatements(now time.Time) {
	for instance, statement := range picker.statements {
		state, present := picker.states[instance.Node]
		if now.Sub(statement.at) > statementRetention && !(present && state.target.instance() == instance) {
			delete(picker.statements, instance)
		}
	}
}

// limitOf returns the rate limit of a target whose record has just arrived, given
// the state that the target had before, if any. A changed record is newer than what
// this node has seen itself.
func (picker *Picker) limitOf(target Target, state *targetState, known bool) lease.RateLimit {
	if known && state.target.instance() == target.instance() && state.target.Limit == target.Limit {
		return state.limit
	}
	if statement, ok := picker.statements[target.instance()]; ok && !known {
		return statement.limit
	}
	return target.Limit
}
