package raft

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"
)

// TestScenarios runs the scripts in testdata/script against a simulated cluster
// with a manual clock.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Values["cluster"] = newCluster(1)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"group": scriptGroup, "pass": scriptPass, "do": scriptDo, "net": scriptNet,
			"want": scriptWant, "variant": scriptVariant, "violated": scriptViolated,
		},
	})
}

func scriptCluster(ts *testscript.TestScript) *cluster { return ts.Value("cluster").(*cluster) }

// scriptGroup implements "group ID...", which starts voters that all have the same
// initial membership.
func scriptGroup(ts *testscript.TestScript, _ bool, args []string) {
	startGroup(scriptCluster(ts), args)
}

func startGroup(cluster *cluster, ids []string) {
	// The name is the first letter of the id, so c2 is the same VM as c.
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id, Name: id[:1], Address: id, Voter: true})
	}
	entry := Entry{Index: 1, Term: 1, Kind: EntryMembers, Members: members}
	for _, id := range ids {
		cluster.add(id, DurableState{HardState: HardState{Term: 1}, Entries: []Entry{entry}})
	}
}

// scriptPass implements "pass DURATION", which advances the clock.
func scriptPass(ts *testscript.TestScript, _ bool, args []string) {
	duration, err := time.ParseDuration(args[0])
	ts.Check(err)
	scriptCluster(ts).run(duration)
	ts.Logf("%s", scriptCluster(ts).describe())
}

// resolveID returns the current leader's id for "leader", and any other name
// unchanged.
func resolveID(ts *testscript.TestScript, name string) string {
	if name != "leader" {
		return name
	}
	id := scriptCluster(ts).leader()
	if id == "" {
		ts.Fatalf("there is no leader:\n%s", scriptCluster(ts).describe())
	}
	return id
}

// scriptDo implements "do ACTION ID [NEWID]". ID may be "leader". The variable $last
// is set to the id of the replica. The actions are:
//
//	propose     propose a command
//	read        start a read
//	crash       stop the replica
//	restart     start it with its persisted state
//	cut, heal   partition it from the other replicas, or end the partition
//	freeze      stop its clock and queue its messages
//	thaw        resume a frozen replica
//	wipe        crash it and start a replica with an empty disk and the same id,
//	            or with NEWID if given
//	compact     take a snapshot
//	learner     add it to the group as a learner
//	repair      call Repair
func scriptDo(ts *testscript.TestScript, neg bool, args []string) {
	cluster, id := scriptCluster(ts), resolveID(ts, args[1])
	ts.Setenv("last", id)
	switch args[0] {
	case "propose":
		if cluster.propose(id) == neg {
			ts.Fatalf("propose at %s: want rejected=%v", id, neg)
		}
	case "read":
		cluster.read(id)
	case "crash":
		cluster.crash(id)
	case "restart":
		cluster.restart(id)
	case "cut", "heal":
		cluster.partitioned[id] = args[0] == "cut"
	case "freeze", "thaw":
		cluster.replicas[id].frozen = args[0] == "freeze"
	case "wipe":
		// The replica loses its disk. A third argument is its new id.
		cluster.crash(id)
		if len(args) > 2 {
			cluster.add(args[2], DurableState{})
		} else {
			cluster.add(id, DurableState{})
		}
	case "compact":
		cluster.compact(id)
	case "learner":
		err := cluster.replicas[cluster.leader()].core.AddLearner(cluster.now, Member{ID: id, Name: id[:1], Address: id})
		ts.Check(err)
		cluster.processReady(cluster.leader())
	case "repair":
		cluster.replicas[id].core.Repair(cluster.now, 3)
		cluster.processReady(id)
	default:
		ts.Fatalf("unknown action %q", args[0])
	}
}

// scriptNet implements "net drop PERCENT", "net double PERCENT" and
// "net delay DURATION", which set the percentages of dropped and duplicated
// messages and the maximum delay.
func scriptNet(ts *testscript.TestScript, _ bool, args []string) {
	cluster := scriptCluster(ts)
	number, _ := strconv.Atoi(args[1])
	switch args[0] {
	case "drop":
		cluster.dropPercent = number
	case "double":
		cluster.duplicatePercent = number
	case "delay":
		cluster.maxDelay, _ = time.ParseDuration(args[1])
	}
}

