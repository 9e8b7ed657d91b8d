// Package entry serves the calls that callers make at this node.
//
// Inputs: requests of callers; the configuration in force with the evacuated zones; the
// targets in the membership; the responses of gates, with the load of the gate and what its target
// states about itself.
//
// Outcomes: each call is matched to a route and, if the configuration has accounts, to
// its account or refused; it goes to a version and a target, is tried
// again where that is safe and the retry budget allows it, and is answered once: with a
// whole response of a target, or with a response of the node that says whether the call
// ran. Targets of evacuated zones get no calls, and calls that the other zones cannot
// take are refused, the least urgent first. The tries are observations on the versions of a rollout; they are reported, and
// a version that fails on this node gets no further calls from it. The package listens
// on no address: package node does.
package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/admit"
	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/retry"
	"github.com/vanillapulley/vanillapulley/internal/shed"
	"github.com/vanillapulley/vanillapulley/internal/skew"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/uptime"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Gate is the gate in this process.
type Gate interface {
	// Serve handles a call to the target beside this node.
	Serve(ctx context.Context, request *fasthttp.RequestCtx)
	// Load returns what the gate is doing at present.
	Load() picker.Load
}

// Claims knows the outcomes of keyed calls.
type Claims interface {
	// LookUp determines the outcome of a key's call without running it.
	LookUp(ctx context.Context, key dedup.Key) dedup.Outcome
	// Respond responds with an outcome that LookUp has returned.
	Respond(request *fasthttp.RequestCtx, outcome dedup.Outcome)
}

// ParentCalls are the calls that the upstream beside this node is serving.
type ParentCalls interface {
	// EffectivePriority returns the priority of a call, which is that of its parent
	// if the parent is less urgent.
	EffectivePriority(id string, priority int) int
	// Customer returns the customer of the parent of a nested call. ok is false if no
	// parent is in progress.
	Customer(id string) (customer string, ok bool)
	// MarkStarved records that a nested call was refused for lack of slots.
	MarkStarved(id string)
	// ObserveNested records that a nested call has ended that waited for targets for
	// the given time. congested is true if that was too long, or if it found no target.
	ObserveNested(now time.Time, id string, waited time.Duration, congested bool)
}

// Deps are the dependencies of an entry.
type Deps struct {
	Settings config.Node
	Logs     *logs.Factory
	Stats    *stats.Set
	Now      func() time.Time
	// Random is for the entry alone.
	Random      *rand.Rand
	Dialect     proto.Dialect
	Gate        Gate
	Claims      Claims
	ParentCalls ParentCalls
	// Gates contains the connections to the gates of other nodes.
	Gates *proxy.Pools
	// Config returns the configuration in force, or nil if there is none yet.
	Config func() *rsrc.Config
	// Service returns the service of the node's settings, which may change while the
	// node runs. It is empty if the settings name none.
	Service func() string
	// Tokens reaches the homes of the limits of accounts.
	Tokens TokenSource
	// Report sends observations on rollouts to the control VMs.
	Report func(observations []distr.Observation)
	// Withdraw tells the gate of a target to refuse those of the calls that wait for a
	// slot. The message may be lost. A call is named by its header HeaderExchange.
	Withdraw func(target string, exchanges []string)
}

