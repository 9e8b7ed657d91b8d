// Package bufmem shares the memory of a process among the connections that have not
// finished a request, and among the bodies of the calls in progress.
//
// The load it answers is thousands of connections of clients that nobody controls,
// beside the connections of ordinary clients. When the memory is exhausted, the
// connection with the least progress for its size gives way.
//
// The package uses no clock or goroutine of its own, and no input or output.
package bufmem

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrExhausted reports that a client may not take more memory at present.
var ErrExhausted = errors.New("the memory for requests and message bodies is exhausted")

const (
	// reserveDivisor sets the part of the general memory that is for holds of up to
	// smallHold bytes, half of it for those of proven clients: 1/reserveDivisor. The
	// large hold leaves it to the others.
	reserveDivisor = 8
	// smallHold is the size of a hold up to which it may use the reserve.
	smallHold = 256 << 10
	// largeDivisor sets the size from which a hold is the large one, of which there is
	// one at a time: 1/largeDivisor of the general memory.
	largeDivisor = 2
)

// Sizes are the numbers of bytes that a Budget shares.
type Sizes struct {
	// General is the memory of all holds except the large one.
	General int64
	// Overall is the memory of all holds, with the large one.
	Overall int64
}

const (
	// generalPercent is the part of the process's memory for general use. The heap
	// may grow to twice of what is in use, and the program itself needs about 20 MiB.
	generalPercent = 30
	// overallPercent also covers one large body that is copied while it grows. A node
	// with 184 MiB can thus take one body of 64 MiB.
	overallPercent = 58
)

// SizesOf returns the part of a process's memory, in MiB, that a budget shares.
func SizesOf(memoryMB float64) Sizes {
	bytes := memoryMB * (1 << 20)
	return Sizes{General: int64(bytes * generalPercent / 100), Overall: int64(bytes * overallPercent / 100)}
}

// Budget is the memory that all connections and bodies of a process share. It is safe
// for concurrent use. Lock order: the lock of the budget before the locks that
// a Client's evict function takes.
type Budget struct {
	sizes Sizes
	now   func() time.Time
	// started is the origin of the times of progress.
	started time.Time

	lock sync.Mutex
	// changed is broadcast when memory is returned while holds wait for it, and when
	// a client is evicted.
	changed *sync.Cond
	waiting int
	// held is the sum of the bytes of all holds, and peak its largest value.
	// 0 <= held <= sizes.Overall, except that Replace may exceed it.
	held, peak int64
	// garbage is memory that was returned and may not be collected yet. The sum of it and
	// held is at most sizes.Overall, with the same exception.
	garbage garbage
	// large is the large hold, or nil.
	large *Hold
	// clients are the open connections whose memory can be taken back.
	clients map[*Client]struct{}
	// evicted and refused count the clients evicted and the requests for memory refused.
	evicted, refused int64
}

// New returns a budget of the given sizes.
func New(sizes Sizes, now func() time.Time) *Budget {
	budget := &Budget{sizes: sizes, now: now, started: now(), clients: map[*Client]struct{}{}}
	budget.changed = sync.NewCond(&budget.lock)
	return budget
}

// MaxBody returns the number of bytes that one hold can take if nothing else goes on.
// It leaves room for the connections of its call.
func (budget *Budget) MaxBody() int {
	return int(budget.sizes.Overall - budget.reserve() - smallHold)
}

func (budget *Budget) reserve() int64 { return budget.sizes.General / reserveDivisor }

// Held returns the number of bytes that are held at present.
func (budget *Budget) Held() int64 {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	return budget.held
}

// Peak returns the largest number of bytes that were held at the same time.
func (budget *Budget) Peak() int64 {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	return budget.peak
}

// Evicted returns how many clients were evicted.
func (budget *Budget) Evicted() int64 {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	return budget.evicted
}

// Refused returns how many requests for memory were refused.
func (budget *Budget) Refused() int64 {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	return budget.refused
}

// NewHold returns a hold without bytes that belongs to no client, so that its memory
// cannot be taken back.
func (budget *Budget) NewHold() *Hold { return &Hold{budget: budget} }

// Hold is the part of the budget that one connection or one call holds. It is safe
// for concurrent use.
type Hold struct {
	budget *Budget
	// client is the connection that is closed to take the memory back, or nil.
	client *Client
	// bytes is guarded by the lock of the budget.
	bytes int64
}

