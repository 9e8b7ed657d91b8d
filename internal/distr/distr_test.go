package distr_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/distr"
)

// Limits required by the users of the system: the time in which a change reaches
// all nodes, the time in which all nodes know that a node is leaving, and the
// bytes that one node sends and receives per second.
const (
	limitConverge = 4 * time.Second
	limitLeaving  = 2 * time.Second
	limitBytes    = 26_000
)

// limitRootMessages is the number of messages that the busiest control VM may
// send for one change: one update and one reply to each of its 8 children and
// the 2 other control VMs, regardless of the size of the fleet.
const limitRootMessages = 2 * (8 + 2)

// TestScenarios runs the scripts in testdata/script on cores connected by a
// simulated network and driven by a simulated clock.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values["fleet"] = newFleet(1)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet": scriptFleet, "pass": scriptPass, "do": scriptDo, "want": scriptWant, "variant": scriptVariant,
		},
	})
}

func fleetOf(ts *testscript.TestScript) *fleet { return ts.Value("fleet").(*fleet) }

// scriptFleet implements "fleet ROOTS NODES".
func scriptFleet(ts *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(ts)
	roots, _ := strconv.Atoi(args[0])
	nodes, _ := strconv.Atoi(args[1])
	fleet.roots(roots)
	fleet.addNodes(nodes)
	fleet.publishInitialConfig(20)
}

// scriptPass implements "pass DURATION", which advances the clock.
func scriptPass(ts *testscript.TestScript, _ bool, args []string) {
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	fleetOf(ts).run(duration)
}

// expand replaces ranges such as "n1..n5" and zones such as "zone:a1" by node
// names.
func expand(fleet *fleet, words []string) []string {
	var names []string
	for _, word := range words {
		first, last, isRange := strings.Cut(word, "..")
		zone, isZone := strings.CutPrefix(word, "zone:")
		switch {
		case isZone:
			for _, name := range fleet.names {
				if node := fleet.nodes[name]; node.zone == zone && !node.root {
					names = append(names, name)
				}
			}
		case isRange:
			from, _ := strconv.Atoi(first[1:])
			to, _ := strconv.Atoi(last[1:])
			for i := from; i <= to; i++ {
				names = append(names, fmt.Sprintf("%c%d", first[0], i))
			}
		default:
			names = append(names, word)
		}
	}
	return names
}

// scriptDo implements "do ACTION NAME..." with the actions kill, start, cut and
// heal, "do write COUNT", "do noquorum", "do quorum" and "do double". Cut moves
// nodes to the other side of a partition, where they still reach each other, and
// heal moves them back.
func scriptDo(ts *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(ts)
	switch args[0] {
	case "write":
		count, _ := strconv.Atoi(args[1])
		for i := range count {
			fleet.changeRoute(i)
			fleet.run(20 * time.Millisecond)
		}
		return
	case "noquorum", "quorum":
		fleet.noQuorum = args[0] == "noquorum"
		return
	case "double":
		fleet.duplicateMessages = true
		return
	}
	for _, name := range expand(fleet, args[1:]) {
		switch args[0] {
		case "kill":
			fleet.kill(name)
		case "start":
			fleet.start(name, fleet.nodes[name].zone, fleet.nodes[name].root)
		case "cut", "heal":
			fleet.partitioned[name] = args[0] == "cut"
		default:
			ts.Fatalf("unknown action %q", args[0])
		}
	}
}

// scriptWant implements "want converged DURATION", "want members",
// "want ready NAME", "want behind NAME", "want children MAX" and
// "want violated". A leading "!" negates the condition.
func scriptWant(ts *testscript.TestScript, neg bool, args []string) {
	fleet := fleetOf(ts)
	holds, detail := false, ""
	switch args[0] {
	case "converged":
		limit, err := time.ParseDuration(args[1])
		ts.Check(err)
		took := fleet.converge(limit)
		holds, detail = fleet.behind() == 0, fmt.Sprintf("%d nodes behind after %s", fleet.behind(), took)
	case "members":
		holds, detail = fleet.wrongViews() == 0, fmt.Sprintf("%d wrong views", fleet.wrongViews())
	case "ready":
		holds = fleet.nodes[args[1]].core.Ready()
	case "behind":
		holds = fleet.nodes[args[1]].core.Config().Version() < fleet.config.Version()
	case "violated":
		holds, detail = fleet.violation != nil, fmt.Sprint(fleet.violation)
	case "children":
		maxChildren, _ := strconv.Atoi(args[1])
		holds = true
		for _, node := range fleet.nodes {
			if count := node.core.Children(); !node.down && count > maxChildren {
				holds, detail = false, fmt.Sprintf("%s has %d children", node.name, count)
			}
		}
	}
	if holds == neg {
		ts.Fatalf("want %v %v: %s", neg, args, detail)
	}
	if fleet.violation != nil && args[0] != "violated" {
		ts.Fatalf("%v", fleet.violation)
	}
}

