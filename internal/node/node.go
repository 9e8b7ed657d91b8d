// Package node implements the daemon that runs beside an upstream. A call is served by
// two nodes: the one that its caller sent it to is the entry node (package entry); it
// forwards the call to the gate of the chosen target (package gate). Both may be the
// same node.
//
// Inputs: the settings, also when they are reloaded; connections of callers, other
// nodes and administrators; configurations and membership records from the
// distribution tree.
//
// Outcomes: the entry and the gate serve within the memory and the number of calls that
// the process has, with the configuration in force and the targets in the membership;
// other nodes have the record of this node and its upstream; configurations are
// relayed; a planned shutdown loses no call that ends within the grace period.
package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/bufmem"
	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/entry"
	"github.com/vanillapulley/vanillapulley/internal/front"
	"github.com/vanillapulley/vanillapulley/internal/gate"
	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/internal/tree"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Limits and intervals of a node.
const (
	// rpcPoolSize limits the goroutines that handle requests of other nodes, dial
	// other nodes and ask witnesses.
	rpcPoolSize = 256
	// maxLaterals is how many connections the node opens to nodes that are
	// neither its parent nor its children in the distribution tree.
	maxLaterals = 2
	// bookkeepingInterval is the interval at which targets, leases and
	// deadlines are checked.
	bookkeepingInterval = 50 * time.Millisecond
	// idleCloseInterval is the interval at which outdated connections are closed.
	idleCloseInterval = 2 * time.Second
	// callPoolSize limits the calls in progress on one node, as entry node and
	// as gate together.
	callPoolSize = 4096
)

// reloadable contains the settings that can change without a restart.
type reloadable struct {
	control []string
	service string
}

// Reload applies the reloadable part of changed settings.
func (node *Node) Reload(settings config.Node) {
	node.reloadable.Store(&reloadable{control: settings.Control, service: settings.Service})
	node.reloaded.Store(true)
	node.log.Info("settings reloaded", "control", settings.Control, "service", settings.Service)
}

// Deps are the dependencies of a node.
type Deps struct {
	Settings config.Node
	Logs     *logs.Factory
	Stats    *stats.Set
	Now      func() time.Time
	// Random returns a new source of random numbers. The entry, the gate and the
	// distribution core each get their own.
	Random func() *rand.Rand
	// Dialect is the protocol of callers and upstreams; nil means the project's
	// own.
	Dialect proto.Dialect
	// Admin handles additional requests to the admin address; it may be nil. It
	// returns false for a request that it does not handle.
	Admin func(gate *gate.Gate, request *fasthttp.RequestCtx) bool
}

// Node is the daemon beside one upstream. Lock order: the tree's own lock, then
// the lock of gate.Claims, then that of gate.Gate, then that of entry.Entry. The tree
// calls Applied, which takes these three locks in turn, and RestoreFormer, which takes
// that of gate.Gate, under its lock. No lock is held while waiting.
type Node struct {
	// settings are the settings at startup; reloadable contains those that may
	// change later.
	settings   config.Node
	reloadable atomic.Pointer[reloadable]
	now        func() time.Time
	log        logr.Logger
	logs       *logs.Factory
	stats      *stats.Set
	// incarnation identifies this run of the node: its start time in nanoseconds
	// since 1970.
	incarnation uint64

	rpcPool *ants.Pool
	traffic *link.Traffic
	tree    *tree.Tree
	// gatePools contains the connections to other nodes, upstreamPools those to
	// the upstream.
	gatePools     *proxy.Pools
	upstreamPools *proxy.Pools
	extraAdmin    func(request *fasthttp.RequestCtx) bool
	// callPool is the worker pool that runs the handlers of calls.
	callPool *ants.Pool
	// adminPool is the worker pool that runs the handlers of the admin address.
	adminPool *ants.Pool
	// memory is the budget for connections, requests, responses and messages.
	memory *bufmem.Budget
	// stopping is true from the start of the shutdown.
	stopping atomic.Bool
	// reloaded is true until the control VMs of the changed settings are in
	// use.
	reloaded atomic.Bool
	// recordChanged is true if this node's record must be announced again.
	recordChanged atomic.Bool
	gate          *gate.Gate
	entry         *entry.Entry
	resume        *resume
	tokens        *tokenSource
	departures    *departures

	// config is the configuration in force. It is nil until the first
	// configuration whose version is at or above the floor, the minimum version
	// that the node learns from control VMs or other nodes when it joins.
	config atomic.Pointer[rsrc.Config]

	// membershipVersion is the version of the membership last passed to the
	// entry. Only the bookkeeping task uses it.
	membershipVersion uint64
	// nextClose is when outdated connections are closed next. Only the bookkeeping task
	// uses it.
	nextClose time.Time
}

