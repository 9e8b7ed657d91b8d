package raft

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// bench runs replicas over a network and disks that can fail, with a clock
// moved by hand, and checks the invariants after every step.
type bench struct {
	now      time.Time
	random   *rand.Rand
	replicas map[string]*benchReplica
	cut      map[string]bool
	// dropPercent, doublePercent and maxDelay disturb every message.
	dropPercent   int
	doublePercent int
	maxDelay      time.Duration
	flights       []flight
	// variant names a deliberate fault of the surroundings.
	variant string

	leaders   map[uint64]string
	committed map[uint64]Entry
	violation error
	proposed  int
	reads     map[uint64]readStart
	readCount uint64
}

type readStart struct {
	replica string
	commit  uint64
}

type flight struct {
	at      time.Time
	message Message
}

type benchReplica struct {
	core    *Core
	durable Durable
	down    bool
	frozen  bool
	applied uint64
}

func newBench(seed uint64) *bench {
	return &bench{
		now:       time.Unix(1_000_000, 0),
		random:    rand.New(rand.NewPCG(seed, 1)),
		replicas:  map[string]*benchReplica{},
		cut:       map[string]bool{},
		maxDelay:  5 * time.Millisecond,
		leaders:   map[uint64]string{},
		committed: map[uint64]Entry{},
		reads:     map[uint64]readStart{},
	}
}

func (bench *bench) fail(format string, args ...any) {
	if bench.violation == nil {
		bench.violation = fmt.Errorf(format, args...)
	}
}

// add starts a replica with the given durable state.
func (bench *bench) add(id string, durable Durable) {
	core, err := New(id, durable, DefaultTiming(), rand.New(rand.NewPCG(bench.random.Uint64(), 2)), bench.now)
	if err != nil {
		bench.fail("%s does not start: %v", id, err)
		return
	}
	bench.replicas[id] = &benchReplica{core: core, durable: durable, applied: core.Applied()}
}

func (bench *bench) ids() []string { return slices.Sorted(maps.Keys(bench.replicas)) }

// run lets time pass in steps of 10 ms.
func (bench *bench) run(duration time.Duration) {
	for end := bench.now.Add(duration); bench.now.Before(end); {
		bench.now = bench.now.Add(10 * time.Millisecond)
		bench.deliver()
		for _, id := range bench.ids() {
			if replica := bench.replicas[id]; !replica.down && !replica.frozen {
				replica.core.Tick(bench.now)
				bench.settle(id)
			}
		}
		bench.check()
	}
}

func (bench *bench) deliver() {
	due := bench.flights
	bench.flights = nil
	for _, flight := range due {
		to := bench.replicas[flight.message.To]
		switch {
		case flight.at.After(bench.now) || to != nil && to.frozen && !to.down:
			bench.flights = append(bench.flights, flight)
		case to == nil || to.down || bench.cut[flight.message.To] != bench.cut[flight.message.From]:
		default:
			if err := to.core.Step(bench.now, flight.message); err != nil {
				bench.fail("%s: %v", flight.message.To, err)
			}
			bench.settle(flight.message.To)
		}
	}
}

// settle does what a replica's owner does: persist, send, apply.
func (bench *bench) settle(id string) {
	replica := bench.replicas[id]
	replica.core.Flush(bench.now)
	for range 100 {
		ready := replica.core.Ready()
		if ready.Empty() {
			return
		}
		bench.persist(replica, ready)
		for _, message := range ready.Messages {
			bench.transmit(message)
		}
		for _, entry := range ready.Committed {
			bench.apply(id, entry)
		}
		bench.checkReads(ready.Reads)
		replica.core.Done(bench.now, ready)
	}
	bench.fail("%s does not settle", id)
}

func (bench *bench) persist(replica *benchReplica, ready Ready) {
	if ready.HardState != nil && bench.variant != "forget-vote" {
		replica.durable.HardState = *ready.HardState
	}
	if bench.variant == "unsynced" {
		return
	}
	if ready.Install != nil {
		snapshot := *ready.Install
		replica.durable.Snapshot = &snapshot
		replica.durable.Entries = nil
		replica.applied = snapshot.Index
	}
	for _, entry := range ready.Entries {
		keep := slices.IndexFunc(replica.durable.Entries, func(held Entry) bool { return held.Index >= entry.Index })
		if keep >= 0 {
			replica.durable.Entries = replica.durable.Entries[:keep:keep]
		}
		replica.durable.Entries = append(replica.durable.Entries, entry)
	}
}

