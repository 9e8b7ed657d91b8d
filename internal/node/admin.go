package node

import (
	"fmt"

	"github.com/valyala/fasthttp"
)

// serveAdmin handles requests to the admin address: announcements of the local
// upstream, health, readiness and metrics. Requests are offered to extraAdmin
// first.
func (node *Node) serveAdmin(request *fasthttp.RequestCtx) {
	if node.extraAdmin != nil && node.extraAdmin(request) {
		return
	}
	switch method, path := string(request.Method()), string(request.Path()); {
	case method == "POST" && path == "/v1/announce":
		node.gate.HandleAnnouncement(request)
	case method == "POST" && path == "/v1/leave":
		node.gate.HandleLeave(request)
	case method == "GET" && path == "/v1/health":
		node.health(request)
	case method == "GET" && path == "/v1/ready":
		node.ready(request)
	case method == "GET" && path == "/metrics":
		node.stats.Write(request)
	default:
		request.SetStatusCode(fasthttp.StatusNotFound)
		request.SetBodyString(method + " " + path + " is not part of the API\n")
	}
}

// health responds with the version of the configuration in force, and with
// status 503 if there is none.
func (node *Node) health(request *fasthttp.RequestCtx) {
	version := node.version()
	if version == 0 {
		request.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	request.SetBodyString(fmt.Sprintf("{\"version\":%d}\n", version))
}

// ready responds with status 200 if new callers may be sent to this node, and
// with status 503 before the node is synced and during shutdown.
func (node *Node) ready(request *fasthttp.RequestCtx) {
	if !node.entry.Synced() || node.stopping.Load() {
		request.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
	request.SetBodyString("{}\n")
}
