package sample

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
