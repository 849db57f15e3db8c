package poolplan

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	formerStart = 1000
	laterStart  = 2000
)

// answerFrom answers a renewal with the report of the incarnation that began at startedMs,
// and steps the plan.
func (sim *simulation) answerFrom(startedMs int64, renewal RenewLease, running []RunReport, ended ...EndReport) {
	sim.plan.RenewLeaseDone(sim.now, renewal, Report{Outcome: sim.outcome(Accepted), StartedMs: startedMs, Running: running, Ended: ended})
	sim.plan.MarkRecorded(sim.plan.ExecutorsToRecord())
	sim.step()
}

// restart has an incarnation that began at startedMs answer for an executor, and then the
// registry describe it.
func (sim *simulation) restart(id string, startedMs int64, running []RunReport, ended ...EndReport) {
	sim.t.Helper()
	sim.restartUndescribed(id, startedMs, running, ended...)
	if sim.plan.executors[id].listed {
		sim.describe(id, startedMs)
		sim.step()
	}
}

// describe has the registry list an executor with the incarnation that began at startedMs.
func (sim *simulation) describe(id string, startedMs int64) {
	info := executorInfo(id)
	info.StartedMs = startedMs
	sim.plan.setExecutor(sim.now, info)
}

// restartUndescribed has an incarnation that began at startedMs answer: first an order to the
// former one, then one of its own, with a report of what it has.
func (sim *simulation) restartUndescribed(id string, startedMs int64, running []RunReport, ended ...EndReport) {
	sim.t.Helper()
	e := sim.plan.executors[id]
	open := RenewLease{Target: sim.plan.reportTarget(e), AckedEnd: e.openAck}
	sim.now = sim.now.Add(time.Millisecond)
	sim.leaseRenewals = nil
	sim.answerFrom(startedMs, open, running, ended...)
	sim.advance(time.Millisecond)
	sim.answerFrom(startedMs, sim.takeRenewalOf(id), running, ended...)
}

// runOne starts a task on executor 1 that reports it, and returns its start.
func (sim *simulation) runOne(job string) Start {
	sim.t.Helper()
	sim.addJob(job, false, step(1))
	sim.step()
	s := sim.takeStart()
	sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
	sim.advance(10 * time.Millisecond)
	sim.answerFrom(formerStart, sim.takeRenewalOf(s.Executor), []RunReport{runReport(s)})
	return s
}

// endOne has the executor list the end of a run, and leaves the acknowledgement open.
func (sim *simulation) endOne(s Start, number int64) {
	sim.t.Helper()
	sim.answerFrom(formerStart, sim.takeRenewalOf(s.Executor), nil, EndReport{Number: number, Task: s.Task, Attempt: s.Attempt, Ending: EndedDone})
	for _, save := range sim.plan.Saves(sim.now, testSaveLimit) {
		sim.plan.SaveDone(sim.now, save, true)
	}
	sim.advance(100 * time.Millisecond)
	assert.Equal(sim.t, sim.plan.executors[s.Executor].openAck, number)
}

// Guards against a second run beside a start without an answer that a later incarnation of
// the executor carries out 12 s later, also if nobody has reached that one: it has not
// seen a higher fencing token after a second restart in a row. On the executor itself the
// task need not wait once that refuses the start.
func TestTaskOfLateStartWaits(t *testing.T) {
	for name, test := range map[string]struct {
		answers, full bool
		// earliest and latest bound the wait, on whichever executor.
		earliest, latest time.Duration
	}{
		"executor refuses the late start": {true, false, 0, time.Second},
		"executor has no room":            {true, true, maxLateness, maxLateness + 2*time.Second},
		"executor is not reached again":   {false, false, briefLateTime + testParams.MaxLease, finishTime},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			sim.register("1", "2")
			sim.addJob("a", false, step(1))
			sim.step()
			start := sim.takeStart()
			sim.plan.StartDone(sim.now, start, sim.outcome(NoAnswer))
			repeat := sim.takeRepeat(start)
			lastTry := sim.now
			sim.plan.StartDone(sim.now, repeat, sim.outcome(NoAnswer))
			sim.step()
			sim.starts = nil
			sim.restartUndescribed(start.Executor, laterStart, nil)
			assert.Equal(t, sim.plan.RunCount(), 0, "the later incarnation refuses the start from now on")
			if !test.answers {
				sim.plan.executors[start.Executor].missedAnswers = 1
			}
			sim.describe(start.Executor, laterStart)
			if test.full {
				sim.plan.executors[start.Executor].used = executorInfo("1").Capacity
			}
			sim.step()
			for len(sim.starts) == 0 {
				sim.advance(50 * time.Millisecond)
				for range len(sim.leaseRenewals) {
					if renewal := sim.takeLeaseRenewal(); test.answers {
						sim.answerFrom(laterStart, renewal, nil)
					} else {
						sim.plan.RenewLeaseDone(sim.now, renewal, Report{Outcome: sim.outcome(NoAnswer)})
					}
				}
				assert.Assert(t, sim.now.Sub(lastTry) < test.latest, "the task does not start again")
			}
			waited := sim.now.Sub(lastTry)
			assert.Assert(t, waited >= test.earliest, "started again after %v", waited)
			if test.answers && waited < maxLateness {
				assert.Equal(t, sim.starts[0].Executor, start.Executor)
			}
		})
	}
}

