package raft

// Compact replaces the log entries up to and including index by a snapshot with
// the given state machine data, and returns the snapshot, which the caller must
// persist. The index must have been applied. If the latest snapshot already covers
// it, Compact changes nothing and returns that snapshot.
func (core *Core) Compact(index uint64, data []byte) (Snapshot, error) {
	if index > core.applied {
		return Snapshot{}, &CorruptError{Reason: "a snapshot beyond what was applied"}
	}
	core.log.compact(index, data)
	return core.log.baseSnapshot, nil
}
