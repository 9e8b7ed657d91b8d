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

// refuse answers an event that nobody will look at.
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

// load opens the data folder and starts from what it holds.
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
	if torn := folder.TornBytes(); torn > 0 {
		replica.log.Info("cut an unfinished write from the log", "bytes", torn)
	}
	replica.disk, replica.core, replica.snapshotIndex = folder, core, core.SnapshotIndex()
	replica.lock.Lock()
	replica.store, replica.applied = restored, core.SnapshotIndex()
	replica.lock.Unlock()
	replica.publishView()
	return nil
}

// reopenPause is the pause before a disk that refused a write is tried again.
const reopenDelay = 500 * time.Millisecond

// run owns core, disk and store until the context ends. When the disk refuses
// a write the replica answers nobody, waits, and starts again from what the
// disk holds; any other fault ends it.
func (replica *replica) run(ctx context.Context) error {
	defer func() { _ = replica.disk.Close() }()
	for {
		err := replica.loop(ctx)
		replica.failPending()
		var refused *disk.WriteError
		if !errors.As(err, &refused) {
			return err
		}
		replica.log.Error(err, "the disk refuses writes; this replica stands by")
		replica.stats.Count("vp_disk_refusals_total", 1)
		if err := replica.reopen(ctx); err != nil || ctx.Err() != nil {
			return err
		}
		replica.log.Info("the data folder is open again", "last", replica.core.LastIndex())
	}
}

// reopen loads the data folder again once the disk takes writes.
func (replica *replica) reopen(ctx context.Context) error {
	for {
		if err := replica.disk.Close(); err != nil {
			replica.log.V(1).Info("closing the data folder", "error", err.Error())
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
		replica.log.V(1).Info("the data folder cannot be opened yet", "error", err.Error())
	}
}

// refuseFor drops messages and refuses requests for a while.
func (replica *replica) rejectFor(ctx context.Context, pause time.Duration) {
	timeout := time.After(pause)
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
