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

// nodeRecords returns the records of the nodes with the given numbers, spread over
// three zones.
func nodeRecords(numbers ...int) []member.Record {
	var records []member.Record
	for _, i := range numbers {
		records = append(records, member.Record{Name: fmt.Sprintf("n%d", i), Zone: string(rune('a' + i%3))})
	}
	return records
}

// TestWitnessReplacementKeepsOldPlacement guards against losing claims when a
// missing witness is replaced: the old placement must stay active while its claims
// may still be needed, and no other change may be made in that time.
func TestWitnessReplacementKeepsOldPlacement(t *testing.T) {
	now := time.Unix(1000, 0)
	placer := newPlacer()
	all := nodeRecords(0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	current, changed := placer.next(now, rsrc.Witnesses{}, all)
	require.True(t, changed)
	require.Len(t, current.Placements()[0].Nodes, maxWitnesses)

	withoutN0 := nodeRecords(1, 2, 3, 4, 5, 6, 7, 8, 9, 10)
	_, changed = placer.next(now, current, withoutN0)
	require.False(t, changed, "a short absence must not change the placement")
	now = now.Add(witnessReplaceDelay)
	next, changed := placer.next(now, current, withoutN0)
	require.True(t, changed)
	require.NotContains(t, next.Placements()[0].Nodes, "n0")
	require.Equal(t, current.Placements()[0].Nodes, next.Placements()[1].Nodes)

	now = now.Add(dedup.Window)
	_, changed = placer.next(now, next, nodeRecords(2, 3, 4, 5, 6, 7, 8, 9, 10))
	require.False(t, changed, "claims under the old placement may still be needed")
	// The old placement expires 2 * MaxClockSkew after the window.
	now = now.Add(3 * dedup.MaxClockSkew)
	last, changed := placer.next(now, next, withoutN0)
	require.True(t, changed)
	require.Len(t, last.Placements(), 1)
}

// TestFirstPlacementWaitsForEnoughNodes guards against choosing only the node that
// joins first as a witness, and against choosing none if there are few nodes.
func TestFirstPlacementWaitsForEnoughNodes(t *testing.T) {
	now := time.Unix(1000, 0)
	placer := newPlacer()
	_, changed := placer.next(now, rsrc.Witnesses{}, nodeRecords(1))
	require.False(t, changed)
	_, changed = placer.next(now.Add(firstPlacementTimeout), rsrc.Witnesses{}, nodeRecords(1))
	require.True(t, changed, "with few nodes, the first placement must not wait forever")
}
