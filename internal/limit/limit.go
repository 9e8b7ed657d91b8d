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
	useful time.Time
	// patient is false for a call that may find a free slot elsewhere and is
	// refused rather than queued.
	patient bool
	// decided is called once, when a queued ticket is admitted (refusal is
	// empty) or refused.
	decided func(refusal Reason)
}

// NewTicket returns a ticket for a customer's call. Decided is called at most
// once, from within a later call on the gate.
func NewTicket(customer string, deadline time.Time, decided func(refusal Reason)) *Ticket {
	return &Ticket{customer: customer, deadline: deadline, patient: true, decided: decided}
}

// Rank sets the call's priority; 0 comes first.
func (ticket *Ticket) Rank(priority int) { ticket.priority = priority }

// Priority returns the call's rank.
func (ticket *Ticket) Priority() int { return ticket.priority }

// UsefulUntil sets when an answer loses most of its worth.
func (ticket *Ticket) UsefulUntil(useful time.Time) { ticket.useful = useful }

// Impatient has the call refused rather than queued.
func (ticket *Ticket) Impatient() { ticket.patient = false }

// worthIt reports whether a call that waits for so long and then takes the
// given mean time is worth its slot. Half of all calls take longer than the
// mean, so one that is to be useful in time needs more than that.
func (ticket *Ticket) worthIt(now time.Time, wait, service time.Duration) bool {
	if ticket.useful.IsZero() {
		return !now.Add(wait + service).After(ticket.deadline)
	}
	left := ticket.useful.Sub(now)
	allowed := max(left-service*usefulMargin, left/leastWaitPart)
	return wait <= allowed && !now.Add(wait+service).After(ticket.deadline)
}

const (
	// usefulMargin is the multiple of the mean time in which most calls are
	// done.
	usefulMargin = 2
	// leastWaitPart is the part of its time, as a divisor, for which any call
	// may wait: on a target that is slow for it an urgent call would otherwise
	// be turned away while less urgent ones queue and take every free slot.
	leastWaitPart = 4
)

// Verdict answers a call's arrival.
type Verdict int

// The verdicts on a call.
const (
	// Run lets the call run now; Done must follow.
	Run Verdict = iota
	// Wait means that the ticket's decided function will be called.
	Wait
	// Refuse means that the call did not and will not run.
	Refuse
)

// serviceDecay is the weight of the newest service time in the average, as a
// divisor: a target turns over its slots twice in that many calls.
const serviceDecay = 24

// Gate is the admission control of one target. It is not safe for concurrent
// use.
type Gate struct {
	slots    int
	maxQueue int
	inFlight int
	queued   int
	draining bool
	// lines has the waiting calls of each priority; none of them is empty.
	lines map[int]*line
	// service is the moving average of a call's time on the target, services
	// that of each priority.
	service  time.Duration
	services map[int]time.Duration
}

// line holds the waiting calls of one priority.
type line struct {
	// queues has an entry for each customer with waiting calls.
	queues map[string][]*Ticket
	// turn lists those customers in the order in which they are served.
	turn   []string
	queued int
}

// New returns a gate with the given number of slots and waiting places.
func New(slots, maxQueue int) *Gate {
	return &Gate{slots: slots, maxQueue: maxQueue, lines: map[int]*line{}, services: map[int]time.Duration{}}
}

// InFlight returns the number of calls on the target.
func (gate *Gate) InFlight() int { return gate.inFlight }

// Queued returns the number of waiting calls.
func (gate *Gate) Queued() int { return gate.queued }

// Service returns the mean time of the calls on the target.
func (gate *Gate) Service() time.Duration { return gate.service }

// Draining reports whether new calls are refused.
func (gate *Gate) Draining() bool { return gate.draining }

// SetSlots changes the number of slots; calls in flight go on.
func (gate *Gate) SetSlots(now time.Time, slots int) {
	gate.slots = slots
	gate.admitQueued(now)
}

// Drain refuses all new calls from now on, and all that wait.
func (gate *Gate) Drain() {
	gate.draining = true
	waiting := gate.waiting()
	clear(gate.lines)
	gate.queued = 0
	for _, ticket := range waiting {
		ticket.decided(ReasonDraining)
	}
}

// priorities returns the priorities with waiting calls, most urgent first.
func (gate *Gate) priorities() []int { return slices.Sorted(maps.Keys(gate.lines)) }

// waiting returns all waiting calls, most urgent first.
func (gate *Gate) waiting() []*Ticket {
	var waiting []*Ticket
	for _, priority := range gate.priorities() {
		line := gate.lines[priority]
		for _, customer := range line.turn {
			waiting = append(waiting, line.queues[customer]...)
		}
	}
	return waiting
}

// Resume takes new calls again, for another target at the same node.
func (gate *Gate) Resume() { gate.draining = false }

// Arrive decides on a call.
func (gate *Gate) Arrive(now time.Time, ticket *Ticket) (Verdict, Reason) {
	if gate.draining {
		return Refuse, ReasonDraining
	}
	if !now.Before(ticket.deadline) {
		return Refuse, ReasonDeadline
	}
	if gate.inFlight < gate.slots && gate.queued == 0 {
		gate.inFlight++
		return Run, ""
	}
	if !ticket.patient {
		return Refuse, ReasonFull
	}
	if !ticket.worthIt(now, gate.expectedWait(ticket), gate.serviceOf(ticket.priority)) {
		return Refuse, ReasonDeadline
	}
	if gate.queued >= gate.maxQueue && !gate.displace(ticket) {
		return Refuse, ReasonFull
	}
	gate.enqueue(ticket)
	return Wait, ""
}

