package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/client"
)

const (
	// changeInterval is the pause between two changes.
	changeInterval = 300 * time.Millisecond
	// changeTimeout limits each change and each read, including retries.
	changeTimeout = 6 * time.Second
	// pollInterval is the pause between two polls of the nodes' versions, and the
	// timeout of each of these requests.
	pollInterval = 100 * time.Millisecond
)

// operator changes the same route repeatedly and records which change was accepted
// last.
type operator struct {
	fleet   *fleet
	history *history
	random  *rand.Rand
	// changeNumber is the number of the last change sent. The route "mark" serves no
	// calls; its timeout in milliseconds is the number of the change, so that a read
	// shows which change was applied last.
	changeNumber int

	// beginID is the request ID of the initial configuration.
	beginID string

	// lock guards the fields below.
	lock sync.Mutex
	// acceptedNumber is the number of the last change known to be accepted;
	// acceptedVersion is the configuration version returned for it.
	acceptedNumber  int
	acceptedVersion uint64
}

func newOperator(fleet *fleet, history *history, seed uint64) *operator {
	return &operator{fleet: fleet, history: history, random: rand.New(rand.NewPCG(seed, 4)), beginID: uuid.NewString()}
}

// resource returns a resource in the form that operators submit.
func resource(kind, name, spec string) wire.Resource {
	return wire.Resource{Kind: kind, Name: name, Spec: json.RawMessage(spec)}
}

// begin applies the initial configuration. Every call repeats the same request: a change
// whose result was not received would otherwise conflict with itself.
func (operator *operator) begin(ctx context.Context) error {
	body := wire.ApplyRequest{Resources: []wire.Resource{
		resource("service", service, `{}`),
		resource("version", service+"/v1", `{}`),
		resource("route", "soak", `{"service":"`+service+`","prefix":"/soak","version":"v1","timeout":"5s"}`),
		resource("route", "mark", `{"service":"`+service+`","prefix":"/mark","version":"v1","timeout":"1ms"}`),
	}}
	operator.changeNumber = 1
	return operator.apply(ctx, operator.beginID, body)
}

// apply submits a change with one request ID for all tries, which makes it
// idempotent. The control VMs are tried in random order.
func (operator *operator) apply(ctx context.Context, id string, body wire.ApplyRequest) error {
	apis := append([]string{}, operator.fleet.apis...)
	operator.random.Shuffle(len(apis), func(i, j int) { apis[i], apis[j] = apis[j], apis[i] })
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var result wire.Result
	if err := client.New(apis).Post(ctx, "/v1/apply", client.Request{ID: id}, body, &result); err != nil {
		return err
	}
	operator.lock.Lock()
	defer operator.lock.Unlock()
	operator.acceptedNumber, operator.acceptedVersion = operator.changeNumber, result.Version
	return nil
}

// run submits changes until the context is done. Each change builds on the state
// read just before it, so a change with an unknown result does not block the next.
func (operator *operator) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if current, err := operator.readRoute(ctx); err == nil {
			operator.checkRead(current)
			operator.changeNumber = max(operator.changeNumber, current.changeNumber) + 1
			changed := resource("route", "mark", fmt.Sprintf(`{"service":"%s","prefix":"/mark","version":"v1","timeout":"%dms"}`, service, operator.changeNumber))
			changed.Revision = current.revision
			err = operator.apply(ctx, uuid.NewString(), wire.ApplyRequest{Resources: []wire.Resource{changed}})
			var refusal *client.RefusalError
			if errors.As(err, &refusal) && refusal.Code == client.CodeInvalid {
				operator.history.addViolation("a valid change was rejected: %v", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(changeInterval):
		}
	}
	return nil
}

// routeState is the state of the changed route: the number of the last change and
// the revision of the route.
type routeState struct {
	changeNumber int
	revision     uint64
}

// readRoute reads the changed route. The control VMs are tried in random order;
// the one that answers confirms its answer with a quorum.
func (operator *operator) readRoute(ctx context.Context) (routeState, error) {
	apis := append([]string{}, operator.fleet.apis...)
	operator.random.Shuffle(len(apis), func(i, j int) { apis[i], apis[j] = apis[j], apis[i] })
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var list wire.ResourceList
	if err := client.New(apis).Get(ctx, "/v1/resources/route/mark", &list); err != nil {
		return routeState{}, err
	}
	if len(list.Resources) != 1 {
		return routeState{}, trace.NotFound("the route is missing")
	}
	var spec struct {
		Timeout string `json:"timeout"`
	}
	if err := json.Unmarshal(list.Resources[0].Spec, &spec); err != nil {
		return routeState{}, trace.Wrap(err)
	}
	timeout, err := time.ParseDuration(spec.Timeout)
	return routeState{changeNumber: int(timeout.Milliseconds()), revision: list.Resources[0].Revision}, err
}

// checkRead records a violation if a read returned an older change than the last
// one accepted before the read.
func (operator *operator) checkRead(current routeState) {
	operator.lock.Lock()
	defer operator.lock.Unlock()
	if current.changeNumber < operator.acceptedNumber {
		operator.history.addViolation("stale read: change %d was returned after change %d was accepted", current.changeNumber, operator.acceptedNumber)
	}
}

// lastVersion returns the configuration version of the last accepted change.
func (operator *operator) lastVersion() uint64 {
	operator.lock.Lock()
	defer operator.lock.Unlock()
	return operator.acceptedVersion
}

// watchVersions polls the configuration versions in force on the nodes. It records
// a violation if the version of a node decreases, even across a restart.
func (operator *operator) watchVersions(ctx context.Context) error {
	highest := make([]uint64, len(operator.fleet.admins))
	for ctx.Err() == nil {
		for i, version := range operator.fleet.versions() {
			if version > 0 && version < highest[i] {
				operator.history.addViolation("%s went back from version %d to %d", nodeName(i), highest[i], version)
			}
			highest[i] = max(highest[i], version)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	return nil
}
