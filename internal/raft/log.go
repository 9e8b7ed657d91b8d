package raft

import "fmt"

// logState is the log in memory: entries after a snapshot.
type logState struct {
	// base is the snapshot the log starts after; its Index may be zero.
	base Snapshot
	// entries have consecutive indexes from base.Index+1.
	entries []Entry
	// stable is the highest index on disk; it may fall when a tail is replaced.
	stable uint64
	// members is the latest membership, set at membersIndex.
	members      []Member
	membersIndex uint64
}

func newLogState(durable Durable) (logState, error) {
	log := logState{}
	if durable.Snapshot != nil {
		log.base = *durable.Snapshot
		log.members, log.membersIndex = log.base.Members, log.base.Index
	}
	for _, entry := range durable.Entries {
		if entry.Index <= log.base.Index {
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

func (log *logState) last() uint64 { return log.base.Index + uint64(len(log.entries)) }

func (log *logState) lastTerm() uint64 { return log.term(log.last()) }

// term returns the term of an entry, or zero for one the log does not hold.
func (log *logState) term(index uint64) uint64 {
	if index == log.base.Index {
		return log.base.Term
	}
	entry, ok := log.entry(index)
	if !ok {
		return 0
	}
	return entry.Term
}

func (log *logState) entry(index uint64) (Entry, bool) {
	if index <= log.base.Index || index > log.last() {
		return Entry{}, false
	}
	return log.entries[index-log.base.Index-1], true
}

func (log *logState) append(entry Entry) {
	log.entries = append(log.entries, entry)
	if entry.Kind == EntryMembers {
		log.members, log.membersIndex = entry.Members, entry.Index
	}
}

// truncate drops the entries from index on.
func (log *logState) truncate(index uint64) {
	log.entries = log.entries[: index-log.base.Index-1 : index-log.base.Index-1]
	log.stable = min(log.stable, index-1)
	log.findMembers()
}

func (log *logState) findMembers() {
	log.members, log.membersIndex = log.base.Members, log.base.Index
	for _, entry := range log.entries {
		if entry.Kind == EntryMembers {
			log.members, log.membersIndex = entry.Members, entry.Index
		}
	}
}

// from returns entries starting at index, within both bounds but at least one
// if there is any.
func (log *logState) from(index uint64, maxEntries, maxBytes int) []Entry {
	if index > log.last() {
		return nil
	}
	entries := log.entries[index-log.base.Index-1:]
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
	return log.entries[log.stable-log.base.Index:]
}

// membersAt returns the membership as of an index at or above the base.
func (log *logState) membersAt(index uint64) []Member {
	members := log.base.Members
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
	if index <= log.base.Index {
		return
	}
	base := Snapshot{Index: index, Term: log.term(index), Members: log.membersAt(index), Data: data}
	rest := log.entries[index-log.base.Index:]
	log.entries = append([]Entry(nil), rest...)
	log.base = base
	log.stable = max(log.stable, index)
}

// reset replaces the whole log by a snapshot.
func (log *logState) reset(snapshot Snapshot) {
	*log = logState{
		base:         snapshot,
		stable:       snapshot.Index,
		members:      snapshot.Members,
		membersIndex: snapshot.Index,
	}
}
