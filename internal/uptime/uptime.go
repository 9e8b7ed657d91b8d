// Package uptime reads a clock that continues while the machine is suspended. Go's
// monotonic clock stops then, so that what expired during a suspend would still seem
// valid after it.
package uptime

import (
	"time"

	"golang.org/x/sys/unix"
)

// process is the start of the process, for the monotonic clock.
var process = time.Now()

// Now returns the time since an arbitrary point, which is the same for all processes
// of a machine. Without CLOCK_BOOTTIME, which every supported Linux has, it is the
// monotonic clock.
func Now() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(process)
	}
	return time.Duration(now.Nano())
}
