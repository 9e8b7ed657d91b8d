package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playExtra has the only target of a service reject part of the requests as not run
// and send a few of its responses a second time, late. A non-idempotent request that
// was refused with 503 must not run, and none may run twice.
func playExtra(ctx context.Context, record *record, trouble bool) ([]string, error) {
	fleet, err := newFleet(record, "desk", "archive", "archive")
	if err != nil {
		return nil, err
	}
	defer fleet.stop()
	if err := fleet.startAll(); err != nil {
		return nil, err
	}
	executed := &runs{}
	desk := fleet.newTarget("i-desk", "v1", fleet.nodes[0], executed, 100*time.Millisecond)
	if err := desk.open(ctx); err != nil {
		return nil, err
	}
	defer desk.close()
	configuration := document(1, 0, "nonIdempotent", "desk", "archive")
	configuration["routes"] = append(configuration["routes"].([]map[string]any), route("print", "desk", "nonIdempotent", maxAttempts+1))
	if err := fleet.configure(ctx, configuration); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	clients := &clients{fleet: fleet}
	// The routes allow two and three attempts.
	paths := []string{"/desk/order", "/print/order", "/print/order"}
	const (
		windows   = 12
		length    = 5 * time.Second
		pause     = 2 * time.Second
		perSecond = 80
	)
	for range windows {
		if trouble {
			desk.shedPercent.Store(10)
			desk.extraPercent.Store(3)
		}
		clients.sendFor(ctx, length, perSecond, "PUT", paths, fleet.nodes...)
		desk.shedPercent.Store(0)
		desk.extraPercent.Store(0)
		clients.sendFor(ctx, pause, perSecond, "PUT", paths, fleet.nodes...)
	}
	return checkOnce(clients.list(), executed.list()), nil
}

// playBare has one of two targets of a service send a few bytes too many, late: a status
// line of an error that carries none of the headers of a target's response. Such bytes
// belong to no request, and no client may get them as the answer to its own.
func playBare(ctx context.Context, record *record, trouble bool) ([]string, error) {
	fleet, err := newFleet(record, "desk", "desk", "archive", "archive")
	if err != nil {
		return nil, err
	}
	defer fleet.stop()
	if err := fleet.startAll(); err != nil {
		return nil, err
	}
	executed := &runs{}
	var faulty *target
	for i := range 2 {
		desk := fleet.newTarget(fmt.Sprintf("i-desk-%d", i+1), "v1", fleet.nodes[i], executed, 100*time.Millisecond)
		desk.extraBytes = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
		if err := desk.open(ctx); err != nil {
			return nil, err
		}
		defer desk.close()
		faulty = desk
	}
	if err := fleet.configure(ctx, document(1, 0, "nonIdempotent", "desk", "archive")); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	clients := &clients{fleet: fleet}
	const (
		windows   = 5
		length    = 5 * time.Second
		pause     = 2 * time.Second
		perSecond = 50
	)
	for range windows {
		if trouble {
			faulty.extraPercent.Store(3)
		}
		clients.sendFor(ctx, length, perSecond, "PUT", []string{"/desk/order"}, fleet.nodes...)
		faulty.extraPercent.Store(0)
		clients.sendFor(ctx, pause, perSecond, "PUT", []string{"/desk/order"}, fleet.nodes...)
	}
	return checkOnce(clients.list(), executed.list()), nil
}

// checkOnce checks the rules REFUSED and TWICE for non-idempotent requests.
func checkOnce(exchanges []exchange, executed []run) []string {
	counts := map[string]int{}
	for _, run := range executed {
		counts[run.id]++
	}
	var broken []string
	for _, exchange := range exchanges {
		switch exchange.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if counts[exchange.id] > 0 {
				broken = append(broken, fmt.Sprintf("REFUSED: %s was answered %d and has run", exchange.id, exchange.status))
			}
		}
		if counts[exchange.id] > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s has run %d times", exchange.id, counts[exchange.id]))
		}
	}
	return broken
}

// playLeave has a target deregister, kills the node beside it right after the
// acknowledgement and restarts the node, while the target serves a few seconds longer.
// No request may reach the target later than the drain bound after the
// acknowledgement, once the restarted node is in touch again.
func playLeave(ctx context.Context, record *record, trouble bool) ([]string, error) {
	fleet, err := newFleet(record, "desk", "desk", "archive", "archive")
	if err != nil {
		return nil, err
	}
	defer fleet.stop()
	if err := fleet.startAll(); err != nil {
		return nil, err
	}
	executed := &runs{}
	var desks []*target
	for i := range 2 {
		desk := fleet.newTarget(fmt.Sprintf("i-desk-%d", i+1), "v1", fleet.nodes[i], executed, 80*time.Millisecond)
		if err := desk.open(ctx); err != nil {
			return nil, err
		}
		defer desk.close()
		desks = append(desks, desk)
	}
	if err := fleet.configure(ctx, document(1, 0, "idempotent", "desk", "archive")); err != nil {
		return nil, err
	}
	time.Sleep(4 * time.Second)
	clients := &clients{fleet: fleet}
	sending := make(chan struct{})
	go func() {
		defer close(sending)
		clients.sendFor(ctx, 14*time.Second, 45, "GET", []string{"/desk/read"}, fleet.nodes[2], fleet.nodes[3])
	}()
	time.Sleep(3 * time.Second)
	status, err := desks[0].deregister(ctx)
	acknowledged := time.Now()
	if err != nil || status != http.StatusOK {
		return nil, fmt.Errorf("the target's departure was not acknowledged: %d %w", status, err)
	}
	record.write("acknowledged departure of %s", desks[0].id)
	restarted := acknowledged
	if trouble {
		fleet.kill(fleet.nodes[0])
		record.write("killed %s after the acknowledgement", time.Since(acknowledged))
		time.Sleep(500 * time.Millisecond)
		if err := fleet.start(fleet.nodes[0], false); err != nil {
			return nil, err
		}
		restarted = time.Now()
	}
	<-sending
	return checkDrained(clients.list(), executed.list(), desks[0].id, acknowledged.Add(drainBound), restarted.Add(liveness)), nil
}

