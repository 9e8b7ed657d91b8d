package ctrl

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/config"
	"github.com/vanillapulley/vanillapulley/internal/logs"
	"github.com/vanillapulley/vanillapulley/internal/stats"
	"github.com/vanillapulley/vanillapulley/internal/wire"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// orderFixture is a control VM with one replica, a service and a clock that a test moves.
type orderFixture struct {
	control *Control
	offset  atomic.Int64
}

func newOrderFixture(t *testing.T) *orderFixture {
	testReplica := newTestReplica(t)
	t.Cleanup(runAsLeader(t, testReplica))
	fixture := &orderFixture{}
	now := func() time.Time { return time.Now().Add(time.Duration(fixture.offset.Load())) }
	fixture.control = &Control{
		replica: testReplica, now: now, logs: logs.Discard(), log: logs.Discard().Layer("daemon"), stats: stats.New(),
		settings: config.Control{Interface: config.InterfacePlatform},
	}
	fixture.restartManager()
	require.NoError(t, fixture.replace(t, 1, 0, "s", "other"))
	return fixture
}

// restartManager forgets what the replica has seen, as a restart of its process does.
func (fixture *orderFixture) restartManager() {
	fixture.control.rolloutManager = newRolloutManager(fixture.control)
}

// replace replaces the configuration by one with the given services.
func (fixture *orderFixture) replace(t *testing.T, number, base uint64, services ...string) error {
	fullConfig := FullConfig{Number: number, Base: base, Content: number}
	for _, name := range services {
		fullConfig.Services = append(fullConfig.Services, rsrc.NewService(name, ""))
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return fixture.control.ReplaceConfig(ctx, fullConfig)
}

// order starts a rollout and returns the epoch of the service's latest rollout.
func (fixture *orderFixture) order(t *testing.T) (uint64, error) {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	err := fixture.control.StartServiceRollout(ctx, "s", "v2", time.Minute)
	current, readErr := fixture.control.CurrentConfig(ctx)
	require.NoError(t, readErr)
	rollout, _ := current.ServiceRollout("s")
	return rollout.Epoch(), err
}

// end ends the rollout in progress.
func (fixture *orderFixture) end(t *testing.T, state rsrc.State) {
	current := fixture.control.replica.config()
	rollout, ok := current.ServiceRollout("s")
	require.True(t, ok)
	command := wire.Command{At: time.Now().UTC()}
	step := rsrc.Step{State: state, Cause: "test", At: command.At}
	require.NoError(t, addRolloutStep(&command, current, rollout, step))
	result, err := fixture.control.replica.Propose(t.Context(), command)
	require.NoError(t, err)
	require.Equal(t, wire.CodeOK, result.Code, result.Reason)
}

// TestAnOrderIsRepeatedOnlyForAShortTime guards against an acknowledged rollout order that
// has no effect because an equal one was given before, and against a second rollout by
// an order that is sent again, also after a restart of the control VM.
func TestAnOrderIsRepeatedOnlyForAShortTime(t *testing.T) {
	fixture := newOrderFixture(t)
	first, err := fixture.order(t)
	require.NoError(t, err)
	require.NotZero(t, first)
	fixture.control.rolloutManager.recordFirstSeen()
	again, err := fixture.order(t)
	require.NoError(t, err)
	require.Equal(t, first, again, "in progress")
	fixture.end(t, rsrc.StateRolledBack)
	again, err = fixture.order(t)
	require.NoError(t, err)
	require.Equal(t, first, again, "sent again after its end")

	fixture.restartManager()
	for range 2 {
		again, err = fixture.order(t)
		var apiError *wire.APIError
		require.ErrorAs(t, err, &apiError, "after a restart it is not known whether it is sent again")
		require.Equal(t, wire.CodeUnavailable, apiError.Code)
		require.Equal(t, first, again)
		fixture.control.rolloutManager.recordFirstSeen()
	}

	fixture.offset.Add(int64(resendWindow))
	second, err := fixture.order(t)
	require.NoError(t, err)
	require.NotEqual(t, first, second, "a new order starts the rollout again")
}

// TestAServiceWithAFinishedRolloutCanBeRemoved guards against a valid configuration that
// is refused because of the record of a rollout that has ended.
func TestAServiceWithAFinishedRolloutCanBeRemoved(t *testing.T) {
	fixture := newOrderFixture(t)
	_, err := fixture.order(t)
	require.NoError(t, err)
	fixture.end(t, rsrc.StateRolledBack)
	require.NoError(t, fixture.replace(t, 2, 1, "other"))
	_, exists := fixture.control.replica.config().ServiceRollout("s")
	require.False(t, exists)
	require.NoError(t, fixture.replace(t, 3, 2, "s"))
}
