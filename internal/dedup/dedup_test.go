package dedup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// bench runs ledgers and witnesses with claims, releases and recalls in any
// order, and counts how often each key runs.
type bench struct {
	now       time.Time
	random    *rand.Rand
	gates     []*benchGate
	witnesses map[string]*Witness
	// placements holds the current one first; views may lag by one change.
	placements [][]string
	runs       map[string]int
	variant    string
}

// benchGate is a gate with at most one attempt under way for each key.
type benchGate struct {
	name    string
	starts  uint64
	ledger  *Ledger
	tries   map[string]*try
	running map[string]bool
}

type try struct {
	key     Key
	attempt Attempt
	poll    *Poll
	ask     []string
}

func newBench(seed uint64, variant string) *bench {
	bench := &bench{
		now:       time.Unix(1_700_000_000, 0),
		random:    rand.New(rand.NewPCG(seed, 4)),
		witnesses: map[string]*Witness{},
		runs:      map[string]int{},
		variant:   variant,
	}
	for i := range 6 {
		bench.startWitness(fmt.Sprintf("w%d", i), bench.now.Add(-time.Hour))
	}
	bench.placements = [][]string{{"w0", "w1", "w2", "w3"}}
	for i := range 3 {
		gate := &benchGate{name: fmt.Sprintf("g%d", i)}
		bench.gates = append(bench.gates, gate)
		bench.startGate(gate)
	}
	return bench
}

func (bench *bench) startWitness(name string, started time.Time) {
	if bench.variant == "no-abstention" {
		started = bench.now.Add(-time.Hour)
	}
	bench.witnesses[name] = NewWitness(started)
}

func (bench *bench) startGate(gate *benchGate) {
	gate.starts++
	gate.ledger = NewLedger(gate.name, gate.starts)
	gate.tries, gate.running = map[string]*try{}, map[string]bool{}
}

// view is the placements that a gate uses.
func (bench *bench) view(gate *benchGate) [][]string {
	switch bench.variant {
	case "own-view":
		// Each gate trusts its own idea of who is there.
		names := []string{"w0", "w1", "w2", "w3", "w4", "w5"}
		offset := int(gate.name[1]-'0') * 2
		return [][]string{append(names[offset:], names[:offset]...)[:3]}
	case "new-only":
		return bench.placements[:1]
	default:
		return bench.placements
	}
}

func (bench *bench) step() {
	gate := bench.gates[bench.random.IntN(len(bench.gates))]
	key := bench.keys()[bench.random.IntN(2)]
	switch choice := bench.random.IntN(40); {
	case choice < 8:
		bench.begin(gate, key)
	case choice < 30:
		bench.advance(gate, key)
	case choice < 31:
		bench.startGate(gate)
	case choice < 32:
		name := fmt.Sprintf("w%d", bench.random.IntN(6))
		bench.startWitness(name, bench.now)
	case choice < 33:
		bench.changePlacement()
	default:
		bench.now = bench.now.Add(time.Duration(bench.random.IntN(400)) * time.Millisecond)
	}
}

var benchKeys []Key

// keys are issued at the bench's start.
func (bench *bench) keys() []Key { return benchKeys }

// changePlacement replaces one witness; no other change follows within the
// window.
func (bench *bench) changePlacement() {
	if len(bench.placements) > 1 {
		return
	}
	bench.placements = [][]string{{"w0", "w3", "w4", "w5"}, bench.placements[0]}
}

func (bench *bench) begin(gate *benchGate, key Key) {
	if gate.tries[key.id] != nil || gate.running[key.id] {
		return
	}
	begun, attempt, _ := gate.ledger.Begin(bench.now, key, 1, func(Outcome) {})
	if begun == Start {
		bench.newTry(gate, key, attempt)
	}
}

func (bench *bench) newTry(gate *benchGate, key Key, attempt Attempt) {
	poll := NewPoll(key, bench.view(gate))
	gate.tries[key.id] = &try{key: key, attempt: attempt, poll: poll, ask: poll.Witnesses()}
}

// advance does the next thing of an attempt: ask a witness, run, end a run, or
// give up.
func (bench *bench) advance(gate *benchGate, key Key) {
	if gate.running[key.id] {
		delete(gate.running, key.id)
		gate.ledger.Finish(key, Outcome{Kind: Ran})
		return
	}
	try := gate.tries[key.id]
	if try == nil {
		return
	}
	if len(try.ask) > 0 && !try.poll.Won() {
		i := bench.random.IntN(len(try.ask))
		name := try.ask[i]
		try.ask = append(try.ask[:i:i], try.ask[i+1:]...)
		answer := bench.witnesses[name].Claim(bench.now, key, try.attempt)
		if bench.random.IntN(10) > 0 {
			try.poll.Add(name, answer)
		}
		return
	}
	delete(gate.tries, key.id)
	if try.poll.Won() {
		bench.runs[key.id]++
		gate.running[key.id] = true
		return
	}
	bench.lose(gate, try)
}

