package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against members of a gang that resume from different states: each started again
// with the last checkpoint that it had reported itself.
func TestMembersOfGangResumeFromOneCheckpoint(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1", "2")
	gang := step(2)
	gang.Gang, gang.Checkpoints, gang.MaxPerExecutor = true, true, 1
	sim.addJob("a", false, gang)
	sim.step()
	first := []Start{sim.takeStart(), sim.takeStart()}
	for _, s := range first {
		sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	}
	sim.advance(100 * time.Millisecond)
	for i, s := range first {
		running := []RunReport{{Task: s.Task, Attempt: s.Attempt, Percent: 10, Checkpoint: []string{"early", "late"}[i]}}
		sim.plan.RenewLeaseDone(sim.now, RenewLease{Target: s.Target}, Report{Outcome: sim.outcome(Accepted), StartedMs: 1000, Running: running})
	}
	sim.advance(100 * time.Millisecond)
	for i, s := range first {
		sim.plan.RenewLeaseDone(sim.now, RenewLease{Target: s.Target}, Report{
			Outcome: sim.outcome(Accepted), StartedMs: 1000,
			Ended: []EndReport{{Number: int64(i + 1), Task: s.Task, Attempt: s.Attempt, Ending: EndedBroken}},
		})
	}
	sim.starts = nil
	sim.advance(100 * time.Millisecond)
	assert.Equal(t, len(sim.starts), 2)
	assert.Equal(t, sim.starts[0].Checkpoint, "late")
	assert.Equal(t, sim.starts[1].Checkpoint, "late")
}
