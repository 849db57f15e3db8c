package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// newRackSimulation returns a pool with one executor of four slots in each rack; the
// executors have the names of the racks.
func newRackSimulation(t *testing.T, factor float64, racks ...string) *simulation {
	sim := newSimulation(t, 1)
	sim.plan.params.RemoteFactor = factor
	sim.listRacks(func(*Executor) {}, racks...)
	sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
	for _, e := range sim.plan.executors {
		e.lastAnswerAt = sim.now
	}
	return sim
}

func (sim *simulation) listRacks(change func(*Executor), racks ...string) {
	var list []Executor
	for _, rack := range racks {
		e := executorInfo(rack)
		e.Rack = rack
		change(&e)
		list = append(list, e)
	}
	sim.plan.SetExecutors(sim.now, list)
}

func dataStep(count int, rack string) workload.Step {
	s := step(count)
	s.DataRack = rack
	return s
}

// accept accepts all open starts and returns their executors.
func (sim *simulation) accept() (executors []string) {
	for _, s := range sim.starts {
		sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
		executors = append(executors, s.Executor)
	}
	sim.starts = nil
	return executors
}

// end has one run of an executor end.
func (sim *simulation) end(executor string) {
	e := sim.plan.executors[executor]
	r := sortedRuns(e)[0]
	e.lastEnd++
	sim.plan.applyEnd(sim.now, e, EndReport{Number: e.lastEnd, Task: r.key.task, Attempt: r.key.attempt, Ending: EndedDone})
	sim.step()
}

// fillA starts four tasks in rack a and has one more wait for it.
func fillA(t *testing.T, factor float64) *simulation {
	sim := newRackSimulation(t, factor, "a", "b")
	sim.addJob("first", false, dataStep(4, "a"))
	sim.step()
	assert.DeepEqual(t, sim.accept(), []string{"a", "a", "a", "a"})
	sim.advance(500 * time.Millisecond)
	sim.addJob("second", false, dataStep(1, "a"))
	sim.step()
	return sim
}

// Guards against a task that starts away from its data although a run there is about to
// end.
func TestTaskWaitsForItsData(t *testing.T) {
	sim := fillA(t, 3)
	assert.Equal(t, len(sim.accept()), 0)
	assert.Assert(t, sim.plan.NextStep(sim.now).After(sim.now))
	sim.advance(100 * time.Millisecond)
	sim.end("a")
	assert.DeepEqual(t, sim.accept(), []string{"a"})
	counts := sim.plan.TakePlacementCounts()
	assert.DeepEqual(t, counts, PlacementCounts{
		DataRackTasks: 5, NearStarts: 5, WaitsBegun: 1, WaitsEndedNear: 1, WaitTimes: []time.Duration{100 * time.Millisecond},
	})
}

// Guards against a wait without an end: nothing ends in the wanted rack.
func TestWaitForDataEnds(t *testing.T) {
	sim := fillA(t, 3)
	assert.Equal(t, len(sim.accept()), 0)
	saved := 2 * time.Second
	for waited := time.Duration(0); waited <= saved && len(sim.starts) == 0; waited += 20 * time.Millisecond {
		sim.advance(20 * time.Millisecond)
	}
	assert.DeepEqual(t, sim.accept(), []string{"b"})
	counts := sim.plan.TakePlacementCounts()
	assert.Equal(t, counts.WaitsGivenUp, int64(1))
	assert.Equal(t, counts.AwayStarts, int64(1))
	assert.Assert(t, sim.plan.executors["b"].runs != nil && sortedRuns(sim.plan.executors["b"])[0].away)
}

// Guards against a task that waits for a rack whose executors have gone or get no work.
func TestWaitEndsWithTheRack(t *testing.T) {
	for name, change := range map[string]func(*Executor){
		"cordoned": func(e *Executor) { e.Cordoned = e.ID == "a" },
		"draining": func(e *Executor) { e.Draining = e.ID == "a" },
		"leaving":  func(e *Executor) { e.Leaving = e.ID == "a" },
	} {
		t.Run(name, func(t *testing.T) {
			sim := fillA(t, 3)
			assert.Equal(t, len(sim.accept()), 0)
			sim.listRacks(change, "a", "b")
			sim.step()
			assert.DeepEqual(t, sim.accept(), []string{"b"})
		})
	}
	t.Run("lost", func(t *testing.T) {
		sim := fillA(t, 3)
		sim.listRacks(func(*Executor) {}, "b")
		sim.step()
		assert.DeepEqual(t, sim.accept(), []string{"b"})
	})
}

// Guards against waits at deployments where the placement does not matter.
func TestNoWaitWithoutFactor(t *testing.T) {
	for _, factor := range []float64{0, 1} {
		sim := fillA(t, factor)
		assert.DeepEqual(t, sim.accept(), []string{"b"})
	}
}

// Guards against all of many tasks waiting for one rack: six find it full, and waiting for
// the later ends costs more than the 0.5 s that it saves.
func TestFewOfManyWait(t *testing.T) {
	sim := newRackSimulation(t, 1.5, "a", "b", "c")
	sim.addJob("many", false, dataStep(10, "a"))
	sim.step()
	started := sim.accept()
	assert.Assert(t, len(started) > 4, "%v", started)
	assert.DeepEqual(t, started[:4], []string{"a", "a", "a", "a"})
}

