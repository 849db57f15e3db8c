package poolplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Guards against a tenant that submits many times its share and delays the jobs
// of others until they are late.
func TestShareComesBeforeExcess(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.plan.SetCatalog(catalog.New(2, []catalog.Queue{
		{Name: "queue", Service: "pool", Terms: catalog.Terms{MaxAttempts: 3, SlackFactor: 1.6, LatencyTarget: time.Second}},
	}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "greedy", Weight: 2}, {Name: "modest", Weight: 2}}))
	sim.register("1")
	submit := func(id, tenant string) {
		spec := &workload.Spec{ID: id, Queue: catalog.Origin{Name: "queue"}, Tenant: tenant, Steps: []workload.Step{step(1)}, AcceptedAt: sim.now}
		sim.plan.AddJob(sim.now, spec, workload.Progress{}, false)
	}
	for i := range 20 {
		submit(fmt.Sprintf("greedy-%02d", i), "greedy")
	}
	sim.now = sim.now.Add(10 * time.Millisecond)
	submit("modest", "modest")
	sim.step()
	assert.Equal(t, len(sim.starts), 4, "the executor has room for four")
	for _, s := range sim.starts {
		sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	}
	first := sim.starts[0]
	sim.starts = nil
	sim.advance(time.Millisecond)
	sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil, EndReport{Number: 1, Task: first.Task, Attempt: first.Attempt, Ending: EndedDone})
	assert.Assert(t, len(sim.starts) > 0)
	assert.Equal(t, sim.starts[0].Task.Job, "modest")
}

// Guards against jobs within their tenant's share that a new owner puts behind all
// others, because it read them from the store in another order than that in which they
// were accepted.
func TestShareOfJobsReadFromTheStore(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.plan.SetCatalog(catalog.New(2, nil, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant", Weight: 1}}))
	var jobs []RecordedJob
	for n := range 20 {
		spec := &workload.Spec{
			ID: fmt.Sprintf("%02d", n), Queue: catalog.Origin{Name: "queue", Terms: testTerms}, Tenant: "tenant", Steps: []workload.Step{step(1)},
			AcceptedAt: sim.now.Add(-time.Duration(n) * time.Second),
		}
		jobs = append(jobs, RecordedJob{Spec: spec, Inherited: true})
	}
	sim.plan.AddJobs(sim.now, jobs)
	for id, j := range sim.plan.jobs {
		assert.Assert(t, !j.beyondShare, "job %s was accepted a second after the one before, and the share is one job a second", id)
	}
}
