package raft

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// cluster simulates a group of replicas with a manual clock and with network and
// disk faults, and checks the Raft invariants after every step.
type cluster struct {
	now         time.Time
	random      *rand.Rand
	replicas    map[string]*clusterReplica
	partitioned map[string]bool
	// dropPercent, duplicatePercent and maxDelay apply to every message.
	dropPercent      int
	duplicatePercent int
	maxDelay         time.Duration
	deliveries       []delivery
	// variant is the name of a deliberate fault, or empty if there is none. With
	// "forget-vote", the caller does not persist the hard state. With "unsynced",
	// it does not persist entries and snapshots. Any other name, such as "amnesia",
	// changes nothing in the cluster. With any of them, scriptWant ignores
	// violations.
	variant string

	leaders map[uint64]string
	// committed contains the entries that at least one replica has applied.
	committed map[uint64]Entry
	// violation is the first violated invariant.
	violation error
	proposed  int
	reads     map[uint64]readStart
	readCount uint64
}

// readStart records the replica at which a read started and the highest index
// that any replica had applied at that time.
type readStart struct {
	replica string
	commit  uint64
}

// delivery is a message in transit and the time of its arrival.
type delivery struct {
	at      time.Time
	message Message
}

type clusterReplica struct {
	core    *Core
	durable DurableState
	down    bool
	frozen  bool
	applied uint64
}

func newCluster(seed uint64) *cluster {
	return &cluster{
		now:         time.Unix(1_000_000, 0),
		random:      rand.New(rand.NewPCG(seed, 1)),
		replicas:    map[string]*clusterReplica{},
		partitioned: map[string]bool{},
		maxDelay:    5 * time.Millisecond,
		leaders:     map[uint64]string{},
		committed:   map[uint64]Entry{},
		reads:       map[uint64]readStart{},
	}
}

// recordViolation keeps the first violation of an invariant.
func (cluster *cluster) recordViolation(format string, args ...any) {
	if cluster.violation == nil {
		cluster.violation = fmt.Errorf(format, args...)
	}
}

// add starts a replica with the given durable state.
func (cluster *cluster) add(id string, durable DurableState) {
	core, err := New(id, durable, DefaultTiming(), rand.New(rand.NewPCG(cluster.random.Uint64(), 2)), cluster.now)
	if err != nil {
		cluster.recordViolation("replica %s failed to start: %v", id, err)
		return
	}
	cluster.replicas[id] = &clusterReplica{core: core, durable: durable, applied: core.Applied()}
}

func (cluster *cluster) ids() []string { return slices.Sorted(maps.Keys(cluster.replicas)) }

// run advances the clock by duration in steps of 10 ms.
func (cluster *cluster) run(duration time.Duration) {
	for end := cluster.now.Add(duration); cluster.now.Before(end); {
		cluster.now = cluster.now.Add(10 * time.Millisecond)
		cluster.deliver()
		for _, id := range cluster.ids() {
			if replica := cluster.replicas[id]; !replica.down && !replica.frozen {
				replica.core.Tick(cluster.now)
				cluster.processReady(id)
			}
		}
		cluster.checkLeaders()
	}
}

// deliver delivers the messages whose arrival time has been reached. Messages to a
// frozen replica remain queued; messages to a crashed replica or across the
// partition are dropped.
func (cluster *cluster) deliver() {
	pending := cluster.deliveries
	cluster.deliveries = nil
	for _, delivery := range pending {
		to := cluster.replicas[delivery.message.To]
		switch {
		case delivery.at.After(cluster.now) || to != nil && to.frozen && !to.down:
			cluster.deliveries = append(cluster.deliveries, delivery)
		case to == nil || to.down || cluster.partitioned[delivery.message.To] != cluster.partitioned[delivery.message.From]:
		default:
			if err := to.core.Step(cluster.now, delivery.message); err != nil {
				cluster.recordViolation("%s: %v", delivery.message.To, err)
			}
			cluster.processReady(delivery.message.To)
		}
	}
}

// processReady does the work of a replica's caller: it calls Flush, and then
// persists state, sends messages, applies entries and checks read results until
// Ready returns no more work.
func (cluster *cluster) processReady(id string) {
	replica := cluster.replicas[id]
	replica.core.Flush(cluster.now)
	for range 100 {
		ready := replica.core.Ready()
		if ready.Empty() {
			return
		}
		cluster.persist(replica, ready)
		for _, message := range ready.Messages {
			cluster.transmit(message)
		}
		for _, entry := range ready.Committed {
			cluster.apply(id, entry)
		}
		cluster.checkReads(ready.Reads)
		replica.core.Advance(cluster.now, ready)
	}
	cluster.recordViolation("%s still has work after 100 rounds", id)
}

