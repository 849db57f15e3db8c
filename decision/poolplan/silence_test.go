package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Guards against a task that waits for ever for an executor that is gone: each
// report asked for in vain extended the lease that had to run out.
func TestTaskOfGoneExecutorStartsAgain(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1")
	w.addJob("a", false, step(1))
	w.step()
	w.plan.StartDone(w.now, w.takeStart(), w.outcome(Accepted))
	w.register("2")
	begin := w.now
	for len(w.starts) == 0 {
		w.advance(100 * time.Millisecond)
		for range len(w.holds) {
			w.plan.HoldDone(w.now, w.takeHold(), Report{Outcome: w.outcome(NotSent)})
		}
		assert.Assert(t, w.now.Sub(begin) < 20*time.Second, "the task does not start again")
	}
	assert.Assert(t, w.now.Sub(begin) >= testParams.MaxLease-testParams.MaxLease/20, "started after %v, within the lease", w.now.Sub(begin))
	assert.Equal(t, w.takeStart().Executor, "2")
}

// Guards against a copy that starts after the first run has ended and its end
// was listed in a report that has not arrived yet.
func TestCopyWaitsUntilTheExecutorHasLeft(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1")
	s := step(1)
	s.Speculative = true
	w.addJob("a", false, s)
	w.step()
	w.plan.StartDone(w.now, w.takeStart(), w.outcome(Accepted))
	w.register("1", "2")
	pass := func(d time.Duration) {
		for end := w.now.Add(d); w.now.Before(end); {
			w.advance(100 * time.Millisecond)
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

// Guards against a second run of a task that has ended: the answer to its start
// was late, and the repeat of the start was refused because the run was over.
func TestRepeatedStartOfEndedRun(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1")
	w.addJob("a", false, step(1))
	w.step()
	first := w.takeStart()
	w.plan.StartDone(w.now, first, w.outcome(NoAnswer))
	w.step()
	repeat := w.takeStart()
	assert.Equal(t, repeat.Attempt, first.Attempt)
	w.now = w.now.Add(time.Second)
	w.plan.StartDone(w.now, repeat, w.outcome(RefusedOld))
	w.step()
	assert.Equal(t, len(w.starts), 0, "started again before a report")
	w.now = w.now.Add(100 * time.Millisecond)
	w.answerHold(Hold{Target: first.Target}, nil, EndReport{Number: 1, Task: first.Task, Attempt: first.Attempt, Ending: EndedDone})
	assert.Equal(t, len(w.starts), 0)
	assert.Equal(t, w.plan.Saves(1)[0].Progress.State, workload.Completed)
}

// Guards against executors that are never used again: one that did not answer
// once and runs nothing was not asked for a report any more, and when that
// happened to all of a pool, its jobs waited for ever.
func TestIdleSilentExecutorIsAskedAgain(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1")
	w.addJob("a", false, step(1))
	w.step()
	w.plan.StartDone(w.now, w.takeStart(), w.outcome(NotSent))
	w.plan.HoldDone(w.now, w.takeHold(), Report{Outcome: w.outcome(NoAnswer)})
	for range 30 {
		w.advance(100 * time.Millisecond)
		for range len(w.holds) {
			w.answerHold(w.takeHold(), nil)
		}
	}
	assert.Equal(t, w.takeStart().Executor, "1")
}
