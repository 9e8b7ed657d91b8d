package ctrl

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Request headers of the API. HeaderRequestID carries the operator's request
// id; a request sent again with the same id gets the first result.
// HeaderRequestContent may carry a hash of the content that the operator
// submitted. Clients need it if they fill in revisions before sending, because
// the body of a request sent again may then differ. Without the header, the body
// is hashed.
const (
	HeaderRequestID      = "Vp-Request-Id"
	HeaderRequestContent = "Vp-Request-Content"
)

// Timeouts of API requests.
const (
	requestTimeout = 10 * time.Second
	watchTimeout   = time.Minute
)

// handle routes one request of the API to its handler.
func (control *Control) handle(request *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(control.requests, requestTimeout)
	defer cancel()
	method, path := string(request.Method()), string(request.Path())
	control.stats.Count("vp_api_requests_total", 1)
	if control.deps.API != nil && control.deps.API(control, request) {
		return
	}
	if order, ok := EvacuationOrder(request); ok {
		control.setEvacuation(ctx, request, order)
		return
	}
	switch {
	case method == "POST" && path == "/v1/apply":
		control.apply(ctx, request)
	case method == "POST" && path == "/v1/replace":
		control.replaceConfig(ctx, request)
	case method == "POST" && path == "/v1/shifts":
		control.startServiceRollout(ctx, request)
	case method == "POST" && path == "/v1/rollouts":
		control.startRollout(ctx, request)
	case method == "POST" && path == "/v1/rollbacks":
		control.rollback(ctx, request)
	case method == "GET" && strings.HasPrefix(path, "/v1/resources"):
		control.readResources(ctx, request, strings.TrimPrefix(path, "/v1/resources"))
	case method == "GET" && path == PathEvacuations:
		control.readResources(ctx, request, "/"+string(rsrc.KindEvacuation))
	case method == "GET" && path == "/v1/history":
		control.history(ctx, request)
	case method == "GET" && path == "/v1/watch":
		control.watch(request)
	case method == "GET" && path == "/v1/members":
		reply(request, control.memberList())
	case method == "GET" && path == "/v1/status":
		control.leaderStatus(ctx, request)
	case method == "GET" && path == "/v1/health":
		reply(request, control.status())
	case method == "GET" && path == "/metrics":
		control.stats.Write(request)
	default:
		replyError(request, fasthttp.StatusNotFound, wire.APIError{Code: wire.CodeNotFound, Reason: method + " " + path + " is not part of the API"})
	}
}

// reply answers with a value encoded as JSON.
func reply(request *fasthttp.RequestCtx, value any) {
	request.SetContentType("application/json")
	request.SetBody(append(wire.MustEncode(value), '\n'))
}

// replyError answers with a status code and an error encoded as JSON.
func replyError(request *fasthttp.RequestCtx, status int, apiError wire.APIError) {
	request.SetStatusCode(status)
	reply(request, apiError)
}

// replyInvalid answers that the request is invalid, with the path and reason of
// the error if it has them.
func replyInvalid(request *fasthttp.RequestCtx, err error) {
	apiError := wire.APIError{Code: wire.CodeInvalid, Reason: err.Error()}
	var fieldError *wire.FieldError
	var validationError *rsrc.ValidationError
	switch {
	case errors.As(err, &validationError):
		apiError.Path, apiError.Reason = validationError.Path, validationError.Reason
	case errors.As(err, &fieldError):
		apiError.Path, apiError.Reason = fieldError.Path, fieldError.Err.Error()
	}
	replyError(request, fasthttp.StatusBadRequest, apiError)
}

// command returns a command for an operator's request, without expected
// revisions and writes. If the request has no id, the command gets a random one.
func (control *Control) command(request *fasthttp.RequestCtx) wire.Command {
	id := string(request.Request.Header.Peek(HeaderRequestID))
	if id == "" {
		id = uuid.NewString()
	}
	content := request.Request.Header.Peek(HeaderRequestContent)
	if len(content) == 0 {
		content = request.PostBody()
	}
	hash := xxhash.New()
	_, _ = hash.Write(request.Path())
	_, _ = hash.Write(content)
	return wire.Command{RequestID: id, Content: hash.Sum64(), At: control.now().UTC()}
}

