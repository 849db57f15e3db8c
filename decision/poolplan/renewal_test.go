package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Guards against a run that still holds a lease when a successor considers it
// expired: every lease ends within LeaseCap after the last renewal of the
// ownership.
func TestLeasesEndWithTheOwnership(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.ownershipRenewalStopped = true
	renewed := sim.executorClockMs()
	sim.register("1")
	sim.addJob("a", false, step(2))
	sim.step()
	limit := renewed + testParams.LeaseCap.Milliseconds()
	for range 2 {
		s := sim.takeStart()
		assert.Assert(t, s.LeaseUntilMs <= limit)
		sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	}
	last := int64(0)
	for range 80 {
		sim.advance(100 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			renewal := sim.takeLeaseRenewal()
			assert.Assert(t, renewal.LeaseUntilMs <= limit, "lease until %d, limit %d", renewal.LeaseUntilMs, limit)
			last = max(last, renewal.LeaseUntilMs)
			sim.answerLeaseRenewal(renewal, []RunReport{{Task: taskID("a"), Attempt: 1, Percent: 40}})
		}
	}
	assert.Assert(t, last > limit-500, "the last lease ends too long before the limit")
}

// Guards against a wait for expired leases: the time for which the previous
// owner had not renewed its ownership counts.
func TestSilenceOfEarlierOwnerShortensTheWait(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.plan = New(2, sim.now, 3*time.Second, testParams)
	sim.plan.Inherit(sim.now, executorInfo("1"))
	begin := sim.now
	for !sim.plan.InheritedRunsKnown() {
		sim.now = sim.now.Add(100 * time.Millisecond)
		sim.step()
		for range len(sim.leaseRenewals) {
			sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: sim.outcome(NoAnswer)})
		}
	}
	waited := sim.now.Sub(begin)
	assert.Assert(t, waited >= testParams.LeaseCap-3*time.Second && waited < testParams.LeaseCap-2*time.Second, "waited %v", waited)
}

// Guards against a job that runs twice: an owner starts a job that was recorded
// while it did not renew its ownership only after a renewal, so that a successor
// that saw none may start it at once.
func TestJobOfSilentOwnerWaitsForRenewal(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.ownershipRenewalStopped = true
	sim.plan.SetOwnershipRenewed(sim.now, 40)
	sim.register("1")
	spec := &workload.Spec{ID: "a", Queue: catalog.Origin{Name: "queue"}, Tenant: "tenant", Steps: []workload.Step{step(1)}, AcceptedAt: sim.now, SilentOwner: 40}
	sim.plan.AddJob(sim.now, spec, workload.Progress{}, false)
	sim.advance(time.Second)
	assert.Equal(t, len(sim.starts), 0)
	sim.plan.SetOwnershipRenewed(sim.now, 41)
	sim.step()
	assert.Equal(t, len(sim.starts), 1)
}

// Guards against a service task that starts again up to 0.2 s after the lease of its lost
// executor is over: the rule leaves it 7 s, and leases take 6.3 s of these.
func TestStepFollowsTheEndOfALease(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	run := sim.runOne("a")
	sim.register("1", "2")
	sim.starts = nil
	lastAnswer := sim.now
	for len(sim.starts) == 0 {
		for range len(sim.leaseRenewals) {
			sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: Outcome{Answer: NoAnswer, SentAt: sim.now}})
		}
		sim.now = sim.plan.NextStep(sim.now)
		sim.step()
		assert.Assert(t, sim.now.Sub(lastAnswer) < 10*time.Second, "the task does not start again")
	}
	assert.Equal(t, sim.takeStart().Task, run.Task)
	over := sim.plan.executors[run.Executor].leaseOverAt(testParams.MaxLease)
	assert.Assert(t, sim.now.Sub(over) <= time.Millisecond, "started %v after the lease was over", sim.now.Sub(over))
}
