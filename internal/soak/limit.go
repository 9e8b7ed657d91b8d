package soak

import (
	"sync"
	"time"
)

// The promise on rate limits: from limitGrace after an upstream first stated its
// limit, it gets in any limitWindow at most limitTolerance times what the limit
// allows, plus limitSlack calls.
const (
	limitGrace     = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
)

// limitCheck is the rate limit that an upstream states and the calls that arrive
// while it does. It is safe for concurrent use.
type limitCheck struct {
	lock sync.Mutex
	// perSecond is zero while the upstream states no limit.
	perSecond float64
	since     time.Time
	arrivals  []time.Time
}

// state sets the limit that the upstream states from now on; zero ends it.
func (limitCheck *limitCheck) state(perSecond float64) {
	limitCheck.lock.Lock()
	defer limitCheck.lock.Unlock()
	limitCheck.perSecond, limitCheck.since, limitCheck.arrivals = perSecond, time.Now(), nil
}

// limit returns the limit in calls per second, or zero.
func (limitCheck *limitCheck) limit() float64 {
	limitCheck.lock.Lock()
	defer limitCheck.lock.Unlock()
	return limitCheck.perSecond
}

// recordArrival counts a call and adds a violation if it exceeds the limit.
func (limitCheck *limitCheck) recordArrival(history *history) {
	limitCheck.lock.Lock()
	defer limitCheck.lock.Unlock()
	now := time.Now()
	if limitCheck.perSecond == 0 || now.Sub(limitCheck.since) < limitGrace {
		return
	}
	limitCheck.arrivals = append(limitCheck.arrivals, now)
	for now.Sub(limitCheck.arrivals[0]) > limitWindow {
		limitCheck.arrivals = limitCheck.arrivals[1:]
	}
	allowed := int(limitTolerance*limitCheck.perSecond*limitWindow.Seconds()) + limitSlack
	if len(limitCheck.arrivals) > allowed {
		history.addViolation("an upstream that states a limit of %.1f calls a second got %d in %s, allowed %d", limitCheck.perSecond, len(limitCheck.arrivals), limitWindow, allowed)
	}
}
