package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that is lost, or an executor that is taken for silent,
// because an order was withheld when the ownership had run out.
func TestWithheldOrdersAreGivenAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.addJob("a", false, step(1))
	sim.step()
	start := sim.takeStart()
	assert.Assert(t, !start.Exclusive)
	sim.plan.StartDone(sim.now, start, sim.outcome(Withheld))
	sim.advance(10 * time.Millisecond)
	again := sim.takeStart()
	assert.Equal(t, again.Executor, "1")
	sim.plan.StartDone(sim.now, again, sim.outcome(Accepted))
	sim.advance(10 * time.Millisecond)
	sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: sim.outcome(Withheld)})
	sim.advance(leaseRenewalRetryDelay)
	sim.takeLeaseRenewal()
	assert.Assert(t, sim.plan.executors["1"].reachable())
}

// Guards against a restart of a lost task that is sent although a successor may
// have recorded the task's end: such a start needs exclusive ownership until an executor
// has accepted it.
func TestRestartOfLostTaskIsExclusive(t *testing.T) {
	for _, answer := range []Answer{Withheld, NotSent, RefusedRoom, RefusedBusy, RefusedLate, RefusedOld} {
		t.Run(answer.String(), func(t *testing.T) {
			sim := newSimulation(t, 1)
			expireSilentExecutor(sim)
			start := sim.takeStart()
			assert.Assert(t, start.Exclusive)
			sim.plan.StartDone(sim.now, start, sim.outcome(answer))
			sim.advance(10 * time.Millisecond)
			sim.register("1", "2", "3")
			sim.advance(10 * time.Millisecond)
			assert.Assert(t, sim.takeStart().Exclusive, "a restart that did not begin lost its condition")
		})
	}
}