// Guards against a task that runs again after its end was acknowledged by an order to a
// former incarnation: the later one forgets ends up to that number as they happen, and its
// owner takes such a run for lost.
func TestExecutorIsTriedAfterStaleAck(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.endOne(sim.runOne("a"), 37)
	sim.addJob("b", false, step(2))
	sim.restart("1", laterStart, nil)
	assert.Assert(t, sim.plan.ExecutorsToRecord()[0].StaleAck, "a later owner must try the executor as well")
	// answer answers all renewals of a time with reports that list nothing.
	answer := func(d time.Duration) {
		for end := sim.now.Add(d); sim.now.Before(end); sim.advance(50 * time.Millisecond) {
			for range len(sim.leaseRenewals) {
				sim.answerFrom(laterStart, sim.takeLeaseRenewal(), nil)
			}
		}
	}
	for _, trials := range []int{1, 2} {
		assert.Equal(t, len(sim.starts), trials)
		for range trials {
			s := sim.takeStart()
			assert.Assert(t, s.LeaseUntilMs <= sim.executorClockMs()+trialLease.Milliseconds())
			sim.plan.StartDone(sim.now, s, sim.outcome(Accepted))
			sim.step()
			i := slices.IndexFunc(sim.stops, func(stop Stop) bool { return stop.Task == s.Task && stop.Attempt == s.Attempt })
			assert.Assert(t, i >= 0, "the trial goes on")
			sim.plan.StopDone(sim.now, sim.stops[i], sim.outcome(Accepted))
		}
		answer(testParams.StopTime + stopMargin + 100*time.Millisecond)
	}
	tried := sim.plan.jobs["b"].occurrences[0].groups[0].tasks[0]
	end := EndReport{Number: 38, Task: tried.id(), Attempt: tried.lastAttempt, Ending: EndedStopped}
	sim.starts = nil
	sim.advance(trialReportWait)
	sim.plan.RenewLeaseDone(sim.now, sim.takeRenewalOf("1"), Report{Outcome: sim.outcome(Accepted), StartedMs: laterStart, Ended: []EndReport{end}})
	assert.Assert(t, !sim.plan.ExecutorsToRecord()[0].StaleAck)
	assert.Assert(t, sim.plan.ExecutorRecordOutdated())
	sim.step()
	assert.Assert(t, len(sim.starts) > 0)
	assert.Assert(t, sim.starts[0].LeaseUntilMs > sim.executorClockMs()+trialLease.Milliseconds(), "the executor lists ends, and its work goes on")
}

// Guards against a successor that takes an executor for one that lists ends, although its
// predecessor was still trying it.
func TestSuccessorTriesExecutor(t *testing.T) {
	for _, info := range []Executor{
		{StaleAck: true, StartedMs: laterStart},
		{StartedMs: formerStart},
		{},
	} {
		sim := newSimulation(t, 2)
		inherited := executorInfo("1")
		inherited.StaleAck, inherited.StartedMs = info.StaleAck, info.StartedMs
		sim.plan.Inherit(sim.now, inherited)
		listed := executorInfo("1")
		listed.StartedMs = laterStart
		sim.plan.SetExecutors(sim.now, []Executor{listed})
		sim.addJob("new", false, step(2))
		sim.step()
		assert.Equal(t, len(sim.starts), 0)
		sim.answerFrom(laterStart, sim.takeLeaseRenewal(), nil)
		assert.Equal(t, len(sim.starts), 1, "record %+v", info)
		assert.Assert(t, sim.starts[0].LeaseUntilMs <= sim.executorClockMs()+trialLease.Milliseconds())
	}
}

