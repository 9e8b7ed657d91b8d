package ctrl

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/accept"
	"github.com/vanillapulley/vanillapulley/internal/bufmem"
	"github.com/vanillapulley/vanillapulley/internal/front"
	"github.com/vanillapulley/vanillapulley/internal/tasks"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// The parts of the descriptors that the connections of each listener may take. The
// rest, 15 of 64, is for connections to other control VMs and for the data folder.
const (
	apiShare     accept.Share = 16
	linkShare    accept.Share = 32
	metricsShare accept.Share = 1
)

const (
	// apiPoolSize limits the requests of operators in progress, which include those that
	// watch.
	apiPoolSize = 1024
	// shutdownTimeout is how long a planned stop waits for the handover and for API
	// requests in progress.
	shutdownTimeout = 5 * time.Second
)

// countClosed returns a function that counts the connections closed and the requests
// refused at a listener because of a limit, by the reason.
func (control *Control) countClosed(listener string) func(reason string) {
	return func(reason string) {
		control.stats.Count(fmt.Sprintf(`vp_clients_refused_total{listener=%q,reason=%q}`, listener, reason), 1)
	}
}

// startAPI serves the API at each listener. It returns a function that stops serving and
// waits for the requests in progress, until its context ends.
func (control *Control) startAPI(ctx context.Context, group *tasks.Group, listeners map[string]net.Listener) (stop func(context.Context) error) {
	servers := map[string]*front.Server{}
	for name, listener := range listeners {
		share := apiShare
		if name != "api" {
			share = metricsShare
		}
		server := front.New(front.Deps{
			Handler:    control.admit,
			Limits:     front.DefaultLimits,
			Pool:       control.apiPool,
			WriteError: rejectRequest,
			Memory:     control.memory,
			MaxConns:   share.MaxConns(),
			Count:      control.countClosed(name),
		})
		servers[name] = server
		group.Go(ctx, name, func(ctx context.Context) error { return server.Serve(ctx, listener) })
	}
	return func(ctx context.Context) error {
		var failure error
		for name, server := range servers {
			failure = errors.Join(failure, listeners[name].Close(), server.Shutdown(ctx))
		}
		return failure
	}
}

// admit handles a request once there is memory to decode its body, which then exists
// twice.
func (control *Control) admit(ctx context.Context, request *fasthttp.RequestCtx) {
	if bufmem.FromContext(ctx).Grow(int64(len(request.PostBody()))) != nil {
		rejectRequest(request, fasthttp.StatusServiceUnavailable)
		return
	}
	control.handle(request)
}

// rejectRequest answers a request that was refused before it was handled. It has not
// been executed, and may be repeated unless the request itself is at fault.
func rejectRequest(request *fasthttp.RequestCtx, status int) {
	code := wire.CodeInvalid
	// 408 answers a request that was not read in time, or that came during a shutdown.
	if status == fasthttp.StatusServiceUnavailable || status == fasthttp.StatusRequestTimeout {
		code = wire.CodeUnavailable
	}
	replyError(request, status, wire.APIError{Code: code, Reason: fasthttp.StatusMessage(status)})
}
