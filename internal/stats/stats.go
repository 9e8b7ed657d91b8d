// Package stats holds the counters, gauges and histograms of a process.
package stats

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// MaxCustomerLabels is the maximum number of customers that have metrics with a
// label of their own. All further customers share the label OtherCustomer.
const MaxCustomerLabels = 64

// OtherCustomer is the customer label for all customers beyond MaxCustomerLabels.
const OtherCustomer = "other"

// Set holds the metrics of one process. It is safe for concurrent use.
type Set struct {
	set *metrics.Set
	// lock guards customers.
	lock sync.Mutex
	// customers contains each customer that has metrics with a label of its own.
	customers map[string]bool
}

// New returns an empty set.
func New() *Set {
	return &Set{set: metrics.NewSet(), customers: map[string]bool{}}
}

// Count adds delta to a counter. The name may include labels.
func (set *Set) Count(name string, delta int) {
	set.set.GetOrCreateCounter(name).Add(delta)
}

// Value returns the value of a counter. If the counter does not exist, Value creates
// it with the value 0.
func (set *Set) Value(name string) uint64 { return set.set.GetOrCreateCounter(name).Get() }

// Gauge registers a gauge whose value is read with the function each time the
// metrics are written.
func (set *Set) Gauge(name string, read func() float64) {
	set.set.GetOrCreateGauge(name, read)
}

// Observe adds a duration to a histogram, in seconds.
func (set *Set) Observe(name string, duration time.Duration) {
	set.set.GetOrCreateHistogram(name).Update(duration.Seconds())
}

// ObserveCall counts a call by customer, class and outcome, and records its duration
// by customer and class.
func (set *Set) ObserveCall(customer, class, outcome string, duration time.Duration) {
	customer = set.customerLabel(customer)
	set.Count(fmt.Sprintf(`vp_calls_total{customer=%q,class=%q,outcome=%q}`, customer, class, outcome), 1)
	set.Observe(fmt.Sprintf(`vp_call_duration_seconds{customer=%q,class=%q}`, customer, class), duration)
}

// customerLabel returns the label of a customer: the customer itself, or
// OtherCustomer if MaxCustomerLabels customers already have labels of their own.
func (set *Set) customerLabel(customer string) string {
	set.lock.Lock()
	defer set.lock.Unlock()
	if set.customers[customer] {
		return customer
	}
	if len(set.customers) >= MaxCustomerLabels {
		return OtherCustomer
	}
	set.customers[customer] = true
	return customer
}

// Write writes the metrics of the set, followed by those of the process (memory,
// CPU, Go runtime), in the Prometheus text format.
func (set *Set) Write(out io.Writer) {
	set.set.WritePrometheus(out)
	metrics.WriteProcessMetrics(out)
}
