package soak

import (
	"fmt"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// oddAnnouncements are announcements that no upstream sends. A node must refuse them.
var oddAnnouncements = []string{
	`{"service": "depot-archive", "version": "v1", "address": "127.0.0.1", "slots": 12, "ttl": "2s"}`,
	`{"service": "depot-archive", "version": "v1", "address": "127.0.0.1:1", "slots": 9223372036854775807, "ttl": "2s"}`,
	`{"service": "depot-archive", "version": "v1", "address": "127.0.0.1:1", "slots": 1e300, "ttl": "2s"}`,
	`{"service": "", "version": "v1", "address": "127.0.0.1:1", "slots": 12, "ttl": "2s"}`,
	`{"service": ["depot-archive"], "slots": "twelve"}`,
	`{"service": ` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + `}`,
	"\x00{{{",
}

// oddInterval is the time between two odd announcements.
const oddInterval = 20 * time.Millisecond

// sendOddities sends odd announcements to a node for a time. A node that answers must
// refuse them.
func (fleet *fleet) sendOddities(node string, duration time.Duration, history *history) {
	address := fleet.adminOf(node)
	for i, end := 0, time.Now().Add(duration); time.Now().Before(end); i++ {
		odd := oddAnnouncements[i%len(oddAnnouncements)]
		request, response := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
		request.SetRequestURI("http://" + address + "/v1/announce")
		request.Header.SetMethod(fasthttp.MethodPost)
		request.SetBodyString(odd)
		err := httpClient.DoTimeout(request, response, time.Second)
		if err == nil && response.StatusCode() < fasthttp.StatusBadRequest {
			history.addViolation("%s accepted an odd announcement with status %d: %.80q", node, response.StatusCode(), odd)
		}
		fasthttp.ReleaseRequest(request)
		fasthttp.ReleaseResponse(response)
		time.Sleep(oddInterval)
	}
}

// adminOf returns the admin address of a node.
func (fleet *fleet) adminOf(node string) string {
	for i, address := range fleet.admins {
		if nodeName(i) == node {
			return address
		}
	}
	return ""
}

// forgeryEvery is the number of calls of which one has forged headers.
const forgeryEvery = 5

// forgeHeaders adds headers that only nodes set, each of them twice, to a request.
func forgeHeaders(request *fasthttp.Request) {
	for _, name := range []string{
		proxy.HeaderOutcome, proxy.HeaderService, proxy.HeaderVersion, proxy.HeaderCaller, proxy.HeaderTarget, proxy.HeaderLoad,
		proxy.HeaderRetry, proxy.HeaderStarved, proxy.HeaderTooLate, proxy.HeaderLimit, proxy.HeaderLeaving, proxy.HeaderInstance, proxy.HeaderQueue, proxy.HeaderExchange,
	} {
		for i := range 2 {
			request.Header.Add(name, fmt.Sprint(i))
		}
	}
	request.Header.Add("Trailer", proxy.HeaderRequestID)
}
