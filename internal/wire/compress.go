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
	// packFrom is the size, in bytes, from which an encoded delta is
	// compressed. A change of some resources stays below it; a whole
	// configuration, which a node passes on to several others over a narrow
	// line, shrinks to a twentieth.
	minCompressBytes = 2 << 10
	// maxDelta bounds a decompressed delta, in bytes: a hundred thousand
	// routes.
	maxDeltaBytes = 32 << 20
)

// Update is a delta in the form in which it travels: its JSON, or that
// compressed.
type Update struct {
	plain      json.RawMessage
	compressed []byte
}

// EncodeDelta writes a delta.
func EncodeDelta(delta rsrc.Delta) Update {
	plain := MustEncode(FromDelta(delta))
	if len(plain) < minCompressBytes {
		return Update{plain: plain}
	}
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		// The level is a constant, and a buffer takes every write.
		panic(fmt.Errorf("the level of compression is invalid: %w", err))
	}
	_, _ = writer.Write(plain)
	_ = writer.Close()
	return Update{compressed: compressed.Bytes()}
}

// Delta reads the update. It returns an error for one that is not well-formed
// or too large.
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

// empty reports whether there is no update.
func (update Update) empty() bool { return len(update.plain) == 0 && len(update.compressed) == 0 }
