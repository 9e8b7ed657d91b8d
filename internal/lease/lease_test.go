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
	require.False(t, tracker.Renew(now, notice("b", 9, 99), ttl), "an earlier upstream at the same address")
	require.True(t, tracker.Renew(now, notice("a", 11, 1), ttl), "a later incarnation of the same upstream")
	require.True(t, tracker.Renew(now, notice("c", 12, 1), ttl))
	current, ok := tracker.Current()
	require.True(t, ok)
	require.Equal(t, "c", current.ID)
}

func TestDeregistrationIsFinalForOneIncarnation(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New()
	tracker.Renew(now, notice("a", 10, 5), ttl)
	require.True(t, tracker.Deregister(now, "a", 0))
	require.True(t, tracker.Deregistered())
	require.False(t, tracker.Renew(now, notice("a", 10, 6), ttl), "a notice that was sent before the deregistration and arrived afterwards")
	_, ok := tracker.Current()
	require.False(t, ok)
	require.True(t, tracker.Renew(now, notice("a", 11, 1), ttl), "the next incarnation is independent")
}

func TestDeregistrationBeforeTheFirstNotice(t *testing.T) {
	tracker := New()
	require.False(t, tracker.Deregister(time.Unix(0, 0), "a", 10))
	require.False(t, tracker.Renew(time.Unix(0, 0), notice("a", 10, 1), ttl))
}

// TestDepartureOfAnUnknownUpstream deregisters an upstream of which no notice
// has arrived, without its start time. A notice that was sent before must be
// rejected when it arrives late, and a later incarnation must be accepted.
func TestDepartureOfAnUnknownUpstream(t *testing.T) {
	now := time.UnixMilli(100_000)
	for name, c := range map[string]struct {
		born     int64
		after    time.Duration
		accepted bool
	}{
		"a late notice":                      {born: 98_000, after: 2 * time.Second},
		"an incarnation started afterwards":  {born: 100_001, after: 2 * time.Second, accepted: true},
		"a start time from a clock set back": {born: 98_000, after: lateNoticeWindow + 1, accepted: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New()
			require.False(t, tracker.Deregister(now, "a", 0))
			require.Equal(t, c.accepted, tracker.Renew(now.Add(c.after), notice("a", c.born, 1), ttl))
		})
	}
	tracker := New()
	tracker.Deregister(now, "a", 0)
	require.True(t, tracker.Renew(now, notice("b", 98_000, 1), ttl), "another upstream is not affected")
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
		restored Notice
		gone     bool
		received Notice
		accepted bool
		draining bool
	}{
		"a drain supersedes an older notice": {restored: draining(notice("a", 10, 8)), received: notice("a", 10, 7), draining: true},
		"a later notice keeps draining":      {restored: draining(notice("a", 10, 8)), received: notice("a", 10, 9), accepted: true, draining: true},
		"a later notice is accepted":         {restored: notice("a", 10, 8), received: notice("a", 10, 9), accepted: true},
		"a deregistration is final":          {restored: notice("a", 10, 8), gone: true, received: notice("a", 10, 9)},
		"another incarnation is accepted":    {restored: notice("a", 10, 8), gone: true, received: notice("a", 12, 1), accepted: true},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := New()
			c.restored.Address = ""
			tracker.Restore(now, c.restored, c.gone, ttl)
			_, present := tracker.Current()
			require.False(t, present, "a restored notice without an address does not make the upstream present")
			require.Equal(t, c.accepted, tracker.Renew(now, c.received, ttl))
			current, _ := tracker.Current()
			require.Equal(t, c.draining, current.Draining)
		})
	}
	tracker := New()
	tracker.Renew(now, notice("a", 10, 9), ttl)
	tracker.Restore(now, draining(notice("a", 10, 8)), false, ttl)
	current, _ := tracker.Current()
	require.True(t, current.Draining, "draining is taken over from a notice that is restored after a later one")
}

// TestARestartedNodeServesAtOnce checks that a restarted node treats an
// upstream as present after the node has restored the upstream's notice, and
// that the lease of the upstream expires if no further notice follows.
func TestARestartedNodeServesAtOnce(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New()
	tracker.Restore(now, notice("a", 10, 8), false, ttl)
	current, present := tracker.Current()
	require.True(t, present)
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
	require.False(t, tracker.Deregistered(), "an expired lease is not final")
	require.True(t, tracker.Renew(now, notice("a", 10, 2), ttl), "an upstream that was only absent returns")
}

func TestNoticeWithoutIDAlwaysApplies(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New()
	require.True(t, tracker.Renew(now, notice("", 0, 0), ttl))
	require.True(t, tracker.Renew(now, notice("", 0, 0), ttl))
	require.True(t, tracker.Deregister(now, "", 0))
	require.True(t, tracker.Renew(now, notice("", 0, 0), ttl))
}

// TestAWrongStartTimeHoldsNoLongerThanTheLease guards against a notice whose start time is
// too late, from another writer or before a clock was set back, that keeps the upstream
// out for good. A single late notice must not take the place of the latest upstream.
func TestAWrongStartTimeHoldsNoLongerThanTheLease(t *testing.T) {
	for name, wrong := range map[string]func(tracker *Tracker, now time.Time){
		"another upstream":         func(tracker *Tracker, now time.Time) { tracker.Renew(now, notice("b", 1<<60, 1), ttl) },
		"the same upstream":        func(tracker *Tracker, now time.Time) { tracker.Renew(now, notice("a", 1<<60, 9), ttl) },
		"an upstream that is gone": func(tracker *Tracker, now time.Time) { tracker.Restore(now, notice("b", 1<<60, 1), true, ttl) },
	} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			tracker := New()
			wrong(tracker, now)
			if _, present := tracker.Current(); present {
				require.False(t, tracker.Renew(now.Add(ttl), notice("a", 10, 1), ttl), "the lease has not expired")
				require.False(t, tracker.Renew(now.Add(ttl), notice("a", 10, 2), ttl), "the lease has not expired")
			}
			now = now.Add(ttl + 1)
			require.False(t, tracker.Renew(now, notice("a", 10, 3), ttl), "one notice may be late")
			require.False(t, tracker.Renew(now, notice("a", 10, 3), ttl), "a copy of it")
			require.True(t, tracker.Renew(now, notice("a", 10, 4), ttl))
			current, present := tracker.Current()
			require.True(t, present)
			require.Equal(t, "a", current.ID)
			require.False(t, tracker.Deregistered())
			require.True(t, tracker.Renew(now, notice("a", 10, 5), ttl))
		})
	}
}

// TestADepartureKeepsOutTheIncarnationForGood guards against an upstream that returns once
// the record of its departure has expired.
func TestADepartureKeepsOutTheIncarnationForGood(t *testing.T) {
	now := time.Unix(0, 0)
	tracker := New()
	require.True(t, tracker.Renew(now, notice("a", 10, 1), ttl))
	tracker.Deregister(now, "a", 0)
	for sequence := range uint64(5) {
		now = now.Add(deregistrationWindow)
		require.False(t, tracker.Renew(now, notice("a", 10, 2+sequence), ttl))
		require.True(t, tracker.Deregistered())
	}
	require.False(t, tracker.Renew(now, notice("a", 9, 1), ttl), "a late notice of an earlier incarnation")
	require.True(t, tracker.Renew(now, notice("a", 9, 2), ttl), "its start time was wrong")
}
