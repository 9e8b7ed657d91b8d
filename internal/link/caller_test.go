package link

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/stretchr/testify/require"
)

// taker collects notifications.
type taker struct{ got chan string }

func (taker taker) Notify(_ *Conn, _ string, params json.RawMessage) { taker.got <- string(params) }

func (taker) Call(context.Context, *Conn, string, json.RawMessage) (any, error) { return nil, nil }

func (taker) Closed(*Conn) {}

// TestTheFirstNotificationsArrive posts before there is a connection. An
// election after a restart of all replicas depends on its first messages.
func TestTheFirstNotificationsArrive(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pool, err := ants.NewPool(8)
	require.NoError(t, err)
	defer pool.Release()
	options := Options{Traffic: &Traffic{}, Pool: pool}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	taker := taker{got: make(chan string, 2*maxHeld)}
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, listener, taker, options, func(*Conn) {}) }()
	caller := NewCaller(ctx, options)
	for i := range 3 {
		caller.Post(ctx, listener.Addr().String(), "m", i)
	}
	for _, want := range []string{"0", "1", "2"} {
		select {
		case got := <-taker.got:
			require.Equal(t, want, got)
		case <-time.After(5 * time.Second):
			t.Fatal("a notification was lost")
		}
	}
	cancel()
	require.NoError(t, <-ended)
}
