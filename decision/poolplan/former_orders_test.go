package poolplan

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// undecidedRun returns a simulation in which a start on executor 1 had no answer while an
// acknowledgement was at large.
func undecidedRun(t *testing.T, st workload.Step) (*simulation, Start) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.endOne(sim.runOne("a"), 5)
	sim.answerFrom(formerStart, sim.takeRenewalOf("1"), nil)
	sim.addJob("b", false, st)
	sim.advance(time.Millisecond)
	start := sim.takeStart()
	sim.plan.executors["1"].unansweredAckAt = sim.now
	sim.plan.StartDone(sim.now, start, sim.outcome(NoAnswer))
	sim.step()
	sim.starts = nil
	return sim, start
}

// Guards against an executor that is never asked again and gets no more work, because a
// renewal was withheld after it had started again: its outcome was taken for that of an order
// to the former incarnation.
func TestWithheldAckHoldsNothingUp(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.endOne(sim.runOne("z"), 1)
	sim.answerFrom(formerStart, sim.takeRenewalOf("1"), nil)
	sim.leaseRenewals = nil
	sim.restart("1", laterStart, nil)
	e := sim.plan.executors["1"]
	e.StaleAck = false
	sim.addJob("a", false, step(1))
	sim.advance(time.Millisecond)
	s := sim.takeStart()
	sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	sim.advance(10 * time.Millisecond)
	sim.answerFrom(laterStart, sim.takeRenewalOf("1"), nil, EndReport{Number: 1, Task: s.Task, Attempt: s.Attempt, Ending: EndedDone})
	for _, save := range sim.plan.Saves(sim.now, testSaveLimit) {
		sim.plan.SaveDone(sim.now, save, true)
	}
	sim.advance(300 * time.Millisecond)
	for range len(sim.leaseRenewals) {
		sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: Outcome{Answer: Withheld}})
	}
	sim.addJob("c", false, step(1))
	for range 600 {
		sim.advance(100 * time.Millisecond)
	}
	assert.Assert(t, len(sim.starts) > 0, "no start in 60 s on a sound executor: openAck %d, renewal open %v", e.openAck, e.leaseRenewalOpen)
}

// Guards against work that is repeated on an executor that was dropped while it was tried and
// returns as the same incarnation: it forgets its first ends as before.
func TestReturningIncarnationIsStillTried(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.endOne(sim.runOne("a"), 37)
	sim.restart("1", laterStart, nil)
	e := sim.plan.executors["1"]
	assert.Assert(t, e.StaleAck)
	info := executorInfo("1")
	info.StartedMs = laterStart
	sim.plan.SetExecutors(sim.now, nil)
	for range 300 {
		sim.advance(100 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: Outcome{Answer: NoAnswer, SentAt: sim.now}})
		}
		if sim.plan.executors["1"] == nil {
			break
		}
	}
	assert.Assert(t, sim.plan.executors["1"] == nil, "not dropped")
	sim.advance(time.Second)
	sim.plan.SetExecutors(sim.now, []Executor{info})
	sim.advance(time.Millisecond)
	assert.Assert(t, sim.plan.executors["1"].StaleAck)
	sim.answerFrom(laterStart, sim.takeRenewalOf("1"), nil)
	assert.Assert(t, sim.plan.executors["1"].StaleAck, "the same incarnation still forgets its first ends")
}

// Guards against members of a gang that begin below an open acknowledgement.
func TestGangWaitsForAcknowledgement(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.endOne(sim.runOne("a"), 37)
	assert.Assert(t, sim.plan.executors["1"].openAck > 0)
	s := step(2)
	s.Gang = true
	sim.addJob("gang", false, s)
	sim.advance(time.Millisecond)
	assert.Equal(t, len(sim.starts), 0, "openAck=%d", sim.plan.executors["1"].openAck)
}

// Guards against starts without end that come too late for their short lease.
func TestLeaseOfVerificationGrows(t *testing.T) {
	sim, _ := undecidedRun(t, step(1))
	sim.restart("1", laterStart, nil)
	refused := 0
	var lease int64
	for range 600 {
		for len(sim.starts) > 0 {
			s := sim.takeStart()
			lease = max(lease, s.LeaseUntilMs-sim.executorClockMs())
			refused++
			sim.plan.StartDone(sim.now, s, sim.outcome(RefusedLate))
		}
		sim.advance(50 * time.Millisecond)
		for range len(sim.leaseRenewals) {
			sim.answerFrom(laterStart, sim.takeLeaseRenewal(), nil)
		}
	}
	assert.Assert(t, refused < 5 || lease > 100)
}

