package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

func taskID(job string) workload.TaskID { return workload.TaskID{Job: job} }

// Guards against a second run of a task whose executor lost its registry entry
// while it was cut off from the store and went on: a new owner that had granted
// no lease itself took the earlier owner's lease for over.
func TestAdoptedRunOfUnlistedExecutorIsKept(t *testing.T) {
	w := newSimulation(t, 2)
	w.plan.Inherit(w.now, executorInfo("1"))
	w.addJob("a", true, step(1))
	w.register("2")
	w.advance(100 * time.Millisecond)
	for range len(w.holds) {
		h := w.takeHold()
		if h.Executor == "1" {
			w.answerHold(h, []RunReport{{Task: taskID("a"), Attempt: 1, Percent: 40}})
		}
	}
	for range 20 {
		w.advance(50 * time.Millisecond)
	}
	assert.Equal(t, len(w.starts), 0, "the task still runs on executor 1")
}

// Guards against a second run of a task that may run on an executor which
// neither this owner nor the registry reaches.
func TestInheritedTaskWaitsForUnreachableExecutor(t *testing.T) {
	w := newSimulation(t, 2)
	w.plan.Inherit(w.now, executorInfo("1"))
	w.register("2")
	w.addJob("a", true, step(1))
	w.addJob("b", false, step(1))
	begin := w.now
	var running []RunReport
	for len(w.starts) == 0 || w.starts[0].Task.Job != "a" {
		w.advance(100 * time.Millisecond)
		for range len(w.holds) {
			h := w.takeHold()
			if h.Executor == "1" {
				w.plan.HoldDone(w.now, h, Report{Outcome: w.outcome(NoAnswer)})
				continue
			}
			w.answerHold(h, running)
		}
		if len(w.starts) > 0 && w.starts[0].Task.Job == "b" {
			assert.Assert(t, w.now.Sub(begin) < time.Second, "a job that is new to this owner starts at once")
			s := w.takeStart()
			w.plan.StartDone(w.now, s, w.outcome(Accepted))
			running = append(running, runReport(s))
		}
		assert.Assert(t, w.now.Sub(begin) < time.Minute, "the task never starts")
	}
	earliest := testParams.LeaseCap
	assert.Assert(t, w.now.Sub(begin) > earliest, "started after %v; leases of the earlier owner may last %v", w.now.Sub(begin), earliest)
	assert.Assert(t, w.starts[0].Attempt > attemptsPerTerm, "attempt %d may have been used by the earlier owner", w.starts[0].Attempt)
}

// Guards against a new owner that waits for the leases of executors whose
// machines have been moved or maintained since, and run another one now.
func TestLifeOfReusedMachineIsOver(t *testing.T) {
	w := newSimulation(t, 2)
	old := executorInfo("1")
	old.Machine = "m"
	w.plan.Inherit(w.now, old)
	w.addJob("a", true, step(1))
	w.register("2")
	w.step()
	assert.Equal(t, len(w.starts), 0)
	next := executorInfo("3")
	next.Machine, next.StartedMs = "m", 2000
	w.plan.EndReplaced(w.now, []Executor{next, executorInfo("2")})
	for range len(w.holds) {
		w.answerHold(w.takeHold(), nil)
	}
	w.advance(100 * time.Millisecond)
	for range len(w.holds) {
		w.answerHold(w.takeHold(), nil)
	}
	assert.Equal(t, w.takeStart().Executor, "2")
	assert.Assert(t, w.plan.ExecutorRecordOutdated(), "the record still names the old life")
}

// Guards against a start that brings an executor over its capacity, because the
// new owner does not know yet what the earlier one has left there.
func TestUnknownLoadGetsNoWork(t *testing.T) {
	w := newSimulation(t, 2)
	w.plan.Inherit(w.now, executorInfo("1"))
	w.register("1")
	w.addJob("new", false, step(1))
	w.step()
	assert.Equal(t, len(w.starts), 0, "no report of the executor has come yet")
	w.answerHold(w.takeHold(), nil)
	assert.Equal(t, w.takeStart().Executor, "1")
}
