package member

import "time"

// DepartureRetention is how long a departure is kept for processes that start anew. It
// exceeds the time for which a notice of an upstream may be delayed on its way, by the
// difference between the clocks of two VMs.
const DepartureRetention = 30 * time.Second

// Departure is the record of a node whose upstream leaves, as its node acknowledged it.
// The control VMs keep it on their disks, so that it outlives a loss of power of all
// processes.
type Departure struct {
	Record Record
	// At is the time at which a control VM received it.
	At time.Time
}

// Expired reports whether the departure is no longer needed.
func (departure Departure) Expired(now time.Time) bool {
	return now.Sub(departure.At) > DepartureRetention
}
