package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a task that runs twice, because its executor had crashed and started
// again under its identifier, had accepted the start in its new life, and the owner then
// gave up all runs of the executor when it noticed the restart.
func TestRunOfRestartedExecutorIsKept(t *testing.T) {
	const newLife = 2000
	for name, test := range map[string]struct {
		viaReport, listed, answerLate bool
	}{
		"noticed in the registry":             {listed: true},
		"noticed in the registry, not listed": {},
		"answer after the restart":            {listed: true, answerLate: true},
		"noticed in a report":                 {viaReport: true, listed: true},
		"noticed in a report, not listed":     {viaReport: true},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.register("1")
			sim.addJob("a", false, step(1))
			sim.step()
			old := sim.takeStart()
			sim.plan.StartDone(sim.now, old, sim.outcome(Accepted))
			sim.advance(10 * time.Millisecond)
			sim.answerLeaseRenewal(sim.takeLeaseRenewal(), []RunReport{runReport(old)})
			sim.addJob("b", false, step(1))
			sim.advance(10 * time.Millisecond)
			start := sim.takeStart()
			if !test.answerLate {
				sim.plan.StartDone(sim.now, start, sim.outcome(Accepted))
			}
			sim.advance(100 * time.Millisecond)
			// Another executor has room for what starts again.
			sim.register("1", "2", "3")
			pending := sim.leaseRenewals
			sim.leaseRenewals = nil
			if !test.viaReport {
				restarted := executorInfo("1")
				restarted.StartedMs = newLife
				sim.plan.SetExecutors(sim.now, []Executor{restarted, executorInfo("2"), executorInfo("3")})
				sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
				sim.advance(10 * time.Millisecond)
				pending = sim.leaseRenewals
			}
			if test.answerLate {
				sim.plan.StartDone(sim.now, start, sim.outcome(Accepted))
				sim.advance(100 * time.Millisecond)
			}
			assert.Assert(t, len(pending) > 0, "no report was requested")
			report := Report{Outcome: sim.outcome(Accepted), StartedMs: newLife}
			if test.listed {
				report.Running = []RunReport{runReport(start)}
			}
			sim.leaseRenewals = nil
			sim.plan.RenewLeaseDone(sim.now, pending[len(pending)-1], report)
			sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
			sim.advance(10 * time.Millisecond)
			for _, s := range sim.starts {
				assert.Assert(t, s.Task.Job != "b", "an earlier start may still be carried out")
			}
			// From this answer on the later life refuses what was sent to the former one.
			report.Outcome = sim.outcome(Accepted)
			sim.plan.RenewLeaseDone(sim.now, sim.takeRenewalOf("1"), report)
			sim.advance(10 * time.Millisecond)
			started := make(map[string]bool)
			for _, s := range sim.starts {
				started[s.Task.Job] = true
			}
			assert.Assert(t, started["a"], "the run of the earlier life is over")
			assert.Equal(t, started["b"], !test.listed)
			assert.Equal(t, sim.plan.openStarts, len(sim.starts))
			assert.Assert(t, sim.plan.executors["1"].openStarts <= len(sim.starts))
		})
	}
}

