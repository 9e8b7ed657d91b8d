package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/picker"
	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/sample"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// TestMalformedAnswersOfGatesAreFailures guards against an entry node that believes a malformed
// answer of a gate: its outcome, its load, or that the call did not run, also if a body was
// announced and not sent. Such an answer counts as a failure of the target, for its ejection and
// for a rollout of its version.
func TestMalformedAnswersOfGatesAreFailures(t *testing.T) {
	const fields = "Vp-Load: 1/0/5\r\nVp-Target: n2\r\nContent-Length: 2\r\n"
	for name, answer := range map[string]string{
		"ran":              "HTTP/1.1 000 OK\r\nVp-Outcome: ran\r\n" + fields + "\r\nok",
		"not run":          "HTTP/1.1 503 Busy\r\nVp-Outcome: not-run\r\nX Bad: 1\r\n" + fields + "\r\nno",
		"ambiguous":        "HTTP/1.1 200 OK\r\nVp-Outcome: ran\r\nTransfer-Encoding: chunked\r\n" + fields + "\r\n0\r\n\r\n",
		"without a length": "HTTP/1.1 200 OK\r\nVp-Outcome: ran\r\nConnection: close\r\n\r\nok",
	} {
		for _, size := range []int{0, 2 * maxUnannouncedBody} {
			t.Run(fmt.Sprint(name, size), func(t *testing.T) {
				entry := newEntry(time.Now)
				gate := &keptGate{}
				entry.parentCalls, entry.service = gate, func() string { return "caller" }
				entry.gates = proxy.New(proxy.DefaultSettings(), time.Now)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				call := &call{request: &fasthttp.RequestCtx{}, config: rsrc.EmptyConfig()}
				call.request.Request.SetRequestURI("http://h/x")
				call.request.Request.Header.SetMethod(fasthttp.MethodPut)
				call.request.Request.SetBody(make([]byte, size))
				address, err := sample.StartRaw(t.Context(), answer, nil)
				require.NoError(t, err)
				var response fasthttp.Response
				_, err = entry.exchange(ctx, call, picker.Target{Name: "n2", Gate: address}, false, &response)
				require.Error(t, err)
				result := entry.classify(ctx, err, &response)
				require.Equal(t, proxy.OutcomeUnknown, result.outcome)
				require.Equal(t, picker.ResultFailed, result.pickerResult)
				require.True(t, result.mayHaveReachedUpstream)
				require.False(t, result.unreachable)
				require.Nil(t, result.load)
				failed, counts := classifyForGuard(result, true)
				require.True(t, failed && counts)
			})
		}
	}
}
