package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// maxLateness is how late the platform's pages let an order be.
const maxLateness = 12 * time.Second

// answerReports answers all requests for a report of an executor with the same lists.
func (sim *simulation) answerReports(running []RunReport, ended ...EndReport) (acked int64) {
	open := sim.leaseRenewals
	sim.leaseRenewals = nil
	for _, renewal := range open {
		acked = max(acked, renewal.AckedEnd)
		sim.answerLeaseRenewal(renewal, running, ended...)
	}
	return acked
}

// saveAll makes all progress durable.
func (sim *simulation) saveAll() {
	for _, save := range sim.plan.Saves(sim.now, testSaveLimit) {
		sim.plan.SaveDone(sim.now, save, true)
	}
}

// Guards against a task that runs again after its end was acknowledged: a start without an
// answer is carried out 12 s late, in the next incarnation of its executor. Also against an
// end that waits although the only start of its run is known to have been carried out.
func TestAcknowledgementWaitsForLateStart(t *testing.T) {
	for name, test := range map[string]struct {
		how      Ending
		repeated bool
	}{
		"done by a repeat":                {EndedDone, true},
		"failed for the last time":        {EndedFailed, true},
		"done by the start without reply": {EndedDone, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.register("1")
			sim.addJob("a", false, step(1))
			sim.step()
			start := sim.takeStart()
			sent := sim.now
			sim.plan.StartDone(sim.now, start, sim.outcome(NoAnswer))
			if test.repeated {
				sim.step()
				sim.answerReports(nil)
				sim.plan.StartDone(sim.now, sim.takeStart(), sim.outcome(Accepted))
			}
			sim.step()
			end := EndReport{Number: 1, Task: start.Task, Attempt: start.Attempt, Ending: test.how}
			for sim.answerReports(nil, end) == 0 {
				sim.saveAll()
				for len(sim.starts) > 0 {
					sim.plan.StartDone(sim.now, sim.takeStart(), sim.outcome(RefusedBusy))
				}
				sim.advance(50 * time.Millisecond)
				assert.Assert(t, sim.now.Sub(sent) < 2*maxLateness, "never acknowledged")
			}
			waited := sim.now.Sub(sent)
			if test.repeated {
				assert.Assert(t, waited > maxLateness, "acknowledged %v after the start", waited)
			} else {
				assert.Assert(t, waited < time.Second, "acknowledged %v after the start", waited)
			}
		})
	}
}
