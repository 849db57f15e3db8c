package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// failTask reports the failure of a started task.
func (w *simulation) failTask(s Start, number int64) {
	w.plan.StartDone(w.now, s, w.outcome(Accepted))
	e := w.plan.executors[s.Executor]
	e.holdOpen = false
	w.plan.HoldDone(w.now, Hold{Target: s.Target}, Report{
		Outcome: w.outcome(Accepted), StartedMs: 1000,
		Ended: []EndReport{{Number: number, Task: s.Task, Attempt: s.Attempt, Ending: EndedFailed}},
	})
}

// Guards against a pool that starts nothing for seconds because all its
// executors are doubtful.
func TestDoubtfulExecutorIsBetterThanNone(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1")
	number := int64(0)
	for _, job := range []string{"a", "b", "c", "d"} {
		w.addJob(job, false, step(1))
		for range 3 {
			w.advance(20 * time.Millisecond)
			number++
			w.failTask(w.takeStart(), number)
		}
	}
	assert.Assert(t, w.now.Before(w.plan.executors["1"].avoidUntil), "the executor has failed all jobs")
	w.addJob("good", false, step(1))
	w.advance(50 * time.Millisecond)
	assert.Assert(t, len(w.starts) > 0)
}

// Guards against executors that get no work because of jobs that can never run.
func TestHopelessJobsDoNotCountAgainstExecutors(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1", "2")
	numbers := make(map[string]int64)
	for _, job := range []string{"a", "b", "c", "d", "e", "f"} {
		w.addJob(job, false, step(1))
		for range 3 {
			w.advance(50 * time.Millisecond)
			s := w.takeStart()
			numbers[s.Executor]++
			w.failTask(s, numbers[s.Executor])
		}
	}
	// While executor 1 is avoided, a job fails on executor 2 first.
	assert.Assert(t, w.plan.executors["2"].consecutiveFailures < maxConsecutiveFailures, "most jobs had failed on executor 1 before")
}

// Guards against a task that fails for good because all its attempts ran on the
// one executor that fails everything.
func TestRetryGoesToAnotherExecutor(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1", "2")
	w.addJob("a", false, step(1))
	w.step()
	first := w.takeStart()
	w.failTask(first, 1)
	w.advance(50 * time.Millisecond)
	assert.Assert(t, w.takeStart().Executor != first.Executor)
}
