package entry

import (
	"bytes"
	"net"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/quota"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Classes of calls, used as a metric label. An idempotent call without a key,
// whatever its method, has class read.
const (
	classKeyed      = "keyed"
	classIdempotent = "read"
	classOther      = "other"
)

// call is the state of one caller's request while it is served.
type call struct {
	request *fasthttp.RequestCtx
	config  *rsrc.Config
	route   rsrc.Route
	service string
	// account is the account of the call. It is nil on public routes, for nested calls,
	// and if the configuration contains no accounts.
	account *rsrc.Account
	// token is the token of an account with a limit.
	token *quota.Token
	// customer is the name of the account. A nested call has the customer of its parent.
	// Without accounts, it is what the caller states.
	customer string
	id       string
	// nestedID is the id by which the parent of a nested call is found. It is id, unless the
	// call has a key.
	nestedID string
	class    string
	// started is the time at which the request was read.
	started time.Time
	// objective is the time after which the response loses most of its value.
	objective time.Time
	// nested is true if the upstream beside this node made the call while it serves
	// another one.
	nested bool
	// repeatable is true if a second execution is harmless or is prevented by
	// an idempotency key.
	repeatable bool
	// inRetry is true if the call is a retry by its caller or is made while a
	// retried call is served.
	inRetry bool
	// key is set only for calls of class keyed.
	key dedup.Key
	// versionSet is the set of versions that the call may go to.
	versionSet versionSet
	// mayHaveRun is true once a try or a lookup of the key had an unknown
	// outcome.
	mayHaveRun bool
	// errorResponse is the latest error response of an upstream. The caller
	// gets it if no later try succeeds.
	errorResponse *fasthttp.Response
	// search is the search for a target.
	search picker.Search
	// tries counts the tries that are limited by the retry budget and the
	// route's maximum, refusals the tries that are not.
	tries    int
	refusals int
	// sent is true if the shedder has counted the call and not refused it, which was at
	// the time offeredAt.
	sent      bool
	offeredAt time.Time
	// notWorthQueueing counts the gates that refused the call and said that it would
	// not have been worth queueing.
	notWorthQueueing int
	// retryAfter is the shortest time after which a refusing gate expects a
	// free slot.
	retryAfter time.Duration
}

// newCall parses a request and finds its route. If it returns false, it has
// already written the response. The duration is the call's timeout.
func (entry *Entry) newCall(request *fasthttp.RequestCtx) (*call, time.Duration, bool) {
	info, err := entry.dialect.RequestInfo(&request.Request)
	// The key is removed before the request is used in any way. A header with the name of
	// an account is not taken from a caller.
	request.Request.Header.Del(entry.dialect.KeyHeader())
	request.Request.Header.Del(entry.dialect.AccountHeader())
	if err != nil {
		entry.refuseEarly(request, info, fasthttp.StatusBadRequest, err.Error())
		return nil, 0, false
	}
	config := entry.config()
	if config == nil || !entry.synced.Load() {
		entry.refuseEarly(request, info, fasthttp.StatusServiceUnavailable, "no configuration yet")
		return nil, 0, false
	}
	route, ok := config.Match(hostOf(request), rawPath(request))
	if !ok {
		entry.refuseEarly(request, info, fasthttp.StatusNotFound, "no route")
		return nil, 0, false
	}
	caller, reason := entry.authenticate(config, route, info)
	if reason != "" {
		entry.refuseKey(request, info, config, route, reason)
		return nil, 0, false
	}
	call := &call{
		request:    request,
		config:     config,
		route:      route,
		account:    caller.account,
		customer:   caller.customer,
		id:         info.ID,
		class:      classOther,
		started:    entry.now(),
		repeatable: idempotent(route.Kind(), string(request.Method())),
		inRetry:    info.InRetry,
	}
	if err := call.identify(info); err != nil {
		entry.refuseEarly(request, info, fasthttp.StatusBadRequest, err.Error())
		return nil, 0, false
	}
	call.service = entry.chooseService(route)
	call.objective = call.started.Add(route.Objective())
	call.nestedID = info.ID
	_, call.nested = entry.parentCalls.Customer(call.nestedID)
	if info.Timeout > 0 && !call.nested {
		call.objective = call.objective.Add(-entry.stated.Observe(route.Name(), info.Timeout))
	}
	timeout := route.Timeout()
	if info.Timeout > 0 {
		timeout = min(timeout, info.Timeout)
	}
	if !entry.canEnd(call.started, timeout) {
		entry.refuseEarly(request, info, fasthttp.StatusServiceUnavailable, reasonStop)
		return nil, 0, false
	}
	return call, timeout, true
}

// identify sets the call's customer, id, key and class. A call with a key
// becomes repeatable.
func (call *call) identify(info proto.RequestInfo) error {
	if call.customer == "" {
		call.customer = "none"
	}
	if call.id == "" {
		call.id = uuid.NewString()
	}
	if call.repeatable {
		call.class = classIdempotent
	}
	if info.Key == "" {
		return nil
	}
	key, err := dedup.ParseKey(call.route.Service(), call.customer, info.Key)
	if err != nil {
		return err
	}
	call.class, call.repeatable, call.key = classKeyed, true, key
	// The key replaces the id, so that a retry with the same key is assigned
	// the same version as the first call.
	call.id = info.Key
	return nil
}

// hostOf returns the host of a request in lower case, without the port.
func hostOf(request *fasthttp.RequestCtx) string {
	host := strings.ToLower(string(request.Request.Header.Host()))
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// earlyRetryAfter is the retry delay of callers refused before any try. It is
// approximately how long a node takes from its start to its first configuration if
// control VMs respond, and calls in progress take to free a worker or memory.
const earlyRetryAfter = 200 * time.Millisecond

// rawPath returns the path exactly as it was sent. The request line may contain
// a path or a whole URL. With fasthttp's own accessor for the path, the request
// would be forwarded with a rewritten URI.
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

// idempotent reports whether a call is idempotent. The kind of the route
// decides; the method is used only if the route has no kind.
func idempotent(kind rsrc.CallKind, method string) bool {
	switch kind {
	case rsrc.CallIdempotent:
		return true
	case rsrc.CallNonIdempotent, rsrc.CallUpload:
		return false
	}
	switch method {
	case "GET", "HEAD", "OPTIONS", "PUT", "DELETE":
		return true
	default:
		return false
	}
}

// refuseEarly refuses a call before any try. A call with a valid idempotency key
// may have run in an earlier request, so its outcome is unknown. The outcome of
// any other call is not-run.
func (entry *Entry) refuseEarly(request *fasthttp.RequestCtx, info proto.RequestInfo, status int, reason string) {
	outcome := proxy.OutcomeNotRun
	if _, err := dedup.ParseKey("", "", info.Key); err == nil && info.Key != "" {
		outcome = proxy.OutcomeUnknown
	}
	reply := proto.LocalReply{Status: status, Outcome: outcome, Reason: reason}
	if status == fasthttp.StatusServiceUnavailable {
		reply.RetryAfter = earlyRetryAfter
	}
	entry.dialect.LocalReply(&request.Response, reply)
	entry.log.V(1).Info("call refused before any try", "id", info.ID, "status", status, "reason", reason)
}

// Reject responds to a caller's request that cannot be parsed, or that cannot
// be served for lack of memory or of a worker.
func (entry *Entry) Reject(request *fasthttp.RequestCtx, status int) {
	entry.stats.Count("vp_requests_refused_total", 1)
	info, err := entry.dialect.RequestInfo(&request.Request)
	if err != nil {
		entry.log.V(1).Info("rejected request without readable metadata", "status", status, "error", err.Error())
	}
	if status == fasthttp.StatusRequestTimeout {
		// The request was not read whole, so it may have a key and may have run before.
		entry.dialect.LocalReply(&request.Response, proto.LocalReply{Status: status, Outcome: proxy.OutcomeUnknown, Reason: fasthttp.StatusMessage(status)})
		return
	}
	entry.refuseEarly(request, info, status, fasthttp.StatusMessage(status))
}