// New returns a node that is not running yet.
func New(deps Deps) (*Node, error) {
	rpcPool, err := ants.NewPool(rpcPoolSize)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	callPool, err := ants.NewPool(callPoolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	adminPool, err := ants.NewPool(adminPoolSize, ants.WithNonblocking(true))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	started := deps.Now()
	node := &Node{
		settings:    deps.Settings,
		now:         deps.Now,
		log:         deps.Logs.Layer("daemon"),
		logs:        deps.Logs,
		stats:       deps.Stats,
		incarnation: uint64(started.UnixNano()),
		rpcPool:     rpcPool,
		traffic:     &link.Traffic{},
		callPool:    callPool,
		adminPool:   adminPool,
		memory:      bufmem.New(bufmem.SizesOf(cmp.Or(deps.Settings.MemoryMB, config.DefaultMemoryMB)), deps.Now),
	}
	node.memory.CountGarbage(bufmem.Runtime{})
	dialect, keyed := deps.Dialect, false
	if dialect == nil {
		dialect, keyed = proto.Default{}, true
	}
	if deps.Admin != nil {
		node.extraAdmin = func(request *fasthttp.RequestCtx) bool { return deps.Admin(node.gate, request) }
	}
	node.gatePools = proxy.New(gateSettings(), deps.Now)
	node.upstreamPools = proxy.New(upstreamSettings(dialect), deps.Now)
	node.reloadable.Store(&reloadable{control: deps.Settings.Control, service: deps.Settings.Service})
	service := func() string { return node.reloadable.Load().service }
	node.gate = gate.New(gate.Deps{
		Settings:    deps.Settings,
		Incarnation: node.incarnation,
		Started:     started,
		Logs:        deps.Logs,
		Stats:       deps.Stats,
		Now:         deps.Now,
		Random:      deps.Random(),
		Dialect:     dialect,
		Keyed:       keyed,
		Upstreams:   node.upstreamPools,
		Pool:        node.rpcPool,
		Host:        node,
		Config:      node.config.Load,
		Service:     service,
	})
	node.resume = newResume(node)
	node.tokens = &tokenSource{node: node}
	node.departures = newDepartures(node, deps.Logs.Layer("daemon"), deps.Random())
	node.entry = entry.New(entry.Deps{
		Settings:    deps.Settings,
		Logs:        deps.Logs,
		Stats:       deps.Stats,
		Now:         deps.Now,
		Random:      deps.Random(),
		Dialect:     dialect,
		Gate:        node.resume,
		Claims:      node.gate.Claims(),
		ParentCalls: node.gate.ParentCalls(),
		Gates:       node.gatePools,
		Config:      node.config.Load,
		Service:     service,
		Tokens:      node.tokens,
		Report:      node.reportObservations,
		Withdraw:    node.gate.SendWithdrawal,
	})
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
	return link.Options{
		Traffic: node.traffic, Pool: node.rpcPool, Memory: node.memory,
		MaxConns: linkShare.MaxConns(), Count: node.countClosed("link"),
	}
}

// Run serves until the context ends, and then until the calls in progress
// finish or the grace period is over.
func (node *Node) Run(ctx context.Context) error {
	defer node.rpcPool.Release()
	opened, err := node.listen()
	if err != nil {
		return err
	}
	// The control connections stay open after the last call, so that the node
	// can announce that it is gone.
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	client := link.NewClient(background, node.options())
	node.gate.Start(background, client)
	node.resume.client, node.tokens.client, node.departures.client = client, client, client
	node.registerGauges()
	group := tasks.New(13)
	callers := node.newServer("callers", callersShare, front.Deps{Pool: node.callPool, Handler: node.entry.Serve, Limits: node.limits, WriteError: node.entry.Reject})
	gates := node.newServer("gate", gateShare, front.Deps{Pool: node.callPool, Handler: node.resume.Serve, Limits: node.gateLimits, WriteError: node.gate.Reject, DeferBody: true, IdleStatus: fasthttp.StatusServiceUnavailable})
	group.Go(background, "tree", func(ctx context.Context) error { return node.tree.Run(ctx, opened.link) })
	group.Go(background, "bookkeeping", node.runBookkeeping)
	group.Go(background, "resume", node.resume.run)
	group.Go(background, "departures", node.departures.run)
	group.Go(background, "pacing", node.gate.RunPacing)
	group.Go(background, "warm-up", node.gate.RunWarmUp)
	group.Go(background, "guard", node.entry.RunGuard)
	group.Go(background, "limits", node.entry.RunLimits)
	group.Go(background, "callers", func(ctx context.Context) error { return callers.Serve(ctx, opened.callers) })
	group.Go(background, "gate", func(ctx context.Context) error { return gates.Serve(ctx, opened.gate) })
	stopAdmin := node.startAdmin(background, group, opened, node.adminPool)
	node.PublishRecord()
	node.log.Info("started", "name", node.settings.Name, "callers", node.settings.Callers, "incarnation", node.incarnation)
	var failure error
	select {
	case <-ctx.Done():
	case end := <-group.Results():
		failure = trace.Wrap(end.Err, "task %s ended", end.Name)
	}
	failure = errors.Join(failure, node.shutDown(opened, callers, gates, stopAdmin))
	cancel()
	group.Wait()
	node.log.Info("stopped")
	return failure
}

// PublishRecord implements gate.Host.
func (node *Node) PublishRecord() {
	// The record is read under the tree's lock. Otherwise an older record could be
	// announced after a newer one.
	node.tree.Do(func(core *distr.Core, now time.Time) { core.Announce(now, node.gate.Record()) })
}

// PublishRecordSoon implements gate.Host. The bookkeeping task publishes the record.
func (node *Node) PublishRecordSoon() { node.recordChanged.Store(true) }

// reportObservations sends observations on rollouts to the control VMs.
func (node *Node) reportObservations(observations []distr.Observation) {
	node.tree.Do(func(core *distr.Core, _ time.Time) {
		for _, observation := range observations {
			core.Observe(observation)
		}
	})
}

// runBookkeeping periodically updates the picker's targets and checks leases
// and deadlines.
func (node *Node) runBookkeeping(ctx context.Context) error {
	return tasks.Every(ctx, bookkeepingInterval, func() {
		node.resume.check()
		if node.recordChanged.Swap(false) {
			node.PublishRecord()
		}
		node.gate.AcceptEarlyNotice()
		node.updateTargets()
		if node.version() > 0 {
			node.entry.SetSynced()
		}
		node.gate.Expire()
		node.gate.LogLimit(node.now())
		node.closeIdleConns()
	})
}

// closeIdleConns closes outdated connections from time to time. Only the bookkeeping task
// calls it.
func (node *Node) closeIdleConns() {
	if node.now().Before(node.nextClose) {
		return
	}
	node.nextClose = node.now().Add(idleCloseInterval)
	node.gatePools.CloseIdle()
	node.upstreamPools.CloseIdle()
}

func (node *Node) updateTargets() {
	records, version, changed := node.tree.RecordsIfChanged(node.membershipVersion)
	if node.reloaded.Swap(false) && !changed {
		records, changed = node.tree.Records(), true
	}
	if !changed {
		return
	}
	node.membershipVersion = version
	node.gate.Claims().SetNodes(records)
	node.updateControlAddresses(records)
	node.updateHomes(records)
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
			ID:      record.Upstream.ID,
			Born:    record.Upstream.Born,
			Limit:   gate.RecordedLimit(record.Upstream),
			WarmUp:  record.Upstream.WarmUp,
			Slots:   record.Upstream.Slots,
			Suspect: record.State == member.StateSuspect,
		})
	}
	node.entry.SetTargets(targets, peers, version)
}

