package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a run whose end is never known, because the start that is to show it carries no
// ticket and is refused each time.
func TestVerificationHasTicket(t *testing.T) {
	sim := newSimulation(t, 1)
	_ = sim
	sim, _ = undecidedRun(t, step(1))
	g := sim.plan.jobs["b"].occurrences[0].groups[0]
	g.advice = &advice{tickets: map[string]ticket{"1": {"t", sim.now.Add(time.Hour)}}, denied: make(map[string]bool)}
	sim.restart("1", laterStart, nil)
	refused, asked := 0, 0
	for range 600 {
		for len(sim.starts) > 0 {
			s := sim.takeStart()
			assert.Equal(t, s.Ticket, "")
			refused++
			sim.plan.StartDone(sim.now, s, sim.outcome(RefusedTicket))
		}
		sim.advance(50 * time.Millisecond)
		asked += len(sim.adviseCalls)
		sim.adviseCalls = nil
		for range len(sim.leaseRenewals) {
			sim.answerFrom(laterStart, sim.takeLeaseRenewal(), nil)
		}
	}
	t.Logf("in 30 s: %d starts refused for want of a ticket, %d advice calls, done=%v", refused, asked, g.tasks[0].done)
	assert.Assert(t, refused < 5)
}

// Guards against a verification that is never sent, because nobody asks for its ticket: its
// run does not wait for an executor.
func TestVerificationAsksForTicket(t *testing.T) {
	sim, start := undecidedRun(t, step(1))
	g := sim.plan.jobs["b"].occurrences[0].groups[0]
	g.advice = &advice{tickets: map[string]ticket{"1": {"former", sim.now.Add(time.Hour)}}, denied: make(map[string]bool)}
	sim.restart("1", laterStart, nil)
	assert.Equal(t, len(sim.starts), 0)
	assert.Equal(t, len(sim.adviseCalls), 1)
	assert.DeepEqual(t, sim.adviseCalls[0].Executors, []string{"1"})
	sim.plan.AdviseDone(sim.now, sim.adviseCalls[0], map[string]string{"1": "later"}, time.Hour, true)
	sim.advance(time.Millisecond)
	again := sim.takeStart()
	assert.Equal(t, again.Attempt, start.Attempt)
	assert.Equal(t, again.Ticket, "later")
}
