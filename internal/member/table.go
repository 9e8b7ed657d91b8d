package member

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Buckets is how many groups the records are compared in.
const Buckets = 16

// Digest is the hash of each group of records; equal digests mean that two
// tables know the same.
type Digest [Buckets]uint64

type row struct {
	record Record
	// updated is when the record last changed or was repeated.
	updated time.Time
}

// Table is one node's view of all records. It is not safe for concurrent use.
type Table struct {
	self   string
	timing Timing
	rows   map[string]row
	digest Digest
	// own is the sequence last used for the own record.
	own uint64
	// lastAnnounced is when the own record was last written.
	lastAnnounced time.Time
	// version rises with every change, so that readers can cache.
	version uint64
	// lastExpiry is when leases were last looked at.
	lastExpiry time.Time
}

// expiryInterval is how often leases and suspicions are looked at.
const expiryInterval = time.Second

// NewTable returns an empty table for the named node.
func NewTable(self string, timing Timing) *Table {
	return &Table{self: self, timing: timing, rows: map[string]row{}}
}

// Version rises with every change of the table.
func (table *Table) Version() uint64 { return table.version }

// Digest returns the hash of each group of records.
func (table *Table) Digest() Digest { return table.digest }

// Sum returns one hash of all groups.
func (digest Digest) Sum() uint64 {
	sum := uint64(0)
	for _, bucketHash := range digest {
		sum += bucketHash
	}
	return sum
}

// Len returns the number of records, gone ones included.
func (table *Table) Len() int { return len(table.rows) }

// Get returns the named record.
func (table *Table) Get(name string) (Record, bool) {
	row, ok := table.rows[name]
	return row.record, ok
}

// Records returns all records that are not gone, sorted by name.
func (table *Table) Records() []Record {
	return table.filter(func(record Record) bool { return record.State != StateGone })
}

// DifferingRecords returns the records of the groups in which other differs.
func (table *Table) DifferingRecords(other Digest) []Record {
	return table.filter(func(record Record) bool {
		bucket := bucketOf(record.Name)
		return table.digest[bucket] != other[bucket]
	})
}

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

// put stores a record and keeps the digest.
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

// Announce writes the own record and returns it for spreading.
func (table *Table) Announce(now time.Time, record Record) Record {
	table.own++
	record.Name = table.self
	record.Sequence = table.own
	table.lastAnnounced = now
	table.put(now, record)
	return record
}

// Merge takes a record from elsewhere and returns what has to be spread: the
// record if it was news, a refutation if it suspects the owner, or nothing.
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

// refute answers a record that somebody else spreads about this node.
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

// Suspect marks a node whose connection was lost and returns the record to
// spread.
func (table *Table) Suspect(now time.Time, name string) (Record, bool) {
	current, ok := table.rows[name]
	if !ok || current.record.State >= StateSuspect || name == table.self {
		return Record{}, false
	}
	current.record.State = StateSuspect
	table.put(now, current.record)
	return current.record, true
}

// Tick repeats the own record when it is due, ends suspicions and leases, and
// forgets records that are long gone. It returns what has to be spread.
func (table *Table) Tick(now time.Time) []Record {
	var outgoing []Record
	if own, ok := table.rows[table.self]; ok && now.Sub(table.lastAnnounced) >= table.timing.Refresh {
		outgoing = append(outgoing, table.Announce(now, own.record))
	}
	if now.Sub(table.lastExpiry) < expiryInterval {
		return outgoing
	}
	table.lastExpiry = now
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
