package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// host is the host of all routes.
const host = "orders.example"

// exchange is one request of a client and its answer.
type exchange struct {
	id   string
	node string
	path string
	sent time.Time
	// status is zero if the connection ended without a complete answer.
	status int
	body   string
	signed bool
}

// clients send requests through nodes at a steady rate.
type clients struct {
	fleet *fleet
	lock  sync.Mutex
	all   []exchange
	group sync.WaitGroup
	// count numbers the requests.
	count int
	// claims are the names of services that the clients send as that of the caller.
	claims []string
	// trailerClaim is such a name that a tenth of the requests have in their trailer section,
	// after a chunked body; empty for none.
	trailerClaim string
}

// sendFor sends requests with a method and the paths in turn through the nodes in
// turn, at a number of requests per second, and waits for the answers.
func (clients *clients) sendFor(ctx context.Context, duration time.Duration, perSecond int, method string, paths []string, nodes ...machine) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	end := time.After(duration)
	for {
		select {
		case <-end:
			clients.group.Wait()
			return
		case <-ticker.C:
			clients.count++
			id, node := fmt.Sprintf("a%06d", clients.count), nodes[clients.count%len(nodes)]
			path := paths[clients.count%len(paths)]
			clients.group.Go(func() { clients.send(ctx, id, method, path, node) })
		}
	}
}

func (clients *clients) send(ctx context.Context, id, method, path string, node machine) {
	const deadline = 2 * time.Second
	sent := exchange{id: id, node: node.name, path: path, sent: time.Now()}
	clients.fleet.record.write("sent id=%s node=%s %s %s", id, node.name, method, path)
	ctx, cancel := context.WithTimeout(ctx, deadline+time.Second)
	defer cancel()
	var body io.Reader
	if method != "GET" {
		body = strings.NewReader("order " + id)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+node.at(clients.fleet.ports.outbound)+path, body)
	if err == nil {
		request.Host = host
		request.Header.Set("Vanillapulley-Attempt-Id", id)
		request.Header.Set("Vanillapulley-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		clients.claim(request, id)
		err = sent.exchange(request)
	}
	clients.fleet.record.write("answered id=%s status=%d signed=%t body=%q error=%v", id, sent.status, sent.signed, sent.body, err)
	clients.lock.Lock()
	defer clients.lock.Unlock()
	clients.all = append(clients.all, sent)
}

// claim adds the names of services that the clients send as that of the caller.
func (clients *clients) claim(request *http.Request, id string) {
	if clients.trailerClaim != "" && strings.HasSuffix(id, "1") {
		request.Body, request.ContentLength = io.NopCloser(strings.NewReader("read "+id)), -1
		request.Trailer = http.Header{callerHeader: {clients.trailerClaim}}
		return
	}
	for _, service := range clients.claims {
		request.Header.Add(callerHeader, service)
	}
}

// callerHeader names the service that runs on the machine where a request began.
const callerHeader = "Vanillapulley-Caller-Service"

// exchange sends the request on a new connection and reads the whole answer.
func (sent *exchange) exchange(request *http.Request) error {
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	sent.status, sent.body = response.StatusCode, strings.TrimSpace(string(text))
	sent.signed = response.Header.Get("Vanillapulley-Response-Signature") != ""
	return nil
}

func (clients *clients) list() []exchange {
	clients.lock.Lock()
	defer clients.lock.Unlock()
	return append([]exchange{}, clients.all...)
}