// scriptWant implements "want leader [ID]", "want committed N", "want applied ID"
// and "want voter ID". "committed" requires that at least N commands were each
// applied by at least one replica. "applied" requires that the replica has applied
// the highest index that any replica has applied. A leading "!" negates the
// condition. scriptWant also fails if an invariant was violated, unless a
// deliberate fault is selected.
func scriptWant(ts *testscript.TestScript, neg bool, args []string) {
	cluster := scriptCluster(ts)
	satisfied := false
	switch args[0] {
	case "leader":
		satisfied = cluster.leader() != "" && (len(args) < 2 || cluster.leader() == args[1])
	case "committed":
		number, _ := strconv.Atoi(args[1])
		commands := 0
		for _, entry := range cluster.committed {
			if entry.Kind == EntryCommand {
				commands++
			}
		}
		satisfied = commands >= number
	case "applied":
		highest := uint64(0)
		for index := range cluster.committed {
			highest = max(highest, index)
		}
		satisfied = cluster.replicas[resolveID(ts, args[1])].applied == highest
	case "voter":
		satisfied = cluster.replicas[cluster.leader()].core.isVoter(args[1])
	}
	if satisfied == neg {
		ts.Fatalf("got %v for condition %v:\n%s", neg, args, cluster.describe())
	}
	if cluster.violation != nil && cluster.variant == "" {
		ts.Fatalf("%v", cluster.violation)
	}
}

// scriptVariant implements "variant NAME", which selects a deliberate fault; see
// cluster.variant.
func scriptVariant(ts *testscript.TestScript, _ bool, args []string) {
	scriptCluster(ts).variant = args[0]
}

// scriptViolated implements "violated", which checks that an invariant check has
// detected a violation, as it must with a deliberate fault.
func scriptViolated(ts *testscript.TestScript, neg bool, _ []string) {
	if violation := scriptCluster(ts).violation; (violation == nil) != neg {
		ts.Fatalf("the recorded violation (nil if there is none) is not what the script expects: %v", violation)
	}
}

// FuzzCore derives a schedule of faults from the input and checks the invariants:
// at most one leader per term, committed entries are neither lost nor changed, the
// applied index never decreases, and reads are never stale.
func FuzzCore(f *testing.F) {
	f.Add([]byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15})
	// Each byte of the text selects a fault or operation; the words have no meaning.
	f.Add([]byte("0123456789 crash restart cut heal freeze thaw compact"))
	for seed := range byte(8) {
		schedule := make([]byte, 200)
		for i := range schedule {
			schedule[i] = byte(i*int(seed*2+7) + int(seed))
		}
		f.Add(schedule)
	}
	f.Fuzz(func(t *testing.T, schedule []byte) {
		cluster := fuzzRun(schedule)
		require.NoError(t, cluster.violation, cluster.describe())
	})
}

// fuzzRun runs three replicas with one fault or operation for each byte of the
// schedule, up to 80 bytes.
func fuzzRun(schedule []byte) *cluster {
	cluster := newCluster(uint64(len(schedule)))
	cluster.dropPercent, cluster.duplicatePercent, cluster.maxDelay = 5, 5, 60*time.Millisecond
	ids := []string{"a", "b", "c"}
	startGroup(cluster, ids)
	for _, step := range schedule[:min(len(schedule), 80)] {
		id := ids[int(step/16)%len(ids)]
		replica := cluster.replicas[id]
		switch step % 16 {
		case 0, 1, 2:
			cluster.crash(id)
		case 3, 4, 5:
			if replica.down {
				cluster.restart(id)
			}
		case 6:
			cluster.partitioned[id] = true
		case 7, 8:
			clear(cluster.partitioned)
		case 9:
			replica.frozen = !replica.frozen
		case 10:
			if !replica.down {
				cluster.compact(id)
			}
		case 11:
			cluster.run(2500 * time.Millisecond)
		case 15:
			if !replica.down && !replica.frozen {
				replica.core.HandOver(cluster.now, id, len(ids))
				cluster.processReady(id)
			}
		default:
			if !replica.down && !replica.frozen {
				cluster.propose(id)
				cluster.read(id)
			}
		}
		cluster.run(time.Duration(step) * time.Millisecond)
	}
	return cluster
}

