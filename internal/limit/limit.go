// Package limit implements admission control at a target's node: a fixed number
// of slots, an optional limit on the rate of calls, a short queue that takes
// deadlines into account and is shared fairly among customers, and draining. A
// refused call has not run.
//
// The package uses no clock, socket or goroutine: callers pass in the current
// time.
package limit

import (
	"maps"
	"slices"
	"time"

	"github.com/vanillapulley/vanillapulley/internal/pacer"
)

// Reason is the reason for refusing a call.
type Reason string

// Reasons for refusing a call.
const (
	ReasonDraining Reason = "draining"
	ReasonFull     Reason = "full"
	ReasonDeadline Reason = "deadline"
	// ReasonRate is the reason if the target's rate limit alone prevents the call
	// from running in time.
	ReasonRate Reason = "rate limit"
	// ReasonNested is the reason if the nested calls of the call would find no capacity.
	ReasonNested Reason = "nested calls find no capacity"
	// ReasonEvacuated is the reason while the zone of the target is evacuated.
	ReasonEvacuated Reason = "evacuated"
)

// Ticket represents one call. Nothing blocks on a ticket: Arrive returns the
// decision, and a ticket that is queued gets its decision through the
// onDecision function.
type Ticket struct {
	customer string
	deadline time.Time
	// priority is the rank of the call; 0 is the most urgent.
	priority int
	// objective is the time after which the answer loses most of its value;
	// zero means that there is none. A call that finds no free slot and is not
	// expected to be answered by then is refused on arrival, so that other
	// calls are answered in time. worthQueueing defines the exact rule.
	objective time.Time
	// mayQueue is false for a call that is refused rather than queued, because
	// it may find a free slot on another target.
	mayQueue bool
	// onDecision is called once when a queued ticket is admitted (refusal is
	// empty) or refused.
	onDecision func(refusal Reason)
}

// NewTicket returns a ticket for a call of a customer. onDecision is called
// only if the ticket is queued and not canceled. It is then called once, from
// within a later call to a method of the limiter.
func NewTicket(customer string, deadline time.Time, onDecision func(refusal Reason)) *Ticket {
	return &Ticket{customer: customer, deadline: deadline, mayQueue: true, onDecision: onDecision}
}

// SetPriority sets the priority of the call; 0 is the most urgent.
func (ticket *Ticket) SetPriority(priority int) { ticket.priority = priority }

// Priority returns the priority of the call.
func (ticket *Ticket) Priority() int { return ticket.priority }

// SetObjective sets the time after which the answer loses most of its value.
func (ticket *Ticket) SetObjective(objective time.Time) { ticket.objective = objective }

// DisableQueueing makes Arrive refuse the call instead of queueing it.
func (ticket *Ticket) DisableQueueing() { ticket.mayQueue = false }

// worthQueueing reports whether a call can still be useful if it waits for the
// given time and then takes the given mean service time. About half of all
// calls take longer than the mean, so a call with an objective needs a margin
// above the mean.
func (ticket *Ticket) worthQueueing(now time.Time, wait, serviceTime time.Duration) bool {
	if ticket.objective.IsZero() {
		return !now.Add(wait + serviceTime).After(ticket.deadline)
	}
	remaining := ticket.objective.Sub(now)
	maxWait := max(remaining-serviceTime*serviceTimeMargin, remaining/guaranteedWaitDivisor)
	return wait <= maxWait && !now.Add(wait+serviceTime).After(ticket.deadline)
}

const (
	// serviceTimeMargin is the multiple of the mean service time within which
	// most calls finish.
	serviceTimeMargin = 2
	// guaranteedWaitDivisor sets a lower bound on the permitted wait: a call
	// may wait for 1/guaranteedWaitDivisor of the time left until its objective
	// even if serviceTimeMargin leaves less. Without this bound, urgent calls
	// would be refused on a target that is slow for them, while less urgent
	// calls queue and take every free slot.
	guaranteedWaitDivisor = 4
)

// Decision is the result of a call's arrival.
type Decision int

// Decisions about a call.
const (
	// Run means that the call runs now; Done must be called when it ends.
	Run Decision = iota
	// Wait means that the call is queued and that the ticket's onDecision
	// function will be called.
	Wait
	// Refuse means that the call has not run and will not run.
	Refuse
)

// serviceTimeDecay is the number of calls over which the moving average of the
// service time is smoothed: the newest service time has a weight of
// 1/serviceTimeDecay. On a target with 12 slots, that many calls use each slot
// twice.
const serviceTimeDecay = 24

