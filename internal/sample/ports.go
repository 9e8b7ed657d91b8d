package sample

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports lie below the ephemeral port range of the operating system, so that
// no outgoing connection can take a port between the moment it is chosen and the
// moment it is bound. Each process starts at a different port of the range.
const (
	lowestPort = 10_000
	portCount  = 20_000
	// portStride separates the starting ports of processes with consecutive
	// process IDs.
	portStride = 37
)

var nextPort = struct {
	sync.Mutex
	port int
}{port: lowestPort + os.Getpid()*portStride%portCount}

// FreeAddress returns a loopback address on which nothing listens. Within one
// process no address is returned twice until the whole port range has been used;
// the search then starts over.
func FreeAddress() string {
	nextPort.Lock()
	defer nextPort.Unlock()
	for {
		nextPort.port = lowestPort + (nextPort.port-lowestPort+1)%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", nextPort.port))
		if err == nil {
			_ = listener.Close()
			return listener.Addr().String()
		}
	}
}
