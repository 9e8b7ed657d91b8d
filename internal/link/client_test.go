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

// recorder is a Handler that records the notifications it receives.
type recorder struct{ got chan string }

func (recorder recorder) Notify(_ *Conn, _ string, params json.RawMessage) {
	recorder.got <- string(params)
}

func (recorder) Call(context.Context, *Conn, string, json.RawMessage) (any, error) { return nil, nil }

func (recorder) Closed(*Conn) {}

// TestNotificationsBeforeConnectAreDelivered posts notifications before there is
// a connection. If they were lost, an election after a restart of all replicas
// would lose its first messages.
func TestNotificationsBeforeConnectAreDelivered(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pool, err := ants.NewPool(8)
	require.NoError(t, err)
	defer pool.Release()
	options := Options{Traffic: &Traffic{}, Pool: pool}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	recorder := recorder{got: make(chan string, 2*maxQueued)}
	ended := make(chan error, 1)
	go func() { ended <- Serve(ctx, listener, recorder, options, func(*Conn) {}) }()
	client := NewClient(ctx, options)
	for i := range 3 {
		client.Post(ctx, listener.Addr().String(), "m", i)
	}
	for _, want := range []string{"0", "1", "2"} {
		select {
		case got := <-recorder.got:
			require.Equal(t, want, got)
		case <-time.After(5 * time.Second):
			t.Fatal("a notification was lost")
		}
	}
	cancel()
	require.NoError(t, <-ended)
}

// TestUnansweredDialDoesNotDelayNotifications leaves the first dial unanswered, as
// if its first packet had been lost at a VM that was still starting. Notifications that
// are posted once the VM runs must not wait for the end of that dial.
func TestUnansweredDialDoesNotDelayNotifications(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	pool, err := ants.NewPool(8)
	require.NoError(t, err)
	defer pool.Release()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	recorder := recorder{got: make(chan string, 2*maxQueued)}
	ended := make(chan error, 1)
	go func() {
		ended <- Serve(ctx, listener, recorder, Options{Traffic: &Traffic{}, Pool: pool}, func(*Conn) {})
	}()
	var dials atomic.Int32
	options := Options{Traffic: &Traffic{}, Pool: pool, Dial: func(ctx context.Context, address string) (net.Conn, error) {
		if dials.Add(1) == 1 {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return net.Dial("tcp", address)
	}}
	client := NewClient(ctx, options)
	client.Post(ctx, listener.Addr().String(), "m", 0)
	time.Sleep(2 * hedgedDialDelay)
	client.Post(ctx, listener.Addr().String(), "m", 1)
	for _, want := range []string{"0", "1"} {
		select {
		case got := <-recorder.got:
			require.Equal(t, want, got)
		case <-time.After(5 * time.Second):
			t.Fatal("a notification was delayed by the first dial")
		}
	}
	cancel()
	require.NoError(t, <-ended)
}
