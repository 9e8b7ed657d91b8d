package node

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"github.com/vanillapulley/vanillapulley/internal/accept"
	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/front"
	"github.com/vanillapulley/vanillapulley/internal/halt"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// leavePropagation is the time for the leaving state to reach the other nodes while this
// node still serves calls.
const leavePropagation = 300 * time.Millisecond

// giveUpInterval is the time between two attempts to give up the calls that no target has
// received. It is many round trips between zones.
const giveUpInterval = 200 * time.Millisecond

// upstreamPollInterval is the time between two looks at the calls of the upstream.
const upstreamPollInterval = 20 * time.Millisecond

// shutDown performs a planned shutdown. For the serve period the node reports
// that it is not ready but serves callers as usual, so that they can move to
// other nodes without waiting and the upstream's slots stay in use. After that,
// new calls are refused and calls in progress finish; the nested calls of those at the
// upstream are served if they can end in time. At the cut-off, the calls that are
// still in progress are canceled, and their callers get a response that says whether they
// ran.
func (node *Node) shutDown(opened listeners, callers, gates *front.Server, stopAdmin func(time.Duration) error) error {
	node.log.Info("leaving", "calls", callers.Active(), "gateCalls", gates.Active())
	node.stopping.Store(true)
	plan := halt.New(node.now(), halt.Settings{
		Grace: time.Duration(node.settings.Grace), Notice: time.Duration(node.settings.Notice), NoUpstream: node.gate.HasNoUpstream(),
	})
	node.entry.Stop(plan)
	ctx, cancel := context.WithDeadline(context.Background(), plan.CloseBy())
	defer cancel()
	withdrawals := make(chan struct{})
	go func() {
		defer close(withdrawals)
		node.giveUpUnsent(ctx, plan)
	}()
	time.Sleep(plan.ServeEnd().Sub(node.now()))
	node.gate.Drain()
	node.PublishRecord()
	callers.CloseAfterResponses()
	gates.CloseAfterResponses()
	time.Sleep(leavePropagation)
	failure := opened.gate.Close()
	node.awaitUpstream(plan)
	failure = errors.Join(failure, opened.callers.Close(), node.endCalls(ctx, plan, callers, gates))
	cancel()
	<-withdrawals
	node.tree.Do(func(core *distr.Core, now time.Time) {
		record := node.gate.Record()
		record.State = member.StateGone
		core.Leave(now, record)
	})
	announced := time.After(plan.AnnounceTime())
	failure = errors.Join(failure, stopAdmin(plan.AdminTime()))
	<-announced
	return failure
}

// awaitUpstream waits until the upstream works on no call, at most until shortly before the
// cut-off. Until then the upstream may make nested calls at this node.
func (node *Node) awaitUpstream(plan halt.Plan) {
	for node.gate.Load().InFlight > 0 && node.now().Before(plan.CutOff().Add(-accept.MaxClose)) {
		time.Sleep(upstreamPollInterval)
	}
}

// giveUpUnsent gives up the calls that no target has received, from the time on that the
// plan gives until the context ends.
func (node *Node) giveUpUnsent(ctx context.Context, plan halt.Plan) {
	for wait := plan.DropAt().Sub(node.now()); ; wait = giveUpInterval {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		node.entry.GiveUpUnsent()
		node.gate.GiveUpWaiting(plan.CutOff())
	}
}

// endCalls waits for the calls in progress, cancels them at the cut-off and closes the
// remaining connections when the context ends.
func (node *Node) endCalls(ctx context.Context, plan halt.Plan, servers ...*front.Server) error {
	ended := make(chan error, len(servers))
	for _, server := range servers {
		go func() { ended <- server.Shutdown(ctx) }()
	}
	cutOff := time.NewTimer(plan.CutOff().Sub(node.now()))
	defer cutOff.Stop()
	var failure error
	for waiting := len(servers); waiting > 0; {
		select {
		case <-cutOff.C:
			for _, server := range servers {
				node.log.Info("calls in progress are ended", "calls", server.Active())
				server.CutOff(&proxy.StopError{Until: plan.VerdictBy()})
			}
		case err := <-ended:
			waiting--
			failure = errors.Join(failure, trace.Wrap(err, "a connection was still open at the end of the grace period"))
		}
	}
	return failure
}
