package entry

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proto"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/skew"
)

// writeSent states in a request when it was sent, on the clock of the target's node. A
// gate responds with the times on its clock even if there is no estimate yet.
func (entry *Entry) writeSent(target picker.Target, sent time.Duration, header *fasthttp.RequestHeader) {
	entry.lock.Lock()
	peer, at, known := entry.clocks.PeerTime(target.Name, sent)
	entry.lock.Unlock()
	text := proto.UnknownSent
	if known {
		text = proto.FormatSent(peer, at)
	}
	proxy.SetOnly(header, proxy.HeaderSent, text)
}

// observeClock learns from an exchange with a target's gate. A gate of an earlier build
// states no times.
func (entry *Entry) observeClock(target picker.Target, sent time.Duration, response *fasthttp.Response) {
	answered := entry.uptime()
	if peer, arrived, responded, ok := proto.ParseClock(response.Header.Peek(proxy.HeaderClock)); ok {
		entry.lock.Lock()
		entry.clocks.Observe(target.Name, skew.Exchange{Peer: peer, Sent: sent, Arrived: arrived, Responded: responded, Answered: answered})
		entry.lock.Unlock()
	}
	response.Header.Del(proxy.HeaderClock)
}
