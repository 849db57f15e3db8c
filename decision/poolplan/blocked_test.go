package poolplan

import (
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
	assert.DeepEqual(t, sim.plan.LimitNeeds(sim.now), map[string]fleet.Resources{"tenant": {MilliCPU: 10000, MemoryBytes: 5 << 30}})
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
