package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that waits for ever for an executor that is gone: each
// report asked for in vain extended the lease that had to run out.
func TestTaskOfGoneExecutorStartsAgain(t *testing.T) {
	w := newWorld(t, 1)
	w.register("1")
	w.job("a", false, step(1))
	w.step()
	w.plan.StartDone(w.now, w.takeStart(), w.outcome(Accepted))
	w.register("2")
	begin := w.now
	for len(w.starts) == 0 {
		w.pass(100 * time.Millisecond)
		for range len(w.holds) {
			w.plan.HoldDone(w.now, w.takeHold(), Report{Outcome: w.outcome(NotSent)})
		}
		assert.Assert(t, w.now.Sub(begin) < 20*time.Second, "the task does not start again")
	}
	assert.Assert(t, w.now.Sub(begin) >= testParams.HoldMax-testParams.HoldMax/20, "started after %v, within the lease", w.now.Sub(begin))
	assert.Equal(t, w.takeStart().Executor, "2")
}

// Guards against a copy that starts after the first run has ended and its end
// was listed in a report that has not arrived yet.
func TestCopyWaitsUntilTheExecutorHasLeft(t *testing.T) {
	w := newWorld(t, 1)
	w.register("1")
	s := step(1)
	s.Speculative = true
	w.job("a", false, s)
	w.step()
	w.plan.StartDone(w.now, w.takeStart(), w.outcome(Accepted))
	w.register("1", "2")
	pass := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			w.pass(100 * time.Millisecond)
			for range len(w.holds) {
				w.plan.HoldDone(w.now, w.takeHold(), Report{Outcome: w.outcome(NoAnswer)})
			}
		}
	}
	pass(3 * time.Second)
	assert.Equal(t, len(w.starts), 0, "the executor is still listed")
	w.register("2")
	pass(time.Second)
	assert.Equal(t, w.takeStart().Executor, "2")
}
