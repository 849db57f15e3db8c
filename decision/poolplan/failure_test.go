package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// failTask accepts a start and reports that its task failed.
func (sim *simulation) failTask(s Start, number int64) {
	sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	e := sim.plan.executors[s.Executor]
	e.leaseRenewalOpen = false
	sim.plan.RenewLeaseDone(sim.now, RenewLease{Target: s.Target}, Report{
		Outcome: sim.outcome(Accepted), StartedMs: 1000,
		Ended: []EndReport{{Number: number, Task: s.Task, Attempt: s.Attempt, Ending: EndedFailed}},
	})
}

// Guards against a pool that starts nothing for seconds because all its
// executors are avoided.
func TestDoubtfulExecutorIsBetterThanNone(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	number := int64(0)
	for _, job := range []string{"a", "b", "c", "d"} {
		sim.addJob(job, false, step(1))
		for range 3 {
			sim.advance(20 * time.Millisecond)
			number++
			sim.failTask(sim.takeStart(), number)
		}
	}
	assert.Assert(t, sim.now.Before(sim.plan.executors["1"].avoidUntil), "executor 1 failed all jobs and must be avoided")
	sim.addJob("good", false, step(1))
	sim.advance(50 * time.Millisecond)
	assert.Assert(t, len(sim.starts) > 0)
}

// Guards against executors that get no work because of jobs that always fail.
func TestHopelessJobsDoNotCountAgainstExecutors(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1", "2")
	numbers := make(map[string]int64)
	for _, job := range []string{"a", "b", "c", "d", "e", "f"} {
		sim.addJob(job, false, step(1))
		for range 3 {
			sim.advance(50 * time.Millisecond)
			s := sim.takeStart()
			numbers[s.Executor]++
			sim.failTask(s, numbers[s.Executor])
		}
	}
	// While executor 1 is avoided, one job fails on executor 2 first.
	assert.Assert(t, sim.plan.executors["2"].consecutiveFailures < maxConsecutiveFailures, "jobs that had already failed on executor 1 must not count against executor 2")
}

// Guards against a task that fails for good because all its attempts ran on the
// one executor that fails everything.
func TestRetryGoesToAnotherExecutor(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1", "2")
	sim.addJob("a", false, step(1))
	sim.step()
	first := sim.takeStart()
	sim.failTask(first, 1)
	sim.advance(50 * time.Millisecond)
	assert.Assert(t, sim.takeStart().Executor != first.Executor)
}

// Guards against a job shown as failed after fewer attempts than its queue allows,
// because the operator had renamed, moved or removed the queue after the job was
// accepted.
func TestAttemptsOfReplacedQueue(t *testing.T) {
	queue := func(name string, attempts int) catalog.Queue {
		return catalog.Queue{Name: name, Place: testPlace, Service: "pool", Terms: catalog.Terms{MaxAttempts: attempts}}
	}
	for name, test := range map[string]struct {
		queues []catalog.Queue
		want   int
	}{
		"unchanged":             {[]catalog.Queue{queue("queue", 3)}, 3},
		"removed":               {nil, 3},
		"renamed":               {[]catalog.Queue{queue("other", 3)}, 3},
		"replaced by a laxer":   {[]catalog.Queue{queue("other", 4)}, 4},
		"renamed, place reused": {[]catalog.Queue{queue("queue", 3), queue("other", 2)}, 3},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.register("1", "2", "3", "4")
			sim.addJob("a", false, step(1))
			sim.plan.SetCatalog(catalog.New(2, test.queues, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant"}}))
			numbers := make(map[string]int64)
			for attempt := 1; attempt <= test.want; attempt++ {
				assert.Equal(t, sim.plan.jobs["a"].progress.State, workload.Queued, "before attempt %d", attempt)
				sim.advance(50 * time.Millisecond)
				start := sim.takeStart()
				numbers[start.Executor]++
				sim.failTask(start, numbers[start.Executor])
			}
			assert.Equal(t, sim.plan.jobs["a"].progress.State, workload.Failed)
		})
	}
}
