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
	packFrom = 2 << 10
	// maxDelta bounds a decompressed delta, in bytes: a hundred thousand
	// routes.
	maxDelta = 32 << 20
)

// Update is a delta in the form in which it travels: its JSON, or that
// compressed.
type Update struct {
	plain  json.RawMessage
	packed []byte
}

// EncodeDelta writes a delta.
func EncodeDelta(delta rsrc.Delta) Update {
	plain := Must(FromDelta(delta))
	if len(plain) < packFrom {
		return Update{plain: plain}
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		// The level is a constant, and a buffer takes every write.
		panic(fmt.Errorf("the level of compression is invalid: %w", err))
	}
	_, _ = writer.Write(plain)
	_ = writer.Close()
	return Update{packed: packed.Bytes()}
}

// Delta reads the update. It returns an error for one that is not well-formed
// or too large.
func (update Update) Delta() (rsrc.Delta, error) {
	if len(update.packed) == 0 {
		return decodeDelta(update.plain)
	}
	reader := flate.NewReader(bytes.NewReader(update.packed))
	plain, err := io.ReadAll(io.LimitReader(reader, maxDelta+1))
	if err != nil {
		return rsrc.Delta{}, err
	}
	if len(plain) > maxDelta {
		return rsrc.Delta{}, fmt.Errorf("the update has more than %d bytes", maxDelta)
	}
	return decodeDelta(plain)
}

// empty reports whether there is no update.
func (update Update) empty() bool { return len(update.plain) == 0 && len(update.packed) == 0 }
