package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// uploadLink is the own link of a machine of demands/abay-climb-grown.toml, 6.7 Mbit/s,
	// in bytes per second.
	uploadLink = 6.7e6 / 8
	// uploadBytes take the link 2.75 s. The limit of the configuration is 64 MiB.
	uploadBytes = 2_300_000
	// uploadWork is more than the mean of the sheet, 260 ms, and less than its longest, 2,800 ms.
	uploadWork = 600 * time.Millisecond
	// uploadDeadline is that of the uploads there.
	uploadDeadline = 8 * time.Second
	drain          = 2 * time.Second
	// serveAfterDrain is how much longer the target serves.
	serveAfterDrain = time.Second
	// uploadAhead is how long the upload is on its way before its target reports that it
	// leaves.
	uploadAhead = 300 * time.Millisecond
)

// uploadDrain: a target reports that it is draining while a body is on its way to the node
// beside it. Rule DRAIN.
func uploadDrain(fleet *fleet, trouble bool) (bool, error) {
	entry, err := fleet.addNode(0, "profile-desk", false)
	if err != nil {
		return false, err
	}
	beside, err := fleet.addNode(1, "ride-intake", true)
	if err != nil {
		return false, err
	}
	if _, err := startLink(beside.gate, beside.listenGate, uploadLink); err != nil {
		return false, err
	}
	if err := fleet.startAll(); err != nil {
		return false, err
	}
	services := []object{serviceOf("profile-desk"), serviceOf("ride-intake")}
	routes := []object{{
		"name": "r-upload", "host": host, "prefix": "/ride/", "kind": "upload", "timeoutMs": uploadDeadline.Milliseconds(),
		"objectiveMs": 1200, "priority": 1, "service": "ride-intake", "maxAttempts": 2,
	}}
	if err := fleet.configure(configOf(1, 0, services, routes)); err != nil {
		return false, err
	}
	target, err := startTarget(beside, fleet.record, "i-upload", uploadWork)
	if err != nil {
		return false, err
	}
	defer target.stop()
	if err := fleet.awaitReady(entry, beside); err != nil {
		return false, err
	}
	if !warmUp(entry, "/ride/", "warm", http.MethodPost) {
		return false, fmt.Errorf("%w: the target gets no calls", errSetup)
	}
	// All machines have been in touch for longer than liveness_s, 3 s.
	time.Sleep(4 * time.Second)
	answered := make(chan answer, 1)
	fleet.record.add("a client sends upload-1 with %d bytes, deadline %s", uploadBytes, uploadDeadline)
	go func() {
		answered <- call(entry.callers, http.MethodPost, "/ride/1", "upload-1", uploadDeadline, uploadBytes)
	}()
	var acknowledged time.Time
	if trouble {
		time.Sleep(uploadAhead)
		ok := false
		if acknowledged, ok = target.drain(); !ok {
			return false, fmt.Errorf("%w: draining is not acknowledged", errSetup)
		}
		time.AfterFunc(time.Until(acknowledged.Add(drain+serveAfterDrain)), target.leave)
	}
	got := <-answered
	fleet.record.add("the client gets %d %q", got.status, got.body)
	runs := target.runsOf("upload-1")
	if !trouble {
		if got.status != http.StatusOK || len(runs) != 1 {
			return false, fmt.Errorf("%w: the upload is not served in calm", errSetup)
		}
		return false, nil
	}
	for _, at := range runs {
		late := at.Sub(acknowledged)
		fleet.record.add("upload-1 reached the target %.3f s after the acknowledgement, drain_s is %.0f", late.Seconds(), drain.Seconds())
		if late > drain {
			return true, nil
		}
	}
	return false, nil
}

// warmUp calls a route until it is served.
func warmUp(entry *machine, path, id, method string) bool {
	for i, end := 0, time.Now().Add(startWait); time.Now().Before(end); i++ {
		if call(entry.callers, method, path+"w", fmt.Sprintf("%s-%d", id, i), time.Second, 0).status == http.StatusOK {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}
