package gate

import (
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/sample"
	"github.com/vanillapulley/vanillapulley/internal/warmup"
)

// TestMalformedAnswersTellNothing guards against a gate that believes what a malformed answer
// says about its upstream: that it is warm, in an answer of its health path, or that it has a
// rate limit and leaves.
func TestMalformedAnswersTellNothing(t *testing.T) {
	for name, head := range map[string]string{
		"status":     "HTTP/1.1 000 OK\r\n",
		"field name": "HTTP/1.1 200 OK\r\nX Bad: 1\r\n",
		"framing":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			test := newWarmGate(t)
			address, err := sample.StartRaw(t.Context(), head+"Vp-Warmup-Ms: 0\r\nVp-Limit: 0.5\r\nVp-Leaving: 1\r\nContent-Length: 5\r\n\r\n0\r\n\r\n", nil)
			require.NoError(t, err)
			test.upstream.address = address
			test.gate.withdraw("test")
			test.announce(1, 0)
			require.Equal(t, warmup.StateUnknown, test.gate.appliedWarmUp.state)
			test.gate.queryHealth(t.Context())
			require.Equal(t, warmup.StateUnknown, test.gate.appliedWarmUp.state)
			require.EqualValues(t, 1, test.gate.stats.Value(`vp_warm_up_health_requests_total{outcome="unanswered"}`))
			require.Equal(t, fasthttp.StatusBadGateway, callGate(test.gate, nil))
			require.False(t, test.gate.Record().Upstream.Limited)
			require.False(t, test.gate.Record().Upstream.Draining)
		})
	}
}
