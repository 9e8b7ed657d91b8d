package admit

import (
	"math"
	"sync"
	"time"
)

const (
	// statedKept is how many stated timeouts are kept for each route.
	statedKept = 64
	// usualCount is how often a timeout must be among them to count as one of first calls.
	usualCount = 3
	// maxStatedRoutes limits the routes whose timeouts are kept. Routes come and go.
	maxStatedRoutes = 2048
)

// Elapsed holds the timeouts that callers stated recently. A caller that comes back after a
// refusal states what is left of its time, which is seldom twice the same, while first calls
// state the same few values again and again. The lock guards routes.
type Elapsed struct {
	lock   sync.Mutex
	routes map[string]*timeoutRing
}

// timeoutRing holds the latest stated timeouts of a route, in milliseconds.
type timeoutRing struct {
	stated []int64
	next   int
	// counts contains how often each value is in stated.
	counts map[int64]int
}

// NewElapsed returns an Elapsed without timeouts.
func NewElapsed() *Elapsed {
	return &Elapsed{routes: map[string]*timeoutRing{}}
}

// Observe records a stated timeout and returns how long its call has been waiting: the time
// to the next longer timeout that is usual on the route, or zero if the stated one is usual
// or there is no longer one.
func (elapsed *Elapsed) Observe(route string, stated time.Duration) time.Duration {
	elapsed.lock.Lock()
	defer elapsed.lock.Unlock()
	ring := elapsed.routes[route]
	if ring == nil {
		if len(elapsed.routes) >= maxStatedRoutes {
			clear(elapsed.routes)
		}
		ring = &timeoutRing{counts: map[int64]int{}}
		elapsed.routes[route] = ring
	}
	ring.add(stated.Milliseconds())
	usual := int64(math.MaxInt64)
	for value, count := range ring.counts {
		if count >= usualCount && value >= stated.Milliseconds() {
			usual = min(usual, value)
		}
	}
	if usual == math.MaxInt64 {
		return 0
	}
	return max(0, time.Duration(usual)*time.Millisecond-stated)
}

// add replaces the oldest value of a full ring.
func (ring *timeoutRing) add(value int64) {
	ring.counts[value]++
	if len(ring.stated) < statedKept {
		ring.stated = append(ring.stated, value)
		return
	}
	oldest := ring.stated[ring.next]
	if ring.counts[oldest]--; ring.counts[oldest] == 0 {
		delete(ring.counts, oldest)
	}
	ring.stated[ring.next] = value
	ring.next = (ring.next + 1) % statedKept
}
