// Package limit is the admission control at a target's node: a number of
// slots, a short queue that knows deadlines, fair shares by customer when it
// must shed, and draining. A refusal means that nothing ran.
//
// The package has no clock, socket or goroutine.
package limit

import (
	"maps"
	"slices"
	"time"
)

// Reason says why a call was refused.
type Reason string

// The reasons of a refusal.
const (
	ReasonDraining Reason = "draining"
	ReasonFull     Reason = "full"
	ReasonDeadline Reason = "deadline"
)

// Ticket stands for one call. Its owner waits on nothing: the gate tells
// through its return values when a ticket may run or is refused.
type Ticket struct {
	customer string
	deadline time.Time
	// priority ranks the call; 0 comes first.
	priority int
	// useful is when an answer loses most of its worth; zero means at the
	// deadline. A call that would be answered later is refused on arrival, so
	// that others are answered in time.
	objective time.Time
	// patient is false for a call that may find a free slot elsewhere and is
	// refused rather than queued.
	mayQueue bool
	// decided is called once, when a queued ticket is admitted (refusal is
	// empty) or refused.
	onDecision func(refusal Reason)
}

// NewTicket returns a ticket for a customer's call. Decided is called at most
// once, from within a later call on the gate.
func NewTicket(customer string, deadline time.Time, onDecision func(refusal Reason)) *Ticket {
	return &Ticket{customer: customer, deadline: deadline, mayQueue: true, onDecision: onDecision}
}

// SetPriority sets the call's priority; 0 comes first.
func (ticket *Ticket) SetPriority(priority int) { ticket.priority = priority }

// Priority returns the call's rank.
func (ticket *Ticket) Priority() int { return ticket.priority }

// SetObjective sets when an answer loses most of its worth.
func (ticket *Ticket) SetObjective(objective time.Time) { ticket.objective = objective }

// DisableQueueing has the call refused rather than queued.
func (ticket *Ticket) DisableQueueing() { ticket.mayQueue = false }

// worthIt reports whether a call that waits for so long and then takes the
// given mean time is worth its slot. Half of all calls take longer than the
// mean, so one that is to be useful in time needs more than that.
func (ticket *Ticket) worthQueueing(now time.Time, wait, serviceTime time.Duration) bool {
	if ticket.objective.IsZero() {
		return !now.Add(wait + serviceTime).After(ticket.deadline)
	}
	remaining := ticket.objective.Sub(now)
	maxWait := max(remaining-serviceTime*serviceTimeMargin, remaining/minWaitDivisor)
	return wait <= maxWait && !now.Add(wait+serviceTime).After(ticket.deadline)
}

const (
	// usefulMargin is the multiple of the mean time in which most calls are
	// done.
	serviceTimeMargin = 2
	// leastWaitPart is the part of its time, as a divisor, for which any call
	// may wait: on a target that is slow for it an urgent call would otherwise
	// be turned away while less urgent ones queue and take every free slot.
	minWaitDivisor = 4
)

// Decision answers a call's arrival.
type Decision int

// The verdicts on a call.
const (
	// Run lets the call run now; Done must follow.
	Run Decision = iota
	// Wait means that the ticket's decided function will be called.
	Wait
	// Refuse means that the call did not and will not run.
	Refuse
)

// serviceDecay is the weight of the newest service time in the average, as a
// divisor: a target turns over its slots twice in that many calls.
const serviceTimeDecay = 24

// Limiter is the admission control of one target. It is not safe for concurrent
// use.
type Limiter struct {
	slots    int
	maxQueue int
	inFlight int
	queued   int
	draining bool
	// lines has the waiting calls of each priority; none of them is empty.
	levels map[int]*level
	// service is the moving average of a call's time on the target, services
	// that of each priority.
	serviceTime  time.Duration
	serviceTimes map[int]time.Duration
}

// line holds the waiting calls of one priority.
type level struct {
	// queues has an entry for each customer with waiting calls.
	queues map[string][]*Ticket
	// turn lists those customers in the order in which they are served.
	rotation []string
	queued   int
}

// New returns a gate with the given number of slots and waiting places.
func New(slots, maxQueue int) *Limiter {
	return &Limiter{slots: slots, maxQueue: maxQueue, levels: map[int]*level{}, serviceTimes: map[int]time.Duration{}}
}

