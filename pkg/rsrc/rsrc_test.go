package rsrc

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func baseConfig(t testing.TB) *Config {
	config, err := EmptyConfig().Apply(5, Change{Put: []Resource{
		NewService("s", ""),
		NewVersion("s", "v1", 0),
		NewVersion("s", "v2", 0),
		NewRoute("r", "s", "/a", "v1", 0),
	}})
	require.NoError(t, err)
	return config
}

// TestInvalidChangesAreRejected checks that the error for an invalid change
// names the path of the fault and that the configuration stays unchanged.
func TestInvalidChangesAreRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := map[string]Change{
		"version/x/v1.service":         {Put: []Resource{NewVersion("x", "v1", 0)}},
		"version/s/v9.minTargets":      {Put: []Resource{NewVersion("s", "v9", -1)}},
		"route/q.service":              {Put: []Resource{NewRoute("q", "x", "/q", "v1", 0)}},
		"route/q.version":              {Put: []Resource{NewRoute("q", "s", "/q", "v7", 0)}},
		"route/q.prefix":               {Put: []Resource{NewRoute("q", "s", "q", "v1", 0)}},
		"route/q.timeout":              {Put: []Resource{NewRoute("q", "s", "/q", "v1", time.Hour)}},
		"service/S.name":               {Put: []Resource{NewService("S", "")}},
		"service/t.policy":             {Put: []Resource{NewService("t", "brave")}},
		"rollout/r.to":                 {Put: []Resource{NewRollout("r", "v1", "v1", now, now)}},
		"rollout/none.route":           {Put: []Resource{NewRollout("none", "v1", "v2", now, now)}},
		"witnesses/default.placements": {Put: []Resource{NewWitnesses()}},
		"version/s/v1":                 {Remove: []Key{VersionKey("s", "v1"), VersionKey("s", "v1")}},
	}
	for path, change := range cases {
		config := baseConfig(t)
		digest := config.Digest()
		_, err := config.Apply(6, change)
		var validationErr *ValidationError
		require.ErrorAs(t, err, &validationErr, path)
		require.Equal(t, path, validationErr.Path)
		require.Equal(t, digest, config.Digest())
	}
}

func TestAResourceInUseIsNotRemoved(t *testing.T) {
	for _, key := range []Key{NewKey(KindService, "s"), VersionKey("s", "v1")} {
		_, err := baseConfig(t).Apply(6, Change{Remove: []Key{key}})
		require.Error(t, err)
	}
}

func TestTheMostSpecificRouteMatches(t *testing.T) {
	config, err := baseConfig(t).Apply(6, Change{Put: []Resource{NewRoute("deep", "s", "/a/b", "v2", 0)}})
	require.NoError(t, err)
	for path, want := range map[string]string{"/a": "r", "/a/x": "r", "/a/b": "deep", "/a/b/c": "deep", "/a/bc": "r", "/ab": "", "/": ""} {
		route, _ := config.Match("", path)
		require.Equal(t, want, route.Name(), path)
	}
}

// TestHostsMatchInAnyCase guards against a route that gets no calls because its host is
// written with capitals, and against two routes whose hosts differ in that only.
func TestHostsMatchInAnyCase(t *testing.T) {
	route := func(name, host string) Route {
		return NewRoute(name, "s", "/h", "v1", 0).WithOptions(RouteOptions{Host: host})
	}
	config, err := baseConfig(t).Apply(6, Change{Put: []Resource{route("capitals", "H.Example")}})
	require.NoError(t, err)
	matched, ok := config.Match("h.example", "/h/x")
	require.True(t, ok)
	require.Equal(t, "H.Example", matched.Host())
	_, err = config.Apply(7, Change{Put: []Resource{route("small", "h.example")}})
	require.ErrorContains(t, err, "same host and prefix")
}

// TestDeltaFromAnyVersionGivesTheSameConfig applies random changes and removals
// and checks that one delta leads from any older version to the same
// configuration.
func TestDeltaFromAnyVersionGivesTheSameConfig(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	config := baseConfig(t)
	olderConfigs := []*Config{EmptyConfig(), config}
	for step := range 6000 {
		name := fmt.Sprintf("w%d", random.IntN(30))
		change := Change{Put: []Resource{NewVersion("s", name, 1+random.IntN(5))}}
		if _, ok := config.UpstreamVersion("s", name); ok && random.IntN(2) == 0 {
			change = Change{Remove: []Key{VersionKey("s", name)}}
		}
		next, err := config.Apply(config.Version()+1+uint64(random.IntN(3)), change)
		require.NoError(t, err)
		config = next
		if step%500 == 0 {
			olderConfigs = append(olderConfigs, config)
		}
	}
	require.Positive(t, config.Floor(), "old removals must be dropped, so that the test covers deltas from below the floor")
	for _, old := range olderConfigs {
		got := old
		if old.Version() < config.Version() {
			var err error
			got, err = old.Merge(config.DeltaSince(old.Version()))
			require.NoError(t, err, "from %d", old.Version())
		}
		require.Equal(t, config.Digest(), got.Digest())
		_, err := got.Merge(config.DeltaSince(old.Version()))
		require.Error(t, err, "a repeated delta must be rejected")
	}
}

func TestMismatchedDeltaIsRejected(t *testing.T) {
	config := baseConfig(t)
	next, err := config.Apply(9, Change{Put: []Resource{NewVersion("s", "v3", 0)}})
	require.NoError(t, err)
	delta := next.DeltaSince(5)
	_, err = EmptyConfig().Merge(delta)
	require.Error(t, err, "the delta starts after the current version")
	delta.Digest++
	_, err = config.Merge(delta)
	require.Error(t, err, "the delta states a wrong digest")
}
