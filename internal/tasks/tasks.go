// Package tasks runs goroutines that are canceled by a context and report to
// their owner when they end.
package tasks

import (
	"context"
	"sync"
	"time"
)

// Result is the result of a task that has ended. Err is the error that the task
// returned. It is nil if the task ended as planned.
type Result struct {
	Name string
	Err  error
}

// Group is a set of tasks with one owner.
type Group struct {
	results chan Result
	running sync.WaitGroup
}

// New returns a group whose Results channel has the given capacity.
func New(capacity int) *Group { return &Group{results: make(chan Result, capacity)} }

// Go starts a task in a new goroutine. When the task ends, its result is sent to the
// Results channel. The result is dropped if the owner is not receiving and the
// channel is full.
func (group *Group) Go(ctx context.Context, name string, run func(ctx context.Context) error) {
	group.running.Go(func() {
		err := run(ctx)
		select {
		case group.results <- Result{Name: name, Err: err}:
		default:
		}
	})
}

// Results returns the channel of the results of the tasks. It is never closed.
func (group *Group) Results() <-chan Result { return group.results }

// Wait blocks until all tasks have ended.
func (group *Group) Wait() { group.running.Wait() }

// Every calls run once per period until the context is canceled. The first call
// comes after one period. Every always returns nil, so that a task function can
// return its result directly.
func Every(ctx context.Context, period time.Duration, run func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			run()
		}
	}
}
