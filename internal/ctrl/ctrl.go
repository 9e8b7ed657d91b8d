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

// poolSize is the number of workers for requests between processes.
const poolSize = 256

// joinsPerSecond bounds the nodes that one control VM admits a second.
const joinsPerSecond = 100

// confirmTimeout bounds the wait for a quorum when a node joins.
const confirmTimeout = 2 * time.Second

// stopGrace bounds how long a planned stop waits for requests in progress.
const stopGrace = 5 * time.Second

// maxRequest bounds the body of an operator's request, in bytes.
const maxRequest = 64 << 20

// Deps are what a control daemon depends on.
type Deps struct {
	Settings config.Control
	Logs     *logs.Factory
	Stats    *stats.Set
	Now      func() time.Time
	// Random makes a source of random numbers; each core gets its own.
	Random func() *rand.Rand
	// API serves requests to the API's address that are not the project's own;
	// nil means none. It returns false for a request that it leaves alone.
	API func(control *Control, request *fasthttp.RequestCtx) bool
}

// Control is the daemon of one control VM.
type Control struct {
	settings config.Control
	now      func() time.Time
	log      logr.Logger
	stats    *stats.Set
	started  time.Time
	// peers are the other control VMs' link addresses of the settings, which
	// may change; the other settings need a restart.
	peers   atomic.Pointer[[]string]
	pool    *ants.Pool
	traffic *link.Traffic
	logs    *logs.Factory
	deps    Deps

	ctx      context.Context
	caller   *link.Client
	replica  *replica
	tree     *tree.Tree
	confirms chan distr.LinkID
	configs  chan *rsrc.Config
	rollouts *rollouts
}

// Init makes the data folder of the first replica of a new control plane. The
// others start without it and join.
func Init(settings config.Control) error {
	first := raft.Member{ID: disk.NewID(settings.Name), Name: settings.Name, Address: settings.Link}
	return disk.Create(settings.Data, disk.Identity{ID: first.ID, Name: settings.Name}, raft.Bootstrap(first))
}

// create makes the data folder of a replica that has none: that of one of the
// first voters, which all know the same peers, or of one that is to join.
func create(settings config.Control) error {
	joiner := disk.Identity{ID: disk.NewID(settings.Name), Name: settings.Name}
	if !settings.Bootstrap || !slices.Contains(settings.Peers, settings.Link) {
		return disk.Create(settings.Data, joiner, raft.DurableState{})
	}
	var first []raft.Member
	for _, address := range slices.Sorted(slices.Values(settings.Peers)) {
		first = append(first, raft.Member{ID: founderID(address), Name: address, Address: address})
	}
	founder := disk.Identity{ID: founderID(settings.Link), Name: settings.Name}
	return disk.Create(settings.Data, founder, raft.Bootstrap(first...))
}

// founderID is the same on all of the first voters. It is used once, since a
// replica that lost its disk is never told to found the group again.
func founderID(address string) string { return "founder-" + address }

// New returns a daemon that is not running yet.
func New(deps Deps) (*Control, error) {
	pool, err := ants.NewPool(poolSize)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	control := &Control{
		settings: deps.Settings,
		now:      deps.Now,
		log:      deps.Logs.Layer("daemon"),
		stats:    deps.Stats,
		started:  deps.Now(),
		pool:     pool,
		traffic:  &link.Traffic{},
		logs:     deps.Logs,
		deps:     deps,
		confirms: make(chan distr.LinkID, inboxLength),
		configs:  make(chan *rsrc.Config, 1),
	}
	control.peers.Store(&deps.Settings.Peers)
	return control, nil
}

// Reload takes changed settings.
func (control *Control) Reload(settings config.Control) {
	control.peers.Store(&settings.Peers)
	control.log.Info("settings reloaded", "peers", settings.Peers)
}

// Run serves until the context ends. A replica without a data folder makes
// one with a new identity and asks to join.
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
	apis := []net.Listener{apiListener}
	if control.settings.Metrics != "" {
		metrics, err := net.Listen("tcp", control.settings.Metrics)
		if err != nil {
			return errors.Join(&config.Error{Key: "metrics", Reason: err.Error()}, linkListener.Close(), apiListener.Close())
		}
		apis = append(apis, metrics)
	}
	if err := control.open(ctx); err != nil {
		return errors.Join(err, linkListener.Close(), apiListener.Close())
	}
	return control.serve(ctx, linkListener, apis)
}

