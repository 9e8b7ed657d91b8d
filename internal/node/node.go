// Package node is the daemon beside an upstream: it takes calls, picks
// targets, guards its own upstream, announces it, and applies and relays
// configurations.
package node

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/front"
	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/retry"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/internal/tree"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Bounds of a node.
const (
	poolSize    = 256
	maxLaterals = 2
	// bookkeeping is how often targets, leases and deadlines are looked at.
	bookkeeping = 50 * time.Millisecond
	// callPoolSize bounds the calls in progress on one node, as caller's node
	// and as gate together.
	callPoolSize = 4096
	// noticeBeats is how many heartbeats of an upstream may be missing before
	// it counts as gone.
	noticeBeats = 3
)

// live holds the settings that follow a changed file; the others need a
// restart.
type live struct {
	control []string
	service string
}

// Reload takes changed settings.
func (node *Node) Reload(settings config.Node) {
	node.live.Store(&live{control: settings.Control, service: settings.Service})
	node.reloaded.Store(true)
	node.log.Info("settings reloaded", "control", settings.Control, "service", settings.Service)
}

// Deps are what a node depends on.
type Deps struct {
	Settings config.Node
	Logs     *logs.Factory
	Stats    *stats.Set
	Now      func() time.Time
	// Random makes a source of random numbers; each core gets its own.
	Random func() *rand.Rand
	// Dialect is how callers and upstreams speak; nil means the project's own.
	Dialect Dialect
	// Admin serves requests to the admin address that are not the project's
	// own; nil means none. It returns false for a request that it leaves alone.
	Admin func(node *Node, request *fasthttp.RequestCtx) bool
}

// Node is the daemon of one node. Lock order: claims.lock, then the tree's own
// lock, then gate.lock (the tree recalls under its lock), then lock; no lock is
// held while waiting.
type Node struct {
	// settings are those of the start; live has what may change since.
	settings    config.Node
	live        atomic.Pointer[live]
	now         func() time.Time
	log         logr.Logger
	logs        *logs.Factory
	stats       *stats.Set
	incarnation uint64

	pool    *ants.Pool
	traffic *link.Traffic
	caller  *link.Client
	tree    *tree.Tree
	// gates has the connections to other nodes, targets those to the upstream.
	gates   *proxy.Pools
	targets *proxy.Pools
	dialect Dialect
	// keyed is true when callers may give idempotency keys.
	keyed   bool
	extra   func(request *fasthttp.RequestCtx) bool
	callLog logr.Logger
	// usualCalls counts the calls of which only a sample is logged; membership
	// is the version of the membership that targets are chosen by.
	usualCalls atomic.Uint64
	membership atomic.Uint64
	// locals has requests for calls to the gate in this process.
	locals sync.Pool
	// calls runs the handlers of calls.
	calls     *ants.Pool
	noticeTTL time.Duration
	// stopping is true from the order to stop on.
	stopping atomic.Bool
	// early is the latest notice that came before this node had asked others
	// what it had told of its upstream.
	early atomic.Pointer[lease.Notice]
	// reloaded is true until the control VMs of changed settings are used.
	reloaded atomic.Bool
	// synced is true once a configuration is in force and the targets that came
	// with it are known to the picker.
	synced atomic.Bool
	// changed is true when the own record has to be announced again.
	changed atomic.Bool
	gate    *gate
	claims  *claims
	parents *parents
	guard   *guard
	ctx     context.Context

	// config is in force; nil until the first one at or above the floor.
	config atomic.Pointer[rsrc.Config]

	// lock guards picker, budgets, peers, splits and random.
	lock   sync.Mutex
	picker *picker.Picker
	// budgets has one for each service.
	budgets map[string]*retry.Budget
	// peers is how many nodes share the budgets, this one included.
	peers  int
	splits *splits
	random *rand.Rand
	// tableVersion is the membership the picker was last given; only the
	// bookkeeping task uses it.
	tableVersion uint64
}

