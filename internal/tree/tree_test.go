package tree

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/panjf2000/ants/v2"
	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/link"
	"github.com/vanillapulley/vanillapulley/internal/stats"
)

// TestDialDoesNotWaitForThePool has the only goroutine of the pool wait for the
// tree's lock while the holder of the lock asks for a connection.
func TestDialDoesNotWaitForThePool(t *testing.T) {
	pool, err := ants.NewPool(1)
	require.NoError(t, err)
	defer pool.Release()
	tree := New(nil, nil, link.Options{Pool: pool}, logr.Discard(), stats.New(), time.Now)
	locked, ended := make(chan struct{}), make(chan struct{})
	require.NoError(t, pool.Submit(func() {
		<-locked
		tree.lock.Lock()
		defer tree.lock.Unlock()
	}))
	go func() {
		defer close(ended)
		tree.lock.Lock()
		defer tree.lock.Unlock()
		close(locked)
		action := distr.Action{Dial: "127.0.0.1:1"}
		tree.perform(action)
	}()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the tree's lock is held while the pool has no free goroutine")
	}
}
