package raft

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// TestScenarios runs the scripts of testdata/script over cores, with a clock
// moved by hand.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values["bench"] = newBench(1)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"group": scriptGroup, "pass": scriptPass, "do": scriptDo, "net": scriptNet,
			"want": scriptWant, "variant": scriptVariant, "violated": scriptViolated,
		},
	})
}

func scriptBench(ts *testscript.TestScript) *bench { return ts.Value("bench").(*bench) }

// group ID...: voters that start with one membership.
func scriptGroup(ts *testscript.TestScript, _ bool, args []string) {
	startGroup(scriptBench(ts), args)
}

func startGroup(bench *bench, ids []string) {
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id, Name: id[:1], Address: id, Voter: true})
	}
	entry := Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: members}
	for _, id := range ids {
		bench.add(id, Durable{HardState: HardState{Term: 1}, Entries: []Entry{entry}})
	}
}

// pass DURATION.
func scriptPass(ts *testscript.TestScript, _ bool, args []string) {
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	scriptBench(ts).run(duration)
	ts.Logf("%s", scriptBench(ts).describe())
}

func pickID(ts *testscript.TestScript, name string) string {
	if name != "leader" {
		return name
	}
	id := scriptBench(ts).leader()
	if id == "" {
		ts.Fatalf("there is no leader:\n%s", scriptBench(ts).describe())
	}
	return id
}

// do ACTION ID: propose, read, crash, restart, cut, heal, freeze, thaw, wipe,
// compact, learner, repair. ID may be "leader"; $last is then its id.
func scriptDo(ts *testscript.TestScript, neg bool, args []string) {
	bench, id := scriptBench(ts), pickID(ts, args[1])
	ts.Setenv("last", id)
	switch args[0] {
	case "propose":
		if bench.propose(id) == neg {
			ts.Fatalf("propose at %s: want refused=%v", id, neg)
		}
	case "read":
		bench.read(id)
	case "crash":
		bench.crash(id)
	case "restart":
		bench.restart(id)
	case "cut", "heal":
		bench.cut[id] = args[0] == "cut"
	case "freeze", "thaw":
		bench.replicas[id].frozen = args[0] == "freeze"
	case "wipe":
		// The disk is lost; with a third argument the replica has a new id.
		bench.crash(id)
		if len(args) > 2 {
			bench.add(args[2], Durable{})
		} else {
			bench.add(id, Durable{})
		}
	case "compact":
		bench.compact(id)
	case "learner":
		err := bench.replicas[bench.leader()].core.AddLearner(bench.now, Member{ID: id, Name: id[:1], Address: id})
		ts.Check(err)
		bench.settle(bench.leader())
	case "repair":
		bench.replicas[id].core.Repair(bench.now, 3)
		bench.settle(id)
	default:
		ts.Fatalf("unknown action %q", args[0])
	}
}

// net drop PERCENT | double PERCENT | delay DURATION.
func scriptNet(ts *testscript.TestScript, _ bool, args []string) {
	bench := scriptBench(ts)
	number, _ := strconv.Atoi(args[1])
	switch args[0] {
	case "drop":
		bench.dropPercent = number
	case "double":
		bench.doublePercent = number
	case "delay":
		bench.maxDelay, _ = time.ParseDuration(args[1])
	}
}

// want leader | committed N | applied ID N | voter ID; "!" negates.
func scriptWant(ts *testscript.TestScript, neg bool, args []string) {
	bench := scriptBench(ts)
	holds := false
	switch args[0] {
	case "leader":
		holds = bench.leader() != "" && (len(args) < 2 || bench.leader() == args[1])
	case "committed":
		number, _ := strconv.Atoi(args[1])
		commands := 0
		for _, entry := range bench.committed {
			if entry.Kind == EntryCommand {
				commands++
			}
		}
		holds = commands >= number
	case "applied":
		highest := uint64(0)
		for index := range bench.committed {
			highest = max(highest, index)
		}
		holds = bench.replicas[pickID(ts, args[1])].applied == highest
	case "voter":
		holds = bench.replicas[bench.leader()].core.isVoter(args[1])
	}
	if holds == neg {
		ts.Fatalf("want %v %v:\n%s", neg, args, bench.describe())
	}
	if bench.violation != nil && bench.variant == "" {
		ts.Fatalf("%v", bench.violation)
	}
}

func scriptVariant(ts *testscript.TestScript, _ bool, args []string) {
	scriptBench(ts).variant = args[0]
}

// violated checks that the invariants have caught a broken variant.
func scriptViolated(ts *testscript.TestScript, neg bool, _ []string) {
	if violation := scriptBench(ts).violation; (violation == nil) != neg {
		ts.Fatalf("violation: %v", violation)
	}
}

// FuzzCore lets the input choose faults, and checks the invariants: one leader
// a term, committed entries never lost or changed, applied never falls, reads
// never stale.
func FuzzCore(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15})
	f.Add([]byte("0123456789 crash restart cut heal freeze thaw compact"))
	for seed := range byte(8) {
		script := make([]byte, 200)
		for i := range script {
			script[i] = byte(i*int(seed*2+7) + int(seed))
		}
		f.Add(script)
	}
	f.Fuzz(func(t *testing.T, script []byte) {
		bench := fuzzRun(script)
		require.NoError(t, bench.violation, bench.describe())
	})
}

