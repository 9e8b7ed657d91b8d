package quota

import "io"

const (
	// FreeBytes is the size up to which a body takes nothing from the budget.
	// Such bodies are bounded by the number of calls in progress.
	FreeBytes = 16 << 10
	// growStep is the smallest number of bytes that a meter takes at once.
	growStep = 64 << 10
)

// Meter counts the bytes of one body while they are read and takes their memory
// from a hold. Buffers that grow with a body double in size, so a meter does too.
// It is not safe for concurrent use.
type Meter struct {
	reader io.Reader
	hold   *Hold
	// read is the number of bytes of the body so far, taken the number that the
	// hold has been charged for.
	read  int64
	taken int64
}

// NewMeter returns a meter that reads from a connection. Without Start it only
// passes the bytes on.
func NewMeter(reader io.Reader) *Meter { return &Meter{reader: reader} }

// Start begins a body that is charged to the hold, which may be nil. A length that
// is known in advance is taken at once; otherwise it is negative.
func (meter *Meter) Start(hold *Hold, length int) error {
	meter.hold, meter.read, meter.taken = hold, 0, FreeBytes
	if hold == nil || length <= FreeBytes {
		return nil
	}
	meter.taken = int64(length)
	return hold.Grow(int64(length))
}

// Stop ends the body. What it took stays with the hold.
func (meter *Meter) Stop() { meter.hold = nil }

// Read reads from the connection. It returns ErrExhausted if the body may not grow
// any further.
func (meter *Meter) Read(buffer []byte) (int, error) {
	if meter.hold != nil && meter.read >= meter.taken {
		more := max(growStep, meter.taken)
		if err := meter.hold.Grow(more); err != nil {
			return 0, err
		}
		meter.taken += more
	}
	n, err := meter.reader.Read(buffer)
	meter.read += int64(n)
	return n, err
}
