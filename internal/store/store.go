// Package store implements the replicated state machine. Its state consists of
// the configuration, the results of recent requests, the history of accepted
// changes, and the latest departures of upstreams. The package is deterministic:
// it reads no clock and does no I/O, so replicas that apply the same entries hold
// the same state.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// MaxRecordedResults is the maximum number of requests whose results are kept.
// The oldest result is evicted first.
const MaxRecordedResults = 4096

// MaxHistory is the maximum number of changes in the history, and
// maxKeysPerChange is the maximum number of resource keys listed for one change.
const (
	MaxHistory       = 100
	maxKeysPerChange = 20
)

// Store holds the state after the last applied log entry. It is not safe for
// concurrent use. The configuration that it returns is immutable.
type Store struct {
	config *rsrc.Config
	// recorded maps the request ids in requestIDs to their results.
	recorded map[string]wire.Answered
	// requestIDs lists at most MaxRecordedResults request ids, oldest first.
	requestIDs []string
	// history lists at most MaxHistory accepted changes, oldest first.
	history []wire.HistoryEntry
	// departures maps the names of nodes to the departures of their upstreams.
	departures map[string]member.Departure
}

// New returns an empty store.
func New() *Store {
	return &Store{config: rsrc.EmptyConfig(), recorded: map[string]wire.Answered{}, departures: map[string]member.Departure{}}
}

// Config returns the configuration after the last applied log entry.
func (store *Store) Config() *rsrc.Config { return store.config }

// RecordedResult returns the recorded result of a request and reports whether
// there is one.
func (store *Store) RecordedResult(requestID string) (wire.Result, bool) {
	recorded, ok := store.recorded[requestID]
	return recorded.Result, ok
}

// Apply executes one log entry and returns its result. If the request id of the
// entry has a recorded result, Apply changes nothing and returns that result, or
// CodeReused if the content differs. The result of a rejected command is not
// recorded if the command has RecordOnlyAccepted set, so that the same request can
// succeed later. Apply returns an error only if the entry cannot be decoded, which
// violates an invariant of the log.
func (store *Store) Apply(index uint64, data []byte) (wire.Result, error) {
	var command wire.Command
	if err := json.Unmarshal(data, &command); err != nil {
		return wire.Result{}, trace.Wrap(err, "decode log entry %d", index)
	}
	if recorded, ok := store.recorded[command.RequestID]; ok {
		if recorded.Hash != command.Content {
			return wire.Result{Code: wire.CodeReused, Reason: "the request id was used before with other contents"}, nil
		}
		return recorded.Result, nil
	}
	result := store.execute(index, command)
	if command.RecordOnlyAccepted && result.Code != wire.CodeOK {
		return result, nil
	}
	store.recordResult(wire.Answered{RequestID: command.RequestID, Hash: command.Content, Result: result})
	return result, nil
}

// execute applies a command if all expected revisions match and the resulting
// configuration is valid.
func (store *Store) execute(index uint64, command wire.Command) wire.Result {
	if len(command.Departures) > 0 {
		store.keepDepartures(command)
		return wire.Result{Code: wire.CodeOK, Version: store.config.Version()}
	}
	for _, expect := range command.Expect {
		if err := store.checkRevision(expect); err != nil {
			return errorResult(err)
		}
	}
	resources, err := command.Resources()
	if err != nil {
		return errorResult(err)
	}
	change := rsrc.Change{Put: resources}
	for _, key := range command.Remove {
		change.Remove = append(change.Remove, key.Domain())
	}
	RemoveObsoleteRollouts(store.config, &change)
	config, err := store.config.Apply(index, change)
	if err != nil {
		return errorResult(err)
	}
	store.config = config
	store.recordChange(index, command, change)
	return wire.Result{Code: wire.CodeOK, Version: index}
}

// recordChange appends an accepted change to the history. Keys beyond
// maxKeysPerChange are only counted, in the field More. An Edition in the change is
// not listed; its number is recorded in the field Number.
func (store *Store) recordChange(index uint64, command wire.Command, change rsrc.Change) {
	entry := wire.HistoryEntry{Version: index, At: command.At, Request: command.RequestID}
	appendKey := func(keys []wire.Key, key rsrc.Key) []wire.Key {
		if len(entry.Put)+len(entry.Removed) >= maxKeysPerChange {
			entry.More++
			return keys
		}
		return append(keys, wire.FromKey(key))
	}
	for _, resource := range change.Put {
		if edition, ok := resource.(rsrc.Edition); ok {
			entry.Number = edition.Number()
			continue
		}
		entry.Put = appendKey(entry.Put, resource.Key())
	}
	for _, key := range change.Remove {
		entry.Removed = appendKey(entry.Removed, key)
	}
	store.history = append(store.history, entry)
	store.history = store.history[max(0, len(store.history)-MaxHistory):]
}

