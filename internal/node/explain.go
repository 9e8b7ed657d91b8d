package node

import "context"

// explain writes one line about a call that ended without an upstream's good
// answer, or that needed more than one try.
func (node *Node) explain(ctx context.Context, call *call, ended result) {
	if call.tries <= 1 && call.refusals == 0 && ended.outcome == "ran" && ended.learned == 0 {
		return
	}
	node.callLog.Info("call", "id", call.id, "route", call.route.Name(), "service", call.service,
		"outcome", string(ended.outcome), "status", call.request.Response.StatusCode(), "reason", ended.reason,
		"tried", call.tried, "tries", call.tries, "refusals", call.refusals,
		"took", node.now().Sub(call.started).String(), "config", call.config.Version(), "left", ctx.Err() != nil, "from", call.request.RemoteAddr().String(), "priority", call.route.Priority(), "asked", string(call.request.Request.Header.Peek("Vanillapulley-Deadline-Ms")))
}
