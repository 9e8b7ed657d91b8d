// Package halt decides when a node that stops as planned takes no further calls, when it
// gives up calls that no target has received, and when it ends all others.
//
// Inputs: the time of the signal, the settings, and the deadline of each call. Outcomes:
// the times of the steps of the stop, and whether a call is accepted or sent to a target.
// The package uses no clock, socket or goroutine.
package halt

import "time"

const (
	// exitReserve is the part of the grace period that is reserved for the end of the
	// process. With a short grace period it is 1/exitDivisor of that.
	exitReserve = time.Second
	exitDivisor = 6
	// drainReserve is the time before the cut-off in which a node without an upstream
	// takes no further calls.
	drainReserve = 1500 * time.Millisecond
	// dropDivisor sets the time from which calls that no target has received are given
	// up: at 1/dropDivisor of the grace period. A call that was sent before has at least a
	// third of the grace period to run, and the caller of one that is refused has as much
	// of its time left.
	dropDivisor = 2
)

// Percentages of the time between the cut-off and the end of the grace period. A third is
// left for the end of a process on a busy machine: with a tenth, one took longer than its
// grace period at a load of 30 on 8 cores.
const (
	verdictPercent  = 30
	closePercent    = 50
	announcePercent = 10
	adminPercent    = 15
)

// Settings configure a stop.
type Settings struct {
	// Grace is the time between the signal and the moment at which the process is killed.
	Grace time.Duration
	// Notice is how long callers are served as usual, at most half of Grace.
	Notice time.Duration
	// NoUpstream is true for a node without an upstream. Such a node leaves permanently,
	// so an earlier exit has no benefit, and most nearby nodes may be leaving too, so
	// that its callers have no other node to use. Unless Notice is zero, it takes calls
	// that can end in time until shortly before the cut-off.
	NoUpstream bool
}

// Plan contains the steps of one stop. Each time is no earlier than the one before it,
// except that dropAt may be earlier than serveEnd.
type Plan struct {
	// noticeEnd is the time until which every call is accepted.
	noticeEnd time.Time
	serveEnd  time.Time
	dropAt    time.Time
	cutOff    time.Time
	verdictBy time.Time
	closeBy   time.Time
	// reserve is the time between the cut-off and the end of the grace period.
	reserve time.Duration
}

// New returns the plan of a stop that was signaled at the time started.
func New(started time.Time, settings Settings) Plan {
	reserve := min(exitReserve, settings.Grace/exitDivisor)
	notice := min(settings.Notice, settings.Grace/2)
	serve := notice
	if notice > 0 && settings.NoUpstream {
		serve = max(notice, settings.Grace-reserve-drainReserve)
	}
	cutOff := started.Add(settings.Grace - reserve)
	return Plan{
		noticeEnd: started.Add(notice),
		serveEnd:  started.Add(serve),
		dropAt:    started.Add(settings.Grace / dropDivisor),
		cutOff:    cutOff,
		verdictBy: cutOff.Add(reserve * verdictPercent / 100),
		closeBy:   cutOff.Add(reserve * closePercent / 100),
		reserve:   reserve,
	}
}

// ServeEnd returns the time from which the gate takes no further calls.
func (plan Plan) ServeEnd() time.Time { return plan.serveEnd }

// DropAt returns the time from which calls that cannot end before the cut-off are given up
// if no target has received them.
func (plan Plan) DropAt() time.Time { return plan.dropAt }

// CutOff returns the time at which the calls in progress are ended.
func (plan Plan) CutOff() time.Time { return plan.cutOff }

// VerdictBy returns the time until which the entry waits for what the gates say about the
// calls that it has ended.
func (plan Plan) VerdictBy() time.Time { return plan.verdictBy }

// CloseBy returns the time at which all connections are closed, whether or not the callers
// have read their responses.
func (plan Plan) CloseBy() time.Time { return plan.closeBy }

// AnnounceTime limits the time for the message that the node is gone to reach other nodes.
func (plan Plan) AnnounceTime() time.Duration { return plan.reserve * announcePercent / 100 }

// AdminTime limits the wait for requests in progress at the admin address.
func (plan Plan) AdminTime() time.Duration { return plan.reserve * adminPercent / 100 }

// Accepts reports whether a call is accepted that was read at the time now. In the notice
// period all calls are, because callers need some time to notice that the node stops.
func (plan Plan) Accepts(now, deadline time.Time) bool {
	return now.Before(plan.noticeEnd) || !deadline.After(plan.cutOff)
}

// MaySend reports whether a call may be sent to a target at the time now, or may still wait
// for one. A call that is refused instead can be sent again, while one that is cut off may
// have run.
func (plan Plan) MaySend(now, deadline time.Time) bool {
	return now.Before(plan.dropAt) || !deadline.After(plan.cutOff)
}
