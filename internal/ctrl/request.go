package ctrl

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// forwardRetryDelay is the delay before a request to the leader is retried.
const forwardRetryDelay = 100 * time.Millisecond

// attemptTimeout is the timeout of one attempt at the leader: a commit takes milliseconds
// and an election up to 1.2 s. A leader whose disk hangs answers nothing, and there is
// another one by then.
const attemptTimeout = 2 * time.Second

// ErrUnavailable means that a request got no result: no leader or quorum could be
// reached in time, the log entry was replaced, or a write to disk failed. A command
// may or may not have been executed. It may be sent again with the same request id.
var ErrUnavailable = errors.New("no quorum of control VMs answered in time; send the request again with the same request id")

// proposeLocal executes a command if this replica is the leader. Otherwise it
// returns an error.
func (replica *replica) proposeLocal(ctx context.Context, command wire.Command) (wire.Result, error) {
	proposal := &proposal{data: wire.MustEncode(command), answer: make(chan proposalAnswer, 1)}
	if !replica.enqueue(ctx, event{propose: proposal}) {
		return wire.Result{}, ErrUnavailable
	}
	select {
	case answer := <-proposal.answer:
		return answer.result, answer.err
	case <-ctx.Done():
		return wire.Result{}, ErrUnavailable
	}
}

// Propose executes a command on the leader, which may be this replica or another
// one, and waits for its result. It retries until the context ends, and then returns
// ErrUnavailable. Retries are safe, because the command contains the request id.
func (replica *replica) Propose(ctx context.Context, command wire.Command) (wire.Result, error) {
	for {
		result, err := replica.proposeOnce(ctx, command)
		if err == nil {
			return result, nil
		}
		select {
		case <-ctx.Done():
			return wire.Result{}, ErrUnavailable
		case <-time.After(forwardRetryDelay):
		}
	}
}

// proposeOnce makes one attempt to execute a command on the leader.
func (replica *replica) proposeOnce(ctx context.Context, command wire.Command) (wire.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if replica.isLeader() {
		return replica.proposeLocal(ctx, command)
	}
	address := replica.leader().Address
	if address == "" {
		return wire.Result{}, ErrUnavailable
	}
	var answer wire.ProposeAnswer
	err := replica.caller.Call(ctx, address, methodPropose, command, &answer)
	return answer.Result, err
}

// readIndexLocal returns the index for a linearizable read, confirmed by a quorum,
// if this replica is the leader. Otherwise it returns an error.
func (replica *replica) readIndexLocal(ctx context.Context) (uint64, error) {
	readRequest := &readRequest{answer: make(chan readAnswer, 1)}
	if !replica.enqueue(ctx, event{read: readRequest}) {
		return 0, ErrUnavailable
	}
	select {
	case answer := <-readRequest.answer:
		return answer.index, answer.err
	case <-ctx.Done():
		return 0, ErrUnavailable
	}
}

// LinearizableConfig performs a linearizable read: it returns a configuration that
// includes every change committed before the call, confirmed by a quorum. If the
// context ends first, or this replica cannot write to its disk, it returns
// ErrUnavailable and a configuration that may be outdated or empty.
func (replica *replica) LinearizableConfig(ctx context.Context) (*rsrc.Config, error) {
	for {
		index, err := replica.readIndexOnce(ctx)
		if err == nil {
			return replica.waitApplied(ctx, index)
		}
		if replica.suspended.Load() {
			return rsrc.EmptyConfig(), ErrUnavailable
		}
		select {
		case <-ctx.Done():
			return rsrc.EmptyConfig(), ErrUnavailable
		case <-time.After(forwardRetryDelay):
		}
	}
}

// readIndexOnce makes one attempt to get the index for a linearizable read from
// the leader.
func (replica *replica) readIndexOnce(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if replica.isLeader() {
		return replica.readIndexLocal(ctx)
	}
	address := replica.leader().Address
	if address == "" {
		return 0, ErrUnavailable
	}
	var answer wire.ReadAnswer
	err := replica.caller.Call(ctx, address, methodRead, nil, &answer)
	return answer.Index, err
}

// waitApplied returns the configuration once the log is applied up to index.
func (replica *replica) waitApplied(ctx context.Context, index uint64) (*rsrc.Config, error) {
	return replica.waitFor(ctx, func() bool { return replica.applied >= index })
}

// waitFor returns the configuration once the condition holds. The condition is
// evaluated with the lock held. If the context ends first, or this replica cannot write
// to its disk, waitFor returns the configuration applied so far and ErrUnavailable.
func (replica *replica) waitFor(ctx context.Context, condition func() bool) (*rsrc.Config, error) {
	stop := context.AfterFunc(ctx, func() {
		replica.lock.Lock()
		defer replica.lock.Unlock()
		replica.changed.Broadcast()
	})
	defer stop()
	replica.lock.Lock()
	defer replica.lock.Unlock()
	for !condition() {
		if ctx.Err() != nil || replica.suspended.Load() {
			return replica.store.Config(), ErrUnavailable
		}
		replica.changed.Wait()
	}
	return replica.store.Config(), nil
}

// handleCall serves a request from another control VM. Requests carry no deadline, so they
// end after requestTimeout.
func (replica *replica) handleCall(ctx context.Context, method string, params json.RawMessage) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	switch method {
	case methodPropose:
		var command wire.Command
		if err := json.Unmarshal(params, &command); err != nil {
			return nil, trace.Wrap(err)
		}
		result, err := replica.proposeLocal(ctx, command)
		return wire.ProposeAnswer{Result: result}, err
	case methodRead:
		index, err := replica.readIndexLocal(ctx)
		return wire.ReadAnswer{Index: index}, err
	case methodJoin:
		var request wire.JoinRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, trace.Wrap(err)
		}
		joinRequest := &joinRequest{member: raft.Member(request.Member), answer: make(chan wire.JoinAnswer, 1)}
		if !replica.enqueue(ctx, event{join: joinRequest}) {
			return nil, ErrUnavailable
		}
		select {
		case answer := <-joinRequest.answer:
			return answer, nil
		case <-ctx.Done():
			return nil, ErrUnavailable
		}
	case methodLeave:
		var request wire.LeaveRequest
		if err := json.Unmarshal(params, &request); err != nil {
			return nil, trace.Wrap(err)
		}
		return replica.leaveLocal(ctx, request.ID)
	default:
		return nil, trace.NotFound("method %q is unknown", method)
	}
}

// hasResult reports whether this replica has a recorded result for a request id.
func (replica *replica) hasResult(requestID string) bool {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	_, ok := replica.store.RecordedResult(requestID)
	return ok
}
