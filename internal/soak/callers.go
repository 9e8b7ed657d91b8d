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
	// allowed is the time that a call states.
	allowed = 2 * time.Second
	// answerSlack is how much later than that an answer may come: the last hop
	// and a busy machine.
	answerSlack = time.Second
	// orderSends is how often an order without a final answer is sent.
	orderSends = 3
)

// callers send calls by all nodes until their context ends.
type callers struct {
	book   *book
	fleet  *fleet
	random *rand.Rand
	client *fasthttp.Client
	number int
}

func newCallers(fleet *fleet, book *book, seed uint64) *callers {
	return &callers{
		book: book, fleet: fleet, random: rand.New(rand.NewPCG(seed, 3)),
		// What the callers see must not be hidden by tries of the client's own.
		client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true, RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false }},
	}
}

// run sends at a steady rate and returns once every call has ended.
func (callers *callers) run(ctx context.Context) error {
	ticker := time.NewTicker(time.Second / callsPerSecond)
	defer ticker.Stop()
	var open sync.WaitGroup
	defer open.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		callers.number++
		number, first, use := callers.number, callers.random.IntN(len(callers.fleet.callers)), use(callers.random.IntN(3))
		open.Go(func() { callers.call(number, first, use) })
	}
}

// call makes one call by a node; an order is sent again by the next ones.
func (callers *callers) call(number, first int, use use) {
	path := fmt.Sprintf("/soak/%d", number)
	callers.book.begin(path, use)
	switch use {
	case useRead:
		callers.send(first, "GET", path, "")
	case useOnce:
		callers.send(first, "POST", path, "")
	case useOrder:
		key, err := uuid.NewV7()
		if err != nil {
			return
		}
		for try := range orderSends {
			if callers.send((first+try)%len(callers.fleet.callers), "POST", path, key.String()) == proxy.OutcomeRan {
				return
			}
		}
	}
}

// send makes one send and records how it ended.
func (callers *callers) send(by int, method, path, key string) proxy.Outcome {
	request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(request)
	defer fasthttp.ReleaseResponse(response)
	request.SetRequestURI("http://" + callers.fleet.callers[by] + path)
	request.Header.SetMethod(method)
	request.Header.Set(proxy.HeaderTimeout, strconv.FormatInt(allowed.Milliseconds(), 10))
	if key != "" {
		request.Header.Set(proxy.HeaderIdempotencyKey, key)
	}
	begun := time.Now()
	err := callers.client.DoTimeout(request, response, allowed+answerSlack)
	if err != nil {
		callers.book.end(path, "", false)
		callers.silent(by, path, begun, err)
		return ""
	}
	outcome := proxy.Outcome(response.Header.Peek(proxy.HeaderOutcome))
	good := outcome == proxy.OutcomeRan && response.StatusCode() == fasthttp.StatusOK
	callers.book.end(path, outcome, good)
	switch outcome {
	case proxy.OutcomeRan, proxy.OutcomeNotRun, proxy.OutcomeUnknown:
	default:
		callers.book.broken("%s: status %d states no outcome", path, response.StatusCode())
	}
	if want := fmt.Sprintf("%s v1 %s %s\n", service, method, path); good && !bytes.Equal(response.Body(), []byte(want)) {
		callers.book.broken("%s: the answer is not its own: %q", path, response.Body())
	}
	return outcome
}

// silent judges a call without an answer: only a fault at its own node excuses
// it.
func (callers *callers) silent(by int, path string, begun time.Time, err error) {
	if !callers.fleet.excused(nodeName(by), begun, time.Now()) {
		callers.book.broken("%s by %s: no answer after %.2f s without a fault there: %v", path, nodeName(by), time.Since(begun).Seconds(), err)
	}
}