// lose gives an attempt up and, if another one held the claim, clears it away
// when its own node says it is dead.
func (bench *bench) lose(gate *benchGate, try *try) {
	gate.ledger.Lost(try.key)
	bench.release(try.key, try.attempt)
	holder, held := try.poll.Holder()
	if !held {
		gate.ledger.Finish(try.key, Outcome{Kind: NotRun})
		return
	}
	for _, other := range bench.gates {
		if other.name != holder.Node {
			continue
		}
		begun, outcome := other.ledger.Recall(bench.now, try.key, holder, func(Outcome) {})
		if begun == Known && outcome.Kind == NotRun {
			bench.release(try.key, holder)
			bench.newTry(gate, try.key, gate.ledger.Again(try.key))
			return
		}
	}
	gate.ledger.Finish(try.key, Outcome{Kind: Unknown})
}

func (bench *bench) release(key Key, attempt Attempt) {
	for i := range len(bench.witnesses) {
		if bench.random.IntN(4) > 0 {
			bench.witnesses[fmt.Sprintf("w%d", i)].Release(key, attempt)
		}
	}
}

// worst returns the most runs of any key.
func (bench *bench) worst() int {
	worst := 0
	for _, count := range bench.runs {
		worst = max(worst, count)
	}
	return worst
}

func playOnce(seed uint64, variant string) *bench {
	bench := newBench(seed, variant)
	benchKeys = []Key{
		{id: "certhouse/koi/1", issued: bench.now.Add(time.Second)},
		{id: "certhouse/koi/2", issued: bench.now.Add(time.Second)},
	}
	for range 400 {
		bench.step()
	}
	return bench
}

func TestAKeyRunsAtMostOnce(t *testing.T) {
	ran := 0
	for seed := range uint64(3000) {
		bench := playOnce(seed, "")
		require.LessOrEqual(t, bench.worst(), 1, "seed %d", seed)
		ran += len(bench.runs)
	}
	require.Greater(t, ran, 3000, "too few runs for the check to mean anything")
}

// TestBrokenVariantsRunTwice shows that the check above sees each fault that
// the design avoids.
func TestBrokenVariantsRunTwice(t *testing.T) {
	for _, variant := range []string{"own-view", "no-abstention", "new-only"} {
		t.Run(variant, func(t *testing.T) {
			for seed := range uint64(3000) {
				if playOnce(seed, variant).worst() > 1 {
					t.Logf("a key runs twice at seed %d", seed)
					return
				}
			}
			t.Fatal("no seed shows the fault")
		})
	}
}

func TestKeys(t *testing.T) {
	id, err := uuid.NewV7()
	require.NoError(t, err)
	key, err := ParseKey("s", "c", id.String())
	require.NoError(t, err)
	require.WithinDuration(t, time.Now(), key.Issued(), time.Second)
	for _, text := range []string{"", "x", uuid.NewString()} {
		_, err := ParseKey("s", "c", text)
		require.Error(t, err)
	}
}

func TestALedgerKeepsThatACallRan(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	key := Key{id: "s/c/1", issued: now}
	ledger := NewLedger("g", 1)
	begun, attempt, _ := ledger.Begin(now, key, 1, nil)
	require.Equal(t, Start, begun)
	var seen []Outcome
	begun, _, _ = ledger.Begin(now, key, 1, func(outcome Outcome) { seen = append(seen, outcome) })
	require.Equal(t, Pending, begun)
	_, _, outcome := ledger.Begin(now, key, 2, nil)
	require.Equal(t, Outcome{Kind: NotRun, Reason: ReasonReused}, outcome)
	ledger.Finish(key, Outcome{Kind: Ran, Answer: make([]byte, MaxAnswerBytes/2+1)})
	require.Len(t, seen, 1)

	other := Key{id: "s/c/2", issued: now}
	ledger.Begin(now, other, 1, nil)
	ledger.Finish(other, Outcome{Kind: Ran, Answer: make([]byte, MaxAnswerBytes/2+1)})
	_, outcome = ledger.Recall(now, key, attempt, nil)
	require.Equal(t, Unknown, outcome.Kind, "the answer is dropped, the run is not forgotten")
	_, outcome = ledger.Recall(now.Add(Window+2*Skew), key, attempt, nil)
	require.Equal(t, Unknown, outcome.Kind, "an old key is never reported as not run")
	_, outcome = ledger.Recall(now, Key{id: "s/c/3", issued: now}, Attempt{Node: "g", Incarnation: 0, Number: 1}, nil)
	require.Equal(t, Unknown, outcome.Kind, "a restarted node does not know")
}
