package node

import (
	"bytes"
	"net"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// The classes that calls are measured in.
const (
	classKeyed = "keyed"
	classRead  = "read"
	classOther = "other"
)

// call is one caller's request on its way.
type call struct {
	request  *fasthttp.RequestCtx
	config   *rsrc.Config
	route    rsrc.Route
	service  string
	customer string
	id       string
	class    string
	// started is when the request was read.
	started time.Time
	// repeatable is true when a second run does no harm or cannot happen.
	repeatable bool
	// repeated is true when the call is part of a retry further up.
	repeated bool
	// key is set for calls of class keyed.
	key dedup.Key
	// side is the side of a rollout that the call goes to.
	versionSet versionSet
	// mayHaveRun is true once any try was sent without a certain outcome.
	mayHaveRun bool
	// failed is the latest error answer of an upstream, kept in case no later
	// try does better.
	errorResponse *fasthttp.Response
	// tried lists targets that failed the call, full those without a free slot.
	failedTargets []string
	full          []string
	// tries counts the targets that may have seen the call, refusals the gates
	// that turned it away.
	tries    int
	refusals int
	// retryAfter is the soonest time at which a gate expects room.
	retryAfter time.Duration
}

// newCall reads a request and finds its route. Without a call the request has
// its answer.
func (node *Node) newCall(request *fasthttp.RequestCtx) (*call, time.Duration, bool) {
	info, err := node.dialect.RequestInfo(&request.Request)
	if err != nil {
		node.refuseEarly(request, info, fasthttp.StatusBadRequest, err.Error())
		return nil, 0, false
	}
	config := node.config.Load()
	if config == nil || !node.synced.Load() {
		node.refuseEarly(request, info, fasthttp.StatusServiceUnavailable, "no configuration yet")
		return nil, 0, false
	}
	route, ok := config.Match(hostOf(request), rawPath(request))
	if !ok {
		node.refuseEarly(request, info, fasthttp.StatusNotFound, "no route")
		return nil, 0, false
	}
	call := &call{
		request:    request,
		config:     config,
		route:      route,
		customer:   info.Customer,
		id:         info.ID,
		class:      classOther,
		started:    node.now(),
		repeatable: idempotent(route.Kind(), string(request.Method())),
		repeated:   info.Repeated,
	}
	if err := call.identify(info); err != nil {
		node.refuseEarly(request, info, fasthttp.StatusBadRequest, err.Error())
		return nil, 0, false
	}
	call.service = node.chooseService(route)
	timeout := route.Timeout()
	if info.Timeout > 0 {
		timeout = min(timeout, info.Timeout)
	}
	return call, timeout, true
}

// identify settles the call's customer, id, key and class.
func (call *call) identify(info RequestInfo) error {
	if call.customer == "" {
		call.customer = "none"
	}
	if call.id == "" {
		call.id = uuid.NewString()
	}
	if call.repeatable {
		call.class = classRead
	}
	if info.Key == "" {
		return nil
	}
	key, err := dedup.ParseKey(call.route.Service(), call.customer, info.Key)
	if err != nil {
		return err
	}
	call.class, call.repeatable, call.key = classKeyed, true, key
	// A resend must come to the same version as the first call.
	call.id = info.Key
	return nil
}

// hostOf returns the host that a request is for, without a port.
func hostOf(request *fasthttp.RequestCtx) string {
	host := strings.ToLower(string(request.Request.Header.Host()))
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// startTime is about how long a node needs from its start to a configuration
// while control VMs answer; callers are told to come back after it.
const startupRetryAfter = 200 * time.Millisecond

// rawPath returns the path as it was sent. The library's own accessor would
// rewrite the request's target when it is passed on.
func rawPath(request *fasthttp.RequestCtx) string {
	uri := request.Request.Header.RequestURI()
	if i := bytes.Index(uri, []byte("://")); i > 0 && uri[0] != '/' {
		rest := uri[i+len("://"):]
		uri = rest[max(0, bytes.IndexByte(rest, '/')):]
	}
	if i := bytes.IndexByte(uri, '?'); i >= 0 {
		uri = uri[:i]
	}
	return string(uri)
}

// idempotent goes by the route's kind, and by the method only for routes that
// state none.
func idempotent(kind rsrc.CallKind, method string) bool {
	switch kind {
	case rsrc.CallIdempotent:
		return true
	case rsrc.CallNonIdempotent:
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// refuseEarly refuses a call before it was tried. A key may have come before,
// so only a call without one is certain not to have run.
func (node *Node) refuseEarly(request *fasthttp.RequestCtx, info RequestInfo, status int, reason string) {
	outcome := proxy.OutcomeNotRun
	if _, err := dedup.ParseKey("", "", info.Key); err == nil && info.Key != "" {
		outcome = proxy.OutcomeUnknown
	}
	reply := LocalReply{Status: status, Outcome: outcome, Reason: reason}
	if status == fasthttp.StatusServiceUnavailable {
		reply.RetryAfter = startupRetryAfter
	}
	node.dialect.LocalReply(&request.Response, reply)
	node.log.V(1).Info("call refused early", "id", info.ID, "status", status, "reason", reason)
}
