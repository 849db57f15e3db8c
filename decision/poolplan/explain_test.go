package poolplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Guards against an explanation that says something else than the owner of the pool
// does: the same job is explained from what the owner publishes and then placed by the
// owner, in pools with use of all kinds, limits, cordons, and executors that are silent
// or refuse starts.
func TestExplanationIsThePlacement(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		sim := newSimulation(t, 1)
		tenant := catalog.Tenant{Name: "tenant", Maximum: fleet.Resources{MilliCPU: 1_000_000}}
		c := catalog.New(1, []catalog.Queue{{Name: "queue", Place: testPlace, Service: "pool", Terms: testTerms}}, nil, []catalog.Tenant{tenant})
		limits := map[string]fleet.Resources{"tenant": {MilliCPU: rapid.Int64Range(10, 60).Draw(rt, "limit") * 1000}}
		sim.plan.SetCatalog(c)
		sim.plan.SetLimits(limits)
		sim.registerRandom(rt)
		for n := range rapid.IntRange(0, 6).Draw(rt, "jobs") {
			sim.addJob(fmt.Sprint("earlier", n), false, randomStep(rt))
			sim.step()
			sim.answerRandomly(rt)
		}
		// Nothing may go before the job in question.
		for id, j := range sim.plan.jobs {
			if j.occurrences[0].groups[0].waitingTasks() > 0 {
				sim.plan.CancelJob(sim.now, id)
			}
		}
		sim.step()
		sim.starts = nil
		for _, e := range sim.plan.allExecutors() {
			e.reserved.MilliCPU = rapid.SampledFrom([]int64{0, 0, 1000}).Draw(rt, "reserved")
		}

		s := randomStep(rt)
		spec := &workload.Spec{ID: "job", Queue: catalog.Origin{Name: "queue", Place: testPlace, Terms: testTerms}, Tenant: "tenant", Steps: []workload.Step{s}, AcceptedAt: sim.now}
		x := Explain(sim.now, Query{Catalog: c, Spec: spec, Limits: limits, Used: sim.plan.TenantUsed(), Executors: sim.plan.ExecutorUses(sim.now)})
		sim.plan.AddJob(sim.now, spec, workload.Progress{}, false)
		sim.step()

		var placed []string
		for _, start := range sim.starts {
			placed = append(placed, start.Executor)
		}
		assert.DeepEqual(rt, x.Starts, placed)
		assert.Equal(rt, x.Wait == "", len(placed) == s.Count, "wait %q", x.Wait)
		if !s.Gang && len(placed) > 0 {
			assert.Equal(rt, cheapest(x.Options), placed[0])
		}
	})
}

// cheapest returns the first executor with the lowest cost among those without obstacle.
func cheapest(options []Option) string {
	best := -1
	for i, o := range options {
		if o.Obstacle == "" && (best < 0 || o.Cost < options[best].Cost) {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return options[best].Executor
}

// registerRandom lists up to eight executors that differ in size, rack, label and state.
func (sim *simulation) registerRandom(rt *rapid.T) {
	var list []Executor
	for n := range rapid.IntRange(1, 8).Draw(rt, "executors") {
		e := executorInfo(fmt.Sprint(n))
		e.Capacity.MilliCPU = rapid.Int64Range(1, 8).Draw(rt, "cpu") * 1000
		e.Capacity.MemoryBytes = rapid.Int64Range(1, 8).Draw(rt, "memory") << 30
		e.Rack = rapid.SampledFrom([]string{"r1-1", "r1-2"}).Draw(rt, "rack")
		e.Labels = []string{rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "label"), e.Rack}
		e.Cordoned = rapid.IntRange(0, 9).Draw(rt, "cordoned") == 0
		e.Draining = rapid.IntRange(0, 9).Draw(rt, "draining") == 0
		e.Leaving = e.Cordoned || rapid.IntRange(0, 9).Draw(rt, "leaving") == 0
		list = append(list, e)
	}
	sim.plan.SetExecutors(sim.now, list)
	sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
	for _, e := range sim.plan.executors {
		e.lastAnswerAt = sim.now
	}
}

// answerRandomly answers the open starts; some are refused or have no answer.
func (sim *simulation) answerRandomly(rt *rapid.T) {
	for len(sim.starts) > 0 {
		s := sim.starts[0]
		sim.starts = sim.starts[1:]
		answer := rapid.SampledFrom([]Answer{Accepted, Accepted, Accepted, Accepted, RefusedBusy, NoAnswer}).Draw(rt, "answer")
		sim.plan.StartDone(sim.now, s, sim.outcome(answer))
	}
}

func randomStep(rt *rapid.T) workload.Step {
	s := step(rapid.IntRange(1, 4).Draw(rt, "count"))
	s.Size = fleet.Resources{MilliCPU: rapid.Int64Range(1, 6).Draw(rt, "size") * 500, MemoryBytes: rapid.Int64Range(0, 4).Draw(rt, "size in memory") << 29}
	s.Label = rapid.SampledFrom([]string{"", "", "a"}).Draw(rt, "required label")
	s.DataRack = rapid.SampledFrom([]string{"", "r1-1", "r1-2"}).Draw(rt, "data rack")
	s.MaxPerExecutor = rapid.IntRange(0, 2).Draw(rt, "max per executor")
	switch rapid.IntRange(0, 4).Draw(rt, "kind") {
	case 0:
		s.Gang, s.OneRack = true, rapid.Bool().Draw(rt, "one rack")
	case 1:
		s.Service, s.LatencyTarget = true, time.Second
	case 2:
		s.BestEffort = true
	}
	return s
}

// Guards against an owner whose published obstacle reads as another one, or as none, in
// the explanation.
func TestPublishedObstaclesAreExplained(t *testing.T) {
	for _, o := range []Obstacle{
		obstacleUnlisted, obstacleDraining, obstacleCordoned, obstacleUnrecorded, obstacleInheritedRuns,
		obstacleUnknownRuns, obstacleDoubtful, obstacleUnreachable, obstacleAvoided, obstacleTrial,
	} {
		q := Query{
			Catalog:   catalog.New(1, nil, nil, nil),
			Spec:      &workload.Spec{ID: "job", Steps: []workload.Step{step(1)}},
			Executors: []ExecutorUse{{Executor: executorInfo("1"), Obstacle: o}, {Executor: executorInfo("2")}},
		}
		x := Explain(time.UnixMilli(1_000_000), q)
		assert.DeepEqual(t, x.Starts, []string{"2"})
		assert.Equal(t, x.Options[0].Obstacle, o)
	}
}

// Guards against an explanation that says that tasks wait for room beside a large idle
// executor, because the owner gives it more only once it has answered the first starts.
func TestExplanationOfManyTasks(t *testing.T) {
	large := executorInfo("1")
	large.Capacity.MilliCPU = 64_000
	q := Query{
		Catalog:   catalog.New(1, nil, nil, nil),
		Spec:      &workload.Spec{ID: "job", Steps: []workload.Step{step(20)}},
		Executors: []ExecutorUse{{Executor: large}},
	}
	x := Explain(time.UnixMilli(1_000_000), q)
	assert.Equal(t, len(x.Starts), 20)
	assert.Equal(t, x.Wait, "")
	q.Spec.Steps[0].Count = 40
	x = Explain(time.UnixMilli(1_000_000), q)
	assert.Equal(t, len(x.Starts), 32)
	assert.Equal(t, x.Wait, waitReasonNames[waitRoom])
}
