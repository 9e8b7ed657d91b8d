// Package shed lets an entry node refuse calls that the remaining targets of a service
// cannot serve in time, without asking a gate first. The load that it answers is that of
// a service that has lost the targets of a zone: for as long as an evacuation lasts, more
// calls arrive than the other zones can serve, and calls of several priorities share
// the slots. Each call that is sent to full gates costs messages between zones, and time
// in which its caller could act on the refusal.
//
// The package counts what was offered to a service and what its gates admitted. What
// exceeds the admitted calls by more than a margin is refused, the least urgent calls
// first. Refusals in proportion to what the gates refused of each priority were tried
// and ruled out: an urgent class with a short objective then gave way to a less urgent
// one with a longer objective.
//
// The package uses no clock, socket or goroutine: callers pass in the current time and
// random numbers.
package shed

import (
	"math"
	"time"
)

const (
	// margin is the ratio of the calls that are sent to gates to those that gates
	// admitted. It must be above 1, so that gates are always offered more than they
	// can serve and a rise of their capacity is seen. A higher margin sends more
	// calls in vain.
	margin = 1.1
	// decay is the time over which counts are forgotten. A node gets about three calls
	// a second for each service, so a shorter time would leave too few calls to judge
	// by; a longer one delays the end of the refusals after a finish.
	decay = 3 * time.Second
	// minCounted is the number of recent calls of a service below which none is
	// refused, because so few say little about the gates.
	minCounted = 4
)

// counts holds the recent calls to a service. All numbers of calls decay with time.
type counts struct {
	// offered holds the calls of each priority that had calls; 0 is the most urgent.
	offered map[int]float64
	// admitted holds the calls that were sent and not rejected. Calls in progress
	// belong to them: an admission becomes known only with the response, and a
	// rejection at once, so that counting both when they become known would refuse
	// nearly all calls for the first service time.
	admitted float64
	at       time.Time
	// wait is the time after which gates last expected a free slot.
	wait time.Duration
}

// decayTo reduces the counts by their age.
func (counts *counts) decayTo(now time.Time) {
	factor := remaining(now.Sub(counts.at))
	for priority := range counts.offered {
		counts.offered[priority] *= factor
	}
	counts.admitted, counts.at = counts.admitted*factor, now
}

// remaining returns what remains of one call after the given time.
func remaining(age time.Duration) float64 { return math.Exp(-age.Seconds() / decay.Seconds()) }

// refusedShare returns the share of the calls of a priority that is refused.
func (counts *counts) refusedShare(priority int) float64 {
	total, lessUrgent := 0.0, 0.0
	for other, offered := range counts.offered {
		total += offered
		if other > priority {
			lessUrgent += offered
		}
	}
	if total < minCounted {
		return 0
	}
	return (total - margin*counts.admitted - lessUrgent) / counts.offered[priority]
}

// Shedder counts the calls of one entry node. It is not safe for concurrent use.
type Shedder struct {
	// services has one entry for each service that had calls since Reset.
	services map[string]*counts
}

// New returns a shedder without counts.
func New() *Shedder { return &Shedder{services: map[string]*counts{}} }

// Reset forgets all counts. It is called when the set of evacuated zones changes, because
// the counts from before say nothing about the remaining targets.
func (shedder *Shedder) Reset() { clear(shedder.services) }

// Offer counts a call and reports whether it is refused. A call that is not refused
// counts as admitted unless Rejected is called for it. random is a random number from
// 0 up to 1. retryAfter is the time after which gates last expected a free slot.
func (shedder *Shedder) Offer(now time.Time, service string, priority int, random float64) (retryAfter time.Duration, refused bool) {
	counted, ok := shedder.services[service]
	if !ok {
		counted = &counts{offered: map[int]float64{}, at: now}
		shedder.services[service] = counted
	}
	counted.decayTo(now)
	counted.offered[priority]++
	if random < counted.refusedShare(priority) {
		return counted.wait, true
	}
	counted.admitted++
	return 0, false
}

// Rejected records that gates have refused a call for lack of capacity that was offered
// at the given time. wait is the shortest time after which one of them expected a free
// slot.
func (shedder *Shedder) Rejected(now time.Time, service string, offeredAt time.Time, wait time.Duration) {
	if counted, ok := shedder.services[service]; ok {
		counted.decayTo(now)
		counted.admitted = max(0, counted.admitted-remaining(now.Sub(offeredAt)))
		counted.wait = wait
	}
}