// scriptVariant implements "variant small", which limits each node to 3 children,
// and "variant trusting", in which a root without a quorum confirms its own
// version.
func scriptVariant(ts *testscript.TestScript, _ bool, args []string) {
	fleet := fleetOf(ts)
	switch args[0] {
	case "trusting":
		fleet.confirmWithoutQuorum = true
	case "small":
		fleet.settings = func(settings *distr.Settings) { settings.MaxChildren = 3 }
	}
}

// starSettings makes all nodes direct children of the roots.
func starSettings(settings *distr.Settings) {
	settings.MaxChildren = 0
	if settings.Root {
		settings.MaxChildren = 1000
	}
	settings.MaxLaterals = 0
}

// TestReferenceFleetSize checks the limits for convergence time, traffic and
// messages of the busiest root with the users' fleet of 480 nodes, during
// changes, the restart of a whole zone, and an outage of all control VMs.
func TestReferenceFleetSize(t *testing.T) {
	fleet := newFleet(7)
	fleet.roots(3)
	fleet.addNodes(480)
	fleet.publishInitialConfig(21)
	joined := fleet.converge(time.Minute)
	t.Logf("480 nodes joined and run the configuration after %s", joined)
	fleet.run(15 * time.Second)
	require.Zero(t, fleet.wrongViews())

	fleet.resetCounts()
	const changes, pause = 5, 3
	for i := range changes {
		fleet.changeRoute(i)
		took := fleet.converge(10 * time.Second)
		require.LessOrEqual(t, took, limitConverge)
		fleet.run(pause*time.Second - took)
	}
	worst, mean, rootMessages, rootBytes := fleet.traffic()
	const seconds = changes * pause
	t.Logf("a change every %d s: node bytes/s worst %d, mean %d; busiest root %d messages/s, %d bytes/s", pause, worst/seconds, mean/seconds, rootMessages/seconds, rootBytes/seconds)
	require.LessOrEqual(t, worst/seconds, limitBytes)

	fleet.resetCounts()
	fleet.changeRoute(changes)
	fleet.converge(10 * time.Second)
	_, _, rootMessages, _ = fleet.traffic()
	t.Logf("messages of the busiest root for one change: %d", rootMessages)
	require.LessOrEqual(t, rootMessages, limitRootMessages)

	took := fleet.leave("n100", 10*time.Second)
	t.Logf("all nodes know of the leaving node after %s", took)
	require.LessOrEqual(t, took, limitLeaving)

	for _, name := range expand(fleet, []string{"zone:a1"}) {
		fleet.kill(name)
	}
	fleet.run(2 * time.Second)
	for _, name := range expand(fleet, []string{"zone:a1"}) {
		fleet.start(name, "a1", false)
	}
	fleet.changeRoute(11)
	before := fleet.behind()
	took = fleet.converge(30 * time.Second)
	t.Logf("a zone of 96 nodes restarts during a change: %d nodes behind, in force on all after %s", before, took)
	require.LessOrEqual(t, took, limitConverge)

	for _, name := range expand(fleet, []string{"c1..c3"}) {
		fleet.kill(name)
	}
	fleet.run(20 * time.Second)
	took = fleet.leave("n200", 10*time.Second)
	t.Logf("without any control VM all nodes know of the leaving node after %s", took)
	require.LessOrEqual(t, took, limitLeaving)
	require.NoError(t, fleet.violation)
}

// BenchmarkConvergence measures how simulated convergence time, messages and bytes
// per change grow with the size of the fleet, for a tree and for a star. The
// results are used on the capacity page.
func BenchmarkConvergence(b *testing.B) {
	for _, shape := range []string{"tree", "star"} {
		for _, size := range []int{60, 120, 240, 480} {
			b.Run(fmt.Sprintf("%s/nodes=%d", shape, size), func(b *testing.B) {
				fleet := newFleet(3)
				if shape == "star" {
					fleet.settings = starSettings
				}
				fleet.roots(3)
				fleet.addNodes(size)
				fleet.publishInitialConfig(21)
				joined := fleet.converge(2 * time.Minute)
				fleet.run(20 * time.Second)
				fleet.resetCounts()
				fleet.run(20 * time.Second)
				idle, _, idleMessages, idleBytes := fleet.traffic()
				var total time.Duration
				changes := 0
				fleet.resetCounts()
				for b.Loop() {
					fleet.changeRoute(changes)
					changes++
					total += fleet.converge(10 * time.Second)
				}
				_, _, rootMessages, _ := fleet.traffic()
				b.ReportMetric(joined.Seconds(), "join-s")
				b.ReportMetric(total.Seconds()*1000/float64(changes), "converge-ms")
				b.ReportMetric(float64(fleet.totalUpdateBytes())/float64(changes), "update-B/change")
				b.ReportMetric(float64(rootMessages)/float64(changes), "root-msg/change")
				b.ReportMetric(float64(idle)/20, "idle-node-B/s")
				b.ReportMetric(float64(idleMessages)/20, "idle-root-msg/s")
				b.ReportMetric(float64(idleBytes)/20, "idle-root-B/s")
			})
		}
	}
}
