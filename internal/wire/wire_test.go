package wire

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

func sampleConfig(t testing.TB) *rsrc.Config {
	now := time.Unix(1000, 0).UTC()
	config, err := rsrc.EmptyConfig().Apply(3, rsrc.Change{Put: []rsrc.Resource{
		rsrc.NewService("s", rsrc.PolicyRollback),
		rsrc.NewVersion("s", "v1", 2),
		rsrc.NewVersion("s", "v2", 1),
		rsrc.NewRoute("r", "s", "/a", "v1", time.Second),
		rsrc.NewRollout("r", "v1", "v2", now.Add(time.Hour), now),
		rsrc.NewWitnesses(rsrc.Placement{Nodes: []string{"n1", "n2"}}, rsrc.Placement{Nodes: []string{"n3"}, Until: now}),
	}})
	require.NoError(t, err)
	return config
}

func TestAConfigurationComesBackTheSame(t *testing.T) {
	config := sampleConfig(t)
	delta, err := DecodeDelta(Must(FromDelta(config.DeltaSince(0))))
	require.NoError(t, err)
	got, err := rsrc.EmptyConfig().Merge(delta)
	require.NoError(t, err)
	require.Equal(t, config.All(), got.All())
	restored, err := FromConfig(config).Domain()
	require.NoError(t, err)
	require.Equal(t, config.Digest(), restored.Digest())
}

// FuzzDelta wants the decoder and the merge to refuse what is wrong and never
// to give a configuration that breaks a rule.
func FuzzDelta(f *testing.F) {
	f.Add(Must(FromDelta(sampleConfig(f).DeltaSince(0))))
	f.Add([]byte(`{"to":1,"put":[{"kind":"route","name":"r","revision":1}]}`))
	f.Add([]byte(`{"to":18446744073709551615,"from":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		delta, err := DecodeDelta(data)
		if err != nil {
			return
		}
		config, err := rsrc.EmptyConfig().Merge(delta)
		if err != nil {
			return
		}
		again, err := FromConfig(config).Domain()
		require.NoError(t, err)
		require.Equal(t, config.Digest(), again.Digest())
	})
}
