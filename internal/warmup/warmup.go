// Package warmup tracks whether the upstream of a node is cold, and at which rate it may
// be called meanwhile. The load that it answers is a zone whose targets all come back
// cold at once, under the calls of all entry nodes: a cold target crashes well above the
// rate of its service.
//
// The package uses no clock, socket or goroutine: callers pass in the current time.
package warmup

import "time"

// Settings are the warm-up settings of a service. The zero value means that targets are
// never paced for warm-up.
type Settings struct {
	// Duration is how long a target is cold after its start.
	Duration time.Duration
	// PerSecond is the rate of calls that a cold target tolerates; zero means that cold
	// targets are not paced.
	PerSecond float64
}

// State tells whether the target is cold.
type State string

// The states of a target.
const (
	// StateWarm means that the target needs no pacing.
	StateWarm State = "warm"
	// StateCold means that the target has said that it is cold.
	StateCold State = "cold"
	// StateUnknown means that nothing newer than the latest event is known. The target
	// is paced as if it were cold.
	StateUnknown State = "unknown"
)

// Tracker tracks the warm-up state of one target. The zero value is a warm target
// without settings. It is not safe for concurrent use.
type Tracker struct {
	settings Settings
	// coldUntil is when the target stops being cold, by its own word.
	coldUntil time.Time
	// unknownSince is the time of the event after which nothing has been heard; zero if
	// the state is known.
	unknownSince time.Time
	// latest is the time of the latest event or word, whichever is later.
	latest time.Time
}

// SetSettings replaces the settings. They hold for an event of the past, too.
func (tracker *Tracker) SetSettings(settings Settings) { tracker.settings = settings }

// Settings returns the settings.
func (tracker *Tracker) Settings() Settings { return tracker.settings }

// Forget makes the state unknown after an event at which the target may have become
// cold. It stays unknown until Hear is called with a word that is newer than the event,
// but no longer than the target can be cold.
func (tracker *Tracker) Forget(now time.Time) {
	tracker.unknownSince = now
	tracker.latest = later(tracker.latest, now)
}

// Hear applies the target's word, received now, that it stays cold for the given time;
// zero or less means that it is warm. The word is not older than the time said. A word
// that may be older than the latest event or word counts only if it says that the target
// is cold for longer.
func (tracker *Tracker) Hear(now, said time.Time, cold time.Duration) {
	until := now.Add(cold)
	if said.Before(tracker.latest) {
		tracker.coldUntil = later(tracker.coldUntil, until)
		return
	}
	tracker.coldUntil, tracker.unknownSince, tracker.latest = until, time.Time{}, said
}

// Left returns for how long the target is paced; zero if it is not.
func (tracker *Tracker) Left(now time.Time) time.Duration {
	if tracker.settings.PerSecond <= 0 {
		return 0
	}
	left := tracker.coldUntil.Sub(now)
	if !tracker.unknownSince.IsZero() {
		left = max(left, tracker.unknownSince.Add(tracker.settings.Duration).Sub(now))
	}
	return max(0, left)
}

// State returns the state of the target. Without a rate in the settings, it is warm.
func (tracker *Tracker) State(now time.Time) State {
	switch {
	case tracker.Left(now) == 0:
		return StateWarm
	case tracker.unknownSince.IsZero():
		return StateCold
	}
	return StateUnknown
}

// PerSecond returns the rate at which the target may be called, and false if it is not
// paced.
func (tracker *Tracker) PerSecond(now time.Time) (float64, bool) {
	return tracker.settings.PerSecond, tracker.Left(now) > 0
}

// Forecast is what other nodes need to know of the warm-up of a target. The zero value
// means that the target was never paced.
type Forecast struct {
	// Left is for how long the target was expected to be paced at the time At; zero if it
	// was warm.
	Left time.Duration
	// PerSecond is the rate that the target tolerates meanwhile.
	PerSecond float64
	// At is the time of the forecast in milliseconds since 1970 on the clock of the
	// target's node. It tells a new forecast from a repeated one; clocks are not compared.
	At int64
}

// forecastTolerance is the difference up to which a published forecast is good enough.
// A heartbeat interval is a second, so that most corrections are smaller.
const forecastTolerance = 500 * time.Millisecond

// Forecast returns the forecast to be published, given the last one that was published
// and the time since then: a new one if the last one is too far off.
func (tracker *Tracker) Forecast(now time.Time, last Forecast, age time.Duration) Forecast {
	left := tracker.Left(now)
	difference := left - max(0, last.Left-age)
	isSameRate := left == 0 || last.PerSecond == tracker.settings.PerSecond
	if isSameRate && difference.Abs() <= forecastTolerance {
		return last
	}
	forecast := Forecast{Left: left, At: now.UnixMilli()}
	if left > 0 {
		forecast.PerSecond = tracker.settings.PerSecond
	}
	return forecast
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
