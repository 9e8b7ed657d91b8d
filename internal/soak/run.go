package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/tasks"
)

// The parts of a run.
const (
	// readyTime bounds the start of a fleet.
	readyTime = 30 * time.Second
	// faultTime is the span in which faults begin.
	faultTime = 12 * time.Second
	// recoveryTime is how long after the last fault callers may still be refused.
	recoveryTime = 10 * time.Second
	// steadyTime is how long every call must be served after that.
	steadyTime = 2 * time.Second
	// stopTime is how long a stopped process may take: its grace, and the time
	// to tell the others.
	stopTime = grace + 3*time.Second
	// afterFault is how long after a fault its node's callers may still be
	// without an answer.
	afterFault = 3 * time.Second
)

// Report is what one run has shown.
type Report struct {
	// Wrong lists broken promises; Faults what went wrong on purpose.
	Wrong  []string
	Faults []string
	// Good and Bad count the sends of calls.
	Good, Bad int
	Changes   int
}

// Run plays a seed in a folder with the given program and a fleet of the given
// number of control VMs and nodes. It returns an error if the fleet cannot be
// started.
func Run(ctx context.Context, seed uint64, vpd, folder string, controls, nodes int) (Report, error) {
	size := size{controls: controls, nodes: nodes}
	fleet, err := newFleet(size, folder, vpd)
	if err != nil {
		return Report{}, err
	}
	run := &run{fleet: fleet, book: newBook(), plan: draw(seed, size, faultTime)}
	for _, upstream := range fleet.upstreams {
		upstream.book = run.book
	}
	run.operator = newOperator(fleet, run.book, seed)
	run.callers = newCallers(fleet, run.book, seed)
	ctx, cancel := context.WithCancel(ctx)
	defer fleet.stop()
	defer cancel()
	if err := fleet.start(ctx); err != nil {
		return Report{}, err
	}
	if err := run.ready(ctx); err != nil {
		return Report{}, err
	}
	return run.play(ctx), nil
}

type run struct {
	fleet    *fleet
	book     *book
	plan     []fault
	operator *operator
	callers  *callers
}

// ready waits until every node serves the first configuration and the control
// VMs are a group.
func (run *run) ready(ctx context.Context) error {
	run.book.begin(readyPath, useProbe)
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	var last error
	for ctx.Err() == nil {
		if run.operator.version == 0 {
			last = run.operator.begin(ctx)
		} else if run.fleet.inForce(run.operator.version) && run.fleet.serves() {
			return nil
		}
		time.Sleep(readPause)
	}
	return trace.LimitExceeded("the fleet is not ready after %s: %v", readyTime, last)
}

// play runs faults, callers and operator, waits for the recovery and judges.
func (run *run) play(ctx context.Context) Report {
	loads, stopLoads := context.WithCancel(ctx)
	changes, stopChanges := context.WithCancel(ctx)
	defer stopLoads()
	defer stopChanges()
	group, writers := tasks.New(2), tasks.New(1)
	group.Go(loads, "callers", run.callers.run)
	group.Go(loads, "versions", run.operator.watch)
	writers.Go(changes, "operator", run.operator.run)
	run.strike(ctx)
	recovered := time.Now().Add(recoveryTime)
	stopChanges()
	writers.Wait()
	run.converge(recovered)
	time.Sleep(time.Until(recovered))
	before := run.failures()
	time.Sleep(steadyTime)
	if failed := run.failures() - before; failed > 0 {
		run.book.broken("%d sends were not served, %s after the last fault", failed, recoveryTime)
	}
	stopLoads()
	group.Wait()
	for name, process := range run.fleet.processes {
		if ends := process.surprised(); ends > 0 {
			run.book.broken("%s ended by itself %d times", name, ends)
		}
	}
	report := Report{Wrong: run.book.verdict(), Good: run.book.good, Bad: run.book.bad, Changes: run.operator.accepted}
	for _, fault := range run.plan {
		report.Faults = append(report.Faults, fault.String())
	}
	return report
}

func (run *run) failures() int {
	run.book.lock.Lock()
	defer run.book.lock.Unlock()
	return run.book.bad
}

// converge wants the last accepted change in force everywhere by a deadline.
func (run *run) converge(deadline time.Time) {
	for time.Now().Before(deadline) {
		if run.fleet.inForce(run.operator.last()) {
			return
		}
		time.Sleep(readPause)
	}
	run.book.broken("version %d is not in force on all nodes %s after the last fault: %v", run.operator.last(), recoveryTime, run.fleet.versions())
}

