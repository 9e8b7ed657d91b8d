package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Headers of the platform.
const (
	headerAttempt  = "Vanillapulley-Attempt-Id"
	headerDeadline = "Vanillapulley-Deadline-Ms"
	headerExpect   = "Vanillapulley-Expect-Instance"
	headerSigned   = "Vanillapulley-Response-Signature"
	headerNotRun   = "Vanillapulley-Not-Executed"
	headerLoad     = "Vanillapulley-Instance-Load"
)

const slots = 12

// target is the application target of one machine.
type target struct {
	machine *machine
	record  *record
	id      string
	born    int64
	work    time.Duration

	listener net.Listener
	ended    chan struct{}
	once     sync.Once

	lock     sync.Mutex
	conns    map[net.Conn]bool
	sequence uint64
	state    string
	leaving  bool
	silent   bool
	// runs are the times at which requests arrived and began to run, by their ids.
	runs map[string][]time.Time
}

// startTarget starts a target that sends heartbeats until it is stopped.
func startTarget(machine *machine, record *record, id string, work time.Duration) (*target, error) {
	listener, err := net.Listen("tcp", machine.app)
	if err != nil {
		return nil, err
	}
	target := &target{
		machine: machine, record: record, id: id, born: time.Now().UnixMilli(), work: work, listener: listener,
		ended: make(chan struct{}), state: "ready", runs: map[string][]time.Time{}, conns: map[net.Conn]bool{},
	}
	go target.serve()
	go target.beat()
	return target, nil
}

func (target *target) serve() {
	for {
		conn, err := target.listener.Accept()
		if err != nil {
			return
		}
		go target.serveConn(conn)
	}
}

func (target *target) serveConn(conn net.Conn) {
	target.track(conn, true)
	defer target.track(conn, false)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if _, err := io.WriteString(conn, target.answer(request)); err != nil {
			return
		}
	}
}

// track keeps the open connections.
func (target *target) track(conn net.Conn, open bool) {
	target.lock.Lock()
	defer target.lock.Unlock()
	if open {
		target.conns[conn] = true
		return
	}
	delete(target.conns, conn)
	_ = conn.Close()
}

// answer runs a request and returns the response.
func (target *target) answer(request *http.Request) string {
	id, expect := request.Header.Get(headerAttempt), request.Header.Get(headerExpect)
	echo := headerAttempt + ": " + id + "\r\n"
	if expect != "" && expect != target.id {
		target.record.add("%s answers 421 to %s, which is for %s", target.id, id, expect)
		return "HTTP/1.1 421 Misdirected Request\r\n" + echo + headerNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
	}
	target.lock.Lock()
	target.runs[id] = append(target.runs[id], time.Now())
	leaving, silent := target.leaving, target.silent
	target.lock.Unlock()
	target.record.add("%s runs %s %s %s, deadline %s ms", target.id, id, request.Method, request.RequestURI, request.Header.Get(headerDeadline))
	if silent {
		<-target.ended
		return ""
	}
	time.Sleep(target.work)
	extra := ""
	if leaving {
		extra = "Server-Leaving: 1\r\n"
	}
	body := "done " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s%s%s: sig-%s\r\n%s: 1,0,%d\r\nContent-Length: %d\r\n\r\n%s",
		echo, extra, headerSigned, id, headerLoad, slots, len(body), body)
}

// silence makes the target answer nothing from now on.
func (target *target) silence() {
	target.lock.Lock()
	defer target.lock.Unlock()
	target.silent = true
}

// runsOf returns when a request ran.
func (target *target) runsOf(id string) []time.Time {
	target.lock.Lock()
	defer target.lock.Unlock()
	return append([]time.Time(nil), target.runs[id]...)
}

// say sends one heartbeat and returns the status.
func (target *target) say() int {
	target.lock.Lock()
	target.sequence++
	body := map[string]any{
		"service": target.machine.service, "address": target.machine.app, "version": "v1", "slots": slots,
		"state": target.state, "sequence": target.sequence, "coldMs": 0, "born": target.born, "zone": "",
	}
	target.lock.Unlock()
	status, _ := post(http.MethodPost, "http://"+target.machine.admin+"/v1/targets/"+target.id, body)
	return status
}

func (target *target) beat() {
	for {
		target.say()
		select {
		case <-target.ended:
			return
		case <-time.After(heartbeat):
		}
	}
}

// drain reports that the target leaves until that is acknowledged, and returns the time of
// the acknowledgement.
func (target *target) drain() (time.Time, bool) {
	target.lock.Lock()
	target.state, target.leaving = "draining", true
	target.lock.Unlock()
	for range 20 {
		if target.say() == http.StatusOK {
			acknowledged := time.Now()
			target.record.add("%s acknowledges that %s is draining", target.machine.name, target.id)
			return acknowledged, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, false
}

// leave deregisters the target and ends it.
func (target *target) leave() {
	status, _ := post(http.MethodPost, "http://"+target.machine.admin+"/v1/targets/"+target.id+"/leave", map[string]any{"born": target.born})
	target.record.add("%s has deregistered (%d) and exits", target.id, status)
	target.stop()
}

// stop ends the target. Further calls do nothing.
func (target *target) stop() {
	target.once.Do(func() {
		close(target.ended)
		_ = target.listener.Close()
		target.lock.Lock()
		defer target.lock.Unlock()
		for conn := range target.conns {
			_ = conn.Close()
		}
	})
}
