// Package sample implements a small upstream for experiments, tests and the
// demo. It announces itself to its local node, answers every call, counts the
// runs of each idempotency key, and can be configured to delay its responses or
// to fail a share of the calls.
package sample

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// Settings configures an Upstream.
type Settings struct {
	Service string
	Version string
	// Address is the address on which the upstream listens, Admin is the admin
	// address of its node.
	Address string
	Admin   string
	// AnnouncedAddress is announced instead of Address if it is not empty. Calls
	// to it must be forwarded to Address.
	AnnouncedAddress string
	Slots            int
	// FailPermille is the failure rate: the number of calls in a thousand that
	// are answered with status 500.
	FailPermille int
	Delay        time.Duration
	// LimitPerSecond returns the rate limit that the upstream states in its responses
	// but does not enforce. It states none if the value is zero or the function is
	// nil.
	LimitPerSecond func() float64
	// TTL is how long an announcement is valid, and the time limit of a shutdown.
	TTL    time.Duration
	Now    func() time.Time
	Random *rand.Rand
	// OnCall, if not nil, is invoked for each call before it is executed.
	OnCall func(exchange *fasthttp.RequestCtx)
}

// Upstream is a simulated upstream service.
type Upstream struct {
	settings Settings
	// admin are the connections to the node.
	admin *proxy.Pools
	// lock guards runsByKey and settings.Random.
	lock sync.Mutex
	// runsByKey counts the runs of each idempotency key. A run is the arrival of a
	// call, whether or not it is completed.
	runsByKey map[string]int
	calls     atomic.Int64
	// canceled counts the calls whose caller disconnected during the delay.
	canceled atomic.Int64
}

// New returns an upstream; Run starts it.
func New(settings Settings) *Upstream {
	return &Upstream{settings: settings, admin: proxy.New(proxy.DefaultSettings(), settings.Now), runsByKey: map[string]int{}}
}

// KeyedRuns returns the number of distinct idempotency keys and the total number
// of runs with a key.
func (upstream *Upstream) KeyedRuns() (keys, runs int) {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	for _, count := range upstream.runsByKey {
		runs += count
	}
	return len(upstream.runsByKey), runs
}

// RunsOf returns the number of runs with the given idempotency key.
func (upstream *Upstream) RunsOf(key string) int {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	return upstream.runsByKey[key]
}

// Calls returns the number of calls received.
func (upstream *Upstream) Calls() int { return int(upstream.calls.Load()) }

// Run serves calls and announces the upstream until the context is done. It then
// tells the node that the upstream is leaving and shuts the server down, waiting
// at most settings.TTL for the calls in progress.
func (upstream *Upstream) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", upstream.settings.Address)
	if err != nil {
		return trace.Wrap(err)
	}
	group := tasks.New(2)
	server := &fasthttp.Server{Handler: upstream.handle, NoDefaultDate: true, IdleTimeout: time.Minute}
	group.Go(ctx, "serve", func(context.Context) error { return server.Serve(listener) })
	group.Go(ctx, "announce", func(ctx context.Context) error { return upstream.announce(ctx, listener.Addr().String()) })
	select {
	case <-ctx.Done():
	case end := <-group.Results():
		return end.Err
	}
	_ = upstream.postAdmin(context.Background(), "/v1/leave", []byte("{}"))
	shutdown, cancel := context.WithTimeout(context.Background(), upstream.settings.TTL)
	defer cancel()
	err = server.ShutdownWithContext(shutdown)
	// A shutdown that comes before Serve does not close the listener.
	_ = listener.Close()
	group.Wait()
	return trace.Wrap(err)
}

// announce renews the announcement every third of its TTL and retries after at
// most 200 ms if the node could not be reached or refused it.
func (upstream *Upstream) announce(ctx context.Context, address string) error {
	body := wire.MustEncode(wire.Announcement{
		Service: upstream.settings.Service,
		Version: upstream.settings.Version,
		Address: cmp.Or(upstream.settings.AnnouncedAddress, address),
		Slots:   upstream.settings.Slots,
		TTL:     upstream.settings.TTL.String(),
	})
	interval := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(interval):
		}
		interval = upstream.settings.TTL / 3
		if upstream.postAdmin(ctx, "/v1/announce", body) != nil {
			interval = min(interval, 200*time.Millisecond)
		}
	}
}

// adminTimeout limits a request to the node.
const adminTimeout = time.Second

func (upstream *Upstream) postAdmin(ctx context.Context, path string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + upstream.settings.Admin + path)
	request.Header.SetMethod("POST")
	request.SetBody(body)
	if err := upstream.admin.Do(ctx, upstream.settings.Admin, request, response); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return trace.BadParameter("the node rejected the request: %s", bytes.TrimSpace(response.Body()))
	}
	return nil
}

func (upstream *Upstream) handle(exchange *fasthttp.RequestCtx) {
	switch string(exchange.Path()) {
	case "/sample/runs":
		key := string(exchange.QueryArgs().Peek("key"))
		exchange.SetBodyString(strconv.Itoa(upstream.RunsOf(key)))
	case "/sample/canceled":
		exchange.SetBodyString(strconv.FormatInt(upstream.canceled.Load(), 10))
	case "/sample/calls":
		exchange.SetBodyString(strconv.Itoa(upstream.Calls()))
	default:
		upstream.serveCall(exchange)
	}
}

func (upstream *Upstream) serveCall(exchange *fasthttp.RequestCtx) {
	upstream.calls.Add(1)
	if upstream.settings.OnCall != nil {
		upstream.settings.OnCall(exchange)
	}
	if key := string(exchange.Request.Header.Peek(proxy.HeaderIdempotencyKey)); key != "" {
		upstream.lock.Lock()
		upstream.runsByKey[key]++
		upstream.lock.Unlock()
	}
	if !upstream.simulateWork(exchange) {
		upstream.canceled.Add(1)
		return
	}
	upstream.stateLimit(exchange)
	if upstream.drawFailure() {
		exchange.SetStatusCode(fasthttp.StatusInternalServerError)
		exchange.SetBodyString("the upstream failed\n")
		return
	}
	exchange.SetBodyString(fmt.Sprintf("%s %s %s %s\n", upstream.settings.Service, upstream.settings.Version, exchange.Method(), exchange.Path()))
}

func (upstream *Upstream) stateLimit(exchange *fasthttp.RequestCtx) {
	if upstream.settings.LimitPerSecond == nil {
		return
	}
	if limit := upstream.settings.LimitPerSecond(); limit > 0 {
		exchange.Response.Header.Set(proxy.HeaderLimit, strconv.FormatFloat(limit, 'f', -1, 64))
	}
}

func (upstream *Upstream) drawFailure() bool {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	return upstream.settings.Random.IntN(1000) < upstream.settings.FailPermille
}

// simulateWork waits for the configured delay. It returns false if the caller
// disconnected before the delay was over.
func (upstream *Upstream) simulateWork(exchange *fasthttp.RequestCtx) bool {
	if upstream.settings.Delay == 0 {
		return true
	}
	ctx, stop := proxy.WatchCaller(context.Background(), exchange.Conn())
	defer stop()
	select {
	case <-time.After(upstream.settings.Delay):
		return true
	case <-ctx.Done():
		return false
	}
}
