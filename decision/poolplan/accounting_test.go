package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Guards against a job shown as failed before a task has used up its attempts:
// a run end that was saved but not acknowledged was counted again by the next
// owner.
func TestFailureIsCountedOnce(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.plan.Inherit(sim.now, executorInfo("1"))
	sim.register("1")
	spec := &workload.Spec{ID: "a", Queue: catalog.Origin{Name: "queue"}, Tenant: "tenant", Steps: []workload.Step{step(1)}, AcceptedAt: sim.now}
	sim.plan.AddJob(sim.now, spec, workload.Progress{Failures: map[workload.TaskName]workload.Failures{{}: {Count: 2, Attempts: []int{1, 2}}}, HighestAttempt: 2}, true)
	sim.step()
	sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil,
		EndReport{Number: 1, Task: taskID("a"), Attempt: 1, Ending: EndedFailed},
		EndReport{Number: 2, Task: taskID("a"), Attempt: 2, Ending: EndedFailed})
	assert.Equal(t, sim.plan.jobs["a"].progress.State, workload.Queued, "only two of three attempts have failed")
}

// Guards against a start that exceeds an executor's capacity: a run that is
// being stopped is missing from reports for up to 200 ms and still occupies its
// resources.
func TestStoppingRunKeepsItsRoom(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.addJob("a", false, step(1))
	sim.step()
	s := sim.takeStart()
	sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	sim.now = sim.now.Add(time.Second)
	sim.plan.CancelJob(sim.now, "a")
	sim.step()
	assert.Equal(t, len(sim.stops), 1)
	sim.plan.StopDone(sim.now, sim.stops[0], sim.outcome(Accepted))
	sim.now = sim.now.Add(100 * time.Millisecond)
	sim.answerLeaseRenewal(RenewLease{Target: s.Target}, nil)
	assert.Equal(t, sim.plan.RunCount(), 1, "the stop may not be over yet")
	sim.now = sim.now.Add(testParams.StopTime + stopMargin)
	sim.answerLeaseRenewal(RenewLease{Target: s.Target}, nil)
	assert.Equal(t, sim.plan.RunCount(), 0)
}

// Guards against a start that exceeds an executor's capacity: a run of a job
// that this owner does not know, for example an ended one, occupies an unknown
// amount of resources until its end is listed.
func TestUnknownRunTakesRoom(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.plan.Inherit(sim.now, executorInfo("1"))
	sim.register("1")
	sim.step()
	unknown := RunReport{Task: taskID("ended"), Attempt: 3, Percent: 50}
	sim.answerLeaseRenewal(sim.takeLeaseRenewal(), []RunReport{unknown})
	sim.addJob("a", false, step(1))
	sim.advance(time.Second)
	assert.Equal(t, len(sim.stops), 1)
	assert.Equal(t, len(sim.starts), 0, "the unknown run still occupies its resources")
	sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil, EndReport{Number: 1, Task: unknown.Task, Attempt: 3, Ending: EndedStopped})
	assert.Equal(t, sim.takeStart().Executor, "1")
}

// Guards against a maintenance or move order for a machine on which tasks run:
// for some seconds the registry still lists the incarnation before its
// maintenance, on which nothing runs.
func TestMachineWithNewIncarnationIsNotEmpty(t *testing.T) {
	sim := newSimulation(t, 1)
	old, next := executorInfo("1"), executorInfo("2")
	old.Machine, next.Machine, next.StartedMs = "m", "m", 2000
	sim.plan.SetExecutors(sim.now, []Executor{old, next})
	sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
	old.Draining = true
	sim.plan.SetExecutors(sim.now, []Executor{old, next})
	sim.addJob("a", false, step(1))
	sim.step()
	assert.Equal(t, sim.takeStart().Executor, "2")
	old.Cordoned, next.Cordoned = true, true
	sim.plan.SetExecutors(sim.now, []Executor{old, next})
	sim.step()
	u := sim.plan.MachineUses()["m"]
	assert.Equal(t, u.Tasks, 1)
	assert.Assert(t, !u.Empty)
}

// Guards against machines that cannot move for seconds after a takeover: an
// idle executor that has answered is empty, whether or not others are
// reachable.
func TestIdleMachineIsEmptyBeforeOthersAnswer(t *testing.T) {
	sim := newSimulation(t, 2)
	idle, unreachable, old := executorInfo("1"), executorInfo("2"), executorInfo("3")
	idle.Machine, unreachable.Machine, old.Machine = "idle", "dark", "again"
	for _, e := range []Executor{idle, unreachable, old} {
		sim.plan.Inherit(sim.now, e)
	}
	idle.Cordoned, unreachable.Cordoned = true, true
	next := executorInfo("4")
	next.Machine, next.Cordoned = "again", true
	sim.plan.SetExecutors(sim.now, []Executor{idle, unreachable, next})
	sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
	sim.step()
	for _, renewal := range sim.leaseRenewals {
		if renewal.Executor == "1" {
			sim.answerLeaseRenewal(renewal, nil)
		}
	}
	uses := sim.plan.MachineUses()
	assert.Assert(t, uses["idle"].Empty)
	assert.Assert(t, !uses["dark"].Empty, "unreachable executor may still run tasks of the previous owner")
	assert.Assert(t, !uses["again"].Empty, "earlier incarnation may still run tasks of the previous owner")
}

// Guards against machines that are moved to a pool for a backlog that is too late to
// have any value, while the queue of another pool could still be served in time.
func TestLoadLeavesOutWorkWithoutValue(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.addJob("old", false, step(10))
	sim.now = sim.now.Add(time.Minute)
	sim.addJob("new", false, step(8))
	sim.step()
	demand, _, capacity := sim.plan.Load()
	assert.Equal(t, capacity, int64(8000))
	assert.Equal(t, demand, int64(8*2000), "the tasks of the old job wait without value")
}

// Guards against pools that are too small for large tasks: of a task of 13 cores, four
// fit on an executor of 64, so that each takes 16.
func TestDemandCountsWhatLargeTasksLeaveUnused(t *testing.T) {
	assert.Equal(t, occupiedMilliCPU(13000, 64000), int64(16000))
	assert.Equal(t, occupiedMilliCPU(500, 64000), int64(500))
	assert.Equal(t, occupiedMilliCPU(80000, 64000), int64(80000))
	assert.Equal(t, occupiedMilliCPU(0, 64000), int64(0))
}
