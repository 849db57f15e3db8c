package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against more unavailable service tasks of a step than allowed, because
// an owner short of processor time treated old reports as current.
func TestOldReportsAllowNoInterruption(t *testing.T) {
	for _, age := range []time.Duration{0, 3 * time.Second} {
		sim := newSimulation(t, 1)
		sim.register("1", "2", "3")
		service := step(2)
		service.Service, service.MaxUnavailable, service.MaxPerExecutor = true, 1, 1
		sim.addJob("a", false, service)
		sim.step()
		running := make(map[string]RunReport)
		for range 2 {
			s := sim.takeStart()
			sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
			running[s.Executor] = RunReport{Task: s.Task, Attempt: s.Attempt, Percent: 100, Measurement: 1}
		}
		report := func() {
			for range len(sim.leaseRenewals) {
				h := sim.takeLeaseRenewal()
				o := sim.outcome(Accepted)
				o.ReceivedAt = sim.now.Add(-age)
				var list []RunReport
				if r, ok := running[h.Executor]; ok {
					list = append(list, r)
				}
				sim.plan.RenewLeaseDone(sim.now, h, Report{Outcome: o, StartedMs: 1000, Running: list})
			}
		}
		for range 30 {
			sim.advance(100 * time.Millisecond)
			report()
		}
		leaving := []Executor{executorInfo("1"), executorInfo("2"), executorInfo("3")}
		leaving[0].Leaving = true
		sim.plan.SetExecutors(sim.now, leaving)
		sim.advance(100 * time.Millisecond)
		assert.Equal(t, len(sim.stops) > 0, age == 0, "stops with reports that are %v old", age)
	}
}
