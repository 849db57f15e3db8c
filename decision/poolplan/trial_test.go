package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a trial that goes on because it is started with the full lease where a service
// task runs.
func TestTrialBesideServiceHasShortLease(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.endOne(sim.runOne("a"), 37)
	sim.restart("1", laterStart, nil)
	svc := step(1)
	svc.Service = true
	sim.addJob("svc", false, svc)
	sim.advance(time.Millisecond)
	sv := sim.takeStart()
	sim.plan.StartDone(sim.now, sv, sim.outcome(Accepted))
	sim.advance(10 * time.Millisecond)
	for range len(sim.leaseRenewals) {
		sim.answerFrom(laterStart, sim.takeLeaseRenewal(), []RunReport{runReport(sv)})
	}
	sim.starts = nil
	sim.addJob("b", false, step(1))
	sim.advance(time.Millisecond)
	trial := sim.takeStart()
	t.Logf("trial of %s has a lease of %d ms", trial.Task, trial.LeaseUntilMs-sim.executorClockMs())
	assert.Assert(t, trial.LeaseUntilMs-sim.executorClockMs() <= 500)
}

// Guards against a trial that goes on because a renewal for the service task beside it extends
// the lease of both.
func TestRenewalDoesNotExtendTrial(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.endOne(sim.runOne("a"), 37)
	sim.restart("1", laterStart, nil)
	svc := step(1)
	svc.Service = true
	sim.addJob("svc", false, svc)
	sim.advance(time.Millisecond)
	sv := sim.takeStart()
	sim.plan.StartDone(sim.now, sv, sim.outcome(Accepted))
	sim.advance(10 * time.Millisecond)
	sim.starts = nil
	sim.addJob("b", false, step(1))
	sim.advance(time.Millisecond)
	trial := sim.takeStart()
	for range len(sim.leaseRenewals) {
		sim.answerFrom(laterStart, sim.takeLeaseRenewal(), []RunReport{runReport(sv), runReport(trial)})
	}
	sim.advance(10 * time.Millisecond)
	longest := int64(0)
	for _, r := range sim.leaseRenewals {
		longest = max(longest, r.LeaseUntilMs-sim.executorClockMs())
	}
	assert.Assert(t, longest < 1000, "while the trial is open, a renewal grants %d ms to all runs", longest)
}

// Guards against a task that runs again after a trial of it was done unseen: the stop does not
// arrive for two seconds, and the lease of the service task beside it holds.
func TestTrialDoneUnseenDoesNotRunAgain(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.endOne(sim.runOne("a"), 37)
	sim.restart("1", laterStart, nil)
	svc := step(1)
	svc.Service = true
	sim.addJob("svc", false, svc)
	sim.advance(time.Millisecond)
	sv := sim.takeStart()
	sim.plan.StartDone(sim.now, sv, sim.outcome(Accepted))
	sim.advance(10 * time.Millisecond)
	sim.starts = nil
	sim.addJob("b", false, step(1))
	sim.advance(time.Millisecond)
	trial := sim.takeStart()
	sim.plan.StartDone(sim.now, trial, sim.outcome(Accepted))
	sim.step()
	// Cut off: stops and renewals have no answer. The lease of the service run holds.
	for range 40 {
		sim.advance(50 * time.Millisecond)
		for _, s := range sim.stops {
			sim.plan.StopDone(sim.now, s, Outcome{Answer: NoAnswer, SentAt: sim.now})
		}
		sim.stops = nil
		for range len(sim.leaseRenewals) {
			sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: Outcome{Answer: NoAnswer, SentAt: sim.now}})
		}
	}
	// Reachable again. The trial was done after one second, as number 1.
	sim.register("2")
	for range 80 {
		sim.advance(50 * time.Millisecond)
		for _, s := range sim.stops {
			sim.plan.StopDone(sim.now, s, sim.outcome(Accepted))
		}
		sim.stops = nil
		for range len(sim.leaseRenewals) {
			sim.answerFrom(laterStart, sim.takeLeaseRenewal(), []RunReport{runReport(sv)})
		}
	}
	for _, s := range sim.starts {
		assert.Assert(t, s.Task != trial.Task, "started again as attempt %d on %s", s.Attempt, s.Executor)
	}
}
