package bufmem

import (
	"sync/atomic"
	"time"
)

const (
	// progressBytes in progressTime is the rate (64 KiB/s) below which a client
	// counts as stalled. The slowest link of a node carries four times as much.
	progressBytes = 16 << 10
	progressTime  = 250 * time.Millisecond
	// smallerFactor is by how much smaller a hold must be to take memory of a client
	// that makes progress. A hold that is larger than a client by this factor does not
	// take its memory even if it is stalled: many would have to give way to one.
	smallerFactor = 8
	// provenFactor is by how much longer a proven client may be idle than another one
	// of its size before it gives way.
	provenFactor = 8
)

// Client is one connection. Its Progress must be called by one goroutine only.
type Client struct {
	budget *Budget
	// evict ends the connection unless it must be kept, which it reports as false. It
	// is called with the bytes of the client and with the lock of the budget held.
	evict func(bytes int64) bool
	// progress is the time of the last progress in nanoseconds since Budget.started.
	progress atomic.Int64
	// received counts the bytes since then.
	received int

	// The fields below are guarded by the lock of the budget. Field bytes is the sum
	// of the bytes of the client's holds, proven is true once it has sent a whole
	// request, and evicting is true once it was evicted.
	bytes    int64
	proven   bool
	evicting bool
}

// NewClient adds a connection. Call Close when it has ended. The evict function must
// not block and must not call the budget.
func (budget *Budget) NewClient(evict func(bytes int64) bool) *Client {
	client := &Client{budget: budget, evict: evict}
	client.Advance(budget.now())
	budget.lock.Lock()
	defer budget.lock.Unlock()
	budget.clients[client] = struct{}{}
	return client
}

// NewHold returns a hold without bytes. It must be released before Close.
func (client *Client) NewHold() *Hold { return &Hold{budget: client.budget, client: client} }

// Begin notes that a request begins, which counts as progress.
func (client *Client) Begin(now time.Time) {
	client.Advance(now)
	client.received = 0
}

// Advance notes progress. Unlike the other methods it may be called by any goroutine.
func (client *Client) Advance(now time.Time) {
	client.progress.Store(int64(now.Sub(client.budget.started)))
}

// Received notes bytes of a request. Only a rate of progressBytes in progressTime
// counts as progress, so that an occasional byte does not.
func (client *Client) Received(bytes int) {
	if client.received += bytes; client.received >= progressBytes {
		client.Begin(client.budget.now())
	}
}

// Completed notes that the client has sent a whole request, which makes it a proven one.
func (client *Client) Completed() {
	client.budget.lock.Lock()
	defer client.budget.lock.Unlock()
	client.proven = true
}

// Close removes the connection.
func (client *Client) Close() {
	client.budget.lock.Lock()
	defer client.budget.lock.Unlock()
	delete(client.budget.clients, client)
}

// makeRoom evicts clients until the memory that they will return suffices for a hold
// to grow. It reports false if it does not suffice. The lock must be held.
func (budget *Budget) makeRoom(hold *Hold, bytes int64) bool {
	missing := budget.missing(hold, bytes)
	if budget.isLarge(hold, bytes) && budget.large != nil && budget.large != hold {
		// The other large hold gives way only if it is stalled.
		other := budget.large.client
		return other != nil && (other.evicting || budget.isStalled(other) && budget.evict(other))
	}
	for client := range budget.clients {
		if client.evicting {
			missing -= client.bytes
		}
	}
	for missing > 0 {
		victim := budget.victim(hold, bytes)
		if victim == nil {
			return false
		}
		missing -= victim.bytes
	}
	return true
}

// victim evicts the client with the least progress for its size, see evictWorst. Only
// clients that are stalled and not much smaller than the hold, or much larger than it,
// are evicted. It returns nil if there is none. The lock must be held.
func (budget *Budget) victim(hold *Hold, bytes int64) *Client {
	size := hold.bytes + bytes
	return budget.evictWorst(func(client *Client) bool {
		stalled := budget.isStalled(client) && smallerFactor*client.bytes >= size
		return client != hold.client && (stalled || client.bytes >= smallerFactor*size)
	})
}

// evictAny evicts the client with the least progress for its size. The lock must be
// held.
func (budget *Budget) evictAny() { budget.evictWorst(func(*Client) bool { return true }) }

// evictWorst evicts the client with the least progress for its size among those that
// the function admits. That is the one with the largest product of its bytes and the
// time without progress. It returns nil if there is none. The lock must be held.
func (budget *Budget) evictWorst(admits func(*Client) bool) *Client {
	now := int64(budget.now().Sub(budget.started))
	kept := map[*Client]bool{}
	for {
		var worst *Client
		worstScore := float64(-1)
		for client := range budget.clients {
			if client.evicting || client.bytes == 0 || kept[client] || !admits(client) {
				continue
			}
			score := float64(client.bytes) * float64(now-client.progress.Load())
			if client.proven {
				score /= provenFactor
			}
			if score > worstScore {
				worst, worstScore = client, score
			}
		}
		if worst == nil || budget.evict(worst) {
			return worst
		}
		kept[worst] = true
	}
}

// evict closes the connection of a client and reports whether it did. The lock must be
// held.
func (budget *Budget) evict(client *Client) bool {
	if !client.evict(client.bytes) {
		return false
	}
	client.evicting = true
	budget.evicted++
	budget.changed.Broadcast()
	return true
}

func (budget *Budget) isStalled(client *Client) bool {
	return int64(budget.now().Sub(budget.started))-client.progress.Load() > int64(progressTime)
}
