package ring

import (
	"context"

	"github.com/uber-go/tally/v4"
)

// Workers are equal duties that carry out calls of another duty, so that calls
// which do not depend on each other take no longer than the slowest of them.
type Workers struct {
	pending *Ring[call]
}

// call is one call; done is told when it has ended.
type call struct {
	run  func(context.Context)
	done *Ring[struct{}]
}

// NewWorkers returns workers whose ring has room for capacity calls. Perform has
// to be registered as a duty as often as there are to be workers.
func NewWorkers(name string, capacity int, scope tally.Scope) *Workers {
	return &Workers{pending: New[call](name, capacity, scope)}
}

// Run is the duty of one worker.
func (w *Workers) Run(ctx context.Context) {
	for {
		j, err := w.pending.Take(ctx)
		if err != nil {
			return
		}
		j.run(ctx)
		j.done.Offer(struct{}{})
	}
}

// RunAll has all calls carried out and returns when they have ended, or ctx
// has. No two of them may write the same state, and the caller may read what
// they have written only when the result is true.
func (w *Workers) RunAll(ctx context.Context, runs ...func(context.Context)) bool {
	if len(runs) == 0 {
		return true
	}
	done := New[struct{}]("workers.done", len(runs), nil)
	for _, run := range runs {
		if w.pending.Put(ctx, call{run, done}) != nil {
			return false
		}
	}
	for range runs {
		if _, err := done.Take(ctx); err != nil {
			return false
		}
	}
	return true
}