// Guards against a work item that is repeated, or shown as done, although a later incarnation
// has run it by a late start and has forgotten its end, which may have been a failure, and
// against one that is given up although it never began there.
func TestRunThatEndedUnseen(t *testing.T) {
	for name, test := range map[string]struct {
		answer Answer
		// unseen is the time since the former incarnation's last report.
		unseen           time.Duration
		stopped, unknown bool
	}{
		"it has ended there":                      {RefusedOld, 2 * time.Second, false, true},
		"it has ended before it could be done":    {RefusedOld, 100 * time.Millisecond, false, false},
		"it has not begun there":                  {Accepted, 2 * time.Second, true, false},
		"the executor refuses it for other cause": {RefusedRoom, 2 * time.Second, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			sim, start := undecidedRun(t, step(1))
			sim.now = sim.now.Add(test.unseen)
			sim.restart("1", laterStart, nil)
			again := sim.takeStart()
			assert.Equal(t, again.Task, start.Task)
			assert.Equal(t, again.Attempt, start.Attempt)
			sim.advance(2 * trialStopDelay)
			assert.Equal(t, len(sim.stops), 0, "a stop that arrives first would have the start refused")
			sim.plan.StartDone(sim.now, again, sim.outcome(test.answer))
			sim.step()
			assert.Equal(t, len(sim.stops) > 0, test.stopped)
			assert.Assert(t, !sim.plan.jobs["b"].progress.State.Ended())
			unknown := sim.plan.jobs["b"].partProgress(0).Unknown
			assert.Equal(t, len(unknown) > 0, test.unknown)
			if !test.unknown {
				return
			}
			sim.saveAll()
			sim.register("2")
			sim.advance(maxLateness + testParams.MaxLease)
			assert.Equal(t, len(sim.starts), 0, "the task runs again")
			// A later owner knows as much.
			next := newSimulation(t, 2)
			next.register("1", "2")
			spec := sim.plan.jobs["b"].spec
			next.plan.AddJob(next.now, spec, sim.plan.jobs["b"].partProgress(0), true)
			next.plan.inheritedRunsKnown = true
			next.advance(time.Second)
			assert.Equal(t, len(next.starts), 0, "the task runs again under the next owner")
			assert.Assert(t, next.plan.jobs["b"] != nil, "the job is gone")
		})
	}
}

// Guards against the wrong incarnation: a start that is earlier than the former one's, after
// the time of day has stepped back, is that of another process, and an entry of the registry
// that names a later one says nothing of the process.
func TestProcessSaysWhichIncarnationItIs(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	run := sim.runOne("a")
	odd := executorInfo("1")
	odd.StartedMs = 9000
	for range 3 {
		sim.plan.SetExecutors(sim.now, []Executor{odd})
		sim.advance(10 * time.Millisecond)
	}
	assert.Equal(t, sim.plan.RunCount(), 1)
	assert.Equal(t, len(sim.leaseRenewals), 2, "the open renewal and one check")
	for range 2 {
		sim.answerFrom(formerStart, sim.takeLeaseRenewal(), []RunReport{runReport(run)})
	}
	assert.Equal(t, sim.plan.RunCount(), 1)
	assert.Assert(t, sim.plan.executors["1"].acceptsWork())
	sim.restart("1", formerStart-500, nil)
	assert.Equal(t, sim.plan.executors["1"].StartedMs, int64(formerStart-500))
	assert.Equal(t, sim.takeStart().Task, run.Task)
}

// Guards against a report of a former incarnation that arrives after the first one of the
// later incarnation and is taken for it.
func TestReportOfFormerIncarnationIsDropped(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	run := sim.runOne("a")
	late := sim.takeRenewalOf("1")
	sim.restart("1", laterStart, nil)
	again := sim.takeStart()
	sim.answerFrom(formerStart, late, []RunReport{runReport(run)}, EndReport{Number: 7, Task: run.Task, Attempt: run.Attempt, Ending: EndedDone})
	e := sim.plan.executors["1"]
	assert.Equal(t, e.StartedMs, int64(laterStart))
	assert.Equal(t, e.lastEnd, int64(0))
	assert.Equal(t, sim.plan.RunCount(), 1)
	assert.Assert(t, e.runs[runKey{again.Task, again.Attempt}] != nil)
}

// Guards against orders to a second later incarnation in a row that it cannot tell from
// those to the first one, because the owner has no newer fencing token yet.
func TestEachIncarnationHasItsToken(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	former := sim.runOne("a")
	sim.restart("1", laterStart, nil)
	second := sim.takeStart()
	assert.Assert(t, second.FencingToken > former.FencingToken)
	sim.ownershipRenewalStopped = true
	sim.plan.SetOwnershipRenewed(sim.now, second.FencingToken)
	e := sim.plan.executors["1"]
	open := RenewLease{Target: sim.plan.reportTarget(e)}
	sim.leaseRenewals = nil
	sim.now = sim.now.Add(time.Millisecond)
	sim.answerFrom(3000, open, nil)
	sim.advance(time.Second)
	assert.Equal(t, len(sim.leaseRenewals)+len(sim.starts)+len(sim.stops), 0)
	sim.plan.SetOwnershipRenewed(sim.now, second.FencingToken+1)
	sim.advance(time.Millisecond)
	assert.Equal(t, sim.takeLeaseRenewal().FencingToken, second.FencingToken+1)
}

