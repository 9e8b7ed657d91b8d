package ctrl

import (
	"context"
	"io"
	"math/rand/v2"
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
)

// TestStopEndsRequestsInProgress guards against a planned stop that waits for clients that
// watch the configuration until it cuts them off.
func TestStopEndsRequestsInProgress(t *testing.T) {
	settings := config.Control{
		Name: "c1", Zone: "a", Data: filepath.Join(t.TempDir(), "data"), API: sample.FreeAddress(), Link: sample.FreeAddress(),
		Replicas: 1, MaxChildren: 8, SnapshotEvery: 100,
	}
	require.NoError(t, Init(settings))
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
