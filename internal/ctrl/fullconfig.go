package ctrl

import (
	"context"
	"fmt"
	"reflect"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/store"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// FullConfig is a configuration that replaces all services, routes and accounts. Its
// Number, its Limits, its Numbers and the order of its accounts are stored in the edition
// resource. The version of a configuration is not its Number but the index of the log entry
// that changed it last.
type FullConfig struct {
	// Number is assigned by the operators and must be greater than the number of
	// the current configuration.
	Number uint64
	// Base is the number of the configuration that this one is based on. It is
	// zero for the first configuration.
	Base uint64
	// Content is a hash of the operator's request. Requests with the same Number
	// and Content count as the same request.
	Content  uint64
	Services []rsrc.Service
	Routes   []rsrc.Route
	// Accounts is nil if the operators sent no list of accounts.
	Accounts []rsrc.Account
	Limits   rsrc.Limits
	// Numbers contains the numbers sent for times that no time.Duration represents
	// exactly, by field, so that they are read back as they were sent.
	Numbers map[string]float64
}

// requestID returns the request id, which is the same each time the operator
// sends this configuration.
func (fullConfig FullConfig) requestID() string {
	return fmt.Sprintf("whole:%d:%016x", fullConfig.Number, fullConfig.Content)
}

// ReplaceConfig replaces the configuration. The error is a *wire.APIError with
// one of these codes:
//
//   - CodeConflict: fullConfig is not based on the current configuration.
//   - CodeInvalid: fullConfig breaks a rule.
//   - CodeUnavailable: no quorum could be reached in time. The configuration may or
//     may not have been replaced.
//
// ReplaceConfig returns nil for a request that was accepted before.
func (control *Control) ReplaceConfig(ctx context.Context, fullConfig FullConfig) error {
	config, err := control.replica.LinearizableConfig(ctx)
	if err != nil {
		return &wire.APIError{Code: wire.CodeUnavailable, Reason: err.Error()}
	}
	if control.replica.hasResult(fullConfig.requestID()) {
		return nil
	}
	edition, _ := config.Edition()
	if edition.Number() != fullConfig.Base {
		return &wire.APIError{Code: wire.CodeConflict, Path: edition.Key().String(), Reason: fmt.Sprintf("the configuration in force is %d, not %d", edition.Number(), fullConfig.Base)}
	}
	change, err := fullConfig.change(config, edition)
	if err == nil {
		// Validate the change before proposing it. The result is not used.
		store.RemoveObsoleteRollouts(config, &change)
		_, err = config.Apply(config.Version()+1, change)
	}
	if err != nil {
		return &wire.APIError{Code: wire.CodeInvalid, Reason: err.Error()}
	}
	command := wire.Command{
		RequestID:          fullConfig.requestID(),
		Content:            fullConfig.Content,
		RecordOnlyAccepted: true,
		At:                 control.now().UTC(),
		Expect:             []wire.Expect{{Key: wire.FromKey(edition.Key()), Revision: edition.Revision()}},
	}
	for _, resource := range change.Put {
		command.Put = append(command.Put, withoutRevision(resource))
	}
	for _, key := range change.Remove {
		command.Remove = append(command.Remove, wire.FromKey(key))
	}
	return control.proposeAndLog(ctx, command)
}

// proposeAndLog proposes a command and logs the outcome. If the command
// is not accepted, or the outcome is unknown, it returns a *wire.APIError.
func (control *Control) proposeAndLog(ctx context.Context, command wire.Command) error {
	result, err := control.replica.Propose(ctx, command)
	switch {
	case err != nil:
		control.log.Info("command outcome unknown", "id", command.RequestID, "reason", err.Error())
		return &wire.APIError{Code: wire.CodeUnavailable, Reason: err.Error()}
	case result.Code != wire.CodeOK:
		control.log.Info("command rejected", "id", command.RequestID, "code", string(result.Code), "reason", result.Reason)
		return &wire.APIError{Code: result.Code, Path: result.Path, Reason: result.Reason}
	default:
		control.log.Info("command accepted", "id", command.RequestID, "version", result.Version)
		return nil
	}
}

// change returns the change that turns the current configuration into fullConfig.
func (fullConfig FullConfig) change(config *rsrc.Config, edition rsrc.Edition) (rsrc.Change, error) {
	if fullConfig.Number <= edition.Number() {
		return rsrc.Change{}, &rsrc.ValidationError{Path: "number", Reason: fmt.Sprintf("%d is not above %d", fullConfig.Number, edition.Number())}
	}
	desired := map[rsrc.Key]bool{}
	change := rsrc.Change{Put: []rsrc.Resource{fullConfig.edition()}}
	addDesired := func(resource rsrc.Resource) error {
		if desired[resource.Key()] {
			return &rsrc.ValidationError{Path: resource.Key().String(), Reason: "is there twice"}
		}
		desired[resource.Key()] = true
		existing, ok := config.Get(resource.Key())
		if !ok || !reflect.DeepEqual(existing.WithRevision(0), resource) {
			change.Put = append(change.Put, resource)
		}
		return nil
	}
	for _, service := range fullConfig.Services {
		if err := addDesired(service); err != nil {
			return change, err
		}
	}
	for _, route := range fullConfig.Routes {
		if route.Host() == "" {
			return change, &rsrc.ValidationError{Path: route.Key().String() + ".host", Reason: "is missing"}
		}
		if err := addDesired(route); err != nil {
			return change, err
		}
	}
	for _, account := range fullConfig.Accounts {
		if err := checkAccount(account); err != nil {
			return change, err
		}
		if err := addDesired(account); err != nil {
			return change, err
		}
	}
	for _, resource := range config.All() {
		if replacedKinds[resource.Key().Kind()] && !desired[resource.Key()] {
			change.Remove = append(change.Remove, resource.Key())
		}
	}
	return change, nil
}

// replacedKinds are the kinds of resources that a full configuration replaces.
var replacedKinds = map[rsrc.Kind]bool{rsrc.KindService: true, rsrc.KindRoute: true, rsrc.KindAccount: true}

// edition returns the edition resource of the configuration.
func (fullConfig FullConfig) edition() rsrc.Edition {
	edition := rsrc.NewEdition(fullConfig.Number, fullConfig.Limits).WithNumbers(fullConfig.Numbers)
	if fullConfig.Accounts == nil {
		return edition
	}
	names := make([]string, 0, len(fullConfig.Accounts))
	for _, account := range fullConfig.Accounts {
		names = append(names, account.Name())
	}
	return edition.WithAccounts(names)
}

// checkAccount returns an error for an account without its keys, such as a read
// returns it. To write it would remove the keys from the store.
func checkAccount(resource rsrc.Resource) error {
	if account, ok := resource.(rsrc.Account); ok && !account.HasKeys() {
		return &rsrc.ValidationError{Path: account.Key().String() + ".spec.keyDigests", Reason: "is read only: send keys"}
	}
	return nil
}

// CurrentConfig performs a linearizable read of the configuration. The error is a
// *wire.APIError with CodeUnavailable.
func (control *Control) CurrentConfig(ctx context.Context) (*rsrc.Config, error) {
	config, err := control.replica.LinearizableConfig(ctx)
	if err != nil {
		return nil, &wire.APIError{Code: wire.CodeUnavailable, Reason: err.Error()}
	}
	return config, nil
}

// StartServiceRollout starts the rollout of a whole service. A repeated call with
// the same arguments returns nil while the rollout is in progress, and within
// resendWindow after this replica first saw it in progress. Later, it starts the rollout
// anew. The error is a *wire.APIError with CodeConflict (another rollout of the service
// is in progress), CodeInvalid or CodeUnavailable.
func (control *Control) StartServiceRollout(ctx context.Context, service, to string, within time.Duration) error {
	config, err := control.CurrentConfig(ctx)
	if err != nil {
		return err
	}
	current, exists := config.ServiceRollout(service)
	if exists && current.To() == to && current.TimeLimit() == within {
		if !current.LatestStep().State.Ended() {
			return nil
		}
		switch control.rolloutManager.classifyOrder(current.Epoch()) {
		case resendYes:
			return nil
		case resendUnclear:
			return &wire.APIError{Code: wire.CodeUnavailable, Reason: "it is not known yet whether this repeats the order of the rollout that has ended"}
		}
	}
	if exists && !current.LatestStep().State.Ended() {
		return &wire.APIError{Code: wire.CodeConflict, Path: current.Key().String(), Reason: "a rollout to " + current.To() + " is in progress"}
	}
	now := control.now().UTC()
	rollout := rsrc.NewServiceRollout(service, to, within, now)
	// Validate the rollout before proposing it. The result is not used.
	if _, err := config.Apply(config.Version()+1, rsrc.Change{Put: []rsrc.Resource{rollout}}); err != nil {
		return &wire.APIError{Code: wire.CodeInvalid, Reason: err.Error()}
	}
	return control.proposeAndLog(ctx, wire.Command{
		// The epoch of the previous rollout, or zero, distinguishes this request
		// from one for an earlier rollout with the same arguments.
		RequestID:          fmt.Sprintf("shift:%s:%s:%s:%d", service, to, within, current.Epoch()),
		RecordOnlyAccepted: true,
		At:                 now,
		Expect:             []wire.Expect{{Key: wire.FromKey(rollout.Key()), Revision: current.Revision()}},
		Put:                []wire.Resource{wire.FromResource(rollout)},
	})
}
