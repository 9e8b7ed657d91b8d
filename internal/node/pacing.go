package node

import (
	"context"
	"time"
)

// applyLimit sets the rate at which calls are admitted to that of the upstream. The
// lock must be held.
func (gate *gate) applyLimit() {
	if perSecond, limited := gate.rateLimit().PerSecond(); limited {
		gate.limit.SetRate(gate.node.now(), perSecond)
	} else {
		gate.limit.ClearRate(gate.node.now())
	}
}

// wakePacing makes runPacing look for the next call that waits for the rate limit.
// The lock must be held.
func (gate *gate) wakePacing() {
	if _, waiting := gate.limit.NextAdmission(gate.node.now()); !waiting {
		return
	}
	select {
	case gate.pacing <- struct{}{}:
	default:
	}
}

// runPacing admits the calls that wait for the rate limit when their turn comes,
// until the context ends.
func (gate *gate) runPacing(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gate.pacing:
		case <-timer.C:
		}
		now := gate.node.now()
		gate.lock.Lock()
		gate.limit.Admit(now)
		delay, waiting := gate.limit.NextAdmission(now)
		gate.lock.Unlock()
		if waiting {
			timer.Reset(delay)
		}
	}
}
