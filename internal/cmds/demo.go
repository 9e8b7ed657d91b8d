package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/ctrl"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/node"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/sample"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/client"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// The parameters of the demo.
const (
	demoNodes          = 3
	demoCallsPerSecond = 400
	demoOrders         = 60
	demoSendsPerOrder  = 3
	demoFailPermille   = 300
	demoTimeout        = 55 * time.Second
	demoCallTimeout    = 6 * time.Second
	demoRolloutWithin  = 40 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "show a good and a bad rollout and orders that run once, all in this process",
		Description: "Needs no settings. It exits with 0 only if every outcome is as it must be.",
		Action: func(ctx context.Context, c *cli.Command) error {
			timeoutCtx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()
			dir, err := os.MkdirTemp("", "vanillapulley-demo-")
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			defer func() { _ = os.RemoveAll(dir) }()
			return newDemo(c.Root().Writer, dir).run(timeoutCtx)
		},
	}
}

// demo runs the daemons of a control VM and of nodes, and upstreams, in one
// process and compares the outcomes with the expected ones. It counts calls by
// whether their outcome is "ran", whatever their status.
type demo struct {
	out             io.Writer
	dir             string
	group           *tasks.Group
	api             *client.Client
	callerAddresses []string
	calls           *proxy.Pools
	upstreams       []*sample.Upstream
	ran             atomic.Int64
	notRan          atomic.Int64
	rows            []string
	mismatches      int
}

func newDemo(out io.Writer, dir string) *demo {
	return &demo{out: out, dir: dir, group: tasks.New(16), calls: proxy.New(proxy.DefaultSettings(), time.Now)}
}

func (demo *demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(demo.out, format+"\n", args...)
}

// expect adds a row to the summary and counts a mismatch if got is not want.
func (demo *demo) expect(name, want, got string) {
	status := "as it must be"
	if want != got {
		status = "WRONG, must be " + want
		demo.mismatches++
	}
	demo.rows = append(demo.rows, name+"\t"+got+"\t"+status)
}

func (demo *demo) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer demo.group.Wait()
	defer cancel()
	steps := []func(context.Context) error{demo.start, demo.applyResources, demo.goodRollout, demo.sendOrders, demo.badRollout}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	demo.expect("calls with another outcome than ran", "0", fmt.Sprint(demo.callsNotRan()))
	return demo.summary()
}

// start starts the daemon of one control VM, the nodes and one upstream per node,
// and waits until all upstreams are announced. Each upstream has a version of its
// own. The upstream of the last node fails some of its calls.
func (demo *demo) start(ctx context.Context) error {
	demo.printf("starting a control VM, %d nodes and %d upstreams on loopback", demoNodes, demoNodes)
	api, link := sample.FreeAddress(), sample.FreeAddress()
	demo.api = client.New([]string{api})
	if err := demo.startControl(ctx, api, link); err != nil {
		return err
	}
	for i := range demoNodes {
		if err := demo.startNode(ctx, i, link); err != nil {
			return err
		}
	}
	return demo.waitFor(ctx, "all nodes announce their upstreams", func() bool {
		var list wire.MemberList
		serving := 0
		if demo.api.Get(ctx, "/v1/members", &list) == nil {
			for _, member := range list.Members {
				if member.State == "serving" {
					serving++
				}
			}
		}
		return serving == demoNodes
	})
}

func (demo *demo) startControl(ctx context.Context, api, link string) error {
	settings := config.Control{
		Name: "control", Zone: "tx-central-a", Data: filepath.Join(demo.dir, "control"),
		API: api, Link: link, Replicas: 1,
		MaxChildren: config.DefaultMaxChildren, SnapshotEvery: config.DefaultSnapshotEvery,
		Rollout: config.Rollout{
			Dwell: config.Duration(time.Second),
			Watch: config.Duration(2 * time.Second),
			Cold:  config.Duration(time.Second),
		},
	}
	if err := ctrl.Init(settings); err != nil {
		return err
	}
	control, err := ctrl.New(ctrl.Deps{Settings: settings, Logs: logs.Discard(), Stats: stats.New(), Now: time.Now, Random: newRandom})
	if err != nil {
		return err
	}
	demo.group.Go(ctx, "control", control.Run)
	return nil
}

