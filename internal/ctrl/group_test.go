package ctrl

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/disk"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/quota"
	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

const (
	// groupStep is the resolution of the group's clock.
	groupStep = 10 * time.Millisecond
	// groupRate is the limit of the account "a".
	groupRate = 100.0
	// maxGroupDelay is the longest time that a message takes, if not said otherwise.
	maxGroupDelay = 5 * time.Millisecond
)

// group runs the replicas and homes of control VMs in virtual time. Its methods call the
// event handlers of the replicas directly, so that a seed determines the order of events.
type group struct {
	t      *testing.T
	now    time.Time
	random *rand.Rand
	folder string
	vms    []*groupVM
	// messages are in the order of their arrival times.
	messages []groupMessage
	maxDelay time.Duration
	// written contains the names of the services whose creation was acknowledged.
	written []string
	// shares is the largest sum of the rates of the homes, in limits.
	shares float64
}

// groupVM is a control VM.
type groupVM struct {
	group   *group
	address string
	disks   int
	replica *replica
	quotas  *quotas
	down    bool
	frozen  bool
	cut     bool
	// deaf is true if the home sends no renewals.
	deaf bool
	// asked counts the requests to join.
	asked int
	// rate is the share of the account, if the lease has not expired.
	rate float64
	// renewal is in progress, or nil. Otherwise the next one is due at renew.
	renewal *groupRenewal
	renew   time.Time
}

type groupMessage struct {
	at      time.Time
	address string
	message wire.RaftMessage
}

// Call implements caller.
func (vm *groupVM) Call(context.Context, string, string, any, any) error { return ErrUnavailable }

// Post implements caller.
func (vm *groupVM) Post(_ context.Context, address, _ string, params any) {
	group := vm.group
	to := group.vm(address)
	if to.down || to.cut != vm.cut {
		return
	}
	at := group.now.Add(time.Duration(group.random.Int64N(int64(group.maxDelay))))
	group.messages = append(group.messages, groupMessage{at: at, address: address, message: params.(wire.RaftMessage)})
}

// newGroup starts the first voters and waits for a leader. The account "a" has a limit.
func newGroup(t *testing.T, seed uint64, voters int) *group {
	group := &group{t: t, now: time.Unix(1_000_000, 0), random: rand.New(rand.NewPCG(seed, 1)), folder: t.TempDir(), maxDelay: maxGroupDelay}
	for i := range voters {
		group.vms = append(group.vms, &groupVM{group: group, address: fmt.Sprintf("vm%d", i+1)})
	}
	for _, vm := range group.vms {
		vm.start(true)
	}
	group.run(3 * time.Second)
	rate, burst := groupRate, 0.0
	account := rsrc.NewAccount("a", []string{"key"}, rsrc.AccountOptions{RatePerSecond: &rate, Burst: &burst})
	require.True(t, group.write(wire.FromResourceWithKeys(account)))
	group.run(6 * time.Second)
	return group
}

func (group *group) vm(address string) *groupVM {
	return group.vms[slices.IndexFunc(group.vms, func(vm *groupVM) bool { return vm.address == address })]
}

// start starts the processes of a VM, with an empty disk if it has none.
func (vm *groupVM) start(bootstrap bool) {
	group := vm.group
	var peers []string
	for _, other := range group.vms {
		peers = append(peers, other.address)
	}
	settings := config.Control{
		Name: vm.address, Link: vm.address, Data: filepath.Join(group.folder, fmt.Sprint(vm.address, "-", vm.disks)),
		Peers: peers, Replicas: 5, SnapshotEvery: 100, Bootstrap: bootstrap,
	}
	if !disk.Exists(settings.Data) && bootstrap {
		require.NoError(group.t, createReplica(settings))
	} else if !disk.Exists(settings.Data) {
		identity := disk.Identity{ID: filepath.Base(settings.Data), Name: vm.address}
		require.NoError(group.t, disk.Create(settings.Data, identity, raft.DurableState{}))
	}
	deps := Deps{
		Settings: settings, Logs: logs.Discard(), Stats: stats.New(), System: unsynced{},
		Now:    func() time.Time { return group.now },
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(group.random.Uint64(), 1)) },
	}
	opened, err := openReplica(deps, vm, func(*rsrc.Config) {})
	require.NoError(group.t, err)
	clock := func() time.Duration { return time.Duration(group.now.UnixNano()) }
	vm.replica, vm.down, vm.rate, vm.renewal = opened, false, 0, nil
	vm.quotas = &quotas{
		control: &Control{replica: opened, stats: stats.New()}, settings: quota.DefaultSettings(), now: clock, log: logr.Discard(),
		home: quota.NewHome(clock(), opened.id, group.random.Uint64()),
	}
	opened.retire = vm.quotas.retire
}

