package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// putCommand returns an encoded command that writes a service if the service's
// current revision equals the given revision.
func putCommand(id string, content, revision uint64, name string) []byte {
	key := wire.Key{Kind: "service", Name: name}
	return wire.MustEncode(wire.Command{
		RequestID: id,
		Content:   content,
		At:        time.Unix(1000, 0),
		Expect:    []wire.Expect{{Key: key, Revision: revision}},
		Put:       []wire.Resource{{Kind: key.Kind, Name: key.Name}},
	})
}

func applyCommand(t *testing.T, store *Store, index uint64, data []byte) wire.Result {
	result, err := store.Apply(index, data)
	require.NoError(t, err)
	return result
}

// TestResentRequestGetsRecordedResult guards against applying a request twice
// when the operator sends it again, and against reuse of a request id with other
// content.
func TestResentRequestGetsRecordedResult(t *testing.T) {
	store := New()
	first := applyCommand(t, store, 3, putCommand("a", 1, 0, "s"))
	require.Equal(t, wire.Result{Code: wire.CodeOK, Version: 3}, first)
	require.Equal(t, wire.CodeOK, applyCommand(t, store, 4, putCommand("b", 2, 3, "s")).Code)
	require.Equal(t, first, applyCommand(t, store, 5, putCommand("a", 1, 0, "s")))
	require.Equal(t, uint64(4), store.Config().Version(), "a resent request must not change the configuration")
	require.Equal(t, wire.CodeReused, applyCommand(t, store, 6, putCommand("a", 9, 0, "s")).Code)
}

// TestStaleRevisionConflicts guards against a lost update: two operators change
// the same resource based on the same revision, and the second must be rejected.
func TestStaleRevisionConflicts(t *testing.T) {
	store := New()
	applyCommand(t, store, 3, putCommand("a", 1, 0, "s"))
	require.Equal(t, wire.CodeOK, applyCommand(t, store, 4, putCommand("b", 2, 3, "s")).Code)
	rejected := applyCommand(t, store, 5, putCommand("c", 3, 3, "s"))
	require.Equal(t, wire.CodeConflict, rejected.Code)
	require.Equal(t, rejected, applyCommand(t, store, 6, putCommand("c", 3, 3, "s")), "the result of a rejected request must be recorded too")
}

// TestHistoryListsAcceptedChanges guards against listing rejected or resent requests
// in the history, and against unlimited growth of the history.
func TestHistoryListsAcceptedChanges(t *testing.T) {
	store := New()
	applyCommand(t, store, 3, putCommand("a", 1, 0, "s"))
	applyCommand(t, store, 4, putCommand("b", 2, 0, "s"))
	applyCommand(t, store, 5, putCommand("a", 1, 0, "s"))
	history := store.History()
	require.Len(t, history, 1, "rejected and resent requests must not appear in the history")
	require.Equal(t, wire.HistoryEntry{Version: 3, At: time.Unix(1000, 0).UTC(), Request: "a", Put: []wire.Key{{Kind: "service", Name: "s"}}}, utc(history[0]))
	for i := range uint64(MaxHistory) {
		applyCommand(t, store, 10+i, putCommand(fmt.Sprint(i), i, 0, fmt.Sprintf("t%d", i)))
	}
	require.Len(t, store.History(), MaxHistory)
	require.Equal(t, uint64(10), store.History()[0].Version)
}

func utc(entry wire.HistoryEntry) wire.HistoryEntry {
	entry.At = entry.At.UTC()
	return entry
}

// TestSnapshotRestoresWholeState guards against a replica that differs from the others
// after it was restored from a snapshot.
func TestSnapshotRestoresWholeState(t *testing.T) {
	store := New()
	for i := range uint64(MaxRecordedResults + 10) {
		applyCommand(t, store, i+1, putCommand(fmt.Sprint(i), i, 0, fmt.Sprintf("s%d", i%7)))
	}
	require.Len(t, store.recorded, MaxRecordedResults)
	restored := New()
	require.NoError(t, restored.Restore(store.Snapshot()))
	require.Equal(t, store.Snapshot(), restored.Snapshot())
	require.Equal(t, store.Config().Digest(), restored.Config().Digest())
	require.Error(t, store.Restore([]byte("{}")), "an older state must not replace a newer one")
	_, found := restored.RecordedResult("0")
	require.False(t, found, "the oldest results must be evicted first")
}

// TestDeparturesAreKept guards against a departure that is lost with a snapshot or gives way
// to an earlier one, and against departures that are kept without end.
func TestDeparturesAreKept(t *testing.T) {
	at := time.Unix(1000, 0).UTC()
	written := New()
	index := uint64(0)
	keep := func(name string, born int64, at time.Time) {
		index++
		record := wire.FromRecord(member.Record{Name: name, Upstream: member.Upstream{ID: "i-" + name, Born: born, Gone: true}})
		result, err := written.Apply(index, wire.MustEncode(wire.Command{At: at, Departures: []wire.Record{record}}))
		require.NoError(t, err)
		require.Equal(t, wire.CodeOK, result.Code)
	}
	keep("a", 2, at)
	keep("a", 1, at.Add(time.Second))
	keep("b", 1, at.Add(time.Second))
	require.Zero(t, written.Config().Version(), "a departure is no change of the configuration")
	restored := New()
	require.NoError(t, restored.Restore(written.Snapshot()))
	kept := restored.Departures()
	require.Len(t, kept, 2)
	require.EqualValues(t, 2, kept[0].Record.Upstream.Born)
	require.Equal(t, at, kept[0].At)
	keep("c", 1, at.Add(2*member.DepartureRetention))
	require.Len(t, written.Departures(), 1)
}
