package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Guards against a run that is still held when a successor takes its lease for
// over: every lease ends within the cap after the last renewal.
func TestLeasesEndWithTheOwnership(t *testing.T) {
	w := newSimulation(t, 1)
	w.renewalStopped = true
	renewed := w.executorClockMs()
	w.register("1")
	w.addJob("a", false, step(2))
	w.step()
	limit := renewed + testParams.LeaseCap.Milliseconds()
	for range 2 {
		s := w.takeStart()
		assert.Assert(t, s.LeaseUntilMs <= limit)
		w.plan.StartDone(w.now, s, w.outcome(Accepted))
	}
	last := int64(0)
	for range 80 {
		w.advance(100 * time.Millisecond)
		for range len(w.holds) {
			h := w.takeHold()
			assert.Assert(t, h.LeaseUntilMs <= limit, "lease until %d, limit %d", h.LeaseUntilMs, limit)
			last = max(last, h.LeaseUntilMs)
			w.answerHold(h, []RunReport{{Task: taskID("a"), Attempt: 1, Percent: 40}})
		}
	}
	assert.Assert(t, last > limit-500, "runs are held as long as they may be")
}

// Guards against a wait for leases that are over: the time for which the earlier
// owner was silent counts.
func TestSilenceOfEarlierOwnerShortensTheWait(t *testing.T) {
	w := newSimulation(t, 2)
	w.plan = New(2, w.now, 3*time.Second, testParams)
	w.plan.Inherit(w.now, executorInfo("1"))
	begin := w.now
	for !w.plan.InheritedRunsKnown() {
		w.now = w.now.Add(100 * time.Millisecond)
		w.step()
		for range len(w.holds) {
			w.plan.HoldDone(w.now, w.takeHold(), Report{Outcome: w.outcome(NoAnswer)})
		}
	}
	waited := w.now.Sub(begin)
	assert.Assert(t, waited >= testParams.LeaseCap-3*time.Second && waited < testParams.LeaseCap-2*time.Second, "waited %v", waited)
}

// Guards against a job that runs twice: one that was recorded while the owner was
// silent is started by that owner only after a renewal, so that a successor
// which has seen none may start it at once.
func TestJobOfSilentOwnerWaitsForRenewal(t *testing.T) {
	w := newSimulation(t, 1)
	w.renewalStopped = true
	w.plan.SetRenewed(w.now, 40)
	w.register("1")
	spec := &workload.Spec{ID: "a", Queue: "queue", Tenant: "tenant", Steps: []workload.Step{step(1)}, AcceptedAt: w.now, SilentOwner: 40}
	w.plan.AddJob(w.now, spec, workload.Progress{}, false)
	w.advance(time.Second)
	assert.Equal(t, len(w.starts), 0)
	w.plan.SetRenewed(w.now, 41)
	w.step()
	assert.Equal(t, len(w.starts), 1)
}
