package ctrl

import (
	"context"
	"errors"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/disk"
	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// processReady persists, sends and applies the output of the Raft core until there
// is none left. It then updates the view and takes a snapshot if one is due.
func (replica *replica) processReady(ctx context.Context) error {
	replica.core.Flush(replica.now())
	var reads []raft.ReadResult
	for {
		ready := replica.core.Ready()
		if ready.Empty() {
			break
		}
		if err := replica.persist(ready); err != nil {
			return err
		}
		replica.send(ctx, ready.Messages)
		if err := replica.apply(ready); err != nil {
			return err
		}
		replica.core.Advance(replica.now(), ready)
		reads = append(reads, ready.Reads...)
	}
	// Whoever waits for a read may rely on a view that is not older.
	replica.publishView()
	replica.answerReads(reads)
	if replica.core.Role() != raft.RoleLeader {
		// The entries may be replaced, or covered by a snapshot, so that nothing is
		// applied at their indexes.
		replica.failPending()
	}
	return replica.compact()
}

// persist writes a received snapshot, the hard state and new entries to disk. It
// must be called before the messages are sent.
func (replica *replica) persist(ready raft.Ready) error {
	if ready.ReceivedSnapshot != nil {
		// The log file is written anew, so the term and the vote must be written even
		// if they have not changed.
		return replica.disk.SaveSnapshot(*ready.ReceivedSnapshot, replica.core.HardState(), ready.Entries)
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	replica.stats.Count("vp_log_syncs_total", 1)
	replica.stats.Count("vp_log_entries_total", len(ready.Entries))
	return replica.disk.Append(ready.HardState, ready.Entries)
}

// send sends messages to other replicas. Messages to replicas with an unknown
// address are dropped.
func (replica *replica) send(ctx context.Context, messages []raft.Message) {
	for _, message := range messages {
		address := replica.addressOf(message.To)
		if address == "" {
			continue
		}
		encoded := wire.FromRaftMessage(message)
		encoded.Address = replica.address
		replica.stats.Count("vp_raft_messages_total", 1)
		replica.caller.Post(ctx, address, methodRaft, encoded)
	}
}

// addressOf returns the address of a replica, or "" if it is unknown. The address
// in the membership, which is durable, takes precedence over the address in the
// last message from the replica.
func (replica *replica) addressOf(id string) string {
	for _, member := range replica.core.Members() {
		if member.ID == id {
			return member.Address
		}
	}
	return replica.lastAddresses[id]
}

// apply applies a received snapshot and committed entries, and then passes a
// changed configuration to onApply.
func (replica *replica) apply(ready raft.Ready) error {
	if ready.ReceivedSnapshot == nil && len(ready.Committed) == 0 {
		return nil
	}
	before := replica.store.Config()
	if err := replica.applyToStore(ready); err != nil {
		return err
	}
	if config := replica.store.Config(); config != before {
		replica.onApply(config)
	}
	return nil
}

// applyToStore takes the lock and applies a received snapshot and committed entries
// to the store.
func (replica *replica) applyToStore(ready raft.Ready) error {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	defer replica.changed.Broadcast()
	if ready.ReceivedSnapshot != nil {
		if err := replica.store.Restore(ready.ReceivedSnapshot.Data); err != nil {
			return err
		}
		replica.applied = ready.ReceivedSnapshot.Index
		replica.snapshotIndex = ready.ReceivedSnapshot.Index
	}
	for _, entry := range ready.Committed {
		if err := replica.applyEntry(entry); err != nil {
			return err
		}
		replica.applied = entry.Index
	}
	return nil
}

// applyEntry applies an entry and answers the proposal that waits for its index.
// The answer is ErrUnavailable if another entry has taken that index.
func (replica *replica) applyEntry(entry raft.Entry) error {
	var answer proposalAnswer
	if entry.Kind == raft.EntryCommand {
		result, err := replica.store.Apply(entry.Index, entry.Data)
		if err != nil {
			return err
		}
		answer.result = result
	}
	proposal, ok := replica.pending[entry.Index]
	if !ok {
		return nil
	}
	delete(replica.pending, entry.Index)
	if proposal.term != entry.Term || entry.Kind != raft.EntryCommand {
		answer = proposalAnswer{err: ErrUnavailable}
	}
	proposal.answer <- answer
	return nil
}

// answerReads answers the read requests with the results of the Raft core.
func (replica *replica) answerReads(results []raft.ReadResult) {
	for _, result := range results {
		readRequest, ok := replica.reads[result.Token]
		if !ok {
			continue
		}
		delete(replica.reads, result.Token)
		if result.OK {
			readRequest.answer <- readAnswer{index: result.Index}
		} else {
			readRequest.answer <- readAnswer{err: ErrUnavailable}
		}
	}
}

// failPending answers all pending proposals and reads with ErrUnavailable, because
// their outcome is unknown to this replica.
func (replica *replica) failPending() {
	for index, proposal := range replica.pending {
		delete(replica.pending, index)
		proposal.answer <- proposalAnswer{err: ErrUnavailable}
	}
	for token, readRequest := range replica.reads {
		delete(replica.reads, token)
		readRequest.answer <- readAnswer{err: ErrUnavailable}
	}
}

// snapshotRetry is the delay after a snapshot that the disk refused. It bounds the work of
// encoding a large configuration while there is no room.
const snapshotRetry = time.Second

// compact takes a snapshot if at least snapshotInterval entries were applied since
// the last one. If the disk has no room for it and the log is intact, the replica goes on
// without it and tries again later.
func (replica *replica) compact() error {
	now := replica.now()
	if replica.applied < replica.snapshotIndex+replica.snapshotInterval || now.Before(replica.nextSnapshot) {
		return nil
	}
	snapshot, err := replica.core.Compact(replica.applied, replica.store.Snapshot())
	if err != nil {
		return err
	}
	var rest []raft.Entry
	for index := snapshot.Index + 1; index <= replica.core.LastIndex(); index++ {
		entry, _ := replica.core.Entry(index)
		rest = append(rest, entry)
	}
	replica.stats.Count("vp_snapshots_total", 1)
	err = replica.disk.SaveSnapshot(snapshot, replica.core.HardState(), rest)
	var writeError *disk.WriteError
	if errors.As(err, &writeError) && writeError.LogIntact {
		replica.stats.Count("vp_disk_refusals_total", 1)
		if replica.nextSnapshot.IsZero() {
			replica.log.Error(err, "cannot write a snapshot; the log grows until it can be written")
		}
		replica.nextSnapshot = now.Add(snapshotRetry)
		return nil
	}
	replica.snapshotIndex, replica.nextSnapshot = snapshot.Index, time.Time{}
	return err
}
