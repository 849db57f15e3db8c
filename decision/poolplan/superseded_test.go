package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// expireSilentExecutor starts a task on executor 1, which then stops answering,
// and waits until its lease has expired.
func expireSilentExecutor(sim *simulation) {
	sim.register("1")
	sim.addJob("a", false, step(1))
	sim.step()
	sim.plan.StartDone(sim.now, sim.takeStart(), sim.outcome(Accepted))
	sim.register("1", "2")
	for range 100 {
		sim.advance(100 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			renewal := sim.takeLeaseRenewal()
			if renewal.Executor == "1" {
				sim.plan.RenewLeaseDone(sim.now, renewal, Report{Outcome: sim.outcome(NoAnswer)})
			}
		}
	}
}

// Guards against an owner that is cut off from the store and restarts a task
// whose end a later owner has recorded.
func TestOwnerWithoutRenewalDoesNotRestart(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.plan.SetCurrent(false)
	expireSilentExecutor(sim)
	assert.Equal(t, len(sim.starts), 0)
	sim.plan.SetCurrent(true)
	sim.step()
	assert.Equal(t, sim.takeStart().Executor, "2")
}

// Guards against stopping a service task for a cordon while another task of its
// step has not been reported.
func TestSilentServiceTaskCountsAsAway(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1", "2", "3")
	s := step(2)
	s.Service, s.MaxPerExecutor, s.MaxUnavailable = true, 1, 1
	sim.addJob("a", false, s)
	sim.step()
	first, second := sim.takeStart(), sim.takeStart()
	for _, start := range []Start{first, second} {
		sim.plan.StartDone(sim.now, start, sim.outcome(Accepted))
	}
	silent := false
	for range 80 {
		sim.advance(100 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			renewal := sim.takeLeaseRenewal()
			switch {
			case renewal.Executor == first.Executor:
				sim.plan.RenewLeaseDone(sim.now, renewal, Report{Outcome: sim.outcome(Accepted), StartedMs: 1000, Running: []RunReport{{Task: first.Task, Attempt: 1, Percent: 100, Measurement: -1}}})
			case renewal.Executor == second.Executor && !silent:
				sim.plan.RenewLeaseDone(sim.now, renewal, Report{Outcome: sim.outcome(Accepted), StartedMs: 1000, Running: []RunReport{{Task: second.Task, Attempt: 1, Percent: 100, Measurement: -1}}})
			}
		}
		silent = sim.now.Sub(sim.plan.takenOverAt) > 6*time.Second
	}
	info := executorInfo(first.Executor)
	info.Cordoned = true
	sim.plan.SetExecutors(sim.now, []Executor{info, executorInfo(second.Executor), executorInfo("3")})
	sim.step()
	for _, stop := range sim.stops {
		assert.Assert(t, stop.Reason != "executor is going to be emptied", "stopped %s while the other task's executor does not answer", stop.Task)
	}
}

// Guards against a service task that is interrupted for a cordon in the same step
// in which another of its step is stopped because its executor is draining
// (zpnn-plan, trouble-3). The order of the executors is random.
func TestTaskOnDrainingExecutorCountsAsAway(t *testing.T) {
	for range 20 {
		sim := newSimulation(t, 1)
		sim.register("1", "2", "3", "4")
		s := step(2)
		s.Service, s.MaxPerExecutor, s.MaxUnavailable = true, 1, 1
		sim.addJob("a", false, s)
		sim.step()
		starts := []Start{sim.takeStart(), sim.takeStart()}
		running := make(map[string][]RunReport)
		for _, start := range starts {
			sim.plan.StartDone(sim.now, start, sim.outcome(Accepted))
			running[start.Executor] = []RunReport{{Task: start.Task, Attempt: start.Attempt, Percent: 100, Measurement: -1}}
		}
		for range 12 {
			sim.advance(100 * time.Millisecond)
			for range len(sim.leaseRenewals) {
				renewal := sim.takeLeaseRenewal()
				sim.answerLeaseRenewal(renewal, running[renewal.Executor])
			}
		}
		var list []Executor
		for _, id := range []string{"1", "2", "3", "4"} {
			info := executorInfo(id)
			info.Draining, info.Leaving = id == starts[0].Executor, id == starts[1].Executor
			list = append(list, info)
		}
		sim.plan.SetExecutors(sim.now, list)
		sim.step()
		assert.Equal(t, len(sim.stops), 1, "stops: %+v", sim.stops)
		assert.Equal(t, sim.stops[0].Executor, starts[0].Executor)
	}
}
