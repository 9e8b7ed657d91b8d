package ctrl

import (
	"slices"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Parameters of the placement of witnesses.
const (
	maxWitnesses = 9
	// The first placement waits until firstPlacementNodes nodes are usable, but at
	// most firstPlacementTimeout after a usable node was first seen.
	firstPlacementNodes   = dedup.WitnessesPerPlacement
	firstPlacementTimeout = 3 * time.Second
	// witnessReplaceDelay is how long a witness must be missing before it is
	// replaced.
	witnessReplaceDelay = time.Minute
)

// placer chooses the deduplication witnesses. These are the nodes that store the
// claims, which record the idempotency keys in use. A placement is a list of
// witnesses. After a change, the old placement stays active for as long as keys
// claimed under it may be sent again. No other change is made in that time. placer
// is not safe for concurrent use.
type placer struct {
	// firstSeen is when a usable node was first seen. Only the first placement
	// uses it.
	firstSeen time.Time
	// missingSince maps the name of each missing witness to the time since which
	// it has been missing.
	missingSince map[string]time.Time
}

// newPlacer returns a placer that has seen no nodes.
func newPlacer() *placer {
	return &placer{missingSince: map[string]time.Time{}}
}

// next reports whether the witnesses must change now, and returns the new ones if
// so. In the placements of a Witnesses value, index 0 is the current placement.
// Index 1, if present, is the old placement, which is removed when it expires.
func (placer *placer) next(now time.Time, current rsrc.Witnesses, records []member.Record) (rsrc.Witnesses, bool) {
	usable := map[string]member.Record{}
	for _, record := range records {
		if record.State != member.StateSuspect && !record.Root {
			usable[record.Name] = record
		}
	}
	placements := current.Placements()
	if len(placements) == 0 {
		return placer.firstPlacement(now, usable)
	}
	if len(placements) > 1 {
		if now.Before(placements[1].Until) {
			return current, false
		}
		return rsrc.NewWitnesses(rsrc.Placement{Nodes: placements[0].Nodes}), true
	}
	nodes := placer.updateNodes(now, placements[0].Nodes, usable)
	if slices.Equal(nodes, placements[0].Nodes) {
		return current, false
	}
	old := rsrc.Placement{Nodes: placements[0].Nodes, Until: now.Add(dedup.Window + 2*dedup.MaxClockSkew).UTC()}
	return rsrc.NewWitnesses(rsrc.Placement{Nodes: nodes}, old), true
}

// firstPlacement returns the first placement, and false if it must still wait for
// more nodes.
func (placer *placer) firstPlacement(now time.Time, usable map[string]member.Record) (rsrc.Witnesses, bool) {
	if len(usable) == 0 {
		return rsrc.Witnesses{}, false
	}
	if placer.firstSeen.IsZero() {
		placer.firstSeen = now
	}
	if len(usable) < firstPlacementNodes && now.Sub(placer.firstSeen) < firstPlacementTimeout {
		return rsrc.Witnesses{}, false
	}
	return rsrc.NewWitnesses(rsrc.Placement{Nodes: addWitnesses(nil, usable)}), true
}

// updateNodes removes a witness that has been missing for witnessReplaceDelay, at
// most one per change, and adds usable nodes up to maxWitnesses. It returns nodes
// unchanged if the result would have fewer witnesses.
func (placer *placer) updateNodes(now time.Time, nodes []string, usable map[string]member.Record) []string {
	kept := slices.Clone(nodes)
	for _, name := range nodes {
		if _, ok := usable[name]; ok {
			delete(placer.missingSince, name)
			continue
		}
		if _, ok := placer.missingSince[name]; !ok {
			placer.missingSince[name] = now
		}
		if now.Sub(placer.missingSince[name]) >= witnessReplaceDelay && len(kept) == len(nodes) {
			kept = slices.DeleteFunc(kept, func(other string) bool { return other == name })
		}
	}
	filled := addWitnesses(kept, usable)
	if len(filled) < len(nodes) {
		// No usable node is left to replace the missing witness.
		return nodes
	}
	return filled
}

// addWitnesses returns nodes with usable nodes added, up to maxWitnesses. Each added
// node comes from an availability zone with the fewest witnesses. The result is
// sorted.
func addWitnesses(nodes []string, usable map[string]member.Record) []string {
	filled := slices.Clone(nodes)
	countByZone := map[string]int{}
	for _, name := range filled {
		// A missing witness is not in usable and counts for no zone.
		countByZone[usable[name].Zone]++
	}
	names := make([]string, 0, len(usable))
	for name := range usable {
		names = append(names, name)
	}
	slices.Sort(names)
	for len(filled) < maxWitnesses {
		best := ""
		for _, name := range names {
			if slices.Contains(filled, name) {
				continue
			}
			if best == "" || countByZone[usable[name].Zone] < countByZone[usable[best].Zone] {
				best = name
			}
		}
		if best == "" {
			break
		}
		filled = append(filled, best)
		countByZone[usable[best].Zone]++
	}
	slices.Sort(filled)
	return filled
}
