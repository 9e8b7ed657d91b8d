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

// The phases and time limits of a run.
const (
	// startTimeout limits the time until a fleet is ready.
	startTimeout = 30 * time.Second
	// faultPeriod is the period in which faults start.
	faultPeriod = 12 * time.Second
	// recoveryPeriod starts when the last fault ends. Until it is over, a call may
	// still get an error response; for missing responses see settlePeriod.
	recoveryPeriod = 10 * time.Second
	// steadyPeriod follows recoveryPeriod; every call in it must be served.
	steadyPeriod = 2 * time.Second
	// stopTimeout limits the shutdown of a process: its grace period plus the time
	// to notify the other processes.
	stopTimeout = gracePeriod + 3*time.Second
	// settlePeriod starts when a fault ends. Until it is over, a call through the
	// affected node may still get no response.
	settlePeriod = 3 * time.Second
	// stopAccepts is how long a node accepts connections at least after SIGTERM. It is
	// 100 ms less than the node takes to announce that it leaves.
	stopAccepts = 200 * time.Millisecond
)

// Report is the result of one run.
type Report struct {
	// Violations describes each guarantee that did not hold; Faults describes the
	// injected faults.
	Violations []string
	Faults     []string
	// Served and Unserved count the sends of all calls by their result.
	Served, Unserved int
	// LastChange is the number of the last accepted change.
	LastChange int
}

// Run starts a fleet with the given numbers of control VMs and nodes from the
// program vpd, injects the faults of the seed and checks the guarantees. Settings,
// data and logs are written to the folder. Run returns an error if the fleet does
// not become ready.
func Run(ctx context.Context, seed uint64, vpd, folder string, controls, nodes int) (Report, error) {
	size := size{controls: controls, nodes: nodes, grace: gracePeriod}
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
	// Deferred calls run in reverse order: cancel runs before stop.
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

// run holds the state of one run.
type run struct {
	fleet    *fleet
	history  *history
	faults   []fault
	operator *operator
	callers  *callers
}

// waitReady applies the initial configuration and waits until it is in force on
// every node and every node serves calls.
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

// execute runs the callers and the operator while faults are injected, waits for
// the recovery and checks the guarantees.
func (run *run) execute(ctx context.Context) Report {
	loadCtx, stopLoad := context.WithCancel(ctx)
	changeCtx, stopChanges := context.WithCancel(ctx)
	defer stopLoad()
	defer stopChanges()
	loadTasks, changeTasks := tasks.New(2), tasks.New(1)
	loadTasks.Go(loadCtx, "callers", run.callers.run)
	loadTasks.Go(loadCtx, "versions", run.operator.watchVersions)
	changeTasks.Go(changeCtx, "operator", run.operator.run)
	run.inject(ctx)
	recoveryDeadline := time.Now().Add(recoveryPeriod)
	stopChanges()
	changeTasks.Wait()
	run.waitConverged(recoveryDeadline)
	time.Sleep(time.Until(recoveryDeadline))
	unservedBefore := run.unservedSends()
	time.Sleep(steadyPeriod)
	if unservedCount := run.unservedSends() - unservedBefore; unservedCount > 0 {
		run.history.addViolation("%d sends were not served in the steady period, which started %s after the last fault", unservedCount, recoveryPeriod)
	}
	stopLoad()
	loadTasks.Wait()
	for name, process := range run.fleet.processes {
		process.checkMemory(run.history)
		if exits := process.unexpectedExitCount(); exits > 0 {
			run.history.addViolation("%s exited unexpectedly %d times", name, exits)
		}
	}
	report := Report{Violations: run.history.check(), Served: run.history.served, Unserved: run.history.unserved, LastChange: run.operator.acceptedNumber}
	for _, fault := range run.faults {
		report.Faults = append(report.Faults, fault.String())
	}
	return report
}

// unservedSends returns the number of sends that have ended so far without being
// served.
func (run *run) unservedSends() int {
	run.history.lock.Lock()
	defer run.history.lock.Unlock()
	return run.history.unserved
}

// waitConverged waits until the last accepted change is in force on all nodes. It
// records a violation if the deadline passes first.
func (run *run) waitConverged(deadline time.Time) {
	for time.Now().Before(deadline) {
		if run.fleet.inForce(run.operator.lastVersion()) {
			return
		}
		time.Sleep(pollInterval)
	}
	run.history.addViolation("version %d is not in force on all nodes %s after the last fault; versions per node (0: no answer): %v", run.operator.lastVersion(), recoveryPeriod, run.fleet.versions())
}

// inject injects all planned faults and returns when the last one is over.
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

// inject injects one fault and reverts it after its duration.
func (fleet *fleet) inject(fault fault, history *history) {
	owner, _, _ := strings.Cut(fault.subject, "/")
	trackFault := fleet.trackFault(owner, fault.kind)
	// The deferred function records the end of the fault.
	defer trackFault()
	process, forwarder := fleet.processes[owner], fleet.forwarders[fault.subject]
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
	case faultEndless:
		forwarder.endless.Store(true)
		time.Sleep(fault.duration)
		forwarder.endless.Store(false)
		process.checkMemory(history)
	case faultCut:
		forwarder.cut.Store(true)
		time.Sleep(fault.duration)
		forwarder.cut.Store(false)
	case faultCrowd:
		fleet.sendCrowd(fault, process, history)
	case faultOdd:
		fleet.sendOddities(owner, fault.duration, history)
	case faultLimit:
		check := &fleet.upstreams[fault.subject].limitCheck
		check.state(fault.perSecond)
		time.Sleep(fault.duration)
		check.state(0)
	case faultReplace:
		fleet.upstreams[fault.subject].replacements <- fault.duration
		time.Sleep(fault.duration)
	}
}

