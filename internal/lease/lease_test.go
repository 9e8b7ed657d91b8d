package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const ttl = 4 * time.Second

func notice(id string, born int64, sequence uint64) Notice {
	return Notice{ID: id, Born: born, Sequence: sequence, Service: "s", Version: "v1", Address: "10.0.0.1:80", Slots: 12}
}

func draining(notice Notice) Notice {
	notice.Draining = true
	return notice
}

func TestALateNoticeChangesNothing(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New()
	require.True(t, tracker.Renew(now, notice("a", 10, 5), ttl))
	require.False(t, tracker.Renew(now, notice("a", 10, 4), ttl), "an older sequence")
	require.False(t, tracker.Renew(now, notice("b", 9, 99), ttl), "an earlier incarnation at the same address")
	require.True(t, tracker.Renew(now, notice("a", 11, 1), ttl), "the same id started again")
	require.True(t, tracker.Renew(now, notice("c", 12, 1), ttl))
	current, ok := tracker.Current()
	require.True(t, ok)
	require.Equal(t, "c", current.ID)
}

func TestLeavingIsFinalForOneLife(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New()
	tracker.Renew(now, notice("a", 10, 5), ttl)
	require.True(t, tracker.Leave("a", 0))
	require.True(t, tracker.Departed())
	require.False(t, tracker.Renew(now, notice("a", 10, 6), ttl), "a heartbeat that was sent before the upstream left and arrived afterwards")
	_, ok := tracker.Current()
	require.False(t, ok)
	require.True(t, tracker.Renew(now, notice("a", 11, 1), ttl), "the next incarnation is independent")
}

func TestLeavingIsKnownBeforeTheFirstHeartbeat(t *testing.T) {
	tracker := New()
	require.False(t, tracker.Leave("a", 10))
	require.False(t, tracker.Renew(time.Unix(0, 0), notice("a", 10, 1), ttl))
}

func TestDrainingIsNotTakenBack(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New()
	tracker.Renew(now, notice("a", 10, 5), ttl)
	tracker.Renew(now, draining(notice("a", 10, 6)), ttl)
	require.True(t, tracker.Renew(now, notice("a", 10, 7), ttl))
	current, _ := tracker.Current()
	require.True(t, current.Draining)
}

func TestARestartedNodeRestoresNotices(t *testing.T) {
	now := time.Unix(0, 0)
	for name, c := range map[string]struct {
		former   Notice
		gone     bool
		first    Notice
		accepted bool
		draining bool
	}{
		"a drain supersedes an older heartbeat": {former: draining(notice("a", 10, 8)), first: notice("a", 10, 7), draining: true},
		"a later heartbeat still drains":        {former: draining(notice("a", 10, 8)), first: notice("a", 10, 9), accepted: true, draining: true},
		"a later heartbeat is accepted":         {former: notice("a", 10, 8), first: notice("a", 10, 9), accepted: true},
		"gone is final":                         {former: notice("a", 10, 8), gone: true, first: notice("a", 10, 9)},
		"another incarnation is accepted":       {former: notice("a", 10, 8), gone: true, first: notice("a", 12, 1), accepted: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New()
			c.former.Address = ""
			tracker.Restore(now, c.former, c.gone, ttl)
			_, known := tracker.Current()
			require.False(t, known, "a restored notice without an address does not make the upstream present")
			require.Equal(t, c.accepted, tracker.Renew(now, c.first, ttl))
			current, _ := tracker.Current()
			require.Equal(t, c.draining, current.Draining)
		})
	}
	tracker := New()
	tracker.Renew(now, notice("a", 10, 9), ttl)
	tracker.Restore(now, draining(notice("a", 10, 8)), false, ttl)
	current, _ := tracker.Current()
	require.True(t, current.Draining, "the notice was restored after the first heartbeat")
}

// TestARestartedNodeServesAtOnce checks that a restarted node treats an
// upstream that other nodes remember as present until its lease expires or it
// sends a notice itself.
func TestARestartedNodeServesAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New()
	tracker.Restore(now, notice("a", 10, 8), false, ttl)
	current, known := tracker.Current()
	require.True(t, known)
	require.Equal(t, "a", current.ID)
	require.True(t, tracker.Expired(now.Add(ttl+1)))
	require.True(t, tracker.Renew(now, notice("a", 10, 9), ttl))

	tracker = New()
	tracker.Renew(now, notice("b", 12, 1), ttl)
	tracker.Restore(now, notice("a", 10, 8), false, ttl)
	current, _ = tracker.Current()
	require.Equal(t, "b", current.ID, "a notice received from an upstream takes precedence over a restored one")
}

func TestLeaseExpires(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New()
	require.False(t, tracker.Expired(now.Add(time.Hour)))
	tracker.Renew(now, notice("a", 10, 1), ttl)
	require.False(t, tracker.Expired(now.Add(ttl)))
	require.True(t, tracker.Expired(now.Add(ttl+1)))
	tracker.MarkAbsent()
	require.False(t, tracker.Departed(), "an expired lease is not final")
	require.True(t, tracker.Renew(now, notice("a", 10, 2), ttl), "an upstream that was only absent returns")
}

func TestNoticeWithoutIDAlwaysApplies(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New()
	require.True(t, tracker.Renew(now, notice("", 0, 0), ttl))
	require.True(t, tracker.Renew(now, notice("", 0, 0), ttl))
	require.True(t, tracker.Leave("", 0))
	require.True(t, tracker.Renew(now, notice("", 0, 0), ttl))
}
