package soak

import (
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// process runs a program and can restart it after a fault has stopped it.
type process struct {
	name    string
	program string
	args    []string
	// firstArgs is appended to the arguments of the first run only.
	firstArgs []string
	dir       string
	// log receives the output of all runs.
	log *os.File

	// restartLock is held by a fault from the moment it stops the process until the
	// process runs again. Lock order: restartLock, then lock.
	restartLock sync.Mutex

	// lock guards the fields below and firstArgs.
	lock sync.Mutex
	cmd  *exec.Cmd
	// ended is closed when the current run has ended.
	ended chan struct{}
	// mustRun is true from start until terminate; an exit in between is unexpected.
	mustRun bool
	// unexpectedExits counts the exits that no fault caused.
	unexpectedExits int
}

// start runs the program in its own process group.
func (process *process) start() error {
	process.lock.Lock()
	defer process.lock.Unlock()
	cmd := exec.Command(process.program, append(slices.Clone(process.args), process.firstArgs...)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = process.dir, process.log, process.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err)
	}
	ended := make(chan struct{})
	process.cmd, process.ended, process.mustRun, process.firstArgs = cmd, ended, true, nil
	go func() {
		_ = cmd.Wait()
		process.lock.Lock()
		if process.mustRun && process.cmd == cmd {
			process.unexpectedExits++
		}
		process.lock.Unlock()
		close(ended)
	}()
	return nil
}

// terminate sends a signal that stops the process and waits until it has exited.
// It returns false if the process had to be killed after the timeout.
func (process *process) terminate(signal syscall.Signal, timeout time.Duration) bool {
	process.lock.Lock()
	process.mustRun = false
	cmd, ended := process.cmd, process.ended
	process.lock.Unlock()
	_ = cmd.Process.Signal(signal)
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		_ = cmd.Process.Kill()
		<-ended
		return false
	}
}

// signal sends a signal to the process.
func (process *process) signal(signal syscall.Signal) {
	process.lock.Lock()
	defer process.lock.Unlock()
	_ = process.cmd.Process.Signal(signal)
}

func (process *process) unexpectedExitCount() int {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.unexpectedExits
}

// peakMemoryPattern matches the largest resident memory in a process's status file.
var peakMemoryPattern = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// checkMemory records a violation if the current run of the process has ever used
// more than memoryMB. It does nothing if the process is not running.
func (process *process) checkMemory(history *history) {
	process.lock.Lock()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", process.cmd.Process.Pid))
	process.lock.Unlock()
	match := peakMemoryPattern.FindSubmatch(status)
	if err != nil || match == nil {
		return
	}
	if kibibytes, _ := strconv.Atoi(string(match[1])); kibibytes > memoryMB<<10 {
		history.addViolation("%s used %d KiB of memory, %d MiB are allowed", process.name, kibibytes, memoryMB)
	}
}
