package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

func taskID(job string) workload.TaskID { return workload.TaskID{Job: job} }

// Guards against a second run of a task whose executor lost its registry entry
// while it was cut off from the store but kept running: a new owner that had
// not granted a lease itself considered the previous owner's lease expired.
func TestAdoptedRunOfUnlistedExecutorIsKept(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.plan.Inherit(sim.now, executorInfo("1"))
	sim.addJob("a", true, step(1))
	sim.register("2")
	sim.advance(100 * time.Millisecond)
	for range len(sim.leaseRenewals) {
		renewal := sim.takeLeaseRenewal()
		if renewal.Executor == "1" {
			sim.answerLeaseRenewal(renewal, []RunReport{{Task: taskID("a"), Attempt: 1, Percent: 40}})
		}
	}
	for range 20 {
		sim.advance(50 * time.Millisecond)
	}
	assert.Equal(t, len(sim.starts), 0, "the task still runs on executor 1")
}

// Guards against a second run of a task that may be running on an executor that
// neither this owner nor the registry reaches.
func TestInheritedTaskWaitsForUnreachableExecutor(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.plan.Inherit(sim.now, executorInfo("1"))
	sim.register("2")
	sim.addJob("a", true, step(1))
	sim.addJob("b", false, step(1))
	begin := sim.now
	var running []RunReport
	for len(sim.starts) == 0 || sim.starts[0].Task.Job != "a" {
		sim.advance(100 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			renewal := sim.takeLeaseRenewal()
			if renewal.Executor == "1" {
				sim.plan.RenewLeaseDone(sim.now, renewal, Report{Outcome: sim.outcome(NoAnswer)})
				continue
			}
			sim.answerLeaseRenewal(renewal, running)
		}
		if len(sim.starts) > 0 && sim.starts[0].Task.Job == "b" {
			assert.Assert(t, sim.now.Sub(begin) < time.Second, "a job that is new to this owner starts at once")
			s := sim.takeStart()
			sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
			running = append(running, runReport(s))
		}
		assert.Assert(t, sim.now.Sub(begin) < time.Minute, "the task never starts")
	}
	earliest := testParams.LeaseCap
	assert.Assert(t, sim.now.Sub(begin) > earliest, "task started after %v; leases of the previous owner may last %v", sim.now.Sub(begin), earliest)
	assert.Assert(t, sim.starts[0].Attempt > attemptsPerTerm, "attempt %d may have been used by the previous owner", sim.starts[0].Attempt)
}

// Guards against a new owner that waits for the leases of executors whose
// machines were moved or maintained since and now run another executor.
func TestIncarnationOfReusedMachineIsOver(t *testing.T) {
	sim := newSimulation(t, 2)
	old := executorInfo("1")
	old.Machine = "m"
	sim.plan.Inherit(sim.now, old)
	sim.addJob("a", true, step(1))
	sim.register("2")
	sim.step()
	assert.Equal(t, len(sim.starts), 0)
	next := executorInfo("3")
	next.Machine, next.StartedMs = "m", 2000
	sim.plan.EndReplaced(sim.now, []Executor{next, executorInfo("2")})
	for range len(sim.leaseRenewals) {
		sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil)
	}
	sim.advance(100 * time.Millisecond)
	for range len(sim.leaseRenewals) {
		sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil)
	}
	assert.Equal(t, sim.takeStart().Executor, "2")
	assert.Assert(t, sim.plan.ExecutorRecordOutdated(), "the record still names the earlier incarnation")
}

// Guards against a start that exceeds an executor's capacity because the new
// owner does not know yet what the previous one left running there.
func TestUnknownLoadGetsNoWork(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.plan.Inherit(sim.now, executorInfo("1"))
	sim.register("1")
	sim.addJob("new", false, step(1))
	sim.step()
	assert.Equal(t, len(sim.starts), 0, "no report of the executor has come yet")
	sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil)
	assert.Equal(t, sim.takeStart().Executor, "1")
}

