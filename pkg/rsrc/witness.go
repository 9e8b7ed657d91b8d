package rsrc

import (
	"slices"
	"time"
)

// Placement is one accepted set of deduplication witnesses.
type Placement struct {
	// Nodes holds the names of the nodes, sorted and without repeats.
	Nodes []string
	// Until is when the placement may be forgotten; zero for the current one.
	Until time.Time
}

// Witnesses tells which nodes hold the claims on idempotency keys. While a
// change of placement is in progress the old one stays active beside the new.
type Witnesses struct {
	revision uint64
	// placements has the current one first and at most one older one.
	placements []Placement
}

// WitnessesName is the name of the only resource of its kind.
const WitnessesName = "default"

// NewWitnesses returns the resource for the given placements, current first.
func NewWitnesses(placements ...Placement) Witnesses {
	for i := range placements {
		slices.Sort(placements[i].Nodes)
	}
	return Witnesses{placements: placements}
}

// WitnessesKey returns the key of the only resource of its kind.
func WitnessesKey() Key { return NewKey(KindWitnesses, WitnessesName) }

// Placements returns the active placements, current first.
func (witnesses Witnesses) Placements() []Placement { return witnesses.placements }

// Key returns the resource's identity.
func (witnesses Witnesses) Key() Key { return WitnessesKey() }

// Revision returns the log index of the last change of placement.
func (witnesses Witnesses) Revision() uint64 { return witnesses.revision }

// WithRevision returns the resource under another revision.
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