func (demo *demo) startNode(ctx context.Context, i int, link string) error {
	settings := config.Node{
		Name: fmt.Sprintf("node-%d", i+1), Zone: "tx-central-" + string(rune('a'+i)),
		Callers: sample.FreeAddress(), Gate: sample.FreeAddress(), Link: sample.FreeAddress(), Admin: sample.FreeAddress(),
		Control: []string{link}, MaxChildren: config.DefaultMaxChildren,
		Queue: config.DefaultQueue, Grace: config.Duration(time.Second),
	}
	daemon, err := node.New(node.Deps{Settings: settings, Logs: logs.Discard(), Stats: stats.New(), Now: time.Now, Random: newRandom})
	if err != nil {
		return err
	}
	demo.callerAddresses = append(demo.callerAddresses, settings.Callers)
	demo.group.Go(ctx, settings.Name, daemon.Run)
	upstream := sample.New(sample.Settings{
		Service: "depot-archive", Version: fmt.Sprintf("v%d", i+1),
		Address: "127.0.0.1:0", Admin: settings.Admin, Slots: 12,
		FailPermille: failPermille(i), Delay: time.Millisecond, TTL: 3 * time.Second,
		Now: time.Now, Random: newRandom(),
	})
	demo.upstreams = append(demo.upstreams, upstream)
	demo.group.Go(ctx, "upstream", upstream.Run)
	return nil
}

// failPermille returns how many of 1000 calls fail at the upstream of node i.
func failPermille(i int) int {
	if i == demoNodes-1 {
		return demoFailPermille
	}
	return 0
}

// waitFor polls until the condition is met. It fails when the context is
// canceled or a task ends.
func (demo *demo) waitFor(ctx context.Context, condition string, met func() bool) error {
	for !met() {
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("timed out waiting until %s", condition)
		case end := <-demo.group.Results():
			return trace.Errorf("%s ended unexpectedly: %v", end.Name, end.Err)
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

// applyResources applies the configuration, waits until it is in force and starts
// sendReads in the background.
func (demo *demo) applyResources(ctx context.Context) error {
	resources := []rsrc.Resource{
		rsrc.NewService("depot-archive", rsrc.PolicyCompletion),
		rsrc.NewVersion("depot-archive", "v1", 1),
		rsrc.NewVersion("depot-archive", "v2", 1),
		rsrc.NewVersion("depot-archive", "v3", 1),
		rsrc.NewRoute("timetable", "depot-archive", "/timetable", "v1", 5*time.Second),
	}
	var body wire.ApplyRequest
	for _, resource := range resources {
		body.Resources = append(body.Resources, wire.FromResource(resource))
	}
	var result wire.Result
	if err := demo.api.Post(ctx, "/v1/apply", client.Request{}, body, &result); err != nil {
		return err
	}
	demo.printf("accepted %d resources as version %d", len(resources), result.Version)
	err := demo.waitFor(ctx, "the configuration is in force", func() bool {
		var status wire.Status
		return demo.api.Get(ctx, "/v1/status", &status) == nil && status.Nodes == demoNodes && status.InForce >= result.Version
	})
	demo.group.Go(ctx, "load", demo.sendReads)
	return err
}

// sendReads sends GET calls at a constant rate to the nodes in turn until the
// context is canceled.
func (demo *demo) sendReads(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / demoCallsPerSecond)
	defer ticker.Stop()
	var calls sync.WaitGroup
	defer calls.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		calls.Go(func() { demo.countOutcome(demo.send(demo.callerAddresses[i%demoNodes], "GET", "")) })
	}
}

func (demo *demo) countOutcome(outcome string) {
	if outcome == string(proxy.OutcomeRan) {
		demo.ran.Add(1)
		return
	}
	if demo.notRan.Add(1) == 1 {
		demo.printf("  first call with another outcome than ran: %s", outcome)
	}
}

func (demo *demo) callsNotRan() int64 { return demo.notRan.Load() }

// send makes one call. It returns the outcome followed by the reason, if there
// is one, or the text of the transport error.
func (demo *demo) send(address, method, key string) string {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + address + "/timetable/north")
	request.Header.SetMethod(method)
	request.Header.Set(proxy.HeaderCustomer, "lonestar")
	if key != "" {
		request.Header.Set(proxy.HeaderIdempotencyKey, key)
	}
	// A call that was begun is not canceled with the demo.
	ctx, cancel := context.WithTimeout(context.Background(), demoCallTimeout)
	defer cancel()
	if err := demo.calls.Do(ctx, address, request, response); err != nil {
		return err.Error()
	}
	outcome, reason := response.Header.Peek(proxy.HeaderOutcome), response.Header.Peek(proxy.HeaderReason)
	return strings.TrimSpace(string(outcome) + " " + string(reason))
}

