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

// HeaderRequestID carries the operator's request id; a resend with the same
// id gets the first answer. HeaderContent may carry a hash of what the
// operator meant, for clients that add revisions of their own; without it the
// body is hashed.
const (
	HeaderRequestID = "Vp-Request-Id"
	HeaderContent   = "Vp-Request-Content"
)

// Bounds of the API.
const (
	requestTimeout = 10 * time.Second
	maxWatch       = time.Minute
)

// handle serves the resource API.
func (control *Control) handle(request *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(control.ctx, requestTimeout)
	defer cancel()
	method, path := string(request.Method()), string(request.Path())
	control.stats.Count("vp_api_requests_total", 1)
	if control.deps.API != nil && control.deps.API(control, request) {
		return
	}
	switch {
	case method == "POST" && path == "/v1/apply":
		control.apply(ctx, request)
	case method == "POST" && path == "/v1/replace":
		control.replaceWhole(ctx, request)
	case method == "POST" && path == "/v1/shifts":
		control.startShift(ctx, request)
	case method == "POST" && path == "/v1/rollouts":
		control.startRollout(ctx, request)
	case method == "POST" && path == "/v1/rollbacks":
		control.rollback(ctx, request)
	case method == "GET" && strings.HasPrefix(path, "/v1/resources"):
		control.read(ctx, request, strings.TrimPrefix(path, "/v1/resources"))
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
		refuse(request, fasthttp.StatusNotFound, wire.APIError{Code: wire.CodeNotFound, Reason: method + " " + path + " is not part of the API"})
	}
}

func reply(request *fasthttp.RequestCtx, value any) {
	request.SetContentType("application/json")
	request.SetBody(append(wire.Must(value), '\n'))
}

func refuse(request *fasthttp.RequestCtx, status int, refusal wire.APIError) {
	request.SetStatusCode(status)
	reply(request, refusal)
}

func invalid(request *fasthttp.RequestCtx, err error) {
	refusal := wire.APIError{Code: wire.CodeInvalid, Reason: err.Error()}
	var field *wire.FieldError
	var fault *rsrc.ValidationError
	switch {
	case errors.As(err, &fault):
		refusal.Path, refusal.Reason = fault.Path, fault.Reason
	case errors.As(err, &field):
		refusal.Path, refusal.Reason = field.Path, field.Err.Error()
	}
	refuse(request, fasthttp.StatusBadRequest, refusal)
}

// command starts a command for an operator's request.
func (control *Control) command(request *fasthttp.RequestCtx) wire.Command {
	id := string(request.Request.Header.Peek(HeaderRequestID))
	if id == "" {
		id = uuid.NewString()
	}
	meant := request.Request.Header.Peek(HeaderContent)
	if len(meant) == 0 {
		meant = request.PostBody()
	}
	hash := xxhash.New()
	_, _ = hash.Write(request.Path())
	_, _ = hash.Write(meant)
	return wire.Command{RequestID: id, Content: hash.Sum64(), At: control.now().UTC()}
}

// answered replies with the recorded answer of an earlier request with the
// same id. Without it a resend of a rollout would be refused, since the first
// one has changed what it was based on.
func (control *Control) answered(ctx context.Context, request *fasthttp.RequestCtx, command wire.Command) bool {
	if len(request.Request.Header.Peek(HeaderRequestID)) == 0 {
		return false
	}
	if _, err := control.replica.Fresh(ctx); err != nil {
		unavailable(request, err)
		return true
	}
	if !control.replica.known(command.RequestID) {
		return false
	}
	control.run(ctx, request, command)
	return true
}

// run proposes a command and replies with its result.
func (control *Control) run(ctx context.Context, request *fasthttp.RequestCtx, command wire.Command) {
	result, err := control.replica.Propose(ctx, command)
	if err != nil {
		refuse(request, fasthttp.StatusServiceUnavailable, wire.APIError{Code: wire.CodeUnknown, Reason: err.Error()})
		return
	}
	refusal := wire.APIError{Code: result.Code, Path: result.Path, Reason: result.Reason}
	switch result.Code {
	case wire.CodeOK:
		reply(request, result)
	case wire.CodeConflict, wire.CodeReused:
		refuse(request, fasthttp.StatusConflict, refusal)
	default:
		refuse(request, fasthttp.StatusBadRequest, refusal)
	}
}

