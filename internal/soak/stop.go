package soak

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/google/uuid"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// The planned stop that PlannedStop checks.
const (
	stopGrace  = 6 * time.Second
	stopNotice = 2200 * time.Millisecond
	// stopCutOff is the time before which a call is not ended while a target works on it.
	stopCutOff = stopGrace * 5 / 6
	// latestRefusal is the time after which a call that was read before the stop, and
	// that no target has received, must not be refused: its caller could not go elsewhere.
	latestRefusal = stopCutOff - time.Second
	stopTimeLimit = 8 * time.Second
	// stopLead is how long before the signal the first calls are sent.
	stopLead = 1500 * time.Millisecond
	// longestWork is the work of the longest calls, and stopCalls the number of calls
	// before the signal. They fill the slots of two targets and then their queues.
	longestWork = 8 * time.Second
	shortWork   = 200 * time.Millisecond
	stopCalls   = 6 * slots
	// stopUpload is the size of a body that is announced to gates.
	stopUpload = 60 << 10
	// latePeriod is the time between two groups of calls during the stop.
	latePeriod = 500 * time.Millisecond
)

// workPath is the start of the paths of calls that say how many milliseconds they take.
const workPath = "/soak/busy/"

// workOf returns how long an upstream works on a call in addition to its usual delay.
func workOf(path string) time.Duration {
	text, _, _ := strings.Cut(strings.TrimPrefix(path, workPath), "/")
	milliseconds, err := strconv.Atoi(text)
	if err != nil || !strings.HasPrefix(path, workPath) {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// stopRun is one planned stop of one node of a calm fleet.
type stopRun struct {
	*run
	// address is the caller address of the node that stops, without a forwarder.
	address string
	client  *http.Client
	// signaled is the time of the signal.
	signaled time.Time
	calls    sync.WaitGroup
}

// PlannedStop stops a node by SIGTERM while calls of 0.2 s to 8 s are at work and in the
// queues of two gates, and sends it further calls until it is gone. The third node, with
// index 2, has no upstream. It returns the guarantees that did not hold.
func PlannedStop(ctx context.Context, vpd, folder string, node int) ([]string, error) {
	fleet, err := newFleet(size{controls: 1, nodes: 3, grace: stopGrace, notice: stopNotice}, folder, vpd)
	if err != nil {
		return nil, err
	}
	delete(fleet.upstreams, nodeName(2)+"/upstream")
	run := &run{fleet: fleet, history: newHistory()}
	for _, upstream := range fleet.upstreams {
		upstream.history = run.history
	}
	run.operator = newOperator(fleet, run.history, 1)
	ctx, cancel := context.WithCancel(ctx)
	// Deferred calls run in reverse order: cancel runs before stop.
	defer fleet.stop()
	defer cancel()
	if err := fleet.start(ctx); err != nil {
		return nil, err
	}
	if err := run.waitReady(ctx); err != nil {
		return nil, err
	}
	route := resource("route", "work", `{"service":"`+service+`","prefix":"/soak/busy","version":"v1","timeout":"`+(2*longestWork).String()+`"}`)
	if err := run.operator.apply(ctx, uuid.NewString(), wire.ApplyRequest{Resources: []wire.Resource{route}}); err != nil {
		return nil, err
	}
	run.waitConverged(time.Now().Add(startTimeout))
	stop := &stopRun{run: run, address: fleet.forwarders[nodeName(node)+"/callers"].destination, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: stopCalls}}}
	stop.execute(fleet.processes[nodeName(node)])
	return run.history.check(), nil
}

// execute makes the calls and stops the process.
func (stop *stopRun) execute(process *process) {
	stop.signaled = time.Now().Add(stopLead)
	stop.calls.Go(stop.pipeline)
	stop.calls.Go(stop.callEarly)
	stop.calls.Go(stop.callLate)
	time.Sleep(time.Until(stop.signaled))
	for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
		time.AfterFunc(stopGrace/3, func() { process.signal(signal) })
	}
	if !process.terminate(syscall.SIGTERM, stopGrace) {
		stop.history.addViolation("%s had not ended %s after SIGTERM", process.name, stopGrace)
	}
	if code := process.cmd.ProcessState.ExitCode(); code != 0 {
		stop.history.addViolation("%s ended with code %d", process.name, code)
	}
	stop.calls.Wait()
}

