package disk

import (
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/google/uuid"
	"github.com/gravitational/trace"
	"golang.org/x/sys/unix"

	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// The names of the files in a data folder.
const (
	identityFile = "identity.json"
	logFile      = "log"
	snapshotFile = "snapshot"
	lockFile     = "lock"
)

// The log and the snapshot contain the keys of accounts, so that only the user of the
// process may read them.
const (
	folderMode = 0o700
	fileMode   = 0o600
)

// WriteError reports that a write or sync failed, for example because the disk is
// full or faulty. Unless LogIntact is set, the state on disk is unknown until the folder
// is opened again.
type WriteError struct {
	// File is the file's name in the data folder.
	File string
	Err  error
	// LogIntact is true if the snapshot or the log could not be replaced, and the log is
	// as it was before: Append may be called again.
	LogIntact bool
}

// Error returns the file and the cause.
func (err *WriteError) Error() string { return "writing " + err.File + ": " + err.Err.Error() }

// Unwrap returns the cause.
func (err *WriteError) Unwrap() error { return err.Err }

// IsFull reports whether an error means that the disk, the quota of the user or the limit
// on the size of a file has no room left.
func IsFull(err error) bool {
	return errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EDQUOT) || errors.Is(err, unix.EFBIG)
}

// Identity identifies the replica that owns a data folder. It is created with the
// folder and never changes.
type Identity struct {
	// ID is unique to this data folder and is never reused.
	ID   string
	Name string
}

// Disk is an open data folder. While it is open, the folder is locked and cannot be
// opened again by this or another process. Disk is not safe for concurrent use.
type Disk struct {
	system   System
	folder   string
	identity Identity
	lock     *os.File
	log      *os.File
	// logSize is the total size of the log's complete records in bytes.
	logSize int64
	// tornBytes is the number of bytes that were truncated from the end of the
	// log when it was opened.
	tornBytes int64
}

// Exists reports whether a folder contains a replica's identity.
func Exists(folder string) bool {
	_, err := os.Stat(filepath.Join(folder, identityFile))
	return err == nil
}

// Create creates a data folder with the given identity and with the hard state and
// entries of initial. It does not write a snapshot.
func Create(folder string, identity Identity, initial raft.DurableState) error {
	system := OS{}
	if Exists(folder) {
		return trace.AlreadyExists("data folder %s already contains a replica", folder)
	}
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	records := encodeRecords(&initial.HardState, initial.Entries)
	if err := writeSynced(system, folder, logFile, records); err != nil {
		return err
	}
	// The identity is written last: a folder without it is treated as empty.
	return writeSynced(system, folder, identityFile, wire.MustEncode(wire.Identity{ID: identity.ID, Name: identity.Name}))
}

// NewID returns a new unique replica id that starts with name.
func NewID(name string) string { return name + "-" + uuid.NewString()[:8] }

// Open locks a data folder, truncates an incomplete write at the end of its log
// and returns the durable state. The folder is changed through system.
func Open(folder string, system System) (*Disk, raft.DurableState, error) {
	disk := &Disk{system: system, folder: folder}
	if err := disk.lockFolder(); err != nil {
		return nil, raft.DurableState{}, err
	}
	durable, err := disk.load()
	if err != nil {
		return nil, raft.DurableState{}, errors.Join(err, disk.Close())
	}
	return disk, durable, nil
}

// Identity returns the identity of the replica that owns the folder.
func (disk *Disk) Identity() Identity { return disk.identity }

// TornBytes returns the number of bytes of an incomplete write that Open truncated
// from the log.
func (disk *Disk) TornBytes() int64 { return disk.tornBytes }

// LogSize returns the size of the log in bytes.
func (disk *Disk) LogSize() int64 { return disk.logSize }

func (disk *Disk) path(name string) string { return filepath.Join(disk.folder, name) }

// lockFolder takes an exclusive lock on the folder. It fails at once if the folder
// is already open in this or another process.
func (disk *Disk) lockFolder() error {
	file, err := os.OpenFile(disk.path(lockFile), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return errors.Join(trace.AlreadyExists("the data folder %s is in use by another process", disk.folder), file.Close())
	}
	disk.lock = file
	return nil
}

