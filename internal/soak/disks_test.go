package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/vanillapulley/vanillapulley/internal/tasks"
)

// limitFiles limits the size of the files that a process writes, so that it cannot write to
// larger files any more, as on a full disk. The runtime of Go ignores SIGXFSZ.
func limitFiles(t *testing.T, process *process, size uint64) {
	var old unix.Rlimit
	pid := process.cmd.Process.Pid
	require.NoError(t, unix.Prlimit(pid, unix.RLIMIT_FSIZE, nil, &old))
	require.NoError(t, unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Cur: size, Max: old.Max}, nil))
}

// controlVersions returns the version that each control VM has, and the name of the leader.
func controlVersions(fleet *fleet) (versions []uint64, leader string) {
	for _, api := range fleet.apis {
		var health struct {
			Name, Role string
			Version    uint64
		}
		code, body, err := httpClient.GetTimeout(nil, "http://"+api+"/v1/health", time.Second)
		if err == nil && code == fasthttp.StatusOK && json.Unmarshal(body, &health) == nil && health.Role == "leader" {
			leader = health.Name
		}
		versions = append(versions, health.Version)
	}
	return versions, leader
}

// TestDisksOfProcessesFullInTurn guards against changes that are refused or unanswered while
// the disks of the control VMs are full in turn, and after that. The leader's disk is full
// first, and once more at the end, and then has room for a vote but not for a change.
func TestDisksOfProcessesFullInTurn(t *testing.T) {
	if testing.Short() {
		t.Skip("the disks are full for 23 s")
	}
	fleet, err := newFleet(size{controls: 5, nodes: 1}, t.TempDir(), buildVPD(t))
	require.NoError(t, err)
	history := newHistory()
	for _, upstream := range fleet.upstreams {
		upstream.history = history
	}
	run := &run{fleet: fleet, history: history, operator: newOperator(fleet, history, 1)}
	ctx, cancel := context.WithCancel(t.Context())
	defer fleet.stop()
	defer cancel()
	require.NoError(t, fleet.start(ctx))
	require.NoError(t, run.waitReady(ctx))
	changeCtx, stopChanges := context.WithCancel(ctx)
	defer stopChanges()
	changes := tasks.New(1)
	changes.Go(changeCtx, "operator", run.operator.run)

	const acknowledgedIn = 4 * time.Second
	lastVersion, lastAt := run.operator.lastVersion(), time.Now()
	watch := func(duration time.Duration, state string) {
		for began := time.Now(); time.Since(began) < duration; time.Sleep(20 * time.Millisecond) {
			if version := run.operator.lastVersion(); version > lastVersion {
				lastVersion, lastAt = version, time.Now()
			}
			if waited := time.Since(lastAt); waited > changeInterval+acknowledgedIn {
				t.Errorf("no change was acknowledged for %s %s", waited, state)
				lastAt = time.Now()
			}
		}
	}
	fill := func(name string, duration time.Duration, room int64) {
		size := int64(0)
		if log, err := os.Stat(filepath.Join(fleet.folder, name, "log")); err == nil && room > 0 {
			size = log.Size() + room
		}
		limitFiles(t, fleet.processes[name], uint64(size))
		watch(duration, "while the disk of "+name+" was full")
		limitFiles(t, fleet.processes[name], unix.RLIM_INFINITY)
	}
	_, first := controlVersions(fleet)
	fill(first, 3*time.Second, 0)
	for i := range 5 {
		if name := controlName(i); name != first {
			fill(name, 3*time.Second, 0)
		}
	}
	_, leader := controlVersions(fleet)
	fill(leader, 8*time.Second, 100)
	watch(acknowledgedIn, "after all disks had room")
	stopChanges()
	changes.Wait()
	require.Eventually(t, func() bool {
		versions, _ := controlVersions(fleet)
		for _, version := range versions {
			if version < run.operator.lastVersion() {
				return false
			}
		}
		return true
	}, 2*time.Second, 50*time.Millisecond, "replicas have not caught up 6 s after all disks had room")
	require.Empty(t, history.check())
	for name, process := range fleet.processes {
		require.Zero(t, process.unexpectedExitCount(), fmt.Sprint(name, " exited"))
	}
	t.Logf("%d changes were accepted", run.operator.acceptedNumber)
}
