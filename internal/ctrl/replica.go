// Package ctrl is the daemon of a control VM: a replica of the resource store,
// a root of the distribution tree, the rollout controller while it leads, and
// the resource API.
package ctrl

import (
	"context"
	"errors"
	"math/rand/v2"
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
	raftTick    = 20 * time.Millisecond
	inboxLength = 4096
	batchLength = 512
	repairEvery = 500 * time.Millisecond
)

// event is one item of the loop's inbox. Exactly one field is set.
type event struct {
	message *wire.RaftMessage
	propose *proposal
	read    *reading
	join    *joining
}

// refuse answers an event that nobody will look at.
func (event event) refuse() {
	switch {
	case event.propose != nil:
		event.propose.answer <- proposalAnswer{err: ErrUnavailable}
	case event.read != nil:
		event.read.answer <- readAnswer{err: ErrUnavailable}
	case event.join != nil:
		event.join.answer <- wire.JoinAnswer{}
	}
}

type proposal struct {
	data   []byte
	answer chan proposalAnswer
}

type proposalAnswer struct {
	result wire.Result
	err    error
}

type reading struct {
	answer chan readAnswer
}

type readAnswer struct {
	index uint64
	err   error
}

type joining struct {
	member raft.Member
	answer chan wire.JoinAnswer
}

// waiting is a proposal that is in the log but not applied.
type waiting struct {
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
	alive bool
	at    time.Time
}

// replica runs the consensus core: one goroutine owns core, disk and store.
type replica struct {
	name    string
	address string
	folder  string
	id      string
	voters  int
	every   uint64

	core   *raft.Core
	disk   *disk.Disk
	caller *link.Caller
	log    logr.Logger
	stats  *stats.Set
	now    func() time.Time
	random func() *rand.Rand

	inbox chan event
	// lastTaken is the index of the last snapshot.
	lastTaken uint64
	waiting   map[uint64]waiting
	reads     map[uint64]*reading
	nextRead  uint64
	repairAt  time.Time
	// addresses holds where members were last heard from.
	addresses map[string]string

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
func openReplica(deps Deps, caller *link.Caller, onApply func(*rsrc.Config)) (*replica, error) {
	settings := deps.Settings
	replica := &replica{
		name:      settings.Name,
		address:   settings.Link,
		folder:    settings.Data,
		voters:    settings.Replicas,
		every:     uint64(settings.SnapshotEvery),
		caller:    caller,
		log:       deps.Logs.Layer("raft"),
		stats:     deps.Stats,
		now:       deps.Now,
		random:    deps.Random,
		inbox:     make(chan event, inboxLength),
		waiting:   map[uint64]waiting{},
		reads:     map[uint64]*reading{},
		addresses: map[string]string{},
		onApply:   onApply,
	}
	replica.changed = sync.NewCond(&replica.lock)
	if err := replica.load(); err != nil {
		return nil, err
	}
	replica.id = replica.disk.Identity().ID
	return replica, nil
}

// load opens the data folder and starts from what it holds.
func (replica *replica) load() error {
	folder, durable, err := disk.Open(replica.folder)
	if err != nil {
		return err
	}
	core, err := raft.New(folder.Identity().ID, durable, raft.DefaultTiming(), replica.random(), replica.now())
	if err != nil {
		return errors.Join(err, folder.Close())
	}
	held := store.New()
	if durable.Snapshot != nil {
		if err := held.Restore(durable.Snapshot.Data); err != nil {
			return errors.Join(err, folder.Close())
		}
	}
	if torn := folder.Torn(); torn > 0 {
		replica.log.Info("cut an unfinished write from the log", "bytes", torn)
	}
	replica.disk, replica.core, replica.lastTaken = folder, core, core.Base()
	replica.lock.Lock()
	replica.store, replica.applied = held, core.Base()
	replica.lock.Unlock()
	replica.publishView()
	return nil
}

// reopenPause is the pause before a disk that refused a write is tried again.
const reopenPause = 500 * time.Millisecond

// run owns core, disk and store until the context ends. When the disk refuses
// a write the replica answers nobody, waits, and starts again from what the
// disk holds; any other fault ends it.
func (replica *replica) run(ctx context.Context) error {
	defer func() { _ = replica.disk.Close() }()
	for {
		err := replica.loop(ctx)
		replica.abandon()
		var refused *disk.WriteError
		if !errors.As(err, &refused) {
			return err
		}
		replica.log.Error(err, "the disk refuses writes; this replica stands by")
		replica.stats.Count("vp_disk_refusals_total", 1)
		if err := replica.reopen(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		replica.log.Info("the data folder is open again", "last", replica.core.LastIndex())
	}
}

// reopen loads the data folder again once the disk takes writes.
func (replica *replica) reopen(ctx context.Context) error {
	for {
		if err := replica.disk.Close(); err != nil {
			replica.log.V(1).Info("closing the data folder", "error", err.Error())
		}
		replica.refuseFor(ctx, reopenPause)
		if ctx.Err() != nil {
			return nil
		}
		err := replica.load()
		var corrupt *disk.CorruptError
		if err == nil || errors.As(err, &corrupt) {
			return err
		}
		replica.log.V(1).Info("the data folder cannot be opened yet", "error", err.Error())
	}
}

// refuseFor drops messages and refuses requests for a while.
func (replica *replica) refuseFor(ctx context.Context, pause time.Duration) {
	ended := time.After(pause)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ended:
			return
		case event := <-replica.inbox:
			event.refuse()
		}
	}
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
			replica.repair()
		case first := <-replica.inbox:
			replica.take(first)
			replica.takeQueued()
		}
		if err := replica.settle(ctx); err != nil {
			return err
		}
	}
}

