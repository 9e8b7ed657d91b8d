package rsrc

import (
	"slices"
	"time"
)

// Placement is a set of nodes that act as deduplication witnesses. See
// Witnesses.
type Placement struct {
	// Nodes holds the names of the nodes, sorted and without duplicates.
	Nodes []string
	// Until is the time until which the placement must be kept. It is zero for
	// the current placement.
	Until time.Time
}

// Witnesses lists the nodes that record which idempotency keys are claimed by a
// call, so that repeated calls are recognized. During a change of placement,
// both the old and the new placement are active.
type Witnesses struct {
	revision uint64
	// placements holds the current placement, followed by at most one older
	// placement.
	placements []Placement
}

// WitnessesName is the name of the only resource of kind KindWitnesses.
const WitnessesName = "default"

// NewWitnesses returns a Witnesses resource with the given placements. The
// first one is the current placement.
func NewWitnesses(placements ...Placement) Witnesses {
	for i := range placements {
		slices.Sort(placements[i].Nodes)
	}
	return Witnesses{placements: placements}
}

// WitnessesKey returns the key of the only resource of kind KindWitnesses.
func WitnessesKey() Key { return NewKey(KindWitnesses, WitnessesName) }

// Placements returns the active placements, with the current one first.
func (witnesses Witnesses) Placements() []Placement { return witnesses.placements }

// Key returns the key of the resource.
func (witnesses Witnesses) Key() Key { return WitnessesKey() }

// Revision returns the log index of the last change of the placements.
func (witnesses Witnesses) Revision() uint64 { return witnesses.revision }

// WithRevision returns a copy of the resource with the given revision.
func (witnesses Witnesses) WithRevision(revision uint64) Resource {
	witnesses.revision = revision
	return witnesses
}

func (witnesses Witnesses) check(*Config) error {
	if len(witnesses.placements) < 1 || len(witnesses.placements) > 2 {
		return validationError(witnesses.Key(), "placements", "must have one or two entries, has %d", len(witnesses.placements))
	}
	for _, placement := range witnesses.placements {
		if len(placement.Nodes) == 0 || len(slices.Compact(slices.Clone(placement.Nodes))) != len(placement.Nodes) {
			return validationError(witnesses.Key(), "placements", "nodes must be present and unique")
		}
	}
	return nil
}
