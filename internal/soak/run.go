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
	// startTimeout bounds the start of a fleet.
	startTimeout = 30 * time.Second
	// faultPeriod is the span in which faults begin.
	faultPeriod = 12 * time.Second
	// recoveryPeriod is how long after the last fault callers may still be refused.
	recoveryPeriod = 10 * time.Second
	// steadyPeriod is how long every call must be served after that.
	steadyPeriod = 2 * time.Second
	// stopTimeout is how long a stopped process may take: its grace, and the time
	// to tell the others.
	stopTimeout = gracePeriod + 3*time.Second
	// settlePeriod is how long after a fault its node's callers may still be
	// without an answer.
	settlePeriod = 3 * time.Second
)

// Report is what one run has shown.
type Report struct {
	// Violations lists broken promises; Faults what went wrong on purpose.
	Violations []string
	Faults     []string
	// Served and Unserved count the sends of calls.
	Served, Unserved int
	LastChange       int
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
	run := &run{fleet: fleet, history: newHistory(), faults: planFaults(seed, size, faultPeriod)}
	for _, upstream := range fleet.upstreams {
		upstream.history = run.history
	}
	run.operator = newOperator(fleet, run.history, seed)
	run.callers = newCallers(fleet, run.history, seed)
	ctx, cancel := context.WithCancel(ctx)
	defer fleet.stop()
	defer cancel()
	if err := fleet.start(ctx); err != nil {
		return Report{}, err
	}
	if err := run.waitReady(ctx); err != nil {
		return Report{}, err
	}
	return run.execute(ctx), nil
}

type run struct {
	fleet    *fleet
	history  *history
	faults   []fault
	operator *operator
	callers  *callers
}

// waitReady waits until every node serves the first configuration and the control
// VMs are a group.
func (run *run) waitReady(ctx context.Context) error {
	run.history.begin(readyPath, callProbe)
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		if run.operator.acceptedVersion == 0 {
			lastErr = run.operator.begin(ctx)
		} else if run.fleet.inForce(run.operator.acceptedVersion) && run.fleet.servesCalls() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return trace.LimitExceeded("the fleet is not ready after %s: %v", startTimeout, lastErr)
}

// execute runs faults, callers and operator, waits for the recovery and judges.
func (run *run) execute(ctx context.Context) Report {
	loadCtx, stopLoad := context.WithCancel(ctx)
	changeCtx, stopChanges := context.WithCancel(ctx)
	defer stopLoad()
	defer stopChanges()
	observers, changers := tasks.New(2), tasks.New(1)
	observers.Go(loadCtx, "callers", run.callers.run)
	observers.Go(loadCtx, "versions", run.operator.watchVersions)
	changers.Go(changeCtx, "operator", run.operator.run)
	run.inject(ctx)
	recoveryDeadline := time.Now().Add(recoveryPeriod)
	stopChanges()
	changers.Wait()
	run.waitConverged(recoveryDeadline)
	time.Sleep(time.Until(recoveryDeadline))
	failedBefore := run.failedSends()
	time.Sleep(steadyPeriod)
	if failed := run.failedSends() - failedBefore; failed > 0 {
		run.history.addViolation("%d sends were not served, %s after the last fault", failed, recoveryPeriod)
	}
	stopLoad()
	observers.Wait()
	for name, process := range run.fleet.processes {
		if exits := process.unexpectedExitCount(); exits > 0 {
			run.history.addViolation("%s ended by itself %d times", name, exits)
		}
	}
	report := Report{Violations: run.history.check(), Served: run.history.served, Unserved: run.history.unserved, LastChange: run.operator.acceptedNumber}
	for _, fault := range run.faults {
		report.Faults = append(report.Faults, fault.String())
	}
	return report
}

func (run *run) failedSends() int {
	run.history.lock.Lock()
	defer run.history.lock.Unlock()
	return run.history.unserved
}

// waitConverged wants the last accepted change in force everywhere by a deadline.
func (run *run) waitConverged(deadline time.Time) {
	for time.Now().Before(deadline) {
		if run.fleet.inForce(run.operator.lastVersion()) {
			return
		}
		time.Sleep(pollInterval)
	}
	run.history.addViolation("version %d is not in force on all nodes %s after the last fault: %v", run.operator.lastVersion(), recoveryPeriod, run.fleet.versions())
}