// takeQueued takes what else has come in, so that one sync serves many.
func (replica *replica) takeQueued() {
	for range batchLength {
		select {
		case next := <-replica.inbox:
			replica.take(next)
		default:
			return
		}
	}
}

func (replica *replica) take(event event) {
	now := replica.now()
	switch {
	case event.message != nil:
		message := event.message.Domain()
		replica.addresses[message.From] = event.message.Address
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
	replica.waiting[index] = waiting{term: term, answer: proposal.answer}
}

func (replica *replica) join(now time.Time, joining *joining) {
	for _, member := range replica.core.Members() {
		if member.ID == joining.member.ID && member.Address == joining.member.Address {
			joining.answer <- wire.JoinAnswer{Joined: true}
			return
		}
	}
	if err := replica.core.AddLearner(now, joining.member); err != nil {
		joining.answer <- wire.JoinAnswer{Leader: replica.leader().Address}
		return
	}
	replica.log.Info("learner added", "id", joining.member.ID, "address", joining.member.Address)
	joining.answer <- wire.JoinAnswer{}
}

func (replica *replica) repair() {
	now := replica.now()
	if now.Before(replica.repairAt) {
		return
	}
	replica.repairAt = now.Add(repairEvery)
	if replica.core.Repair(now, replica.voters) {
		replica.log.Info("membership changed", "members", describe(replica.core.Members()))
	}
}

func describe(members []raft.Member) []string {
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

// settle persists, sends and applies until nothing is left to do.
func (replica *replica) settle(ctx context.Context) error {
	replica.core.Flush(replica.now())
	for {
		ready := replica.core.Ready()
		if ready.Empty() {
			break
		}
		if err := replica.persist(ready); err != nil {
			return err
		}
		replica.send(ctx, ready.Messages)
		if err := replica.apply(ready); err != nil {
			return err
		}
		replica.core.Done(replica.now(), ready)
		replica.answerReads(ready.Reads)
	}
	replica.publishView()
	return replica.compact()
}

func (replica *replica) persist(ready raft.Ready) error {
	if ready.Install != nil {
		hard := raft.HardState{Term: replica.core.Term()}
		if ready.HardState != nil {
			hard = *ready.HardState
		}
		return replica.disk.SaveSnapshot(*ready.Install, hard, ready.Entries)
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	replica.stats.Count("vp_log_syncs_total", 1)
	replica.stats.Count("vp_log_entries_total", len(ready.Entries))
	return replica.disk.Append(ready.HardState, ready.Entries)
}

func (replica *replica) send(ctx context.Context, messages []raft.Message) {
	for _, message := range messages {
		address := replica.addressOf(message.To)
		if address == "" {
			continue
		}
		written := wire.FromRaftMessage(message)
		written.Address = replica.address
		replica.stats.Count("vp_raft_messages_total", 1)
		replica.caller.Post(ctx, address, methodRaft, written)
	}
}

// addressOf prefers the membership, which is durable, over hearsay.
func (replica *replica) addressOf(id string) string {
	for _, member := range replica.core.Members() {
		if member.ID == id {
			return member.Address
		}
	}
	return replica.addresses[id]
}

func (replica *replica) apply(ready raft.Ready) error {
	if ready.Install == nil && len(ready.Committed) == 0 {
		return nil
	}
	before := replica.store.Config()
	if err := replica.applyLocked(ready); err != nil {
		return err
	}
	if config := replica.store.Config(); config != before {
		replica.onApply(config)
	}
	return nil
}

func (replica *replica) applyLocked(ready raft.Ready) error {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	defer replica.changed.Broadcast()
	if ready.Install != nil {
		if err := replica.store.Restore(ready.Install.Data); err != nil {
			return err
		}
		replica.applied = ready.Install.Index
		replica.lastTaken = ready.Install.Index
	}
	for _, entry := range ready.Committed {
		if err := replica.applyEntry(entry); err != nil {
			return err
		}
		replica.applied = entry.Index
	}
	return nil
}

func (replica *replica) applyEntry(entry raft.Entry) error {
	var answer proposalAnswer
	if entry.Kind == raft.EntryCommand {
		result, err := replica.store.Apply(entry.Index, entry.Data)
		if err != nil {
			return err
		}
		answer.result = result
	}
	waiter, ok := replica.waiting[entry.Index]
	if !ok {
		return nil
	}
	delete(replica.waiting, entry.Index)
	if waiter.term != entry.Term || entry.Kind != raft.EntryCommand {
		answer = proposalAnswer{err: ErrUnavailable}
	}
	waiter.answer <- answer
	return nil
}

func (replica *replica) answerReads(results []raft.ReadResult) {
	for _, result := range results {
		reading, ok := replica.reads[result.Token]
		if !ok {
			continue
		}
		delete(replica.reads, result.Token)
		if result.OK {
			reading.answer <- readAnswer{index: result.Index}
		} else {
			reading.answer <- readAnswer{err: ErrUnavailable}
		}
	}
}

// abandon tells those that wait that the outcome is not known here.
func (replica *replica) abandon() {
	for index, waiter := range replica.waiting {
		delete(replica.waiting, index)
		waiter.answer <- proposalAnswer{err: ErrUnavailable}
	}
	for token, reading := range replica.reads {
		delete(replica.reads, token)
		reading.answer <- readAnswer{err: ErrUnavailable}
	}
}

// compact takes a snapshot when enough entries were applied since the last.
func (replica *replica) compact() error {
	if replica.applied < replica.lastTaken+replica.every {
		return nil
	}
	snapshot, err := replica.core.Compact(replica.applied, replica.store.Snapshot())
	if err != nil {
		return err
	}
	var rest []raft.Entry
	for index := snapshot.Index + 1; index <= replica.core.LastIndex(); index++ {
		entry, _ := replica.core.Entry(index)
		rest = append(rest, entry)
	}
	replica.lastTaken = snapshot.Index
	replica.stats.Count("vp_snapshots_total", 1)
	return replica.disk.SaveSnapshot(snapshot, replica.core.HardState(), rest)
}

func (replica *replica) publishView() {
	view := &view{
		role:     replica.core.Role(),
		term:     replica.core.Term(),
		members:  replica.core.Settled(),
		commit:   replica.core.Commit(),
		logBytes: replica.disk.Size(),
		leader:   replica.findLeader(),
		alive:    replica.core.Alive(replica.now()),
		at:       replica.now(),
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
	leader.Address = replica.addresses[leader.ID]
	return leader
}

// leader returns the present leader; its address is empty when there is none.
func (replica *replica) leader() raft.Member { return replica.view.Load().leader }

// leads reports whether this replica is the leader.
func (replica *replica) leads() bool { return replica.view.Load().role == raft.RoleLeader }

// staleAfter is how old the last sign of a quorum may be for this replica to
// count as connected to the source.
const staleAfter = 800 * time.Millisecond

// stale reports whether this replica may be missing news.
func (replica *replica) stale() bool {
	view := replica.view.Load()
	return !view.alive || replica.now().Sub(view.at) > staleAfter
}

// config returns the configuration as applied here.
func (replica *replica) config() *rsrc.Config {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	return replica.store.Config()
}

func (replica *replica) post(ctx context.Context, event event) bool {
	select {
	case replica.inbox <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