// Limiter is the admission control of one target. It is not safe for concurrent
// use.
type Limiter struct {
	slots    int
	maxQueue int
	inFlight int
	queued   int
	draining bool
	// evacuated is true while the zone of the target is evacuated. It is independent
	// of draining, so that a target that replaces a drained one stays without calls.
	evacuated bool
	// pacer enforces the rate limit of the target, if it has one.
	pacer pacer.Pacer
	// levels holds the waiting calls of each priority. A level without waiting
	// calls is removed.
	levels map[int]*level
	// serviceTime is the moving average of the time that a call takes on the
	// target; serviceTimes holds the same average for each priority.
	serviceTime  time.Duration
	serviceTimes map[int]time.Duration
}

// level holds the waiting calls of one priority.
type level struct {
	// queues has an entry for each customer with waiting calls.
	queues map[string][]*Ticket
	// rotation lists those customers in the order in which they are served
	// next.
	rotation []string
	queued   int
}

// New returns a limiter with the given number of slots and maximum queue
// length.
func New(slots, maxQueue int) *Limiter {
	return &Limiter{slots: slots, maxQueue: maxQueue, levels: map[int]*level{}, serviceTimes: map[int]time.Duration{}}
}

// InFlight returns the number of calls that run on the target.
func (limiter *Limiter) InFlight() int { return limiter.inFlight }

// Queued returns the number of waiting calls.
func (limiter *Limiter) Queued() int { return limiter.queued }

// ServiceTime returns the mean time of the calls on the target.
func (limiter *Limiter) ServiceTime() time.Duration { return limiter.serviceTime }

// Draining reports whether new calls are refused.
func (limiter *Limiter) Draining() bool { return limiter.draining }

// SetSlots changes the number of slots and admits waiting calls if slots are
// free. Calls in flight are not affected.
func (limiter *Limiter) SetSlots(now time.Time, slots int) {
	limiter.slots = slots
	limiter.admitQueued(now)
}

// Drain refuses all waiting calls and, from now on, all new calls.
func (limiter *Limiter) Drain() {
	limiter.draining = true
	limiter.refuseWaiting(ReasonDraining)
}

// SetEvacuated starts or ends the evacuation of the target's zone. While it lasts, new
// calls are refused. At its start, all waiting calls are refused. Running calls are not
// affected.
func (limiter *Limiter) SetEvacuated(evacuated bool) {
	limiter.evacuated = evacuated
	if evacuated {
		limiter.refuseWaiting(ReasonEvacuated)
	}
}

// Evacuated reports whether new calls are refused because of an evacuation.
func (limiter *Limiter) Evacuated() bool { return limiter.evacuated }

