package poolplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Guards against a tenant that sends many times its share and keeps the jobs of
// others waiting until they are late.
func TestShareComesBeforeExcess(t *testing.T) {
	w := newSimulation(t, 1)
	w.plan.SetCatalog(catalog.New(2, []catalog.Queue{
		{Name: "queue", Service: "pool", MaxAttempts: 3, SlackFactor: 1.6, LatencyTarget: time.Second},
	}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "greedy", Weight: 2}, {Name: "modest", Weight: 2}}))
	w.register("1")
	submit := func(id, tenant string) {
		spec := &workload.Spec{ID: id, Queue: "queue", Tenant: tenant, Steps: []workload.Step{step(1)}, AcceptedAt: w.now}
		w.plan.AddJob(w.now, spec, workload.Progress{}, false)
	}
	for i := range 20 {
		submit(fmt.Sprintf("greedy-%02d", i), "greedy")
	}
	w.now = w.now.Add(10 * time.Millisecond)
	submit("modest", "modest")
	w.step()
	assert.Equal(t, len(w.starts), 4, "the executor has room for four")
	for _, s := range w.starts {
		w.plan.StartDone(w.now, s, w.outcome(Accepted))
	}
	first := w.starts[0]
	w.starts = nil
	w.advance(time.Millisecond)
	w.answerHold(w.takeHold(), nil, EndReport{Number: 1, Task: first.Task, Attempt: first.Attempt, Ending: EndedDone})
	assert.Assert(t, len(w.starts) > 0)
	assert.Equal(t, w.starts[0].Task.Job, "modest")
}