// writableKinds are what operators write; the others are written by the
// control plane.
var writableKinds = map[string]bool{"service": true, "version": true, "route": true}

func (control *Control) apply(ctx context.Context, request *fasthttp.RequestCtx) {
	var body wire.ApplyRequest
	if err := wire.Strict(request.PostBody(), &body); err != nil {
		invalid(request, err)
		return
	}
	command := control.command(request)
	if control.answered(ctx, request, command) {
		return
	}
	for _, resource := range body.Resources {
		if !writableKinds[resource.Kind] {
			invalid(request, &rsrc.ValidationError{Path: resource.Kind + "/" + resource.Name, Reason: "only service, version and route can be applied"})
			return
		}
		command.Expect = append(command.Expect, wire.Expect{Key: wire.Key{Kind: resource.Kind, Name: resource.Name}, Revision: resource.Revision})
		resource.Revision = 0
		if _, err := resource.Domain(); err != nil {
			invalid(request, err)
			return
		}
		command.Put = append(command.Put, resource)
	}
	for _, target := range body.Remove {
		key := wire.Key{Kind: target.Kind, Name: target.Name}
		command.Expect = append(command.Expect, wire.Expect{Key: key, Revision: target.Revision})
		command.Remove = append(command.Remove, key)
	}
	control.run(ctx, request, command)
}

// order is an operator's request about a rollout, with what it is based on.
type order[T any] struct {
	body    T
	command wire.Command
	config  *rsrc.Config
}

// readOrder decodes a request and reads a fresh configuration. It returns false
// when the request has its answer already.
func readOrder[T any](ctx context.Context, control *Control, request *fasthttp.RequestCtx) (order[T], bool) {
	var read order[T]
	if err := wire.Strict(request.PostBody(), &read.body); err != nil {
		invalid(request, err)
		return read, false
	}
	read.command = control.command(request)
	if control.answered(ctx, request, read.command) {
		return read, false
	}
	config, err := control.replica.Fresh(ctx)
	if err != nil {
		unavailable(request, err)
		return read, false
	}
	read.config = config
	return read, true
}

func unavailable(request *fasthttp.RequestCtx, err error) {
	refuse(request, fasthttp.StatusServiceUnavailable, wire.APIError{Code: wire.CodeUnavailable, Reason: err.Error()})
}

