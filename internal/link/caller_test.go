package link

import (
	"context"
	"encoding/json"
	"net"
	"sync/atomic"
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

// TestADialWithoutAnswerHoldsNothingUp has the first packet of a connection go to
// a VM that is still starting: what is sent once it runs must not wait for the
// end of that dial.
func TestADialWithoutAnswerHoldsNothingUp(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pool, err := ants.NewPool(8)
	require.NoError(t, err)
	defer pool.Release()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	taker := taker{got: make(chan string, 2*maxHeld)}
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, listener, taker, Options{Traffic: &Traffic{}, Pool: pool}, func(*Conn) {}) }()
	var dials atomic.Int32
	options := Options{Traffic: &Traffic{}, Pool: pool, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return net.Dial("tcp", address)
	}}
	caller := NewCaller(ctx, options)
	caller.Post(ctx, listener.Addr().String(), "m", 0)
	time.Sleep(2 * redialAfter)
	caller.Post(ctx, listener.Addr().String(), "m", 1)
	for _, want := range []string{"0", "1"} {
		select {
		case got := <-taker.got:
			require.Equal(t, want, got)
		case <-time.After(5 * time.Second):
			t.Fatal("a notification waits for the first dial")
		}
	}
	cancel()
	require.NoError(t, <-ended)
}
