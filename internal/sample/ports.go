package sample

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// Addresses are taken from a range below the one that systems use for outgoing
// connections, so that none of those takes a port between its choice and its
// use. Processes begin at different places of it.
const (
	lowestPort = 10_000
	portCount  = 20_000
	// portStride keeps processes with neighbouring identifiers apart.
	portStride = 37
)

var nextPort = struct {
	sync.Mutex
	port int
}{port: lowestPort + os.Getpid()*portStride%portCount}

// FreeAddress returns a loopback address that nothing listens at and that this
// process has not returned before, until the range is used up.
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
