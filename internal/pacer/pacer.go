// Package pacer spaces calls so that their rate stays at a limit in every window
// of time, not only in the mean. It implements the generic cell rate algorithm.
// The load that it answers is a target that accepts fewer calls per second than it
// has slots for, under calls that arrive in bursts.
//
// The package uses no clock, socket or goroutine: callers pass in the current
// time.
package pacer

import "time"

const (
	// burst is how far ahead of an even spacing calls may start. In any window,
	// the number of calls is at most the limit times the window plus burst, plus
	// one.
	burst = 250 * time.Millisecond
	// minPerSecond is the rate under a limit that is close to zero. Without a call
	// now and then, there would be no response that could end the limit.
	minPerSecond = 0.5
	// maxPerSecond is the highest rate that is enforced, one call per microsecond.
	maxPerSecond = 1e6
)

// Pacer decides when calls may start. The zero value has no limit. It is not safe
// for concurrent use.
type Pacer struct {
	// interval is the time between two evenly spaced calls; zero without a limit.
	interval time.Duration
	// next is when the next call would start if calls were evenly spaced. With a
	// limit, it is at most one interval after the last call's start plus burst.
	next time.Time
}

// SetLimit sets the limit in calls per second. Calls that have started count
// against the new limit as they did against the old one, but the next one waits
// for at most one interval of the new limit.
func (pacer *Pacer) SetLimit(now time.Time, perSecond float64) {
	perSecond = min(max(perSecond, minPerSecond), maxPerSecond)
	pacer.interval = time.Duration(float64(time.Second) / perSecond)
	if latest := now.Add(burst + pacer.interval); pacer.next.After(latest) {
		pacer.next = latest
	}
}

// Clear removes the limit.
func (pacer *Pacer) Clear() { *pacer = Pacer{} }

// Limited reports whether there is a limit.
func (pacer *Pacer) Limited() bool { return pacer.interval > 0 }

// Delay returns the time until the n-th call from now may start, counted from 1;
// zero if it may start now.
func (pacer *Pacer) Delay(now time.Time, n int) time.Duration {
	if !pacer.Limited() {
		return 0
	}
	next := pacer.next
	if next.Before(now) {
		next = now
	}
	tolerance := max(burst-pacer.interval, 0)
	return max(0, next.Sub(now)+time.Duration(n-1)*pacer.interval-tolerance)
}

// Take counts a call that starts now and reports whether it may. If it may not,
// nothing changes.
func (pacer *Pacer) Take(now time.Time) bool {
	if !pacer.Limited() {
		return true
	}
	if pacer.Delay(now, 1) > 0 {
		return false
	}
	if pacer.next.Before(now) {
		pacer.next = now
	}
	pacer.next = pacer.next.Add(pacer.interval)
	return true
}

// Return takes back the count of a call that did not start after all.
func (pacer *Pacer) Return() {
	if pacer.Limited() {
		pacer.next = pacer.next.Add(-pacer.interval)
	}
}
