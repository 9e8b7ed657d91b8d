package gate

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/limit"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// MethodWithdraw is the RPC method by which an entry node that stops withdraws calls.
const MethodWithdraw = "withdraw"

// Cancellation causes of the wait of a call: its entry node stops, or this node does.
var (
	errWithdrawn = errors.New("withdrawn by the entry node")
	errStopping  = errors.New(string(limit.ReasonDraining))
)

// waiter is a call that waits for a slot or for its body.
type waiter struct {
	// exchange is what HeaderExchange says. It may be empty.
	exchange string
	deadline time.Time
	cancel   context.CancelCauseFunc
}

// Withdraw refuses those of the calls that wait for a slot or for their bodies. The others
// are not affected. A call is identified by its header HeaderExchange.
func (gate *Gate) Withdraw(exchanges []string) {
	named := map[string]bool{}
	for _, exchange := range exchanges {
		named[exchange] = exchange != ""
	}
	gate.giveUp(errWithdrawn, func(waiter *waiter) bool { return named[waiter.exchange] })
}

// GiveUpWaiting refuses the calls that wait for a slot or for their bodies and whose
// deadlines are after a time.
func (gate *Gate) GiveUpWaiting(after time.Time) {
	gate.giveUp(errStopping, func(waiter *waiter) bool { return waiter.deadline.After(after) })
}

func (gate *Gate) giveUp(cause error, chosen func(waiter *waiter) bool) {
	gate.lock.Lock()
	defer gate.lock.Unlock()
	for waiter := range gate.waiting {
		if chosen(waiter) {
			waiter.cancel(cause)
		}
	}
}

// SendWithdrawal withdraws calls from the gate of a node. The message may be lost.
func (gate *Gate) SendWithdrawal(node string, exchanges []string) {
	if node == gate.settings.Name {
		gate.Withdraw(exchanges)
		return
	}
	gate.claims.lock.Lock()
	address := gate.claims.linkAddresses[node]
	gate.claims.lock.Unlock()
	if address != "" {
		gate.claims.client.Post(gate.ctx, address, MethodWithdraw, wire.Withdrawal{Exchanges: exchanges})
	}
}

// HandleWithdrawal handles the message of another node.
func (gate *Gate) HandleWithdrawal(params json.RawMessage) {
	var withdrawal wire.Withdrawal
	if json.Unmarshal(params, &withdrawal) != nil {
		gate.stats.Count("vp_unknown_notifications_total", 1)
		return
	}
	gate.Withdraw(withdrawal.Exchanges)
}

// withdrawable returns a context that also ends when the call is given up. The function
// must be called when the call no longer waits.
func (gate *Gate) withdrawable(ctx context.Context, request *fasthttp.Request) (context.Context, func()) {
	deadline, _ := ctx.Deadline()
	ctx, cancel := context.WithCancelCause(ctx)
	added := &waiter{exchange: string(request.Header.Peek(proxy.HeaderExchange)), deadline: deadline, cancel: cancel}
	gate.lock.Lock()
	defer gate.lock.Unlock()
	gate.waiting[added] = true
	return ctx, func() {
		cancel(nil)
		gate.lock.Lock()
		defer gate.lock.Unlock()
		delete(gate.waiting, added)
	}
}

// canceledReason returns the reason for refusing a call whose wait ended with its context.
func canceledReason(ctx context.Context) limit.Reason {
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, proxy.ErrCallerDisconnected):
		return reasonCallerDisconnected
	case errors.Is(cause, errWithdrawn), errors.Is(cause, errStopping):
		return limit.Reason(cause.Error())
	case proxy.IsStopped(ctx):
		return limit.ReasonDraining
	default:
		return limit.ReasonDeadline
	}
}

// detach returns a context with the same deadline that is not canceled when the caller
// disconnects. It is canceled when this process stops.
func detach(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, _ := ctx.Deadline()
	detached, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if proxy.IsStopped(ctx) {
			cancel(context.Cause(ctx))
		}
	})
	detached, end := context.WithDeadline(detached, deadline)
	return detached, func() {
		stop()
		end()
		cancel(nil)
	}
}
