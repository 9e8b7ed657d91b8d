package gate

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
)

// reasonAged is the reason for refusing a call whose caller has left while the request was
// in the link.
const reasonAged = "the time of the call passed in the link"

// age returns how long a request that arrived at the given time was on its way. It is zero
// if the entry node has no estimate of this node's clock.
func (gate *Gate) age(header *fasthttp.RequestHeader, arrived time.Duration) time.Duration {
	peer, sent, ok := proto.ParseSent(header.Peek(proxy.HeaderSent))
	if !ok || peer != gate.incarnation {
		return 0
	}
	return max(0, arrived-sent)
}

// shorten reduces the times that a request states by its age. It returns the time left
// until the deadline, which is negative if the caller has left.
func (gate *Gate) shorten(header *fasthttp.RequestHeader, timeout, age time.Duration) time.Duration {
	if objective := proto.ReadMilliseconds(header.Peek(proxy.HeaderObjective)); objective > 0 && age > 0 {
		header.Set(proxy.HeaderObjective, proto.FormatMilliseconds(objective-age))
	}
	return timeout - age
}

// writeClock states on a response when the request arrived and when the response was
// written. Only entry nodes that send HeaderSent remove it from the response.
func (gate *Gate) writeClock(response *fasthttp.Response, arrived time.Duration) {
	response.Header.Del(proxy.HeaderClock)
	response.Header.Set(proxy.HeaderClock, proto.FormatClock(gate.incarnation, arrived, gate.uptime()))
}
