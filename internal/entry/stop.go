package entry

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/halt"
	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// reasonStop is the reason for refusing a call that could not end before the process, and
// labelStop its label of the metric vp_entry_refused_total.
const (
	reasonStop = "the node stops before the call could end"
	labelStop  = "stop"
)

// stopping is what the entry knows of a planned stop, and the calls that it concerns.
type stopping struct {
	// plan is nil unless the process is about to stop.
	plan atomic.Pointer[halt.Plan]
	// dropped is closed when calls that no target has received are given up.
	dropped  chan struct{}
	dropOnce sync.Once

	// lock guards the fields below.
	lock sync.Mutex
	// number is the number of the last exchange.
	number uint64
	// exchanges are the calls that are at a gate, by what HeaderExchange says.
	exchanges map[string]exchange
}

// exchange is a call at a gate.
type exchange struct {
	target   string
	deadline time.Time
}

// Stop announces a planned stop. From the end of the notice period on, the entry refuses
// calls that could not end before the cut-off.
func (entry *Entry) Stop(plan halt.Plan) { entry.stopping.plan.Store(&plan) }

// canEnd reports whether a call that starts now ends before the process does.
func (entry *Entry) canEnd(started time.Time, timeout time.Duration) bool {
	plan := entry.stopping.plan.Load()
	return plan == nil || plan.Accepts(started, started.Add(timeout))
}

// maySend reports whether a call may be sent to a target now. See halt.Plan.MaySend.
func (entry *Entry) maySend(ctx context.Context) bool {
	plan := entry.stopping.plan.Load()
	deadline, _ := ctx.Deadline()
	return plan == nil || plan.MaySend(entry.now(), deadline)
}

// begin returns the identity of a call that is sent to a gate. The function end must be
// called with it when the exchange has ended.
func (stopping *stopping) begin(node, target string, deadline time.Time) string {
	stopping.lock.Lock()
	defer stopping.lock.Unlock()
	stopping.number++
	var buffer [64]byte
	id := string(strconv.AppendUint(append(append(buffer[:0], node...), '/'), stopping.number, 36))
	stopping.exchanges[id] = exchange{target: target, deadline: deadline}
	return id
}

func (stopping *stopping) end(id string) {
	stopping.lock.Lock()
	defer stopping.lock.Unlock()
	delete(stopping.exchanges, id)
}

// unsent returns, by target, the calls at gates that may not wait for a slot any longer.
func (stopping *stopping) unsent(now time.Time) map[string][]string {
	plan := stopping.plan.Load()
	byTarget := map[string][]string{}
	stopping.lock.Lock()
	defer stopping.lock.Unlock()
	for id, exchange := range stopping.exchanges {
		if !plan.MaySend(now, exchange.deadline) {
			byTarget[exchange.target] = append(byTarget[exchange.target], id)
		}
	}
	return byTarget
}

// GiveUpUnsent gives up the calls that no target has received and that could not end before
// the cut-off. It is called from the time on that the plan gives, and repeatedly, because a
// withdrawal may overtake the request or be lost.
func (entry *Entry) GiveUpUnsent() {
	entry.stopping.dropOnce.Do(func() { close(entry.stopping.dropped) })
	for target, exchanges := range entry.stopping.unsent(entry.now()) {
		entry.withdraw(target, exchanges)
	}
}

// pause waits before the next try of a call, at most until the call is given up.
func (entry *Entry) pause(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-entry.stopping.dropped:
		if !entry.maySend(ctx) {
			return
		}
		select {
		case <-ctx.Done():
		case <-timer.C:
		}
	}
}

// refuseStopped gives up a call that is sent to no further target.
func (entry *Entry) refuseStopped(ctx context.Context, call *call) result {
	return entry.refuse(ctx, call, result{outcome: proxy.OutcomeNotRun, reason: reasonStop}, labelStop)
}

// excuseStop changes the result of a try that was ended because this node stops. It says
// nothing about the target.
func excuseStop(ctx context.Context, result *result) {
	if proxy.IsStopped(ctx) && result.outcome != proxy.OutcomeRan {
		result.pickerResult, result.reason = picker.ResultCanceled, reasonStop
	}
}
