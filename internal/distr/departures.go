package distr

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/member"
)

// SetDepartures passes a root the departures of upstreams that the replicated log contains
// at a version confirmed by a quorum. The owner calls it before Confirmed.
func (core *Core) SetDepartures(departures []member.Departure) {
	core.departuresKnown = true
	core.addDepartures(departures)
}

func (core *Core) addDepartures(departures []member.Departure) {
	for _, departure := range departures {
		known, ok := core.departures[departure.Record.Name]
		if !ok || departure.At.After(known.At) {
			core.departures[departure.Record.Name] = departure
		}
	}
}

// expireDepartures removes the departures that are no longer needed.
func (core *Core) expireDepartures(now time.Time) {
	maps.DeleteFunc(core.departures, func(_ string, kept member.Departure) bool { return kept.Expired(now) })
}

// knownDepartures returns the departures, sorted by node.
func (core *Core) knownDepartures() []member.Departure {
	departures := make([]member.Departure, 0, len(core.departures))
	for _, name := range slices.Sorted(maps.Keys(core.departures)) {
		departures = append(departures, core.departures[name])
	}
	return departures
}

// receiveDepartures handles the departures in a welcome, before the minimum version that
// comes with them: a node that has a minimum version knows what its upstream did before
// all processes lost power, and can tell it to others.
func (core *Core) receiveDepartures(departures []member.Departure) {
	core.addDepartures(departures)
	for _, departure := range departures {
		if departure.Record.Name == core.settings.Name {
			core.addAction(Action{Former: &departure.Record})
		}
	}
}