func fuzzRun(script []byte) *bench {
	bench := newBench(uint64(len(script)))
	bench.dropPercent, bench.doublePercent, bench.maxDelay = 5, 5, 60*time.Millisecond
	ids := []string{"a", "b", "c"}
	startGroup(bench, ids)
	for _, step := range script[:min(len(script), 80)] {
		id := ids[int(step/16)%len(ids)]
		replica := bench.replicas[id]
		switch step % 16 {
		case 0, 1, 2:
			bench.crash(id)
		case 3, 4, 5:
			if replica.down {
				bench.restart(id)
			}
		case 6:
			bench.cut[id] = true
		case 7, 8:
			clear(bench.cut)
		case 9:
			replica.frozen = !replica.frozen
		case 10:
			if !replica.down {
				bench.compact(id)
			}
		case 11:
			bench.run(2500 * time.Millisecond)
		default:
			if !replica.down && !replica.frozen {
				bench.propose(id)
				bench.read(id)
			}
		}
		bench.run(time.Duration(step) * time.Millisecond)
	}
	return bench
}

// TestSeeds runs many seeded fault schedules and wants progress after them.
func TestSeeds(t *testing.T) {
	for seed := range 60 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := newBench(uint64(seed)).random
			script := make([]byte, 80)
			for i := range script {
				script[i] = byte(random.Uint64())
			}
			bench := fuzzRun(script)
			require.NoError(t, bench.violation, bench.describe())
			clear(bench.cut)
			bench.dropPercent = 0
			for _, id := range bench.ids() {
				bench.replicas[id].frozen = false
				if bench.replicas[id].down {
					bench.restart(id)
				}
			}
			bench.run(10 * time.Second)
			require.NotEmpty(t, bench.leader(), bench.describe())
			require.True(t, bench.propose(bench.leader()))
			bench.run(3 * time.Second)
			require.NoError(t, bench.violation)
			for _, id := range bench.ids() {
				require.Equal(t, bench.replicas[bench.leader()].applied, bench.replicas[id].applied, bench.describe())
			}
		})
	}
}

// BenchmarkCommit measures messages and entries for one commit among three.
func BenchmarkCommit(b *testing.B) {
	bench := newBench(1)
	startGroup(bench, []string{"a", "b", "c"})
	bench.run(5 * time.Second)
	for b.Loop() {
		bench.propose(bench.leader())
		bench.run(20 * time.Millisecond)
	}
}

// TestTheLongerLogStandsIn has a voter refuse a candidate that lacks an entry,
// as after a loss of power of all: it seeks votes itself within a heartbeat
// instead of waiting for its own time to come.
func TestTheLongerLogStandsIn(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	durable := Bootstrap(members...)
	durable.Entries = append(durable.Entries, Entry{Index: 2, Term: 1})
	core, err := New("c", durable, DefaultTiming(), rand.New(rand.NewPCG(1, 1)), now)
	require.NoError(t, err)
	require.NoError(t, core.Step(now, Message{Kind: MessagePreVote, From: "a", To: "c", Term: 2, Index: 1, LogTerm: 1}))
	ready := core.Ready()
	require.Len(t, ready.Messages, 1)
	require.True(t, ready.Messages[0].Reject)
	core.Done(now, ready)
	now = now.Add(DefaultTiming().Heartbeat)
	core.Tick(now)
	asked := 0
	for _, message := range core.Ready().Messages {
		if message.Kind == MessagePreVote {
			asked++
		}
	}
	require.Equal(t, 2, asked)
}

// TestAStaggeredStartFindsALeader starts five replicas as after a loss of power:
// within an eighth of the users' windows of two seconds after a quorum is up
// there is a leader, for 99 of 100 orders of events.
func TestAStaggeredStartFindsALeader(t *testing.T) {
	const (
		quorumUp = 350 * time.Millisecond
		bound    = 250 * time.Millisecond
		runs     = 100
	)
	starts := map[string]time.Duration{"a": 0, "b": 100 * time.Millisecond, "c": quorumUp, "d": 390 * time.Millisecond, "e": 390 * time.Millisecond}
	members := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	inTime := 0
	for seed := range uint64(runs) {
		bench := newBench(seed)
		begun := bench.now
		for bench.now.Sub(begun) < quorumUp+bound {
			for _, member := range members {
				if bench.replicas[member.ID] == nil && bench.now.Sub(begun) >= starts[member.ID] {
					bench.add(member.ID, Bootstrap(members...))
				}
			}
			bench.run(10 * time.Millisecond)
		}
		require.NoError(t, bench.violation)
		if bench.leader() != "" {
			inTime++
		}
	}
	t.Logf("%d of %d", inTime, runs)
	require.GreaterOrEqual(t, inTime, runs*99/100)
}