// checkDrained checks the rule DRAIN: no request that a client sent after both times
// has reached the target.
func checkDrained(exchanges []exchange, executed []run, target string, drained, inTouch time.Time) []string {
	sent := map[string]time.Time{}
	for _, exchange := range exchanges {
		sent[exchange.id] = exchange.sent
	}
	var broken []string
	for _, run := range executed {
		if run.target == target && sent[run.id].After(drained) && sent[run.id].After(inTouch) {
			broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %s after the end of the drain time", run.id, target, run.at.Sub(drained).Round(time.Millisecond)))
		}
	}
	return broken
}

// playCaller has clients send the header that names the calling service themselves,
// with the name of another service. The target must get the service of the machine
// where the request began, regardless of what was sent. Without trouble the clients
// send the header once, with trouble twice or in the trailer section.
func playCaller(ctx context.Context, record *record, trouble bool) ([]string, error) {
	fleet, err := newFleet(record, "desk", "archive", "archive")
	if err != nil {
		return nil, err
	}
	defer fleet.stop()
	if err := fleet.startAll(); err != nil {
		return nil, err
	}
	executed := &runs{}
	desk := fleet.newTarget("i-desk", "v1", fleet.nodes[0], executed, 20*time.Millisecond)
	if err := desk.open(ctx); err != nil {
		return nil, err
	}
	defer desk.close()
	if err := fleet.configure(ctx, document(1, 0, "idempotent", "desk", "archive")); err != nil {
		return nil, err
	}
	time.Sleep(2 * time.Second)
	clients := &clients{fleet: fleet, claims: []string{"desk"}}
	if trouble {
		clients.claims = []string{"desk", "desk"}
		clients.trailerClaim = "desk"
	}
	clients.sendFor(ctx, 5*time.Second, 20, "GET", []string{"/desk/read"}, fleet.nodes[1], fleet.nodes[2])
	return checkCaller(executed.list(), "archive"), nil
}

// checkCaller checks the rule UNASKED: each request that has run named the service of
// the machine where it began, and no other, as its caller.
func checkCaller(executed []run, service string) []string {
	var broken []string
	for _, run := range executed {
		if len(run.callers) != 1 || run.callers[0] != service {
			broken = append(broken, fmt.Sprintf("UNASKED: %s began at a machine of %s and has run with the callers %q", run.id, service, run.callers))
		}
	}
	return broken
}

// playStray has one heartbeat of another writer, whose service no configuration names,
// arrive at the node beside a target. The target keeps sending heartbeats, which are
// acknowledged, and must stay in use.
func playStray(ctx context.Context, record *record, trouble bool) ([]string, error) {
	fleet, err := newFleet(record, "desk", "archive", "archive")
	if err != nil {
		return nil, err
	}
	defer fleet.stop()
	if err := fleet.startAll(); err != nil {
		return nil, err
	}
	executed := &runs{}
	for i, id := range []string{"i-desk", "i-archive"} {
		target := fleet.newTarget(id, "v1", fleet.nodes[i], executed, 40*time.Millisecond)
		if err := target.open(ctx); err != nil {
			return nil, err
		}
		defer target.close()
	}
	if err := fleet.configure(ctx, document(1, 0, "idempotent", "desk", "archive")); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	clients := &clients{fleet: fleet}
	paths := []string{"/desk/read", "/archive/read"}
	clients.sendFor(ctx, 5*time.Second, 40, "GET", paths, fleet.nodes[2])
	if served := servedShare(clients.list(), "/desk/"); served < 0.9 {
		return nil, fmt.Errorf("only %.2f of the requests were served before the trouble", served)
	}
	if trouble {
		stray := fleet.newTarget("i-stray", "v1", fleet.nodes[0], executed, 0)
		stray.machine.service = "unnamed"
		if status, err := stray.announce(ctx, "ready"); err != nil {
			return nil, fmt.Errorf("the stray heartbeat was not answered: %d %w", status, err)
		}
	}
	const settle = 3 * heartbeat
	time.Sleep(settle)
	before := len(clients.list())
	clients.sendFor(ctx, 40*time.Second, 40, "GET", paths, fleet.nodes[2])
	return checkStarved(clients.list()[before:], "/desk/"), nil
}

// checkStarved checks the rule Starved: the requests with a path prefix are served at
// least a quarter as often as all requests.
func checkStarved(exchanges []exchange, prefix string) []string {
	kind, all := servedShare(exchanges, prefix), servedShare(exchanges, "/")
	if kind < all/4 {
		return []string{fmt.Sprintf("Starved: %.2f of the requests to %s were served, %.2f of all requests", kind, prefix, all)}
	}
	return nil
}

// servedShare returns the share of the requests with a path prefix that were answered
// with success.
func servedShare(exchanges []exchange, prefix string) float64 {
	count, served := 0, 0
	for _, exchange := range exchanges {
		if strings.HasPrefix(exchange.path, prefix) {
			count++
			if exchange.status == http.StatusOK && exchange.signed {
				served++
			}
		}
	}
	return float64(served) / float64(max(1, count))
}