// rollout starts a rollout and prints its steps until it has ended.
func (demo *demo) rollout(ctx context.Context, to string) (rsrc.Rollout, error) {
	var result wire.Result
	body := wire.RolloutRequest{Route: "timetable", To: to, By: time.Now().Add(demoRolloutWithin)}
	if err := demo.api.Post(ctx, "/v1/rollouts", client.Request{}, body, &result); err != nil {
		return rsrc.Rollout{}, err
	}
	afterVersion := result.Version - 1
	for {
		var list wire.ResourceList
		if err := demo.api.Watch(ctx, afterVersion, &list); err != nil {
			return rsrc.Rollout{}, err
		}
		afterVersion = list.Version
		for _, resource := range list.Resources {
			rollout, ok := asRollout(resource)
			if !ok {
				continue
			}
			line, _ := rolloutLine(resource)
			demo.printf("  %s", line)
			if rollout.LatestStep().State.Ended() {
				return rollout, nil
			}
		}
	}
}

// goodRollout rolls out v2 and checks that it receives all traffic by the
// deadline.
func (demo *demo) goodRollout(ctx context.Context) error {
	demo.printf("rolling out v2, which is good, on route timetable")
	rollout, err := demo.rollout(ctx, "v2")
	if err != nil {
		return err
	}
	demo.expect("rollout to good v2", string(rsrc.StateFinished), string(rollout.LatestStep().State))
	inTime := !rollout.FullShareAt().IsZero() && rollout.FullShareAt().Before(rollout.Deadline())
	demo.expect("v2 had all traffic by its deadline", "true", fmt.Sprint(inTime))
	return nil
}

// sendOrders sends orders, which are POST calls with an idempotency key. It sends
// each one several times concurrently through different nodes and checks that it
// ran exactly once.
func (demo *demo) sendOrders(ctx context.Context) error {
	demo.printf("sending %d print orders %d times each through different nodes", demoOrders, demoSendsPerOrder)
	var answered atomic.Int64
	var sends sync.WaitGroup
	for range demoOrders {
		key, err := uuid.NewV7()
		if err != nil {
			return trace.Wrap(err)
		}
		for i := range demoSendsPerOrder {
			sends.Go(func() {
				time.Sleep(rand.N(20 * time.Millisecond))
				if outcome := demo.send(demo.callerAddresses[i%demoNodes], "POST", key.String()); outcome != string(proxy.OutcomeRan) {
					demo.printf("  a print order failed: %s", outcome)
					return
				}
				answered.Add(1)
			})
		}
	}
	sends.Wait()
	keys, runs := 0, 0
	for _, upstream := range demo.upstreams {
		upstreamKeys, upstreamRuns := upstream.KeyedRuns()
		keys, runs = keys+upstreamKeys, runs+upstreamRuns
	}
	demo.expect("different orders that ran", fmt.Sprint(demoOrders), fmt.Sprint(keys))
	demo.expect("runs of orders", fmt.Sprint(demoOrders), fmt.Sprint(runs))
	demo.expect("sends with the outcome ran", fmt.Sprint(demoOrders*demoSendsPerOrder), fmt.Sprint(answered.Load()))
	return ctx.Err()
}

// badRollout rolls out the failing v3 and checks that it is rolled back.
func (demo *demo) badRollout(ctx context.Context) error {
	demo.printf("rolling out v3, which fails %d of 1000 calls, on route timetable", demoFailPermille)
	callsBefore := demo.upstreams[demoNodes-1].Calls()
	ranBefore := demo.ran.Load()
	rollout, err := demo.rollout(ctx, "v3")
	if err != nil {
		return err
	}
	demo.expect("rollout to bad v3", string(rsrc.StateRolledBack), string(rollout.LatestStep().State))
	badCalls := demo.upstreams[demoNodes-1].Calls() - callsBefore
	demo.printf("  v3 got %d of %d calls", badCalls, demo.ran.Load()-ranBefore)
	return nil
}

// errUnexpectedOutcome reports that the summary has at least one mismatch.
var errUnexpectedOutcome = errors.New("an outcome is not as expected, see the table")

// summary prints the table of outcomes and returns errUnexpectedOutcome if one
// differs from the expected one.
func (demo *demo) summary() error {
	demo.printf("")
	writer := tabwriter.NewWriter(demo.out, 0, 4, 2, ' ', 0)
	for _, row := range demo.rows {
		_, _ = fmt.Fprintln(writer, row)
	}
	if err := writer.Flush(); err != nil {
		return trace.Wrap(err)
	}
	if demo.mismatches > 0 {
		return errUnexpectedOutcome
	}
	return nil
}