// New returns a node that is not running yet.
func New(deps Deps) (*Node, error) {
	pool, err := ants.NewPool(poolSize)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	calls, err := ants.NewPool(callPoolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	started := deps.Now()
	random := deps.Random()
	node := &Node{
		settings:    deps.Settings,
		now:         deps.Now,
		log:         deps.Logs.Layer("daemon"),
		logs:        deps.Logs,
		stats:       deps.Stats,
		incarnation: uint64(started.UnixNano()),
		pool:        pool,
		traffic:     &link.Traffic{},
		calls:       calls,
		dialect:     deps.Dialect,
		callLog:     deps.Logs.Layer(logs.LayerCalls),
		noticeTTL:   noticeBeats * time.Duration(deps.Settings.Heartbeat),
		random:      random,
		picker:      picker.New(deps.Settings.Zone, random),
		budgets:     map[string]*retry.Budget{},
		peers:       1,
		splits:      newSplits(),
	}
	if node.dialect == nil {
		node.dialect, node.keyed = own{}, true
	}
	if deps.Admin != nil {
		node.extra = func(request *fasthttp.RequestCtx) bool { return deps.Admin(node, request) }
	}
	node.gates = proxy.New(gateSettings(), deps.Now)
	node.targets = proxy.New(targetSettings(node.dialect), deps.Now)
	node.picker.SetLocalTarget(deps.Settings.Name)
	node.locals.New = func() any { return &fasthttp.RequestCtx{} }
	node.live.Store(&live{control: deps.Settings.Control, service: deps.Settings.Service})
	node.gate = newGate(node)
	node.claims = newClaims(node, started)
	node.parents = newParents()
	node.guard = newGuard(node)
	core := distr.New(distr.Settings{
		Name:        deps.Settings.Name,
		Zone:        deps.Settings.Zone,
		Link:        deps.Settings.Link,
		Parents:     deps.Settings.Control,
		Seeds:       deps.Settings.Seeds,
		MaxChildren: deps.Settings.MaxChildren,
		MaxLaterals: maxLaterals,
		Timing:      distr.DefaultTiming(),
		Members:     member.DefaultTiming(),
	}, deps.Random(), started)
	node.tree = tree.New(core, node, node.options(), deps.Logs.Layer("distr"), deps.Stats, deps.Now)
	return node, nil
}

func (node *Node) options() link.Options {
	return link.Options{Traffic: node.traffic, Pool: node.pool}
}

// Run serves until the context ends, and then until the calls in progress are
// done or the grace is over.
func (node *Node) Run(ctx context.Context) error {
	defer node.pool.Release()
	opened, err := node.listen()
	if err != nil {
		return err
	}
	// The control side outlives the calls, so that leaving can be spread.
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	node.ctx = background
	node.caller = link.NewClient(background, node.options())
	node.gauges()
	group := tasks.New(8)
	callers := node.server(node.serveCaller, node.limits)
	gates := node.server(node.gate.serve, front.DefaultLimits)
	admin := &fasthttp.Server{Handler: node.serveAdmin, NoDefaultServerHeader: true, NoDefaultDate: true, CloseOnShutdown: true, Logger: silent{}}
	group.Go(background, "tree", func(ctx context.Context) error { return node.tree.Run(ctx, opened.link) })
	group.Go(background, "bookkeeping", node.keepBooks)
	group.Go(background, "guard", node.guard.run)
	group.Go(background, "callers", func(ctx context.Context) error { return callers.Serve(ctx, opened.callers) })
	group.Go(background, "gate", func(ctx context.Context) error { return gates.Serve(ctx, opened.gate) })
	group.Go(background, "admin", func(context.Context) error { return admin.Serve(opened.admin) })
	for name, listener := range map[string]net.Listener{"ready": opened.ready, "metrics": opened.metrics} {
		if listener != nil {
			group.Go(background, name, func(context.Context) error { return admin.Serve(listener) })
		}
	}
	node.announce()
	node.log.Info("started", "name", node.settings.Name, "callers", node.settings.Callers, "incarnation", node.incarnation)
	var failure error
	select {
	case <-ctx.Done():
	case end := <-group.Results():
		failure = trace.Wrap(end.Err, "%s ended", end.Name)
	}
	failure = errors.Join(failure, node.leave(opened, callers, gates), shutdownAdmin(admin))
	cancel()
	group.Wait()
	node.log.Info("stopped")
	return failure
}

// announce spreads the node's own record as it is now.
func (node *Node) announce() {
	record := node.gate.record()
	node.tree.Do(func(core *distr.Core, now time.Time) { core.Announce(now, record) })
}

// keepBooks updates the picker's targets and looks at leases and deadlines.
func (node *Node) keepBooks(ctx context.Context) error {
	return tasks.Every(ctx, bookkeeping, func() {
		if node.changed.Swap(false) {
			node.announce()
		}
		node.takeEarly()
		node.updateTargets()
		if node.version() > 0 {
			node.synced.Store(true)
		}
		node.gate.expire()
	})
}

func (node *Node) updateTargets() {
	records, version, changed := node.tree.RecordsIfChanged(node.tableVersion)
	if node.reloaded.Swap(false) && !changed {
		records, changed = node.tree.Records(), true
	}
	if !changed {
		return
	}
	node.tableVersion = version
	node.membership.Store(node.tableVersion)
	node.claims.setNodes(records)
	node.followRoots(records)
	var targets []picker.Target
	peers := 0
	for _, record := range records {
		if !record.Root {
			peers++
		}
		if record.State != member.StateServing && record.State != member.StateSuspect || record.Upstream.Service == "" {
			continue
		}
		targets = append(targets, picker.Target{
			Name:    record.Name,
			Zone:    record.Zone,
			Gate:    record.Gate,
			Service: record.Upstream.Service,
			Version: record.Upstream.Version,
			Slots:   record.Upstream.Slots,
			Suspect: record.State == member.StateSuspect,
		})
	}
	node.lock.Lock()
	defer node.lock.Unlock()
	node.picker.SetTargets(node.now(), targets)
	if peers = max(1, peers); peers != node.peers {
		node.peers = peers
		for _, budget := range node.budgets {
			budget.SetSettings(node.retrySettings())
		}
	}
}

func (node *Node) gauges() {
	node.stats.Gauge("vp_control_sent_bytes", func() float64 { return float64(node.traffic.Sent.Load()) })
	node.stats.Gauge("vp_control_received_bytes", func() float64 { return float64(node.traffic.Received.Load()) })
	node.stats.Gauge("vp_config_version", func() float64 { return float64(node.version()) })
	node.stats.Gauge("vp_calls_in_flight", func() float64 { return float64(node.gate.load().InFlight) })
	node.stats.Gauge("vp_calls_queued", func() float64 { return float64(node.gate.load().Queued) })
}

// version returns the configuration version in force, zero for none.
func (node *Node) version() uint64 {
	if config := node.config.Load(); config != nil {
		return config.Version()
	}
	return 0
}

// Applied implements tree.Host: the configuration is swapped whole.
func (node *Node) Applied(config *rsrc.Config) {
	node.config.Store(config)
	node.claims.setWitnesses(config)
}

// RestoreFormer implements tree.Host: others remember what this node had told of its
// upstream before it was restarted.
func (node *Node) RestoreFormer(former member.Record) { node.gate.recall(former) }

// recalled reports whether others were asked for what this node had told.
func (node *Node) recalled() bool { return node.version() > 0 }

// followRoots keeps the addresses of the control VMs: those of the settings
// and those that have announced themselves since.
func (node *Node) followRoots(records []member.Record) {
	roots := slices.Clone(node.live.Load().control)
	for _, record := range records {
		if record.Root && record.State != member.StateSuspect && !slices.Contains(roots, record.Link) {
			roots = append(roots, record.Link)
		}
	}
	node.tree.Do(func(core *distr.Core, _ time.Time) { core.UpdateParents(roots) })
}

// Confirm implements tree.Host; only roots confirm.
func (node *Node) Confirm(distr.LinkID) {}

// Call implements tree.Host.
func (node *Node) Call(ctx context.Context, method string, params json.RawMessage) (any, error) {
	return node.claims.call(ctx, method, params)
}

// Notify implements tree.Host.
func (node *Node) Notify(method string, params json.RawMessage) {
	node.claims.notify(method, params)
}