// load reads the identity, the snapshot and the log, and opens the log for
// appending.
func (disk *Disk) load() (raft.DurableState, error) {
	var durable raft.DurableState
	if err := disk.loadIdentity(); err != nil {
		return durable, err
	}
	snapshot, err := disk.loadSnapshot()
	if err != nil {
		return durable, err
	}
	durable.Snapshot = snapshot
	data, err := os.ReadFile(disk.path(logFile))
	if err != nil {
		return durable, trace.ConvertSystemError(err)
	}
	replay := logReplay{durable: durable}
	if disk.logSize, err = scanRecords(disk.path(logFile), data, replay.add); err != nil {
		return durable, err
	}
	durable = replay.durable
	disk.tornBytes = int64(len(data)) - disk.logSize
	if replay.diverged {
		// Entries that are appended after those of the history that was given up
		// would be dropped with it when the log is read again.
		records := encodeRecords(&durable.HardState, nil)
		if err := writeSynced(disk.system, disk.folder, logFile, records); err != nil {
			return durable, &WriteError{File: logFile, Err: err}
		}
		disk.logSize = int64(len(records))
	}
	if err := disk.openLog(); err != nil {
		return durable, err
	}
	// A failed sync of the folder, after a file was replaced, is not reported again.
	return durable, syncFolder(disk.system, disk.folder)
}

func (disk *Disk) loadIdentity() error {
	data, err := os.ReadFile(disk.path(identityFile))
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	var record wire.Identity
	if err := json.Unmarshal(data, &record); err != nil || record.ID == "" {
		return &CorruptError{File: disk.path(identityFile), Reason: "no identity"}
	}
	disk.identity = Identity(record)
	return nil
}

// loadSnapshot returns the snapshot, or nil if there is none.
func (disk *Disk) loadSnapshot() (*raft.Snapshot, error) {
	data, err := os.ReadFile(disk.path(snapshotFile))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	payload, size, ok := decodeRecord(data)
	if !ok || size != len(data) {
		return nil, &CorruptError{File: disk.path(snapshotFile), Reason: "checksum"}
	}
	var record wire.Snapshot
	if err := json.Unmarshal(payload, &record); err != nil {
		return nil, &CorruptError{File: disk.path(snapshotFile), Reason: err.Error()}
	}
	snapshot := record.Domain()
	return &snapshot, nil
}

// logReplay is the state read so far.
type logReplay struct {
	durable raft.DurableState
	// diverged is true if the log has another entry at the index of the snapshot. The
	// process crashed after it replaced the snapshot and before it replaced the log,
	// whose entries after that index belong to a history that was given up.
	diverged bool
}

// add applies one log record to the state read so far. An entry replaces all earlier
// entries whose index is equal or higher.
func (replay *logReplay) add(payload []byte) error {
	durable := &replay.durable
	var record wire.LogRecord
	if err := json.Unmarshal(payload, &record); err != nil {
		return err
	}
	if record.Hard != nil {
		durable.HardState = raft.HardState(*record.Hard)
	}
	if record.Entry == nil {
		return nil
	}
	entry := record.Entry.Domain()
	if durable.Snapshot != nil && entry.Index <= durable.Snapshot.Index {
		replay.diverged = entry.Index == durable.Snapshot.Index && entry.Term != durable.Snapshot.Term
	}
	if replay.diverged {
		durable.Entries = nil
		return nil
	}
	keep := len(durable.Entries)
	for keep > 0 && durable.Entries[keep-1].Index >= entry.Index {
		keep--
	}
	durable.Entries = durable.Entries[:keep]
	if durable.Snapshot != nil && entry.Index <= durable.Snapshot.Index+1 {
		// The earlier entries are covered by the snapshot. They are dropped,
		// because after a crash between replacing the snapshot and replacing the
		// log there may be a gap between the earlier entries and this entry.
		durable.Entries, keep = nil, 0
	}
	if keep > 0 && durable.Entries[keep-1].Index != entry.Index-1 {
		return fmt.Errorf("the log is not consecutive: entry %d follows entry %d", entry.Index, durable.Entries[keep-1].Index)
	}
	durable.Entries = append(durable.Entries, entry)
	return nil
}

