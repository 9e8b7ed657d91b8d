package sample

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"
)

// The ports lie below the ephemeral port range of the operating system, so that
// no outgoing connection can take a port between the moment it is chosen and the
// moment it is bound. Each process takes whole blocks of ports, so that it does not
// choose a port whose owner, in another process, is being restarted.
const (
	lowestPort = 10_000
	blockSize  = 250
	blockCount = 80
)

// ports are the blocks of this process.
var ports struct {
	sync.Mutex
	// blocks are the first ports of the blocks, in the order in which they were taken,
	// and locks their lock files, which stay locked until the process ends.
	blocks []int
	locks  []*os.File
	// next counts the ports that were tried.
	next int
}

// FreeAddress returns a loopback address on which nothing listens. Within one
// process no address is returned twice until no block of ports is left; the search
// then starts over.
func FreeAddress() string {
	ports.Lock()
	defer ports.Unlock()
	for {
		if ports.next == len(ports.blocks)*blockSize && !takeBlock() {
			ports.next = 0
		}
		port := ports.blocks[ports.next/blockSize] + ports.next%blockSize
		ports.next++
		if address := fmt.Sprintf("127.0.0.1:%d", port); isFree(address) {
			return address
		}
	}
}

// isFree reports whether an address can be bound. No process is started meanwhile: it would
// hold a copy of the socket, and with it the address, until its program is executed.
func isFree(address string) bool {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	listener, err := net.Listen("tcp", address)
	return err == nil && listener.Close() == nil
}

// takeBlock takes a block that no process has. It returns false if there is none, but
// the process has other blocks. The lock must be held.
func takeBlock() bool {
	own := os.Getpid() % blockCount
	for i := range blockCount {
		block := (own + i) % blockCount
		file, err := os.OpenFile(filepath.Join(os.TempDir(), fmt.Sprintf("vanillapulley-ports-%d", block)), os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			continue
		}
		if unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil {
			_ = file.Close()
			continue
		}
		ports.blocks, ports.locks = append(ports.blocks, lowestPort+block*blockSize), append(ports.locks, file)
		return true
	}
	if len(ports.blocks) > 0 {
		return false
	}
	// Without lock files, the process ID keeps most processes apart.
	ports.blocks = append(ports.blocks, lowestPort+own*blockSize)
	return true
}