// kill ends the processes of a VM. Messages to it are lost.
func (vm *groupVM) kill() {
	vm.down, vm.rate = true, 0
	require.NoError(vm.group.t, vm.replica.disk.Close())
	vm.group.messages = slices.DeleteFunc(vm.group.messages, func(message groupMessage) bool { return message.address == vm.address })
}

// stop stops VMs as planned, all at once. It returns once all have ended.
func (group *group) stop(vms ...*groupVM) {
	for end := group.now.Add(handOverTimeout); ; group.run(raftTick) {
		for _, vm := range vms {
			if leader := group.leader(); !vm.down && (group.now.After(end) || leader != nil && leader.leave(vm)) {
				vm.kill()
			}
		}
		if !slices.ContainsFunc(vms, func(vm *groupVM) bool { return !vm.down }) {
			return
		}
	}
}

// leave tells the leader that another VM is about to stop, and returns its answer.
func (vm *groupVM) leave(leaving *groupVM) bool {
	answer := make(chan wire.LeaveAnswer, 1)
	vm.replica.handleEvent(event{leave: &leaveRequest{id: leaving.replica.id, answer: answer}})
	require.NoError(vm.group.t, vm.replica.processReady(context.Background()))
	return (<-answer).Done
}

// loseDisks kills VMs and starts them again with empty disks after a delay.
func (group *group) loseDisks(delay time.Duration, vms ...*groupVM) {
	for _, vm := range vms {
		vm.kill()
		vm.disks++
	}
	group.run(delay)
	for _, vm := range vms {
		vm.start(false)
	}
}

// run advances the clock.
func (group *group) run(duration time.Duration) {
	for end := group.now.Add(duration); group.now.Before(end); {
		group.now = group.now.Add(groupStep)
		group.deliver()
		shares := 0.0
		for _, vm := range group.vms {
			if !vm.down && !vm.frozen {
				vm.step()
			}
			if leased, _ := vm.quotas.home.Leased(vm.quotas.now()); leased {
				shares += vm.rate / groupRate
			}
		}
		group.shares = max(group.shares, shares)
	}
}

// deliver delivers the messages that have arrived at VMs that are not frozen.
func (group *group) deliver() {
	pending := group.messages
	group.messages = nil
	for _, message := range pending {
		to := group.vm(message.address)
		if message.at.After(group.now) || to.frozen {
			group.messages = append(group.messages, message)
			continue
		}
		to.replica.handleEvent(event{message: &message.message})
		require.NoError(group.t, to.replica.processReady(context.Background()))
	}
	slices.SortStableFunc(group.messages, func(a, b groupMessage) int { return a.at.Compare(b.at) })
}

// step does what a VM does periodically.
func (vm *groupVM) step() {
	now := vm.group.now
	if now.UnixNano()%int64(raftTick) == 0 {
		vm.replica.core.Tick(now)
		vm.replica.maintainMembership(now)
		require.NoError(vm.group.t, vm.replica.processReady(context.Background()))
	}
	if now.UnixNano()%int64(joinInterval) == 0 && (vm.replica.stale() || !vm.isMember()) {
		vm.asked++
		if leader := vm.askToJoin(vm.group.vms[vm.asked%len(vm.group.vms)]); leader != "" {
			vm.askToJoin(vm.group.vm(leader))
		}
	}
	if vm.renewal != nil {
		vm.finishRenewal()
	} else if !vm.deaf && !now.Before(vm.renew) {
		vm.renewLease()
	}
}

func (vm *groupVM) isMember() bool {
	return slices.ContainsFunc(vm.replica.view.Load().members, func(member raft.Member) bool { return member.ID == vm.replica.id })
}

// askToJoin returns the address of the leader if another VM knows it.
func (vm *groupVM) askToJoin(to *groupVM) string {
	if to.down || to.frozen || to.cut != vm.cut || to == vm {
		return ""
	}
	answer := make(chan wire.JoinAnswer, 1)
	to.replica.handleEvent(event{join: &joinRequest{member: raft.Member{ID: vm.replica.id, Name: vm.address, Address: vm.address}, answer: answer}})
	return (<-answer).Leader
}

// groupRenewal is a renewal for which a leader waits until a quorum has confirmed it.
type groupRenewal struct {
	renewal quota.Renewal
	leader  *groupVM
	before  *view
	sent    time.Time
	answer  chan readAnswer
}

// renewLease sends a renewal of the home's share to the leader.
func (vm *groupVM) renewLease() {
	renewal := vm.quotas.home.Renewal(vm.quotas.now())
	vm.renew = vm.group.now.Add(leaseRetry)
	leader := vm.group.leader()
	if leader == nil || leader.cut != vm.cut {
		vm.quotas.home.Lost()
		return
	}
	answer := make(chan readAnswer, 1)
	vm.renewal = &groupRenewal{renewal: renewal, leader: leader, before: leader.replica.view.Load(), sent: vm.group.now, answer: answer}
	leader.replica.handleEvent(event{read: &readRequest{answer: answer}})
}