func (control *Control) options() link.Options {
	return link.Options{Traffic: control.traffic, Pool: control.pool}
}

// open builds replica and tree.
func (control *Control) open(ctx context.Context) error {
	if !disk.Exists(control.settings.Data) {
		if len(control.settings.Peers) == 0 {
			return trace.NotFound("the data folder %s holds no replica: start once with --init to make a new control plane", control.settings.Data)
		}
		if err := create(control.settings); err != nil {
			return err
		}
	}
	control.ctx = ctx
	control.caller = link.NewClient(ctx, control.options())
	replica, err := openReplica(control.deps, control.caller, control.applied)
	if err != nil {
		return err
	}
	control.replica = replica
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
	control.tree = tree.New(core, control, control.options(), control.logs.Layer("distr"), control.stats, control.now)
	control.rollouts = newRollouts(control)
	control.applied(replica.config())
	return nil
}

func (control *Control) serve(ctx context.Context, linkListener net.Listener, apis []net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group := tasks.New(8)
	server := &fasthttp.Server{Handler: control.handle, Name: "vanillapulley", NoDefaultDate: true, CloseOnShutdown: true, MaxRequestBodySize: maxRequest}
	control.gauges()
	control.announce()
	group.Go(ctx, "replica", control.replica.run)
	group.Go(ctx, "tree", func(ctx context.Context) error { return control.tree.Run(ctx, linkListener) })
	group.Go(ctx, "publish", control.publish)
	group.Go(ctx, "confirm", control.confirm)
	group.Go(ctx, "follow", control.follow)
	group.Go(ctx, "join", control.join)
	group.Go(ctx, "rollouts", control.rollouts.run)
	for _, listener := range apis {
		group.Go(ctx, "api", func(context.Context) error { return server.Serve(listener) })
	}
	control.log.Info("started", "name", control.settings.Name, "id", control.replica.id, "api", control.settings.API)
	var failure error
	for failure == nil && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case end := <-group.Results():
			if end.Err != nil {
				failure = trace.Wrap(end.Err, "%s ended", end.Name)
			}
		}
	}
	stop, cancelStop := context.WithTimeout(context.Background(), stopGrace)
	defer cancelStop()
	failure = errors.Join(failure, server.ShutdownWithContext(stop))
	cancel()
	group.Wait()
	control.log.Info("stopped")
	return failure
}

func (control *Control) gauges() {
	control.stats.Gauge("vp_control_sent_bytes", func() float64 { return float64(control.traffic.Sent.Load()) })
	control.stats.Gauge("vp_control_received_bytes", func() float64 { return float64(control.traffic.Received.Load()) })
	control.stats.Gauge("vp_config_version", func() float64 { return float64(control.replica.config().Version()) })
	control.stats.Gauge("vp_log_bytes", func() float64 { return float64(control.replica.view.Load().logBytes) })
	control.stats.Gauge("vp_leader", func() float64 {
		if control.replica.leads() {
			return 1
		}
		return 0
	})
}

// applied hands the newest configuration to the publisher; an older one that
// waits is replaced.
func (control *Control) applied(config *rsrc.Config) {
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

// publish gives the tree what the log has come to.
func (control *Control) publish(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case config := <-control.configs:
			control.tree.Do(func(core *distr.Core, _ time.Time) { core.Publish(config) })
		}
	}
}

// confirm answers joining nodes; all that wait share one quorum read.
func (control *Control) confirm(ctx context.Context) error {
	for {
		var ids []distr.LinkID
		select {
		case <-ctx.Done():
			return nil
		case id := <-control.confirms:
			ids = append(ids, id)
		}
		for len(control.confirms) > 0 {
			ids = append(ids, <-control.confirms)
		}
		bounded, cancel := context.WithTimeout(ctx, confirmTimeout)
		fresh, err := control.replica.Fresh(bounded)
		cancel()
		control.stats.Count("vp_join_confirms_total", len(ids))
		control.tree.Do(func(core *distr.Core, _ time.Time) {
			core.Publish(fresh)
			for _, id := range ids {
				core.Confirmed(id, fresh.Version(), err == nil)
			}
		})
	}
}

