package ctrl

import (
	"context"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

const (
	// handOverTimeout is how long a planned stop waits until another replica has this
	// one's vote, for example while a learner is catching up.
	handOverTimeout = 3 * time.Second
	// leaderlessTimeout is how long a planned stop waits for a leader. An election takes
	// up to 1.2 s. A replica without a quorum has no use for a longer wait.
	leaderlessTimeout = 1500 * time.Millisecond
	// leaveTimeout is the timeout of one request to the leader.
	leaveTimeout = 500 * time.Millisecond
)

// handOver asks the leader to give this replica's vote to a learner, and returns when
// nothing is left to do or the time is over. A later loss of other VMs then meets a group
// in which all votes are with running replicas.
func (control *Control) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	begin := control.now()
	leaderSeen := begin
	for ctx.Err() == nil && control.now().Sub(leaderSeen) < leaderlessTimeout {
		answer, err := control.leave(ctx)
		if err == nil && !answer.Refused {
			leaderSeen = control.now()
		}
		if answer.Done {
			control.log.Info("vote handed over, or no replica to take it", "took", control.now().Sub(begin))
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(raftTick):
		}
	}
	control.log.Info("stopping without handing the vote over", "took", control.now().Sub(begin))
}

// leave tells the leader once that this replica is about to stop.
func (control *Control) leave(ctx context.Context) (wire.LeaveAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if control.replica.isLeader() {
		return control.replica.leaveLocal(ctx, control.replica.id)
	}
	address := control.replica.leader().Address
	if address == "" || address == control.settings.Link {
		return wire.LeaveAnswer{}, ErrUnavailable
	}
	var answer wire.LeaveAnswer
	err := control.caller.Call(ctx, address, methodLeave, wire.LeaveRequest{ID: control.replica.id}, &answer)
	return answer, err
}

// leaveLocal passes the announcement of a stop to the event loop.
func (replica *replica) leaveLocal(ctx context.Context, id string) (wire.LeaveAnswer, error) {
	request := &leaveRequest{id: id, answer: make(chan wire.LeaveAnswer, 1)}
	if !replica.enqueue(ctx, event{leave: request}) {
		return wire.LeaveAnswer{}, ErrUnavailable
	}
	select {
	case answer := <-request.answer:
		return answer, nil
	case <-ctx.Done():
		return wire.LeaveAnswer{}, ErrUnavailable
	}
}

// leave makes the next step of a handover if this replica is the leader.
func (replica *replica) leave(now time.Time, request *leaveRequest) {
	if replica.core.Role() != raft.RoleLeader {
		request.answer <- wire.LeaveAnswer{Refused: true}
		return
	}
	last := replica.core.LastIndex()
	done := replica.core.HandOver(now, request.id, replica.desiredVoters)
	if replica.core.LastIndex() > last {
		replica.log.Info("membership changed", "leaving", request.id, "members", describeMembers(replica.core.Members()))
	}
	request.answer <- wire.LeaveAnswer{Done: done}
}
