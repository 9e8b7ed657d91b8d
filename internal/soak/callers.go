package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

const (
	// callsPerSecond is the total rate of calls over all nodes.
	callsPerSecond = 150
	// callTimeout is the timeout that each request carries in its header.
	callTimeout = 2 * time.Second
	// responseSlack is how long after callTimeout a response may still arrive. It
	// allows for the last hop and for a busy machine.
	responseSlack = time.Second
	// maxKeyedSends is the maximum number of sends of a keyed call. The call is not
	// sent again after the outcome "ran".
	maxKeyedSends = 3
	// longEvery is the number of calls of which one takes longWork, so that calls are in
	// progress or wait whenever a node is stopped.
	longEvery = 20
	longWork  = 900 * time.Millisecond
)

// callers generates load: it sends calls through all nodes until its context is
// done.
type callers struct {
	history *history
	fleet   *fleet
	random  *rand.Rand
	client  *fasthttp.Client
	// number is the number of the last call; it is part of the call's path.
	number int
	// sends is the number of requests so far.
	sends atomic.Int64
}

func newCallers(fleet *fleet, history *history, seed uint64) *callers {
	client := newClient(func(malformed *proxy.FormatError) { history.addViolation("a call: %v", malformed) })
	// Retries by the HTTP client would hide failures from the checks.
	client.MaxIdemponentCallAttempts = 1
	client.RetryIfErr = func(*fasthttp.Request, int, error) (bool, bool) { return false, false }
	return &callers{history: history, fleet: fleet, random: rand.New(rand.NewPCG(seed, 3)), client: client}
}

// run starts calls at a constant rate until the context is done and returns once
// every call has ended.
func (callers *callers) run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / callsPerSecond)
	defer ticker.Stop()
	var pending sync.WaitGroup
	defer pending.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		callers.number++
		number, firstNode, callKind := callers.number, callers.random.IntN(len(callers.fleet.callers)), callKind(callers.random.IntN(3))
		pending.Go(func() { callers.makeCall(number, firstNode, callKind) })
	}
}

// makeCall makes one call through the node with the index firstNode. A keyed call
// is sent again through the following nodes until its outcome is "ran" or it was
// sent maxKeyedSends times.
func (callers *callers) makeCall(number, firstNode int, callKind callKind) {
	path := fmt.Sprintf("/soak/%d", number)
	if number%longEvery == 0 {
		path = fmt.Sprintf("%s%d/%d", workPath, longWork.Milliseconds(), number)
	}
	callers.history.begin(path, callKind)
	switch callKind {
	case callRead:
		callers.send(firstNode, "GET", path, "")
	case callNonIdempotent:
		callers.send(firstNode, "POST", path, "")
	case callKeyed:
		key, err := uuid.NewV7()
		if err != nil {
			return
		}
		for i := range maxKeyedSends {
			if callers.send((firstNode+i)%len(callers.fleet.callers), "POST", path, key.String()) == proxy.OutcomeRan {
				return
			}
		}
	}
}

// send sends one request through a node and records and returns its outcome. The
// outcome is empty if there was no response.
func (callers *callers) send(node int, method, path, key string) proxy.Outcome {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + callers.fleet.callers[node] + path)
	request.Header.SetMethod(method)
	request.Header.Set(proxy.HeaderTimeout, strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if key != "" {
		request.Header.Set(proxy.HeaderIdempotencyKey, key)
	}
	if callers.sends.Add(1)%forgeryEvery == 0 {
		forgeHeaders(request)
	}
	started := time.Now()
	err := callers.client.DoTimeout(request, response, callTimeout+responseSlack)
	if err != nil {
		callers.history.recordOutcome(path, "", false)
		callers.checkNoResponse(node, path, started, err)
		return ""
	}
	outcome := proxy.Outcome(response.Header.Peek(proxy.HeaderOutcome))
	served := outcome == proxy.OutcomeRan && response.StatusCode() == fasthttp.StatusOK
	callers.history.recordOutcome(path, outcome, served)
	switch outcome {
	case proxy.OutcomeRan, proxy.OutcomeNotRun, proxy.OutcomeUnknown:
	default:
		callers.history.addViolation("%s: the response with status %d has no valid outcome header", path, response.StatusCode())
	}
	if want := fmt.Sprintf("%s v1 %s %s\n", service, method, path); served && !bytes.Equal(response.Body(), []byte(want)) {
		callers.history.addViolation("%s: the response belongs to another call: %q", path, response.Body())
	}
	return outcome
}

// checkNoResponse records a violation for a send without a response, unless a
// fault affected the node through which it was sent. A planned stop is no reason for that
// while the node accepts connections, however long the call takes.
func (callers *callers) checkNoResponse(node int, path string, started time.Time, err error) {
	if !callers.fleet.inFaultWindow(nodeName(node), started, time.Now()) {
		callers.history.addViolation("%s through %s: no response after %.2f s although no fault affected the node: %v", path, nodeName(node), time.Since(started).Seconds(), err)
	}
}
