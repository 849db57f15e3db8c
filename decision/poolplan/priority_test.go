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
