package node

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/accept"
	"github.com/vanillapulley/vanillapulley/internal/front"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
)

const (
	// maxAdminBody is the maximum size of a request at the admin address. A heartbeat
	// or departure has less than 1 KiB.
	maxAdminBody = 64 << 10
	// adminPoolSize limits the requests in progress at the admin address. They have
	// workers of their own, so that calls cannot take those of heartbeats.
	adminPoolSize = 128
)

func adminLimits() front.Limits {
	limits := front.DefaultLimits()
	limits.MaxBody = maxAdminBody
	return limits
}

// startAdmin serves the admin address and the additional addresses for readiness and
// metrics. It returns a function that stops them and waits at most for the given time for
// the requests in progress.
func (node *Node) startAdmin(ctx context.Context, group *tasks.Group, opened listeners, pool *ants.Pool) (stop func(timeout time.Duration) error) {
	handle := func(_ context.Context, request *fasthttp.RequestCtx) { node.serveAdmin(request) }
	var servers []*front.Server
	var closers []net.Listener
	start := func(name string, listener net.Listener, share accept.Share) {
		if listener == nil {
			return
		}
		server := node.newServer(name, share, front.Deps{Pool: pool, Handler: handle, Limits: adminLimits, WriteError: rejectAdmin})
		servers, closers = append(servers, server), append(closers, listener)
		group.Go(ctx, name, func(ctx context.Context) error { return server.Serve(ctx, listener) })
	}
	start("admin", opened.admin, adminShare)
	start("ready", opened.ready, extraShare)
	start("metrics", opened.metrics, extraShare)
	return func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(context.Background(), timeout)
		defer cancel()
		var failure error
		for i, server := range servers {
			failure = errors.Join(failure, closers[i].Close())
			if err := server.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
				failure = errors.Join(failure, err)
			}
		}
		return failure
	}
}

// rejectAdmin responds to a request at the admin address that was refused before it was
// handled. A heartbeat that is too large gets the status of any other invalid heartbeat.
func rejectAdmin(request *fasthttp.RequestCtx, status int) {
	if status == fasthttp.StatusRequestEntityTooLarge {
		status = fasthttp.StatusBadRequest
	}
	request.SetStatusCode(status)
	request.SetBodyString(fasthttp.StatusMessage(status) + "\n")
}
