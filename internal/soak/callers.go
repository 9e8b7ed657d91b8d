package soak

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

const (
	// callsPerSecond is the load of all callers together.
	callsPerSecond = 150
	// callTimeout is the time that a call states.
	callTimeout = 2 * time.Second
	// responseSlack is how much later than that an answer may come: the last hop
	// and a busy machine.
	responseSlack = time.Second
	// maxKeyedSends is how often an order without a final answer is sent.
	maxKeyedSends = 3
)

// callers send calls by all nodes until their context ends.
type callers struct {
	history *history
	fleet   *fleet
	random  *rand.Rand
	client  *fasthttp.Client
	number  int
}

func newCallers(fleet *fleet, history *history, seed uint64) *callers {
	return &callers{
		history: history, fleet: fleet, random: rand.New(rand.NewPCG(seed, 3)),
		// What the callers see must not be hidden by tries of the client's own.
		client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }},
	}
}

// run sends at a steady rate and returns once every call has ended.
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

// makeCall makes one makeCall by a node; an order is sent again by the next ones.
func (callers *callers) makeCall(number, firstNode int, callKind callKind) {
	path := fmt.Sprintf("/soak/%d", number)
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
		for attempt := range maxKeyedSends {
			if callers.send((firstNode+attempt)%len(callers.fleet.callers), "POST", path, key.String()) == proxy.OutcomeRan {
				return
			}
		}
	}
}

// send makes one send and records how it ended.
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
		callers.history.addViolation("%s: status %d states no outcome", path, response.StatusCode())
	}
	if want := fmt.Sprintf("%s v1 %s %s\n", service, method, path); served && !bytes.Equal(response.Body(), []byte(want)) {
		callers.history.addViolation("%s: the answer is not its own: %q", path, response.Body())
	}
	return outcome
}

// checkNoResponse judges a call without an answer: only a fault at its own node excuses
// it.
func (callers *callers) checkNoResponse(node int, path string, started time.Time, err error) {
	if !callers.fleet.inFaultWindow(nodeName(node), started, time.Now()) {
		callers.history.addViolation("%s by %s: no answer after %.2f s without a fault there: %v", path, nodeName(node), time.Since(started).Seconds(), err)
	}
}