// replyRecorded answers with the recorded result of an earlier request with the
// same id. It reports whether it has answered, with that result or an error.
// Without this check, a rollout request sent again would be rejected, because the
// first one has changed the state on which the request is based: the rollout is
// already in progress or already rolled back.
func (control *Control) replyRecorded(ctx context.Context, request *fasthttp.RequestCtx, command wire.Command) bool {
	if len(request.Request.Header.Peek(HeaderRequestID)) == 0 {
		return false
	}
	if _, err := control.replica.LinearizableConfig(ctx); err != nil {
		replyUnavailable(request, err)
		return true
	}
	if !control.replica.hasResult(command.RequestID) {
		return false
	}
	// The store returns the recorded result, or CodeReused, and does not execute
	// the command. The command may therefore be incomplete.
	control.proposeAndReply(ctx, request, command)
	return true
}

// proposeAndReply proposes a command and answers with its result. If there is no
// result, the answer is CodeUnknown, because the command may have been executed.
func (control *Control) proposeAndReply(ctx context.Context, request *fasthttp.RequestCtx, command wire.Command) {
	result, err := control.replica.Propose(ctx, command)
	if err != nil {
		replyError(request, fasthttp.StatusServiceUnavailable, wire.APIError{Code: wire.CodeUnknown, Reason: err.Error()})
		return
	}
	apiError := wire.APIError{Code: result.Code, Path: result.Path, Reason: result.Reason}
	switch result.Code {
	case wire.CodeOK:
		reply(request, result)
	case wire.CodeConflict, wire.CodeReused:
		replyError(request, fasthttp.StatusConflict, apiError)
	default:
		replyError(request, fasthttp.StatusBadRequest, apiError)
	}
}

// writableKinds are the kinds of resources that operators may write. Only the
// control plane writes the others.
var writableKinds = map[string]bool{"service": true, "version": true, "route": true, "account": true}

// apply handles a request to write and remove resources.
func (control *Control) apply(ctx context.Context, request *fasthttp.RequestCtx) {
	var body wire.ApplyRequest
	if err := wire.DecodeStrict(request.PostBody(), &body); err != nil {
		replyInvalid(request, err)
		return
	}
	command := control.command(request)
	if control.replyRecorded(ctx, request, command) {
		return
	}
	for _, resource := range body.Resources {
		if !writableKinds[resource.Kind] {
			replyInvalid(request, &rsrc.ValidationError{Path: resource.Kind + "/" + resource.Name, Reason: "only service, version, route and account can be applied"})
			return
		}
		command.Expect = append(command.Expect, wire.Expect{Key: wire.Key{Kind: resource.Kind, Name: resource.Name}, Revision: resource.Revision})
		resource.Revision = 0
		value, err := resource.Domain()
		if err == nil {
			err = checkAccount(value)
		}
		if err != nil {
			replyInvalid(request, err)
			return
		}
		command.Put = append(command.Put, resource)
	}
	for _, removal := range body.Remove {
		key := wire.Key{Kind: removal.Kind, Name: removal.Name}
		command.Expect = append(command.Expect, wire.Expect{Key: key, Revision: removal.Revision})
		command.Remove = append(command.Remove, key)
	}
	control.proposeAndReply(ctx, request, command)
}

// decodedRequest is an operator's request about a rollout, with the
// configuration that it is checked against.
type decodedRequest[T any] struct {
	body    T
	command wire.Command
	config  *rsrc.Config
}

// decodeRequest decodes a request and performs a linearizable read of the
// configuration. It returns false if the request has already been answered, with
// an error or a recorded result.
func decodeRequest[T any](ctx context.Context, control *Control, request *fasthttp.RequestCtx) (decodedRequest[T], bool) {
	var decoded decodedRequest[T]
	if err := wire.DecodeStrict(request.PostBody(), &decoded.body); err != nil {
		replyInvalid(request, err)
		return decoded, false
	}
	decoded.command = control.command(request)
	if control.replyRecorded(ctx, request, decoded.command) {
		return decoded, false
	}
	config, err := control.replica.LinearizableConfig(ctx)
	if err != nil {
		replyUnavailable(request, err)
		return decoded, false
	}
	decoded.config = config
	return decoded, true
}

// replyUnavailable answers that no quorum could be reached.
func replyUnavailable(request *fasthttp.RequestCtx, err error) {
	replyError(request, fasthttp.StatusServiceUnavailable, wire.APIError{Code: wire.CodeUnavailable, Reason: err.Error()})
}

