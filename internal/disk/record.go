// Package disk stores a replica's durable state in one data folder: its identity,
// its log and its latest snapshot. Data is durable only once the call that
// writes it has returned without an error.
package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

const (
	// headerBytes is the size of a record's header: the payload's length and
	// checksum, with 4 bytes each.
	headerBytes = 8
	// maxRecordBytes is the maximum size of a record's payload.
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports a damaged file. The replica must not continue with it,
// because it may have cast votes or acknowledged entries that the file no longer
// contains. The operator must move the data folder away; the replica then joins
// the group again as a new member and catches up from the leader.
type CorruptError struct {
	// File is the path of the file.
	File string
	// Offset is the start of the damaged record in the log, and 0 for other
	// files.
	Offset int64
	Reason string
}

// Error returns the file, the offset of the damage, the reason and how to recover.
func (err *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d (%s): move the data folder away and start again, the replica then joins anew", err.File, err.Offset, err.Reason)
}

// appendRecord appends a record to buffer: the payload's length and checksum,
// then the payload.
func appendRecord(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	return append(buffer, payload...)
}

// decodeRecord returns the payload of the record at the start of data and the size
// of the record including its header. It returns false if data does not start with
// a complete, undamaged record.
func decodeRecord(data []byte) (payload []byte, size int, ok bool) {
	if len(data) < headerBytes {
		return nil, 0, false
	}
	length := binary.LittleEndian.Uint32(data)
	if length == 0 || length > maxRecordBytes || int(length) > len(data)-headerBytes {
		return nil, 0, false
	}
	payload = data[headerBytes : headerBytes+int(length)]
	if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(data[4:]) {
		return nil, 0, false
	}
	return payload, headerBytes + int(length), true
}

// scanRecords calls visit for each record from the start of data and returns the
// total size of these records. Scanning stops at the first incomplete or damaged
// record. If an undamaged record follows it, the cause cannot be an incomplete last
// write, so synced data has been damaged, and scanRecords returns a CorruptError.
// It also returns a CorruptError if visit fails.
func scanRecords(file string, data []byte, visit func(payload []byte) error) (int64, error) {
	offset := 0
	for offset < len(data) {
		payload, size, ok := decodeRecord(data[offset:])
		if !ok {
			break
		}
		if err := visit(payload); err != nil {
			return 0, &CorruptError{File: file, Offset: int64(offset), Reason: err.Error()}
		}
		offset += size
	}
	for probe := offset + 1; probe < len(data); probe++ {
		if _, _, ok := decodeRecord(data[probe:]); ok {
			return 0, &CorruptError{File: file, Offset: int64(offset), Reason: "whole records follow a damaged one"}
		}
	}
	return int64(offset), nil
}
