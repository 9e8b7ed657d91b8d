package gate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// OnReadmitted sets a function that is called with the current time when the zone of the
// gate is readmitted after an evacuation, before any call is admitted. The target may
// have become cold by then. The function is called with the gate's lock held, so it must
// neither block nor call the gate. It must be set before Start.
func (gate *Gate) OnReadmitted(readmitted func(now time.Time)) { gate.readmitted = readmitted }

// applyEvacuation puts the latest order on the gate's own zone into effect. A zone counts
// as readmitted also if the node has missed the start of the evacuation, since the target
// had no calls meanwhile.
func (gate *Gate) applyEvacuation(config *rsrc.Config) {
	order, _ := config.Evacuation(gate.settings.Zone)
	gate.lock.Lock()
	defer gate.lock.Unlock()
	if gate.configured && order.Revision() == gate.evacuation.Revision() {
		return
	}
	// After a start of the node, the state of the target is unknown anyway.
	if gate.configured && !order.Active() && gate.readmitted != nil {
		gate.readmitted(gate.now())
	}
	gate.evacuation, gate.configured = order, true
	gate.limit.SetEvacuated(order.Active())
}

// isEvacuated reports whether the zone of the gate is evacuated.
func (gate *Gate) isEvacuated() bool {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	return gate.limit.Evacuated()
}

// evacuatedRefusal refuses a call because of an evacuation.
func evacuatedRefusal() refusal {
	return refusal{status: fasthttp.StatusServiceUnavailable, reason: string(limit.ReasonEvacuated)}
}