// Guards against a run that begins in a later incarnation and ends below an acknowledgement
// for the former one, both sent before the restart was noticed.
func TestStartsAndAcknowledgementsAreNotOpenTogether(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.endOne(sim.runOne("a"), 1)
	sim.addJob("b", false, step(1))
	sim.advance(time.Millisecond)
	assert.Equal(t, len(sim.starts), 0, "an acknowledgement has no answer yet")
	sim.answerFrom(formerStart, sim.takeRenewalOf("1"), nil)
	start := sim.takeStart()
	sim.addJob("c", false, step(1))
	sim.advance(time.Millisecond)
	other := sim.takeStart()
	sim.plan.StartDone(sim.now, other, sim.outcome(Accepted))
	renewal := sim.takeRenewalOf("1")
	sim.answerFrom(formerStart, renewal, nil, EndReport{Number: 2, Task: other.Task, Attempt: other.Attempt, Ending: EndedDone})
	for _, save := range sim.plan.Saves(sim.now, testSaveLimit) {
		sim.plan.SaveDone(sim.now, save, true)
	}
	sim.leaseRenewals = nil
	sim.advance(100 * time.Millisecond)
	sim.addJob("d", false, step(1))
	sim.advance(time.Millisecond)
	assert.Equal(t, len(sim.leaseRenewals)+len(sim.starts), 0, "the acknowledgement waits for a start, and holds others up")
	sim.plan.StartDone(sim.now, start, sim.outcome(Accepted))
	sim.advance(time.Millisecond)
	assert.Equal(t, sim.takeLeaseRenewal().AckedEnd, int64(2))
	assert.Equal(t, len(sim.starts), 0)
}

// Guards against a restart that is not noticed because a relay keeps the connections: the
// answer to a start names no incarnation, but the clock in it has started anew.
func TestClockThatIsBehindLeadsToReport(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.runOne("a")
	sim.addJob("b", false, step(1))
	sim.advance(time.Second)
	start := sim.takeStart()
	answer := sim.outcome(Accepted)
	answer.ClockMs = 1200
	sim.leaseRenewals = nil
	sim.plan.StartDone(sim.now, start, answer)
	sim.advance(time.Millisecond)
	assert.Assert(t, sim.takeLeaseRenewal().changesNothing())
	assert.Assert(t, !sim.plan.executors["1"].acceptsWork())
}

// Guards against orders to an executor that was given up a moment ago, has come back under
// its identifier, and cannot tell them from late ones.
func TestExecutorThatReturnsHasHigherToken(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	former := sim.runOne("a")
	sim.plan.endIncarnation(sim.now, sim.plan.executors["1"], "test")
	sim.register("1")
	e := sim.plan.executors["1"]
	assert.Assert(t, !e.acceptsWork())
	sim.advance(time.Millisecond)
	renewal := sim.takeRenewalOf("1")
	for renewal.FencingToken == former.FencingToken {
		renewal = sim.takeRenewalOf("1")
	}
	assert.Assert(t, renewal.FencingToken > former.FencingToken && renewal.changesNothing())
	sim.answerFrom(formerStart, renewal, nil)
	assert.Equal(t, sim.takeStart().FencingToken, renewal.FencingToken)
}

// Guards against a start with a ticket that was given for a former incarnation.
func TestTicketsEndWithTheIncarnation(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	run := sim.runOne("a")
	g := sim.plan.jobs["a"].occurrences[0].groups[0]
	g.advice = &advice{tickets: map[string]ticket{"1": {"t", sim.now.Add(time.Hour)}}, denied: make(map[string]bool), askedAt: sim.now}
	sim.restart("1", laterStart, nil)
	assert.Equal(t, len(g.advice.tickets), 0)
	sim.plan.openAdviceCalls++
	sim.plan.AdviseDone(sim.now, Advise{Job: run.Task.Job, Executors: []string{"1"}}, map[string]string{"1": "t"}, time.Hour, true)
	assert.Equal(t, len(g.advice.tickets), 0, "asked before the restart")
}

// Guards against work by the capacity of the former incarnation: the registry has not described
// the later one, which may have another.
func TestUndescribedIncarnationGetsNoWork(t *testing.T) {
	sim := newSimulation(t, 1)
	sim.register("1")
	sim.runOne("a")
	sim.restartUndescribed("1", laterStart, nil)
	e := sim.plan.executors["1"]
	t.Logf("described %v starts %d", e.described, len(sim.starts))
	assert.Assert(t, e.described || len(sim.starts) == 0)
	sim.describe("1", laterStart)
	sim.advance(time.Millisecond)
	assert.Equal(t, len(sim.starts), 1)
}
