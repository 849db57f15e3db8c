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
		h := sim.takeLeaseRenewal()
		if h.Executor == "1" {
			sim.answerLeaseRenewal(h, []RunReport{{Task: taskID("a"), Attempt: 1, Percent: 40}})
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
			h := sim.takeLeaseRenewal()
			if h.Executor == "1" {
				sim.plan.RenewLeaseDone(sim.now, h, Report{Outcome: sim.outcome(NoAnswer)})
				continue
			}
			sim.answerLeaseRenewal(h, running)
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
