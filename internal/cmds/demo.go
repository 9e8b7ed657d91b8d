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

// The demo's size and durations.
const (
	demoNodes      = 3
	demoRate       = 400
	demoOrders     = 60
	demoSends      = 3
	demoBadPermil  = 300
	demoLimit      = 55 * time.Second
	demoRolloutDue = 40 * time.Second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:        "demo",
		Usage:       "show a good and a bad rollout and orders that run once, all in this process",
		Description: "Needs no settings. It exits with 0 only if every outcome is as it must be.",
		Action: func(ctx context.Context, c *cli.Command) error {
			bounded, cancel := context.WithTimeout(ctx, demoLimit)
			defer cancel()
			folder, err := os.MkdirTemp("", "vanillapulley-demo-")
			if err != nil {
				return trace.ConvertSystemError(err)
			}
			defer func() { _ = os.RemoveAll(folder) }()
			return newDemo(c.Root().Writer, folder).run(bounded)
		},
	}
}

// demo is a whole fleet in one process.
type demo struct {
	out       io.Writer
	folder    string
	group     *tasks.Group
	api       *client.Client
	callers   []string
	upstreams []*sample.Upstream
	good      atomic.Int64
	failed    atomic.Int64
	rows      []string
	wrong     int
}

func newDemo(out io.Writer, folder string) *demo {
	return &demo{out: out, folder: folder, group: tasks.New(16)}
}

func (demo *demo) say(format string, args ...any) { _, _ = fmt.Fprintf(demo.out, format+"\n", args...) }

// check adds a row to the summary.
func (demo *demo) check(what, want, got string) {
	verdict := "as it must be"
	if want != got {
		verdict = "WRONG, must be " + want
		demo.wrong++
	}
	demo.rows = append(demo.rows, what+"\t"+got+"\t"+verdict)
}

func (demo *demo) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer demo.group.Wait()
	defer cancel()
	steps := []func(context.Context) error{demo.start, demo.apply, demo.goodRollout, demo.orders, demo.badRollout}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	demo.check("calls without an answer of their own", "0", fmt.Sprint(demo.lost()))
	return demo.summary()
}

// start runs one control VM, the nodes, and an upstream of its own version
// beside each node; the third version fails.
func (demo *demo) start(ctx context.Context) error {
	demo.say("starting a control VM, %d nodes and %d upstreams on loopback", demoNodes, demoNodes)
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
	return demo.until(ctx, "all nodes announce their upstreams", func() bool {
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
		Name: "control", Zone: "tx-central-a", Data: filepath.Join(demo.folder, "control"),
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
	running, err := node.New(node.Deps{Settings: settings, Logs: logs.Discard(), Stats: stats.New(), Now: time.Now, Random: newRandom})
	if err != nil {
		return err
	}
	demo.callers = append(demo.callers, settings.Callers)
	demo.group.Go(ctx, settings.Name, running.Run)
	upstream := sample.New(sample.Settings{
		Service: "depot-archive", Version: fmt.Sprintf("v%d", i+1),
		Address: "127.0.0.1:0", Admin: settings.Admin, Slots: 12,
		FailPermille: demoFail(i), Delay: time.Millisecond, TTL: 3 * time.Second,
		Now: time.Now, Random: newRandom(),
	})
	demo.upstreams = append(demo.upstreams, upstream)
	demo.group.Go(ctx, "upstream", upstream.Run)
	return nil
}

func demoFail(i int) int {
	if i == demoNodes-1 {
		return demoBadPermil
	}
	return 0
}

func (demo *demo) until(ctx context.Context, what string, done func() bool) error {
	for !done() {
		select {
		case <-ctx.Done():
			return trace.LimitExceeded("not in time: %s", what)
		case end := <-demo.group.Results():
			return trace.Errorf("%s has ended early: %v", end.Name, end.Err)
		case <-time.After(100 * time.Millisecond):
		}
	}
	return nil
}

func (demo *demo) apply(ctx context.Context) error {
	change := []rsrc.Resource{
		rsrc.NewService("depot-archive", rsrc.PolicyCompletion),
		rsrc.NewVersion("depot-archive", "v1", 1),
		rsrc.NewVersion("depot-archive", "v2", 1),
		rsrc.NewVersion("depot-archive", "v3", 1),
		rsrc.NewRoute("timetable", "depot-archive", "/timetable", "v1", 5*time.Second),
	}
	var body wire.ApplyRequest
	for _, resource := range change {
		body.Resources = append(body.Resources, wire.FromResource(resource))
	}
	var result wire.Result
	if err := demo.api.Post(ctx, "/v1/apply", client.Request{}, body, &result); err != nil {
		return err
	}
	demo.say("accepted %d resources as version %d", len(change), result.Version)
	err := demo.until(ctx, "the configuration is in force", func() bool {
		var status wire.Status
		return demo.api.Get(ctx, "/v1/status", &status) == nil && status.Nodes == demoNodes && status.InForce >= result.Version
	})
	demo.group.Go(ctx, "load", demo.load)
	return err
}

// load sends reads at a steady rate, to each node in turn.
func (demo *demo) load(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / demoRate)
	defer ticker.Stop()
	var running sync.WaitGroup
	defer running.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		running.Go(func() { demo.count(demo.send(demo.callers[i%demoNodes], "GET", "")) })
	}
}

