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
	}
}

// load opens the data folder and initializes disk, core and store from it.
func (replica *replica) load() error {
	folder, durable, err := disk.Open(replica.folder)
	if err != nil {
		return err
	}
	core, err := raft.New(folder.Identity().ID, durable, raft.DefaultTiming(), replica.random(), replica.now())
	if err != nil {
		return errors.Join(err, folder.Close())
	}
	restored := store.New()
	if durable.Snapshot != nil {
		if err := restored.Restore(durable.Snapshot.Data); err != nil {
			return errors.Join(err, folder.Close())
		}
	}
	if incompleteBytes := folder.TornBytes(); incompleteBytes > 0 {
		replica.log.Info("truncated an incomplete write from the log", "bytes", incompleteBytes)
	}
	replica.disk, replica.core, replica.snapshotIndex = folder, core, core.SnapshotIndex()
	replica.lock.Lock()
	replica.store, replica.applied = restored, core.SnapshotIndex()
	replica.lock.Unlock()
	replica.publishView()
	return nil
}

// reopenDelay is the delay before the data folder is opened again after a failed
// write.
const reopenDelay = 500 * time.Millisecond

// run owns core, disk and store until the context ends. When a write to the disk
// fails, the replica rejects all requests and drops all messages until it can
// load its state from the disk again. Any other error ends run.
func (replica *replica) run(ctx context.Context) error {
	defer func() { _ = replica.disk.Close() }()
	for {
		err := replica.loop(ctx)
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
		replica.log.Info("reopened the data folder", "last", replica.core.LastIndex())
	}
}

// reopen closes the data folder and tries to load it until it succeeds, the context
// ends, or the folder is found to be corrupt.
func (replica *replica) reopen(ctx context.Context) error {
	for {
		if err := replica.disk.Close(); err != nil {
			replica.log.V(1).Info("cannot close the data folder", "error", err.Error())
		}
		replica.rejectFor(ctx, reopenDelay)
		if ctx.Err() != nil {
			return nil
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
			event.reject()
		}
	}
}
