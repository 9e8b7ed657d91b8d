// Package limit is the admission control at a target's node: a number of
// slots, a short queue that knows deadlines, fair shares by customer when it
// must shed, and draining. A refusal means that nothing ran.
//
// The package has no clock, socket or goroutine.
package limit

import (
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
	// decided is called once, when a queued ticket is admitted (refusal is
	// empty) or refused.
	decided func(refusal Reason)
}

// NewTicket returns a ticket for a customer's call. Decided is called at most
// once, from within a later call on the gate.
func NewTicket(customer string, deadline time.Time, decided func(refusal Reason)) *Ticket {
	return &Ticket{customer: customer, deadline: deadline, decided: decided}
}

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
// divisor.
const serviceDecay = 8

// Gate is the admission control of one target. It is not safe for concurrent
// use.
type Gate struct {
	slots    int
	maxQueue int
	inFlight int
	queued   int
	draining bool
	// queues has an entry for each customer with waiting calls.
	queues map[string][]*Ticket
	// turn lists those customers in the order in which they are served.
	turn []string
	// service is the moving average of a call's time on the target.
	service time.Duration
}

// New returns a gate with the given number of slots and waiting places.
func New(slots, maxQueue int) *Gate {
	return &Gate{slots: slots, maxQueue: maxQueue, queues: map[string][]*Ticket{}}
}

// InFlight returns the number of calls on the target.
func (gate *Gate) InFlight() int { return gate.inFlight }

// Queued returns the number of waiting calls.
func (gate *Gate) Queued() int { return gate.queued }

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
	for _, queue := range gate.queues {
		for _, ticket := range queue {
			ticket.decided(ReasonDraining)
		}
	}
	clear(gate.queues)
	gate.turn = nil
	gate.queued = 0
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
	if gate.expectedWait(ticket.customer) > ticket.deadline.Sub(now) {
		return Refuse, ReasonDeadline
	}
	if gate.queued >= gate.maxQueue && !gate.displace(ticket.customer) {
		return Refuse, ReasonFull
	}
	gate.enqueue(ticket)
	return Wait, ""
}

// expectedWait estimates when a new call of the customer would be done: its
// queue is served once a round, and a round takes one call of each customer.
func (gate *Gate) expectedWait(customer string) time.Duration {
	ahead := 1
	for other, queue := range gate.queues {
		if other == customer {
			ahead += len(queue)
			continue
		}
		ahead += min(len(queue), len(gate.queues[customer])+1)
	}
	return gate.service*time.Duration(ahead)/time.Duration(max(1, gate.slots)) + gate.service
}

// displace refuses the newest waiting call of the customer with the most, if
// that is more than the arriving customer would have.
func (gate *Gate) displace(arriving string) bool {
	greediest := ""
	for _, customer := range gate.turn {
		if len(gate.queues[customer]) > len(gate.queues[greediest]) {
			greediest = customer
		}
	}
	if greediest == "" || len(gate.queues[greediest]) <= len(gate.queues[arriving])+1 {
		return false
	}
	queue := gate.queues[greediest]
	last := queue[len(queue)-1]
	gate.queues[greediest] = queue[:len(queue)-1]
	gate.queued--
	last.decided(ReasonFull)
	return true
}

func (gate *Gate) enqueue(ticket *Ticket) {
	if len(gate.queues[ticket.customer]) == 0 {
		gate.turn = append(gate.turn, ticket.customer)
	}
	gate.queues[ticket.customer] = append(gate.queues[ticket.customer], ticket)
	gate.queued++
}

// Cancel takes a waiting ticket out and reports whether it was waiting; a
// ticket that is no longer waiting was or will be decided.
func (gate *Gate) Cancel(ticket *Ticket) bool {
	queue := gate.queues[ticket.customer]
	for i, other := range queue {
		if other == ticket {
			gate.queues[ticket.customer] = append(queue[:i:i], queue[i+1:]...)
			gate.queued--
			gate.dropEmpty(ticket.customer)
			return true
		}
	}
	return false
}

func (gate *Gate) dropEmpty(customer string) {
	if len(gate.queues[customer]) > 0 {
		return
	}
	delete(gate.queues, customer)
	for i, other := range gate.turn {
		if other == customer {
			gate.turn = append(gate.turn[:i:i], gate.turn[i+1:]...)
			return
		}
	}
}

// Vacate gives back the slot of a call that did not run after all.
func (gate *Gate) Vacate(now time.Time) {
	gate.inFlight--
	gate.admitQueued(now)
}

// Done ends a call that ran for the given time and admits waiting ones.
func (gate *Gate) Done(now time.Time, ran time.Duration) {
	gate.inFlight--
	gate.service += (ran - gate.service) / serviceDecay
	gate.admitQueued(now)
}

// admitQueued serves one call of each customer in turn. Calls whose deadline
// has passed are refused.
func (gate *Gate) admitQueued(now time.Time) {
	for gate.inFlight < gate.slots && len(gate.turn) > 0 {
		customer := gate.turn[0]
		queue := gate.queues[customer]
		ticket := queue[0]
		gate.queues[customer] = queue[1:]
		gate.queued--
		gate.turn = append(gate.turn[1:], customer)
		gate.dropEmpty(customer)
		if !now.Before(ticket.deadline) {
			ticket.decided(ReasonDeadline)
			continue
		}
		gate.inFlight++
		ticket.decided("")
	}
}

// Expire refuses the waiting calls whose deadline has passed.
func (gate *Gate) Expire(now time.Time) {
	var late []*Ticket
	for _, queue := range gate.queues {
		for _, ticket := range queue {
			if !now.Before(ticket.deadline) {
				late = append(late, ticket)
			}
		}
	}
	for _, ticket := range late {
		gate.Cancel(ticket)
		ticket.decided(ReasonDeadline)
	}
}
