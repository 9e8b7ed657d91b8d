package ctrl

import (
	"slices"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/dedup"
	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/pkg/rsrc"
)

// Bounds of the placement of witnesses.
const (
	maxWitnesses = 9
	// enoughNodes is how many nodes the first placement waits for, at most
	// firstWait long.
	enoughNodes = dedup.WitnessesPerPlacement
	firstWait   = 3 * time.Second
	// replaceAfter is how long a witness must be away to be replaced.
	replaceAfter = time.Minute
)

// placer decides which nodes hold claims. A change keeps the old placement
// active for as long as keys claimed under it may come back, and no other
// change is made in that time. It is not safe for concurrent use.
type placer struct {
	firstSeen time.Time
	// missing is since when a witness has been away.
	missing map[string]time.Time
}

func newPlacer() *placer {
	return &placer{missing: map[string]time.Time{}}
}

// next returns a changed placement, and false when none is due.
func (placer *placer) next(now time.Time, present rsrc.Witnesses, records []member.Record) (rsrc.Witnesses, bool) {
	usable := map[string]member.Record{}
	for _, record := range records {
		if record.State != member.StateSuspect && !record.Root {
			usable[record.Name] = record
		}
	}
	placements := present.Placements()
	if len(placements) == 0 {
		return placer.first(now, usable)
	}
	if len(placements) > 1 {
		if now.Before(placements[1].Until) {
			return present, false
		}
		return rsrc.NewWitnesses(rsrc.Placement{Nodes: placements[0].Nodes}), true
	}
	nodes := placer.replace(now, placements[0].Nodes, usable)
	if slices.Equal(nodes, placements[0].Nodes) {
		return present, false
	}
	old := rsrc.Placement{Nodes: placements[0].Nodes, Until: now.Add(dedup.Window + 2*dedup.MaxClockSkew).UTC()}
	return rsrc.NewWitnesses(rsrc.Placement{Nodes: nodes}, old), true
}

func (placer *placer) first(now time.Time, usable map[string]member.Record) (rsrc.Witnesses, bool) {
	if len(usable) == 0 {
		return rsrc.Witnesses{}, false
	}
	if placer.firstSeen.IsZero() {
		placer.firstSeen = now
	}
	if len(usable) < enoughNodes && now.Sub(placer.firstSeen) < firstWait {
		return rsrc.Witnesses{}, false
	}
	return rsrc.NewWitnesses(rsrc.Placement{Nodes: fill(nil, usable)}), true
}

// replace drops at most one witness that was away for long, and fills up.
func (placer *placer) replace(now time.Time, nodes []string, usable map[string]member.Record) []string {
	kept := slices.Clone(nodes)
	for _, name := range nodes {
		if _, ok := usable[name]; ok {
			delete(placer.missing, name)
			continue
		}
		if _, ok := placer.missing[name]; !ok {
			placer.missing[name] = now
		}
		if now.Sub(placer.missing[name]) >= replaceAfter && len(kept) == len(nodes) {
			kept = slices.DeleteFunc(kept, func(other string) bool { return other == name })
		}
	}
	filled := fill(kept, usable)
	if len(filled) < len(nodes) {
		// Nothing to replace the missing one with.
		return nodes
	}
	return filled
}

// fill adds nodes up to the bound, from the zones with the fewest first.
func fill(nodes []string, usable map[string]member.Record) []string {
	filled := slices.Clone(nodes)
	inZone := map[string]int{}
	for _, name := range filled {
		inZone[usable[name].Zone]++
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
			if best == "" || inZone[usable[name].Zone] < inZone[usable[best].Zone] {
				best = name
			}
		}
		if best == "" {
			break
		}
		filled = append(filled, best)
		inZone[usable[best].Zone]++
	}
	slices.Sort(filled)
	return filled
}
