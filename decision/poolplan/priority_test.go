package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startedJobs returns the jobs of the starts so far, in order, without adjacent
// repeats.
func (sim *simulation) startedJobs() (jobs []string) {
	for _, s := range sim.starts {
		if len(jobs) == 0 || jobs[len(jobs)-1] != s.Task.Job {
			jobs = append(jobs, s.Task.Job)
		}
	}
	return jobs
}

// Guards against a queue in which every job starts at the last moment. Jobs of
// one task of 1 s that may take 2.6 s are tight after 1.3 s: the oldest job
// that is not tight starts first, then the tight ones from the newest to the
// oldest.
func TestTightJobsStartNewestFirst(t *testing.T) {
	sim := newSimulation(t, 1)
	for _, id := range []string{"a", "b", "c", "d"} {
		sim.addJob(id, false, step(1))
		sim.now = sim.now.Add(400 * time.Millisecond)
	}
	sim.now = sim.now.Add(300 * time.Millisecond)
	sim.register("1")
	sim.step()
	assert.DeepEqual(t, sim.startedJobs(), []string{"c", "d", "b", "a"})
}

// Guards against wasted work: a job that has begun continues before newer ones
// begin.
func TestJobUnderWayGoesOnBeforeNewerOnes(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	second := step(4)
	second.After = []int{0}
	sim.addJob("a", false, step(4), second)
	sim.step()
	starts := sim.starts
	sim.starts = nil
	sim.now = sim.now.Add(100 * time.Millisecond)
	sim.addJob("b", false, step(4))
	var ended []EndReport
	for i, s := range starts {
		sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
		ended = append(ended, EndReport{Number: int64(i + 1), Task: s.Task, Attempt: s.Attempt, Ending: EndedDone})
	}
	sim.step()
	sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil, ended...)
	assert.DeepEqual(t, sim.startedJobs(), []string{"a"})
}

// Guards against a late job that takes the room of one that can be on time, and
// against late jobs that never run.
func TestLateJobsStartLastAndOldestFirst(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.addJob("a", false, step(1))
	sim.now = sim.now.Add(100 * time.Millisecond)
	sim.addJob("b", false, step(1))
	sim.now = sim.now.Add(4 * time.Second)
	sim.addJob("c", false, step(1))
	sim.register("1")
	sim.step()
	assert.DeepEqual(t, sim.startedJobs(), []string{"c", "a", "b"})
}

// Guards against tasks that are spread over all machines of a pool when a few would
// do: a machine on which nothing runs can serve another pool, or be switched off.
func TestTasksShareFewExecutors(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1", "2", "3", "4", "5", "6")
	service := step(2)
	service.Service, service.MaxPerExecutor = true, 1
	sim.addJob("lasts", false, service)
	sim.addJob("lasts-too", false, service)
	sim.addJob("short", false, step(6))
	sim.step()
	used := make(map[string]int)
	for range len(sim.starts) {
		used[sim.takeStart().Executor]++
	}
	assert.Equal(t, len(used), 3, "10 tasks of a quarter of an executor use %v", used)
}

// Guards against short tasks that take the room for which a service task was
// interrupted, so that the service task starts again where it was.
func TestRoomOfRelocatedServiceTaskIsKept(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1", "2")
	service := step(1)
	service.Service = true
	sim.addJob("lasts", false, service)
	sim.step()
	first := sim.takeStart()
	sim.plan.StartDone(sim.now, first, sim.outcome(Accepted))
	running := []RunReport{{Task: first.Task, Attempt: first.Attempt, Percent: 100, Measurement: -1}}
	list := []Executor{executorInfo("1"), executorInfo("2")}
	list[0].Leaving, list[1].Leaving = first.Executor == "1", first.Executor == "2"
	sim.plan.SetExecutors(sim.now, list)
	for range 10 {
		sim.advance(100 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			sim.answerLeaseRenewal(sim.takeLeaseRenewal(), running)
		}
	}
	assert.Equal(t, len(sim.stops), 1)
	sim.addJob("short", false, step(20))
	sim.advance(100 * time.Millisecond)
	sim.starts = nil
	sim.plan.StopDone(sim.now, sim.stops[0], sim.outcome(Accepted))
	sim.plan.RenewLeaseDone(sim.now, RenewLease{Target: first.Target}, Report{Outcome: sim.outcome(Accepted), StartedMs: 1000, Ended: []EndReport{{Number: 1, Task: first.Task, Attempt: first.Attempt, Ending: EndedStopped}}})
	sim.advance(100 * time.Millisecond)
	for _, s := range sim.starts {
		if s.Task.Job == "lasts" {
			assert.Assert(t, s.Executor != first.Executor, "the service task starts again on the executor that it left")
			return
		}
	}
	t.Fatal("the service task was not started again")
}
