// Command standin runs the cases of the review: it starts the daemons as separate
// processes on loopback addresses, plays the clients, the targets and the operator,
// and checks one rule. It exits with 0 if the rule held, 1 if it was broken and 2 if
// the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit is the longest time that a case may take.
const caseLimit = 110 * time.Second

// scenario plays a case and returns what breaks the rule, one line each. The error is
// set if the case could not run.
type scenario func(ctx context.Context, record *record, trouble bool) (broken []string, err error)

var scenarios = map[string]scenario{
	"bare":   playBare,
	"extra":  playExtra,
	"leave":  playLeave,
	"caller": playCaller,
	"stray":  playStray,
}

func main() { os.Exit(play(os.Args[1:])) }

// play runs the named case, whose record is written to the given file.
func play(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD-FILE")
		return exitNotRun
	}
	record, err := newRecord(args[1])
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	ctx, cancel := context.WithTimeout(context.Background(), caseLimit)
	defer cancel()
	broken, err := scenarios[args[0]](ctx, record, os.Getenv("TROUBLE") != "0")
	for _, line := range broken {
		record.write("BROKEN %s", line)
	}
	if err != nil {
		record.write("could not run: %v", err)
	}
	if closeErr := record.close(); closeErr != nil && err == nil {
		err = closeErr
	}
	switch {
	case err != nil:
		fmt.Println("could not run:", err)
		return exitNotRun
	case len(broken) > 0:
		fmt.Printf("broken %d times, first: %s\n", len(broken), broken[0])
		return exitBroken
	default:
		fmt.Println("held")
		return exitHeld
	}
}

// document returns a configuration with one route for each given service.
func document(version, base int, kind string, services ...string) map[string]any {
	var routes, declared []map[string]any
	for _, service := range services {
		routes = append(routes, route(service, service, kind, maxAttempts))
		declared = append(declared, map[string]any{"name": service, "healthPath": "/healthz", "maxConnections": 110, "protocol": "h1", "tls": false})
	}
	return map[string]any{
		"version": version, "base": base, "routes": routes, "services": declared,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// route returns a route whose name and path prefix are derived from the given name.
func route(name, service, kind string, attempts int) map[string]any {
	return map[string]any{
		"name": "r-" + name, "host": host, "prefix": "/" + name + "/", "kind": kind, "timeoutMs": routeTimeout.Milliseconds(),
		"objectiveMs": 800, "priority": 1, "service": service, "maxAttempts": attempts,
	}
}

// configure sends the first configuration and waits until all nodes are ready.
func (fleet *fleet) configure(ctx context.Context, document map[string]any) error {
	if status, reply := fleet.order(ctx, "POST", "/v1/whole", document, 20*time.Second); status != 200 {
		return fmt.Errorf("the first configuration is not accepted: %d %s", status, reply)
	}
	return fleet.awaitReady(ctx, fleet.nodes...)
}
