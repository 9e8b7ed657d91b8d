package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// crowdSize is the number of connections that clients leave open. A node with 4,100
	// descriptors accepts 1,537 connections of clients.
	crowdSize = 1600
	// liveness is liveness_s.
	liveness = 3 * time.Second
	// triers is the number of ordinary clients.
	triers = 8
	// tryFor is how long they try. It is less than the deadline of the slow call.
	tryFor       = 6 * time.Second
	hungDeadline = 8 * time.Second
)

// acceptHang: connections of clients that nobody controls use up a node's share of
// descriptors. Rule RECOVER.
func acceptHang(fleet *fleet, trouble bool) (bool, error) {
	node, err := fleet.addNode(0, "ride-intake", false)
	if err != nil {
		return false, err
	}
	other, err := fleet.addNode(1, "profile-desk", false)
	if err != nil {
		return false, err
	}
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	services := []object{serviceOf("ride-intake"), serviceOf("profile-desk")}
	routes := []object{
		{"name": "r-upload", "host": host, "prefix": "/ride/", "kind": "upload", "timeoutMs": hungDeadline.Milliseconds(), "objectiveMs": 1200, "priority": 1, "service": "ride-intake", "maxAttempts": 2},
		{"name": "r-read", "host": host, "prefix": "/climb/", "kind": "idempotent", "timeoutMs": 3000, "objectiveMs": 1000, "priority": 2, "service": "profile-desk", "maxAttempts": 2},
	}
	if err := fleet.configure(configOf(1, 0, services, routes)); err != nil {
		return false, err
	}
	hung, err := startTarget(node, fleet.record, "i-hung", 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer hung.stop()
	quick, err := startTarget(other, fleet.record, "i-quick", 10*time.Millisecond)
	if err != nil {
		return false, err
	}
	defer quick.stop()
	if err := fleet.awaitReady(node, other); err != nil {
		return false, err
	}
	if !warmUp(node, "/climb/", "warm-r", http.MethodGet) || !warmUp(node, "/ride/", "warm-u", http.MethodPost) {
		return false, fmt.Errorf("%w: the targets get no calls", errSetup)
	}
	time.Sleep(liveness + time.Second)
	hung.silence()
	first, err := net.Dial("tcp", node.callers)
	if err != nil {
		return false, err
	}
	defer func() { _ = first.Close() }()
	head := "POST /ride/1 HTTP/1.1\r\nHost: " + host + "\r\n" + headerAttempt + ": %s\r\n" + headerDeadline + ": 8000\r\n"
	fleet.record.add("a client sends crowd-0 whole")
	_, _ = io.WriteString(first, fmt.Sprintf(head, "crowd-0")+"Content-Length: 3\r\n\r\nabc")
	for end := time.Now().Add(time.Second); len(hung.runsOf("crowd-0")) == 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	if trouble {
		fleet.record.add("the client sends crowd-1 behind it, in chunks, stops short of the end and stays open")
		_, _ = io.WriteString(first, fmt.Sprintf(head, "crowd-1")+"Transfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n4\r\nab")
	}
	opened := openCrowd(node.callers)
	defer func() {
		for _, conn := range opened {
			_ = conn.Close()
		}
	}()
	fleet.record.add("%d further connections are open", len(opened))
	gap := longestGap(fleet, node)
	fleet.record.add("longest time in which no new connection of %d clients was answered while the node said it was ready: %.3f s, liveness_s is %.0f", triers, gap.Seconds(), liveness.Seconds())
	return gap >= liveness, nil
}

// openCrowd opens connections that send nothing.
func openCrowd(address string) []net.Conn {
	var opened []net.Conn
	for range crowdSize {
		conn, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			continue
		}
		opened = append(opened, conn)
	}
	return opened
}

// longestGap lets clients try new connections, and returns the longest time without one that
// was answered. The node must say that it is ready all the while.
func longestGap(fleet *fleet, node *machine) time.Duration {
	var last, longest, answered, tried atomic.Int64
	begin := time.Now()
	var group sync.WaitGroup
	for client := range triers {
		group.Go(func() {
			for i := 0; time.Since(begin) < tryFor; i++ {
				id := fmt.Sprintf("read-%d-%d", client, i)
				tried.Add(1)
				got := call(node.callers, http.MethodGet, "/climb/1", id, time.Second, 0)
				if got.status == 0 {
					continue
				}
				answered.Add(1)
				now := int64(time.Since(begin))
				longest.Store(max(longest.Load(), now-last.Swap(now)))
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	notReady := time.Duration(0)
	for time.Since(begin) < tryFor {
		status, _ := post(http.MethodGet, "http://"+node.ready+"/v1/ready", nil)
		if status != http.StatusOK {
			notReady = time.Since(begin)
			fleet.record.add("the node says that it is not ready: %d", status)
		}
		time.Sleep(500 * time.Millisecond)
	}
	group.Wait()
	fleet.record.add("%d of %d tries of ordinary clients were answered", answered.Load(), tried.Load())
	longest.Store(max(longest.Load(), int64(tryFor)-last.Load()))
	if notReady > 0 {
		return 0
	}
	return time.Duration(longest.Load())
}
