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
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/gravitational/trace"
	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/distr"
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
	maxBody     = 64 << 20
	// bookkeeping is how often targets, leases and deadlines are looked at.
	bookkeeping = 50 * time.Millisecond
	// callerIdle is how long a caller's connection may lie unused; it is above
	// the pools' own limit, so that the client side closes first.
	callerIdle = time.Minute
)

// Deps are what a node depends on.
type Deps struct {
	Settings config.Node
	Logs     *logs.Factory
	Stats    *stats.Set
	Now      func() time.Time
	// Random makes a source of random numbers; each core gets its own.
	Random func() *rand.Rand
}

// Node is the daemon of one node. Lock order: gate.lock or claims.lock, then
// calls.lock, then the tree's own lock; no lock is held while waiting.
type Node struct {
	settings    config.Node
	now         func() time.Time
	log         logr.Logger
	logs        *logs.Factory
	stats       *stats.Set
	incarnation uint64

	pool    *ants.Pool
	traffic *link.Traffic
	caller  *link.Caller
	tree    *tree.Tree
	pools   *proxy.Pools
	gate    *gate
	claims  *claims
	guard   *guard
	ctx     context.Context

	// config is in force; nil until the first one at or above the floor.
	config atomic.Pointer[rsrc.Config]

	// lock guards picker, budget and random.
	lock   sync.Mutex
	picker *picker.Picker
	budget *retry.Budget
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
		pools:       proxy.New(proxy.DefaultSettings(), deps.Now),
		random:      random,
		picker:      picker.New(deps.Settings.Zone, random),
		budget:      retry.New(retry.DefaultSettings(), random),
	}
	node.gate = newGate(node)
	node.claims = newClaims(node, started)
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

// listeners are the node's open ports.
type listeners struct {
	link    net.Listener
	callers net.Listener
	gate    net.Listener
	admin   net.Listener
}

func (node *Node) listen() (listeners, error) {
	var opened listeners
	var err error
	open := func(key, address string) net.Listener {
		if err != nil {
			return nil
		}
		listener, failure := net.Listen("tcp", address)
		if failure != nil {
			err = &config.Error{Key: key, Reason: failure.Error()}
		}
		return listener
	}
	opened.link = open("link", node.settings.Link)
	opened.callers = open("callers", node.settings.Callers)
	opened.gate = open("gate", node.settings.Gate)
	opened.admin = open("admin", node.settings.Admin)
	return opened, err
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
	node.caller = link.NewCaller(background, node.options())
	node.gauges()
	group := tasks.New(8)
	callers := node.server(node.serveCaller)
	gates := node.server(node.gate.serve)
	admin := node.server(node.serveAdmin)
	group.Go(background, "tree", func(ctx context.Context) error { return node.tree.Run(ctx, opened.link) })
	group.Go(background, "bookkeeping", node.keepBooks)
	group.Go(background, "guard", node.guard.run)
	group.Go(background, "callers", func(context.Context) error { return callers.Serve(opened.callers) })
	group.Go(background, "gate", func(context.Context) error { return gates.Serve(opened.gate) })
	group.Go(background, "admin", func(context.Context) error { return admin.Serve(opened.admin) })
	node.announce()
	node.log.Info("started", "name", node.settings.Name, "callers", node.settings.Callers)
	var failure error
	select {
	case <-ctx.Done():
	case end := <-group.Ends():
		failure = trace.Wrap(end.Err, "%s ended", end.Name)
	}
	failure = errors.Join(failure, node.leave(callers, gates, admin))
	cancel()
	group.Wait()
	node.log.Info("stopped")
	return failure
}

func (node *Node) server(handler fasthttp.RequestHandler) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               handler,
		NoDefaultServerHeader: true,
		NoDefaultDate:         true,
		CloseOnShutdown:       true,
		IdleTimeout:           callerIdle,
		MaxRequestBodySize:    maxBody,
		Logger:                silent{},
	}
}

type silent struct{}

// Printf drops the server's own lines; failed exchanges are counted.
func (silent) Printf(string, ...any) {}

// leavePause lets the news of leaving reach the other nodes while this one
// still answers.
const leavePause = 300 * time.Millisecond

// leave is the planned stop: first no new work, then the calls in progress
// end, then the node is gone.
func (node *Node) leave(servers ...*fasthttp.Server) error {
	node.log.Info("leaving")
	node.gate.drain()
	node.announce()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(node.settings.Grace))
	defer cancel()
	time.Sleep(leavePause)
	var failure error
	for _, server := range servers {
		if err := server.ShutdownWithContext(ctx); err != nil {
			failure = errors.Join(failure, trace.Wrap(err, "calls were still in progress at the end of the grace"))
		}
	}
	record := node.gate.record()
	record.State = member.StateGone
	node.tree.Do(func(core *distr.Core, now time.Time) { core.Leave(now, record) })
	time.Sleep(leavePause / 3)
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
		node.updateTargets()
		node.gate.expire()
	})
}

func (node *Node) updateTargets() {
	records, version, changed := node.tree.RecordsSince(node.tableVersion)
	if !changed {
		return
	}
	node.tableVersion = version
	node.claims.setNodes(records)
	var targets []picker.Target
	for _, record := range records {
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
}

func (node *Node) gauges() {
	node.stats.Gauge("vp_control_sent_bytes", func() float64 { return float64(node.traffic.Sent.Load()) })
	node.stats.Gauge("vp_control_received_bytes", func() float64 { return float64(node.traffic.Received.Load()) })
	node.stats.Gauge("vp_config_version", func() float64 { return float64(node.version()) })
	node.stats.Gauge("vp_calls_in_flight", func() float64 { inFlight, _ := node.gate.load(); return float64(inFlight) })
	node.stats.Gauge("vp_calls_queued", func() float64 { _, queued := node.gate.load(); return float64(queued) })
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
