// Package intake decides how fast a node lets others send it large request bodies, so
// that small messages do not wait behind them in the queue of the node's link.
//
// A body is granted to its sender in parts. The bytes that were granted and have not
// arrived are in the link or in the sender; their sum is the longest queue that bodies
// can form in the link. It is limited, and the next part is granted as soon as bytes
// arrive, so that the link is always in use. The limit is what the link carries in a short
// time at the measured rate, but not less than an ordinary link between zones needs.
//
// The package uses no clock, socket or goroutine: callers pass in the current time.
package intake

import (
	"slices"
	"time"
)

const (
	// minLimit and maxLimit are the bounds of the limit on the granted bytes that have not
	// arrived. minLimit takes 78 ms on a link of 837 KB/s, and 10 MB/s are possible with it
	// at a round trip of 6 ms.
	minLimit = 64 << 10
	maxLimit = 4 << 20
	// limitTime is the time that the link takes for the limit, on links that carry more
	// than minLimit in that time.
	limitTime = 60 * time.Millisecond
	// overdueAfter is how long a part may take to arrive before its sender, and not the
	// link, is considered to be slow. minLimit takes 238 ms on the slowest link
	// (275 KB/s).
	overdueAfter = 300 * time.Millisecond
	// smallestPart is the part that a slow sender is granted.
	smallestPart = 16 << 10
	// maxOutstandingOfSlow limits the outstanding bytes of slow senders, which are not
	// counted against the limit. It limits the queue if the link is slow after all.
	maxOutstandingOfSlow = 128 << 10
	// measureFor is the time in use over which the rate of arrival is measured.
	measureFor = 100 * time.Millisecond
	// rateValidFor is how long a measured rate is used. Without one, no body is refused: on
	// a fast network, large bodies would be refused by an assumed or outdated rate.
	rateValidFor = 10 * time.Second
	// minRate is the lowest rate with which the arrival of a body is predicted. A node
	// gives up bodies that are slower.
	minRate = 64 << 10
)

// Body is a body that was announced. It belongs to one Intake.
type Body struct {
	size     int
	deadline time.Time
	// maxWait is the longest expected wait for the first part; zero means no limit.
	maxWait time.Duration
	grant   func(bytes int)
	// granted and received are numbers of bytes. A sender that ignores the grants may
	// have sent more than was granted.
	granted  int
	received int
	// parts are the granted parts that have not arrived, the oldest first.
	parts []part
	// slow is true from when a part is overdue until a part arrives in time.
	slow bool
}

// part is a granted part of a body. It has arrived once that many bytes were received.
type part struct {
	end     int
	granted time.Time
}

// NewBody returns a body of the given size that must be complete at the deadline. The
// function grant is called from within methods of Intake, with the number of bytes that
// the sender may send in addition. It must not block.
func NewBody(size int, deadline time.Time, grant func(bytes int)) *Body {
	return &Body{size: size, deadline: deadline, grant: grant}
}

func (body *Body) outstanding() int { return max(0, body.granted-body.received) }

func (body *Body) missing() int { return max(0, body.size-body.received) }

// SetMaxWait makes Arrive refuse the body if its first part is expected to be granted
// later than after the given time.
func (body *Body) SetMaxWait(wait time.Duration) { body.maxWait = wait }

// update forgets the parts that have arrived and determines whether the sender is slow.
func (body *Body) update(now time.Time) {
	for len(body.parts) > 0 && body.received >= body.parts[0].end {
		body.slow = now.Sub(body.parts[0].granted) >= overdueAfter
		body.parts = body.parts[1:]
	}
	if len(body.parts) > 0 && now.Sub(body.parts[0].granted) >= overdueAfter {
		body.slow = true
	}
}

// Intake grants the bodies that a node receives. It is not safe for concurrent use.
type Intake struct {
	// bodies are sorted: those that were granted a part come first, and among each kind
	// the one with the earliest deadline.
	bodies []*Body
	// rate is the rate of arrival in bytes per second that was measured until ratedAt,
	// which is that of the link or of the senders, whichever is lower.
	rate    float64
	ratedAt time.Time
	// measured is the number of bytes that have arrived in the present measurement, which
	// has lasted for measuredFor. usedSince is the time until which it was counted; it is
	// zero unless a body has as many bytes outstanding as it may.
	measured    int
	measuredFor time.Duration
	usedSince   time.Time
}

// New returns an intake without bodies.
func New() *Intake { return &Intake{} }

// Arrive adds a body. It returns false, and does not add it, if the body is not expected
// to be complete at its deadline or to begin within its maximum wait. The expectation is
// optimistic: the body begins beside the largest one of those ahead, and then has the
// whole link. No body is refused while there is no other one, because a rate that was
// measured with small bodies says little about the link.
func (intake *Intake) Arrive(now time.Time, body *Body) bool {
	ahead, largest := 0, 0
	for _, other := range intake.bodies {
		if !other.slow && (other.granted > 0 || !body.deadline.Before(other.deadline)) {
			ahead += other.missing()
			largest = max(largest, other.missing())
		}
	}
	wait := intake.transferTime(now, ahead-largest)
	if len(intake.bodies) > 0 && (now.Add(wait+intake.transferTime(now, body.size)).After(body.deadline) || body.maxWait > 0 && wait > body.maxWait) {
		return false
	}
	intake.bodies = append(intake.bodies, body)
	intake.grantParts(now)
	return true
}

