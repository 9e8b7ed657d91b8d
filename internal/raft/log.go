package raft

import "fmt"

// logState is the log in memory: entries after a snapshot.
type logState struct {
	// baseSnapshot is the snapshot the log starts after; its Index may be zero.
	baseSnapshot Snapshot
	// entries have consecutive indexes from base.Index+1.
	entries []Entry
	// stable is the highest index on disk; it may fall when a tail is replaced.
	stable uint64
	// members is the latest membership, set at membersIndex.
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
			return log, &CorruptError{Reason: fmt.Sprintf("entry %d follows entry %d", entry.Index, log.last())}
		}
		log.append(entry)
	}
	log.stable = log.last()
	return log, nil
}

func (log *logState) last() uint64 { return log.baseSnapshot.Index + uint64(len(log.entries)) }

func (log *logState) lastTerm() uint64 { return log.term(log.last()) }

// term returns the term of an entry, or zero for one the log does not hold.
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

// truncate drops the entries from index on.
func (log *logState) truncate(index uint64) {
	log.entries = log.entries[: index-log.baseSnapshot.Index-1 : index-log.baseSnapshot.Index-1]
	log.stable = min(log.stable, index-1)
	log.recomputeMembers()
}

func (log *logState) recomputeMembers() {
	log.members, log.membersIndex = log.baseSnapshot.Members, log.baseSnapshot.Index
	for _, entry := range log.entries {
		if entry.Kind == EntryMembers {
			log.members, log.membersIndex = entry.Members, entry.Index
		}
	}
}

// entriesFrom returns entries starting at index, within both bounds but at least one
// if there is any.
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

func (log *logState) unstable() []Entry {
	if log.stable >= log.last() {
		return nil
	}
	return log.entries[log.stable-log.baseSnapshot.Index:]
}

// membersAt returns the membership as of an index at or above the base.
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

// reset replaces the whole log by a snapshot.
func (log *logState) reset(snapshot Snapshot) {
	*log = logState{
		baseSnapshot: snapshot,
		stable:       snapshot.Index,
		members:      snapshot.Members,
		membersIndex: snapshot.Index,
	}
}
