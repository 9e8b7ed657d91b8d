// Package admit lets a gate refuse calls that could not be finished, before they take a
// slot. The load that it answers is a graph of services in which a callee has less
// capacity than its callers need: a call that starts takes a slot, does its work and
// then fails, because its nested calls find no capacity. Its caller sends it again, and
// the service fills with calls that fail.
//
// For each route, a Controller observes how long the nested calls of its calls wait for
// their targets, and admits a share of the calls that begin a chain. The share follows
// additive increase and multiplicative decrease, as in congestion control, so that the
// gates of a service converge to about equal shares without exchanging messages. Calls
// that have missed their objective already give way first. Nested calls are never
// refused: their parents hold slots, and their wait is part of what the gates of the
// parents observe. So a shortage at any depth of the graph is paid for by the calls that
// have not started.
//
// The package uses no clock, socket or goroutine: callers pass in the current time and
// random numbers.
package admit

import "time"

const (
	// interval is the time between two adjustments. It is about the time after which an
	// admitted call makes its nested calls and they are observed.
	interval = 200 * time.Millisecond
	// congestedShare is the share of congested nested calls of an interval above which
	// the level falls, and clearShare the one up to which it rises. Targets of one service
	// differ in speed, so a few nested calls wait at any load.
	congestedShare = 0.5
	clearShare     = 0.25
	// decrease is the factor by which the level falls in one interval.
	decrease = 0.95
	// increase is what the level rises by in one interval.
	increase = 0.05
	// maxLevel is the level at which all calls are admitted. Above 1, all calls in time
	// are admitted, and the share of late calls is what exceeds 1.
	maxLevel = 2
	// minLevel keeps some calls coming, so that the end of the shortage is observed.
	minLevel = 0.05
	// probeAfter is the time without observations after which the level rises.
	probeAfter = time.Second
	// forgetAfter is the time without observations after which a route is forgotten.
	forgetAfter = 10 * time.Second
)

// route is the state of the calls of one route.
type route struct {
	// level is between minLevel and maxLevel.
	level float64
	// observed and congested count the nested calls since adjustedAt.
	observed   int
	congested  int
	adjustedAt time.Time
	observedAt time.Time
}

// adjust applies the observations of the intervals that have passed.
func (route *route) adjust(now time.Time) {
	passed := now.Sub(route.adjustedAt) / interval
	if passed <= 0 {
		return
	}
	if route.observed == 0 {
		if now.Sub(route.observedAt) > probeAfter {
			route.level = min(maxLevel, route.level+increase*float64(passed))
			route.adjustedAt = now
		}
		return
	}
	switch share := float64(route.congested) / float64(route.observed); {
	case share > congestedShare:
		route.level = max(minLevel, route.level*decrease)
	case share <= clearShare:
		route.level = min(maxLevel, route.level+increase)
	}
	route.observed, route.congested, route.adjustedAt = 0, 0, now
}

// Controller decides on the calls at one gate. It is not safe for concurrent use.
type Controller struct {
	// routes has an entry for each route whose calls made nested calls recently.
	routes map[string]*route
}

// New returns a controller that admits all calls.
func New() *Controller { return &Controller{routes: map[string]*route{}} }

// Observe records the end of a nested call that was made by a call of a route.
// congested is true if the nested call waited too long for a target or got none.
func (controller *Controller) Observe(now time.Time, name string, congested bool) {
	found := controller.routes[name]
	if found == nil {
		found = &route{level: maxLevel, adjustedAt: now}
		controller.routes[name] = found
	}
	found.adjust(now)
	found.observed++
	if congested {
		found.congested++
	}
	found.observedAt = now
}

// Admit decides whether a call of a route starts. late is true if the call has missed
// its objective already. random is a random number from 0 up to 1.
func (controller *Controller) Admit(now time.Time, name string, late bool, random float64) bool {
	found := controller.routes[name]
	if found == nil {
		return true
	}
	if now.Sub(found.observedAt) > forgetAfter {
		delete(controller.routes, name)
		return true
	}
	found.adjust(now)
	if late {
		return random < found.level-1
	}
	return random < found.level
}