// inject lets the faults happen and returns when the last one is over.
func (run *run) inject(ctx context.Context) {
	started := time.Now()
	group := tasks.New(len(run.faults))
	for _, fault := range run.faults {
		group.Go(ctx, fault.String(), func(ctx context.Context) error {
			select {
			case <-ctx.Done():
				return nil
			case <-time.After(fault.at - time.Since(started)):
			}
			run.fleet.inject(fault, run.history)
			return nil
		})
	}
	group.Wait()
}

// inject lets one fault happen and undoes it.
func (fleet *fleet) inject(fault fault, history *history) {
	owner, _, _ := strings.Cut(fault.target, "/")
	trackFault := fleet.trackFault(owner)
	defer trackFault()
	process, forwarder := fleet.processes[owner], fleet.forwarders[fault.target]
	switch fault.kind {
	case faultKill, faultTorn, faultTerm:
		fleet.restart(fault, process, history)
	case faultPause:
		process.signal(syscall.SIGSTOP)
		time.Sleep(fault.duration)
		process.signal(syscall.SIGCONT)
	case faultDelay:
		forwarder.delay.Store(int64(fault.duration / 20))
		time.Sleep(fault.duration)
		forwarder.delay.Store(0)
	case faultReset:
		forwarder.resetAll()
	case faultMuteIn, faultMuteOut, faultMute:
		forwarder.dropIn.Store(fault.kind != faultMuteOut)
		forwarder.dropOut.Store(fault.kind != faultMuteIn)
		time.Sleep(fault.duration)
		forwarder.dropIn.Store(false)
		forwarder.dropOut.Store(false)
	case faultReplace:
		fleet.upstreams[fault.target].replacements <- fault.duration
		time.Sleep(fault.duration)
	}
}

// restart ends a process and starts it again. One fault at a time ends a
// process; others that come meanwhile wait.
func (fleet *fleet) restart(fault fault, process *process, history *history) {
	process.restarting.Lock()
	defer process.restarting.Unlock()
	signal := syscall.SIGKILL
	if fault.kind == faultTerm {
		signal = syscall.SIGTERM
		// A paused process cannot stop by itself.
		process.signal(syscall.SIGCONT)
	}
	if !process.terminate(signal, stopTimeout) {
		history.addViolation("%s did not stop within %s", process.name, stopTimeout)
	}
	if fault.kind == faultTorn {
		if err := appendTornRecord(filepath.Join(fleet.folder, process.name, "log")); err != nil {
			history.addViolation("the log of %s cannot be written: %v", process.name, err)
		}
	}
	time.Sleep(fault.duration)
	if err := process.start(); err != nil {
		history.addViolation("%s does not start: %v", process.name, err)
	}
}

// appendTornRecord leaves the beginning of a write that never ended.
func appendTornRecord(file string) error {
	log, err := os.OpenFile(file, os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = log.Write([]byte{0, 0, 1})
	return trace.NewAggregate(err, log.Close())
}

// trackFault notes that a fault strikes a process, until the returned function is
// called and some time after.
func (fleet *fleet) trackFault(name string) func() {
	from := time.Now()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	index := len(fleet.faultWindows[name])
	fleet.faultWindows[name] = append(fleet.faultWindows[name], window{from: from, to: from.Add(time.Hour)})
	return func() {
		fleet.lock.Lock()
		defer fleet.lock.Unlock()
		fleet.faultWindows[name][index].to = time.Now().Add(settlePeriod)
	}
}

// inFaultWindow reports whether a fault struck a process within a span.
func (fleet *fleet) inFaultWindow(name string, from, to time.Time) bool {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	for _, window := range fleet.faultWindows[name] {
		if window.from.Before(to) && window.to.After(from) {
			return true
		}
	}
	return false
}

// versions asks the nodes which version is in force; zero stands for no answer.
func (fleet *fleet) versions() []uint64 {
	versions := make([]uint64, len(fleet.admins))
	for i, admin := range fleet.admins {
		code, body, err := fasthttp.GetTimeout(nil, "http://"+admin+"/v1/health", pollInterval)
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
	for _, nodeVersion := range fleet.versions() {
		if nodeVersion < version {
			return false
		}
	}
	return true
}

// readyPath is asked until the fleet is ready.
const readyPath = "/soak/ready"

// servesCalls reports whether each node brings a call to an upstream.
func (fleet *fleet) servesCalls() bool {
	for _, address := range fleet.callers {
		code, _, err := fasthttp.GetTimeout(nil, fmt.Sprintf("http://%s%s", address, readyPath), time.Second)
		if err != nil || code >= fasthttp.StatusInternalServerError {
			return false
		}
	}
	return true
}
