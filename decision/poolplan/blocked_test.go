package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// newLimitedSimulation is a pool with room whose tenant may have cpu running here.
func newLimitedSimulation(t *testing.T, cpu int64) *simulation {
	w := newSimulation(t, 1)
	w.plan.SetCatalog(catalog.New(1, []catalog.Queue{
		{Name: "queue", Service: "pool", MaxAttempts: 3, SlackFactor: 1.6, LatencyTarget: time.Second},
	}, []catalog.Service{{Name: "pool"}}, []catalog.Tenant{{Name: "tenant", Maximum: fleet.Resources{MilliCPU: 40000}}}))
	w.register("1", "2", "3")
	w.plan.SetLimits(map[string]fleet.Resources{"tenant": {MilliCPU: cpu}})
	return w
}

// Guards against a gang above its pool's part of the limit that no other pool
// learns of: what all of its members need is told, with what runs.
func TestNeedOfGangThatWaitsForItsLimit(t *testing.T) {
	w := newLimitedSimulation(t, 5000)
	w.addJob("a", false, step(1))
	gang := step(4)
	gang.Gang = true
	w.addJob("b", false, gang)
	w.step()
	assert.Equal(t, len(w.starts), 1)
	assert.Equal(t, len(w.plan.LimitNeeds(w.now)), 0, "tasks that end may give room in time")
	w.advance(blockedDelay)
	assert.DeepEqual(t, w.plan.LimitNeeds(w.now), map[string]fleet.Resources{"tenant": {MilliCPU: 10000, MemoryBytes: 5 << 30}})
	w.plan.SetLimits(map[string]fleet.Resources{"tenant": {MilliCPU: 10000}})
	w.advance(time.Second)
	assert.Equal(t, len(w.starts), 5)
	w.advance(time.Second)
	assert.Equal(t, len(w.plan.LimitNeeds(w.now)), 0)
}

// Guards against a reservation for work that waits for something else.
func TestWorkThatWaitsForRoomNeedsNoLimit(t *testing.T) {
	w := newLimitedSimulation(t, 40000)
	w.addJob("a", false, step(20))
	w.step()
	w.advance(2 * blockedDelay)
	assert.Equal(t, len(w.plan.LimitNeeds(w.now)), 0)
}
