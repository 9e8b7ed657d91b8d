package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// readScript returns the lines of a data file without comments and empty lines.
func readScript(t *testing.T, name string) []string {
	data, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	var lines []string
	for _, line := range strings.Split(string(data), "\n") {
		if line != "" && !strings.HasPrefix(line, "#") {
			lines = append(lines, line)
		}
	}
	return lines
}

func unquote(t *testing.T, text string) string {
	unquoted, err := strconv.Unquote(text)
	require.NoError(t, err, text)
	return unquoted
}

// exchangeWith sends a request to a peer that answers with the given bytes and closes the
// connection.
func exchangeWith(t *testing.T, answer string, response *fasthttp.Response) error {
	peer := newPeer(t, func(conn net.Conn, _ string) bool {
		_, _ = io.WriteString(conn, answer)
		return false
	})
	settings := DefaultSettings()
	settings.AllowCloseDelimited = true
	ctx, cancel := context.WithTimeout(t.Context(), farDeadline)
	defer cancel()
	var request fasthttp.Request
	request.SetRequestURI("http://h/")
	return New(settings, time.Now).Do(ctx, peer.address(), &request, response)
}

// TestMalformedResponsesAreErrors guards against bytes that are not a response and reach the
// caller as one. Such an exchange names what is wrong and leaves the outcome unknown.
func TestMalformedResponsesAreErrors(t *testing.T) {
	reason := ""
	for _, line := range readScript(t, "malformed.txt") {
		if text, ok := strings.CutPrefix(line, "reason "); ok {
			reason = text
			continue
		}
		t.Run(line, func(t *testing.T) {
			var response fasthttp.Response
			err := exchangeWith(t, unquote(t, line), &response)
			require.Error(t, err, "delivered as status %d with the body %q", response.StatusCode(), response.Body())
			require.True(t, maybeSent(t, err))
			var exchangeError *ExchangeError
			require.ErrorAs(t, err, &exchangeError)
			require.Equal(t, "the answer is malformed: "+reason, exchangeError.Reason())
		})
	}
}

// TestValidResponsesAreDelivered guards against checks that refuse responses which HTTP/1.1
// allows.
func TestValidResponsesAreDelivered(t *testing.T) {
	for _, line := range readScript(t, "valid.txt") {
		t.Run(line, func(t *testing.T) {
			var status int
			var body, answer string
			_, err := fmt.Sscanf(line, "%d %q %q", &status, &body, &answer)
			require.NoError(t, err)
			var response fasthttp.Response
			require.NoError(t, exchangeWith(t, answer, &response))
			require.Equal(t, status, response.StatusCode())
			require.Equal(t, "HTTP/1.1", string(response.Header.Protocol()), "the version is that of the peer's connection")
			require.Equal(t, body, string(response.Body()))
		})
	}
}
