package gate

import (
	"context"
	"time"
)

// departureTimeout limits the wait until other nodes know that the upstream leaves.
// The upstream waits a second for the acknowledgement.
const departureTimeout = 800 * time.Millisecond

// departure identifies an incarnation of an upstream that leaves.
type departure struct {
	id   string
	born int64
	// gone is true if the upstream has deregistered, false if it is draining.
	gone bool
}

// departure returns the departure of the latest upstream, if it leaves and has an ID.
// The lock must be held.
func (gate *Gate) departure() (departure, bool) {
	last := gate.tracker.Last()
	latest := departure{id: last.ID, born: last.Born, gone: gate.tracker.Deregistered()}
	return latest, last.ID != "" && (latest.gone || last.Draining)
}

// replicateDeparture waits until other nodes know that the upstream with this ID
// leaves. This node may be killed right after the acknowledgement, and after its
// restart it learns only from them which upstreams have left. It returns an error if
// the departure must not be acknowledged yet.
func (gate *Gate) replicateDeparture(ctx context.Context, id string) error {
	gate.lock.Lock()
	latest, leaving := gate.departure()
	known := latest == gate.replicated
	gate.lock.Unlock()
	if !leaving || known || latest.id != id {
		return nil
	}
	started := gate.now()
	err := gate.host.ReplicateRecord(ctx)
	gate.log.Info("departure of the upstream sent to other nodes", "upstream", id, "born", latest.born, "gone", latest.gone,
		"took", gate.now().Sub(started), "replicated", err == nil)
	if err != nil {
		return err
	}
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.replicated = latest
	return nil
}

// awaitFormerState waits until formerStateKnown returns true.
func (gate *Gate) awaitFormerState(ctx context.Context) error {
	select {
	case <-gate.formerState:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
