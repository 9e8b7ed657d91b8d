package raft

import "fmt"

// logState is the in-memory log: a snapshot and the entries after it.
type logState struct {
	// baseSnapshot is the snapshot that precedes entries. Its Index is zero if
	// there is no snapshot.
	baseSnapshot Snapshot
	// entries have consecutive indexes that start at baseSnapshot.Index+1.
	entries []Entry
	// stable is the highest persisted index. It decreases when persisted entries
	// are truncated.
	stable uint64
	// members is the latest membership, and membersIndex is the index of the
	// entry or snapshot that set it.
	members      []Member
	membersIndex uint64
}

func newLogState(durable DurableState) (logState, error) {
	log := logState{}
	if durable.Snapshot != nil {
		log.baseSnapshot = *durable.Snapshot
		log.members, log.membersIndex = log.baseSnapshot.Members, log.baseSnapshot.Index
	}
	for _, entry := range durable.Entries {
		if entry.Index <= log.baseSnapshot.Index {
			continue
		}
		if entry.Index != log.last()+1 {
			return log, &CorruptError{Reason: fmt.Sprintf("the log is not consecutive: entry %d follows entry %d", entry.Index, log.last())}
		}
		log.append(entry)
	}
	log.stable = log.last()
	return log, nil
}

func (log *logState) last() uint64 { return log.baseSnapshot.Index + uint64(len(log.entries)) }

func (log *logState) lastTerm() uint64 { return log.term(log.last()) }

// term returns the term of the entry at index, or the snapshot's term if index is
// the snapshot's index. It returns zero if the log does not contain the entry.
func (log *logState) term(index uint64) uint64 {
	if index == log.baseSnapshot.Index {
		return log.baseSnapshot.Term
	}
	entry, ok := log.entry(index)
	if !ok {
		return 0
	}
	return entry.Term
}

func (log *logState) entry(index uint64) (Entry, bool) {
	if index <= log.baseSnapshot.Index || index > log.last() {
		return Entry{}, false
	}
	return log.entries[index-log.baseSnapshot.Index-1], true
}

func (log *logState) append(entry Entry) {
	log.entries = append(log.entries, entry)
	if entry.Kind == EntryMembers {
		log.members, log.membersIndex = entry.Members, entry.Index
	}
}

// truncate removes the entry at index and all later entries.
func (log *logState) truncate(index uint64) {
	log.entries = log.entries[: index-log.baseSnapshot.Index-1 : index-log.baseSnapshot.Index-1]
	log.stable = min(log.stable, index-1)
	log.recomputeMembers()
}

// recomputeMembers sets the membership from the snapshot and the entries in the
// log.
func (log *logState) recomputeMembers() {
	log.members, log.membersIndex = log.baseSnapshot.Members, log.baseSnapshot.Index
	for _, entry := range log.entries {
		if entry.Kind == EntryMembers {
			log.members, log.membersIndex = entry.Members, entry.Index
		}
	}
}

// entriesFrom returns the entries from index on, up to maxEntries entries and
// maxBytes bytes of data. It returns at least one entry if the log has one at
// index, even if that entry exceeds maxBytes.
func (log *logState) entriesFrom(index uint64, maxEntries, maxBytes int) []Entry {
	if index > log.last() {
		return nil
	}
	entries := log.entries[index-log.baseSnapshot.Index-1:]
	size := 0
	for i, entry := range entries {
		size += len(entry.Data)
		if i > 0 && (i >= maxEntries || size > maxBytes) {
			return entries[:i:i]
		}
	}
	return entries[:len(entries):len(entries)]
}

// unstable returns the entries that are not yet persisted.
func (log *logState) unstable() []Entry {
	if log.stable >= log.last() {
		return nil
	}
	return log.entries[log.stable-log.baseSnapshot.Index:]
}

// membersAt returns the membership in effect at index, which must not be below
// the snapshot's index.
func (log *logState) membersAt(index uint64) []Member {
	members := log.baseSnapshot.Members
	for _, entry := range log.entries {
		if entry.Index > index {
			break
		}
		if entry.Kind == EntryMembers {
			members = entry.Members
		}
	}
	return members
}

// compact replaces the entries up to and including index by a snapshot with the
// given data. It does nothing if the current snapshot already covers index.
func (log *logState) compact(index uint64, data []byte) {
	if index <= log.baseSnapshot.Index {
		return
	}
	baseSnapshot := Snapshot{Index: index, Term: log.term(index), Members: log.membersAt(index), Data: data}
	remaining := log.entries[index-log.baseSnapshot.Index:]
	log.entries = append([]Entry(nil), remaining...)
	log.baseSnapshot = baseSnapshot
	log.stable = max(log.stable, index)
}

// reset replaces the entire log by a snapshot.
func (log *logState) reset(snapshot Snapshot) {
	*log = logState{
		baseSnapshot: snapshot,
		stable:       snapshot.Index,
		members:      snapshot.Members,
		membersIndex: snapshot.Index,
	}
}