// startRollout handles a request to start the rollout of a route.
func (control *Control) startRollout(ctx context.Context, request *fasthttp.RequestCtx) {
	decoded, ok := decodeRequest[wire.RolloutRequest](ctx, control, request)
	if !ok {
		return
	}
	body, command, config := decoded.body, decoded.command, decoded.config
	route, ok := config.Route(body.Route)
	if !ok {
		replyInvalid(request, &rsrc.ValidationError{Path: "route", Reason: "route \"" + body.Route + "\" does not exist"})
		return
	}
	if !body.By.After(command.At) {
		replyInvalid(request, &rsrc.ValidationError{Path: "by", Reason: "the deadline " + body.By.Format(time.RFC3339) + " has passed"})
		return
	}
	current, exists := config.Rollout(body.Route)
	if exists && !current.LatestStep().State.Ended() {
		replyError(request, fasthttp.StatusConflict, wire.APIError{Code: wire.CodeConflict, Path: current.Key().String(), Reason: "a rollout to " + current.To() + " is in progress"})
		return
	}
	rollout := rsrc.NewRollout(route.Name(), route.Version(), body.To, body.By.UTC(), command.At)
	revision := uint64(0)
	if exists {
		revision = current.Revision()
	}
	command.Expect = []wire.Expect{
		{Key: wire.FromKey(rollout.Key()), Revision: revision},
		{Key: wire.FromKey(route.Key()), Revision: route.Revision()},
	}
	command.Put = []wire.Resource{wire.FromResource(rollout)}
	control.proposeAndReply(ctx, request, command)
}

// rollback handles a request to roll back the rollout of a route.
func (control *Control) rollback(ctx context.Context, request *fasthttp.RequestCtx) {
	decoded, ok := decodeRequest[wire.RollbackRequest](ctx, control, request)
	if !ok {
		return
	}
	body, command, config := decoded.body, decoded.command, decoded.config
	rollout, ok := config.Rollout(body.Route)
	if !ok || rollout.LatestStep().State.Ended() {
		replyInvalid(request, &rsrc.ValidationError{Path: "route", Reason: "no rollout of route \"" + body.Route + "\" is in progress"})
		return
	}
	cause := "by the operator"
	if body.Cause != "" {
		cause += ": " + body.Cause
	}
	step := rsrc.Step{State: rsrc.StateRolledBack, Cause: cause, At: command.At}
	if err := addRolloutStep(&command, config, rollout, step); err != nil {
		replyInvalid(request, err)
		return
	}
	control.proposeAndReply(ctx, request, command)
}

// addRolloutStep adds a step of a rollout to a command. If the step finishes the
// rollout of a route, the command also sets the route to the new version. The
// rollout of a whole service, for which Service is not empty, changes no route.
func addRolloutStep(command *wire.Command, config *rsrc.Config, rollout rsrc.Rollout, step rsrc.Step) error {
	advanced, err := rollout.Advance(step)
	if err != nil {
		return err
	}
	command.Expect = append(command.Expect, wire.Expect{Key: wire.FromKey(rollout.Key()), Revision: rollout.Revision()})
	command.Put = append(command.Put, withoutRevision(advanced))
	route, ok := config.Route(rollout.Route())
	ok = ok && rollout.Service() == ""
	if step.State == rsrc.StateFinished && ok {
		command.Expect = append(command.Expect, wire.Expect{Key: wire.FromKey(route.Key()), Revision: route.Revision()})
		command.Put = append(command.Put, withoutRevision(route.WithVersion(rollout.To())))
	}
	return nil
}

// withoutRevision encodes a resource for the store with revision zero.
func withoutRevision(resource rsrc.Resource) wire.Resource {
	encoded := wire.FromResourceWithKeys(resource)
	encoded.Revision = 0
	return encoded
}