func (bench *bench) transmit(message Message) {
	copies := 1
	if bench.random.IntN(100) < bench.doublePercent {
		copies = 2
	}
	for range copies {
		if bench.random.IntN(100) < bench.dropPercent {
			continue
		}
		delay := time.Duration(bench.random.Int64N(int64(bench.maxDelay) + 1))
		bench.flights = append(bench.flights, flight{at: bench.now.Add(delay), message: message})
	}
	slices.SortStableFunc(bench.flights, func(a, b flight) int { return a.at.Compare(b.at) })
}

// apply checks that no index is ever applied with two contents, nor out of
// order.
func (bench *bench) apply(id string, entry Entry) {
	replica := bench.replicas[id]
	if entry.Index != replica.applied+1 {
		bench.fail("%s applies %d after %d", id, entry.Index, replica.applied)
	}
	replica.applied = entry.Index
	held, ok := bench.committed[entry.Index]
	if ok && (held.Term != entry.Term || string(held.Data) != string(entry.Data)) {
		bench.fail("index %d was committed as %d %q and is applied by %s as %d %q", entry.Index, held.Term, held.Data, id, entry.Term, entry.Data)
	}
	bench.committed[entry.Index] = entry
}

// check looks for two leaders of one term, and for committed entries that a
// leader lacks.
func (bench *bench) check() {
	for _, id := range bench.ids() {
		core := bench.replicas[id].core
		if bench.replicas[id].down || core.Role() != RoleLeader {
			continue
		}
		if other, ok := bench.leaders[core.Term()]; ok && other != id {
			bench.fail("%s and %s both lead term %d", other, id, core.Term())
		}
		bench.leaders[core.Term()] = id
	}
}

func (bench *bench) read(id string) {
	highest := uint64(0)
	for index := range bench.committed {
		highest = max(highest, index)
	}
	bench.readCount++
	bench.reads[bench.readCount] = readStart{replica: id, commit: highest}
	if bench.replicas[id].core.ReadIndex(bench.now, bench.readCount) == nil {
		bench.settle(id)
	}
}

// checkReads looks for a confirmed read that misses what was applied anywhere
// before it began.
func (bench *bench) checkReads(results []ReadResult) {
	for _, result := range results {
		start := bench.reads[result.Token]
		if result.OK && result.Index < start.commit {
			bench.fail("a read at %s returned %d though %d was committed before", start.replica, result.Index, start.commit)
		}
	}
}

// leader returns the leader of the highest term that is up, if any.
func (bench *bench) leader() string {
	best, term := "", uint64(0)
	for _, id := range bench.ids() {
		replica := bench.replicas[id]
		if !replica.down && !replica.frozen && replica.core.Role() == RoleLeader && replica.core.Term() > term {
			best, term = id, replica.core.Term()
		}
	}
	return best
}

func (bench *bench) propose(id string) bool {
	bench.proposed++
	_, _, err := bench.replicas[id].core.Propose(bench.now, []byte(fmt.Sprintf(`"%d"`, bench.proposed)))
	bench.settle(id)
	return err == nil
}

// crash loses everything that was not persisted.
func (bench *bench) crash(id string) { bench.replicas[id].down = true }

func (bench *bench) restart(id string) {
	durable := bench.replicas[id].durable
	durable.Entries = slices.Clone(durable.Entries)
	bench.add(id, durable)
}

func (bench *bench) compact(id string) {
	replica := bench.replicas[id]
	index := replica.core.Applied()
	snapshot, err := replica.core.Compact(index, []byte(fmt.Sprint(index)))
	if err != nil {
		bench.fail("%s: %v", id, err)
		return
	}
	replica.durable.Snapshot = &snapshot
	replica.durable.Entries = slices.DeleteFunc(slices.Clone(replica.durable.Entries), func(entry Entry) bool { return entry.Index <= index })
}

func (bench *bench) describe() string {
	var lines []string
	for _, id := range bench.ids() {
		replica := bench.replicas[id]
		lines = append(lines, fmt.Sprintf("%s %s term=%d last=%d commit=%d applied=%d down=%v", id, replica.core.Role(), replica.core.Term(), replica.core.LastIndex(), replica.core.Commit(), replica.applied, replica.down))
	}
	return strings.Join(lines, "\n")
}