// History returns the latest accepted changes, oldest first. The caller must
// not modify the slice.
func (store *Store) History() []wire.HistoryEntry { return store.history }

// RemoveObsoleteRollouts extends a change of a configuration so that it also removes the
// rollouts of removed routes and services. A route's rollout that is still in progress is kept,
// so that the change is rejected, because the rollout needs its route. A service's
// rollout is removed even if it is in progress.
func RemoveObsoleteRollouts(config *rsrc.Config, change *rsrc.Change) {
	for _, key := range change.Remove {
		var rollout rsrc.Rollout
		ok := false
		switch key.Kind() {
		case rsrc.KindRoute:
			rollout, ok = config.Rollout(key.Name())
			ok = ok && rollout.LatestStep().State.Ended()
		case rsrc.KindService:
			rollout, ok = config.ServiceRollout(key.Name())
		}
		if ok && !slices.Contains(change.Remove, rollout.Key()) {
			change.Remove = append(change.Remove, rollout.Key())
		}
	}
}

// checkRevision returns a ConflictError if a resource does not have the expected
// revision. The revision of a missing resource is zero.
func (store *Store) checkRevision(expect wire.Expect) error {
	key := expect.Key.Domain()
	current := uint64(0)
	if resource, ok := store.config.Get(key); ok {
		current = resource.Revision()
	}
	if current != expect.Revision {
		return &rsrc.ConflictError{Key: key, Expected: expect.Revision, Current: current}
	}
	return nil
}

// errorResult returns the result of a command that was rejected with err.
func errorResult(err error) wire.Result {
	var conflict *rsrc.ConflictError
	if errors.As(err, &conflict) {
		return wire.Result{Code: wire.CodeConflict, Path: conflict.Key.String(), Reason: conflict.Reason()}
	}
	var validationError *rsrc.ValidationError
	if errors.As(err, &validationError) {
		return wire.Result{Code: wire.CodeInvalid, Path: validationError.Path, Reason: validationError.Reason}
	}
	return wire.Result{Code: wire.CodeInvalid, Reason: err.Error()}
}

// recordResult records the result of a request and evicts the oldest result if
// there are too many. Requests without an id are not recorded.
func (store *Store) recordResult(recorded wire.Answered) {
	if recorded.RequestID == "" {
		return
	}
	store.recorded[recorded.RequestID] = recorded
	store.requestIDs = append(store.requestIDs, recorded.RequestID)
	if len(store.requestIDs) > MaxRecordedResults {
		delete(store.recorded, store.requestIDs[0])
		store.requestIDs = store.requestIDs[1:]
	}
}

// Snapshot returns the encoded state.
func (store *Store) Snapshot() []byte {
	state := wire.State{Config: wire.FromConfig(store.config), History: store.history, Departures: wire.FromDepartures(store.Departures())}
	for _, id := range store.requestIDs {
		state.Answered = append(state.Answered, store.recorded[id])
	}
	return wire.MustEncode(state)
}

// Restore replaces the state with one that Snapshot encoded. On error the state
// does not change. A configuration older than the current one is an error.
func (store *Store) Restore(data []byte) error {
	var state wire.State
	if err := json.Unmarshal(data, &state); err != nil {
		return trace.Wrap(err, "snapshot")
	}
	config, err := state.Config.Domain()
	if err != nil {
		return trace.Wrap(err, "snapshot")
	}
	if config.Version() < store.config.Version() {
		return fmt.Errorf("snapshot: version %d is below the current version %d", config.Version(), store.config.Version())
	}
	store.config = config
	store.recorded = make(map[string]wire.Answered, len(state.Answered))
	store.requestIDs = nil
	store.history = state.History
	store.departures = map[string]member.Departure{}
	for _, departure := range wire.ToDepartures(state.Departures) {
		store.departures[departure.Record.Name] = departure
	}
	for _, recorded := range state.Answered {
		store.recordResult(recorded)
	}
	return nil
}
