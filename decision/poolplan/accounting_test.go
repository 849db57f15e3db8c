package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Guards against a job shown as failed although no task has failed so often: an
// end that was saved and not acknowledged was counted again by the next owner.
func TestFailureIsCountedOnce(t *testing.T) {
	w := newSimulation(t, 2)
	w.plan.Inherit(w.now, executorInfo("1"))
	w.register("1")
	spec := &workload.Spec{ID: "a", Queue: "queue", Tenant: "tenant", Steps: []workload.Step{step(1)}, AcceptedAt: w.now}
	w.plan.AddJob(w.now, spec, workload.Progress{Failures: map[workload.TaskName][]int{{}: {1, 2}}, HighestAttempt: 2}, true)
	w.step()
	w.answerHold(w.takeHold(), nil,
		EndReport{Number: 1, Task: taskID("a"), Attempt: 1, Ending: EndedFailed},
		EndReport{Number: 2, Task: taskID("a"), Attempt: 2, Ending: EndedFailed})
	assert.Equal(t, w.plan.jobs["a"].progress.State, workload.Queued, "two of three attempts have failed")
}

// Guards against a start that brings an executor over its capacity: a run that
// is being stopped is not listed for up to 200 ms and still takes its room.
func TestStoppingRunKeepsItsRoom(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1")
	w.addJob("a", false, step(1))
	w.step()
	s := w.takeStart()
	w.plan.StartDone(w.now, s, w.outcome(Accepted))
	w.now = w.now.Add(time.Second)
	w.plan.CancelJob(w.now, "a")
	w.step()
	assert.Equal(t, len(w.stops), 1)
	w.plan.StopDone(w.now, w.stops[0], w.outcome(Accepted))
	w.now = w.now.Add(100 * time.Millisecond)
	w.answerHold(Hold{Target: s.Target}, nil)
	assert.Equal(t, w.plan.RunCount(), 1, "the stop may not be over yet")
	w.now = w.now.Add(stopMargin)
	w.answerHold(Hold{Target: s.Target}, nil)
	assert.Equal(t, w.plan.RunCount(), 0)
}

// Guards against a start that brings an executor over its capacity: a run of a
// job that this owner does not know, as one that has ended, takes room that is
// not known until its end is listed.
func TestUnknownRunTakesRoom(t *testing.T) {
	w := newSimulation(t, 2)
	w.plan.Inherit(w.now, executorInfo("1"))
	w.register("1")
	w.step()
	unknown := RunReport{Task: taskID("ended"), Attempt: 3, Percent: 50}
	w.answerHold(w.takeHold(), []RunReport{unknown})
	w.addJob("a", false, step(1))
	w.advance(time.Second)
	assert.Equal(t, len(w.stops), 1)
	assert.Equal(t, len(w.starts), 0, "the unknown run still takes its room")
	w.answerHold(w.takeHold(), nil, EndReport{Number: 1, Task: unknown.Task, Attempt: 3, Ending: EndedStopped})
	assert.Equal(t, w.takeStart().Executor, "1")
}

// Guards against an order for a machine on which tasks run: the registry lists
// the life before its maintenance for some seconds, and nothing runs on that one.
func TestMachineWithNewLifeIsNotEmpty(t *testing.T) {
	w := newSimulation(t, 1)
	old, next := executorInfo("1"), executorInfo("2")
	old.Machine, next.Machine, next.StartedMs = "m", "m", 2000
	w.plan.SetExecutors(w.now, []Executor{old, next})
	w.plan.MarkRecorded(w.plan.ExecutorsToRecord())
	old.Draining = true
	w.plan.SetExecutors(w.now, []Executor{old, next})
	w.addJob("a", false, step(1))
	w.step()
	assert.Equal(t, w.takeStart().Executor, "2")
	old.Cordoned, next.Cordoned = true, true
	w.plan.SetExecutors(w.now, []Executor{old, next})
	w.step()
	u := w.plan.MachineUses()["m"]
	assert.Equal(t, u.Tasks, 1)
	assert.Assert(t, !u.Empty)
}

// Guards against machines that cannot move for seconds after a takeover: an idle
// executor that has answered is empty, whether or not others can be reached.
func TestIdleMachineIsEmptyBeforeOthersAnswer(t *testing.T) {
	w := newSimulation(t, 2)
	idle, dark, old := executorInfo("1"), executorInfo("2"), executorInfo("3")
	idle.Machine, dark.Machine, old.Machine = "idle", "dark", "again"
	for _, e := range []Executor{idle, dark, old} {
		w.plan.Inherit(w.now, e)
	}
	idle.Cordoned, dark.Cordoned = true, true
	next := executorInfo("4")
	next.Machine, next.Cordoned = "again", true
	w.plan.SetExecutors(w.now, []Executor{idle, dark, next})
	w.plan.MarkRecorded(w.plan.ExecutorsToRecord())
	w.step()
	for _, h := range w.holds {
		if h.Executor == "1" {
			w.answerHold(h, nil)
		}
	}
	uses := w.plan.MachineUses()
	assert.Assert(t, uses["idle"].Empty)
	assert.Assert(t, !uses["dark"].Empty, "it may run what the earlier owner started")
	assert.Assert(t, !uses["again"].Empty, "its earlier life may run what the earlier owner started")
}
