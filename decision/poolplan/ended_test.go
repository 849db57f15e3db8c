package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a job that runs again: it was complete and saved while all
// jobs were reloaded, with its progress from before the save (soak, seed 10).
func TestEndedJobIsNotAddedAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.addJob("a", false, step(1))
	sim.step()
	s := sim.takeStart()
	sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	sim.now = sim.now.Add(time.Second)
	sim.answerLeaseRenewal(RenewLease{Target: s.Target}, nil, EndReport{Number: 1, Task: s.Task, Attempt: s.Attempt, Ending: EndedDone})
	for _, save := range sim.plan.Saves(sim.now, testSaveLimit) {
		sim.plan.SaveDone(sim.now, save, true)
	}
	sim.addJob("a", false, step(1))
	sim.advance(time.Second)
	assert.Equal(t, len(sim.starts), 0)
}
