package accept

import (
	"golang.org/x/sys/unix"
)

// Share is the part of a process's descriptors that the connections of one listener may
// take, in parts of Parts. What no listener may take is the reserve for connections that
// the process opens, for files, and for listeners.
type Share int

// Parts is the number of parts of the descriptors.
const Parts = 64

// minConns is the least number of connections of a listener, so that a process with few
// descriptors still serves each of them.
const minConns = 8

// MaxConns returns the number of connections of a listener with that share. It is zero,
// which means no limit, if the limit on descriptors is not known.
func (share Share) MaxConns() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0
	}
	return share.of(limit.Cur)
}

// maxDescriptors is the number of descriptors from which more do not raise the limits:
// the memory of so many connections exceeds any budget.
const maxDescriptors = 1 << 20

func (share Share) of(descriptors uint64) int {
	return max(minConns, int(min(descriptors, maxDescriptors))*int(share)/Parts)
}
