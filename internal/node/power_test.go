package node

import (
	"context"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	configs "github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/ctrl"
	"github.com/vanillapulley/vanillapulley/internal/lease"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// runControl runs a control VM until the function is called.
func runControl(t *testing.T, settings configs.Control) (stop func() error) {
	control, err := ctrl.New(ctrl.Deps{Settings: settings, Logs: logs.Discard(), Stats: stats.New(), Now: time.Now, Random: random})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- control.Run(ctx) }()
	stop = func() error {
		cancel()
		return <-ended
	}
	// The API answers once the daemon is open.
	require.Eventually(t, func() bool {
		response, err := http.Get("http://" + settings.API + "/v1/status")
		return err == nil && response.Body.Close() == nil
	}, 20*time.Second, 10*time.Millisecond)
	require.Eventually(t, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := control.ReplaceConfig(ctx, ctrl.FullConfig{Number: 1, Services: []rsrc.Service{rsrc.NewService("s", "")}, Routes: []rsrc.Route{
			rsrc.NewRoute("once", "s", "/once/", "", time.Second).WithOptions(rsrc.RouteOptions{Host: "h.example", Kind: rsrc.CallNonIdempotent, MaxAttempts: 2}),
		}})
		return err == nil
	}, 20*time.Second, 50*time.Millisecond)
	return stop
}

// runWith runs a node that gets its configuration from a control VM.
func runWith(t *testing.T, control configs.Control, settings configs.Node) (*Node, func() error) {
	settings.Control = []string{control.Link}
	node, err := New(Deps{Settings: settings, Logs: logs.Discard(), Stats: stats.New(), Now: time.Now, Random: random})
	require.NoError(t, err)
	stop := runUnconfigured(t, node)
	require.Eventually(t, func() bool { return node.version() > 0 }, 20*time.Second, time.Millisecond)
	return node, stop
}

// TestDepartureOutlivesAllProcesses guards against an upstream that has left and is used
// again after all processes lost power, because a notice that it sent before arrives late.
// A later incarnation must be served.
func TestDepartureOutlivesAllProcesses(t *testing.T) {
	first := completeNotice(lease.Notice{ID: "i-1", Born: 1000, Sequence: 1, Address: "127.0.0.1:1"})
	late := first
	late.Sequence = 5
	draining := first
	draining.Sequence, draining.Draining = 6, true
	for name, leave := range map[string]func(node *Node) error{
		"deregistered": func(node *Node) error { return node.gate.Deregister("i-1", 0) },
		"draining":     func(node *Node) error { return node.gate.AcceptNotice(draining) },
	} {
		t.Run(name, func(t *testing.T) {
			control := configs.Control{
				Name: "c1", Zone: "a", Data: filepath.Join(t.TempDir(), "data"), API: nodeSettings(t, "").Admin, Link: nodeSettings(t, "").Link,
				Replicas: 1, MaxChildren: 8, SnapshotEvery: 3,
			}
			require.NoError(t, ctrl.Init(control))
			stopControl := runControl(t, control)
			settings, others := nodeSettings(t, "n1"), nodeSettings(t, "n2")
			node, stop := runWith(t, control, settings)
			_, stopOther := runWith(t, control, others)
			require.NoError(t, node.gate.AcceptNotice(first))
			require.NoError(t, leave(node))
			// The node is the last one, so that nobody is left to keep its record.
			require.NoError(t, stopOther())
			require.NoError(t, stopControl())
			_ = stop()

			stopControl = runControl(t, control)
			defer func() { require.NoError(t, stopControl()) }()
			node, _ = runWith(t, control, settings)
			_ = node.gate.AcceptNotice(late)
			require.False(t, isServing(node), "a late notice brought the upstream back")
			again := first
			again.Born, again.Sequence = 2000, 1
			require.NoError(t, node.gate.AcceptNotice(again))
			require.True(t, isServing(node), "a later incarnation is not served")
		})
	}
}

// isServing reports whether the upstream of a node accepts calls.
func isServing(node *Node) bool {
	return node.gate.Record().State.String() == "serving"
}
