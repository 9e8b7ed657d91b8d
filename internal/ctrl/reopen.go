package ctrl

import (
	"context"
	"errors"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/disk"
	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/store"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// reject answers an event that will not be processed. Messages are dropped.
func (event event) reject() {
	switch {
	case event.propose != nil:
		event.propose.answer <- proposalAnswer{err: ErrUnavailable}
	case event.read != nil:
		event.read.answer <- readAnswer{err: ErrUnavailable}
	case event.join != nil:
		event.join.answer <- wire.JoinAnswer{}
	case event.leave != nil:
		event.leave.answer <- wire.LeaveAnswer{Refused: true}
	}
}

// load opens the data folder and initializes disk, core and store from it. If the
// replica had a store, the disk must have room again.
func (replica *replica) load() error {
	folder, durable, err := disk.Open(replica.folder, replica.system)
	if err != nil {
		return err
	}
	if replica.store != nil {
		// Without this check, a replica whose disk has room for a vote but not for a
		// change would be elected again and again: it starts its pre-votes before the
		// election timeouts of the others.
		if err := folder.Probe(); err != nil {
			return errors.Join(err, folder.Close())
		}
	}
	core, err := raft.New(folder.Identity().ID, durable, raft.DefaultTiming(), replica.random(), replica.now())
	if err != nil {
		return errors.Join(err, folder.Close())
	}
	restored, applied := replica.store, replica.applied
	if restored == nil || !core.Resume(applied) {
		restored, applied = store.New(), core.SnapshotIndex()
		if durable.Snapshot != nil {
			if err := restored.Restore(durable.Snapshot.Data); err != nil {
				return errors.Join(err, folder.Close())
			}
		}
	}
	if incompleteBytes := folder.TornBytes(); incompleteBytes > 0 {
		replica.log.Info("truncated an incomplete write from the log", "bytes", incompleteBytes)
	}
	replica.disk, replica.core, replica.snapshotIndex = folder, core, core.SnapshotIndex()
	replica.lock.Lock()
	replica.store, replica.applied = restored, applied
	replica.lock.Unlock()
	replica.publishView()
	return nil
}

// reopenDelay is the delay before the data folder is opened again after a failed
// write.
const reopenDelay = 500 * time.Millisecond

// run owns core, disk and store until the context ends. When a write to the disk
// fails, the replica rejects all requests and drops all messages until the disk has
// room again and it can load its state from there. Any other error ends run.
func (replica *replica) run(ctx context.Context) error {
	defer func() { _ = replica.disk.Close() }()
	for {
		err := replica.loop(ctx)
		replica.suspended.Store(true)
		replica.publishLeader(replica.core.Term(), raft.Member{})
		replica.failPending()
		var writeError *disk.WriteError
		if !errors.As(err, &writeError) {
			return err
		}
		replica.log.Error(err, "write to the data folder failed; rejecting requests until it can be reopened")
		replica.stats.Count("vp_disk_refusals_total", 1)
		if err := replica.reopen(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		replica.suspended.Store(false)
		replica.log.Info("reopened the data folder", "last", replica.core.LastIndex())
	}
}

// reopen closes the data folder and tries to load it until it succeeds, the context
// ends, or the folder is found to be corrupt.
func (replica *replica) reopen(ctx context.Context) error {
	for rewound := false; ; {
		replica.rejectFor(ctx, reopenDelay)
		if ctx.Err() != nil {
			return nil
		}
		if !rewound {
			if err := replica.disk.Rewind(); err != nil {
				replica.log.V(1).Info("cannot truncate the log yet", "error", err.Error())
				continue
			}
			rewound = true
			if err := replica.disk.Close(); err != nil {
				replica.log.V(1).Info("cannot close the data folder", "error", err.Error())
			}
		}
		err := replica.load()
		var corrupt *disk.CorruptError
		if err == nil || errors.As(err, &corrupt) {
			return err
		}
		replica.log.V(1).Info("cannot reopen the data folder yet", "error", err.Error())
	}
}

// rejectFor drops messages and rejects requests for the given duration, or until
// the context ends.
func (replica *replica) rejectFor(ctx context.Context, duration time.Duration) {
	timeout := time.After(duration)
	for {
		select {
		case <-ctx.Done():
			return
		case <-timeout:
			return
		case event := <-replica.inbox:
			if message := event.message; message != nil && message.Term >= replica.view.Load().term &&
				(raft.MessageKind(message.Kind) == raft.MessageAppend || raft.MessageKind(message.Kind) == raft.MessageSnapshot) {
				replica.publishLeader(message.Term, raft.Member{ID: message.From, Address: message.Address})
			}
			event.reject()
		}
	}
}

// publishLeader publishes the view of a replica that does not take part, so that it does
// not act as a leader and can forward changes to the one that is known. It wakes readers,
// which cannot wait for entries of the log now.
func (replica *replica) publishLeader(term uint64, leader raft.Member) {
	view := *replica.view.Load()
	view.role, view.term, view.leader, view.leaderAlive = raft.RoleFollower, term, leader, false
	replica.view.Store(&view)
	replica.lock.Lock()
	defer replica.lock.Unlock()
	replica.changed.Broadcast()
}
