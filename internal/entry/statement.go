package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// observeTarget records what a target stated about itself in its response to a call.
// The lock must be held.
func (entry *Entry) observeTarget(now time.Time, target picker.Target, result result, response *fasthttp.Response) {
	if result.load == nil {
		// The response does not come from the target's gate.
		return
	}
	chosen := picker.Instance{Node: target.Name, ID: target.ID, Born: target.Born}
	stated := chosen
	if result.instanceKnown {
		stated.ID, stated.Born = result.instanceID, result.instanceBorn
	}
	entry.picker.Observe(now, stated, result.statement.Limit, result.statement.Leaving)
	entry.picker.ObserveWarmUp(now, stated, result.warmUp)
	if result.outcome == proxy.OutcomeRan && !result.statement.Leaving && entry.dialect.ResponseInfo(response).Statement.Leaving {
		// The gate is of an older build and does not repeat the statement, or it has
		// another upstream by now.
		entry.picker.Observe(now, chosen, lease.RateLimit{}, true)
	}
}