// openLog opens the log for appending and truncates it to its complete records.
func (disk *Disk) openLog() error {
	file, err := os.OpenFile(disk.path(logFile), os.O_RDWR, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	disk.log = file
	return trace.ConvertSystemError(disk.Rewind())
}

func encodeRecords(hardState *raft.HardState, entries []raft.Entry) []byte {
	var buffer []byte
	if hardState != nil {
		record := wire.HardState(*hardState)
		buffer = appendRecord(buffer, wire.MustEncode(wire.LogRecord{Hard: &record}))
	}
	for _, entry := range entries {
		record := wire.FromEntry(entry)
		buffer = appendRecord(buffer, wire.MustEncode(wire.LogRecord{Entry: &record}))
	}
	return buffer
}

// Append writes the hard state, if it is not nil, and the entries to the log with
// one write and one sync. After a WriteError the state of the log is unknown: Rewind must
// succeed, and the folder must be opened again.
func (disk *Disk) Append(hardState *raft.HardState, entries []raft.Entry) error {
	buffer := encodeRecords(hardState, entries)
	if len(buffer) == 0 {
		return nil
	}
	if _, err := disk.system.Write(disk.log, buffer); err != nil {
		return &WriteError{File: logFile, Err: err}
	}
	if err := disk.system.Sync(disk.log); err != nil {
		return &WriteError{File: logFile, Err: err}
	}
	disk.logSize += int64(len(buffer))
	return nil
}

// SaveSnapshot atomically replaces the snapshot, and then replaces the log by the
// hard state and the remaining entries after the snapshot. If the error is a WriteError
// with LogIntact, and the snapshot is one of this replica's own log, the old log is
// complete with and without the new snapshot.
func (disk *Disk) SaveSnapshot(snapshot raft.Snapshot, hardState raft.HardState, remaining []raft.Entry) error {
	payload := wire.MustEncode(wire.FromSnapshot(snapshot))
	if err := writeSynced(disk.system, disk.folder, snapshotFile, appendRecord(nil, payload)); err != nil {
		return &WriteError{File: snapshotFile, Err: err, LogIntact: true}
	}
	records := encodeRecords(&hardState, remaining)
	if err := writeSynced(disk.system, disk.folder, logFile, records); err != nil {
		return &WriteError{File: logFile, Err: err, LogIntact: disk.appendsToLog()}
	}
	replaced := disk.log
	disk.log = nil
	if err := replaced.Close(); err != nil {
		return &WriteError{File: logFile, Err: err}
	}
	disk.logSize = int64(len(records))
	if err := disk.openLog(); err != nil {
		return &WriteError{File: logFile, Err: err}
	}
	return nil
}

// probeBytes is the room that Probe asks for: more than the usual change of a large
// configuration takes.
const probeBytes = 64 << 10

// Probe checks that the disk has room for the log to grow. A disk that is nearly full
// refuses large writes and still accepts small ones, such as a vote. Probe writes zeros,
// which Open truncates if the process ends meanwhile, and removes them.
func (disk *Disk) Probe() error {
	_, err := disk.system.Write(disk.log, make([]byte, probeBytes))
	if err == nil {
		err = disk.system.Sync(disk.log)
	}
	// Zeros that were written would take the room that is left.
	if err = errors.Join(err, disk.Rewind()); err != nil {
		return &WriteError{File: logFile, Err: err}
	}
	return nil
}

// Rewind truncates the log to the records that are known to be synced and sets the offset
// of the next write. It must succeed after a failed Append before the folder is opened
// again in this process: records of a failed sync may be readable and still not durable,
// and a later sync does not report that.
func (disk *Disk) Rewind() error {
	if disk.log == nil {
		return nil
	}
	if err := disk.system.Truncate(disk.log, disk.logSize); err != nil {
		return err
	}
	if _, err := disk.log.Seek(disk.logSize, 0); err != nil {
		return err
	}
	return disk.system.Sync(disk.log)
}

// appendsToLog reports whether the open log is the one in the folder.
func (disk *Disk) appendsToLog() bool {
	opened, err := disk.log.Stat()
	if err != nil {
		return false
	}
	current, err := os.Stat(disk.path(logFile))
	return err == nil && os.SameFile(opened, current)
}

// Close closes the log and releases the lock on the folder.
func (disk *Disk) Close() error {
	var errs []error
	if disk.log != nil {
		errs = append(errs, disk.log.Close())
	}
	return errors.Join(append(errs, disk.lock.Close())...)
}

// writeSynced atomically replaces a file: after a crash, the file has either its
// complete old contents or its complete new contents.
func writeSynced(system System, folder, name string, data []byte) error {
	temporary := filepath.Join(folder, name+".new")
	file, err := system.Create(temporary)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = system.Write(file, data)
	if err == nil {
		err = system.Sync(file)
	}
	if err = errors.Join(err, file.Close()); err != nil {
		// A part of the file would take the room that the log needs.
		return trace.ConvertSystemError(errors.Join(err, os.Remove(temporary)))
	}
	if err := system.Rename(temporary, filepath.Join(folder, name)); err != nil {
		return trace.ConvertSystemError(err)
	}
	return syncFolder(system, folder)
}

// syncFolder makes a rename in the folder durable.
func syncFolder(system System, folder string) error {
	file, err := os.Open(folder)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.ConvertSystemError(errors.Join(system.Sync(file), file.Close()))
}
