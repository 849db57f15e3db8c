package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

var testParams = Params{
	MaxLease: 6 * time.Second, LeaseCap: 6 * time.Second,
}

// simulation drives a plan in virtual time. Orders are kept until a test answers
// them.
type simulation struct {
	t           *testing.T
	plan        *Plan
	now         time.Time
	starts      []Start
	stops       []Stop
	holds       []Hold
	paces       []Pace
	adviseCalls []Advise
	// renewalStopped tells that the owner does not renew.
	renewalStopped bool
}

func newSimulation(t *testing.T, term int) *simulation {
	w := &simulation{t: t, now: time.UnixMilli(1_000_000)}
	w.plan = New(term, w.now, 0, testParams)
	w.plan.SetCatalog(catalog.New(1, []catalog.Queue{
		{Name: "queue", Service: "pool", MaxAttempts: 3, SlackFactor: 1.6, LatencyTarget: time.Second},
	}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant"}}))
	return w
}

func executorInfo(id string) Executor {
	return Executor{
		ID: id, StartedMs: 1000, Address: "127.0.0.1:" + id, Rack: "r1-1", ClockMs: 50_000,
		Capacity: fleet.Resources{MilliCPU: 8000, MemoryBytes: 64 << 30},
	}
}

// register lists executors and marks them as recorded.
func (w *simulation) register(ids ...string) {
	var list []Executor
	for _, id := range ids {
		list = append(list, executorInfo(id))
	}
	w.plan.SetExecutors(w.now, list)
	w.plan.MarkRecorded(w.plan.ExecutorsToRecord())
}

func step(count int) workload.Step {
	return workload.Step{Count: count, Size: fleet.Resources{MilliCPU: 2000, MemoryBytes: 1 << 30}, Estimate: time.Second}
}

func (w *simulation) addJob(id string, inherited bool, steps ...workload.Step) {
	spec := &workload.Spec{ID: id, Queue: "queue", Tenant: "tenant", Steps: steps, AcceptedAt: w.now}
	w.plan.AddJob(w.now, spec, workload.Progress{}, inherited)
}

func (w *simulation) step() {
	if !w.renewalStopped {
		w.plan.SetRenewed(w.now, w.now.UnixMilli())
	}
	for _, o := range w.plan.Step(w.now) {
		switch o := o.(type) {
		case Start:
			w.starts = append(w.starts, o)
		case Stop:
			w.stops = append(w.stops, o)
		case Hold:
			w.holds = append(w.holds, o)
		case Pace:
			w.paces = append(w.paces, o)
		case Advise:
			w.adviseCalls = append(w.adviseCalls, o)
		}
	}
}

func (w *simulation) advance(d time.Duration) {
	w.now = w.now.Add(d)
	w.step()
}

func (w *simulation) executorClockMs() int64 { return 50_000 + w.now.UnixMilli() - 1_000_000 }

func (w *simulation) outcome(a Answer) Outcome {
	o := Outcome{Answer: a, SentAt: w.now}
	if a != NoAnswer && a != NotSent {
		o.ClockMs = w.executorClockMs()
	}
	return o
}

func (w *simulation) takeStart() Start {
	w.t.Helper()
	assert.Assert(w.t, len(w.starts) > 0, "no start was ordered")
	s := w.starts[0]
	w.starts = w.starts[1:]
	return s
}

func (w *simulation) takeHold() Hold {
	w.t.Helper()
	assert.Assert(w.t, len(w.holds) > 0, "no report was asked for")
	h := w.holds[0]
	w.holds = w.holds[1:]
	return h
}

// answerHold answers the oldest hold of an executor.
func (w *simulation) answerHold(h Hold, running []RunReport, ended ...EndReport) {
	w.plan.HoldDone(w.now, h, Report{Outcome: w.outcome(Accepted), StartedMs: 1000, Running: running, Ended: ended})
	w.step()
}

func runReport(s Start) RunReport {
	return RunReport{Task: s.Task, Attempt: s.Attempt, Percent: 10, Measurement: -1}
}
