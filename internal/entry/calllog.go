package entry

import (
	"context"
	"errors"

	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// sampleEvery is the sampling rate for ordinary calls: one out of this many is
// logged as an example of normal traffic.
const sampleEvery = 256

// logCall logs a call if it was retried, refused or unsuccessful, and a sample
// of the other, ordinary calls. The key fullAt lists the targets that refused the
// call for lack of a free slot, and failedAt all other targets that were tried,
// including one that succeeded.
func (entry *Entry) logCall(ctx context.Context, call *call, last result) {
	ordinary := call.tries <= 1 && call.refusals == 0 && last.outcome == proxy.OutcomeRan && last.pickerResult == picker.ResultSucceeded
	if ordinary && entry.ordinaryCalls.Add(1)%sampleEvery != 1 {
		return
	}
	deadline, _ := ctx.Deadline()
	callerLeft := errors.Is(context.Cause(ctx), proxy.ErrCallerDisconnected)
	isNew := call.versionSet.rollout != nil && call.versionSet.isNew
	entry.callLog.Info("call", "id", call.id, "route", call.route.Name(), "service", call.service, "account", call.accountName(),
		"outcome", string(last.outcome), "status", call.request.Response.StatusCode(), "reason", last.reason,
		"tries", call.tries, "refusals", call.refusals, "failedAt", call.search.Failed(), "fullAt", call.search.Full(),
		"took", entry.now().Sub(call.started).String(), "allowed", deadline.Sub(call.started).String(),
		"retryAfter", call.retryAfter.String(), "callerLeft", callerLeft, "onNewVersion", isNew,
		"config", call.config.Version(), "membership", entry.membership.Load(), "usual", ordinary)
}
