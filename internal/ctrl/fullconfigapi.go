package ctrl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// replaceConfig handles a request to replace the configuration.
func (control *Control) replaceConfig(ctx context.Context, request *fasthttp.RequestCtx) {
	var body wire.ReplaceRequest
	if err := wire.DecodeStrict(request.PostBody(), &body); err != nil {
		replyInvalid(request, err)
		return
	}
	fullConfig, err := newFullConfig(body, request.PostBody())
	if err != nil {
		replyInvalid(request, err)
		return
	}
	replyOutcome(request, control.ReplaceConfig(ctx, fullConfig))
}

// newFullConfig converts a decoded request to replace the configuration. Content
// is the hash of requestBody.
func newFullConfig(body wire.ReplaceRequest, requestBody []byte) (FullConfig, error) {
	fullConfig := FullConfig{Number: body.Number, Base: body.Base, Content: xxhash.Sum64(requestBody)}
	limits, err := body.Limits.Domain()
	if err != nil {
		return fullConfig, err
	}
	fullConfig.Limits = limits
	for _, encoded := range body.Resources {
		encoded.Revision = 0
		resource, err := encoded.Domain()
		if err != nil {
			return fullConfig, err
		}
		switch value := resource.(type) {
		case rsrc.Service:
			fullConfig.Services = append(fullConfig.Services, value)
		case rsrc.Route:
			fullConfig.Routes = append(fullConfig.Routes, value)
		case rsrc.Account:
			fullConfig.Accounts = append(fullConfig.Accounts, value)
		default:
			return fullConfig, &rsrc.ValidationError{Path: resource.Key().String(), Reason: "only services, routes and accounts make up a whole configuration"}
		}
	}
	return fullConfig, nil
}

// startServiceRollout handles a request to start the rollout of a whole service.
func (control *Control) startServiceRollout(ctx context.Context, request *fasthttp.RequestCtx) {
	var body wire.ShiftRequest
	if err := wire.DecodeStrict(request.PostBody(), &body); err != nil {
		replyInvalid(request, err)
		return
	}
	within, err := time.ParseDuration(body.Within)
	if err != nil {
		replyInvalid(request, &rsrc.ValidationError{Path: "within", Reason: fmt.Sprintf("%q is not a duration such as 15s or 10m", body.Within)})
		return
	}
	replyOutcome(request, control.StartServiceRollout(ctx, body.Service, body.To, within))
}

// replyOutcome answers a request with its outcome: acceptance if err is nil, and
// the error otherwise.
func replyOutcome(request *fasthttp.RequestCtx, err error) {
	var apiError *wire.APIError
	switch {
	case err == nil:
		reply(request, wire.Accepted{Code: wire.CodeOK})
	case !errors.As(err, &apiError):
		replyInvalid(request, err)
	case apiError.Code == wire.CodeUnavailable:
		replyError(request, fasthttp.StatusServiceUnavailable, *apiError)
	case apiError.Code == wire.CodeConflict:
		replyError(request, fasthttp.StatusConflict, *apiError)
	default:
		replyError(request, fasthttp.StatusBadRequest, *apiError)
	}
}
