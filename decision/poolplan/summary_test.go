package poolplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Guards against refusals that rest on work that no new job waits for: later steps that
// cannot be ready in time, jobs without value, service tasks, and tenants at their limit.
func TestSummaryCountsWorkThatPrecedes(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.addJob("worthless", false, step(10))
	sim.now = sim.now.Add(time.Minute)
	service := step(5)
	service.Service = true
	sim.addJob("service", false, service)
	later := step(4)
	later.After, later.Estimate = []int{0}, 10*time.Second
	sim.addJob("new", false, step(6), later)
	s := sim.plan.Summary(sim.now)
	assert.Assert(t, s != nil)
	assert.Equal(t, s.FreeMilliCPU, int64(8000))
	assert.Equal(t, s.Preferred.UpTo(0).CoreMs, 12_000.0)
	assert.Equal(t, len(s.Other)+len(s.Beyond), 0)
	sim.plan.blockedTenants["tenant"] = blockedTenant{}
	assert.Assert(t, !sim.plan.Summary(sim.now).Waits())
}

// Guards against service tasks that count as capacity for new jobs.
func TestSummaryOfRuns(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	service := step(1)
	service.Service = true
	sim.addJob("service", false, service)
	sim.addJob("a", false, step(2))
	sim.step()
	assert.Equal(t, len(sim.starts), 3)
	s := sim.plan.Summary(sim.now.Add(600 * time.Millisecond))
	assert.Equal(t, s.UsedMilliCPU, int64(4000))
	assert.Equal(t, s.FreeMilliCPU, int64(2000))
	assert.Equal(t, s.Running.CoreMs, 1600.0)
}

// Guards against waits that are estimated with the capacity of an evacuated zone, and
// against refusals just after its evacuation has begun.
func TestSummaryLeavesOutEvacuatedZone(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.registerInZones(map[string]string{"1": "a", "2": "b"})
	assert.Assert(t, sim.plan.Summary(sim.now) != nil)
	sim.plan.SetEvacuated(evacuate("a"))
	assert.Assert(t, sim.plan.Summary(sim.now) == nil)
	sim.now = sim.now.Add(settleTime)
	s := sim.plan.Summary(sim.now)
	assert.Assert(t, s != nil)
	assert.Equal(t, s.FreeMilliCPU, int64(8000))
}

// Guards against a tenant beyond its share whose work counts as that of the others.
func TestSummaryDividesByShare(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.plan.SetCatalog(catalog.New(2, []catalog.Queue{{Name: "queue", Service: "pool", Terms: testTerms}}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "greedy", Weight: 2}, {Name: "modest", Weight: 2}}))
	sim.register("1")
	submit := func(id, tenant string) {
		spec := &workload.Spec{ID: id, Queue: catalog.Origin{Name: "queue"}, Tenant: tenant, Steps: []workload.Step{step(1)}, AcceptedAt: sim.now}
		sim.plan.AddJob(sim.now, spec, workload.Progress{}, false)
	}
	for n := range 10 {
		submit(fmt.Sprint("greedy-", n), "greedy")
	}
	submit("modest", "modest")
	s := sim.plan.Summary(sim.now)
	assert.Equal(t, s.Preferred.UpTo(0).Tasks, 5)
	assert.Equal(t, s.Beyond["greedy"].UpTo(0).Tasks, 6)
	assert.DeepEqual(t, s.ShareSpent, map[string]bool{"greedy": true})
	assert.Equal(t, len(sim.plan.Summary(sim.now.Add(time.Second)).ShareSpent), 0, "the share has filled again")
}

// Guards against refusals by a summary that is wrong for the moment: executors of a
// previous owner have not answered, a later owner may exist, or an availability zone has
// just been lost or evacuated.
func TestNoSummaryWhileUnsettled(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.plan.Inherit(sim.now, executorInfo("1"))
	assert.Assert(t, sim.plan.Summary(sim.now) == nil)

	sim = newSimulation(t, 1)
	sim.register("1", "2", "3")
	assert.Assert(t, sim.plan.Summary(sim.now) != nil)
	sim.plan.SetCurrent(false)
	assert.Assert(t, sim.plan.Summary(sim.now) == nil)
	sim.plan.SetCurrent(true)
	sim.register("1", "2")
	assert.Assert(t, sim.plan.Summary(sim.now) == nil)
	assert.Assert(t, sim.plan.Summary(sim.now.Add(settleTime)) != nil)
}

// Guards against outcomes that are counted under a wrong estimate, or for jobs that were
// accepted without one.
func TestOutcomeOfEstimatedJob(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	for id, expected := range map[string]time.Duration{"a": time.Second, "b": time.Minute, "c": 0} {
		sim.addJob(id, false, step(1))
		sim.plan.jobs[id].spec.ExpectedEnd = expected
	}
	sim.now = sim.now.Add(5 * time.Second)
	for _, id := range []string{"a", "b", "c"} {
		sim.plan.endJob(sim.now, sim.plan.jobs[id], workload.Completed)
	}
	assert.DeepEqual(t, sim.plan.TakeOutcomes(), map[JobOutcome]int{{EndedOnTime, EndedLate}: 1, {EndedWorthless, EndedLate}: 1})
	assert.Equal(t, len(sim.plan.TakeOutcomes()), 0)
}

// Guards against hosts that estimate with the executors of an evacuated zone, where nothing
// may start, and against refusals right after the request.
func TestSummaryWithoutEvacuatedZone(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.registerInZones(map[string]string{"1": "a", "2": "b"})
	assert.Equal(t, sim.plan.Summary(sim.now).FreeMilliCPU, int64(16000))
	sim.plan.SetEvacuated(evacuate("a"))
	assert.Assert(t, sim.plan.Summary(sim.now) == nil)
	assert.Equal(t, sim.plan.Summary(sim.now.Add(settleTime)).FreeMilliCPU, int64(8000))
}
