package ctrl

import (
	"context"

	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// settle persists, sends and applies until nothing is left to do.
func (replica *replica) settle(ctx context.Context) error {
	replica.core.Flush(replica.now())
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
		replica.answerReads(ready.Reads)
	}
	replica.publishView()
	return replica.compact()
}

func (replica *replica) persist(ready raft.Ready) error {
	if ready.ReceivedSnapshot != nil {
		hard := raft.HardState{Term: replica.core.Term()}
		if ready.HardState != nil {
			hard = *ready.HardState
		}
		return replica.disk.SaveSnapshot(*ready.ReceivedSnapshot, hard, ready.Entries)
	}
	if ready.HardState == nil && len(ready.Entries) == 0 {
		return nil
	}
	replica.stats.Count("vp_log_syncs_total", 1)
	replica.stats.Count("vp_log_entries_total", len(ready.Entries))
	return replica.disk.Append(ready.HardState, ready.Entries)
}

func (replica *replica) send(ctx context.Context, messages []raft.Message) {
	for _, message := range messages {
		address := replica.addressOf(message.To)
		if address == "" {
			continue
		}
		written := wire.FromRaftMessage(message)
		written.Address = replica.address
		replica.stats.Count("vp_raft_messages_total", 1)
		replica.caller.Post(ctx, address, methodRaft, written)
	}
}

// addressOf prefers the membership, which is durable, over hearsay.
func (replica *replica) addressOf(id string) string {
	for _, member := range replica.core.Members() {
		if member.ID == id {
			return member.Address
		}
	}
	return replica.addresses[id]
}

func (replica *replica) apply(ready raft.Ready) error {
	if ready.ReceivedSnapshot == nil && len(ready.Committed) == 0 {
		return nil
	}
	before := replica.store.Config()
	if err := replica.applyLocked(ready); err != nil {
		return err
	}
	if config := replica.store.Config(); config != before {
		replica.onApply(config)
	}
	return nil
}

func (replica *replica) applyLocked(ready raft.Ready) error {
	replica.lock.Lock()
	defer replica.lock.Unlock()
	defer replica.changed.Broadcast()
	if ready.ReceivedSnapshot != nil {
		if err := replica.store.Restore(ready.ReceivedSnapshot.Data); err != nil {
			return err
		}
		replica.applied = ready.ReceivedSnapshot.Index
		replica.lastTaken = ready.ReceivedSnapshot.Index
	}
	for _, entry := range ready.Committed {
		if err := replica.applyEntry(entry); err != nil {
			return err
		}
		replica.applied = entry.Index
	}
	return nil
}

func (replica *replica) applyEntry(entry raft.Entry) error {
	var answer proposalAnswer
	if entry.Kind == raft.EntryCommand {
		result, err := replica.store.Apply(entry.Index, entry.Data)
		if err != nil {
			return err
		}
		answer.result = result
	}
	waiter, ok := replica.waiting[entry.Index]
	if !ok {
		return nil
	}
	delete(replica.waiting, entry.Index)
	if waiter.term != entry.Term || entry.Kind != raft.EntryCommand {
		answer = proposalAnswer{err: ErrUnavailable}
	}
	waiter.answer <- answer
	return nil
}

func (replica *replica) answerReads(results []raft.ReadResult) {
	for _, result := range results {
		reading, ok := replica.reads[result.Token]
		if !ok {
			continue
		}
		delete(replica.reads, result.Token)
		if result.OK {
			reading.answer <- readAnswer{index: result.Index}
		} else {
			reading.answer <- readAnswer{err: ErrUnavailable}
		}
	}
}

// abandon tells those that wait that the outcome is not known here.
func (replica *replica) abandon() {
	for index, waiter := range replica.waiting {
		delete(replica.waiting, index)
		waiter.answer <- proposalAnswer{err: ErrUnavailable}
	}
	for token, reading := range replica.reads {
		delete(replica.reads, token)
		reading.answer <- readAnswer{err: ErrUnavailable}
	}
}

// compact takes a snapshot when enough entries were applied since the last.
func (replica *replica) compact() error {
	if replica.applied < replica.lastTaken+replica.every {
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
	replica.lastTaken = snapshot.Index
	replica.stats.Count("vp_snapshots_total", 1)
	return replica.disk.SaveSnapshot(snapshot, replica.core.HardState(), rest)
}
