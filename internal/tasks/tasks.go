// Package tasks runs goroutines that take a context and report their end to
// their owner.
package tasks

import (
	"context"
	"sync"
	"time"
)

// End tells that a task is over. Err is nil for a planned end.
type End struct {
	Name string
	Err  error
}

// Group is a set of tasks with one owner.
type Group struct {
	ends    chan End
	running sync.WaitGroup
}

// New returns a group whose owner may leave up to the given number of ends
// unread.
func New(capacity int) *Group { return &Group{ends: make(chan End, capacity)} }

// Go starts a task. Its end is sent to Ends, or is dropped when the owner has
// left too many unread.
func (group *Group) Go(ctx context.Context, name string, run func(ctx context.Context) error) {
	group.running.Go(func() {
		err := run(ctx)
		select {
		case group.ends <- End{Name: name, Err: err}:
		default:
		}
	})
}

// Ends delivers the end of each task.
func (group *Group) Ends() <-chan End { return group.ends }

// Wait returns when every task has ended.
func (group *Group) Wait() { group.running.Wait() }

// Every runs a function once in each period until the context ends. It is the
// body of a task that never fails.
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
