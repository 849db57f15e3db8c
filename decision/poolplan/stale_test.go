package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// expireSilentExecutor starts a task on executor 1, which then falls silent, and
// passes its lease.
func expireSilentExecutor(w *simulation) {
	w.register("1")
	w.addJob("a", false, step(1))
	w.step()
	w.plan.StartDone(w.now, w.takeStart(), w.outcome(Accepted))
	w.register("1", "2")
	for range 100 {
		w.advance(100 * time.Millisecond)
		for range len(w.holds) {
			h := w.takeHold()
			if h.Executor == "1" {
				w.plan.HoldDone(w.now, h, Report{Outcome: w.outcome(NoAnswer)})
			}
		}
	}
}

// Guards against an owner that is cut off from the store and starts a task
// again whose end a later owner has taken note of.
func TestOwnerWithoutRenewalDoesNotRestart(t *testing.T) {
	w := newSimulation(t, 1)
	w.plan.SetCurrent(false)
	expireSilentExecutor(w)
	assert.Equal(t, len(w.starts), 0)
	w.plan.SetCurrent(true)
	w.step()
	assert.Equal(t, w.takeStart().Executor, "2")
}

// Guards against a second service task of a step being stopped for a cordon
// while nothing has been heard of another one.
func TestSilentServiceTaskCountsAsAway(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1", "2", "3")
	s := step(2)
	s.Service, s.MaxPerExecutor, s.MaxUnavailable = true, 1, 1
	w.addJob("a", false, s)
	w.step()
	first, second := w.takeStart(), w.takeStart()
	for _, start := range []Start{first, second} {
		w.plan.StartDone(w.now, start, w.outcome(Accepted))
	}
	silent := false
	for range 80 {
		w.advance(100 * time.Millisecond)
		for range len(w.holds) {
			h := w.takeHold()
			switch {
			case h.Executor == first.Executor:
				w.plan.HoldDone(w.now, h, Report{Outcome: w.outcome(Accepted), StartedMs: 1000, Running: []RunReport{{Task: first.Task, Attempt: 1, Percent: 100, Measurement: -1}}})
			case h.Executor == second.Executor && !silent:
				w.plan.HoldDone(w.now, h, Report{Outcome: w.outcome(Accepted), StartedMs: 1000, Running: []RunReport{{Task: second.Task, Attempt: 1, Percent: 100, Measurement: -1}}})
			}
		}
		silent = w.now.Sub(w.plan.takenOverAt) > 6*time.Second
	}
	info := executorInfo(first.Executor)
	info.Cordoned = true
	w.plan.SetExecutors(w.now, []Executor{info, executorInfo(second.Executor), executorInfo("3")})
	w.step()
	for _, stop := range w.stops {
		assert.Assert(t, stop.Reason != "executor is going to be emptied", "stopped %s while the other task is silent", stop.Task)
	}
}