// Entry serves callers. Lock order: Entry.lock, then guard.lock. No lock is held while
// waiting, or while Gate, Claims, ParentCalls or Report is called.
type Entry struct {
	settings config.Node
	now      func() time.Time
	// uptime is the clock that clocks refers to.
	uptime      func() time.Duration
	log         logr.Logger
	callLog     logr.Logger
	stats       *stats.Set
	dialect     proto.Dialect
	gate        Gate
	claims      Claims
	parentCalls ParentCalls
	gates       *proxy.Pools
	config      func() *rsrc.Config
	service     func() string
	report      func(observations []distr.Observation)
	guard       *guard
	limits      *limits
	// ordinaryCalls counts the ordinary calls, of which only a sample is logged.
	// membership is the version of the membership last passed to the picker, for log
	// lines.
	ordinaryCalls atomic.Uint64
	keyRefusals   keyRefusals
	membership    atomic.Uint64
	// localRequests is a pool of requests for calls to the gate in this
	// process.
	localRequests sync.Pool
	// synced is true once a configuration is in force and the picker has the
	// targets that came with it.
	synced   atomic.Bool
	stopping stopping
	withdraw func(target string, exchanges []string)
	// stated holds the timeouts that callers stated.
	stated *admit.Elapsed

	// lock guards the fields below.
	lock   sync.Mutex
	picker *picker.Picker
	// clocks estimates the clocks of the targets' nodes.
	clocks *skew.Table
	// shedder counts only calls to services that have targets in evacuated zones.
	shedder *shed.Shedder
	// budgets contains one retry budget for each service.
	budgets map[string]*retry.Budget
	// peers is the number of nodes that share the retry budgets, including this
	// one.
	peers  int
	splits *splits
	random *rand.Rand
}

// New returns an entry without targets, which refuses all calls until SetSynced.
func New(deps Deps) *Entry {
	entry := &Entry{
		settings:    deps.Settings,
		now:         deps.Now,
		uptime:      uptime.Now,
		clocks:      skew.New(),
		log:         deps.Logs.Layer("daemon"),
		callLog:     deps.Logs.Layer(logs.LayerCalls),
		stats:       deps.Stats,
		dialect:     deps.Dialect,
		gate:        deps.Gate,
		claims:      deps.Claims,
		parentCalls: deps.ParentCalls,
		gates:       deps.Gates,
		config:      deps.Config,
		service:     deps.Service,
		report:      deps.Report,
		stopping:    stopping{dropped: make(chan struct{}), exchanges: map[string]exchange{}},
		withdraw:    deps.Withdraw,
		picker:      picker.New(deps.Settings.Zone, deps.Random),
		shedder:     shed.New(),
		budgets:     map[string]*retry.Budget{},
		peers:       1,
		splits:      newSplits(),
		stated:      admit.NewElapsed(),
		random:      deps.Random,
	}
	entry.limits = newLimits(entry, deps.Tokens)
	entry.guard = newGuard(entry, deps.Logs.Layer("rollout"))
	entry.picker.SetLocalTarget(deps.Settings.Name)
	entry.localRequests.New = func() any { return &fasthttp.RequestCtx{} }
	return entry
}

// SetTargets replaces the targets by those in a version of the membership. The retry
// budgets are shared by the given number of nodes, which includes this one.
func (entry *Entry) SetTargets(targets []picker.Target, peers int, membershipVersion uint64) {
	entry.membership.Store(membershipVersion)
	entry.lock.Lock()
	defer entry.lock.Unlock()
	entry.picker.SetTargets(entry.now(), targets)
	names := make(map[string]bool, len(targets))
	for _, target := range targets {
		names[target.Name] = true
	}
	entry.clocks.Keep(func(name string) bool { return names[name] })
	if peers = max(1, peers); peers != entry.peers {
		entry.peers = peers
		for _, budget := range entry.budgets {
			budget.SetSettings(entry.retrySettings())
		}
	}
}

// CountTargets returns the number of targets of a version of a service.
func (entry *Entry) CountTargets(service, version string) int {
	entry.lock.Lock()
	defer entry.lock.Unlock()
	return entry.picker.Count(service, version)
}

// SetSynced tells that a configuration is in force and that SetTargets has got the
// targets that came with it.
func (entry *Entry) SetSynced() { entry.synced.Store(true) }

// Synced reports whether SetSynced was called.
func (entry *Entry) Synced() bool { return entry.synced.Load() }

// RunGuard evaluates and reports the observations on rollouts until the context ends.
func (entry *Entry) RunGuard(ctx context.Context) error { return entry.guard.run(ctx) }
