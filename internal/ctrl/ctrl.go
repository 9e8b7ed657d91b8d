package ctrl

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/accept"
	"github.com/vanillapulley/vanillapulley/internal/bufmem"
	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/disk"
	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/internal/tree"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// poolSize is the maximum number of goroutines that serve requests from other
// processes or connect to them.
const poolSize = 256

// joinsPerSecond is the maximum number of nodes per second that one control VM
// admits.
const joinsPerSecond = 100

// confirmTimeout is the timeout of the linearizable read for joining nodes.
const confirmTimeout = 2 * time.Second

// Deps holds the dependencies of a control daemon.
type Deps struct {
	Settings config.Control
	Logs     *logs.Factory
	Stats    *stats.Set
	Now      func() time.Time
	// Random returns a new source of random numbers. It is called once for each
	// Raft core and distribution core.
	Random func() *rand.Rand
	// API serves additional requests at the API's address. It is called before
	// the built-in handlers and returns false for a request that it does not
	// handle. It may be nil.
	API func(control *Control, request *fasthttp.RequestCtx) bool
	// System changes the data folder. If it is nil, disk.OS is used.
	System disk.System
}

// Control is the daemon of one control VM.
type Control struct {
	settings config.Control
	now      func() time.Time
	log      logr.Logger
	stats    *stats.Set
	started  time.Time
	// peers holds the link addresses of the control VMs from the settings. It may
	// include the address of this one. Reload may replace peers; a change of any
	// other setting needs a restart.
	peers atomic.Pointer[[]string]
	pool  *ants.Pool
	// apiPool runs the handlers of the API.
	apiPool *ants.Pool
	// memory is the budget for connections, requests and messages.
	memory  *bufmem.Budget
	traffic *link.Traffic
	logs    *logs.Factory
	deps    Deps

	// ctx, requests, endRequests, caller, replica, tree and rolloutManager are set by open.
	ctx context.Context
	// requests is the context of requests to the API. A planned stop ends it once the
	// vote has been handed over, before it waits for the requests in progress.
	requests    context.Context
	endRequests context.CancelFunc

	caller  *link.Client
	replica *replica
	tree    *tree.Tree
	// pendingJoins holds the connections of joining nodes that wait for
	// confirmJoins.
	pendingJoins chan distr.LinkID
	// configs holds the latest configuration until publishConfigs takes it.
	configs        chan *rsrc.Config
	rolloutManager *rolloutManager
	quotas         *quotas
}

// Init creates the data folder of the first replica of a new control plane. The
// other replicas start without a data folder and join.
func Init(settings config.Control) error {
	voter := raft.Member{ID: disk.NewID(settings.Name), Name: settings.Name, Address: settings.Link}
	return disk.Create(settings.Data, disk.Identity{ID: voter.ID, Name: settings.Name}, raft.Bootstrap(voter))
}

// createReplica creates the data folder of a replica that has none. The replica
// is one of the first voters of a new control plane if Bootstrap is set and Peers
// contains its link address. All first voters must have the same Peers. Any other
// replica starts without a log and joins the Raft group later.
func createReplica(settings config.Control) error {
	joiner := disk.Identity{ID: disk.NewID(settings.Name), Name: settings.Name}
	if !settings.Bootstrap || !slices.Contains(settings.Peers, settings.Link) {
		return disk.Create(settings.Data, joiner, raft.DurableState{})
	}
	var voters []raft.Member
	for _, address := range slices.Sorted(slices.Values(settings.Peers)) {
		voters = append(voters, raft.Member{ID: firstVoterID(address), Name: address, Address: address})
	}
	firstVoter := disk.Identity{ID: firstVoterID(settings.Link), Name: settings.Name}
	return disk.Create(settings.Data, firstVoter, raft.Bootstrap(voters...))
}

// firstVoterID returns the id of the first voter at the given address, so that
// all first voters use the same ids for each other. No id is used twice, because
// operators set Bootstrap only for the first start and not after the loss of a disk.
func firstVoterID(address string) string { return "founder-" + address }

