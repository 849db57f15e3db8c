package ring

import (
	"context"

	"github.com/uber-go/tally/v4"
)

// Workers is a pool of identical duties that run calls on behalf of another duty,
// so that a set of independent calls takes no longer than the slowest of them.
type Workers struct {
	pending *Ring[call]
}

// call is one call. done receives true when it has returned, or false when it has
// panicked.
type call struct {
	run  func(context.Context)
	done *Ring[bool]
}

func (c call) perform(ctx context.Context) {
	returned := false
	defer func() { c.done.Offer(returned) }()
	c.run(ctx)
	returned = true
}

// NewWorkers returns a pool whose ring has room for capacity calls. Run must be
// registered as a duty once for each worker.
func NewWorkers(name string, capacity int, scope tally.Scope) *Workers {
	return &Workers{pending: New[call](name, capacity, scope)}
}

// Run is the duty of one worker. It returns when ctx is done.
func (w *Workers) Run(ctx context.Context) {
	for {
		c, err := w.pending.Take(ctx)
		if err != nil {
			return
		}
		c.perform(ctx)
	}
}

// RunAll runs fns on the workers and reports whether all of them returned before
// ctx was done, without a panic. No two of them may write the same state, and the caller may read
// what they wrote only when the result is true.
func (w *Workers) RunAll(ctx context.Context, fns ...func(context.Context)) bool {
	if len(fns) == 0 {
		return true
	}
	done := New[bool]("workers.done", len(fns), nil)
	for _, fn := range fns {
		if w.pending.Put(ctx, call{fn, done}) != nil {
			return false
		}
	}
	allReturned := true
	for range fns {
		returned, err := done.Take(ctx)
		if err != nil {
			return false
		}
		allReturned = allReturned && returned
	}
	return allReturned
}
