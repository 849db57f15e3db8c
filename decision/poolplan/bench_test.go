package poolplan

import (
	"fmt"
	"testing"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// benchPlan returns a pool of the enlarged deployments at the peak of its
// queue's load: all executors are full and hundreds of jobs wait.
func benchPlan(executors, jobs, queues int) (*Plan, time.Time) {
	now := time.UnixMilli(1_000_000)
	p := New(1, now, 0, testParams)
	list := []catalog.Queue{{Name: "queue", Service: "pool", Terms: catalog.Terms{MaxAttempts: 3, SlackFactor: 1.6, LatencyTarget: time.Second}}}
	for i := range queues {
		list = append(list, catalog.Queue{Name: fmt.Sprintf("other-%d", i), Service: "pool"})
	}
	p.SetCatalog(catalog.New(1, list, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant"}}))
	var infos []Executor
	for i := range executors {
		e := executorInfo(fmt.Sprint(i))
		e.Capacity = fleet.Resources{MilliCPU: 32000, MemoryBytes: 64 << 30}
		infos = append(infos, e)
	}
	p.SetExecutors(now, infos)
	p.MarkRecorded(p.ExecutorsToRecord())
	p.SetOwnershipRenewed(now, 1)
	for i := range jobs {
		steps := []workload.Step{step(8), step(8)}
		steps[1].After = []int{0}
		p.AddJob(now, &workload.Spec{ID: fmt.Sprintf("%016x", i), Queue: catalog.Origin{Name: "queue"}, Tenant: "tenant", Steps: steps, AcceptedAt: now}, workload.Progress{}, false)
	}
	for answerOrders(p, now) > 0 {
		// Executors get one start before their first answer and a few at a time then.
	}
	return p, now
}

// answerOrders steps the plan, accepts the starts, answers the requests for reports, and
// returns the number of starts. An executor gets no start while an acknowledgement has no
// answer.
func answerOrders(p *Plan, now time.Time) (starts int) {
	for _, o := range p.Step(now) {
		switch o := o.(type) {
		case Start:
			p.StartDone(now, o, Outcome{ClockMs: 50_000, SentAt: now})
			starts++
		case RenewLease:
			p.RenewLeaseDone(now, o, Report{Outcome: Outcome{ClockMs: 50_000, SentAt: now}, StartedMs: 1000, Truncated: true})
		}
	}
	return starts
}

// BenchmarkStep measures a step of a full pool after one task has ended, the
// most frequent step of a busy owner.
func BenchmarkStep(b *testing.B) {
	p, now := benchPlan(77, 400, 350)
	b.ReportAllocs()
	for b.Loop() {
		e := p.executors["0"]
		if len(e.runs) == 0 {
			b.Fatal("the pool is empty")
		}
		r := sortedRuns(e)[0]
		e.lastEnd++
		p.applyEnd(now, e, EndReport{Number: e.lastEnd, Task: r.key.task, Attempt: r.key.attempt, Ending: EndedStopped})
		answerOrders(p, now)
	}
}

// BenchmarkSummary measures what a renewal of the ownership of a full pool adds.
func BenchmarkSummary(b *testing.B) {
	p, now := benchPlan(350, 2000, 350)
	b.ReportAllocs()
	for b.Loop() {
		p.Summary(now)
	}
}
