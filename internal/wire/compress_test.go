package wire

import (
	"bytes"
	"compress/flate"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

const (
	// nodeBytesPerSecond is the lowest bandwidth of a node in the users'
	// deployment, 4.3 Mbit/s, and nodeChildren is the number of children of
	// that node.
	nodeBytesPerSecond = 4_300_000 / 8
	nodeChildren       = 8
	// forwardTime is the time that the test allows the node to send a change
	// to all its children. It is the time limit for a change to be in force
	// two levels below the node.
	forwardTime = time.Second
)

func configWithRoutes(t *testing.T, count int) *rsrc.Config {
	put := []rsrc.Resource{rsrc.NewService("s", rsrc.PolicyCompletion), rsrc.NewVersion("s", "v1", 1)}
	for i := range count {
		route := rsrc.NewRoute(fmt.Sprintf("r-%07d", i), "s", fmt.Sprintf("/fino%d/se%d/", i, i%77), "v1", 2500*time.Millisecond)
		put = append(put, route.WithOptions(rsrc.RouteOptions{
			Host: "tizi23.example", Kind: rsrc.CallIdempotent, MaxAttempts: 3, Priority: 1, Objective: 600 * time.Millisecond,
		}))
	}
	config, err := rsrc.EmptyConfig().Apply(1, rsrc.Change{Put: put})
	require.NoError(t, err)
	return config
}

func TestLargeConfigFitsBandwidth(t *testing.T) {
	config := configWithRoutes(t, 1500)
	delta := config.DeltaSince(0)
	encoded := FromTreeMessage(distr.Message{Update: &delta}, EncodeDelta(delta))
	size := len(MustEncode(encoded))
	t.Logf("%d bytes", size)
	require.LessOrEqual(t, size*nodeChildren, int(nodeBytesPerSecond*forwardTime.Seconds()))
	message, err := encoded.Domain()
	require.NoError(t, err)
	got, err := rsrc.EmptyConfig().Merge(*message.Update)
	require.NoError(t, err)
	require.Equal(t, config.Digest(), got.Digest())
}

func TestCompressedUpdateSizeIsLimited(t *testing.T) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	require.NoError(t, err)
	chunk := make([]byte, 1<<20)
	for range maxDeltaBytes/len(chunk) + 1 {
		_, err := writer.Write(chunk)
		require.NoError(t, err)
	}
	require.NoError(t, writer.Close())
	_, err = Update{compressed: compressed.Bytes()}.Delta()
	require.ErrorContains(t, err, "more than")
	_, err = Update{compressed: []byte("not compressed")}.Delta()
	require.Error(t, err)
}