// expectedWait estimates when a new call would get a slot: more urgent calls go
// first, and among its equals the customer's queue is served once a round,
// which takes one call of each customer.
func (gate *Gate) expectedWait(ticket *Ticket) time.Duration {
	ahead := 1
	for priority, line := range gate.lines {
		switch {
		case priority < ticket.priority:
			ahead += line.queued
		case priority == ticket.priority:
			ahead += line.ahead(ticket.customer)
		}
	}
	return gate.service * time.Duration(ahead) / time.Duration(max(1, gate.slots))
}

// serviceOf is the mean time of the calls of a priority, or of all while none
// of them has ended.
func (gate *Gate) serviceOf(priority int) time.Duration {
	if service, ok := gate.services[priority]; ok {
		return service
	}
	return gate.service
}

// ahead is how many calls of the line are served before a new one.
func (line *line) ahead(customer string) int {
	own := len(line.queues[customer])
	ahead := own
	for other, queue := range line.queues {
		if other != customer {
			ahead += min(len(queue), own+1)
		}
	}
	return ahead
}

// Room estimates when a call that was refused now would find a free slot.
func (gate *Gate) Room() time.Duration {
	return gate.service * time.Duration(gate.queued+1) / time.Duration(max(1, gate.slots))
}

// displace refuses a waiting call that matters less than the arriving one: one
// of a lower priority, or the newest of the customer with the most, if that is
// more than the arriving customer would have.
func (gate *Gate) displace(arriving *Ticket) bool {
	priorities := gate.priorities()
	last := priorities[len(priorities)-1]
	if last < arriving.priority {
		return false
	}
	line := gate.lines[last]
	greediest := ""
	for _, customer := range line.turn {
		if len(line.queues[customer]) > len(line.queues[greediest]) {
			greediest = customer
		}
	}
	if last == arriving.priority && len(line.queues[greediest]) <= len(line.queues[arriving.customer])+1 {
		return false
	}
	queue := line.queues[greediest]
	victim := queue[len(queue)-1]
	gate.Cancel(victim)
	victim.decided(ReasonFull)
	return true
}

func (gate *Gate) enqueue(ticket *Ticket) {
	held, ok := gate.lines[ticket.priority]
	if !ok {
		held = &line{queues: map[string][]*Ticket{}}
		gate.lines[ticket.priority] = held
	}
	if len(held.queues[ticket.customer]) == 0 {
		held.turn = append(held.turn, ticket.customer)
	}
	held.queues[ticket.customer] = append(held.queues[ticket.customer], ticket)
	held.queued++
	gate.queued++
}

// Cancel takes a waiting ticket out and reports whether it was waiting; a
// ticket that is no longer waiting was or will be decided.
func (gate *Gate) Cancel(ticket *Ticket) bool {
	line, ok := gate.lines[ticket.priority]
	if !ok {
		return false
	}
	queue := line.queues[ticket.customer]
	i := slices.Index(queue, ticket)
	if i < 0 {
		return false
	}
	line.queues[ticket.customer] = slices.Delete(slices.Clone(queue), i, i+1)
	gate.took(ticket.priority, line, ticket.customer)
	return true
}

// took counts a ticket out of a line and drops what became empty.
func (gate *Gate) took(priority int, line *line, customer string) {
	line.queued--
	gate.queued--
	if len(line.queues[customer]) == 0 {
		delete(line.queues, customer)
		line.turn = slices.DeleteFunc(line.turn, func(other string) bool { return other == customer })
	}
	if line.queued == 0 {
		delete(gate.lines, priority)
	}
}

// Vacate gives back the slot of a call that did not run after all.
func (gate *Gate) Vacate(now time.Time) {
	gate.inFlight--
	gate.admitQueued(now)
}

// Done ends a call of a priority that ran for the given time and admits waiting
// ones.
func (gate *Gate) Done(now time.Time, priority int, ran time.Duration) {
	gate.inFlight--
	if gate.service == 0 {
		gate.service = ran
	}
	gate.service += (ran - gate.service) / serviceDecay
	mean, ok := gate.services[priority]
	if !ok {
		mean = ran
	}
	gate.services[priority] = mean + (ran-mean)/serviceDecay
	gate.admitQueued(now)
}

// admitQueued serves the most urgent calls, one of each customer in turn. Calls
// that can no longer be done in time are refused.
func (gate *Gate) admitQueued(now time.Time) {
	for gate.inFlight < gate.slots && gate.queued > 0 {
		priority := gate.priorities()[0]
		line := gate.lines[priority]
		customer := line.turn[0]
		ticket := line.queues[customer][0]
		line.queues[customer] = line.queues[customer][1:]
		line.turn = append(line.turn[1:], customer)
		gate.took(priority, line, customer)
		if gate.tooLate(now, ticket) {
			ticket.decided(ReasonDeadline)
			continue
		}
		gate.inFlight++
		ticket.decided("")
	}
}

// tooLate reports whether a call has less time left than one of its priority
// takes in the mean. Run now it would most likely be cut off, and its caller
// could no longer be told that it has not run.
func (gate *Gate) tooLate(now time.Time, ticket *Ticket) bool {
	return !now.Add(gate.serviceOf(ticket.priority)).Before(ticket.deadline)
}

// Expire refuses the waiting calls that can no longer be done in time.
func (gate *Gate) Expire(now time.Time) {
	for _, ticket := range gate.waiting() {
		if gate.tooLate(now, ticket) && gate.Cancel(ticket) {
			ticket.decided(ReasonDeadline)
		}
	}
}
