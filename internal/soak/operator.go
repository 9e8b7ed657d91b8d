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
	// changePause lies between two changes of the operator.
	changePause = 300 * time.Millisecond
	// changeTime bounds one change.
	changeTime = 6 * time.Second
	// readPause lies between two looks at the nodes' versions.
	readPause = 100 * time.Millisecond
)

// operator changes one route again and again and remembers what was accepted.
type operator struct {
	fleet  *fleet
	book   *book
	random *rand.Rand
	// number is the last change that was sent; the route's timeout states it.
	number int

	lock sync.Mutex
	// accepted is the last change that is known to be accepted, and the version
	// that was stated for it.
	accepted int
	version  uint64
}

func newOperator(fleet *fleet, book *book, seed uint64) *operator {
	return &operator{fleet: fleet, book: book, random: rand.New(rand.NewPCG(seed, 4))}
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
	ctx, cancel := context.WithTimeout(ctx, changeTime)
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
	operator.accepted, operator.version = operator.number, result.Version
	return nil
}

// run makes changes until the context ends. A change that is neither accepted
// nor refused is followed by one on top of what is found then.
func (operator *operator) run(ctx context.Context) error {
	for ctx.Err() == nil {
		if held, err := operator.read(ctx); err == nil {
			operator.check(held)
			operator.number = max(operator.number, held.number) + 1
			changed := resource("route", "mark", fmt.Sprintf(`{"service":"%s","prefix":"/mark","version":"v1","timeout":"%dms"}`, service, operator.number))
			changed.Revision = held.revision
			err = operator.apply(ctx, wire.ApplyRequest{Resources: []wire.Resource{changed}})
			var refusal *client.RefusalError
			if errors.As(err, &refusal) && refusal.Code == client.CodeInvalid {
				operator.book.broken("a valid change was refused: %v", err)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(changePause):
		}
	}
	return nil
}

// mark is what the route says of the changes.
type mark struct {
	number   int
	revision uint64
}

// read asks a random control VM first; answers are confirmed by a quorum.
func (operator *operator) read(ctx context.Context) (mark, error) {
	apis := append([]string{}, operator.fleet.apis...)
	operator.random.Shuffle(len(apis), func(i, j int) { apis[i], apis[j] = apis[j], apis[i] })
	ctx, cancel := context.WithTimeout(ctx, changeTime)
	defer cancel()
	var list wire.ResourceList
	if err := client.New(apis).Get(ctx, "/v1/resources/route/mark", &list); err != nil {
		return mark{}, err
	}
	if len(list.Resources) != 1 {
		return mark{}, trace.NotFound("the route is missing")
	}
	var spec struct {
		Timeout string `json:"timeout"`
	}
	if err := json.Unmarshal(list.Resources[0].Spec, &spec); err != nil {
		return mark{}, trace.Wrap(err)
	}
	timeout, err := time.ParseDuration(spec.Timeout)
	return mark{number: int(timeout.Milliseconds()), revision: list.Resources[0].Revision}, err
}

// check wants a read to show all that was accepted before it.
func (operator *operator) check(held mark) {
	operator.lock.Lock()
	defer operator.lock.Unlock()
	if held.number < operator.accepted {
		operator.book.broken("a read shows change %d after %d was accepted", held.number, operator.accepted)
	}
}

// last returns the version of the last accepted change.
func (operator *operator) last() uint64 {
	operator.lock.Lock()
	defer operator.lock.Unlock()
	return operator.version
}

// watch looks at the versions in force on the nodes: none may fall, over
// restarts too.
func (operator *operator) watch(ctx context.Context) error {
	highest := make([]uint64, len(operator.fleet.admins))
	for ctx.Err() == nil {
		for i, version := range operator.fleet.versions() {
			if version > 0 && version < highest[i] {
				operator.book.broken("%s went back from version %d to %d", nodeName(i), highest[i], version)
			}
			highest[i] = max(highest[i], version)
		}
		select {
		case <-ctx.Done():
		case <-time.After(readPause):
		}
	}
	return nil
}
