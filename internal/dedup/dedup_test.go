package dedup

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

// simulation performs claims, releases and resolutions on ledgers and witnesses
// in random order and counts how often each key runs.
type simulation struct {
	now       time.Time
	random    *rand.Rand
	gates     []*simulatedGate
	witnesses map[string]*Witness
	// placements lists the current placement first. During a change, it also
	// lists the previous one.
	placements [][]string
	runs       map[string]int
	variant    string
}

// simulatedGate is the gate of a node, which admits and runs calls. It has at
// most one attempt in progress for each key.
type simulatedGate struct {
	name        string
	incarnation uint64
	ledger      *Ledger
	pending     map[string]*pendingAttempt
	running     map[string]bool
}

// pendingAttempt is an attempt that is collecting claims from witnesses.
type pendingAttempt struct {
	key     Key
	attempt Attempt
	poll    *Poll
	unasked []string
}

func newSimulation(seed uint64, variant string) *simulation {
	simulation := &simulation{
		now:       time.Unix(1_700_000_000, 0),
		random:    rand.New(rand.NewPCG(seed, 4)),
		witnesses: map[string]*Witness{},
		runs:      map[string]int{},
		variant:   variant,
	}
	for i := range 6 {
		simulation.startWitness(fmt.Sprintf("w%d", i), simulation.now.Add(-time.Hour))
	}
	simulation.placements = [][]string{{"w0", "w1", "w2", "w3"}}
	for i := range 3 {
		gate := &simulatedGate{name: fmt.Sprintf("g%d", i)}
		simulation.gates = append(simulation.gates, gate)
		simulation.startGate(gate)
	}
	return simulation
}

func (simulation *simulation) startWitness(name string, started time.Time) {
	if simulation.variant == "no-abstention" {
		// A restarted witness answers as if it had not lost any claim.
		started = simulation.now.Add(-time.Hour)
	}
	simulation.witnesses[name] = NewWitness(started)
}

func (simulation *simulation) startGate(gate *simulatedGate) {
	gate.incarnation++
	gate.ledger = NewLedger(gate.name, gate.incarnation)
	gate.pending, gate.running = map[string]*pendingAttempt{}, map[string]bool{}
}

// placementsFor returns the placements that a gate uses.
func (simulation *simulation) placementsFor(gate *simulatedGate) [][]string {
	switch simulation.variant {
	case "own-view":
		// Each gate uses its own view of the membership instead of the agreed
		// placement.
		names := []string{"w0", "w1", "w2", "w3", "w4", "w5"}
		offset := int(gate.name[1]-'0') * 2
		return [][]string{append(names[offset:], names[:offset]...)[:3]}
	case "new-only":
		// Gates ignore the previous placement during a change.
		return simulation.placements[:1]
	default:
		return simulation.placements
	}
}

func (simulation *simulation) step() {
	gate := simulation.gates[simulation.random.IntN(len(simulation.gates))]
	key := simulation.keys()[simulation.random.IntN(2)]
	switch choice := simulation.random.IntN(40); {
	case choice < 8:
		simulation.begin(gate, key)
	case choice < 30:
		simulation.advance(gate, key)
	case choice < 31:
		simulation.startGate(gate)
	case choice < 32:
		name := fmt.Sprintf("w%d", simulation.random.IntN(6))
		simulation.startWitness(name, simulation.now)
	case choice < 33:
		simulation.changePlacement()
	default:
		simulation.now = simulation.now.Add(time.Duration(simulation.random.IntN(400)) * time.Millisecond)
	}
}

var simulationKeys []Key

// keys returns the two keys of the simulation.
func (simulation *simulation) keys() []Key { return simulationKeys }

// changePlacement changes the placement, at most once per simulation, because
// no second change may follow within Window.
func (simulation *simulation) changePlacement() {
	if len(simulation.placements) > 1 {
		return
	}
	simulation.placements = [][]string{{"w0", "w3", "w4", "w5"}, simulation.placements[0]}
}

func (simulation *simulation) begin(gate *simulatedGate, key Key) {
	if gate.pending[key.id] != nil || gate.running[key.id] {
		return
	}
	status, attempt, _ := gate.ledger.Begin(simulation.now, key, 1, func(Outcome) {})
	if status == Start {
		simulation.newPendingAttempt(gate, key, attempt)
	}
}

func (simulation *simulation) newPendingAttempt(gate *simulatedGate, key Key, attempt Attempt) {
	poll := NewPoll(key, simulation.placementsFor(gate))
	gate.pending[key.id] = &pendingAttempt{key: key, attempt: attempt, poll: poll, unasked: poll.Witnesses()}
}

// advance performs the next step of an attempt: asks a witness, starts the run,
// ends the run, or abandons the attempt.
func (simulation *simulation) advance(gate *simulatedGate, key Key) {
	if gate.running[key.id] {
		delete(gate.running, key.id)
		gate.ledger.Finish(key, Outcome{Kind: Ran})
		return
	}
	pendingAttempt := gate.pending[key.id]
	if pendingAttempt == nil {
		return
	}
	if len(pendingAttempt.unasked) > 0 && !pendingAttempt.poll.Won() {
		i := simulation.random.IntN(len(pendingAttempt.unasked))
		name := pendingAttempt.unasked[i]
		pendingAttempt.unasked = append(pendingAttempt.unasked[:i:i], pendingAttempt.unasked[i+1:]...)
		answer := simulation.witnesses[name].Claim(simulation.now, key, pendingAttempt.attempt)
		if simulation.random.IntN(10) > 0 {
			pendingAttempt.poll.Add(name, answer)
		}
		return
	}
	delete(gate.pending, key.id)
	if pendingAttempt.poll.Won() {
		simulation.runs[key.id]++
		gate.running[key.id] = true
		return
	}
	simulation.abandon(gate, pendingAttempt)
}