// callEarly sends calls before the signal. The shortest ones come first, so that they get
// the slots.
func (stop *stopRun) callEarly() {
	for i := range stopCalls {
		stop.start(i, shortWork+longestWork*time.Duration(i)/(2*2*slots), longestWork)
		time.Sleep(stopLead / 2 / stopCalls)
	}
}

// callLate sends calls during the stop, with the timeouts of an ordinary caller and with
// short ones, on connections that were used before.
func (stop *stopRun) callLate() {
	time.Sleep(time.Until(stop.signaled))
	for i := stopCalls; time.Since(stop.signaled) < stopGrace; i += 6 {
		for j := range 6 {
			stop.start(i+j, shortWork, []time.Duration{longestWork, 5 * shortWork}[j/3])
		}
		time.Sleep(latePeriod)
	}
}

// start makes one call in the background: a read, a non-idempotent call or an upload.
func (stop *stopRun) start(number int, work, timeout time.Duration) {
	work = min(work, longestWork)
	path := fmt.Sprintf("%s%d/%d", workPath, work.Milliseconds(), number)
	kind, method, body := callNonIdempotent, http.MethodPost, 0
	switch number % 3 {
	case 0:
		kind, method = callRead, http.MethodGet
	case 1:
		body = stopUpload
	}
	stop.history.begin(path, kind)
	stop.calls.Go(func() {
		request, err := http.NewRequest(method, "http://"+stop.address+path, bytes.NewReader(make([]byte, body)))
		if err != nil {
			return
		}
		request.Header.Set(proxy.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
		sent := time.Now()
		response, err := stop.client.Do(request)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		stop.check(path, sent, timeout, response, err)
	})
}

// check records how a call ended. A call whose connection was refused was not read.
func (stop *stopRun) check(path string, sent time.Time, timeout time.Duration, response *http.Response, err error) {
	ended := time.Since(stop.signaled)
	if err != nil {
		stop.history.recordOutcome(path, "", false)
		if !errors.Is(err, syscall.ECONNREFUSED) {
			stop.history.addViolation("%s sent at %s: no response at %s: %v", path, sent.Sub(stop.signaled), ended, err)
		}
		return
	}
	outcome := proxy.Outcome(response.Header.Get(proxy.HeaderOutcome))
	stop.history.recordOutcome(path, outcome, response.StatusCode == http.StatusOK)
	inTime := time.Since(sent) < timeout
	switch {
	case outcome == proxy.OutcomeUnknown && inTime && ended < stopCutOff:
		stop.history.addViolation("%s sent at %s: ended while a target worked on it, with status %d at %s", path, sent.Sub(stop.signaled), response.StatusCode, ended)
	case outcome == proxy.OutcomeNotRun && inTime && sent.Before(stop.signaled) && ended > latestRefusal:
		stop.history.addViolation("%s sent at %s: refused too late, at %s", path, sent.Sub(stop.signaled), ended)
	case outcome != proxy.OutcomeRan && sent.Before(stop.signaled) && workOf(path) <= stopNotice:
		stop.history.addViolation("%s sent at %s: could have been served, but got %s with status %d at %s", path, sent.Sub(stop.signaled), outcome, response.StatusCode, ended)
	}
}

// pipeline sends a long call and two short ones on one connection at once, and another one
// when the node takes no further connections.
func (stop *stopRun) pipeline() {
	conn, err := net.Dial("tcp", stop.address)
	if err != nil {
		stop.history.addViolation("pipelined calls: %v", err)
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(stopLead + stopTimeLimit))
	reader := bufio.NewReader(conn)
	paths := []string{workPath + "8000/p1", workPath + "200/p2", workPath + "200/p3"}
	send := func(path string) {
		stop.history.begin(path, callRead)
		_, _ = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
	}
	for _, path := range paths {
		send(path)
	}
	late := workPath + "200/p4"
	time.AfterFunc(time.Until(stop.signaled)+stopGrace/2, func() { send(late) })
	for _, path := range append(paths, late) {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			stop.history.addViolation("%s, pipelined: no response: %v", path, err)
			return
		}
		_, err = io.Copy(io.Discard, response.Body)
		if err != nil {
			stop.history.addViolation("%s, pipelined: an incomplete response: %v", path, err)
		}
		stop.history.recordOutcome(path, proxy.Outcome(response.Header.Get(proxy.HeaderOutcome)), response.StatusCode == http.StatusOK)
	}
}
