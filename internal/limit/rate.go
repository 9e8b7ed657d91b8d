package limit

import "time"

// SetRate sets the limit on the rate of calls, in calls per second. Waiting calls
// that would be served too late under the new limit are refused.
func (limiter *Limiter) SetRate(now time.Time, perSecond float64) {
	limiter.pacer.SetLimit(now, perSecond)
	limiter.refuseHopeless(now)
	limiter.admitQueued(now)
}

// ClearRate removes the limit on the rate of calls.
func (limiter *Limiter) ClearRate(now time.Time) {
	limiter.pacer.Clear()
	limiter.admitQueued(now)
}

// refuseHopeless refuses the waiting calls that would not be worth queueing if they
// arrived now, in the order in which waiting lists them. Calls that stay count as
// ahead of those that come after them.
func (limiter *Limiter) refuseHopeless(now time.Time) {
	ahead := 0
	for _, ticket := range limiter.waiting() {
		if ticket.worthQueueing(now, limiter.waitOf(now, ahead+1), limiter.serviceTimeOf(ticket.priority)) {
			ahead++
		} else if limiter.Cancel(ticket) {
			ticket.onDecision(ReasonRate)
		}
	}
}

// Admit admits waiting calls that the rate limit allows to run by now.
func (limiter *Limiter) Admit(now time.Time) { limiter.admitQueued(now) }

// NextAdmission returns the time until Admit can admit a waiting call, and false
// if there is none or if it waits for a slot.
func (limiter *Limiter) NextAdmission(now time.Time) (time.Duration, bool) {
	if !limiter.pacer.Limited() || limiter.queued == 0 || limiter.inFlight >= limiter.slots {
		return 0, false
	}
	return limiter.pacer.Delay(now, 1), true
}