// abandon gives up an attempt. If another attempt holds the claim and its node
// reports that the other attempt has not run, abandon releases the other
// attempt's claim and starts a new attempt. Otherwise it finishes the call.
func (simulation *simulation) abandon(gate *simulatedGate, pendingAttempt *pendingAttempt) {
	gate.ledger.Abandon(pendingAttempt.key)
	simulation.release(pendingAttempt.key, pendingAttempt.attempt)
	holder, held := pendingAttempt.poll.Holder()
	if !held {
		gate.ledger.Finish(pendingAttempt.key, Outcome{Kind: NotRun})
		return
	}
	for _, other := range simulation.gates {
		if other.name != holder.Node {
			continue
		}
		status, outcome := other.ledger.Resolve(simulation.now, pendingAttempt.key, holder, func(Outcome) {})
		if status == Known && outcome.Kind == NotRun {
			simulation.release(pendingAttempt.key, holder)
			simulation.newPendingAttempt(gate, pendingAttempt.key, gate.ledger.NewAttempt(pendingAttempt.key))
			return
		}
	}
	gate.ledger.Finish(pendingAttempt.key, Outcome{Kind: Unknown})
}

func (simulation *simulation) release(key Key, attempt Attempt) {
	for i := range len(simulation.witnesses) {
		if simulation.random.IntN(4) > 0 {
			simulation.witnesses[fmt.Sprintf("w%d", i)].Release(key, attempt)
		}
	}
}

// maxRuns returns the largest number of runs of any key.
func (simulation *simulation) maxRuns() int {
	maxRuns := 0
	for _, count := range simulation.runs {
		maxRuns = max(maxRuns, count)
	}
	return maxRuns
}

func simulate(seed uint64, variant string) *simulation {
	simulation := newSimulation(seed, variant)
	simulationKeys = []Key{
		{id: "certhouse/koi/1", issued: simulation.now.Add(time.Second)},
		{id: "certhouse/koi/2", issued: simulation.now.Add(time.Second)},
	}
	for range 400 {
		simulation.step()
	}
	return simulation
}

func TestAKeyRunsAtMostOnce(t *testing.T) {
	ran := 0
	for seed := range uint64(3000) {
		simulation := simulate(seed, "")
		require.LessOrEqual(t, simulation.maxRuns(), 1, "seed %d", seed)
		ran += len(simulation.runs)
	}
	require.Greater(t, ran, 3000, "too few runs for a meaningful check")
}

// TestBrokenVariantsRunTwice checks that the simulation detects each of the
// faults that the design avoids.
func TestBrokenVariantsRunTwice(t *testing.T) {
	for _, variant := range []string{"own-view", "no-abstention", "new-only"} {
		t.Run(variant, func(t *testing.T) {
			for seed := range uint64(3000) {
				if simulate(seed, variant).maxRuns() > 1 {
					t.Logf("a key runs twice at seed %d", seed)
					return
				}
			}
			t.Fatal("no seed reveals the fault")
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

func TestALedgerRemembersThatACallRan(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	key := Key{id: "s/c/1", issued: now}
	ledger := NewLedger("g", 1)
	status, attempt, _ := ledger.Begin(now, key, 1, nil)
	require.Equal(t, Start, status)
	var seen []Outcome
	status, _, _ = ledger.Begin(now, key, 1, func(outcome Outcome) { seen = append(seen, outcome) })
	require.Equal(t, Pending, status)
	_, _, outcome := ledger.Begin(now, key, 2, nil)
	require.Equal(t, Outcome{Kind: NotRun, Reason: ReasonReused}, outcome)
	ledger.Finish(key, Outcome{Kind: Ran, Answer: make([]byte, MaxAnswerBytes/2+1)})
	require.Len(t, seen, 1)

	other := Key{id: "s/c/2", issued: now}
	ledger.Begin(now, other, 1, nil)
	ledger.Finish(other, Outcome{Kind: Ran, Answer: make([]byte, MaxAnswerBytes/2+1)})
	_, outcome = ledger.Resolve(now, key, attempt, nil)
	require.Equal(t, Unknown, outcome.Kind, "the answer is dropped, but the ledger still records that the call ran")
	_, outcome = ledger.Resolve(now.Add(Window+2*MaxClockSkew), key, attempt, nil)
	require.Equal(t, Unknown, outcome.Kind, "an old key is never reported as not run")
	_, outcome = ledger.Resolve(now, Key{id: "s/c/3", issued: now}, Attempt{Node: "g", Incarnation: 0, Number: 1}, nil)
	require.Equal(t, Unknown, outcome.Kind, "a restarted node does not know whether the attempt ran")
}
