// Package tasks runs goroutines that are canceled by a context and report to
// their owner when they end.
package tasks

import (
	"context"
	"sync"
	"time"
)

// End reports that a task has ended. Err is the error that the task returned, or
// nil if it ended as planned.
type End struct {
	Name string
	Err  error
}

// Group is a set of tasks with one owner.
type Group struct {
	ends    chan End
	running sync.WaitGroup
}

// New returns a group that buffers up to capacity ends until the owner receives
// them from Ends.
func New(capacity int) *Group { return &Group{ends: make(chan End, capacity)} }

// Go starts a task in a new goroutine. When the task ends, its end is sent to
// Ends, or dropped if the buffer is full.
func (group *Group) Go(ctx context.Context, name string, run func(ctx context.Context) error) {
	group.running.Go(func() {
		err := run(ctx)
		select {
		case group.ends <- End{Name: name, Err: err}:
		default:
		}
	})
}

// Ends returns the channel that receives the ends of the tasks. It is never
// closed.
func (group *Group) Ends() <-chan End { return group.ends }

// Wait blocks until all tasks have ended.
func (group *Group) Wait() { group.running.Wait() }

// Every calls run once per period until the context is canceled. It always
// returns nil, so that a task can return its result directly.
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
