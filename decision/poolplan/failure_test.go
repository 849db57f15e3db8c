package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fail reports the failure of a started task.
func (w *world) fail(s Start, number int64) {
	w.plan.StartDone(w.now, s, w.outcome(Accepted))
	e := w.plan.executors[s.Executor]
	e.holding = false
	w.plan.HoldDone(w.now, Hold{Target: s.Target}, Report{
		Outcome: w.outcome(Accepted), Born: 1000,
		Ended: []EndReport{{Number: number, Task: s.Task, Attempt: s.Attempt, Ending: EndedFailed}},
	})
}

// Guards against a pool that starts nothing for seconds, because jobs that can
// never run have made all its executors doubtful.
func TestHopelessJobsDoNotStopThePool(t *testing.T) {
	w := newWorld(t, 1)
	w.register("1", "2")
	for _, job := range []string{"a", "b", "c", "d", "e"} {
		w.job(job, false, step(1))
	}
	numbers := make(map[string]int64)
	for range 40 {
		w.pass(50 * time.Millisecond)
		for len(w.starts) > 0 {
			s := w.takeStart()
			numbers[s.Executor]++
			w.fail(s, numbers[s.Executor])
		}
	}
	w.job("good", false, step(1))
	for range 10 {
		w.pass(50 * time.Millisecond)
	}
	assert.Equal(t, w.takeStart().Task.Job, "good")
}

// Guards against a task that fails for good because all its attempts ran on the
// one executor that fails everything.
func TestRetryGoesToAnotherExecutor(t *testing.T) {
	w := newWorld(t, 1)
	w.register("1", "2")
	w.job("a", false, step(1))
	w.step()
	first := w.takeStart()
	w.fail(first, 1)
	w.pass(50 * time.Millisecond)
	assert.Assert(t, w.takeStart().Executor != first.Executor)
}