// InFlight returns the number of calls on the target.
func (limiter *Limiter) InFlight() int { return limiter.inFlight }

// Queued returns the number of waiting calls.
func (limiter *Limiter) Queued() int { return limiter.queued }

// ServiceTime returns the mean time of the calls on the target.
func (limiter *Limiter) ServiceTime() time.Duration { return limiter.serviceTime }

// Draining reports whether new calls are refused.
func (limiter *Limiter) Draining() bool { return limiter.draining }

// SetSlots changes the number of slots; calls in flight go on.
func (limiter *Limiter) SetSlots(now time.Time, slots int) {
	limiter.slots = slots
	limiter.admitQueued(now)
}

// Drain refuses all new calls from now on, and all that wait.
func (limiter *Limiter) Drain() {
	limiter.draining = true
	waiting := limiter.waiting()
	clear(limiter.levels)
	limiter.queued = 0
	for _, ticket := range waiting {
		ticket.onDecision(ReasonDraining)
	}
}

// priorities returns the priorities with waiting calls, most urgent first.
func (limiter *Limiter) priorities() []int { return slices.Sorted(maps.Keys(limiter.levels)) }

// waiting returns all waiting calls, most urgent first.
func (limiter *Limiter) waiting() []*Ticket {
	var waiting []*Ticket
	for _, priority := range limiter.priorities() {
		level := limiter.levels[priority]
		for _, customer := range level.rotation {
			waiting = append(waiting, level.queues[customer]...)
		}
	}
	return waiting
}

// Resume takes new calls again, for another target at the same node.
func (limiter *Limiter) Resume() { limiter.draining = false }

// Arrive decides on a call.
func (limiter *Limiter) Arrive(now time.Time, ticket *Ticket) (Decision, Reason) {
	if limiter.draining {
		return Refuse, ReasonDraining
	}
	if !now.Before(ticket.deadline) {
		return Refuse, ReasonDeadline
	}
	if limiter.inFlight < limiter.slots && limiter.queued == 0 {
		limiter.inFlight++
		return Run, ""
	}
	if !ticket.mayQueue {
		return Refuse, ReasonFull
	}
	if !ticket.worthQueueing(now, limiter.expectedWait(ticket), limiter.serviceTimeOf(ticket.priority)) {
		return Refuse, ReasonDeadline
	}
	if limiter.queued >= limiter.maxQueue && !limiter.displace(ticket) {
		return Refuse, ReasonFull
	}
	limiter.enqueue(ticket)
	return Wait, ""
}

// expectedWait estimates when a new call would get a slot: more urgent calls go
// first, and among its equals the customer's queue is served once a round,
// which takes one call of each customer.
func (limiter *Limiter) expectedWait(ticket *Ticket) time.Duration {
	callsAhead := 1
	for priority, level := range limiter.levels {
		switch {
		case priority < ticket.priority:
			callsAhead += level.queued
		case priority == ticket.priority:
			callsAhead += level.callsAhead(ticket.customer)
		}
	}
	return limiter.serviceTime * time.Duration(callsAhead) / time.Duration(max(1, limiter.slots))
}

// serviceOf is the mean time of the calls of a priority, or of all while none
// of them has ended.
func (limiter *Limiter) serviceTimeOf(priority int) time.Duration {
	if serviceTime, ok := limiter.serviceTimes[priority]; ok {
		return serviceTime
	}
	return limiter.serviceTime
}

// ahead is how many calls of the line are served before a new one.
func (level *level) callsAhead(customer string) int {
	own := len(level.queues[customer])
	callsAhead := own
	for other, queue := range level.queues {
		if other != customer {
			callsAhead += min(len(queue), own+1)
		}
	}
	return callsAhead
}

// RetryAfter estimates when a call that was refused now would find a free slot.
func (limiter *Limiter) RetryAfter() time.Duration {
	return limiter.serviceTime * time.Duration(limiter.queued+1) / time.Duration(max(1, limiter.slots))
}

