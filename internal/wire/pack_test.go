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

// The users' narrowest node: it passes a change on to its children within the
// time in which the change is to be in force two levels below.
const (
	nodeBytesPerSecond = 4_300_000 / 8
	nodeChildren       = 8
	levelTime          = time.Second
)

func manyRoutes(t *testing.T, count int) *rsrc.Config {
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

func TestALargeConfigurationFitsNarrowLines(t *testing.T) {
	config := manyRoutes(t, 1500)
	delta := config.DeltaSince(0)
	written := FromTreeMessage(distr.Message{Update: &delta}, EncodeDelta(delta))
	size := len(Must(written))
	t.Logf("%d bytes", size)
	require.LessOrEqual(t, size*nodeChildren, int(nodeBytesPerSecond*levelTime.Seconds()))
	message, err := written.Domain()
	require.NoError(t, err)
	got, err := rsrc.EmptyConfig().Merge(*message.Update)
	require.NoError(t, err)
	require.Equal(t, config.Digest(), got.Digest())
}

func TestPackedUpdatesAreBounded(t *testing.T) {
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	require.NoError(t, err)
	chunk := make([]byte, 1<<20)
	for range maxDelta/len(chunk) + 1 {
		_, err := writer.Write(chunk)
		require.NoError(t, err)
	}
	require.NoError(t, writer.Close())
	_, err = Update{packed: packed.Bytes()}.Delta()
	require.ErrorContains(t, err, "more than")
	_, err = Update{packed: []byte("not compressed")}.Delta()
	require.Error(t, err)
}