// strike lets the faults happen and returns when the last one is over.
func (run *run) strike(ctx context.Context) {
	begun := time.Now()
	group := tasks.New(len(run.plan))
	for _, fault := range run.plan {
		group.Go(ctx, fault.String(), func(ctx context.Context) error {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(fault.at - time.Since(begun)):
			}
			run.fleet.strike(fault, run.book)
			return nil
		})
	}
	group.Wait()
}

// strike lets one fault happen and undoes it.
func (fleet *fleet) strike(fault fault, book *book) {
	owner, _, _ := strings.Cut(fault.on, "/")
	excuse := fleet.excuse(owner)
	defer excuse()
	process, path := fleet.processes[owner], fleet.paths[fault.on]
	switch fault.kind {
	case kindKill, kindTorn, kindTerm:
		fleet.restart(fault, process, book)
	case kindPause:
		process.signal(syscall.SIGSTOP)
		time.Sleep(fault.lasts)
		process.signal(syscall.SIGCONT)
	case kindDelay:
		path.delay.Store(int64(fault.lasts / 20))
		time.Sleep(fault.lasts)
		path.delay.Store(0)
	case kindReset:
		path.reset()
	case kindMuteIn, kindMuteOut, kindMute:
		path.muteIn.Store(fault.kind != kindMuteOut)
		path.muteOut.Store(fault.kind != kindMuteIn)
		time.Sleep(fault.lasts)
		path.muteIn.Store(false)
		path.muteOut.Store(false)
	case kindReplace:
		fleet.upstreams[fault.on].replace <- fault.lasts
		time.Sleep(fault.lasts)
	}
}

// restart ends a process and starts it again. One fault at a time ends a
// process; others that come meanwhile wait.
func (fleet *fleet) restart(fault fault, process *process, book *book) {
	process.turn.Lock()
	defer process.turn.Unlock()
	signal := syscall.SIGKILL
	if fault.kind == kindTerm {
		signal = syscall.SIGTERM
		// A paused process cannot stop by itself.
		process.signal(syscall.SIGCONT)
	}
	if !process.end(signal, stopTime) {
		book.broken("%s did not stop within %s", process.name, stopTime)
	}
	if fault.kind == kindTorn {
		if err := tear(filepath.Join(fleet.folder, process.name, "log")); err != nil {
			book.broken("the log of %s cannot be written: %v", process.name, err)
		}
	}
	time.Sleep(fault.lasts)
	if err := process.start(); err != nil {
		book.broken("%s does not start: %v", process.name, err)
	}
}

// tear leaves the beginning of a write that never ended.
func tear(file string) error {
	log, err := os.OpenFile(file, os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = log.Write([]byte{0, 0, 1})
	return trace.NewAggregate(err, log.Close())
}

// excuse notes that a fault strikes a process, until the returned function is
// called and some time after.
func (fleet *fleet) excuse(name string) func() {
	from := time.Now()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	index := len(fleet.excuses[name])
	fleet.excuses[name] = append(fleet.excuses[name], span{from: from, to: from.Add(time.Hour)})
	return func() {
		fleet.lock.Lock()
		defer fleet.lock.Unlock()
		fleet.excuses[name][index].to = time.Now().Add(afterFault)
	}
}

// excused reports whether a fault struck a process within a span.
func (fleet *fleet) excused(name string, from, to time.Time) bool {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	for _, struck := range fleet.excuses[name] {
		if struck.from.Before(to) && struck.to.After(from) {
			return true
		}
	}
	return false
}

// versions asks the nodes which version is in force; zero stands for no answer.
func (fleet *fleet) versions() []uint64 {
	versions := make([]uint64, len(fleet.admins))
	for i, admin := range fleet.admins {
		code, body, err := fasthttp.GetTimeout(nil, "http://"+admin+"/v1/health", readPause)
		var health struct {
			Version uint64 `json:"version"`
		}
		if err == nil && code == fasthttp.StatusOK && json.Unmarshal(body, &health) == nil {
			versions[i] = health.Version
		}
	}
	return versions
}

// inForce reports whether all nodes run at least a version.
func (fleet *fleet) inForce(version uint64) bool {
	for _, held := range fleet.versions() {
		if held < version {
			return false
		}
	}
	return true
}

// readyPath is asked until the fleet is ready.
const readyPath = "/soak/ready"

// serves reports whether each node brings a call to an upstream.
func (fleet *fleet) serves() bool {
	for _, address := range fleet.callers {
		code, _, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s%s", address, readyPath), time.Second)
		if err != nil || code >= fasthttp.StatusInternalServerError {
			return false
		}
	}
	return true
}