// restart stops a process and starts it again. If another fault is restarting the
// same process, it waits until that restart is complete.
func (fleet *fleet) restart(fault fault, process *process, history *history) {
	process.restartLock.Lock()
	defer process.restartLock.Unlock()
	signal := syscall.SIGKILL
	if fault.kind == faultTerm {
		signal = syscall.SIGTERM
		// A process suspended by SIGSTOP cannot handle SIGTERM.
		process.signal(syscall.SIGCONT)
	}
	if !process.terminate(signal, stopTimeout) {
		history.addViolation("%s did not stop within %s", process.name, stopTimeout)
	}
	if fault.kind == faultTorn {
		if err := appendTornRecord(filepath.Join(fleet.folder, process.name, "log")); err != nil {
			history.addViolation("cannot append a torn write to the log of %s: %v", process.name, err)
		}
	}
	time.Sleep(fault.duration)
	if err := process.start(); err != nil {
		history.addViolation("cannot restart %s: %v", process.name, err)
	}
}

// appendTornRecord appends an incomplete record to a log, as a crash in the middle
// of a write leaves it.
func appendTornRecord(file string) error {
	log, err := os.OpenFile(file, os.O_APPEND|os.O_WRONLY, fileMode)
	if err != nil {
		return trace.ConvertSystemError(err)
	}
	_, err = log.Write([]byte{0, 0, 1})
	return trace.NewAggregate(err, log.Close())
}

// trackFault records that a fault affects a process from now on. The returned
// function records the end of the fault; the process still counts as affected for
// settlePeriod after it.
func (fleet *fleet) trackFault(name string, kind kind) func() {
	from := time.Now()
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	index := len(fleet.faultWindows[name])
	// The end is not known yet; an hour is longer than any run.
	fleet.faultWindows[name] = append(fleet.faultWindows[name], window{from: from, to: from.Add(time.Hour), planned: kind == faultTerm})
	return func() {
		fleet.lock.Lock()
		defer fleet.lock.Unlock()
		fleet.faultWindows[name][index].to = time.Now().Add(settlePeriod)
	}
}

// inFaultWindow reports whether a fault affected a process at any time between
// from and to. A planned stop affects only what begins once the process may have closed its
// address.
func (fleet *fleet) inFaultWindow(name string, from, to time.Time) bool {
	fleet.lock.Lock()
	defer fleet.lock.Unlock()
	for _, window := range fleet.faultWindows[name] {
		begun := window.from.Before(to)
		if window.planned {
			begun = window.from.Add(stopAccepts).Before(from)
		}
		if begun && window.to.After(from) {
			return true
		}
	}
	return false
}

// versions returns the configuration version in force on each node, or zero for a
// node that does not answer.
func (fleet *fleet) versions() []uint64 {
	versions := make([]uint64, len(fleet.admins))
	for i, admin := range fleet.admins {
		code, body, err := httpClient.GetTimeout(nil, "http://"+admin+"/v1/health", pollInterval)
		var health struct {
			Version uint64 `json:"version"`
		}
		if err == nil && code == fasthttp.StatusOK && json.Unmarshal(body, &health) == nil {
			versions[i] = health.Version
		}
	}
	return versions
}

// inForce reports whether all nodes have at least the given configuration version.
func (fleet *fleet) inForce(version uint64) bool {
	for _, nodeVersion := range fleet.versions() {
		if nodeVersion < version {
			return false
		}
	}
	return true
}

// readyPath is the path of the calls that check whether the fleet is ready.
const readyPath = "/soak/ready"

// servesCalls reports whether every node answers a call without a server error.
func (fleet *fleet) servesCalls() bool {
	for _, address := range fleet.callers {
		code, _, err := httpClient.GetTimeout(nil, fmt.Sprintf("http://%s%s", address, readyPath), time.Second)
		if err != nil || code >= fasthttp.StatusInternalServerError {
			return false
		}
	}
	return true
}