// Guards against an executor that is never used again after a restart, because only gangs or
// short tasks wait, which no trial used.
func TestGangsAndShortTasksAreTried(t *testing.T) {
	gang := step(2)
	gang.Gang = true
	short := step(1)
	short.Estimate = 200 * time.Millisecond
	shortest := step(1)
	shortest.Estimate = 50 * time.Millisecond
	for name, st := range map[string]workload.Step{"gang": gang, "short": short, "shortest": shortest} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.register("1")
			sim.endOne(sim.runOne("a"), 1)
			sim.restart("1", laterStart, nil)
			sim.addJob("b", false, st)
			for range 600 {
				sim.advance(100 * time.Millisecond)
				for range len(sim.leaseRenewals) {
					sim.answerFrom(laterStart, sim.takeLeaseRenewal(), nil)
				}
				if len(sim.starts) > 0 {
					return
				}
			}
			t.Fatalf("no start in 60 s; StaleAck %v", sim.plan.executors["1"].StaleAck)
		})
	}
}

// Guards against a task that never starts again: the answer of a later incarnation set the
// clock back, and the lease that the former one had would have lasted for the age of its clock.
func TestClockOfOtherIncarnationEndsLeases(t *testing.T) {
	for _, behind := range []bool{false, true} {
		sim := newSimulation(t, 1)
		info := executorInfo("1")
		info.ClockMs = 3_600_000
		sim.plan.SetExecutors(sim.now, []Executor{info})
		sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
		sim.plan.executors["1"].lastAnswerAt = sim.now
		sim.addJob("a", false, step(1))
		sim.step()
		s := sim.takeStart()
		sim.now = sim.now.Add(10 * time.Millisecond)
		o := sim.outcome(Accepted)
		o.ClockMs = 3_600_010
		if behind {
			o.ClockMs = 800
		}
		sim.plan.StartDone(sim.now, s, o)
		sim.plan.SetExecutors(sim.now, nil)
		sim.register("2")
		for range 1200 {
			sim.advance(100 * time.Millisecond)
			for range len(sim.leaseRenewals) {
				sim.plan.RenewLeaseDone(sim.now, sim.takeLeaseRenewal(), Report{Outcome: Outcome{Answer: NoAnswer, SentAt: sim.now}})
			}
			if len(sim.starts) > 0 {
				break
			}
		}
		assert.Check(t, len(sim.starts) > 0)
	}
}

// Guards against a run that is started again by the registry alone: an entry of another writer
// has the address of an executor whose own entry has expired, and which answers.
func TestAnsweringExecutorOutlastsOtherEntry(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.runOne("a")
	sim.plan.SetExecutors(sim.now, nil)
	sim.advance(10 * time.Millisecond)
	odd := executorInfo("9")
	odd.Address, odd.StartedMs = executorInfo("1").Address, 5000
	sim.plan.SetExecutors(sim.now, []Executor{odd})
	sim.advance(10 * time.Millisecond)
	assert.Equal(t, sim.plan.RunCount(), 1, "a run is lost by the registry alone; its executor answered 10 ms ago")
}

// Guards against an end that is acknowledged before it is durable: a save of the end with the
// same number in the former incarnation, which has the same fencing token, stood for it.
func TestSaveConcernsOneIncarnation(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.addJob("a", false, step(1))
	sim.addJob("b", false, step(1))
	sim.step()
	a, b := sim.takeStart(), sim.takeStart()
	sim.plan.StartDone(sim.now, a, sim.outcome(NoAnswer))
	sim.plan.StartDone(sim.now, b, sim.outcome(NoAnswer))
	sim.step()
	sim.starts = nil
	// The registry does not describe it yet, so that job b does not start there.
	sim.restartUndescribed("1", laterStart, nil, EndReport{Number: 1, Task: a.Task, Attempt: a.Attempt, Ending: EndedDone})
	e := sim.plan.executors["1"]
	saves := sim.plan.Saves(sim.now, testSaveLimit)
	token := e.fencingToken
	sim.now = sim.now.Add(time.Millisecond)
	sim.answerFrom(3000, RenewLease{Target: sim.plan.reportTarget(e)}, nil, EndReport{Number: 1, Task: b.Task, Attempt: b.Attempt, Ending: EndedDone})
	e = sim.plan.executors["1"]
	assert.Assert(t, e.ordered && e.fencingToken == token, "the incarnations have different tokens")
	assert.Assert(t, e.unsavedEnds[1])
	for _, s := range saves {
		sim.plan.SaveDone(sim.now, s, true)
	}
	assert.Assert(t, e.unsavedEnds[1], "the end of job b is not durable, and would be acknowledged (ackable %d)", e.ackableEnd(sim.now.Add(time.Minute)))
}
