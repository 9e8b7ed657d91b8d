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
	// changeInterval lies between two changes of the operator.
	changeInterval = 300 * time.Millisecond
	// changeTimeout bounds one change.
	changeTimeout = 6 * time.Second
	// pollInterval lies between two looks at the nodes' versions.
	pollInterval = 100 * time.Millisecond
)

// operator changes one route again and again and remembers what was accepted.
type operator struct {
	fleet   *fleet
	history *history
	random  *rand.Rand
	// number is the last change that was sent; the route's timeout states it.
	number int

	lock sync.Mutex
	// acceptedNumber is the last change that is known to be acceptedNumber, and the version
	// that was stated for it.
	acceptedNumber  int
	acceptedVersion uint64
}

func newOperator(fleet *fleet, history *history, seed uint64) *operator {
	return &operator{fleet: fleet, history: history, random: rand.New(rand.NewPCG(seed, 4))}
}

// resource is one resource as operators write it.
func resource(kind, name, spec string) wire.Resource {
	return wire.Resource{Kind: kind, Name: name, Spec: json.RawMessage(spec)}
}

// begin writes the first configuration.
func (operator *operator) begin(ctx context.Context) error {
	body := wire.ApplyRequest{Resources: []wire.Resource{
		resource("service", service, `{}`),
		resource("version", service+"/v1", `{}`),
		resource("route", "soak", `{"service":"`+service+`","prefix":"/soak","version":"v1","timeout":"5s"}`),
		resource("route", "mark", `{"service":"`+service+`","prefix":"/mark","version":"v1","timeout":"1ms"}`),
	}}
	operator.number = 1
	return operator.apply(ctx, body)
}

// apply sends a change by a random control VM first, under one request id.
func (operator *operator) apply(ctx context.Context, body wire.ApplyRequest) error {
	apis := append([]string{}, operator.fleet.apis...)
	operator.random.Shuffle(len(apis), func(i, j int) { apis[i], apis[j] = apis[j], apis[i] })
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	var result wire.Result
	id, err := uuid.NewRandom()
	if err != nil {
		return trace.Wrap(err)
	}
	if err := client.New(apis).Post(ctx, "/v1/apply", client.Request{ID: id.String()}, body, &result); err != nil {
		return err
	}
	operator.lock.Lock()
	defer operator.lock.Unlock()
	operator.acceptedNumber, operator.acceptedVersion = operator.number, result.Version
	return nil
}

// run makes changes until the context ends. A change that is neither accepted
// nor refused is followed by one on top of what is found then.
func (operator *operator) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if current, err := operator.readRoute(ctx); err == nil {
			operator.checkRead(current)
			operator.number = max(operator.number, current.number) + 1
			changed := resource("route", "mark", fmt.Sprintf(`{"service":"%s","prefix":"/mark","version":"v1","timeout":"%dms"}`, service, operator.number))
			changed.Revision = current.revision
			err = operator.apply(ctx, wire.ApplyRequest{Resources: []wire.Resource{changed}})
			var refusal *client.RefusalError
			if errors.As(err, &refusal) && refusal.Code == client.CodeInvalid {
				operator.history.addViolation("a valid change was refused: %v", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(changeInterval):
		}
	}
	return nil
}

// routeState is what the route says of the changes.
type routeState struct {
	number   int
	revision uint64
}

// readRoute asks a random control VM first; answers are confirmed by a quorum.
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
	return routeState{number: int(timeout.Milliseconds()), revision: list.Resources[0].Revision}, err
}

// checkRead wants a read to show all that was accepted before it.
func (operator *operator) checkRead(current routeState) {
	operator.lock.Lock()
	defer operator.lock.Unlock()
	if current.number < operator.acceptedNumber {
		operator.history.addViolation("a read shows change %d after %d was accepted", current.number, operator.acceptedNumber)
	}
}

// lastVersion returns the version of the lastVersion accepted change.
func (operator *operator) lastVersion() uint64 {
	operator.lock.Lock()
	defer operator.lock.Unlock()
	return operator.acceptedVersion
}

// watchVersions looks at the versions in force on the nodes: none may fall, over
// restarts too.
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