// TestSeeds runs random fault schedules from fixed seeds. After the faults end,
// the group must elect a leader that accepts a new command, and three seconds later
// all replicas must have applied the log up to the same index as the leader.
func TestSeeds(t *testing.T) {
	for seed := range 60 {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := newCluster(uint64(seed)).random
			schedule := make([]byte, 80)
			for i := range schedule {
				schedule[i] = byte(random.Uint64())
			}
			cluster := fuzzRun(schedule)
			require.NoError(t, cluster.violation, cluster.describe())
			clear(cluster.partitioned)
			cluster.dropPercent = 0
			for _, id := range cluster.ids() {
				cluster.replicas[id].frozen = false
				if cluster.replicas[id].down {
					cluster.restart(id)
				}
			}
			cluster.run(10 * time.Second)
			require.NotEmpty(t, cluster.leader(), cluster.describe())
			require.True(t, cluster.propose(cluster.leader()))
			cluster.run(3 * time.Second)
			require.NoError(t, cluster.violation)
			for _, id := range cluster.ids() {
				require.Equal(t, cluster.replicas[cluster.leader()].applied, cluster.replicas[id].applied, cluster.describe())
			}
		})
	}
}

// BenchmarkCommit measures the processing time of one proposal and 20 ms of
// simulated time, in which it is committed, in a group of three replicas.
func BenchmarkCommit(b *testing.B) {
	cluster := newCluster(1)
	startGroup(cluster, []string{"a", "b", "c"})
	cluster.run(5 * time.Second)
	for b.Loop() {
		cluster.propose(cluster.leader())
		cluster.run(20 * time.Millisecond)
	}
}

// TestVoterWithLongerLogCampaignsSoon guards against slow elections after all
// replicas lose power. A voter that rejects a candidate because the candidate
// lacks an entry must start a pre-vote itself within a heartbeat interval instead
// of waiting for its own election timeout.
func TestVoterWithLongerLogCampaignsSoon(t *testing.T) {
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
	core.Advance(now, ready)
	now = now.Add(DefaultTiming().HeartbeatInterval)
	core.Tick(now)
	preVotes := 0
	for _, message := range core.Ready().Messages {
		if message.Kind == MessagePreVote {
			preVotes++
		}
	}
	require.Equal(t, 2, preVotes)
}

// TestStaggeredStartElectsLeader starts five replicas at different times, as after
// a power loss. In at least 99 of 100 seeded runs, a leader must be elected within
// 250 ms after a quorum is running. This is an eighth of the two seconds that the
// users' requirement allows.
func TestStaggeredStartElectsLeader(t *testing.T) {
	const (
		quorumUp      = 350 * time.Millisecond
		electionLimit = 250 * time.Millisecond
		runs          = 100
	)
	starts := map[string]time.Duration{"a": 0, "b": 100 * time.Millisecond, "c": quorumUp, "d": 390 * time.Millisecond, "e": 390 * time.Millisecond}
	members := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	inTime := 0
	for seed := range uint64(runs) {
		cluster := newCluster(seed)
		started := cluster.now
		for cluster.now.Sub(started) < quorumUp+electionLimit {
			for _, member := range members {
				if cluster.replicas[member.ID] == nil && cluster.now.Sub(started) >= starts[member.ID] {
					cluster.add(member.ID, Bootstrap(members...))
				}
			}
			cluster.run(10 * time.Millisecond)
		}
		require.NoError(t, cluster.violation)
		if cluster.leader() != "" {
			inTime++
		}
	}
	t.Logf("a leader was elected in time in %d of %d runs", inTime, runs)
	require.GreaterOrEqual(t, inTime, runs*99/100)
}

