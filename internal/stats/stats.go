// Package stats keeps the counters and histograms of a process.
package stats

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// MaxCustomers bounds the customers with histograms of their own; the rest
// share one.
const MaxCustomers = 64

// OtherCustomer stands for the customers beyond MaxCustomers.
const OtherCustomer = "other"

// Set holds one process's metrics. It is safe for concurrent use.
type Set struct {
	set       *metrics.Set
	lock      sync.Mutex
	customers map[string]bool
}

// New returns an empty set.
func New() *Set {
	return &Set{set: metrics.NewSet(), customers: map[string]bool{}}
}

// Count adds to a counter. The name may carry labels.
func (set *Set) Count(name string, delta int) {
	set.set.GetOrCreateCounter(name).Add(delta)
}

// Value returns a counter's value.
func (set *Set) Value(name string) uint64 { return set.set.GetOrCreateCounter(name).Get() }

// Gauge has the value read from a function when metrics are written.
func (set *Set) Gauge(name string, read func() float64) {
	set.set.GetOrCreateGauge(name, read)
}

// Observe adds a duration to a histogram, in seconds.
func (set *Set) Observe(name string, duration time.Duration) {
	set.set.GetOrCreateHistogram(name).Update(duration.Seconds())
}

// ObserveCall records one call's outcome and duration by customer and class.
func (set *Set) ObserveCall(customer, class, outcome string, duration time.Duration) {
	customer = set.customerLabel(customer)
	set.Count(fmt.Sprintf(`vp_calls_total{customer=%q,class=%q,outcome=%q}`, customer, class, outcome), 1)
	set.Observe(fmt.Sprintf(`vp_call_duration_seconds{customer=%q,class=%q}`, customer, class), duration)
}

func (set *Set) customerLabel(customer string) string {
	set.lock.Lock()
	defer set.lock.Unlock()
	if set.customers[customer] {
		return customer
	}
	if len(set.customers) >= MaxCustomers {
		return OtherCustomer
	}
	set.customers[customer] = true
	return customer
}

// Write writes all metrics of the set and of the process in text form.
func (set *Set) Write(out io.Writer) {
	set.set.WritePrometheus(out)
	metrics.WriteProcessMetrics(out)
}
