package ctrl

import (
	"context"
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// departureTimeout limits the time of one departure in the log. The node asks another
// control VM then.
const departureTimeout = 500 * time.Millisecond

// keepDeparture writes the departure of a node's upstream to the log. Nodes have no disk:
// after a loss of power of all processes, only the log tells which upstreams have left.
func (control *Control) keepDeparture(ctx context.Context, params json.RawMessage) (any, error) {
	var request wire.DepartureRequest
	if err := json.Unmarshal(params, &request); err != nil {
		return nil, trace.Wrap(err)
	}
	if request.Record.Name == "" || request.Record.ID == "" {
		return nil, trace.BadParameter("a departure must name the node and the upstream")
	}
	ctx, cancel := context.WithTimeout(ctx, departureTimeout)
	defer cancel()
	command := wire.Command{At: control.now().UTC(), Departures: []wire.Record{request.Record}}
	result, err := control.replica.Propose(ctx, command)
	if err == nil && result.Code != wire.CodeOK {
		err = trace.BadParameter("%s", result.Reason)
	}
	control.stats.Count("vp_departures_total", 1)
	return struct{}{}, err
}

// departures returns the departures that this replica has applied.
func (replica *replica) departures() []member.Departure {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return replica.store.Departures()
}
