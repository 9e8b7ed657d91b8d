package gate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// nestedTimeDivisor is the part of the time until its deadline in which a nested call that
// has to queue should end.
const nestedTimeDivisor = 2

// nestedRetryAfter is the time after which a call may come back that was refused because
// its nested calls find no capacity.
const nestedRetryAfter = 100 * time.Millisecond

// isNested reports whether a call was made by an upstream while it serves another one.
func isNested(header *fasthttp.RequestHeader) bool { return len(header.Peek(proxy.HeaderNested)) > 0 }

// admits reports whether a call that is not nested may start although the nested calls
// of its route may find no capacity.
func (gate *Gate) admits(header *fasthttp.RequestHeader) bool {
	if isNested(header) {
		return true
	}
	late := proto.ReadMilliseconds(header.Peek(proxy.HeaderObjective)) <= time.Millisecond
	return gate.parentCalls.admits(gate.now(), string(header.Peek(proxy.HeaderRoute)), late, gate.random.Float64())
}
