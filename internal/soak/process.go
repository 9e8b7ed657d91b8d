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
	name string
	path string
	args []string
	// first is added to the arguments of the first life.
	first []string
	dir   string
	// log takes its output over all its lives.
	log *os.File

	// turn is held by the fault that ends the process until it runs again.
	turn sync.Mutex

	lock sync.Mutex
	cmd  *exec.Cmd
	// ended is closed when the present life is over.
	ended chan struct{}
	// wanted is false while a fault keeps the process from running.
	wanted bool
	// surprises counts ends that no fault asked for.
	surprises int
}

// start begins a life.
func (process *process) start() error {
	process.lock.Lock()
	defer process.lock.Unlock()
	cmd := exec.Command(process.path, append(slices.Clone(process.args), process.first...)...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = process.dir, process.log, process.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := cmd.Start(); err != nil {
		return trace.Wrap(err)
	}
	ended := make(chan struct{})
	process.cmd, process.ended, process.wanted, process.first = cmd, ended, true, nil
	go func() {
		_ = cmd.Wait()
		process.lock.Lock()
		if process.wanted && process.cmd == cmd {
			process.surprises++
		}
		process.lock.Unlock()
		close(ended)
	}()
	return nil
}

// end sends a signal that ends this life and waits for it; a process that
// takes longer than patience is killed and false is returned.
func (process *process) end(signal syscall.Signal, patience time.Duration) bool {
	process.lock.Lock()
	process.wanted = false
	cmd, ended := process.cmd, process.ended
	process.lock.Unlock()
	_ = cmd.Process.Signal(signal)
	select {
	case <-ended:
		return true
	case <-time.After(patience):
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

func (process *process) surprised() int {
	process.lock.Lock()
	defer process.lock.Unlock()
	return process.surprises
}
