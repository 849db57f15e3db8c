package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against more service tasks of a step away at once than may be, because
// an owner short of processor time took old reports for present ones.
func TestOldReportsAllowNoInterruption(t *testing.T) {
	for _, age := range []time.Duration{0, 3 * time.Second} {
		w := newSimulation(t, 1)
		w.register("1", "2", "3")
		service := step(2)
		service.Service, service.MaxUnavailable, service.MaxPerExecutor = true, 1, 1
		w.addJob("a", false, service)
		w.step()
		running := make(map[string]RunReport)
		for range 2 {
			s := w.takeStart()
			w.plan.StartDone(w.now, s, w.outcome(Accepted))
			running[s.Executor] = RunReport{Task: s.Task, Attempt: s.Attempt, Percent: 100, Measurement: 1}
		}
		report := func() {
			for range len(w.holds) {
				h := w.takeHold()
				o := w.outcome(Accepted)
				o.ReceivedAt = w.now.Add(-age)
				var list []RunReport
				if r, ok := running[h.Executor]; ok {
					list = append(list, r)
				}
				w.plan.HoldDone(w.now, h, Report{Outcome: o, StartedMs: 1000, Running: list})
			}
		}
		for range 30 {
			w.advance(100 * time.Millisecond)
			report()
		}
		leaving := []Executor{executorInfo("1"), executorInfo("2"), executorInfo("3")}
		leaving[0].Leaving = true
		w.plan.SetExecutors(w.now, leaving)
		w.advance(100 * time.Millisecond)
		assert.Equal(t, len(w.stops) > 0, age == 0, "reports %v old", age)
	}
}