// New returns a daemon that is not yet running.
func New(deps Deps) (*Control, error) {
	pool, err := ants.NewPool(poolSize)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	apiPool, err := ants.NewPool(apiPoolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	control := &Control{
		settings:     deps.Settings,
		now:          deps.Now,
		log:          deps.Logs.Layer("daemon"),
		stats:        deps.Stats,
		started:      deps.Now(),
		pool:         pool,
		apiPool:      apiPool,
		memory:       bufmem.New(bufmem.SizesOf(cmp.Or(deps.Settings.MemoryMB, config.DefaultMemoryMB)), deps.Now),
		traffic:      &link.Traffic{},
		logs:         deps.Logs,
		deps:         deps,
		pendingJoins: make(chan distr.LinkID, inboxCapacity),
		configs:      make(chan *rsrc.Config, 1),
	}
	control.memory.CountGarbage(bufmem.Runtime{})
	control.peers.Store(&deps.Settings.Peers)
	return control, nil
}

// Reload applies the peers of changed settings. It ignores all other settings.
func (control *Control) Reload(settings config.Control) {
	control.peers.Store(&settings.Peers)
	control.log.Info("settings reloaded", "peers", settings.Peers)
}

// Run serves until the context ends or a component fails. If there is no data
// folder, Run creates one with a new identity, and the replica joins the Raft group
// unless it is one of the first voters. Without Peers, Run returns an error instead.
func (control *Control) Run(ctx context.Context) error {
	defer control.pool.Release()
	linkListener, err := net.Listen("tcp", cmp.Or(control.settings.ListenLink, control.settings.Link))
	if err != nil {
		return &config.Error{Key: "link", Reason: err.Error()}
	}
	apiListener, err := net.Listen("tcp", control.settings.API)
	if err != nil {
		return errors.Join(&config.Error{Key: "api", Reason: err.Error()}, linkListener.Close())
	}
	apiListeners := map[string]net.Listener{"api": apiListener}
	if control.settings.Metrics != "" {
		metrics, err := net.Listen("tcp", control.settings.Metrics)
		if err != nil {
			return errors.Join(&config.Error{Key: "metrics", Reason: err.Error()}, linkListener.Close(), apiListener.Close())
		}
		apiListeners["metrics"] = metrics
	}
	// After ctx has ended, the components run on while the replica hands its vote over.
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := control.open(ctx, running); err != nil {
		return errors.Join(err, linkListener.Close(), apiListener.Close())
	}
	for name, listener := range apiListeners {
		apiListeners[name] = accept.Wrap(listener, control.log)
	}
	return control.serve(ctx, running, cancel, accept.Wrap(linkListener, control.log), apiListeners)
}

// linkOptions returns the options for connections between processes.
func (control *Control) linkOptions() link.Options {
	return link.Options{
		Traffic: control.traffic, Pool: control.pool, Memory: control.memory,
		MaxConns: linkShare.MaxConns(), Count: control.countClosed("link"),
	}
}

// open creates the replica, the root of the distribution tree and the rollout
// manager. If there is no data folder, it creates one, or returns an error if Peers
// is empty. The components run until the context running ends.
func (control *Control) open(ctx, running context.Context) error {
	if !disk.Exists(control.settings.Data) {
		if len(control.settings.Peers) == 0 {
			return trace.NotFound("the data folder %s contains no replica: start once with --init to create a new control plane, or set peers to join an existing one", control.settings.Data)
		}
		if err := createReplica(control.settings); err != nil {
			return err
		}
	}
	control.ctx = running
	control.requests, control.endRequests = context.WithCancel(running)
	control.caller = link.NewClient(running, control.linkOptions())
	replica, err := openWhenRoom(ctx, control.deps, control.caller, control.enqueueConfig)
	if err != nil {
		return err
	}
	control.replica = replica
	control.quotas = newQuotas(control)
	replica.retire = control.quotas.retire
	// The other control VMs may be children too, in addition to the nodes.
	core := distr.New(distr.Settings{
		Name:           control.settings.Name,
		Zone:           control.settings.Zone,
		Link:           control.settings.Link,
		Root:           true,
		MaxChildren:    control.settings.MaxChildren + len(control.settings.Peers),
		JoinsPerSecond: joinsPerSecond,
		Timing:         distr.DefaultTiming(),
		Members:        member.DefaultTiming(),
	}, control.deps.Random(), control.now())
	control.tree = tree.New(core, control, control.linkOptions(), control.logs.Layer("distr"), control.stats, control.now)
	control.rolloutManager = newRolloutManager(control)
	control.enqueueConfig(replica.config())
	return nil
}

// serve runs all components until ctx ends or one of them fails. If ctx ends, the replica
// hands over what it has before the components are stopped, by the end of running.
func (control *Control) serve(ctx, running context.Context, stop func(), linkListener net.Listener, apiListeners map[string]net.Listener) error {
	taskGroup := tasks.New(9)
	control.registerGauges()
	control.announce()
	taskGroup.Go(running, "replica", control.replica.run)
	taskGroup.Go(running, "tree", func(ctx context.Context) error { return control.tree.Run(ctx, linkListener) })
	taskGroup.Go(running, "publish", control.publishConfigs)
	taskGroup.Go(running, "confirm", control.confirmJoins)
	taskGroup.Go(running, "follow", control.followLeader)
	taskGroup.Go(running, "join", control.joinRaftGroup)
	taskGroup.Go(running, "rollouts", control.rolloutManager.run)
	taskGroup.Go(running, "quota", control.quotas.run)
	stopAPI := control.startAPI(running, taskGroup, apiListeners)
	control.log.Info("started", "name", control.settings.Name, "id", control.replica.id, "api", control.settings.API)
	var failure error
	for failure == nil && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case end := <-taskGroup.Results():
			if end.Err != nil {
				failure = trace.Wrap(end.Err, "%s ended", end.Name)
			}
		}
	}
	deadline, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if failure == nil {
		control.handOver(deadline)
	}
	control.endRequests()
	failure = errors.Join(failure, stopAPI(deadline))
	stop()
	taskGroup.Wait()
	control.log.Info("stopped")
	return failure
}

