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

// replaceWhole takes a whole configuration from an operator.
func (control *Control) replaceWhole(ctx context.Context, request *fasthttp.RequestCtx) {
	var body wire.ReplaceRequest
	if err := wire.Strict(request.PostBody(), &body); err != nil {
		invalid(request, err)
		return
	}
	whole, err := wholeOf(body, request.PostBody())
	if err != nil {
		invalid(request, err)
		return
	}
	settled(request, control.Replace(ctx, whole))
}

func wholeOf(body wire.ReplaceRequest, sent []byte) (Whole, error) {
	whole := Whole{Number: body.Number, Base: body.Base, Content: xxhash.Sum64(sent)}
	limits, err := body.Limits.Domain()
	if err != nil {
		return whole, err
	}
	whole.Limits = limits
	for _, written := range body.Resources {
		written.Revision = 0
		resource, err := written.Domain()
		if err != nil {
			return whole, err
		}
		switch value := resource.(type) {
		case rsrc.Service:
			whole.Services = append(whole.Services, value)
		case rsrc.Route:
			whole.Routes = append(whole.Routes, value)
		default:
			return whole, &rsrc.ValidationError{Path: resource.Key().String(), Reason: "only services and routes make up a whole configuration"}
		}
	}
	return whole, nil
}

// startShift takes the order to roll out a whole service.
func (control *Control) startShift(ctx context.Context, request *fasthttp.RequestCtx) {
	var body wire.ShiftRequest
	if err := wire.Strict(request.PostBody(), &body); err != nil {
		invalid(request, err)
		return
	}
	within, err := time.ParseDuration(body.Within)
	if err != nil {
		invalid(request, &rsrc.ValidationError{Path: "within", Reason: fmt.Sprintf("%q is not a duration such as 15s or 10m", body.Within)})
		return
	}
	settled(request, control.ShiftService(ctx, body.Service, body.To, within))
}

// settled answers an order.
func settled(request *fasthttp.RequestCtx, err error) {
	var refusal *wire.APIError
	switch {
	case err == nil:
		reply(request, wire.Accepted{Code: wire.CodeOK})
	case !errors.As(err, &refusal):
		invalid(request, err)
	case refusal.Code == wire.CodeUnavailable:
		refuse(request, fasthttp.StatusServiceUnavailable, *refusal)
	case refusal.Code == wire.CodeConflict:
		refuse(request, fasthttp.StatusConflict, *refusal)
	default:
		refuse(request, fasthttp.StatusBadRequest, *refusal)
	}
}