func (control *Control) startRollout(ctx context.Context, request *fasthttp.RequestCtx) {
	order, ok := readOrder[wire.RolloutRequest](ctx, control, request)
	if !ok {
		return
	}
	body, command, config := order.body, order.command, order.config
	route, ok := config.Route(body.Route)
	if !ok {
		invalid(request, &rsrc.ValidationError{Path: "route", Reason: "route \"" + body.Route + "\" does not exist"})
		return
	}
	if !body.By.After(command.At) {
		invalid(request, &rsrc.ValidationError{Path: "by", Reason: "the deadline " + body.By.Format(time.RFC3339) + " has passed"})
		return
	}
	current, exists := config.Rollout(body.Route)
	if exists && !current.LatestStep().State.Ended() {
		refuse(request, fasthttp.StatusConflict, wire.APIError{Code: wire.CodeConflict, Path: current.Key().String(), Reason: "a rollout to " + current.To() + " is in progress"})
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
	control.run(ctx, request, command)
}

func (control *Control) rollback(ctx context.Context, request *fasthttp.RequestCtx) {
	order, ok := readOrder[wire.RollbackRequest](ctx, control, request)
	if !ok {
		return
	}
	body, command, config := order.body, order.command, order.config
	rollout, ok := config.Rollout(body.Route)
	if !ok || rollout.LatestStep().State.Ended() {
		invalid(request, &rsrc.ValidationError{Path: "route", Reason: "no rollout of route \"" + body.Route + "\" is in progress"})
		return
	}
	cause := "by the operator"
	if body.Cause != "" {
		cause += ": " + body.Cause
	}
	step := rsrc.Step{State: rsrc.StateRolledBack, Cause: cause, At: command.At}
	if err := addStep(&command, config, rollout, step); err != nil {
		invalid(request, err)
		return
	}
	control.run(ctx, request, command)
}

// addStep makes a command advance a rollout, and its route when it finishes.
func addStep(command *wire.Command, config *rsrc.Config, rollout rsrc.Rollout, step rsrc.Step) error {
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

func withoutRevision(resource rsrc.Resource) wire.Resource {
	written := wire.FromResource(resource)
	written.Revision = 0
	return written
}

// read answers with resources, confirmed fresh by the quorum. The rest of the
// path selects a kind and a name.
func (control *Control) read(ctx context.Context, request *fasthttp.RequestCtx, rest string) {
	config, err := control.replica.Fresh(ctx)
	if err != nil {
		unavailable(request, err)
		return
	}
	kind, name, _ := strings.Cut(strings.Trim(rest, "/"), "/")
	list := wire.ResourceList{Version: config.Version(), Resources: []wire.Resource{}}
	for _, resource := range config.All() {
		key := resource.Key()
		if (kind == "" || kind == string(key.Kind())) && (name == "" || name == key.Name()) {
			list.Resources = append(list.Resources, wire.FromResource(resource))
		}
	}
	if name != "" && len(list.Resources) == 0 {
		refuse(request, fasthttp.StatusNotFound, wire.APIError{Code: wire.CodeNotFound, Path: kind + "/" + name, Reason: "does not exist"})
		return
	}
	reply(request, list)
}

// history tells of the latest accepted changes, confirmed fresh by a quorum.
func (control *Control) history(ctx context.Context, request *fasthttp.RequestCtx) {
	if _, err := control.replica.Fresh(ctx); err != nil {
		unavailable(request, err)
		return
	}
	reply(request, wire.History{Changes: control.replica.history()})
}

// watch waits for a version above "from" and answers with what changed since.
// It answers with an empty list when nothing changed in time.
func (control *Control) watch(request *fasthttp.RequestCtx) {
	from, err := strconv.ParseUint(string(request.QueryArgs().Peek("from")), 10, 64)
	if err != nil {
		invalid(request, &rsrc.ValidationError{Path: "from", Reason: "must be a version number"})
		return
	}
	ctx, cancel := context.WithTimeout(control.ctx, maxWatch)
	defer cancel()
	replica := control.replica
	config, err := replica.await(ctx, func() bool { return replica.store.Config().Version() > from })
	if err != nil {
		reply(request, wire.ResourceList{Version: from, Resources: []wire.Resource{}})
		return
	}
	delta := wire.FromDelta(config.DeltaSince(from))
	reply(request, wire.ResourceList{Version: delta.To, Resources: delta.Put, Removed: delta.Removed})
}

func (control *Control) memberList() wire.MemberList {
	records := control.tree.Records()
	list := wire.MemberList{Members: []wire.NodeMember{}}
	for _, record := range records {
		list.Members = append(list.Members, nodeMember(record))
	}
	return list
}

func nodeMember(record member.Record) wire.NodeMember {
	return wire.NodeMember{
		Name:    record.Name,
		Zone:    record.Zone,
		State:   record.State.String(),
		Service: record.Upstream.Service,
		Version: record.Upstream.Version,
		Slots:   record.Upstream.Slots,
		Gate:    record.Gate,
		Link:    record.Link,
	}
}

// status tells what this control VM knows.
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
		report := core.Subtree()
		status.InForce, status.Nodes, status.Children = report.Version, report.Count, core.Children()
	})
	return status
}

// leaderStatus answers with the leader's status, which sees the whole tree.
func (control *Control) leaderStatus(ctx context.Context, request *fasthttp.RequestCtx) {
	if control.replica.leads() {
		reply(request, control.status())
		return
	}
	var status wire.Status
	address := control.replica.leader().Address
	if address == "" || control.caller.Call(ctx, address, methodStatus, nil, &status) != nil {
		refuse(request, fasthttp.StatusServiceUnavailable, wire.APIError{Code: wire.CodeUnavailable, Reason: "no leader is known; /v1/health tells what this control VM knows"})
		return
	}
	reply(request, status)
}
