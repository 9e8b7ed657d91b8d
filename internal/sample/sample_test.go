package sample

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// TestRunEndsWithItsContext cancels the context of an upstream before, while and
// after it begins to serve.
func TestRunEndsWithItsContext(t *testing.T) {
	for i := range 200 {
		upstream := New(Settings{
			Service: "s", Version: "v1", Address: FreeAddress(), Admin: "127.0.0.1:1",
			Slots: 1, TTL: time.Second, Now: time.Now, Random: rand.New(rand.NewPCG(1, 1)),
		})
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() { ended <- upstream.Run(ctx) }()
		time.Sleep(time.Duration(i) * 5 * time.Microsecond)
		cancel()
		select {
		case err := <-ended:
			require.NoError(t, err)
		case <-time.After(10 * time.Second):
			t.Fatal("the upstream goes on after the end of its context")
		}
	}
}

// TestMalformedAnswerIsNoAcknowledgement guards against an upstream that takes a malformed
// answer for an acknowledged announcement: its node would not have it until the next one is
// due.
func TestMalformedAnswerIsNoAcknowledgement(t *testing.T) {
	announced := make(chan struct{}, 100)
	address, err := StartRaw(t.Context(), "HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", func(*fasthttp.Request, string) { announced <- struct{}{} })
	require.NoError(t, err)
	upstream := New(Settings{
		Service: "s", Version: "v1", Address: FreeAddress(), Admin: address,
		Slots: 1, TTL: time.Hour, Now: time.Now, Random: rand.New(rand.NewPCG(1, 1)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- upstream.Run(ctx) }()
	for range 2 {
		select {
		case <-announced:
		case <-time.After(time.Minute):
			t.Error("the announcement was not repeated")
		}
	}
	cancel()
	require.NoError(t, <-ended)
}
