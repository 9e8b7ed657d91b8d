package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

const (
	// keepTimeout limits one round of requests to the control VMs, and keepHedge is the time
	// after which the next one is asked, too.
	keepTimeout = 500 * time.Millisecond
	keepHedge   = 100 * time.Millisecond
	// keepRetry is the pause after a failed attempt.
	keepRetry = 50 * time.Millisecond
	// keepWait is how long an acknowledgement waits for the control VMs. Without them, the
	// departure is in the memory of other nodes only.
	keepWait = 600 * time.Millisecond
)

// departures has the control VMs keep the departures of the upstream beside this node on
// their disks. Attempts go on after the departure was acknowledged without them.
type departures struct {
	node   *Node
	log    logr.Logger
	client *link.Client
	random *rand.Rand
	// wake wakes run.
	wake chan struct{}

	// lock guards the fields below. No other lock is taken while it is held.
	lock sync.Mutex
	// pending is the departure to be kept, or nil.
	pending *pendingDeparture
}

// pendingDeparture is a departure that no quorum is known to have. The waiters are closed
// once one has it. The lock of departures guards waiters.
type pendingDeparture struct {
	record  member.Record
	waiters []chan struct{}
}

func newDepartures(node *Node, log logr.Logger, random *rand.Rand) *departures {
	return &departures{node: node, log: log, random: random, wake: make(chan struct{}, 1)}
}

// keep has the record kept in place of an earlier one. The result is closed once a quorum
// of the control VMs has it, or a later record, on disk.
func (departures *departures) keep(record member.Record) <-chan struct{} {
	kept := make(chan struct{})
	pending := &pendingDeparture{record: record, waiters: []chan struct{}{kept}}
	departures.lock.Lock()
	if former := departures.pending; former != nil {
		pending.waiters = append(pending.waiters, former.waiters...)
		former.waiters = nil
	}
	departures.pending = pending
	departures.lock.Unlock()
	select {
	case departures.wake <- struct{}{}:
	default:
	}
	return kept
}

// run makes attempts while there is a pending departure, until the context ends.
func (departures *departures) run(ctx context.Context) error {
	for {
		departures.lock.Lock()
		pending := departures.pending
		departures.lock.Unlock()
		var retry <-chan time.Time
		if pending != nil {
			if departures.attempt(ctx, pending) {
				continue
			}
			retry = time.After(keepRetry)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-departures.wake:
		case <-retry:
		}
	}
}

// attempt has one control VM keep a departure, and reports whether one did.
func (departures *departures) attempt(ctx context.Context, pending *pendingDeparture) bool {
	if !departures.ask(ctx, wire.DepartureRequest{Record: wire.FromRecord(pending.record)}) {
		return false
	}
	departures.lock.Lock()
	defer departures.lock.Unlock()
	for _, waiter := range pending.waiters {
		close(waiter)
	}
	pending.waiters = nil
	if departures.pending == pending {
		departures.pending = nil
	}
	return true
}

// ask asks the control VMs in a random order until one confirms. A VM without power does
// not answer at all, so the next one is asked after keepHedge. That several write the same
// departure to the log does no harm.
func (departures *departures) ask(ctx context.Context, request wire.DepartureRequest) bool {
	addresses := departures.node.controlAddresses(departures.node.tree.Records())
	departures.random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	ctx, cancel := context.WithTimeout(ctx, keepTimeout)
	defer cancel()
	answers := make(chan error, len(addresses))
	asked, answered := 0, 0
	for {
		var next <-chan time.Time
		if asked < len(addresses) {
			address := addresses[asked]
			submitted := departures.node.rpcPool.Submit(func() {
				answers <- departures.client.Call(ctx, address, wire.MethodDeparture, request, &struct{}{})
			})
			if submitted != nil {
				return false
			}
			asked++
			next = time.After(keepHedge)
		} else if answered == asked {
			return false
		}
		select {
		case err := <-answers:
			if err == nil {
				return true
			}
			answered++
			departures.log.V(1).Info("departure not kept yet", "error", err.Error())
		case <-next:
		case <-ctx.Done():
			return false
		}
	}
}

// ReplicateRecord implements gate.Host. The departure must be known to other nodes, and is
// kept by the control VMs if they answer in time.
func (node *Node) ReplicateRecord(ctx context.Context) error {
	record := node.gate.Record()
	record.Name = node.settings.Name
	kept := node.departures.keep(record)
	wait := time.After(keepWait)
	if err := node.tree.Replicate(ctx, node.gate.Record); err != nil {
		return err
	}
	select {
	case <-kept:
	case <-wait:
		node.stats.Count("vp_departures_unkept_total", 1)
		node.departures.log.Info("departure acknowledged without the control VMs", "upstream", record.Upstream.ID)
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