// refuseWaiting refuses all waiting calls.
func (limiter *Limiter) refuseWaiting(reason Reason) {
	waiting := limiter.waiting()
	clear(limiter.levels)
	limiter.queued = 0
	for _, ticket := range waiting {
		ticket.onDecision(reason)
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

// Resume accepts new calls again. It is used when another target takes the
// place of a drained one on the same node.
func (limiter *Limiter) Resume() { limiter.draining = false }

// Arrive decides whether a call runs, waits or is refused. The reason is set
// only for a refusal.
func (limiter *Limiter) Arrive(now time.Time, ticket *Ticket) (Decision, Reason) {
	if limiter.draining {
		return Refuse, ReasonDraining
	}
	if limiter.evacuated {
		return Refuse, ReasonEvacuated
	}
	if !now.Before(ticket.deadline) {
		return Refuse, ReasonDeadline
	}
	if limiter.inFlight < limiter.slots && limiter.queued == 0 && limiter.pacer.Take(now) {
		limiter.inFlight++
		return Run, ""
	}
	if !ticket.mayQueue {
		return Refuse, limiter.causeOf(ReasonFull)
	}
	if !limiter.WorthQueueing(now, ticket) {
		return Refuse, limiter.causeOf(ReasonDeadline)
	}
	if limiter.queued >= limiter.maxQueue && !limiter.displace(ticket) {
		return Refuse, ReasonFull
	}
	limiter.enqueue(ticket)
	return Wait, ""
}

// WorthQueueing reports whether a call that found no free slot could still be useful if
// it was queued now. Urgent calls may be worth queueing where others are not, because
// they are served first.
func (limiter *Limiter) WorthQueueing(now time.Time, ticket *Ticket) bool {
	return ticket.worthQueueing(now, limiter.expectedWait(now, ticket), limiter.serviceTimeOf(ticket.priority))
}

// expectedWait estimates how long a new call would wait until it runs. More urgent
// calls go first. Within the same priority, customers are served round-robin,
// one call of each customer per round.
func (limiter *Limiter) expectedWait(now time.Time, ticket *Ticket) time.Duration {
	callsAhead := 1
	for priority, level := range limiter.levels {
		switch {
		case priority < ticket.priority:
			callsAhead += level.queued
		case priority == ticket.priority:
			callsAhead += level.callsAhead(ticket.customer)
		}
	}
	return limiter.waitOf(now, callsAhead)
}

// waitOf estimates how long it takes until the n-th of the waiting calls runs,
// counted from 1.
func (limiter *Limiter) waitOf(now time.Time, n int) time.Duration {
	waitForSlot := limiter.serviceTime * time.Duration(n) / time.Duration(max(1, limiter.slots))
	return max(waitForSlot, limiter.pacer.Delay(now, n))
}

// causeOf returns ReasonRate if slots are free, so that the rate limit is the cause
// of a refusal, and otherwise the given reason.
func (limiter *Limiter) causeOf(reason Reason) Reason {
	if limiter.pacer.Limited() && limiter.inFlight < limiter.slots {
		return ReasonRate
	}
	return reason
}

// serviceTimeOf returns the mean service time of the calls of a priority, or of
// all calls if no call of that priority has finished yet.
func (limiter *Limiter) serviceTimeOf(priority int) time.Duration {
	if serviceTime, ok := limiter.serviceTimes[priority]; ok {
		return serviceTime
	}
	return limiter.serviceTime
}

// callsAhead returns how many waiting calls of the level are served before a
// new call of the customer.
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

// RetryAfter estimates how long it takes until a call that is refused now could
// run.
func (limiter *Limiter) RetryAfter(now time.Time) time.Duration {
	return limiter.waitOf(now, limiter.queued+1)
}

// displace refuses a waiting call to make room for the arriving one and reports
// whether it did. The refused call is the newest one of the customer with the
// most waiting calls in the least urgent level. A waiting call of a less urgent
// level is always displaced. At the same priority, it is displaced only if its
// customer has more waiting calls than the arriving customer would have.
func (limiter *Limiter) displace(arriving *Ticket) bool {
	priorities := limiter.priorities()
	if len(priorities) == 0 {
		return false
	}
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

// Cancel removes a waiting ticket and reports whether it was waiting. If it
// returns false, the call has already been admitted, refused or canceled, or its
// onDecision function is about to be called.
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
	limiter.cleanUpAfterRemoval(ticket.priority, level, ticket.customer)
	return true
}

// cleanUpAfterRemoval updates the counts after a ticket has been removed from a
// level, and deletes the customer's queue and the level if they are empty.
func (limiter *Limiter) cleanUpAfterRemoval(priority int, level *level, customer string) {
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

// ReleaseSlot frees the slot of a call that was admitted but did not run.
func (limiter *Limiter) ReleaseSlot(now time.Time) {
	limiter.inFlight--
	limiter.pacer.Return()
	limiter.admitQueued(now)
}

// Done records that a call of the given priority has ended after the given
// duration, and admits waiting calls.
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

// admitQueued admits waiting calls while slots are free and the rate limit allows
// it: the most urgent priority first, and its customers in turn. Calls that can no
// longer finish in time are refused.
func (limiter *Limiter) admitQueued(now time.Time) {
	for limiter.inFlight < limiter.slots && limiter.queued > 0 && limiter.pacer.Delay(now, 1) == 0 {
		priority := limiter.priorities()[0]
		level := limiter.levels[priority]
		customer := level.rotation[0]
		ticket := level.queues[customer][0]
		level.queues[customer] = level.queues[customer][1:]
		level.rotation = append(level.rotation[1:], customer)
		limiter.cleanUpAfterRemoval(priority, level, customer)
		if limiter.tooLate(now, ticket) {
			ticket.onDecision(ReasonDeadline)
			continue
		}
		limiter.pacer.Take(now)
		limiter.inFlight++
		ticket.onDecision("")
	}
}

// tooLate reports whether the time left until the deadline is no more than the
// mean service time of the call's priority. Such a call would most likely be
// cut off at its deadline, and its caller would not know whether it had run. If
// it is refused instead, the caller knows that it has not run.
func (limiter *Limiter) tooLate(now time.Time, ticket *Ticket) bool {
	return !now.Add(limiter.serviceTimeOf(ticket.priority)).Before(ticket.deadline)
}

// Expire refuses the waiting calls that can no longer finish in time.
func (limiter *Limiter) Expire(now time.Time) {
	for _, ticket := range limiter.waiting() {
		if limiter.tooLate(now, ticket) && limiter.Cancel(ticket) {
			ticket.onDecision(ReasonDeadline)
		}
	}
}
