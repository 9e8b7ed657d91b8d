package ctrl

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

func present(names ...int) []member.Record {
	var records []member.Record
	for _, i := range names {
		records = append(records, member.Record{Name: fmt.Sprintf("n%d", i), Zone: string(rune('a' + i%3))})
	}
	return records
}

// TestWitnessesChangeSlowly replaces a witness that stays away, keeps the old
// placement for as long as its claims may matter, and changes nothing else
// meanwhile.
func TestWitnessesChangeSlowly(t *testing.T) {
	now := time.Unix(1000, 0)
	placer := newPlacer()
	all := present(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	held, changed := placer.next(now, rsrc.Witnesses{}, all)
	require.True(t, changed)
	require.Len(t, held.Placements()[0].Nodes, maxWitnesses)

	without := present(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	_, changed = placer.next(now, held, without)
	require.False(t, changed, "a short absence changes nothing")
	now = now.Add(replaceAfter)
	next, changed := placer.next(now, held, without)
	require.True(t, changed)
	require.NotContains(t, next.Placements()[0].Nodes, "n0")
	require.Equal(t, held.Placements()[0].Nodes, next.Placements()[1].Nodes)

	now = now.Add(dedup.Window)
	_, changed = placer.next(now, next, present(2, 3, 4, 5, 6, 7, 8, 9, 10))
	require.False(t, changed, "the old claims still matter")
	now = now.Add(3 * dedup.MaxClockSkew)
	last, changed := placer.next(now, next, without)
	require.True(t, changed)
	require.Len(t, last.Placements(), 1)
}

func TestTheFirstPlacementWaitsForEnoughNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	placer := newPlacer()
	_, changed := placer.next(now, rsrc.Witnesses{}, present(1))
	require.False(t, changed)
	_, changed = placer.next(now.Add(firstWait), rsrc.Witnesses{}, present(1))
	require.True(t, changed, "a small fleet does not wait for ever")
}
