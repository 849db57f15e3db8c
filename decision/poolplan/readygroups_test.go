package poolplan

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against starts of ended jobs in a pool that is too busy to refresh its
// list of groups at every step.
func TestBusyPoolStartsNothingOfEndedJobs(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	for i := range 2 * smallPoolJobs {
		sim.addJob(fmt.Sprintf("%02d", i), false, step(1))
	}
	sim.step()
	first := sim.takeStart()
	assert.Equal(t, len(sim.starts), 3, "the executor has room for four")
	sim.plan.StartDone(sim.now, first, sim.outcome(Accepted))
	for i := range 2 * smallPoolJobs {
		sim.plan.CancelJob(sim.now, fmt.Sprintf("%02d", i))
	}
	sim.starts = nil
	sim.advance(time.Millisecond)
	sim.answerLeaseRenewal(sim.takeLeaseRenewal(), nil, EndReport{Number: 1, Task: first.Task, Attempt: first.Attempt, Ending: EndedStopped})
	sim.advance(time.Millisecond)
	assert.Equal(t, len(sim.starts), 0)
}