// Grow takes more bytes. If too little is free, it evicts clients that have made less
// progress for their size and waits for their memory, and runs a garbage collection if
// returned memory is not collected yet. It returns ErrExhausted, and
// takes nothing, if there are none or if this client itself is evicted.
func (hold *Hold) Grow(bytes int64) error {
	budget := hold.budget
	budget.lock.Lock()
	defer budget.lock.Unlock()
	for !budget.fits(hold, bytes) || budget.overflows(bytes) {
		if budget.fits(hold, bytes) {
			budget.collect()
			continue
		}
		if hold.client != nil && hold.client.evicting || !budget.makeRoom(hold, bytes) {
			budget.refused++
			return ErrExhausted
		}
		// The memory is returned by the goroutine of an evicted client, which is
		// woken by the close of its connection or by the broadcast of makeRoom.
		budget.waiting++
		budget.changed.Wait()
		budget.waiting--
	}
	budget.add(hold, bytes)
	return nil
}

// fits reports whether a hold may take more bytes. The lock must be held.
func (budget *Budget) fits(hold *Hold, bytes int64) bool {
	return budget.missing(hold, bytes) <= 0
}

// missing returns how many bytes are missing for a hold to take more bytes; it is not
// positive if none are. The lock must be held.
func (budget *Budget) missing(hold *Hold, bytes int64) int64 {
	overall := budget.held + bytes - budget.sizes.Overall
	general := budget.held
	if budget.large != nil {
		general -= budget.large.bytes
	}
	if budget.isLarge(hold, bytes) {
		if budget.large != nil && budget.large != hold {
			// One large hold is served at a time.
			return max(1, overall)
		}
		return overall + budget.reserve()
	}
	reserve := budget.reserve()
	if hold.bytes+bytes <= smallHold {
		if reserve /= 2; hold.client == nil || hold.client.proven {
			reserve = 0
		}
	}
	return max(overall, general+bytes-budget.sizes.General) + reserve
}

// isLarge reports whether a hold is the large one or would become it.
func (budget *Budget) isLarge(hold *Hold, bytes int64) bool {
	return budget.large == hold || hold.bytes+bytes > budget.sizes.General/largeDivisor
}

// add changes the bytes of a hold. The lock must be held.
func (budget *Budget) add(hold *Hold, bytes int64) {
	if bytes > 0 && budget.isLarge(hold, bytes) && budget.large == nil {
		budget.large = hold
	}
	hold.bytes += bytes
	budget.held += bytes
	if bytes < 0 {
		budget.garbage.add(-bytes)
	}
	if hold.client != nil {
		hold.client.bytes += bytes
	}
	budget.peak = max(budget.peak, budget.held)
	if hold.bytes == 0 && budget.large == hold {
		budget.large = nil
	}
	if bytes < 0 && budget.waiting > 0 {
		budget.changed.Broadcast()
	}
}

// Shrink returns some of the bytes of the hold.
func (hold *Hold) Shrink(bytes int64) {
	hold.budget.lock.Lock()
	defer hold.budget.lock.Unlock()
	hold.budget.add(hold, -bytes)
}

// Replace sets the bytes of the hold to those of a message that exists already, such
// as a response. If this exceeds the budget, it evicts clients, perhaps this one, but
// does not wait for their memory.
func (hold *Hold) Replace(bytes int64) {
	budget := hold.budget
	budget.lock.Lock()
	defer budget.lock.Unlock()
	more := bytes - hold.bytes
	if more > 0 && !budget.fits(hold, more) && !budget.makeRoom(hold, more) {
		budget.evictAny()
	}
	budget.add(hold, more)
}

// Release returns all bytes of the hold.
func (hold *Hold) Release() {
	hold.budget.lock.Lock()
	defer hold.budget.lock.Unlock()
	hold.budget.add(hold, -hold.bytes)
}

type contextKey struct{}

// NewContext returns a context that carries a hold.
func NewContext(ctx context.Context, hold *Hold) context.Context {
	return context.WithValue(ctx, contextKey{}, hold)
}

// FromContext returns the hold of a context, or nil if it has none.
func FromContext(ctx context.Context) *Hold {
	hold, _ := ctx.Value(contextKey{}).(*Hold)
	return hold
}

// RegisterGauges registers the metrics of the budget.
func (budget *Budget) RegisterGauges(register func(name string, read func() float64)) {
	register("vp_body_memory_bytes", func() float64 { return float64(budget.Held()) })
	register("vp_body_memory_peak_bytes", func() float64 { return float64(budget.Peak()) })
	register("vp_memory_garbage_bytes", func() float64 { return float64(budget.Garbage()) })
	register("vp_memory_collections_total", func() float64 { return float64(budget.Collections()) })
	register("vp_memory_evicted_clients_total", func() float64 { return float64(budget.Evicted()) })
	register("vp_memory_refusals_total", func() float64 { return float64(budget.Refused()) })
}
