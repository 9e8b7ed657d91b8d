package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/proxy"
	"github.com/vanillapulley/vanillapulley/internal/sample"
)

// TestMalformedResponsesAreNone guards against a soak that counts a malformed response of a
// node as a served call.
func TestMalformedResponsesAreNone(t *testing.T) {
	for answer, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok":             true,
		"HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok":             false,
		"HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 2\r\n\r\nok": false,
	} {
		address, err := sample.StartRaw(t.Context(), answer, nil)
		require.NoError(t, err)
		var reported *proxy.FormatError
		client := newClient(func(malformed *proxy.FormatError) { reported = malformed })
		for range 2 {
			code, body, err := client.GetTimeout(nil, "http://"+address+"/", time.Minute)
			if !valid {
				require.Error(t, err)
				require.NotNil(t, reported)
				break
			}
			require.NoError(t, err)
			require.Nil(t, reported)
			require.Equal(t, fasthttp.StatusOK, code)
			require.Equal(t, "ok", string(body))
		}
	}
}
