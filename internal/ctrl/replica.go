// Package ctrl implements the daemon of a control VM. The daemon runs a replica
// of the resource store, a root of the distribution tree and the resource API.
// While its replica is the leader, it also runs the rollout controllers.
package ctrl

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillapulley/vanillapulley/internal/disk"
	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/store"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Methods of requests and notifications between control VMs.
const (
	methodRaft    = "raft"
	methodJoin    = "join"
	methodLeave   = "leave"
	methodPropose = "propose"
	methodRead    = "read"
	methodStatus  = "status"
)

// Parameters of a replica's event loop.
const (
	raftTick      = 20 * time.Millisecond
	inboxCapacity = 4096
	maxEventBatch = 512
)

// event is an item in the inbox of the event loop. Exactly one field is set.
type event struct {
	message *wire.RaftMessage
	propose *proposal
	read    *readRequest
	join    *joinRequest
	leave   *leaveRequest
}

// proposal is a request to append a command to the log.
type proposal struct {
	data   []byte
	answer chan proposalAnswer
}

// proposalAnswer is the result of an applied command, or an error if the outcome
// is unknown or the replica is not the leader.
type proposalAnswer struct {
	result wire.Result
	err    error
}

// readRequest is a request for the index of a linearizable read.
type readRequest struct {
	answer chan readAnswer
}

// readAnswer is the index up to which the log must be applied before the read.
type readAnswer struct {
	index uint64
	err   error
}

// joinRequest is a request to add a replica to the group.
type joinRequest struct {
	member raft.Member
	answer chan wire.JoinAnswer
}

// leaveRequest announces that a replica is about to stop.
type leaveRequest struct {
	id     string
	answer chan wire.LeaveAnswer
}

// pending describes a proposal that is in the log but is not applied yet.
type pending struct {
	term   uint64
	answer chan proposalAnswer
}

// caller sends requests and notifications to other control VMs.
type caller interface {
	Call(ctx context.Context, address, method string, params, result any) error
	Post(ctx context.Context, address, method string, params any)
}

// view is a copy of the replica's state for other goroutines.
type view struct {
	role   raft.Role
	term   uint64
	leader raft.Member
	// members is the latest committed membership.
	members  []raft.Member
	commit   uint64
	logBytes int64
	// leaderAlive is true while this replica is a leader with an active quorum or
	// receives the log from the leader.
	leaderAlive bool
	// updatedAt is the time of this view. The event loop publishes no new view
	// while it waits for its disk, so an old view means that the replica is stale.
	updatedAt time.Time
}

// replica runs the Raft core. The goroutine of run owns core and disk, and is the
// only one that changes store.
type replica struct {
	name    string
	address string
	folder  string
	id      string
	// desiredVoters is the number of voters to aim for.
	desiredVoters int
	// snapshotInterval is the number of log entries between two snapshots.
	snapshotInterval uint64

	core   *raft.Core
	disk   *disk.Disk
	system disk.System
	caller caller
	log    logr.Logger
	stats  *stats.Set
	now    func() time.Time
	random func() *rand.Rand

	inbox chan event
	// snapshotIndex is the index of the last snapshot.
	snapshotIndex uint64
	// nextSnapshot is the earliest time of the next snapshot after one that the disk
	// refused. Otherwise it is zero.
	nextSnapshot time.Time
	// pending maps log indexes to proposals.
	pending map[uint64]pending
	// reads maps the tokens of reads in progress to their requests. lastReadToken
	// is the last token used.
	reads         map[uint64]*readRequest
	lastReadToken uint64
	// joining contains replicas to add to the group, by id, while this replica is the
	// leader.
	joining map[string]raft.Member
	// lastAddresses maps replica ids to the address in the last message from each.
	lastAddresses map[string]string

	view atomic.Pointer[view]
	// suspended is true from a failed write until the data folder has been opened again.
	suspended atomic.Bool

	// lock guards store and applied. Once run has started, only its goroutine
	// changes them, and it reads them without the lock. changed is signaled when
	// entries or a snapshot have been applied, and when the context of a waiting
	// reader ends.
	lock    sync.Mutex
	changed *sync.Cond
	store   *store.Store
	applied uint64
	// onApply is called with each new configuration, after lock is released.
	onApply func(config *rsrc.Config)
	// retire is called before a member is removed, and reports whether it may be. It is
	// nil if any member may be removed.
	retire func(id string) bool
}

