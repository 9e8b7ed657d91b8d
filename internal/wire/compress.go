package wire

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

const (
	// minCompressBytes is the size, in bytes, from which an encoded delta is
	// compressed. Deltas of a few resources are below it and are sent
	// uncompressed. Compression is for full configurations, which a node sends
	// to several other nodes over a link of low bandwidth: they shrink to a
	// twentieth of their size.
	minCompressBytes = 2 << 10
	// maxDeltaBytes is the maximum size of a decompressed delta, in bytes. It
	// is enough for a hundred thousand routes. Uncompressed deltas are not
	// limited here.
	maxDeltaBytes = 32 << 20
)

// Update is an encoded delta: either plain JSON or compressed JSON.
type Update struct {
	plain      json.RawMessage
	compressed []byte
}

// EncodeDelta encodes a delta and compresses it if its JSON has at least
// minCompressBytes bytes.
func EncodeDelta(delta rsrc.Delta) Update {
	plain := MustEncode(FromDelta(delta))
	if len(plain) < minCompressBytes {
		return Update{plain: plain}
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		// The level is a valid constant.
		panic(fmt.Errorf("invalid compression level: %w", err))
	}
	// Writes to a buffer do not fail.
	_, _ = writer.Write(plain)
	_ = writer.Close()
	return Update{compressed: compressed.Bytes()}
}

// Delta decodes the update. It returns an error if the update is malformed or
// decompresses to more than maxDeltaBytes.
func (update Update) Delta() (rsrc.Delta, error) {
	if len(update.compressed) == 0 {
		return decodeDelta(update.plain)
	}
	reader := flate.NewReader(bytes.NewReader(update.compressed))
	plain, err := io.ReadAll(io.LimitReader(reader, maxDeltaBytes+1))
	if err != nil {
		return rsrc.Delta{}, err
	}
	if len(plain) > maxDeltaBytes {
		return rsrc.Delta{}, fmt.Errorf("the update has more than %d bytes", maxDeltaBytes)
	}
	return decodeDelta(plain)
}

// empty reports whether the update is absent.
func (update Update) empty() bool { return len(update.plain) == 0 && len(update.compressed) == 0 }
