package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxLateness is how late the platform's pages let an order be.
const maxLateness = 12 * time.Second

// finishTime is finish_s of the platform's settings: after it, a job must have something
// running.
const finishTime = 14 * time.Second

// answerReports answers all requests for a report of an executor with the same lists.
func (sim *simulation) answerReports(running []RunReport, ended ...EndReport) (acked int64) {
	open := sim.leaseRenewals
	sim.leaseRenewals = nil
	for _, renewal := range open {
		acked = max(acked, renewal.AckedEnd)
		sim.answerLeaseRenewal(renewal, running, ended...)
	}
	return acked
}

// saveAll makes all progress durable.
func (sim *simulation) saveAll() {
	for _, save := range sim.plan.Saves(sim.now, testSaveLimit) {
		sim.plan.SaveDone(sim.now, save, true)
	}
}

// Guards against a task that runs again after its end was acknowledged: a start without an
// answer is carried out 12 s late, in the next incarnation of its executor. Also against an
// end that waits although the only start of its run is known to have been carried out.
func TestAcknowledgementWaitsForLateStart(t *testing.T) {
	for name, test := range map[string]struct {
		how      Ending
		repeated bool
	}{
		"done by a repeat":                {EndedDone, true},
		"failed for the last time":        {EndedFailed, true},
		"done by the start without reply": {EndedDone, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.register("1")
			sim.addJob("a", false, step(1))
			sim.step()
			start := sim.takeStart()
			sent := sim.now
			sim.plan.StartDone(sim.now, start, sim.outcome(NoAnswer))
			if test.repeated {
				sim.step()
				sim.answerReports(nil)
				sim.plan.StartDone(sim.now, sim.takeStart(), sim.outcome(Accepted))
			}
			sim.step()
			end := EndReport{Number: 1, Task: start.Task, Attempt: start.Attempt, Ending: test.how}
			for sim.answerReports(nil, end) == 0 {
				sim.saveAll()
				for len(sim.starts) > 0 {
					sim.plan.StartDone(sim.now, sim.takeStart(), sim.outcome(RefusedBusy))
				}
				sim.advance(50 * time.Millisecond)
				assert.Assert(t, sim.now.Sub(sent) < 2*maxLateness, "never acknowledged")
			}
			waited := sim.now.Sub(sent)
			if test.repeated {
				assert.Assert(t, waited > maxLateness, "acknowledged %v after the start", waited)
			} else {
				assert.Assert(t, waited < time.Second, "acknowledged %v after the start", waited)
			}
		})
	}
}

// Guards against a task that waits for an executor that is gone until its job counts as lost:
// the job has nothing else running finish_s after it was handed in.
func TestTaskOfLostExecutorStartsBeforeTheFinish(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.addJob("a", false, step(1))
	sim.step()
	begin := sim.now
	sim.register("1", "2")
	for len(sim.starts) == 0 || sim.starts[0].Executor == "1" {
		for len(sim.starts) > 0 {
			sim.plan.StartDone(sim.now, sim.takeStart(), sim.outcome(NoAnswer))
		}
		sim.advance(50 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: sim.outcome(NoAnswer)})
		}
		assert.Assert(t, sim.now.Sub(begin) < finishTime, "the task does not start elsewhere")
	}
	assert.Assert(t, sim.now.Sub(begin) >= briefLateTime+testParams.MaxLease)
}

// successorOfStart returns a successor's simulation after executors 1 and 2 have answered, and
// the start of a task that its predecessor had sent to executor 1 without an answer. The first
// report of executor 1 lists a run or its end if it has begun.
func successorOfStart(t *testing.T, repeated bool, running []RunReport, ended ...EndReport) (*simulation, StartInDoubt) {
	start := StartInDoubt{Task: taskID("a"), Attempt: 1, Executor: "1", Repeated: repeated, Left: lateOrderTime}
	sim := newSimulation(t, 2)
	sim.plan.Inherit(sim.now, executorInfo("1"))
	sim.plan.Inherit(sim.now, executorInfo("2"))
	sim.plan.SetExecutors(sim.now, []Executor{executorInfo("1"), executorInfo("2")})
	sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
	sim.addJob("a", true, step(1))
	sim.plan.InheritStarts([]StartInDoubt{start})
	// Executor 2 is in use, and so is preferred.
	sim.plan.executors["2"].used.MilliCPU = 1000
	sim.step()
	for range len(sim.leaseRenewals) {
		renewal := sim.takeLeaseRenewal()
		if renewal.Executor == "1" {
			sim.answerLeaseRenewal(renewal, running, ended...)
		} else {
			sim.answerLeaseRenewal(renewal, nil)
		}
	}
	return sim, start
}

// Guards against a second run beside a start of the previous owner that had no answer when it
// was killed: the successor heard of no run, and started the task on another executor.
func TestSuccessorKeepsLateStartWithItsExecutor(t *testing.T) {
	sim, start := successorOfStart(t, false, nil)
	sim.advance(time.Second)
	again := sim.takeStart()
	assert.Equal(t, again.Executor, start.Executor)
	assert.Assert(t, again.Attempt > start.Attempt)
	left := sim.plan.StartsInDoubt(sim.now)
	assert.Equal(t, len(left), 2, "a third owner has to know of both starts")
}

// Guards against an end that the successor of its starter acknowledges while an earlier try of
// the start may be carried out in the next incarnation of the executor, and against ends that
// wait although no start of theirs is in doubt.
func TestSuccessorHoldsEndsOfStartsInDoubt(t *testing.T) {
	for _, repeated := range []bool{true, false} {
		end := EndReport{Number: 1, Task: taskID("a"), Attempt: 1, Ending: EndedDone}
		sim, _ := successorOfStart(t, repeated, nil, end)
		begin := sim.now
		for sim.answerReports(nil, end) == 0 {
			sim.saveAll()
			sim.advance(50 * time.Millisecond)
			assert.Assert(t, sim.now.Sub(begin) < 2*maxLateness, "never acknowledged")
		}
		waited := sim.now.Sub(begin)
		assert.Equal(t, waited > maxLateness, repeated, "acknowledged after %v", waited)
	}
}
