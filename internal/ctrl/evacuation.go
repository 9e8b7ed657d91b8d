package ctrl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// PathEvacuations is the path of the evacuations in the API.
const PathEvacuations = "/v1/evacuations"

// EvacuationOrder returns the order that a request gives. ok is false if the request
// is not an order on a zone.
func EvacuationOrder(request *fasthttp.RequestCtx) (order rsrc.Evacuation, ok bool) {
	zone, ok := strings.CutPrefix(string(request.Path()), PathEvacuations+"/")
	if !ok || !request.IsPut() && !request.IsDelete() {
		return rsrc.Evacuation{}, false
	}
	return rsrc.NewEvacuation(zone, request.IsPut()), true
}

// SetEvacuation executes an order on a zone and returns the configuration version of
// the order. An order that is already in effect is accepted again, with the version of
// the first one. The request is that of the order; see isConnected. The error is a
// *wire.APIError with CodeInvalid or CodeUnavailable; the order can be sent again
// after the latter.
func (control *Control) SetEvacuation(ctx context.Context, request *fasthttp.RequestCtx, order rsrc.Evacuation) (uint64, error) {
	config, err := control.CurrentConfig(ctx)
	if err != nil {
		return 0, err
	}
	current, exists := config.Evacuation(order.Zone())
	if exists && current.Active() == order.Active() {
		return current.Revision(), nil
	}
	// The order is based on the revision that was read above. If this process is
	// frozen after the check of the connection, and a later order is accepted
	// meanwhile, the expected revision does not match.
	if !isConnected(request.Conn()) {
		control.log.Info("evacuation order of a client that has left ignored", "zone", order.Zone(), "active", order.Active())
		return 0, &wire.APIError{Code: wire.CodeUnavailable, Path: order.Key().String(), Reason: "the client has closed its connection"}
	}
	// Validate the order before proposing it. The result is not used.
	if _, err := config.Apply(config.Version()+1, rsrc.Change{Put: []rsrc.Resource{order}}); err != nil {
		return 0, invalidError(err)
	}
	result, err := control.replica.Propose(ctx, evacuationCommand(control, order, current))
	switch {
	case err != nil:
		control.log.Info("evacuation order without outcome", "zone", order.Zone(), "active", order.Active(), "basedOn", current.Revision(), "reason", err.Error())
		return 0, &wire.APIError{Code: wire.CodeUnavailable, Path: order.Key().String(), Reason: err.Error()}
	case result.Code == wire.CodeOK:
		control.log.Info("evacuation order accepted", "zone", order.Zone(), "active", order.Active(), "version", result.Version)
		return result.Version, nil
	case result.Code != wire.CodeConflict:
		return 0, &wire.APIError{Code: result.Code, Path: result.Path, Reason: result.Reason}
	}
	return control.acceptConcurrent(ctx, order)
}

// acceptConcurrent accepts an order if another order on the same zone has had the same
// effect meanwhile. It does not execute the order on the new revision, because the
// order may be older than the one that was accepted.
func (control *Control) acceptConcurrent(ctx context.Context, order rsrc.Evacuation) (uint64, error) {
	config, err := control.CurrentConfig(ctx)
	if err != nil {
		return 0, err
	}
	current, _ := config.Evacuation(order.Zone())
	if current.Active() == order.Active() {
		return current.Revision(), nil
	}
	control.log.Info("evacuation order rejected", "zone", order.Zone(), "active", order.Active(), "current", current.Revision())
	return 0, &wire.APIError{Code: wire.CodeUnavailable, Path: order.Key().String(), Reason: "another order on the zone was accepted meanwhile; send the order again"}
}

// evacuationCommand returns the command of an order that is based on the current state
// of the zone. The request id is the same for all orders with the same effect on the
// same state, so that they become one change.
func evacuationCommand(control *Control, order, current rsrc.Evacuation) wire.Command {
	verb := "start"
	if !order.Active() {
		verb = "finish"
	}
	return wire.Command{
		RequestID:          fmt.Sprintf("evacuation:%s:%s:%d", order.Zone(), verb, current.Revision()),
		RecordOnlyAccepted: true,
		At:                 control.now().UTC(),
		Expect:             []wire.Expect{{Key: wire.FromKey(order.Key()), Revision: current.Revision()}},
		Put:                []wire.Resource{withoutRevision(order)},
	}
}

// invalidError returns a validation error as an error of the API.
func invalidError(err error) *wire.APIError {
	var validationError *rsrc.ValidationError
	if errors.As(err, &validationError) {
		return &wire.APIError{Code: wire.CodeInvalid, Path: validationError.Path, Reason: validationError.Reason}
	}
	return &wire.APIError{Code: wire.CodeInvalid, Reason: err.Error()}
}

// setEvacuation handles an order on a zone.
func (control *Control) setEvacuation(ctx context.Context, request *fasthttp.RequestCtx, order rsrc.Evacuation) {
	version, err := control.SetEvacuation(ctx, request, order)
	if err != nil {
		replyOutcome(request, err)
		return
	}
	reply(request, wire.Result{Code: wire.CodeOK, Version: version})
}

// isConnected reports whether the client has not closed its connection. Orders on
// zones carry no request id, and clients resend them to other control VMs when they get
// no answer. If this VM was frozen before it read the request, the client has left, and
// its later orders may have been accepted since; the order must then not be executed. A
// connection that cannot be examined counts as open.
func isConnected(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return true
	}
	connected := true
	var next [1]byte
	err = raw.Control(func(descriptor uintptr) {
		n, _, err := unix.Recvfrom(int(descriptor), next[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		connected = n > 0 || errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EINTR)
	})
	return connected && err == nil
}