// displace refuses a waiting call that matters less than the arriving one: one
// of a lower priority, or the newest of the customer with the most, if that is
// more than the arriving customer would have.
func (limiter *Limiter) displace(arriving *Ticket) bool {
	priorities := limiter.priorities()
	last := priorities[len(priorities)-1]
	if last < arriving.priority {
		return false
	}
	level := limiter.levels[last]
	busiest := ""
	for _, customer := range level.rotation {
		if len(level.queues[customer]) > len(level.queues[busiest]) {
			busiest = customer
		}
	}
	if last == arriving.priority && len(level.queues[busiest]) <= len(level.queues[arriving.customer])+1 {
		return false
	}
	queue := level.queues[busiest]
	displaced := queue[len(queue)-1]
	limiter.Cancel(displaced)
	displaced.onDecision(ReasonFull)
	return true
}

func (limiter *Limiter) enqueue(ticket *Ticket) {
	existing, ok := limiter.levels[ticket.priority]
	if !ok {
		existing = &level{queues: map[string][]*Ticket{}}
		limiter.levels[ticket.priority] = existing
	}
	if len(existing.queues[ticket.customer]) == 0 {
		existing.rotation = append(existing.rotation, ticket.customer)
	}
	existing.queues[ticket.customer] = append(existing.queues[ticket.customer], ticket)
	existing.queued++
	limiter.queued++
}

// Cancel takes a waiting ticket out and reports whether it was waiting; a
// ticket that is no longer waiting was or will be decided.
func (limiter *Limiter) Cancel(ticket *Ticket) bool {
	level, ok := limiter.levels[ticket.priority]
	if !ok {
		return false
	}
	queue := level.queues[ticket.customer]
	i := slices.Index(queue, ticket)
	if i < 0 {
		return false
	}
	level.queues[ticket.customer] = slices.Delete(slices.Clone(queue), i, i+1)
	limiter.countRemoval(ticket.priority, level, ticket.customer)
	return true
}

// took counts a ticket out of a line and drops what became empty.
func (limiter *Limiter) countRemoval(priority int, level *level, customer string) {
	level.queued--
	limiter.queued--
	if len(level.queues[customer]) == 0 {
		delete(level.queues, customer)
		level.rotation = slices.DeleteFunc(level.rotation, func(other string) bool { return other == customer })
	}
	if level.queued == 0 {
		delete(limiter.levels, priority)
	}
}

// ReleaseSlot gives back the slot of a call that did not run after all.
func (limiter *Limiter) ReleaseSlot(now time.Time) {
	limiter.inFlight--
	limiter.admitQueued(now)
}

// Done ends a call of a priority that ran for the given time and admits waiting
// ones.
func (limiter *Limiter) Done(now time.Time, priority int, duration time.Duration) {
	limiter.inFlight--
	if limiter.serviceTime == 0 {
		limiter.serviceTime = duration
	}
	limiter.serviceTime += (duration - limiter.serviceTime) / serviceTimeDecay
	mean, ok := limiter.serviceTimes[priority]
	if !ok {
		mean = duration
	}
	limiter.serviceTimes[priority] = mean + (duration-mean)/serviceTimeDecay
	limiter.admitQueued(now)
}

// admitQueued serves the most urgent calls, one of each customer in turn. Calls
// that can no longer be done in time are refused.
func (limiter *Limiter) admitQueued(now time.Time) {
	for limiter.inFlight < limiter.slots && limiter.queued > 0 {
		priority := limiter.priorities()[0]
		level := limiter.levels[priority]
		customer := level.rotation[0]
		ticket := level.queues[customer][0]
		level.queues[customer] = level.queues[customer][1:]
		level.rotation = append(level.rotation[1:], customer)
		limiter.countRemoval(priority, level, customer)
		if limiter.tooLate(now, ticket) {
			ticket.onDecision(ReasonDeadline)
			continue
		}
		limiter.inFlight++
		ticket.onDecision("")
	}
}

// tooLate reports whether a call has less time left than one of its priority
// takes in the mean. Run now it would most likely be cut off, and its caller
// could no longer be told that it has not run.
func (limiter *Limiter) tooLate(now time.Time, ticket *Ticket) bool {
	return !now.Add(limiter.serviceTimeOf(ticket.priority)).Before(ticket.deadline)
}

// Expire refuses the waiting calls that can no longer be done in time.
func (limiter *Limiter) Expire(now time.Time) {
	for _, ticket := range limiter.waiting() {
		if limiter.tooLate(now, ticket) && limiter.Cancel(ticket) {
			ticket.onDecision(ReasonDeadline)
		}
	}
}