// readResources answers with resources from a linearizable read. The selector is
// the path after /v1/resources; it may name a kind, or a kind and a name.
func (control *Control) readResources(ctx context.Context, request *fasthttp.RequestCtx, selector string) {
	config, err := control.replica.LinearizableConfig(ctx)
	if err != nil {
		replyUnavailable(request, err)
		return
	}
	kind, name, _ := strings.Cut(strings.Trim(selector, "/"), "/")
	list := wire.ResourceList{Version: config.Version(), Resources: []wire.Resource{}}
	for _, resource := range config.All() {
		key := resource.Key()
		if (kind == "" || kind == string(key.Kind())) && (name == "" || name == key.Name()) {
			list.Resources = append(list.Resources, wire.FromResource(resource))
		}
	}
	if name != "" && len(list.Resources) == 0 {
		replyError(request, fasthttp.StatusNotFound, wire.APIError{Code: wire.CodeNotFound, Path: kind + "/" + name, Reason: "does not exist"})
		return
	}
	reply(request, list)
}

// history answers with the latest accepted changes, after a linearizable read.
func (control *Control) history(ctx context.Context, request *fasthttp.RequestCtx) {
	if _, err := control.replica.LinearizableConfig(ctx); err != nil {
		replyUnavailable(request, err)
		return
	}
	reply(request, wire.History{Changes: control.replica.history()})
}

// watch waits for a configuration version above the query argument "from" and
// answers with the changes since "from". It answers with an empty list if there
// is no such version within watchTimeout.
func (control *Control) watch(request *fasthttp.RequestCtx) {
	from, err := strconv.ParseUint(string(request.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		replyInvalid(request, &rsrc.ValidationError{Path: "from", Reason: "must be a version number"})
		return
	}
	ctx, cancel := context.WithTimeout(control.requests, watchTimeout)
	defer cancel()
	replica := control.replica
	config, err := replica.waitFor(ctx, func() bool { return replica.store.Config().Version() > from })
	if err != nil {
		reply(request, wire.ResourceList{Version: from, Resources: []wire.Resource{}})
		return
	}
	delta := wire.FromDelta(config.DeltaSince(from))
	reply(request, wire.ResourceList{Version: delta.To, Resources: delta.Put, Removed: delta.Removed})
}

// memberList returns the nodes and control VMs of the distribution tree.
func (control *Control) memberList() wire.MemberList {
	records := control.tree.Records()
	list := wire.MemberList{Members: []wire.NodeMember{}}
	for _, record := range records {
		list.Members = append(list.Members, nodeMember(record))
	}
	return list
}

func nodeMember(record member.Record) wire.NodeMember {
	encoded := wire.NodeMember{
		Name:     record.Name,
		Zone:     record.Zone,
		State:    record.State.String(),
		Service:  record.Upstream.Service,
		Version:  record.Upstream.Version,
		Slots:    record.Upstream.Slots,
		Gate:     record.Gate,
		Link:     record.Link,
		Draining: record.Upstream.Draining,
	}
	if record.Upstream.Limited {
		encoded.Limit, encoded.LimitedSince, encoded.LimitSource = &record.Upstream.Limit, record.Upstream.LimitedSince, record.Upstream.LimitSource
	}
	return encoded
}

// status returns the state of the control plane as known to this control VM.
// InForce is the lowest version in force in the subtree of this control VM.
func (control *Control) status() wire.Status {
	view := control.replica.view.Load()
	status := wire.Status{
		Name:     control.settings.Name,
		Role:     view.role.String(),
		Term:     view.term,
		Leader:   view.leader.Name,
		Version:  control.replica.config().Version(),
		Replicas: wire.FromMembers(view.members),
	}
	slices.SortFunc(status.Replicas, func(a, b wire.Member) int { return strings.Compare(a.Name+a.ID, b.Name+b.ID) })
	control.tree.Do(func(core *distr.Core, _ time.Time) {
		report := core.SubtreeReport()
		status.InForce, status.Nodes, status.Children = report.Version, report.Count, core.Children()
	})
	return status
}

// leaderStatus answers with the leader's status, because reports from the whole
// tree arrive only at the leader.
func (control *Control) leaderStatus(ctx context.Context, request *fasthttp.RequestCtx) {
	if control.replica.isLeader() {
		reply(request, control.status())
		return
	}
	var status wire.Status
	address := control.replica.leader().Address
	if address == "" || control.caller.Call(ctx, address, methodStatus, nil, &status) != nil {
		replyError(request, fasthttp.StatusServiceUnavailable, wire.APIError{Code: wire.CodeUnavailable, Reason: "no leader is known; /v1/health tells what this control VM knows"})
		return
	}
	reply(request, status)
}
