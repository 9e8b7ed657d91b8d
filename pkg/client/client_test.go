package client

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/sample"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// startVM starts a stand-in of a control VM that sends the given bytes to each request. It
// returns its address and the request ids that it gets.
func startVM(t *testing.T, answer string) (address string, ids chan string) {
	ids = make(chan string, 100)
	address, err := sample.StartRaw(t.Context(), answer, func(request *fasthttp.Request, _ string) { ids <- string(request.Header.Peek("Vp-Request-Id")) })
	require.NoError(t, err)
	return address, ids
}

// TestMalformedAnswersAreNone guards against a write that is reported as accepted or refused
// because of a malformed answer. The client repeats it at the next control VM with the same
// request id.
func TestMalformedAnswersAreNone(t *testing.T) {
	const (
		accepted = "Content-Length: 13\r\n\r\n{\"version\":7}"
		refused  = "Content-Length: 19\r\n\r\n{\"code\":\"conflict\"}"
	)
	valid, validIDs := startVM(t, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"version\":8}")
	for name, answer := range map[string]string{
		"status":       "HTTP/1.1 000 OK\r\n" + accepted,
		"field name":   "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + accepted,
		"two lengths":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\nd\r\n{\"version\":7}\r\n0\r\n\r\n",
		"high status":  "HTTP/1.1 999 Conflict\r\n" + refused,
		"refusal":      "HTTP/1.1 409 Conflict\r\nX Bad: 1\r\n" + refused,
		"interim head": "HTTP/1.1 000 Wait\r\n\r\nHTTP/1.1 409 Conflict\r\n" + refused,
	} {
		t.Run(name, func(t *testing.T) {
			malformed, malformedIDs := startVM(t, answer)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			var result wire.Result
			require.NoError(t, New([]string{malformed, valid}).Post(ctx, "/v1/apply", Request{}, struct{}{}, &result))
			require.EqualValues(t, 8, result.Version)
			require.Equal(t, <-malformedIDs, <-validIDs)
		})
	}
}

// TestDefiniteRefusalIsReturned guards against a client that repeats a write which was refused.
func TestDefiniteRefusalIsReturned(t *testing.T) {
	address, ids := startVM(t, "HTTP/1.1 409 Conflict\r\nConnection: close\r\n\r\n{\"code\":\"conflict\",\"reason\":\"newer\"}")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var refusal *RefusalError
	require.ErrorAs(t, New([]string{address}).Post(ctx, "/v1/apply", Request{ID: "r-1"}, struct{}{}, &struct{}{}), &refusal)
	require.Equal(t, CodeConflict, refusal.Code)
	require.Len(t, ids, 1)
}