// Guards against a successor that interrupts a service task although stops of the
// previous owner are ending others of its step, which its first reports still list
// as serving (zpnn-plan-grown, trouble-1).
func TestStopsOfPreviousOwnerCountAsAway(t *testing.T) {
	sim := newSimulation(t, 2)
	ids := []string{"1", "2", "3", "4"}
	for _, id := range ids {
		sim.plan.Inherit(sim.now, executorInfo(id))
	}
	sim.register(ids...)
	service := step(3)
	service.Service, service.MaxPerExecutor, service.MaxUnavailable = true, 1, 1
	sim.addJob("a", true, service)
	running := make(map[string][]RunReport)
	for i, id := range ids[:3] {
		task := workload.TaskID{Job: "a", TaskName: workload.TaskName{Index: i}}
		running[id] = []RunReport{{Task: task, Attempt: 1, Percent: 100, Measurement: -1}}
	}
	list := []Executor{executorInfo("1"), executorInfo("2"), executorInfo("3"), executorInfo("4")}
	list[0].Leaving = true
	sim.plan.SetExecutors(sim.now, list)
	firstStop := time.Time{}
	for start := sim.now; firstStop.IsZero() && sim.now.Sub(start) < 5*time.Second; {
		sim.advance(100 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			renewal := sim.takeLeaseRenewal()
			sim.answerLeaseRenewal(renewal, running[renewal.Executor])
		}
		if len(sim.stops) > 0 {
			firstStop = sim.now
			assert.Assert(t, firstStop.Sub(start) >= testParams.StopTime, "a task was stopped %v after the takeover", firstStop.Sub(start))
		}
	}
	assert.Assert(t, !firstStop.IsZero(), "the machine is never emptied")
}

// Guards against a task that is done a second time by an owner that could read its
// pool only long after the takeover: all leases have expired by then, but an executor
// still lists the end that the previous owner could not save (zpnn-plan-grown,
// trouble-2).
func TestLatePlanHearsExecutorsFirst(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.now = sim.now.Add(20 * time.Second)
	sim.plan.Inherit(sim.now, executorInfo("1"))
	sim.register("1", "2")
	sim.addJob("a", true, step(1))
	sim.step()
	assert.Equal(t, len(sim.starts), 0, "a task was started before the executor of the previous owner had reported")
	end := EndReport{Number: 1, Task: taskID("a"), Attempt: 1, Ending: EndedDone}
	sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil, end)
	for range 40 {
		sim.advance(100 * time.Millisecond)
	}
	assert.Equal(t, len(sim.starts), 0, "a task that is done was started again")

	silent := newSimulation(t, 2)
	silent.now = silent.now.Add(20 * time.Second)
	silent.plan.Inherit(silent.now, executorInfo("1"))
	silent.register("1", "2")
	silent.addJob("a", true, step(1))
	for range 20 {
		silent.advance(100 * time.Millisecond)
		for range len(silent.leaseRenewals) {
			silent.plan.RenewLeaseDone(silent.now, silent.takeLeaseRenewal(), Report{Outcome: silent.outcome(NoAnswer)})
		}
	}
	assert.Equal(t, len(silent.starts), 1, "an executor that does not answer holds the task up for ever")
}

// Guards against runs of a live executor that start again elsewhere, because another
// writer's entry in the registry has its address: only an answer from the address shows
// who is there.
func TestEntryWithAddressOfListedExecutorEndsNothing(t *testing.T) {
	for name, test := range map[string]struct {
		answer   Answer
		wantRuns int
	}{"executor answers": {Accepted, 1}, "another answers": {WrongIncarnation, 0}} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.register("1")
			sim.addJob("a", false, step(1))
			sim.step()
			s := sim.takeStart()
			sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
			sim.advance(10 * time.Millisecond)
			sim.answerLeaseRenewal(sim.takeLeaseRenewal(), []RunReport{runReport(s)})
			sim.leaseRenewals = nil
			sim.plan.executors["1"].leaseRenewalOpen = false
			odd := executorInfo("odd")
			odd.Address, odd.StartedMs = executorInfo("1").Address, 5000
			sim.plan.SetExecutors(sim.now, []Executor{executorInfo("1"), odd})
			sim.step()
			assert.Equal(t, sim.plan.RunCount(), 1)
			assert.Assert(t, !sim.plan.executors["1"].acceptsWork())
			renewal := sim.takeLeaseRenewal()
			assert.Equal(t, renewal.Executor, "1")
			assert.Equal(t, renewal.Wait, time.Duration(0))
			sim.plan.RenewLeaseDone(sim.now, renewal, Report{Outcome: sim.outcome(test.answer), StartedMs: 1000, Running: []RunReport{runReport(s)}})
			assert.Equal(t, sim.plan.RunCount(), test.wantRuns)
			if test.answer == Accepted {
				assert.Assert(t, sim.plan.executors["1"].acceptsWork())
			}
		})
	}
}