func (cluster *cluster) persist(replica *clusterReplica, ready Ready) {
	if ready.HardState != nil && cluster.variant != "forget-vote" {
		replica.durable.HardState = *ready.HardState
	}
	if cluster.variant == "unsynced" {
		return
	}
	if ready.ReceivedSnapshot != nil {
		snapshot := *ready.ReceivedSnapshot
		replica.durable.Snapshot = &snapshot
		replica.durable.Entries = nil
		replica.applied = snapshot.Index
	}
	for _, entry := range ready.Entries {
		keep := slices.IndexFunc(replica.durable.Entries, func(existing Entry) bool { return existing.Index >= entry.Index })
		if keep >= 0 {
			replica.durable.Entries = replica.durable.Entries[:keep:keep]
		}
		replica.durable.Entries = append(replica.durable.Entries, entry)
	}
}

func (cluster *cluster) transmit(message Message) {
	copies := 1
	if cluster.random.IntN(100) < cluster.duplicatePercent {
		copies = 2
	}
	for range copies {
		if cluster.random.IntN(100) < cluster.dropPercent {
			continue
		}
		delay := time.Duration(cluster.random.Int64N(int64(cluster.maxDelay) + 1))
		cluster.deliveries = append(cluster.deliveries, delivery{at: cluster.now.Add(delay), message: message})
	}
	slices.SortStableFunc(cluster.deliveries, func(a, b delivery) int { return a.at.Compare(b.at) })
}

// apply checks that entries are applied in order and that all replicas apply the
// same entry at each index.
func (cluster *cluster) apply(id string, entry Entry) {
	replica := cluster.replicas[id]
	if entry.Index != replica.applied+1 {
		cluster.recordViolation("%s applied index %d after index %d", id, entry.Index, replica.applied)
	}
	replica.applied = entry.Index
	previous, ok := cluster.committed[entry.Index]
	if ok && (previous.Term != entry.Term || string(previous.Data) != string(entry.Data)) {
		cluster.recordViolation("index %d was committed with term %d and data %q, but %s applied term %d and data %q", entry.Index, previous.Term, previous.Data, id, entry.Term, entry.Data)
	}
	cluster.committed[entry.Index] = entry
}

// checkLeaders checks that no term has two leaders.
func (cluster *cluster) checkLeaders() {
	for _, id := range cluster.ids() {
		core := cluster.replicas[id].core
		if cluster.replicas[id].down || core.Role() != RoleLeader {
			continue
		}
		if other, ok := cluster.leaders[core.Term()]; ok && other != id {
			cluster.recordViolation("%s and %s are both leaders of term %d", other, id, core.Term())
		}
		cluster.leaders[core.Term()] = id
	}
}

// read starts a read at a replica and records the highest index that any
// replica has applied.
func (cluster *cluster) read(id string) {
	highest := uint64(0)
	for index := range cluster.committed {
		highest = max(highest, index)
	}
	cluster.readCount++
	cluster.reads[cluster.readCount] = readStart{replica: id, commit: highest}
	if cluster.replicas[id].core.ReadIndex(cluster.now, cluster.readCount) == nil {
		cluster.processReady(id)
	}
}

// checkReads checks that each confirmed read covers all entries that any replica
// had applied before the read started.
func (cluster *cluster) checkReads(results []ReadResult) {
	for _, result := range results {
		start := cluster.reads[result.Token]
		if result.OK && result.Index < start.commit {
			cluster.recordViolation("a read at %s returned index %d, but index %d was committed before the read started", start.replica, result.Index, start.commit)
		}
	}
}

// leader returns the leader with the highest term that is neither crashed nor
// frozen, or an empty string if there is none.
func (cluster *cluster) leader() string {
	best, term := "", uint64(0)
	for _, id := range cluster.ids() {
		replica := cluster.replicas[id]
		if !replica.down && !replica.frozen && replica.core.Role() == RoleLeader && replica.core.Term() > term {
			best, term = id, replica.core.Term()
		}
	}
	return best
}

func (cluster *cluster) propose(id string) bool {
	cluster.proposed++
	_, _, err := cluster.replicas[id].core.Propose(cluster.now, []byte(fmt.Sprintf(`"%d"`, cluster.proposed)))
	cluster.processReady(id)
	return err == nil
}

// crash stops a replica. A restart recovers only its persisted state.
func (cluster *cluster) crash(id string) { cluster.replicas[id].down = true }

func (cluster *cluster) restart(id string) {
	durable := cluster.replicas[id].durable
	durable.Entries = slices.Clone(durable.Entries)
	cluster.add(id, durable)
}

func (cluster *cluster) compact(id string) {
	replica := cluster.replicas[id]
	index := replica.core.Applied()
	snapshot, err := replica.core.Compact(index, []byte(fmt.Sprint(index)))
	if err != nil {
		cluster.recordViolation("%s: %v", id, err)
		return
	}
	replica.durable.Snapshot = &snapshot
	replica.durable.Entries = slices.DeleteFunc(slices.Clone(replica.durable.Entries), func(entry Entry) bool { return entry.Index <= index })
}

func (cluster *cluster) describe() string {
	var lines []string
	for _, id := range cluster.ids() {
		replica := cluster.replicas[id]
		lines = append(lines, fmt.Sprintf("%s %s term=%d last=%d commit=%d applied=%d down=%v", id, replica.core.Role(), replica.core.Term(), replica.core.LastIndex(), replica.core.Commit(), replica.applied, replica.down))
	}
	return strings.Join(lines, "\n")
}