// Guards against a rack-sensitive step that is spread although its last task can follow in
// the same rack sooner than all become slow.
func TestRackSensitiveStepStaysInOneRack(t *testing.T) {
	sim := newRackSimulation(t, 3, "a", "b")
	s := step(5)
	s.OneRack = true
	sim.addJob("one", false, s)
	sim.step()
	assert.DeepEqual(t, sim.accept(), []string{"a", "a", "a", "a"})
	sim.advance(300 * time.Millisecond)
	assert.Equal(t, len(sim.accept()), 0)
	sim.end("a")
	assert.DeepEqual(t, sim.accept(), []string{"a"})
	assert.Equal(t, sim.plan.TakePlacementCounts().NearStarts, int64(5))
}

// waitingGang returns a pool where two racks have two of four slots free, and a gang of
// three that prepares a placement in the first.
func waitingGang(t *testing.T) *simulation {
	sim := newRackSimulation(t, 3, "a", "b")
	sim.addJob("fill-a", false, dataStep(2, "a"))
	sim.addJob("fill-b", false, dataStep(2, "b"))
	sim.step()
	assert.Equal(t, len(sim.accept()), 4)
	sim.advance(800 * time.Millisecond)
	gang := step(3)
	gang.Gang, gang.OneRack = true, true
	sim.addJob("gang", false, gang)
	sim.step()
	assert.Equal(t, len(sim.accept()), 0)
	return sim
}

// Guards against a gang that never gets its rack because later work takes each slot that
// comes free there.
func TestRoomIsKeptForGang(t *testing.T) {
	sim := waitingGang(t)
	sim.advance(10 * time.Millisecond)
	sim.addJob("later-1", false, step(2))
	sim.addJob("later-2", false, step(2))
	sim.step()
	assert.DeepEqual(t, sim.accept(), []string{"b", "b"})
	sim.end("a")
	assert.DeepEqual(t, sim.accept(), []string{"a", "a", "a"})
	counts := sim.plan.TakePlacementCounts()
	assert.Equal(t, counts.WaitsEndedNear, int64(1))
	assert.Equal(t, counts.AwayStarts, int64(0))
	sim.step()
	assert.Equal(t, sim.plan.executors["a"].reserved.MilliCPU, int64(0))
}

// Guards against a gang that waits on for a rack that has failed.
func TestGangIsSpreadWhenItsRackIsLost(t *testing.T) {
	sim := waitingGang(t)
	rack := sim.plan.jobs["gang"].occurrences[0].groups[0].wait.rack
	sim.listRacks(func(e *Executor) { e.Leaving = e.ID == rack }, "a", "b")
	sim.step()
	assert.Equal(t, len(sim.accept()), 3)
	counts := sim.plan.TakePlacementCounts()
	assert.Equal(t, counts.WaitsGivenUp, int64(1))
	assert.Equal(t, counts.AwayStarts, int64(3))
}

// Guards against durations of runs away from their data being learned as those near it.
func TestAwayDurationsAreScaled(t *testing.T) {
	sim := newRackSimulation(t, 3, "a")
	sim.addJob("away", false, dataStep(4, "elsewhere"))
	for sim.step(); len(sim.plan.executors["a"].runs) > 0; {
		sim.accept()
		sim.advance(3 * time.Second)
		sim.end("a")
	}
	d := sim.plan.taskDurations["queue"]
	assert.Equal(t, d.samples, 4)
	kind := sim.plan.kindDurations[taskKind{queue: "queue", tenant: "tenant"}]
	assert.Equal(t, kind.samples, 4)
	assert.Assert(t, sim.plan.predict(sim.plan.groupForTest()).logDeviation < estimateDeviation)
}

// groupForTest returns a group of a job like those of the simulation.
func (p *Plan) groupForTest() *group {
	spec := &workload.Spec{Tenant: "tenant"}
	spec.Queue.Name = "queue"
	s := step(1)
	return &group{job: &job{spec: spec}, step: &s}
}

// Guards against a round of placement that looks at all runs of a step again for each of its
// tasks that wait together for a rack, so that its time grows with the square of the tasks.
func TestRackIsFoundOnceARound(t *testing.T) {
	sim := newRackSimulation(t, 3, "a")
	s := step(20)
	s.OneRack = true
	sim.addJob("job", false, s)
	sim.step()
	g := sim.plan.jobs["job"].occurrences[0].groups[0]
	candidates := sim.plan.candidates(sim.now)
	sim.plan.preferredRack(g, candidates)
	found := g.rackChoice
	assert.Assert(t, found != nil)
	sim.plan.preferredRack(g, candidates)
	assert.Assert(t, g.rackChoice == found, "found again in the same round")
	sim.plan.round++
	sim.plan.preferredRack(g, candidates)
	assert.Assert(t, g.rackChoice != found, "kept for another round")
}
