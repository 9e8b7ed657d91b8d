// Package store is the replicated state machine: the configuration and the
// table of answered requests. It reads no clock and does no input or output;
// replicas that apply the same entries hold the same state.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// MaxAnswered bounds the table of answered requests; the oldest entry is
// forgotten first.
const MaxAnswered = 4096

// MaxHistory bounds the history of versions; maxNamed how many resources of one
// change it names.
const (
	MaxHistory = 100
	maxNamed   = 20
)

// Store holds the state after the last applied entry. It is not safe for
// concurrent use; the configuration it returns is immutable.
type Store struct {
	config *rsrc.Config
	// answered has an entry for each id in order.
	answered map[string]wire.Answered
	// order lists the request ids, oldest first, at most MaxAnswered.
	order []string
	// history lists accepted changes, oldest first, at most MaxHistory.
	history []wire.Past
}

// New returns an empty store.
func New() *Store {
	return &Store{config: rsrc.EmptyConfig(), answered: map[string]wire.Answered{}}
}

// Config returns the configuration after the last applied entry.
func (store *Store) Config() *rsrc.Config { return store.config }

// Answer returns the recorded result of a request and whether there is one.
func (store *Store) Answer(requestID string) (wire.Result, bool) {
	answered, ok := store.answered[requestID]
	return answered.Result, ok
}

// Apply carries out one log entry and returns its result. An entry that does
// not decode is a broken invariant of the log and comes back as an error.
func (store *Store) Apply(index uint64, data []byte) (wire.Result, error) {
	var command wire.Command
	if err := json.Unmarshal(data, &command); err != nil {
		return wire.Result{}, trace.Wrap(err, "log entry %d", index)
	}
	if answered, ok := store.answered[command.RequestID]; ok {
		if answered.Hash != command.Content {
			return wire.Result{Code: wire.CodeReused, Reason: "the request id was used before with other contents"}, nil
		}
		return answered.Result, nil
	}
	result := store.execute(index, command)
	if command.Lasting && result.Code != wire.CodeOK {
		return result, nil
	}
	store.record(wire.Answered{RequestID: command.RequestID, Hash: command.Content, Result: result})
	return result, nil
}

func (store *Store) execute(index uint64, command wire.Command) wire.Result {
	for _, expect := range command.Expect {
		if err := store.checkRevision(expect); err != nil {
			return refusal(err)
		}
	}
	resources, err := command.Resources()
	if err != nil {
		return refusal(err)
	}
	change := rsrc.Change{Put: resources}
	for _, key := range command.Remove {
		change.Remove = append(change.Remove, key.Domain())
	}
	store.dropEndedRollouts(&change)
	config, err := store.config.Apply(index, change)
	if err != nil {
		return refusal(err)
	}
	store.config = config
	store.remember(index, command, change)
	return wire.Result{Code: wire.CodeOK, Version: index}
}

// remember adds an accepted change to the history.
func (store *Store) remember(index uint64, command wire.Command, change rsrc.Change) {
	past := wire.Past{Version: index, At: command.At, Request: command.RequestID}
	name := func(keys []wire.Key, key rsrc.Key) []wire.Key {
		if len(past.Put)+len(past.Removed) >= maxNamed {
			past.More++
			return keys
		}
		return append(keys, wire.FromKey(key))
	}
	for _, resource := range change.Put {
		if edition, ok := resource.(rsrc.Edition); ok {
			past.Number = edition.Number()
			continue
		}
		past.Put = name(past.Put, resource.Key())
	}
	for _, key := range change.Remove {
		past.Removed = name(past.Removed, key)
	}
	store.history = append(store.history, past)
	store.history = store.history[max(0, len(store.history)-MaxHistory):]
}

// History returns the latest accepted changes, oldest first. The caller must
// not change it.
func (store *Store) History() []wire.Past { return store.history }

// dropEndedRollouts removes the history of rollouts along with their route, and
// any rollout along with its service.
func (store *Store) dropEndedRollouts(change *rsrc.Change) {
	for _, key := range change.Remove {
		var rollout rsrc.Rollout
		drop := false
		switch key.Kind() {
		case rsrc.KindRoute:
			rollout, drop = store.config.Rollout(key.Name())
			drop = drop && rollout.LatestStep().State.Ended()
		case rsrc.KindService:
			rollout, drop = store.config.ServiceRollout(key.Name())
		}
		if drop && !slices.Contains(change.Remove, rollout.Key()) {
			change.Remove = append(change.Remove, rollout.Key())
		}
	}
}

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

func refusal(err error) wire.Result {
	var conflict *rsrc.ConflictError
	if errors.As(err, &conflict) {
		return wire.Result{Code: wire.CodeConflict, Path: conflict.Key.String(), Reason: conflict.Reason()}
	}
	var fault *rsrc.ValidationError
	if errors.As(err, &fault) {
		return wire.Result{Code: wire.CodeInvalid, Path: fault.Path, Reason: fault.Reason}
	}
	return wire.Result{Code: wire.CodeInvalid, Reason: err.Error()}
}

func (store *Store) record(answered wire.Answered) {
	if answered.RequestID == "" {
		return
	}
	store.answered[answered.RequestID] = answered
	store.order = append(store.order, answered.RequestID)
	if len(store.order) > MaxAnswered {
		delete(store.answered, store.order[0])
		store.order = store.order[1:]
	}
}

// Snapshot encodes the whole state.
func (store *Store) Snapshot() []byte {
	state := wire.State{Config: wire.FromConfig(store.config), History: store.history}
	for _, id := range store.order {
		state.Answered = append(state.Answered, store.answered[id])
	}
	return wire.Must(state)
}

// Restore replaces the state by an encoded one; on error it stays as it was.
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
		return fmt.Errorf("snapshot: version %d is below the present %d", config.Version(), store.config.Version())
	}
	store.config = config
	store.answered = make(map[string]wire.Answered, len(state.Answered))
	store.order = nil
	store.history = state.History
	for _, answered := range state.Answered {
		store.record(answered)
	}
	return nil
}
