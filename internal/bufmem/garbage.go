package bufmem

import (
	"runtime"
	"runtime/metrics"
)

// Collector is the garbage collector of the process.
type Collector interface {
	// Cycles returns how many collections have been completed.
	Cycles() uint64
	// Collect frees everything that is unreachable when it is called.
	Collect()
}

// Runtime is the collector of Go's runtime.
type Runtime struct{}

// Cycles implements Collector.
func (Runtime) Cycles() uint64 {
	sample := []metrics.Sample{{Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}

// Collect implements Collector.
func (Runtime) Collect() { runtime.GC() }

// garbage is memory that holds have returned and that may not be collected yet. It is
// guarded by the lock of the budget.
type garbage struct {
	// collector is nil if returned memory counts as free at once.
	collector Collector
	// batches are in the order of their cycles. bytes is the sum of all batches.
	batches []batch
	bytes   int64
	// collecting is true while a goroutine runs a collection.
	collecting bool
	// forced counts these collections.
	forced int64
}

// batch is the memory that was returned after a number of completed collections.
type batch struct {
	cycles uint64
	bytes  int64
}

// collectedAfter is the number of completed collections after which returned memory is
// certainly collected: one may have been in progress when it was returned.
const collectedAfter = 2

// CountGarbage makes the budget count returned memory until it is collected. Call it
// before the budget is used.
func (budget *Budget) CountGarbage(collector Collector) { budget.garbage.collector = collector }

// Garbage returns the number of returned bytes that may not be collected yet.
func (budget *Budget) Garbage() int64 {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	return budget.garbage.bytes
}

// Collections returns how many collections were run to make room.
func (budget *Budget) Collections() int64 {
	budget.lock.Lock()
	defer budget.lock.Unlock()
	return budget.garbage.forced
}

// add notes memory that a hold has returned.
func (garbage *garbage) add(bytes int64) {
	if garbage.collector == nil {
		return
	}
	cycles := garbage.collector.Cycles()
	garbage.dropBefore(cycles)
	if last := len(garbage.batches) - 1; last >= 0 && garbage.batches[last].cycles == cycles {
		garbage.batches[last].bytes += bytes
	} else {
		garbage.batches = append(garbage.batches, batch{cycles, bytes})
	}
	garbage.bytes += bytes
}

// dropBefore forgets the memory that is collected after that number of collections.
func (garbage *garbage) dropBefore(cycles uint64) {
	for len(garbage.batches) > 0 && garbage.batches[0].cycles+collectedAfter <= cycles {
		garbage.bytes -= garbage.batches[0].bytes
		garbage.batches = garbage.batches[1:]
	}
}

// overflows reports whether the uncollected memory leaves too little room for a hold to
// take more bytes. The lock must be held.
func (budget *Budget) overflows(bytes int64) bool {
	garbage := &budget.garbage
	if garbage.bytes == 0 || budget.held+garbage.bytes+bytes <= budget.sizes.Overall {
		return false
	}
	garbage.dropBefore(garbage.collector.Cycles())
	return garbage.bytes > 0 && budget.held+garbage.bytes+bytes > budget.sizes.Overall
}

// collect runs a collection, or waits for the one that another goroutine runs. The lock
// must be held; it is released meanwhile.
func (budget *Budget) collect() {
	garbage := &budget.garbage
	if garbage.collecting {
		budget.waiting++
		budget.changed.Wait()
		budget.waiting--
		return
	}
	garbage.collecting = true
	garbage.forced++
	// The batches count until the collection has ended.
	bytes := garbage.bytes
	garbage.batches = nil
	budget.lock.Unlock()
	garbage.collector.Collect()
	budget.lock.Lock()
	garbage.bytes -= bytes
	garbage.collecting = false
	budget.changed.Broadcast()
}