// finishRenewal applies the leader's answer. One answer of twenty is lost.
func (vm *groupVM) finishRenewal() {
	group, asked := vm.group, vm.renewal
	timedOut := group.now.Sub(asked.sent) > leaseTimeout
	if len(asked.answer) == 0 && !timedOut {
		return
	}
	vm.renewal, vm.renew = nil, group.now.Add(leaseRetry)
	vm.quotas.home.Lost()
	if timedOut || (<-asked.answer).err != nil || asked.leader.down || asked.leader.frozen || asked.leader.cut != vm.cut {
		return
	}
	after := asked.leader.replica.view.Load()
	if asked.before.role != raft.RoleLeader || after.role != raft.RoleLeader || asked.before.term != after.term {
		return
	}
	grant, err := asked.leader.quotas.allot(after, map[string]quota.Limit{"a": {Rate: groupRate}}, asked.renewal)
	if err != nil || group.random.IntN(20) == 0 {
		return
	}
	if leased, _ := vm.quotas.home.Leased(vm.quotas.now()); !leased {
		vm.rate = 0
	}
	if vm.quotas.home.Apply(vm.quotas.now(), grant) {
		return
	}
	for _, share := range grant.Shares {
		vm.rate = share.Limit.Rate
	}
	vm.renew = group.now.Add(grant.Again)
}

// leader returns the VM whose replica leads with an active quorum, or nil.
func (group *group) leader() *groupVM {
	var best *groupVM
	for _, vm := range group.vms {
		leads := !vm.down && !vm.frozen && vm.replica.core.Role() == raft.RoleLeader && vm.replica.core.HasLiveLeader(group.now)
		if leads && (best == nil || vm.replica.core.Term() > best.replica.core.Term()) {
			best = vm
		}
	}
	return best
}

// write writes a resource and reports whether it was acknowledged within two seconds.
func (group *group) write(resource wire.Resource) bool {
	command := wire.Command{RequestID: fmt.Sprint(group.now.UnixNano()), Put: []wire.Resource{resource}}
	for end := group.now.Add(2 * time.Second); group.now.Before(end); group.run(groupStep) {
		leader := group.leader()
		if leader == nil {
			continue
		}
		proposal := &proposal{data: wire.MustEncode(command), answer: make(chan proposalAnswer, 1)}
		leader.replica.handleEvent(event{propose: proposal})
		for len(proposal.answer) == 0 && group.now.Before(end) {
			group.run(groupStep)
		}
		if len(proposal.answer) > 0 && (<-proposal.answer).err == nil {
			return true
		}
	}
	return false
}

// writeService creates the next service.
func (group *group) writeService() bool {
	name := fmt.Sprint("s", len(group.written))
	if !group.write(wire.FromResource(rsrc.NewService(name, ""))) {
		return false
	}
	group.written = append(group.written, name)
	return true
}

// runBusy advances the clock while services are created.
func (group *group) runBusy(duration time.Duration) {
	for end := group.now.Add(duration); group.now.Before(end); {
		require.True(group.t, group.writeService(), group.describe())
		group.run(min(250*time.Millisecond, end.Sub(group.now)))
	}
}

// votesLive reports whether the voters are exactly the given number of running replicas.
func (group *group) votesLive(count int) bool {
	leader := group.leader()
	if leader == nil {
		return false
	}
	voters := 0
	for _, member := range leader.replica.core.CommittedMembers() {
		if !member.Voter {
			continue
		}
		voters++
		runs := func(vm *groupVM) bool { return !vm.down && vm.replica.id == member.ID }
		if !slices.ContainsFunc(group.vms, runs) {
			return false
		}
	}
	return voters == count
}

// requireWritten requires that a leader accepts a change within recovery_s, 15 s, and has
// all that was acknowledged.
func (group *group) requireWritten() {
	accepted := false
	for end := group.now.Add(15 * time.Second); !accepted && group.now.Before(end); {
		accepted = group.writeService()
	}
	require.True(group.t, accepted, group.describe())
	for _, name := range group.written {
		_, ok := group.leader().replica.store.Config().Service(name)
		require.True(group.t, ok, "%s is lost\n%s", name, group.describe())
	}
}

func (group *group) describe() string {
	text := ""
	for _, vm := range group.vms {
		text += fmt.Sprintf("%s down=%v frozen=%v cut=%v id=%s role=%s term=%d members=%v\n", vm.address, vm.down, vm.frozen, vm.cut,
			vm.replica.id, vm.replica.core.Role(), vm.replica.core.Term(), describeMembers(vm.replica.core.Members()))
	}
	return text
}
