package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// startedJobs returns the jobs of the starts so far, each once, in their order.
func (w *simulation) startedJobs() (jobs []string) {
	for _, s := range w.starts {
		if len(jobs) == 0 || jobs[len(jobs)-1] != s.Task.Job {
			jobs = append(jobs, s.Task.Job)
		}
	}
	return jobs
}

// Guards against a queue in which every job starts as late as it just can. Jobs of
// one task of 1 s that may take 2.6 s are tight after 1.3 s: the oldest that is not
// starts first, and of the others the newest.
func TestTightJobsStartNewestFirst(t *testing.T) {
	w := newSimulation(t, 1)
	for _, id := range []string{"a", "b", "c", "d"} {
		w.addJob(id, false, step(1))
		w.now = w.now.Add(400 * time.Millisecond)
	}
	w.now = w.now.Add(300 * time.Millisecond)
	w.register("1")
	w.step()
	assert.DeepEqual(t, w.startedJobs(), []string{"c", "d", "b", "a"})
}

// Guards against work that is thrown away: a job that has begun goes on before
// newer ones begin.
func TestJobUnderWayGoesOnBeforeNewerOnes(t *testing.T) {
	w := newSimulation(t, 1)
	w.register("1")
	second := step(4)
	second.After = []int{0}
	w.addJob("a", false, step(4), second)
	w.step()
	starts := w.starts
	w.starts = nil
	w.now = w.now.Add(100 * time.Millisecond)
	w.addJob("b", false, step(4))
	var ended []EndReport
	for i, s := range starts {
		w.plan.StartDone(w.now, s, w.outcome(Accepted))
		ended = append(ended, EndReport{Number: int64(i + 1), Task: s.Task, Attempt: s.Attempt, Ending: EndedDone})
	}
	w.step()
	w.answerHold(w.takeHold(), nil, ended...)
	assert.DeepEqual(t, w.startedJobs(), []string{"a"})
}

// Guards against a late job that takes the room of one that can be on time, and
// against late jobs that never run.
func TestLateJobsStartLastAndOldestFirst(t *testing.T) {
	w := newSimulation(t, 1)
	w.addJob("a", false, step(1))
	w.now = w.now.Add(100 * time.Millisecond)
	w.addJob("b", false, step(1))
	w.now = w.now.Add(4 * time.Second)
	w.addJob("c", false, step(1))
	w.register("1")
	w.step()
	assert.DeepEqual(t, w.startedJobs(), []string{"c", "a", "b"})
}
