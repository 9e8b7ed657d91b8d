package soak

import (
	"os"
	"os/exec"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// process is a program that is started again after it was ended on purpose.
type process struct {
	name    string
	program string
	args    []string
	// firstArgs is added to the arguments of the firstArgs life.
	firstArgs []string
	dir       string
	// log takes its output over all its lives.
	log *os.File

	// restarting is held by the fault that ends the process until it runs again.
	restarting sync.Mutex

	lock sync.Mutex
	cmd  *exec.Cmd
	// ended is closed when the present life is over.
	ended chan struct{}
	// expected is false while a fault keeps the process from running.
	expected bool
	// unexpectedExits counts ends that no fault asked for.
	unexpectedExits int
}

// start begins a life.
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
	process.cmd, process.ended, process.expected, process.firstArgs = cmd, ended, true, nil
	go func() {
		_ = cmd.Wait()
		process.lock.Lock()
		if process.expected && process.cmd == cmd {
			process.unexpectedExits++
		}
		process.lock.Unlock()
		close(ended)
	}()
	return nil
}

// terminate sends a signal that ends this life and waits for it; a process that
// takes longer than patience is killed and false is returned.
func (process *process) terminate(signal syscall.Signal, timeout time.Duration) bool {
	process.lock.Lock()
	process.expected = false
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

// signal sends a signal to the present life.
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
