package ctrl

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/sample"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// initSingle creates the data folder of a control VM without peers.
func initSingle(t *testing.T) config.Control {
	settings := config.Control{
		Name: "c1", Zone: "a", Data: filepath.Join(t.TempDir(), "data"), API: sample.FreeAddress(), Link: sample.FreeAddress(),
		Replicas: 1, MaxChildren: 8, SnapshotEvery: 100,
	}
	require.NoError(t, Init(settings))
	return settings
}

// TestStopEndsRequestsInProgress guards against a planned stop that waits for clients that
// watch the configuration until it cuts them off.
func TestStopEndsRequestsInProgress(t *testing.T) {
	settings := initSingle(t)
	watching := make(chan struct{})
	control, err := New(Deps{
		Settings: settings, Logs: logs.Discard(), Stats: stats.New(), Now: time.Now,
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) },
		API: func(_ *Control, request *fasthttp.RequestCtx) bool {
			if string(request.Path()) == "/v1/watch" {
				close(watching)
			}
			return false
		},
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended, answered := make(chan error, 1), make(chan error, 1)
	go func() { ended <- control.Run(ctx) }()
	get := func(path string) error {
		response, err := http.Get("http://" + settings.API + path)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
	require.Eventually(t, func() bool { return get("/v1/status") == nil }, 20*time.Second, 10*time.Millisecond)
	go func() { answered <- get("/v1/watch?from=1000") }()
	<-watching
	cancel()
	require.NoError(t, <-ended, "the request was cut off")
	require.NoError(t, <-answered)
}

// TestStopRefusesTheNextRequestAsNotExecuted guards against a valid change that is rejected
// as invalid because it was sent on an open connection to a control VM that stops.
func TestStopRefusesTheNextRequestAsNotExecuted(t *testing.T) {
	settings := initSingle(t)
	control, err := New(Deps{
		Settings: settings, Logs: logs.Discard(), Stats: stats.New(), Now: time.Now,
		Random: func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) },
	})
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- control.Run(ctx) }()
	var raw net.Conn
	require.Eventually(t, func() bool {
		raw, err = net.Dial("tcp", settings.API)
		return err == nil
	}, 20*time.Second, 10*time.Millisecond)
	defer func() { _ = raw.Close() }()
	reader := bufio.NewReader(raw)
	_, err = raw.Write([]byte("GET /v1/status HTTP/1.1\r\nHost: " + settings.API + "\r\n\r\n"))
	require.NoError(t, err)
	response := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(response)
	require.NoError(t, response.Read(reader))

	cancel()
	require.NoError(t, response.Read(reader), "the next request gets no answer")
	require.Equal(t, fasthttp.StatusRequestTimeout, response.StatusCode())
	var refusal wire.APIError
	require.NoError(t, json.Unmarshal(response.Body(), &refusal))
	require.Equal(t, wire.CodeUnavailable, refusal.Code)
	require.NoError(t, <-ended)
}
