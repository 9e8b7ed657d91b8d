// Package sample is a small upstream for trials, tests and the demo. It
// announces itself to the node beside it, answers reads, runs print orders,
// and can be told to be slow or to fail.
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

// Settings describe an upstream.
type Settings struct {
	Service string
	Version string
	// Address is where the upstream listens, Admin its node's admin address.
	Address string
	Admin   string
	// Reach is the address that is announced, if calls are forwarded from there
	// to Address.
	Reach string
	Slots int
	// FailPermille is how many of a thousand calls answer with status 500.
	FailPermille int
	Delay        time.Duration
	TTL          time.Duration
	Now          func() time.Time
	Random       *rand.Rand
	// Seen is told of each call that comes in, before its work; it may be nil.
	Seen func(request *fasthttp.RequestCtx)
}

// Upstream is a running stand-in.
type Upstream struct {
	settings Settings
	// lock guards orders and the settings' random source.
	lock sync.Mutex
	// orders counts how often each idempotency key was run.
	orders   map[string]int
	calls    atomic.Int64
	canceled atomic.Int64
}

// New returns an upstream that is not running yet.
func New(settings Settings) *Upstream {
	return &Upstream{settings: settings, orders: map[string]int{}}
}

// Orders returns the number of different keys and of runs.
func (upstream *Upstream) Orders() (keys, runs int) {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	for _, count := range upstream.orders {
		runs += count
	}
	return len(upstream.orders), runs
}

// Runs returns how often a key was run.
func (upstream *Upstream) Runs(key string) int {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	return upstream.orders[key]
}

// Calls returns the number of calls taken.
func (upstream *Upstream) Calls() int { return int(upstream.calls.Load()) }

// Run listens and announces until the context ends, then leaves.
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
	case end := <-group.Ends():
		return end.Err
	}
	_ = upstream.post("/v1/leave", []byte("{}"))
	stop, cancel := context.WithTimeout(context.Background(), upstream.settings.TTL)
	defer cancel()
	err = server.ShutdownWithContext(stop)
	group.Wait()
	return trace.Wrap(err)
}

func (upstream *Upstream) announce(ctx context.Context, address string) error {
	body := wire.MustEncode(wire.Announcement{
		Service: upstream.settings.Service,
		Version: upstream.settings.Version,
		Address: cmp.Or(upstream.settings.Reach, address),
		Slots:   upstream.settings.Slots,
		TTL:     upstream.settings.TTL.String(),
	})
	pause := time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(pause):
		}
		pause = upstream.settings.TTL / 3
		if upstream.post("/v1/announce", body) != nil {
			pause = min(pause, 200*time.Millisecond)
		}
	}
}

func (upstream *Upstream) post(path string, body []byte) error {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + upstream.settings.Admin + path)
	request.Header.SetMethod("POST")
	request.SetBody(body)
	if err := fasthttp.DoTimeout(request, response, time.Second); err != nil {
		return err
	}
	if response.StatusCode() != fasthttp.StatusOK {
		return trace.BadParameter("the node refused: %s", bytes.TrimSpace(response.Body()))
	}
	return nil
}

func (upstream *Upstream) handle(request *fasthttp.RequestCtx) {
	switch string(request.Path()) {
	case "/sample/runs":
		key := string(request.QueryArgs().Peek("key"))
		request.SetBodyString(strconv.Itoa(upstream.Runs(key)))
	case "/sample/canceled":
		request.SetBodyString(strconv.FormatInt(upstream.canceled.Load(), 10))
	case "/sample/calls":
		request.SetBodyString(strconv.Itoa(upstream.Calls()))
	default:
		upstream.call(request)
	}
}

func (upstream *Upstream) call(request *fasthttp.RequestCtx) {
	upstream.calls.Add(1)
	if upstream.settings.Seen != nil {
		upstream.settings.Seen(request)
	}
	if key := string(request.Request.Header.Peek(proxy.HeaderIdempotencyKey)); key != "" {
		upstream.lock.Lock()
		upstream.orders[key]++
		upstream.lock.Unlock()
	}
	if !upstream.work(request) {
		upstream.canceled.Add(1)
		return
	}
	if upstream.fails() {
		request.SetStatusCode(fasthttp.StatusInternalServerError)
		request.SetBodyString("the upstream failed\n")
		return
	}
	request.SetBodyString(fmt.Sprintf("%s %s %s %s\n", upstream.settings.Service, upstream.settings.Version, request.Method(), request.Path()))
}

func (upstream *Upstream) fails() bool {
	upstream.lock.Lock()
	defer upstream.lock.Unlock()
	return upstream.settings.Random.IntN(1000) < upstream.settings.FailPermille
}

// work takes the delay and reports false when the caller left meanwhile.
func (upstream *Upstream) work(request *fasthttp.RequestCtx) bool {
	if upstream.settings.Delay == 0 {
		return true
	}
	ctx, stop := proxy.WatchCaller(context.Background(), request.Conn())
	defer stop()
	select {
	case <-time.After(upstream.settings.Delay):
		return true
	case <-ctx.Done():
		return false
	}
}