// openReplica opens the data folder and restores the state from it.
func openReplica(deps Deps, caller caller, onApply func(*rsrc.Config)) (*replica, error) {
	settings := deps.Settings
	replica := &replica{
		name:             settings.Name,
		address:          settings.Link,
		folder:           settings.Data,
		desiredVoters:    settings.Replicas,
		snapshotInterval: uint64(settings.SnapshotEvery),
		system:           deps.System,
		caller:           caller,
		log:              deps.Logs.Layer("raft"),
		stats:            deps.Stats,
		now:              deps.Now,
		random:           deps.Random,
		inbox:            make(chan event, inboxCapacity),
		pending:          map[uint64]pending{},
		reads:            map[uint64]*readRequest{},
		lastAddresses:    map[string]string{},
		joining:          map[string]raft.Member{},
		onApply:          onApply,
	}
	if replica.system == nil {
		replica.system = disk.OS{}
	}
	replica.changed = sync.NewCond(&replica.lock)
	if err := replica.load(); err != nil {
		return nil, err
	}
	replica.id = replica.disk.Identity().ID
	return replica, nil
}

// openWhenRoom is openReplica, but waits while the disk is full.
func openWhenRoom(ctx context.Context, deps Deps, caller caller, onApply func(*rsrc.Config)) (*replica, error) {
	for refusals := 0; ; refusals++ {
		opened, err := openReplica(deps, caller, onApply)
		if !disk.IsFull(err) || ctx.Err() != nil {
			return opened, err
		}
		if refusals == 0 {
			deps.Logs.Layer("raft").Error(err, "the disk is full; waiting until it has room")
		}
		select {
		case <-ctx.Done():
		case <-time.After(reopenDelay):
		}
	}
}

// loop handles events until the context ends or an error occurs.
func (replica *replica) loop(ctx context.Context) error {
	ticker := time.NewTicker(raftTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			now := replica.now()
			replica.core.Tick(now)
			replica.maintainMembership(now)
		case first := <-replica.inbox:
			replica.handleEvent(first)
			replica.handleQueuedEvents()
		}
		if err := replica.processReady(ctx); err != nil {
			return err
		}
	}
}

// handleQueuedEvents handles up to maxEventBatch events that are already queued,
// so that one disk sync covers many events.
func (replica *replica) handleQueuedEvents() {
	for range maxEventBatch {
		select {
		case next := <-replica.inbox:
			replica.handleEvent(next)
		default:
			return
		}
	}
}

// handleEvent passes one event to the Raft core.
func (replica *replica) handleEvent(event event) {
	now := replica.now()
	switch {
	case event.message != nil:
		message := event.message.Domain()
		replica.lastAddresses[message.From] = event.message.Address
		if err := replica.core.Step(now, message); err != nil {
			replica.log.Error(err, "raft message rejected", "from", message.From)
		}
	case event.propose != nil:
		replica.propose(now, event.propose)
	case event.read != nil:
		replica.lastReadToken++
		if err := replica.core.ReadIndex(now, replica.lastReadToken); err != nil {
			event.read.answer <- readAnswer{err: err}
			return
		}
		replica.reads[replica.lastReadToken] = event.read
	case event.join != nil:
		replica.join(now, event.join)
	case event.leave != nil:
		replica.leave(now, event.leave)
	}
}

// propose appends a proposal to the log. The proposal is answered once its entry
// is applied, or at once if this replica is not the leader.
func (replica *replica) propose(now time.Time, proposal *proposal) {
	index, term, err := replica.core.Propose(now, proposal.data)
	if err != nil {
		proposal.answer <- proposalAnswer{err: err}
		return
	}
	replica.pending[index] = pending{term: term, answer: proposal.answer}
}

// join queues a replica that is to be added to the group as a learner, or whose address
// has changed. If this replica is not the leader, the answer contains the address of the
// leader if it is known.
func (replica *replica) join(now time.Time, joinRequest *joinRequest) {
	for _, member := range replica.core.Members() {
		if member.ID == joinRequest.member.ID && member.Address == joinRequest.member.Address {
			joinRequest.answer <- wire.JoinAnswer{Joined: true}
			return
		}
	}
	if replica.core.Role() != raft.RoleLeader {
		joinRequest.answer <- wire.JoinAnswer{Leader: replica.leader().Address}
		return
	}
	replica.joining[joinRequest.member.ID] = joinRequest.member
	replica.maintainMembership(now)
	// Joined stays false. The replica asks again until it is a member.
	joinRequest.answer <- wire.JoinAnswer{}
}

