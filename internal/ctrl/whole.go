package ctrl

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Whole is a configuration that replaces all services and routes.
type Whole struct {
	// Number is the operators' own and must be above the present one.
	Number uint64
	// Base is the number of the configuration that this one builds on, zero
	// for the first.
	Base uint64
	// Content is a hash of what the operator sent; the same number and content
	// sent again is the same order.
	Content  uint64
	Services []rsrc.Service
	Routes   []rsrc.Route
	Limits   rsrc.Limits
}

// requestID is the same for every copy of an order.
func (whole Whole) requestID() string {
	return fmt.Sprintf("whole:%d:%016x", whole.Number, whole.Content)
}

// Replace puts a whole configuration in force. The error is a *wire.APIError
// that says why not: CodeConflict when it builds on another configuration than
// the present one, CodeInvalid when it breaks a rule, CodeUnavailable when the
// outcome is not known here. An order that was accepted before is accepted
// again.
func (control *Control) Replace(ctx context.Context, whole Whole) error {
	present, err := control.replica.Fresh(ctx)
	if err != nil {
		return &wire.APIError{Code: wire.CodeUnavailable, Reason: err.Error()}
	}
	if control.replica.known(whole.requestID()) {
		return nil
	}
	edition, _ := present.Edition()
	if edition.Number() != whole.Base {
		return &wire.APIError{Code: wire.CodeConflict, Path: edition.Key().String(), Reason: fmt.Sprintf("the configuration in force is %d, not %d", edition.Number(), whole.Base)}
	}
	change, err := whole.change(present, edition)
	if err == nil {
		_, err = present.Apply(present.Version()+1, change)
	}
	if err != nil {
		return &wire.APIError{Code: wire.CodeInvalid, Reason: err.Error()}
	}
	command := wire.Command{
		RequestID: whole.requestID(),
		Content:   whole.Content,
		Lasting:   true,
		At:        control.now().UTC(),
		Expect:    []wire.Expect{{Key: wire.FromKey(edition.Key()), Revision: edition.Revision()}},
	}
	for _, resource := range change.Put {
		command.Put = append(command.Put, withoutRevision(resource))
	}
	for _, key := range change.Remove {
		command.Remove = append(command.Remove, wire.FromKey(key))
	}
	return control.order(ctx, command)
}

// order proposes a command and returns why it was not accepted.
func (control *Control) order(ctx context.Context, command wire.Command) error {
	result, err := control.replica.Propose(ctx, command)
	switch {
	case err != nil:
		control.log.Info("order without outcome", "id", command.RequestID, "reason", err.Error())
		return &wire.APIError{Code: wire.CodeUnavailable, Reason: err.Error()}
	case result.Code != wire.CodeOK:
		control.log.Info("order refused", "id", command.RequestID, "code", string(result.Code), "reason", result.Reason)
		return &wire.APIError{Code: result.Code, Path: result.Path, Reason: result.Reason}
	default:
		control.log.Info("order accepted", "id", command.RequestID, "version", result.Version)
		return nil
	}
}

// change is what differs between the present configuration and the whole one.
func (whole Whole) change(present *rsrc.Config, edition rsrc.Edition) (rsrc.Change, error) {
	if whole.Number <= edition.Number() {
		return rsrc.Change{}, &rsrc.ValidationError{Path: "number", Reason: fmt.Sprintf("%d is not above %d", whole.Number, edition.Number())}
	}
	wanted := map[rsrc.Key]bool{}
	change := rsrc.Change{Put: []rsrc.Resource{rsrc.NewEdition(whole.Number, whole.Limits)}}
	want := func(resource rsrc.Resource) error {
		if wanted[resource.Key()] {
			return &rsrc.ValidationError{Path: resource.Key().String(), Reason: "is there twice"}
		}
		wanted[resource.Key()] = true
		held, ok := present.Get(resource.Key())
		if !ok || !reflect.DeepEqual(held.WithRevision(0), resource) {
			change.Put = append(change.Put, resource)
		}
		return nil
	}
	for _, service := range whole.Services {
		if err := want(service); err != nil {
			return change, err
		}
	}
	for _, route := range whole.Routes {
		if route.Host() == "" {
			return change, &rsrc.ValidationError{Path: route.Key().String() + ".host", Reason: "is missing"}
		}
		if err := want(route); err != nil {
			return change, err
		}
	}
	for _, resource := range present.All() {
		kind := resource.Key().Kind()
		if (kind == rsrc.KindService || kind == rsrc.KindRoute) && !wanted[resource.Key()] {
			change.Remove = append(change.Remove, resource.Key())
		}
	}
	return change, nil
}

// Present returns the configuration in force, confirmed by the quorum.
func (control *Control) Present(ctx context.Context) (*rsrc.Config, error) {
	present, err := control.replica.Fresh(ctx)
	if err != nil {
		return nil, &wire.APIError{Code: wire.CodeUnavailable, Reason: err.Error()}
	}
	return present, nil
}

// ShiftService starts the rollout of a whole service. The same order is
// accepted again while its rollout runs and shortly after.
func (control *Control) ShiftService(ctx context.Context, service, to string, within time.Duration) error {
	present, err := control.Present(ctx)
	if err != nil {
		return err
	}
	current, exists := present.ServiceRollout(service)
	if exists && current.To() == to && current.TimeLimit() == within {
		if !current.LatestStep().State.Ended() || control.rollouts.justEnded(current.Epoch()) {
			return nil
		}
	}
	if exists && !current.LatestStep().State.Ended() {
		return &wire.APIError{Code: wire.CodeConflict, Path: current.Key().String(), Reason: "a rollout to " + current.To() + " is in progress"}
	}
	now := control.now().UTC()
	rollout := rsrc.NewServiceRollout(service, to, within, now)
	if _, err := present.Apply(present.Version()+1, rsrc.Change{Put: []rsrc.Resource{rollout}}); err != nil {
		return &wire.APIError{Code: wire.CodeInvalid, Reason: err.Error()}
	}
	return control.order(ctx, wire.Command{
		RequestID: fmt.Sprintf("shift:%s:%s:%s:%d", service, to, within, current.Epoch()),
		Lasting:   true,
		At:        now,
		Expect:    []wire.Expect{{Key: wire.FromKey(rollout.Key()), Revision: current.Revision()}},
		Put:       []wire.Resource{wire.FromResource(rollout)},
	})
}
