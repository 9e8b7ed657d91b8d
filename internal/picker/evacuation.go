package picker

import "time"

// SetEvacuatedZones sets the zones whose targets must not be chosen. The targets of a
// zone that is no longer among them start anew: what was measured before the
// evacuation says little about them, and slow start spares targets that may have
// become cold.
func (picker *Picker) SetEvacuatedZones(now time.Time, zones []string) {
	picker.evacuatedZones = make(map[string]bool, len(zones))
	for _, zone := range zones {
		picker.evacuatedZones[zone] = true
	}
	for _, state := range picker.states {
		wasEvacuated := state.evacuated
		state.evacuated = picker.evacuatedZones[state.target.Zone]
		if wasEvacuated && !state.evacuated {
			picker.readmit(now, state)
		}
	}
}

// readmit resets the measurements of a target. The calls in flight and the rate limit
// are facts that an evacuation does not change.
func (picker *Picker) readmit(now time.Time, state *targetState) {
	*state = targetState{
		target: state.target, limit: state.limit, inFlight: state.inFlight,
		addedAt: now, latency: initialLatency.Seconds(), measuredAt: now,
	}
}

// HasEvacuated reports whether a service has targets in evacuated zones.
func (picker *Picker) HasEvacuated(service string) bool {
	if len(picker.evacuatedZones) == 0 {
		return false
	}
	for _, state := range picker.statesByService[service] {
		if state.evacuated {
			return true
		}
	}
	return false
}

// AddEvacuated records that a gate refused the call because its zone is evacuated. No
// target of that zone is chosen for the call any more, even if this node has not heard
// of the evacuation yet.
func (search *Search) AddEvacuated(zone string) {
	search.evacuatedZones = append(search.evacuatedZones, zone)
}

// MetEvacuated reports whether a gate refused the call because its zone is evacuated.
func (search *Search) MetEvacuated() bool { return len(search.evacuatedZones) > 0 }
