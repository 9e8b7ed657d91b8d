package main

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one execution of a request on a target.
type run struct {
	id     string
	target string
	at     time.Time
	// callers are the values of the header that names the calling service.
	callers []string
}

// runs collects the executions on all targets.
type runs struct {
	lock sync.Mutex
	all  []run
}

func (runs *runs) add(run run) {
	runs.lock.Lock()
	defer runs.lock.Unlock()
	runs.all = append(runs.all, run)
}

func (runs *runs) list() []run {
	runs.lock.Lock()
	defer runs.lock.Unlock()
	return append([]run{}, runs.all...)
}

// target is a stand-in for an application target.
type target struct {
	id      string
	version string
	machine machine
	fleet   *fleet
	runs    *runs
	work    time.Duration
	born    int64

	sequence atomic.Uint64
	inFlight atomic.Int64
	// shedPercent is the share of the requests that the target rejects as not run.
	shedPercent atomic.Int64
	// extraPercent is the share of its responses after which the target sends
	// additional bytes, late, at the point where the next response on the connection
	// is expected. The bytes are those of extraBytes or, if it is empty, a second copy
	// of the response.
	extraPercent atomic.Int64
	extraBytes   string
	listener     net.Listener
	beating      context.CancelFunc
	beatsEnded   chan struct{}
}

func (fleet *fleet) newTarget(id, version string, machine machine, runs *runs, work time.Duration) *target {
	return &target{id: id, version: version, machine: machine, fleet: fleet, runs: runs, work: work, born: time.Now().UnixMilli()}
}

// open starts to serve and to send heartbeats.
func (target *target) open(ctx context.Context) error {
	listener, err := net.Listen("tcp", target.machine.at(target.fleet.ports.app))
	if err != nil {
		return err
	}
	target.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err == nil {
				go target.serve(conn)
			}
		}
	}()
	beating, cancel := context.WithCancel(ctx)
	target.beating, target.beatsEnded = cancel, make(chan struct{})
	go target.beat(beating)
	return nil
}

// beat sends heartbeats until the context ends.
func (target *target) beat(ctx context.Context) {
	defer close(target.beatsEnded)
	for {
		pause := heartbeat
		if _, err := target.announce(ctx, "ready"); err != nil {
			pause = 100 * time.Millisecond
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

func (target *target) announce(ctx context.Context, state string) (int, error) {
	status, _, err := call(ctx, "POST", target.machine.at(target.fleet.ports.admin), "/v1/targets/"+target.id, map[string]any{
		"service": target.machine.service, "address": target.machine.at(target.fleet.ports.app), "zone": target.machine.zone,
		"version": target.version, "slots": slots, "state": state, "coldMs": 0, "sequence": target.sequence.Add(1), "born": target.born,
	})
	target.fleet.record.write("heartbeat target=%s state=%s status=%d error=%v", target.id, state, status, err)
	return status, err
}

// deregister stops the heartbeats and reports that the target leaves.
func (target *target) deregister(ctx context.Context) (int, error) {
	target.beating()
	<-target.beatsEnded
	status, _, err := call(ctx, "POST", target.machine.at(target.fleet.ports.admin), "/v1/targets/"+target.id+"/leave", map[string]any{"born": target.born})
	return status, err
}

// close ends the target.
func (target *target) close() {
	target.beating()
	_ = target.listener.Close()
}

// serve handles one connection, one request at a time.
func (target *target) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	extra := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("Vanillapulley-Attempt-Id")
		if extra != "" {
			target.fleet.record.write("extra target=%s before=%s", target.id, id)
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
			extra = ""
		}
		response := target.respond(request, id)
		if _, err := io.WriteString(conn, response); err != nil {
			return
		}
		if rand.Int64N(100) < target.extraPercent.Load() {
			extra = cmp.Or(target.extraBytes, response)
		}
	}
}

// respond runs or rejects a request and returns the response.
func (target *target) respond(request *http.Request, id string) string {
	header := fmt.Sprintf("Vanillapulley-Attempt-Id: %s\r\nVanillapulley-Instance-Id: %s\r\nVanillapulley-Instance-Load: %d,0,%d\r\n", id, target.id, target.inFlight.Load(), slots)
	if expected := request.Header.Get("Vanillapulley-Expect-Instance"); expected != "" && expected != target.id {
		target.fleet.record.write("misdirected target=%s id=%s", target.id, id)
		return "HTTP/1.1 421 Misdirected Request\r\n" + header + "Vanillapulley-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	if rand.Int64N(100) < target.shedPercent.Load() {
		target.fleet.record.write("shed target=%s id=%s", target.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + header + "Vanillapulley-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	callers := request.Header.Values(callerHeader)
	target.runs.add(run{id: id, target: target.id, at: time.Now(), callers: callers})
	target.fleet.record.write("run target=%s id=%s callers=%q trailer=%v", target.id, id, callers, request.Trailer)
	target.inFlight.Add(1)
	time.Sleep(target.work/2 + rand.N(target.work))
	target.inFlight.Add(-1)
	body := "response to " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sVanillapulley-Response-Signature: s-%s\r\nContent-Length: %d\r\n\r\n%s", header, id, len(body), body)
}
