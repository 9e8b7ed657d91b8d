package member

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets into which records are hashed by name. Two
// tables are compared bucket by bucket.
const Buckets = 16

// Digest holds one hash per bucket of records. Two tables with equal digests
// hold the same records.
type Digest [Buckets]uint64

type row struct {
	record Record
	// updated is the time at which the record last changed or was repeated.
	updated time.Time
}

// Table holds one node's view of the records of all nodes. It is not safe for
// concurrent use.
type Table struct {
	self   string
	timing Timing
	rows   map[string]row
	digest Digest
	// own is the last sequence number used for this node's own record.
	own uint64
	// lastAnnounced is the time of the last call to Announce.
	lastAnnounced time.Time
	// version increases with every change, so that readers can cache results.
	version uint64
	// lastExpiryCheck is the time at which leases and suspicions were last checked.
	lastExpiryCheck time.Time
}

// expiryCheckInterval is the minimum time between two checks of leases and
// suspicions.
const expiryCheckInterval = time.Second

// NewTable returns an empty table for the node named self.
func NewTable(self string, timing Timing) *Table {
	return &Table{self: self, timing: timing, rows: map[string]row{}}
}

// Version returns a number that increases with every change of the table.
func (table *Table) Version() uint64 { return table.version }

// Digest returns the hash of each bucket of records.
func (table *Table) Digest() Digest { return table.digest }

// Sum returns a single hash over all buckets.
func (digest Digest) Sum() uint64 {
	sum := uint64(0)
	for _, bucketHash := range digest {
		sum += bucketHash
	}
	return sum
}

// Len returns the number of records, including those marked as gone.
func (table *Table) Len() int { return len(table.rows) }

// Get returns the record of the named node and whether it is known.
func (table *Table) Get(name string) (Record, bool) {
	row, ok := table.rows[name]
	return row.record, ok
}

// Records returns all records that are not gone, sorted by name.
func (table *Table) Records() []Record {
	return table.filter(func(record Record) bool { return record.State != StateGone })
}

// DifferingRecords returns the records in the buckets whose hashes differ from
// those in other, sorted by name.
func (table *Table) DifferingRecords(other Digest) []Record {
	return table.filter(func(record Record) bool {
		bucket := bucketOf(record.Name)
		return table.digest[bucket] != other[bucket]
	})
}

// filter returns the records for which match is true, sorted by name.
func (table *Table) filter(match func(Record) bool) []Record {
	var records []Record
	for _, name := range slices.SortedFunc(maps.Keys(table.rows), strings.Compare) {
		if record := table.rows[name].record; match(record) {
			records = append(records, record)
		}
	}
	return records
}

func bucketOf(name string) int { return int(xxhash.Sum64String(name) % Buckets) }

// put stores a record and updates the digest and the version.
func (table *Table) put(now time.Time, record Record) {
	bucket := bucketOf(record.Name)
	if old, ok := table.rows[record.Name]; ok {
		table.digest[bucket] -= old.record.hash()
	}
	table.digest[bucket] += record.hash()
	table.rows[record.Name] = row{record: record, updated: now}
	table.version++
}

func (table *Table) remove(name string) {
	table.digest[bucketOf(name)] -= table.rows[name].record.hash()
	delete(table.rows, name)
	table.version++
}

// Announce stores this node's own record with the next sequence and returns it
// to be sent to other nodes.
func (table *Table) Announce(now time.Time, record Record) Record {
	table.own++
	record.Name = table.self
	record.Sequence = table.own
	table.lastAnnounced = now
	table.put(now, record)
	return record
}

// Merge applies a record received from another node. It returns a record to send
// to other nodes, and true, in two cases. If the record supersedes the stored
// one, or its node is unknown and the record is not gone, Merge stores and
// returns it. If the record is about this node and supersedes this node's own
// record, for example because it is suspect, Merge returns the own record with a
// higher sequence, unless the own record is missing or gone. In all other cases it
// returns false.
func (table *Table) Merge(now time.Time, record Record) (Record, bool) {
	if record.Name == "" || record.State < StateServing || record.State > StateGone {
		return Record{}, false
	}
	current, known := table.rows[record.Name]
	if record.Name == table.self {
		return table.refute(now, record, current.record, known)
	}
	if known && !record.Supersedes(current.record) {
		return Record{}, false
	}
	if !known && record.State == StateGone {
		return Record{}, false
	}
	table.put(now, record)
	return record, true
}

// refute handles a record about this node that another node sent. If the record
// supersedes the node's own one, refute announces the own record again with a
// higher sequence, and a higher incarnation if needed. It returns false if the own
// record is not superseded, is missing, or is gone.
func (table *Table) refute(now time.Time, record, own Record, known bool) (Record, bool) {
	if !known || !record.Supersedes(own) || own.State == StateGone {
		return Record{}, false
	}
	if record.Incarnation > own.Incarnation {
		own.Incarnation = record.Incarnation + 1
	}
	table.own = max(table.own, record.Sequence)
	return table.Announce(now, own), true
}

// Suspect marks a node whose connection was lost as suspect and returns the
// record to send to other nodes. It returns false if the node is unknown, is
// already suspect or gone, or is this node.
func (table *Table) Suspect(now time.Time, name string) (Record, bool) {
	current, ok := table.rows[name]
	if !ok || current.record.State >= StateSuspect || name == table.self {
		return Record{}, false
	}
	current.record.State = StateSuspect
	table.put(now, current.record)
	return current.record, true
}

// Tick announces this node's own record again when Refresh has passed. It marks a
// record as gone when its lease has expired or its owner did not refute a
// suspicion in time, and removes gone records after Retention. It returns this
// node's record, to be sent to other nodes, if it was announced again. Records that
// it marks as gone are not returned.
func (table *Table) Tick(now time.Time) []Record {
	var outgoing []Record
	if own, ok := table.rows[table.self]; ok && now.Sub(table.lastAnnounced) >= table.timing.Refresh {
		outgoing = append(outgoing, table.Announce(now, own.record))
	}
	if now.Sub(table.lastExpiryCheck) < expiryCheckInterval {
		return outgoing
	}
	table.lastExpiryCheck = now
	for name, row := range table.rows {
		if name == table.self {
			continue
		}
		age := now.Sub(row.updated)
		switch {
		case row.record.State == StateGone && age >= table.timing.Retention:
			table.remove(name)
		case row.record.State == StateSuspect && age >= table.timing.Suspicion,
			row.record.State != StateGone && age >= table.timing.Lease:
			row.record.State = StateGone
			table.put(now, row.record)
		}
	}
	return outgoing
}
