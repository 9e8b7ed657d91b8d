package store

import (
	"cmp"
	"maps"
	"slices"

	"github.com/vanillapulley/vanillapulley/internal/member"
	"github.com/vanillapulley/vanillapulley/internal/wire"
)

// keepDepartures adds the departures of a command, which replace earlier ones of the same
// node, and removes those that have expired by the time of the command.
func (store *Store) keepDepartures(command wire.Command) {
	maps.DeleteFunc(store.departures, func(_ string, kept member.Departure) bool { return kept.Expired(command.At) })
	for _, encoded := range command.Departures {
		record := encoded.Domain()
		if kept, ok := store.departures[record.Name]; ok && kept.Record.Upstream.Born > record.Upstream.Born {
			continue
		}
		store.departures[record.Name] = member.Departure{Record: record, At: command.At}
	}
}

// Departures returns the departures of upstreams that are kept, by the name of the node.
// Some may have expired.
func (store *Store) Departures() []member.Departure {
	return slices.SortedFunc(maps.Values(store.departures), func(a, b member.Departure) int {
		return cmp.Compare(a.Record.Name, b.Record.Name)
	})
}
