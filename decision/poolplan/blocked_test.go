package poolplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// newLimitedSimulation returns a pool with room whose tenant may use cpu
// thousandths of a processor here.
func newLimitedSimulation(t *testing.T, cpu int64) *simulation {
	sim := newSimulation(t, 1)
	sim.plan.SetCatalog(catalog.New(1, []catalog.Queue{
		{Name: "queue", Service: "pool", Terms: catalog.Terms{MaxAttempts: 3, SlackFactor: 1.6, LatencyTarget: time.Second}},
	}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant", Maximum: fleet.Resources{MilliCPU: 40000}}}))
	sim.register("1", "2", "3")
	sim.plan.SetLimits(map[string]fleet.Resources{"tenant": {MilliCPU: cpu}})
	return sim
}

// Guards against a gang that exceeds its pool's part of the tenant's limit
// without the other pools learning of it: LimitNeeds must cover all of its
// members and what already runs.
func TestNeedOfGangThatWaitsForItsLimit(t *testing.T) {
	sim := newLimitedSimulation(t, 5000)
	sim.addJob("a", false, step(1))
	gang := step(4)
	gang.Gang = true
	sim.addJob("b", false, gang)
	sim.step()
	assert.Equal(t, len(sim.starts), 1)
	assert.Equal(t, len(sim.plan.LimitNeeds(sim.now)), 0, "tasks that end may give room in time")
	sim.advance(blockedDelay)
	assert.DeepEqual(t, sim.plan.LimitNeeds(sim.now), map[string]LimitNeed{"tenant": {
		Need: fleet.Resources{MilliCPU: 10000, MemoryBytes: 5 << 30}, Least: fleet.Resources{MilliCPU: 8000, MemoryBytes: 4 << 30},
	}})
	sim.plan.SetLimits(map[string]fleet.Resources{"tenant": {MilliCPU: 10000}})
	sim.advance(time.Second)
	assert.Equal(t, len(sim.starts), 5)
	sim.advance(time.Second)
	assert.Equal(t, len(sim.plan.LimitNeeds(sim.now)), 0)
}

// Guards against a reservation for work that does not wait for the limit.
func TestWorkThatWaitsForRoomNeedsNoLimit(t *testing.T) {
	sim := newLimitedSimulation(t, 40000)
	sim.addJob("a", false, step(20))
	sim.step()
	sim.advance(2 * blockedDelay)
	assert.Equal(t, len(sim.plan.LimitNeeds(sim.now)), 0)
}

// Guards against a task that never starts, although its tenant's limit suffices, because the
// small work that comes after it takes what is given back.
func TestLargeTaskIsNotStarvedBySmallOnes(t *testing.T) {
	sim := newLimitedSimulation(t, 10000)
	large := step(1)
	large.Size.MilliCPU, large.Estimate = 7000, 10*time.Second
	sim.addJob("s0", false, step(5))
	sim.step()
	sim.addJob("large", false, large)
	begin, number, started := sim.now, int64(0), false
	for i := 1; !started; i++ {
		assert.Assert(t, sim.now.Sub(begin) < 10*time.Second, "the large task starves")
		sim.addJob(fmt.Sprintf("s%d", i), false, step(1))
		sim.advance(200 * time.Millisecond)
		for len(sim.starts) > 0 {
			s := sim.takeStart()
			started = started || s.Task.Job == "large"
			sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
		}
		// One small task ends at a time.
		for _, e := range sim.plan.allExecutors() {
			if runs := sortedRuns(e); len(runs) > 0 && !started {
				number++
				sim.plan.applyEnd(sim.now, e, EndReport{Number: number, Task: runs[0].key.task, Attempt: runs[0].key.attempt, Ending: EndedDone})
				break
			}
		}
	}
}

// Guards against a reservation for a task that no machine of the pool can hold: it would keep
// room in the limit from all other pools for good.
func TestTaskThatNoMachineHoldsNeedsNoLimit(t *testing.T) {
	sim := newLimitedSimulation(t, 5000)
	huge := step(1)
	huge.Size.MilliCPU = 9000
	sim.addJob("a", false, huge)
	sim.step()
	sim.advance(2 * blockedDelay)
	assert.Equal(t, len(sim.plan.LimitNeeds(sim.now)), 0)
}

// Guards against room that is taken from a service task while it starts again.
func TestRestartingServiceKeepsItsPartOfTheLimit(t *testing.T) {
	sim := newLimitedSimulation(t, 10000)
	svc := step(2)
	svc.Service = true
	sim.addJob("svc", false, svc)
	sim.step()
	for len(sim.starts) > 0 {
		sim.plan.StartDone(sim.now, sim.takeStart(), sim.outcome(Accepted))
	}
	used, lasting, _ := sim.plan.TenantUse()
	e := sim.plan.allExecutors()[0]
	sim.plan.applyEnd(sim.now, e, EndReport{Number: 1, Task: sortedRuns(e)[0].key.task, Attempt: 1, Ending: EndedFailed})
	usedAfter, lastingAfter, _ := sim.plan.TenantUse()
	assert.DeepEqual(t, usedAfter, used)
	assert.DeepEqual(t, lastingAfter, lasting)
	assert.Equal(t, lasting["tenant"].MilliCPU, int64(4000))
}
