package node

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/front"
	"github.com/vanillapulley/vanillapulley/internal/member"
)

const (
	// leavePause lets the news of leaving reach the other nodes while this one
	// still answers.
	leavePropagation = 300 * time.Millisecond
	// leaveReserve is the part of the grace that is kept for the end of the
	// process itself.
	exitReserve = time.Second
	// leaveCalls is the part of the grace in which the last calls end.
	drainReserve = 1500 * time.Millisecond
)

// adminTimeout bounds the wait for questions to the admin address.
const adminTimeout = 200 * time.Millisecond

func shutdownAdmin(admin *fasthttp.Server) error {
	ctx, cancel := context.WithTimeout(context.Background(), adminTimeout)
	defer cancel()
	err := admin.ShutdownWithContext(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil
	}
	return err
}

// leave is the planned stop. Callers are served as usual until they had the
// time to see that the node is not ready, so that neither they nor the slots
// of the upstream wait; then nothing new is taken and what is in progress ends.
func (node *Node) leave(opened listeners, callers, gates *front.Server) error {
	node.log.Info("leaving", "calls", callers.Active(), "gateCalls", gates.Active())
	node.stopping.Store(true)
	grace := time.Duration(node.settings.Grace)
	ctx, cancel := context.WithTimeout(context.Background(), max(leavePropagation, grace-exitReserve))
	defer cancel()
	time.Sleep(node.noticePeriod())
	node.gate.drain()
	node.announce()
	time.Sleep(leavePropagation)
	failure := errors.Join(opened.callers.Close(), opened.gate.Close())
	ended := make(chan error, 2)
	for _, server := range []*front.Server{callers, gates} {
		go func() { ended <- server.Shutdown(ctx) }()
	}
	for range cap(ended) {
		if err := <-ended; err != nil {
			failure = errors.Join(failure, trace.Wrap(err, "calls were still in progress at the end of the grace"))
		}
	}
	record := node.gate.record()
	record.State = member.StateGone
	node.tree.Do(func(core *distr.Core, now time.Time) { core.Leave(now, record) })
	time.Sleep(leavePropagation / 3)
	return failure
}

// noticeTime is how long callers are served after a planned stop began. A node
// whose upstream is gone leaves for good: nothing gains from an early end, and
// its callers have nowhere else to go while most nodes around are leaving too.
func (node *Node) noticePeriod() time.Duration {
	grace := time.Duration(node.settings.Grace)
	notice := min(time.Duration(node.settings.Notice), grace/2)
	if node.settings.Notice > 0 && node.gate.hasNoUpstream() {
		notice = max(notice, grace-exitReserve-drainReserve)
	}
	return notice
}
