package sample

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// printPorts is the environment variable that makes TestProcessesShareNoPorts print
// addresses, as another process.
const printPorts = "VANILLAPULLEY_PRINT_PORTS"

// TestProcessesShareNoPorts guards against two test processes at once of which one
// chooses a port whose owner is being restarted by the other.
func TestProcessesShareNoPorts(t *testing.T) {
	const count = 2*blockSize + 1
	own := map[string]bool{}
	for range count {
		own[FreeAddress()] = true
	}
	require.Len(t, own, count)
	if os.Getenv(printPorts) != "" {
		for address := range own {
			fmt.Println(address)
		}
		return
	}
	other := exec.Command(os.Args[0], "-test.run", "^TestProcessesShareNoPorts$")
	other.Env = append(os.Environ(), printPorts+"=1")
	output, err := other.CombinedOutput()
	require.NoError(t, err, string(output))
	printed := 0
	for _, line := range strings.Fields(string(output)) {
		require.False(t, own[line], line)
		if strings.HasPrefix(line, "127.0.0.1:") {
			printed++
		}
	}
	require.Equal(t, count, printed)
}

// process that was being started has inherited the socket with which it was probed.
func TestFreeAddressBesideNewProcesses(t *testing.T) {
	program, err := exec.LookPath("true")
	require.NoError(t, err)
	stop, starts := make(chan struct{}), sync.WaitGroup{}
	for range 4 {
		starts.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command(program).Run()
				}
			}
		})
	}
	defer starts.Wait()
	defer close(stop)
	for range 500 {
		listener, err := net.Listen("tcp", FreeAddress())
		require.NoError(t, err)
		require.NoError(t, listener.Close())
	}
}