func (demo *demo) count(outcome string) {
	if outcome == string(proxy.OutcomeRan) {
		demo.good.Add(1)
		return
	}
	if demo.failed.Add(1) == 1 {
		demo.say("  a call ended as: %s", outcome)
	}
}

func (demo *demo) lost() int64 { return demo.failed.Load() }

// send makes one call and returns its outcome.
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
	if err := fasthttp.DoTimeout(request, response, 6*time.Second); err != nil {
		return err.Error()
	}
	outcome, reason := response.Header.Peek(proxy.HeaderOutcome), response.Header.Peek(proxy.HeaderReason)
	return strings.TrimSpace(string(outcome) + " " + string(reason))
}

// rollout starts a rollout and shows its steps until it has ended.
func (demo *demo) rollout(ctx context.Context, to string) (rsrc.Rollout, error) {
	var result wire.Result
	body := wire.RolloutRequest{Route: "timetable", To: to, By: time.Now().Add(demoRolloutDue)}
	if err := demo.api.Post(ctx, "/v1/rollouts", client.Request{}, body, &result); err != nil {
		return rsrc.Rollout{}, err
	}
	from := result.Version - 1
	for {
		var list wire.ResourceList
		if err := demo.api.Watch(ctx, from, &list); err != nil {
			return rsrc.Rollout{}, err
		}
		from = list.Version
		for _, resource := range list.Resources {
			rollout, ok := asRollout(resource)
			if !ok {
				continue
			}
			line, _ := rolloutLine(resource)
			demo.say("  %s", line)
			if rollout.LatestStep().State.Ended() {
				return rollout, nil
			}
		}
	}
}

func (demo *demo) goodRollout(ctx context.Context) error {
	demo.say("rolling timetable out to v2, which is good")
	rollout, err := demo.rollout(ctx, "v2")
	if err != nil {
		return err
	}
	demo.check("rollout to good v2", string(rsrc.StateFinished), string(rollout.LatestStep().State))
	inTime := !rollout.FullShareAt().IsZero() && rollout.FullShareAt().Before(rollout.Deadline())
	demo.check("v2 had all traffic by its deadline", "true", fmt.Sprint(inTime))
	return nil
}

// orders sends each key several times at once, by different nodes.
func (demo *demo) orders(ctx context.Context) error {
	demo.say("sending %d print orders %d times each, by different nodes", demoOrders, demoSends)
	var answered atomic.Int64
	var running sync.WaitGroup
	for range demoOrders {
		key, err := uuid.NewV7()
		if err != nil {
			return trace.Wrap(err)
		}
		for i := range demoSends {
			running.Go(func() {
				time.Sleep(rand.N(20 * time.Millisecond))
				if outcome := demo.send(demo.callers[i%demoNodes], "POST", key.String()); outcome != string(proxy.OutcomeRan) {
					demo.say("  an order's send ended as: %s", outcome)
					return
				}
				answered.Add(1)
			})
		}
	}
	running.Wait()
	keys, runs := 0, 0
	for _, upstream := range demo.upstreams {
		k, r := upstream.KeyedRuns()
		keys, runs = keys+k, runs+r
	}
	demo.check("different orders that ran", fmt.Sprint(demoOrders), fmt.Sprint(keys))
	demo.check("runs of orders", fmt.Sprint(demoOrders), fmt.Sprint(runs))
	demo.check("sends with the whole answer", fmt.Sprint(demoOrders*demoSends), fmt.Sprint(answered.Load()))
	return ctx.Err()
}

func (demo *demo) badRollout(ctx context.Context) error {
	demo.say("rolling timetable out to v3, which fails %d of 1000 calls", demoBadPermil)
	before := demo.upstreams[demoNodes-1].Calls()
	all := demo.good.Load()
	rollout, err := demo.rollout(ctx, "v3")
	if err != nil {
		return err
	}
	demo.check("rollout to bad v3", string(rsrc.StateRolledBack), string(rollout.LatestStep().State))
	hurt := demo.upstreams[demoNodes-1].Calls() - before
	demo.say("  v3 got %d of %d calls", hurt, demo.good.Load()-all)
	return nil
}

// errDemo reports an outcome that is not as it must be.
var errDemo = errors.New("an outcome is wrong, see the table")

func (demo *demo) summary() error {
	demo.say("")
	writer := tabwriter.NewWriter(demo.out, 0, 4, 2, ' ', 0)
	for _, row := range demo.rows {
		_, _ = fmt.Fprintln(writer, row)
	}
	if err := writer.Flush(); err != nil {
		return trace.Wrap(err)
	}
	if demo.wrong > 0 {
		return errDemo
	}
	return nil
}