func (node *Node) registerGauges() {
	node.stats.Gauge("vp_control_sent_bytes", func() float64 { return float64(node.traffic.Sent.Load()) })
	node.stats.Gauge("vp_control_received_bytes", func() float64 { return float64(node.traffic.Received.Load()) })
	node.stats.Gauge("vp_evacuated_zones", func() float64 {
		if config := node.config.Load(); config != nil {
			return float64(len(config.EvacuatedZones()))
		}
		return 0
	})
	node.stats.Gauge("vp_config_version", func() float64 { return float64(node.version()) })
	node.stats.Gauge("vp_calls_in_flight", func() float64 { return float64(node.gate.Load().InFlight) })
	node.memory.RegisterGauges(node.stats.Gauge)
	node.stats.Gauge("vp_upstream_limit_per_second", node.gate.UpstreamLimit)
	node.stats.Gauge("vp_cold_upstream", node.gate.ColdUpstream)
	node.stats.Gauge("vp_calls_queued", func() float64 { return float64(node.gate.Load().Queued) })
}

// version returns the version of the configuration in force, or zero if there
// is none.
func (node *Node) version() uint64 {
	if config := node.config.Load(); config != nil {
		return config.Version()
	}
	return 0
}

// Applied implements tree.Host. It replaces the whole configuration atomically.
func (node *Node) Applied(config *rsrc.Config) {
	before := node.config.Swap(config)
	node.gate.Applied(config)
	node.applyEvacuations(config, before)
}

