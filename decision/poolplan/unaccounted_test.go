package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// newSuccessor returns the plan of a second owner whose predecessor used executors 1 and
// 2. Of these, 2 does not answer. The tenant's share is 16 of the 32 processors; each
// task takes two.
func newSuccessor(t *testing.T) *simulation {
	sim := newSimulation(t, 2)
	maximum := fleet.Resources{MilliCPU: 16000}
	sim.plan.SetCatalog(catalog.New(1, []catalog.Queue{
		{Name: "queue", Place: testPlace, Service: "pool", Terms: testTerms},
	}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant", Maximum: maximum}, {Name: "other", Maximum: maximum}, {Name: "unlimited"}}))
	sim.plan.SetLimits(map[string]fleet.Resources{"tenant": maximum, "other": maximum})
	sim.plan.Inherit(sim.now, executorInfo("1"))
	sim.plan.Inherit(sim.now, executorInfo("2"))
	sim.register("1", "2", "3", "4")
	return sim
}

func (sim *simulation) addTenantJob(tenant, id string, inherited bool, steps ...workload.Step) {
	spec := &workload.Spec{ID: id, Queue: catalog.Origin{Name: "queue", Place: testPlace, Terms: testTerms}, Tenant: tenant, Steps: steps, AcceptedAt: sim.now}
	sim.plan.AddJob(sim.now, spec, workload.Progress{}, inherited)
}

// run advances the simulation while all executors but silent answer, accept all starts and
// list running, and returns the started tasks by job.
func (sim *simulation) run(d time.Duration, silent string, running map[string][]RunReport) map[string]int {
	started := make(map[string]int)
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.advance(50 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			renewal := sim.takeLeaseRenewal()
			if renewal.Executor == silent {
				sim.plan.RenewLeaseDone(sim.now, renewal, Report{Outcome: sim.outcome(NoAnswer)})
				continue
			}
			sim.answerLeaseRenewal(renewal, running[renewal.Executor])
		}
		for len(sim.starts) > 0 {
			s := sim.takeStart()
			started[s.Task.Job]++
			running[s.Executor] = append(running[s.Executor], runReport(s))
			sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
		}
		for _, s := range sim.plan.Saves(sim.now, SaveLimit{Jobs: 10, Parts: 10, Size: 10 * maxPartSize}) {
			sim.plan.SaveDone(sim.now, s, true)
		}
	}
	return started
}

// Guards against a tenant that has more running than its maximum after a takeover
// (review case 7): the successor started new jobs up to the tenant's whole share, while
// runs of its predecessor, which went on to use the same share behind a cut, were not
// known yet.
func TestSuccessorLeavesRoomForUnknownRuns(t *testing.T) {
	for name, test := range map[string]struct {
		inherited workload.Step
		progress  workload.Progress
		// want is how many tasks of two processors may start beside what executor 2 may run.
		want int
	}{
		"tasks that fill the silent executor": {inherited: step(20), want: 4},
		"tasks that leave room there":         {inherited: step(1), want: 7},
		"gang":                                {inherited: workload.Step{Count: 4, Size: step(1).Size, Gang: true}, want: 4},
		"cancelled a moment ago":              {inherited: step(3), progress: workload.Progress{State: workload.Cancelled, EndedAt: time.UnixMilli(1_000_000)}, want: 5},
		"copies":                              {inherited: workload.Step{Count: 1, Size: step(1).Size, Speculative: true}, want: 6},
		"completed":                           {inherited: step(20), progress: workload.Progress{State: workload.Completed, EndedAt: time.UnixMilli(1_000_000)}, want: 8},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSuccessor(t)
			spec := &workload.Spec{ID: "old", Queue: catalog.Origin{Name: "queue", Place: testPlace, Terms: testTerms}, Tenant: "tenant", Steps: []workload.Step{test.inherited}, AcceptedAt: sim.now}
			sim.plan.AddJob(sim.now, spec, test.progress, true)
			sim.addTenantJob("tenant", "new", false, step(12))
			running := make(map[string][]RunReport)
			assert.Equal(t, sim.run(2*time.Second, "2", running)["new"], test.want)
			sim.plan.CancelJob(sim.now, "old")
			assert.Equal(t, sim.run(time.Second, "2", running)["new"], 0, "the cancelled job's runs may still be there")
			rest := sim.run(10*time.Second, "2", running)["new"]
			assert.Equal(t, test.want+rest, 8, "all leases are over; the tenant's share is free")
		})
	}
}

// Guards against work that waits after a takeover without need: that of tenants without
// a maximum, and of those whose share no earlier run can use.
func TestUnknownRunsHoldUpTheirTenantOnly(t *testing.T) {
	sim := newSuccessor(t)
	sim.addTenantJob("tenant", "old", true, step(20))
	sim.addTenantJob("other", "b", false, step(2))
	sim.addTenantJob("unlimited", "c", false, step(2))
	started := sim.run(300*time.Millisecond, "2", make(map[string][]RunReport))
	assert.DeepEqual(t, started, map[string]int{"b": 2, "c": 2})
}

// Guards against a share that is used twice because an executor started again after the
// takeover: the predecessor, which names it by its identifier alone, may use the later
// life as well.
func TestRestartedExecutorMayHoldUnknownRuns(t *testing.T) {
	sim := newSuccessor(t)
	sim.addTenantJob("tenant", "old", true, step(20))
	sim.addTenantJob("tenant", "new", false, step(12))
	list := []Executor{executorInfo("1"), executorInfo("2"), executorInfo("3"), executorInfo("4")}
	list[1].StartedMs = 2000
	sim.plan.SetExecutors(sim.now, list)
	assert.Equal(t, sim.run(2*time.Second, "2", make(map[string][]RunReport))["new"], 4)
}

// Guards against a share that is used twice while runs of jobs that ended under the
// predecessor are being stopped, which the first reports still list.
func TestRunsOfEndedJobsTakeTheirShare(t *testing.T) {
	sim := newSuccessor(t)
	spec := &workload.Spec{ID: "old", Queue: catalog.Origin{Name: "queue", Place: testPlace, Terms: testTerms}, Tenant: "tenant", Steps: []workload.Step{step(4)}, AcceptedAt: sim.now}
	sim.plan.AddJob(sim.now, spec, workload.Progress{State: workload.Cancelled, EndedAt: sim.now}, true)
	sim.addTenantJob("tenant", "new", false, step(12))
	ending := []RunReport{{Task: workload.TaskID{Job: "old"}, Attempt: 1, Percent: 10}}
	running := map[string][]RunReport{"1": ending}
	assert.Equal(t, sim.run(300*time.Millisecond, "", running)["new"], 4, "all executors have answered; the tasks of the ended job may take four places")
	running["1"] = nil
	assert.Equal(t, sim.run(2*time.Second, "", running)["new"], 4)
}