// Guards against a pool that is given up, or the later incarnation of an executor that is
// taken for over or never used, because that refuses an order that was sent to the former
// one: it has seen a higher fencing token.
func TestRefusalOfFormerIncarnationsOrderEndsNothing(t *testing.T) {
	const newLife = 2000
	for _, knownBefore := range []bool{false, true} {
		sim := newSimulation(t, 1)
		sim.register("1")
		sim.addJob("a", false, step(1))
		sim.step()
		start := sim.takeStart()
		former := sim.takeLeaseRenewal()
		restarted := executorInfo("1")
		restarted.StartedMs = newLife
		if knownBefore {
			sim.plan.SetExecutors(sim.now, []Executor{restarted})
		}
		sim.now = sim.now.Add(time.Millisecond)
		sim.plan.RenewLeaseDone(sim.now, former, Report{Outcome: sim.outcome(Accepted), StartedMs: newLife})
		e := sim.plan.executors["1"]
		assert.Assert(t, e != nil && e.listed && e.StartedMs == newLife)
		assert.Equal(t, sim.plan.RunCount(), 1, "the later incarnation may have begun the run")
		sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
		sim.advance(time.Second)
		assert.Equal(t, len(sim.starts), 0, "orders to the former incarnation may still be carried out")
		renewal := sim.takeLeaseRenewal()
		assert.Equal(t, renewal.StartedMs, int64(newLife))
		assert.Assert(t, renewal.FencingToken > start.FencingToken)
		assert.Assert(t, renewal.changesNothing())
		sim.plan.StartDone(sim.now, start, sim.outcome(RefusedFencingToken))
		assert.Assert(t, !sim.plan.Superseded())
		sim.plan.RenewLeaseDone(sim.now, renewal, Report{Outcome: sim.outcome(Accepted), StartedMs: newLife})
		sim.plan.SetExecutors(sim.now, []Executor{restarted})
		sim.advance(time.Millisecond)
		again := sim.takeStart()
		assert.Equal(t, again.StartedMs, int64(newLife))
		assert.Equal(t, again.FencingToken, renewal.FencingToken)
		assert.Equal(t, sim.plan.openStarts, 1)
		assert.Equal(t, sim.plan.executors["1"].openStarts, 1)
	}
}

// Guards against a run that outlasts the lease that a successor works out: the repeat of a
// start without an answer went to the later incarnation with the end of the lease on the
// clock of the former one, far ahead of the new clock.
func TestLeaseOfRepeatedStartIsOnTheClockOfItsExecutor(t *testing.T) {
	const newLife, newClockMs = 2000, 1000
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.addJob("a", false, step(1))
	sim.step()
	start := sim.takeStart()
	restarted := executorInfo("1")
	restarted.StartedMs, restarted.ClockMs = newLife, newClockMs
	sim.plan.SetExecutors(sim.now, []Executor{restarted})
	sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
	sim.now = sim.now.Add(500 * time.Millisecond)
	sim.plan.StartDone(sim.now, start, sim.outcome(NoAnswer))
	for range 100 {
		sim.advance(100 * time.Millisecond)
		clockMs := newClockMs + sim.now.UnixMilli() - 1_000_000
		for range len(sim.leaseRenewals) {
			outcome := Outcome{Answer: Accepted, ClockMs: clockMs, SentAt: sim.now}
			sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: outcome, StartedMs: newLife})
			sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
		}
		for _, s := range sim.starts {
			latest := clockMs + testParams.MaxLease.Milliseconds()
			assert.Assert(t, s.LeaseUntilMs <= latest, "a start (%s) has a lease until %d, the longest one ends at %d", s.Reason, s.LeaseUntilMs, latest)
		}
		if len(sim.starts) > 0 {
			return
		}
	}
	t.Fatal("the task does not start again")
}

// Guards against a second run beside one that a late start has begun in a later incarnation
// of an executor that cannot be reached: its lease ends on the former clock, so that it
// lasts for the longest lease, whatever its owner had granted.
func TestUnreachableExecutorMayBeginLate(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.addJob("a", false, step(1))
	sim.step()
	sent := sim.now
	sim.plan.StartDone(sim.now, sim.takeStart(), sim.outcome(NoAnswer))
	sim.register("1", "2")
	for {
		sim.advance(50 * time.Millisecond)
		for len(sim.starts) > 0 && sim.starts[0].Executor == "1" {
			sent = sim.now
			sim.plan.StartDone(sim.now, sim.takeStart(), sim.outcome(NoAnswer))
		}
		for range len(sim.leaseRenewals) {
			sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: sim.outcome(NoAnswer)})
		}
		if len(sim.starts) > 0 {
			break
		}
		assert.Assert(t, sim.now.Sub(sent) < time.Minute, "the task never starts again")
	}
	assert.Assert(t, sim.now.Sub(sent) >= briefLateTime+testParams.MaxLease, "started again after %v", sim.now.Sub(sent))
}