// applyEvacuations tells the entry of the evacuated zones and logs the orders that came
// into effect, given the configuration that was in force before, which is nil at first.
func (node *Node) applyEvacuations(config, before *rsrc.Config) {
	if before == nil {
		before = rsrc.EmptyConfig()
	}
	changed := false
	for _, order := range config.Evacuations() {
		previous, known := before.Evacuation(order.Zone())
		if previous.Revision() == order.Revision() || !known && !order.Active() {
			continue
		}
		changed = true
		event := "evacuation finished"
		if order.Active() {
			event = "evacuation in effect"
		}
		node.log.Info(event, "zone", order.Zone(), "version", order.Revision(), "config", config.Version(), "ownZone", order.Zone() == node.settings.Zone)
	}
	if changed {
		node.entry.SetEvacuatedZones(config.EvacuatedZones())
	}
}

// RestoreFormer implements tree.Host. It restores the state of this node's
// upstream from the record that another node kept from before a restart.
func (node *Node) RestoreFormer(previous member.Record) (member.Record, bool) {
	if !node.gate.RestoreUpstream(previous) {
		return member.Record{}, false
	}
	return node.gate.Record(), true
}

// updateControlAddresses updates the addresses of the control VMs, the roots of
// the tree: those in the settings and those found in the membership.
func (node *Node) updateControlAddresses(records []member.Record) {
	addresses := node.controlAddresses(records)
	node.tree.Do(func(core *distr.Core, _ time.Time) { core.SetParentAddresses(addresses) })
}

// controlAddresses returns the addresses of the control VMs.
func (node *Node) controlAddresses(records []member.Record) []string {
	addresses := slices.Clone(node.reloadable.Load().control)
	for _, record := range records {
		if record.Root && record.State != member.StateSuspect && !slices.Contains(addresses, record.Link) {
			addresses = append(addresses, record.Link)
		}
	}
	return addresses
}

// Confirm implements tree.Host. It does nothing, because only control VMs, the
// roots of the tree, confirm versions.
func (node *Node) Confirm(distr.LinkID) {}

// Notify implements tree.Host.
func (node *Node) Notify(method string, params json.RawMessage) {
	if method == gate.MethodWithdraw {
		node.gate.HandleWithdrawal(params)
		return
	}
	node.gate.Claims().HandleNotification(method, params)
}
