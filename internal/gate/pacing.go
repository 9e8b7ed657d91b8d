package gate

import (
	"context"
	"time"
)

// applyLimit sets the rate at which calls are admitted to the lower one of the
// upstream's rate limit and its rate while it is cold. The lock must be held.
func (gate *Gate) applyLimit() {
	perSecond, limited := gate.rateLimit().PerSecond()
	if cold := gate.appliedWarmUp.perSecond; cold > 0 && (!limited || cold < perSecond) {
		perSecond, limited = cold, true
	}
	if limited {
		gate.limit.SetRate(gate.now(), perSecond)
	} else {
		gate.limit.ClearRate(gate.now())
	}
}

// wakePacing makes RunPacing look for the next call that waits for the rate limit.
// The lock must be held.
func (gate *Gate) wakePacing() {
	if _, waiting := gate.limit.NextAdmission(gate.now()); !waiting {
		return
	}
	select {
	case gate.pacing <- struct{}{}:
	default:
	}
}

// RunPacing admits the calls that wait for the rate limit when their turn comes,
// until the context ends.
func (gate *Gate) RunPacing(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-gate.pacing:
		case <-timer.C:
		}
		now := gate.now()
		gate.lock.Lock()
		gate.limit.Admit(now)
		delay, waiting := gate.limit.NextAdmission(now)
		gate.lock.Unlock()
		if waiting {
			timer.Reset(delay)
		}
	}
}