// followEvery is how often a root looks who leads.
const followEvery = 30 * time.Millisecond

// follow makes the present leader the parent of this root, so that reports
// come together there.
func (control *Control) follow(ctx context.Context) error {
	return tasks.Every(ctx, followEvery, func() {
		stale := control.replica.stale()
		control.tree.Do(func(core *distr.Core, now time.Time) { core.SetStale(now, stale) })
		var parents []string
		if leader := control.replica.leader(); leader.Address != "" && !control.replica.leads() {
			parents = []string{leader.Address}
		}
		control.tree.Do(func(core *distr.Core, now time.Time) { core.SetParents(now, parents) })
	})
}

// joinEvery is how often a replica that is no member asks again.
const joinEvery = 300 * time.Millisecond

// join asks the other control VMs to take this replica in whenever it is not a
// member, or is one only by its own outdated word.
func (control *Control) join(ctx context.Context) error {
	asked := 0
	return tasks.Every(ctx, joinEvery, func() {
		if control.isMember() && !control.replica.stale() {
			return
		}
		addresses := control.otherControls()
		if len(addresses) == 0 {
			return
		}
		asked++
		self := wire.Member{ID: control.replica.id, Name: control.settings.Name, Address: control.settings.Link}
		var answer wire.JoinAnswer
		bounded, cancel := context.WithTimeout(ctx, joinTimeout)
		defer cancel()
		err := control.caller.Call(bounded, addresses[asked%len(addresses)], methodJoin, wire.JoinRequest{Member: self}, &answer)
		if err == nil && answer.Leader != "" && answer.Leader != control.settings.Link {
			err = control.caller.Call(bounded, answer.Leader, methodJoin, wire.JoinRequest{Member: self}, &answer)
		}
		if err != nil {
			control.log.V(1).Info("not joined yet", "asked", addresses[asked%len(addresses)], "error", err.Error())
		}
	})
}

// joinTimeout bounds one question whether this replica is a member.
const joinTimeout = time.Second

// otherControls returns the link addresses of the control VMs that are known
// from the settings, the log and the tree.
func (control *Control) otherControls() []string {
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

func (control *Control) isMember() bool {
	id := control.replica.id
	for _, member := range control.replica.view.Load().members {
		if member.ID == id && member.Address == control.settings.Link {
			return true
		}
	}
	return false
}

// announce tells nodes and other control VMs that this one is there.
func (control *Control) announce() {
	record := member.Record{Incarnation: uint64(control.started.UnixNano()), State: member.StateIdle, Root: true}
	control.tree.Do(func(core *distr.Core, now time.Time) { core.Announce(now, record) })
}

// RestoreFormer implements tree.Host; a control VM guards no upstream.
func (control *Control) RestoreFormer(member.Record) {}

// Applied implements tree.Host; a root's configurations come from the log.
func (control *Control) Applied(*rsrc.Config) {}

// Confirm implements tree.Host.
func (control *Control) Confirm(id distr.LinkID) {
	select {
	case control.confirms <- id:
	default:
		control.stats.Count("vp_join_dropped_total", 1)
	}
}

// Call implements tree.Host.
func (control *Control) Call(ctx context.Context, method string, params json.RawMessage) (any, error) {
	if method != methodStatus {
		return control.replica.call(ctx, method, params)
	}
	if !control.replica.leads() {
		// The asker's leader is gone and another replica has its address.
		return nil, &raft.NotLeaderError{Leader: control.replica.leader().ID}
	}
	return control.status(), nil
}

// Notify implements tree.Host.
func (control *Control) Notify(method string, params json.RawMessage) {
	if method != methodRaft {
		return
	}
	var message wire.RaftMessage
	if json.Unmarshal(params, &message) == nil {
		control.replica.post(control.ctx, event{message: &message})
	}
}
