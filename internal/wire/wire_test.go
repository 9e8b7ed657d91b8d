package wire

import (
	"encoding/json"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/distr"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/raft"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

func sampleConfig(t testing.TB) *rsrc.Config {
	now := time.Unix(1000, 0).UTC()
	config, err := rsrc.EmptyConfig().Apply(3, rsrc.Change{Put: []rsrc.Resource{
		rsrc.NewService("s", rsrc.PolicyRollback).WithWarmUp(rsrc.WarmUp{WarmUp: 2500 * time.Millisecond, WarmUpRate: 19.4}),
		rsrc.NewVersion("s", "v1", 2),
		rsrc.NewVersion("s", "v2", 1),
		rsrc.NewRoute("r", "s", "/a", "v1", time.Second),
		rsrc.NewRollout("r", "v1", "v2", now.Add(time.Hour), now),
		rsrc.NewWitnesses(rsrc.Placement{Nodes: []string{"n1", "n2"}}, rsrc.Placement{Nodes: []string{"n3"}, Until: now}),
		rsrc.NewRoute("p", "s", "/p", "v1", time.Second).WithOptions(rsrc.RouteOptions{Public: true, PublicStated: true}),
		rsrc.NewEvacuation("zone-a", true),
		rsrc.NewEvacuation("zone-b", false),
	}})
	require.NoError(t, err)
	return config
}

func TestConfigRoundTrip(t *testing.T) {
	config := sampleConfig(t)
	delta, err := decodeDelta(MustEncode(FromDelta(config.DeltaSince(0))))
	require.NoError(t, err)
	got, err := rsrc.EmptyConfig().Merge(delta)
	require.NoError(t, err)
	require.Equal(t, config.All(), got.All())
	restored, err := FromConfig(config).Domain()
	require.NoError(t, err)
	require.Equal(t, config.Digest(), restored.Digest())
}

// FuzzDelta checks that a malformed or invalid delta is refused by the decoder
// or the merge and never results in an invalid configuration.
func FuzzDelta(f *testing.F) {
	f.Add(MustEncode(FromDelta(sampleConfig(f).DeltaSince(0))))
	f.Add([]byte(`{"to":1,"put":[{"kind":"route","name":"r","revision":1}]}`))
	f.Add([]byte(`{"to":18446744073709551615,"from":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		delta, err := decodeDelta(data)
		if err != nil {
			return
		}
		config, err := rsrc.EmptyConfig().Merge(delta)
		if err != nil {
			return
		}
		restored, err := FromConfig(config).Domain()
		require.NoError(t, err)
		require.Equal(t, config.Digest(), restored.Digest())
	})
}

// FuzzRaftMessage checks that no message, even a malformed one, makes a replica
// panic or decreases its term or commit index.
func FuzzRaftMessage(f *testing.F) {
	members := []raft.Member{{ID: "a", Voter: true}, {ID: "b", Voter: true}}
	first := raft.Entry{Index: 1, Term: 1, Kind: raft.EntryMembers, Members: members}
	for kind := range 8 {
		f.Add([]byte(`{"kind":`+string(rune('0'+kind))+`,"from":"b","to":"a","term":2,"index":1,"logTerm":1}`), uint8(kind))
	}
	f.Add([]byte(`{"kind":4,"from":"b","to":"a","term":3,"index":1,"logTerm":1,"commit":9,"entries":[{"index":2,"term":3},{"index":9,"term":3}]}`), uint8(0))
	f.Add([]byte(`{"kind":6,"from":"b","to":"a","term":3}`), uint8(1))
	f.Fuzz(func(t *testing.T, data []byte, repeats uint8) {
		var encoded RaftMessage
		if json.Unmarshal(data, &encoded) != nil {
			return
		}
		now := time.Unix(1000, 0)
		durable := raft.DurableState{HardState: raft.HardState{Term: 1}, Entries: []raft.Entry{first}}
		core, err := raft.New("a", durable, raft.DefaultTiming(), rand.New(rand.NewPCG(1, 1)), now)
		require.NoError(t, err)
		for range repeats%4 + 1 {
			term, commit := core.Term(), core.Commit()
			_ = core.Step(now, encoded.Domain())
			for ready := core.Ready(); !ready.Empty(); ready = core.Ready() {
				core.Advance(now, ready)
			}
			require.GreaterOrEqual(t, core.Term(), term)
			require.GreaterOrEqual(t, core.Commit(), commit)
			now = now.Add(3 * time.Second)
			core.Tick(now)
		}
	})
}

// TestMessagesKeepEachField guards against a field of a message that does not reach the
// other process: a vote request without Transfer is refused, and a welcome without
// departures lets an upstream return that has left.
func TestMessagesKeepEachField(t *testing.T) {
	members := []raft.Member{{ID: "a-1", Name: "a", Address: "h:1", Voter: true}}
	message := raft.Message{
		Kind: raft.MessageVote, From: "a", To: "b", Term: 2, Index: 3, LogTerm: 4, Commit: 5, Round: 6, Reject: true, Transfer: true,
		Entries:  []raft.Entry{{Index: 7, Term: 8, Kind: raft.EntryMembers, Data: []byte(`{}`), Members: members}},
		Snapshot: &raft.Snapshot{Index: 9, Term: 10, Members: members, Data: []byte(`{}`)},
	}
	requireNoZeroField(t, message)
	var encoded RaftMessage
	require.NoError(t, json.Unmarshal(MustEncode(FromRaftMessage(message)), &encoded))
	require.Equal(t, message, encoded.Domain())

	record := member.Record{Name: "n", Incarnation: 1, Upstream: member.Upstream{ID: "i", Born: 2, Gone: true}}
	welcome := distr.Welcome{
		Name: "n", Zone: "z", Accepted: true, Redirect: []distr.Address{{Name: "m", Link: "h:2"}}, RetryAfter: time.Second,
		Floor: 3, Confirmed: true, Path: []string{"p"}, Former: &record,
		Departures: []member.Departure{{Record: record, At: time.Unix(1000, 5).UTC()}},
	}
	requireNoZeroField(t, welcome)
	var tree TreeMessage
	require.NoError(t, json.Unmarshal(MustEncode(FromTreeMessage(distr.Message{Welcome: &welcome}, Update{})), &tree))
	decoded, err := tree.Domain()
	require.NoError(t, err)
	require.Equal(t, welcome, *decoded.Welcome)
}

// requireNoZeroField requires that a struct in a test of its encoding has all fields set.
func requireNoZeroField(t *testing.T, value any) {
	fields := reflect.ValueOf(value)
	for i := range fields.NumField() {
		require.False(t, fields.Field(i).IsZero(), fields.Type().Field(i).Name)
	}
}
