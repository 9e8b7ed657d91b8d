package rsrc

import (
	"maps"
	"slices"
	"strings"
)

// MaxEvacuations is the largest number of zones with an evacuation, active or
// finished, because evacuations are never removed. A deployment has 3 to 5 zones; the
// limit keeps wrong names in orders from growing the configuration.
const MaxEvacuations = 64

// Evacuation is an operator's order on an availability zone. While it is active, the
// targets of the zone get no calls.
//
// An evacuation is never removed: its revision puts the orders to start and to finish
// in sequence, so that a delayed duplicate of an older order fails its expected
// revision.
type Evacuation struct {
	zone     string
	revision uint64
	active   bool
}

// NewEvacuation returns an evacuation of a zone, or the end of one if active is false.
func NewEvacuation(zone string, active bool) Evacuation {
	return Evacuation{zone: zone, active: active}
}

// EvacuationKey returns the key of the evacuation of a zone.
func EvacuationKey(zone string) Key { return NewKey(KindEvacuation, zone) }

// Zone returns the name of the zone.
func (evacuation Evacuation) Zone() string { return evacuation.zone }

// Active reports whether the zone is evacuated.
func (evacuation Evacuation) Active() bool { return evacuation.active }

// Key returns the key of the evacuation.
func (evacuation Evacuation) Key() Key { return EvacuationKey(evacuation.zone) }

// Revision returns the log index of the last order on the zone that changed its state.
func (evacuation Evacuation) Revision() uint64 { return evacuation.revision }

// WithRevision returns a copy of the evacuation with the given revision.
func (evacuation Evacuation) WithRevision(revision uint64) Resource {
	evacuation.revision = revision
	return evacuation
}

// check validates the name only: the zone of an order need not have any targets.
func (evacuation Evacuation) check(config *Config) error {
	if err := checkName(evacuation.Key(), "zone", evacuation.zone); err != nil {
		return err
	}
	if len(config.evacuations) > MaxEvacuations {
		return validationError(evacuation.Key(), "", "there are evacuations of more than %d zones", MaxEvacuations)
	}
	return nil
}

// Evacuation returns the latest order on a zone.
func (config *Config) Evacuation(zone string) (Evacuation, bool) {
	evacuation, ok := config.evacuations[zone]
	return evacuation, ok
}

// Evacuations returns the latest order on each zone that ever had one, sorted by zone.
func (config *Config) Evacuations() []Evacuation {
	return slices.SortedFunc(maps.Values(config.evacuations), func(a, b Evacuation) int { return strings.Compare(a.zone, b.zone) })
}

// Evacuated reports whether a zone is evacuated.
func (config *Config) Evacuated(zone string) bool { return config.evacuations[zone].active }

// EvacuatedZones returns the zones that are evacuated, sorted by name.
func (config *Config) EvacuatedZones() []string {
	var zones []string
	for zone, evacuation := range config.evacuations {
		if evacuation.active {
			zones = append(zones, zone)
		}
	}
	slices.Sort(zones)
	return zones
}