// isRated reports whether the rate was measured recently.
func (intake *Intake) isRated(now time.Time) bool {
	return !intake.ratedAt.IsZero() && now.Sub(intake.ratedAt) <= rateValidFor
}

// transferTime returns how long the link takes for bytes, or zero if that is not known.
func (intake *Intake) transferTime(now time.Time, bytes int) time.Duration {
	if !intake.isRated(now) {
		return 0
	}
	return time.Duration(float64(bytes) / intake.rate * float64(time.Second))
}

// Received records that bytes of a body have arrived.
func (intake *Intake) Received(now time.Time, body *Body, bytes int) {
	intake.measure(now, bytes)
	body.received += bytes
	intake.grantParts(now)
}

// End removes a body that is complete or is no longer wanted.
func (intake *Intake) End(now time.Time, body *Body) {
	intake.measure(now, 0)
	intake.bodies = slices.DeleteFunc(intake.bodies, func(other *Body) bool { return other == body })
	intake.grantParts(now)
}

// Advance grants what has become possible because senders turned out to be slow. It is to
// be called repeatedly while bodies wait for their first grant.
func (intake *Intake) Advance(now time.Time) { intake.grantParts(now) }

// measure counts arrived bytes and the time in which bytes were outstanding.
func (intake *Intake) measure(now time.Time, bytes int) {
	if intake.usedSince.IsZero() {
		return
	}
	intake.measuredFor += now.Sub(intake.usedSince)
	intake.usedSince = now
	intake.measured += bytes
	if intake.measuredFor < measureFor {
		return
	}
	sample := float64(intake.measured) / intake.measuredFor.Seconds()
	if !intake.isRated(now) {
		intake.rate = sample
	}
	// A sample may be low because of a slow sender, but not high.
	intake.rate, intake.ratedAt = max(minRate, sample, intake.rate+(sample-intake.rate)/4), now
	intake.measured, intake.measuredFor = 0, 0
}

// grantParts grants as much as the limits allow. A body that was granted a part comes
// before all that wait for their first one, so that few bodies are in progress and each
// of them holds a slot of the target for a short time.
func (intake *Intake) grantParts(now time.Time) {
	slices.SortStableFunc(intake.bodies, func(a, b *Body) int {
		if (a.granted > 0) != (b.granted > 0) {
			if a.granted > 0 {
				return -1
			}
			return 1
		}
		return a.deadline.Compare(b.deadline)
	})
	limit := intake.limit(now)
	counted, slow := 0, 0
	for _, body := range intake.bodies {
		body.update(now)
		if body.slow {
			slow += body.outstanding()
		} else {
			counted += body.outstanding()
		}
	}
	// A part is kept for each body that has begun, which may hold a slot of the target.
	kept := 0
	for _, body := range intake.bodies {
		kept += body.keptPart(limit / 4)
	}
	for _, body := range intake.bodies {
		kept -= body.keptPart(limit / 4)
		if body.slow {
			slow += body.grantPart(now, min(maxOutstandingOfSlow-slow, smallestPart-body.outstanding()), smallestPart)
		} else {
			counted += body.grantPart(now, min(limit-counted-kept, limit/2-body.outstanding()), limit/4)
		}
	}
	if counted < limit/4 {
		intake.usedSince = time.Time{}
	} else if intake.usedSince.IsZero() {
		intake.usedSince = now
	}
}

// limit returns the limit on the bytes that are outstanding for all bodies that are not
// slow. Half of it is the limit for one body, so that a slow sender leaves the other half
// to others, and a quarter of it is the smallest part, because each grant costs a message.
func (intake *Intake) limit(now time.Time) int {
	if !intake.isRated(now) {
		return minLimit
	}
	return min(max(minLimit, int(intake.rate*limitTime.Seconds())), maxLimit)
}

// keptPart returns the bytes of the limit that are kept for the body.
func (body *Body) keptPart(part int) int {
	if body.slow || body.granted == 0 || body.outstanding() > 0 {
		return 0
	}
	return min(part, body.missing())
}

// grantPart grants up to the given number of bytes if that is enough for a part, and
// returns what it has granted.
func (body *Body) grantPart(now time.Time, room, smallest int) int {
	begin := max(body.granted, body.received)
	bytes := min(body.size-begin, room)
	if bytes <= 0 || bytes < min(body.size-begin, smallest) {
		return 0
	}
	body.granted = begin + bytes
	body.parts = append(body.parts, part{end: body.granted, granted: now})
	body.grant(bytes)
	return bytes
}