// TestASnapshotKeepsTheEntriesAfterIt guards against the loss of acknowledged entries, and
// against a replica that never catches up: a replica that has started anew does not know
// what is committed, and a snapshot that was sent to it before replaces a log that
// contains the snapshot's last entry and later ones.
func TestASnapshotKeepsTheEntriesAfterIt(t *testing.T) {
	now := time.Unix(1000, 0)
	members := []Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}, {ID: "c", Voter: true}}
	for term, last := range map[uint64]uint64{1: 6, 2: 4} {
		durable := Bootstrap(members...)
		for index := uint64(2); index <= 6; index++ {
			durable.Entries = append(durable.Entries, Entry{Index: index, Term: 1})
		}
		core, err := New("c", durable, DefaultTiming(), rand.New(rand.NewPCG(1, 1)), now)
		require.NoError(t, err)
		snapshot := Snapshot{Index: 4, Term: term, Members: members}
		require.NoError(t, core.Step(now, Message{Kind: MessageSnapshot, From: "a", To: "c", Term: 2, Snapshot: &snapshot}))
		require.Equal(t, last, core.LastIndex(), "snapshot of term %d", term)
		require.EqualValues(t, 4, core.Commit())
	}
}

// TestSplitVoteIsRepeatedSoon guards against elections that depend on luck while every
// remaining voter is needed, as after the loss of two of five: of two candidates in one
// term, just one must start another pre-vote within a heartbeat interval.
func TestSplitVoteIsRepeatedSoon(t *testing.T) {
	members := []Member{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
	for id, repeats := range map[string]bool{"a": false, "c": true} {
		other := map[string]string{"a": "c", "c": "a"}[id]
		now := time.Unix(1000, 0)
		core, err := New(id, Bootstrap(members...), DefaultTiming(), rand.New(rand.NewPCG(1, 1)), now)
		require.NoError(t, err)
		sent := func() []Message {
			ready := core.Ready()
			core.Advance(now, ready)
			return ready.Messages
		}
		now = now.Add(time.Second)
		core.Tick(now)
		for _, voter := range []string{"b", other} {
			require.NoError(t, core.Step(now, Message{Kind: MessagePreVoteReply, From: voter, To: id, Term: 2}))
		}
		require.Equal(t, RoleCandidate, core.Role())
		sent()
		require.NoError(t, core.Step(now, Message{Kind: MessageVote, From: other, To: id, Term: 2, Index: 1, LogTerm: 1}))
		require.True(t, sent()[0].Reject)
		now = now.Add(DefaultTiming().HeartbeatInterval)
		core.Tick(now)
		require.Equal(t, repeats, core.Role() == RolePreCandidate, id)
	}
}

// TestLeaderTransfersLeadership guards against a group that is without a leader for an
// election timeout after a planned stop of the leader, and against a voter without all
// entries that is asked to lead.
func TestLeaderTransfersLeadership(t *testing.T) {
	slowest := time.Duration(0)
	for seed := range uint64(50) {
		cluster := newCluster(seed)
		startGroup(cluster, []string{"a", "b", "c", "d", "e"})
		cluster.run(5 * time.Second)
		former := cluster.leader()
		behind := cluster.ids()[(slices.Index(cluster.ids(), former)+1)%5]
		cluster.replicas[behind].frozen = true
		require.True(t, cluster.propose(former))
		start := cluster.now
		for cluster.leader() == former && cluster.now.Sub(start) < 5*time.Second {
			cluster.replicas[former].core.HandOver(cluster.now, former, 5)
			cluster.processReady(former)
			cluster.run(20 * time.Millisecond)
		}
		cluster.crash(former)
		for cluster.leader() == "" && cluster.now.Sub(start) < 5*time.Second {
			cluster.run(10 * time.Millisecond)
		}
		slowest = max(slowest, cluster.now.Sub(start))
		require.NotEmpty(t, cluster.leader(), cluster.describe())
		require.NotEqual(t, behind, cluster.leader())
		require.True(t, cluster.propose(cluster.leader()))
		cluster.replicas[behind].frozen = false
		cluster.run(2 * time.Second)
		require.NoError(t, cluster.violation)
	}
	t.Logf("another replica led after %v at most", slowest)
	require.Less(t, slowest, DefaultTiming().ElectionTimeout)
}