// Guards against a successor that starts a task again while an executor that cannot be
// reached may run it under a longer lease than its predecessor has granted. The registry
// shows that the executor has started again since the predecessor used it, or the record
// that the predecessor was not sure of that.
func TestSuccessorWaitsForRestartedExecutor(t *testing.T) {
	waited := make(map[string]time.Duration)
	for _, sign := range []string{"none", "registry", "record"} {
		sim := newSimulation(t, 2)
		sim.plan.params.MaxLease = 10 * time.Second
		inherited, listed := executorInfo("1"), executorInfo("1")
		if sign == "record" {
			predecessor := newSimulation(t, 1)
			predecessor.register("1")
			predecessor.addJob("a", false, step(1))
			predecessor.step()
			predecessor.plan.StartDone(predecessor.now, predecessor.takeStart(), predecessor.outcome(NoAnswer))
			predecessor.step()
			assert.Assert(t, predecessor.plan.ExecutorRecordOutdated())
			inherited = predecessor.plan.ExecutorsToRecord()[0]
		}
		sim.plan.Inherit(sim.now, inherited)
		if sign == "registry" {
			listed.StartedMs = 2000
		}
		begin := sim.now
		sim.plan.SetExecutors(sim.now, []Executor{listed})
		for !sim.plan.InheritedRunsKnown() {
			sim.advance(100 * time.Millisecond)
			for range len(sim.leaseRenewals) {
				sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: sim.outcome(NoAnswer)})
			}
			assert.Assert(t, sim.now.Sub(begin) < time.Minute)
		}
		waited[sign] = sim.now.Sub(begin)
	}
	assert.Assert(t, waited["none"] >= testParams.LeaseCap && waited["none"] < testParams.LeaseCap+time.Second, "waited %v", waited["none"])
	for _, sign := range []string{"registry", "record"} {
		assert.Assert(t, waited[sign] >= briefLateTime+10*time.Second, "%s: waited %v", sign, waited[sign])
	}
}

// Guards against orders with a newer token to a later incarnation that belongs to another pool,
// which would then refuse the owner of that pool.
func TestNoOrdersToIncarnationOfOtherPool(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	run := sim.runOne("a")
	moved := executorInfo("1")
	moved.StartedMs = laterStart
	sim.plan.SetExecutors(sim.now, nil)
	sim.plan.EndReplaced(sim.now, []Executor{moved})
	sim.advance(time.Millisecond)
	sim.answerFrom(laterStart, sim.takeRenewalOf("1"), nil)
	assert.Equal(t, sim.plan.RunCount(), 0, "the earlier process has ended")
	sim.advance(time.Second)
	for _, r := range sim.leaseRenewals {
		assert.Assert(t, r.FencingToken <= run.FencingToken)
	}
}

// Guards against an executor that is tried for no reason after it has started again, and that
// is not used at all if only tasks too short for a trial ask for it: it was idle since the
// takeover, so that no report showed that no acknowledgement of the previous owner is at large.
func TestIdleExecutorReportsOnceLateOrdersAreOver(t *testing.T) {
	sim := newSimulation(t, 2)
	sim.plan.Inherit(sim.now, executorInfo("1"))
	sim.register("1")
	for begin := sim.now; sim.now.Sub(begin) < 2*maxLateness; sim.advance(100 * time.Millisecond) {
		for range len(sim.leaseRenewals) {
			sim.answerFrom(formerStart, sim.takeLeaseRenewal(), nil)
		}
	}
	sim.answerFrom(laterStart, RenewLease{Target: sim.plan.reportTarget(sim.plan.executors["1"])}, nil)
	assert.Equal(t, sim.plan.executors["1"].StartedMs, int64(laterStart))
	assert.Assert(t, !sim.plan.executors["1"].StaleAck, "no acknowledgement of the previous owner can be at large")
}
