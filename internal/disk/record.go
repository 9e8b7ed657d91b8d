// Package disk keeps a replica's durable state under one data folder: its
// identity, its log and its latest snapshot. What a call has written counts
// once the call has returned, and not before.
package disk

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

const (
	headerBytes    = 8
	maxRecordBytes = 64 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// CorruptError reports a damaged file. The replica must not go on with it: it
// may have promised what the file no longer holds. Its data folder is to be
// moved away; the replica then joins anew and is caught up.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the place and the way out.
func (err *CorruptError) Error() string {
	return fmt.Sprintf("%s is damaged at byte %d (%s): move the data folder away and start again, the replica then joins anew", err.File, err.Offset, err.Reason)
}

// appendRecord frames a payload with its length and checksum.
func appendRecord(buffer, payload []byte) []byte {
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(len(payload)))
	buffer = binary.LittleEndian.AppendUint32(buffer, crc32.Checksum(payload, castagnoli))
	return append(buffer, payload...)
}

// decodeRecord returns the payload at the start of data and the number of bytes
// it takes, or false when there is no whole, undamaged record.
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

// scanRecords calls visit for each record from the start of data and returns
// how many bytes are whole. An undamaged record after a damaged place means
// that synced data was lost, which is an error.
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