// maintainMembership makes at most one membership change, if one is needed and no other
// one is uncommitted. It is called with every tick, so that a series of changes takes
// little more than the time to commit them.
func (replica *replica) maintainMembership(now time.Time) {
	if replica.core.Role() != raft.RoleLeader {
		clear(replica.joining)
		return
	}
	if replica.core.Repair(now, replica.desiredVoters) || replica.addJoining(now) || replica.removeAbsent(now) {
		replica.log.Info("membership changed", "members", describeMembers(replica.core.Members()))
	}
}

// addJoining adds a queued replica as a learner and reports whether it did.
func (replica *replica) addJoining(now time.Time) bool {
	for id, member := range replica.joining {
		if replica.core.AddLearner(now, member) != nil {
			return false
		}
		delete(replica.joining, id)
		replica.log.Info("learner added", "id", member.ID, "address", member.Address)
		return true
	}
	return false
}

// removeAbsent removes a learner that has not replied for long, for example a demoted
// replica whose disk was lost, and reports whether it did.
func (replica *replica) removeAbsent(now time.Time) bool {
	for _, member := range replica.core.AbsentLearners(now) {
		if replica.retire == nil || replica.retire(member.ID) {
			return replica.core.Remove(now, member.ID) == nil
		}
	}
	return false
}

// describeMembers returns the id and role of each member for the log.
func describeMembers(members []raft.Member) []string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		role := "learner"
		if member.Voter {
			role = "voter"
		}
		names = append(names, member.ID+":"+role)
	}
	return names
}

// publishView updates the view and logs a change of role or leader.
func (replica *replica) publishView() {
	view := &view{
		role:        replica.core.Role(),
		term:        replica.core.Term(),
		members:     replica.core.CommittedMembers(),
		commit:      replica.core.Commit(),
		logBytes:    replica.disk.LogSize(),
		leader:      replica.findLeader(),
		leaderAlive: replica.core.HasLiveLeader(replica.now()),
		updatedAt:   replica.now(),
	}
	old := replica.view.Swap(view)
	if old != nil && (old.role != view.role || old.leader.ID != view.leader.ID) {
		replica.stats.Count("vp_leader_changes_total", 1)
		replica.log.Info("role or leader changed", "role", view.role.String(), "term", view.term, "leader", view.leader.ID)
	}
}

// findLeader returns the current leader as known to the Raft core. The id is empty
// if no leader is known, and the address is empty if the address is unknown.
func (replica *replica) findLeader() raft.Member {
	leader := raft.Member{ID: replica.core.Leader()}
	if leader.ID == replica.core.ID() {
		leader.Address = replica.address
		leader.Name = replica.name
		return leader
	}
	for _, member := range replica.core.Members() {
		if member.ID == leader.ID {
			return member
		}
	}
	leader.Address = replica.lastAddresses[leader.ID]
	return leader
}

// leader returns the current leader. Its address is empty if no leader is known or
// the address of the leader is unknown.
func (replica *replica) leader() raft.Member { return replica.view.Load().leader }

// isLeader reports whether this replica is the leader.
func (replica *replica) isLeader() bool { return replica.view.Load().role == raft.RoleLeader }

// staleAfter is the age of the view after which this replica counts as stale.
const staleAfter = 800 * time.Millisecond

// stale reports whether this replica may have missed recent log entries, because
// it has no contact with a leader or quorum, or because its event loop is blocked.
func (replica *replica) stale() bool {
	view := replica.view.Load()
	return !view.leaderAlive || replica.now().Sub(view.updatedAt) > staleAfter
}

// history returns the latest accepted changes that this replica has applied,
// oldest first.
func (replica *replica) history() []wire.HistoryEntry {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return slices.Clone(replica.store.History())
}

// config returns the configuration that this replica has applied. It may lag
// behind the leader.
func (replica *replica) config() *rsrc.Config {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return replica.store.Config()
}

// enqueue adds an event to the inbox. It blocks while the inbox is full, and
// returns false if the context ends first.
func (replica *replica) enqueue(ctx context.Context, event event) bool {
	select {
	case replica.inbox <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
