package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// failedOnFirst returns a simulation with executors 1 and 2 of which a task of job a has failed
// on the first. prepare may change the second before the failure.
func failedOnFirst(t *testing.T, st workload.Step, prepare func(sim *simulation, second *executor)) *simulation {
	sim := newSimulation(t, 1)
	first, second := executorInfo("1"), executorInfo("2")
	first.Labels = []string{"b"}
	sim.plan.SetExecutors(sim.now, []Executor{first, second})
	sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
	for _, e := range sim.plan.executors {
		e.lastAnswerAt = sim.now
	}
	sim.addJob("a", false, st)
	if prepare != nil {
		prepare(sim, sim.plan.executors["2"])
	}
	sim.plan.executors["2"].avoidUntil = sim.now.Add(time.Millisecond)
	sim.step()
	s := sim.takeStart()
	assert.Equal(t, s.Executor, "1")
	sim.now = sim.now.Add(time.Millisecond)
	sim.failTask(s, 1)
	sim.saveAll()
	return sim
}

// runThere has a run of a job's step on an executor.
func (sim *simulation) runThere(e *executor, job string, st workload.Step) {
	sim.addJob(job, false, st)
	t := sim.plan.jobs[job].occurrences[0].groups[0].tasks[0]
	r := &run{key: runKey{t.id(), 1}, task: t, executor: e, state: runRunning, confirmedAt: sim.now, orderedAt: sim.now}
	e.runs[r.key] = r
	t.runs = append(t.runs, r)
	sim.plan.charge(r, 1)
}

// Guards against a task that never starts again, since it has failed once on the only executor
// that may run it, and other executors of the pool count as if they could.
func TestTaskStartsWhereItHasFailedIfNoOtherMayRunIt(t *testing.T) {
	labelled, large, fits := step(1), step(1), step(1)
	labelled.Label = "b"
	large.Size.MilliCPU = 7000
	wide := step(1)
	wide.Size = fleet.Resources{MilliCPU: 8000, MemoryBytes: 1 << 30}
	lasting := step(1)
	lasting.Service = true
	for name, test := range map[string]struct {
		step    workload.Step
		prepare func(sim *simulation, second *executor)
		want    string
	}{
		"the other may run it":             {fits, nil, "2"},
		"label":                            {labelled, nil, "1"},
		"size":                             {large, func(_ *simulation, e *executor) { e.Capacity.MilliCPU = 4000; e.entry.Capacity.MilliCPU = 4000 }, "1"},
		"denied by the advice":             {fits, func(sim *simulation, _ *executor) { sim.denySecond() }, "1"},
		"work that lasts leaves no room":   {large, func(sim *simulation, e *executor) { sim.runThere(e, "svc", lasting) }, "1"},
		"the other is being tried":         {fits, func(_ *simulation, e *executor) { e.StaleAck = true }, "1"},
		"the other drains":                 {fits, func(_ *simulation, e *executor) { e.Draining = true }, "1"},
		"the other is busy with work ends": {wide, func(sim *simulation, e *executor) { sim.runThere(e, "b", step(1)) }, ""},
	} {
		t.Run(name, func(t *testing.T) {
			sim := failedOnFirst(t, test.step, test.prepare)
			sim.advance(50 * time.Millisecond)
			if test.want == "" {
				assert.Equal(t, len(sim.starts), 0, "the other executor will have room")
				return
			}
			assert.Equal(t, sim.takeStart().Executor, test.want)
		})
	}
}

func (sim *simulation) denySecond() {
	g := sim.plan.jobs["a"].occurrences[0].groups[0]
	g.advice = &advice{tickets: map[string]ticket{"1": {"t", sim.now.Add(time.Hour)}}, denied: map[string]bool{"2": true}, askedAt: sim.now}
}

// Guards against a task that waits for an executor that goes away, and against other tasks of
// its step that wait with it.
func TestFailedTaskHoldsUpNoOtherAndOutlivesTheOthers(t *testing.T) {
	half, whole := step(2), step(1)
	half.Size.MilliCPU, whole.Size.MilliCPU = 4000, 8000
	sim := newSimulation(t, 1)
	sim.register("1", "2")
	sim.runThere(sim.plan.executors["2"], "b", whole)
	sim.addJob("a", false, half)
	sim.plan.jobs["a"].occurrences[0].groups[0].tasks[0].failedOn = []string{"1"}
	sim.step()
	s := sim.takeStart()
	assert.Equal(t, s.Task.Index, 1, "the other task need not wait")
	assert.Equal(t, len(sim.starts), 0, "executor 2 will have room")
	sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	sim.plan.SetExecutors(sim.now, []Executor{executorInfo("1")})
	sim.advance(50 * time.Millisecond)
	s = sim.takeStart()
	assert.Equal(t, s.Task.Index, 0)
	assert.Equal(t, s.Executor, "1")
}

// Guards against a gang that never starts again, since its members have failed on one of the
// only two executors that may hold one member each.
func TestGangStartsWhereItsMembersHaveFailed(t *testing.T) {
	gang := step(2)
	gang.Gang, gang.MaxPerExecutor = true, 1
	sim := newSimulation(t, 1)
	sim.register("1", "2")
	sim.addJob("a", false, gang)
	for _, task := range sim.plan.jobs["a"].occurrences[0].groups[0].tasks {
		task.failedOn = []string{"1"}
	}
	sim.step()
	assert.Equal(t, len(sim.starts), 2)
}
