// Package ctrl is the daemon of a control VM: a replica of the resource store,
// a root of the distribution tree, the rollout controller while it leads, and
// the resource API.
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
	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/store"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// The methods between control VMs.
const (
	methodRaft    = "raft"
	methodJoin    = "join"
	methodPropose = "propose"
	methodRead    = "read"
	methodStatus  = "status"
)

// Durations and bounds of a replica's loop.
const (
	raftTick       = 20 * time.Millisecond
	inboxCapacity  = 4096
	maxEventBatch  = 512
	repairInterval = 500 * time.Millisecond
)

// event is one item of the loop's inbox. Exactly one field is set.
type event struct {
	message *wire.RaftMessage
	propose *proposal
	read    *readRequest
	join    *joinRequest
}

type proposal struct {
	data   []byte
	answer chan proposalAnswer
}

type proposalAnswer struct {
	result wire.Result
	err    error
}

type readRequest struct {
	answer chan readAnswer
}

type readAnswer struct {
	index uint64
	err   error
}

type joinRequest struct {
	member raft.Member
	answer chan wire.JoinAnswer
}

// waiting is a proposal that is in the log but not applied.
type pending struct {
	term   uint64
	answer chan proposalAnswer
}

// view is what other goroutines may know of the replica.
type view struct {
	role   raft.Role
	term   uint64
	leader raft.Member
	// members is the latest membership that is committed.
	members  []raft.Member
	commit   uint64
	logBytes int64
	// alive is true while a quorum or its leader answers; at is when that was
	// seen. A loop that waits for its disk publishes nothing.
	leaderAlive bool
	updatedAt   time.Time
}

// replica runs the consensus core: one goroutine owns core, disk and store.
type replica struct {
	name             string
	address          string
	folder           string
	id               string
	voters           int
	snapshotInterval uint64

	core   *raft.Core
	disk   *disk.Disk
	caller *link.Client
	log    logr.Logger
	stats  *stats.Set
	now    func() time.Time
	random func() *rand.Rand

	inbox chan event
	// lastTaken is the index of the last snapshot.
	snapshotIndex uint64
	pending       map[uint64]pending
	reads         map[uint64]*readRequest
	nextRead      uint64
	nextRepair    time.Time
	// addresses holds where members were last heard from.
	lastAddresses map[string]string

	view atomic.Pointer[view]

	// lock guards store for readers outside the loop and applied, which is
	// signalled on every change.
	lock    sync.Mutex
	changed *sync.Cond
	store   *store.Store
	applied uint64
	// onApply is called after the lock is released, with each new
	// configuration.
	onApply func(config *rsrc.Config)
}

// openReplica opens the data folder and rebuilds the state from it.
func openReplica(deps Deps, caller *link.Client, onApply func(*rsrc.Config)) (*replica, error) {
	settings := deps.Settings
	replica := &replica{
		name:             settings.Name,
		address:          settings.Link,
		folder:           settings.Data,
		voters:           settings.Replicas,
		snapshotInterval: uint64(settings.SnapshotEvery),
		caller:           caller,
		log:              deps.Logs.Layer("raft"),
		stats:            deps.Stats,
		now:              deps.Now,
		random:           deps.Random,
		inbox:            make(chan event, inboxCapacity),
		pending:          map[uint64]pending{},
		reads:            map[uint64]*readRequest{},
		lastAddresses:    map[string]string{},
		onApply:          onApply,
	}
	replica.changed = sync.NewCond(&replica.lock)
	if err := replica.load(); err != nil {
		return nil, err
	}
	replica.id = replica.disk.Identity().ID
	return replica, nil
}

// loop takes events until the context ends or something fails.
func (replica *replica) loop(ctx context.Context) error {
	ticker := time.NewTicker(raftTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			replica.core.Tick(replica.now())
			replica.repairMembership()
		case first := <-replica.inbox:
			replica.handleEvent(first)
			replica.handleQueuedEvents()
		}
		if err := replica.processReady(ctx); err != nil {
			return err
		}
	}
}

// takeQueued takes what else has come in, so that one sync serves many.
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

func (replica *replica) handleEvent(event event) {
	now := replica.now()
	switch {
	case event.message != nil:
		message := event.message.Domain()
		replica.lastAddresses[message.From] = event.message.Address
		if err := replica.core.Step(now, message); err != nil {
			replica.log.Error(err, "message refused", "from", message.From)
		}
	case event.propose != nil:
		replica.propose(now, event.propose)
	case event.read != nil:
		replica.nextRead++
		if err := replica.core.ReadIndex(now, replica.nextRead); err != nil {
			event.read.answer <- readAnswer{err: err}
			return
		}
		replica.reads[replica.nextRead] = event.read
	case event.join != nil:
		replica.join(now, event.join)
	}
}

func (replica *replica) propose(now time.Time, proposal *proposal) {
	index, term, err := replica.core.Propose(now, proposal.data)
	if err != nil {
		proposal.answer <- proposalAnswer{err: err}
		return
	}
	replica.pending[index] = pending{term: term, answer: proposal.answer}
}

func (replica *replica) join(now time.Time, joinRequest *joinRequest) {
	for _, member := range replica.core.Members() {
		if member.ID == joinRequest.member.ID && member.Address == joinRequest.member.Address {
			joinRequest.answer <- wire.JoinAnswer{Joined: true}
			return
		}
	}
	if err := replica.core.AddLearner(now, joinRequest.member); err != nil {
		joinRequest.answer <- wire.JoinAnswer{Leader: replica.leader().Address}
		return
	}
	replica.log.Info("learner added", "id", joinRequest.member.ID, "address", joinRequest.member.Address)
	joinRequest.answer <- wire.JoinAnswer{}
}

func (replica *replica) repairMembership() {
	now := replica.now()
	if now.Before(replica.nextRepair) {
		return
	}
	replica.nextRepair = now.Add(repairInterval)
	if replica.core.Repair(now, replica.voters) {
		replica.log.Info("membership changed", "members", describeMembers(replica.core.Members()))
	}
}

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
		replica.log.Info("role changed", "role", view.role.String(), "term", view.term, "leader", view.leader.ID)
	}
}

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

// leader returns the present leader; its address is empty when there is none.
func (replica *replica) leader() raft.Member { return replica.view.Load().leader }

// leads reports whether this replica is the leader.
func (replica *replica) isLeader() bool { return replica.view.Load().role == raft.RoleLeader }

// staleAfter is how old the last sign of a quorum may be for this replica to
// count as connected to the source.
const staleAfter = 800 * time.Millisecond

// stale reports whether this replica may be missing news.
func (replica *replica) stale() bool {
	view := replica.view.Load()
	return !view.leaderAlive || replica.now().Sub(view.updatedAt) > staleAfter
}

// history returns the latest accepted changes as applied here.
func (replica *replica) history() []wire.Past {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return slices.Clone(replica.store.History())
}

// config returns the configuration as applied here.
func (replica *replica) config() *rsrc.Config {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return replica.store.Config()
}

func (replica *replica) enqueue(ctx context.Context, event event) bool {
	select {
	case replica.inbox <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