// registerGauges registers the metrics that are computed on reading.
func (control *Control) registerGauges() {
	control.stats.Gauge("vp_control_sent_bytes", func() float64 { return float64(control.traffic.Sent.Load()) })
	control.stats.Gauge("vp_control_received_bytes", func() float64 { return float64(control.traffic.Received.Load()) })
	control.memory.RegisterGauges(control.stats.Gauge)
	control.stats.Gauge("vp_config_version", func() float64 { return float64(control.replica.config().Version()) })
	control.stats.Gauge("vp_evacuated_zones", func() float64 { return float64(len(control.replica.config().EvacuatedZones())) })
	control.stats.Gauge("vp_log_bytes", func() float64 { return float64(control.replica.view.Load().logBytes) })
	control.stats.Gauge("vp_leader", func() float64 {
		if control.replica.isLeader() {
			return 1
		}
		return 0
	})
}

// enqueueConfig queues the latest configuration for publishConfigs. It replaces a
// queued older one and does not block.
func (control *Control) enqueueConfig(config *rsrc.Config) {
	for {
		select {
		case control.configs <- config:
			return
		default:
		}
		select {
		case <-control.configs:
		default:
		}
	}
}

// publishConfigs publishes queued configurations to the distribution tree.
func (control *Control) publishConfigs(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case config := <-control.configs:
			control.tree.Do(func(core *distr.Core, _ time.Time) { core.Publish(config) })
		}
	}
}

// confirmJoins tells joining nodes the configuration version that a linearizable
// read returned, so that they do not start with an older one. All nodes that are
// waiting share one read.
func (control *Control) confirmJoins(ctx context.Context) error {
	for {
		var ids []distr.LinkID
		select {
		case <-ctx.Done():
			return nil
		case id := <-control.pendingJoins:
			ids = append(ids, id)
		}
		for len(control.pendingJoins) > 0 {
			ids = append(ids, <-control.pendingJoins)
		}
		timeoutCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		current, err := control.replica.LinearizableConfig(timeoutCtx)
		cancel()
		departures := control.replica.departures()
		control.stats.Count("vp_join_confirms_total", len(ids))
		control.tree.Do(func(core *distr.Core, _ time.Time) {
			if err == nil {
				core.SetDepartures(departures)
			}
			// If the read failed, current may be outdated or empty. Publish
			// ignores older versions.
			core.Publish(current)
			for _, id := range ids {
				core.Confirmed(id, current.Version(), err == nil)
			}
		})
	}
}

// followInterval is how often a root checks which replica is the leader.
const followInterval = 30 * time.Millisecond

// followLeader attaches this root to the control VM of the Raft leader in the
// distribution tree, so that all reports arrive there. It also tells the tree
// whether this replica is stale.
func (control *Control) followLeader(ctx context.Context) error {
	return tasks.Every(ctx, followInterval, func() {
		stale := control.replica.stale()
		control.tree.Do(func(core *distr.Core, now time.Time) { core.SetStale(now, stale) })
		var parents []string
		if leader := control.replica.leader(); leader.Address != "" && !control.replica.isLeader() {
			parents = []string{leader.Address}
		}
		control.tree.Do(func(core *distr.Core, now time.Time) { core.ReplaceParents(now, parents) })
	})
}

