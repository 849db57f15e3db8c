package poolplan

import (
	"fmt"
	"testing"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// BenchmarkRelocationWithoutRoom measures the check of the service tasks in an evacuated
// zone, a third of 350 executors, that have no room elsewhere.
func BenchmarkRelocationWithoutRoom(b *testing.B) {
	p, now := benchPlan(350, 0, 0)
	p.catalog = catalog.New(1, []catalog.Queue{{Name: "queue", Service: "pool"}}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant"}})
	service := step(350)
	service.Service, service.MaxPerExecutor, service.MaxUnavailable = true, 1, 1
	service.Size = fleet.Resources{MilliCPU: 6000}
	for i := range 4 {
		p.AddJob(now, &workload.Spec{ID: fmt.Sprint(i), Queue: catalog.Origin{Name: "queue"}, Tenant: "tenant", Steps: []workload.Step{service}, AcceptedAt: now}, workload.Progress{}, false)
	}
	for answerOrders(p, now) > 0 {
		// One start for each executor at first.
	}
	for i := range 117 {
		p.executors[fmt.Sprint(i)].Zone = "a"
	}
	p.SetEvacuated(evacuate("a"))
	now = now.Add(time.Second)
	for _, e := range p.executors {
		e.reportedAt = now
		for _, r := range e.runs {
			r.percent, r.percentChangedAt = 100, now.Add(-time.Second)
			r.state = runRunning
		}
	}
	b.Logf("%d runs", p.RunCount())
	for b.Loop() {
		p.relocateServices(now)
	}
}