// joinInterval is how often a replica that is stale or not a member asks to join.
const joinInterval = 300 * time.Millisecond

// joinRaftGroup asks the other control VMs to add this replica to the Raft group
// while the replica is not a member. It also does so while the replica is stale,
// because the membership that the replica knows may then be outdated.
func (control *Control) joinRaftGroup(ctx context.Context) error {
	attempts := 0
	return tasks.Every(ctx, joinInterval, func() {
		if control.isRaftMember() && !control.replica.stale() {
			return
		}
		addresses := control.peerAddresses()
		if len(addresses) == 0 {
			return
		}
		attempts++
		self := wire.Member{ID: control.replica.id, Name: control.settings.Name, Address: control.settings.Link}
		var answer wire.JoinAnswer
		timeoutCtx, cancel := context.WithTimeout(ctx, joinTimeout)
		defer cancel()
		err := control.caller.Call(timeoutCtx, addresses[attempts%len(addresses)], methodJoin, wire.JoinRequest{Member: self}, &answer)
		if err == nil && answer.Leader != "" && answer.Leader != control.settings.Link {
			err = control.caller.Call(timeoutCtx, answer.Leader, methodJoin, wire.JoinRequest{Member: self}, &answer)
		}
		if err != nil {
			control.log.V(1).Info("not joined yet", "asked", addresses[attempts%len(addresses)], "error", err.Error())
		}
	})
}

// joinTimeout is the timeout of one attempt to join.
const joinTimeout = time.Second

// peerAddresses returns the link addresses of the other control VMs that are known
// from the settings, the log or the tree.
func (control *Control) peerAddresses() []string {
	addresses := slices.Clone(*control.peers.Load())
	for _, member := range control.replica.view.Load().members {
		addresses = append(addresses, member.Address)
	}
	for _, record := range control.tree.Records() {
		if record.Root {
			addresses = append(addresses, record.Link)
		}
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(address string) bool { return address == control.settings.Link || address == "" })
}

// isRaftMember reports whether this replica is a member of the Raft group under its
// current address, according to the committed membership that it knows.
func (control *Control) isRaftMember() bool {
	id := control.replica.id
	for _, member := range control.replica.view.Load().members {
		if member.ID == id && member.Address == control.settings.Link {
			return true
		}
	}
	return false
}

// announce publishes the record of this control VM to nodes and to other control
// VMs.
func (control *Control) announce() {
	record := member.Record{Incarnation: uint64(control.started.UnixNano()), State: member.StateIdle, Root: true}
	control.tree.Do(func(core *distr.Core, now time.Time) { core.Announce(now, record) })
}

// RestoreFormer implements tree.Host. The tree calls it with the record that this
// process announced before its restart. It does nothing, because a control VM has
// no upstream to restore from the record.
func (control *Control) RestoreFormer(member.Record) (member.Record, bool) {
	return member.Record{}, false
}

// Applied implements tree.Host. It does nothing, because the configurations of a
// root come from the log.
func (control *Control) Applied(*rsrc.Config) {}

// Confirm implements tree.Host. It drops the request if too many are pending.
func (control *Control) Confirm(id distr.LinkID) {
	select {
	case control.pendingJoins <- id:
	default:
		control.stats.Count("vp_join_dropped_total", 1)
	}
}

// Call implements tree.Host. It serves requests from other control VMs and from nodes.
func (control *Control) Call(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if method == wire.MethodVersion {
		return wire.ReadAnswer{Index: control.replica.config().Version()}, nil
	}
	if method == methodLease || method == methodTake {
		return control.quotas.handleCall(ctx, method, params)
	}
	if method == wire.MethodDeparture {
		return control.keepDeparture(ctx, params)
	}
	if method != methodStatus {
		return control.replica.handleCall(ctx, method, params)
	}
	if !control.replica.isLeader() {
		// The caller's information is outdated: this replica is no longer the
		// leader, or it now has the address of a former leader.
		return nil, &raft.NotLeaderError{Leader: control.replica.leader().ID}
	}
	return control.status(), nil
}

// Notify implements tree.Host. It passes Raft messages to the replica.
func (control *Control) Notify(method string, params json.RawMessage) {
	if method != methodRaft {
		return
	}
	var message wire.RaftMessage
	if json.Unmarshal(params, &message) == nil {
		control.replica.enqueue(control.ctx, event{message: &message})
	}
}
