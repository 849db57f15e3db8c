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

// Guards against a short task that runs again after its verification, or is shown as done
// although it has failed there: it would end before a stop takes effect, and its end is not
// listed. Its lease ends it in time, so that it starts again.
func TestVerifiedShortTaskCannotEnd(t *testing.T) {
	const duration = 100 * time.Millisecond
	st := step(1)
	st.Estimate = duration
	sim, start := undecidedRun(t, st)
	sim.restart("1", laterStart, nil)
	again := sim.takeStart()
	assert.Equal(t, again.Attempt, start.Attempt)
	lease := again.LeaseUntilMs - sim.executorClockMs()
	assert.Assert(t, lease <= duration.Milliseconds()/2, "lease of %d ms", lease)
	sim.plan.StartDone(sim.now, again, sim.outcome(Accepted))
	for sent := sim.now; len(sim.starts) == 0; {
		sim.advance(100 * time.Millisecond)
		for _, stop := range sim.stops {
			sim.plan.StopDone(sim.now, stop, sim.outcome(Accepted))
		}
		sim.stops = nil
		for range len(sim.leaseRenewals) {
			sim.answerFrom(laterStart, sim.takeLeaseRenewal(), nil)
		}
		assert.Assert(t, !sim.plan.jobs["b"].progress.State.Ended(), "the job is shown as ended")
		assert.Assert(t, sim.now.Sub(sent) < time.Minute, "the task never starts again")
	}
	assert.Assert(t, sim.takeStart().Attempt > start.Attempt)
}

// Guards against the same where a run beside it keeps a longer lease: the task is verified
// once its end will be listed, and then goes on.
func TestShortTaskBesideServiceIsVerifiedLater(t *testing.T) {
	st := step(1)
	st.Estimate = 100 * time.Millisecond
	sim, start := undecidedRun(t, st)
	sim.restartUndescribed("1", laterStart, nil)
	sim.starts = nil
	e := sim.plan.executors["1"]
	e.runs[runKey{start.Task, start.Attempt}].undecided = true
	e.grantedUntilMs = sim.executorClockMs() + 5000
	sim.answerFrom(laterStart, RenewLease{Target: sim.plan.reportTarget(e)}, nil)
	assert.Equal(t, len(sim.starts), 0, "the run would go on until it ends unseen")
	listed := EndReport{Number: 1, Task: taskID("other"), Attempt: 1, Ending: EndedStopped}
	e.trials.endsUnseen = true
	sim.now = sim.now.Add(time.Millisecond)
	sim.answerFrom(laterStart, RenewLease{Target: sim.plan.reportTarget(e)}, nil, EndReport{Number: 38, Task: listed.Task, Attempt: 1, Ending: EndedStopped})
	again := sim.takeStart()
	assert.Equal(t, again.Attempt, start.Attempt)
	sim.plan.StartDone(sim.now, again, sim.outcome(Accepted))
	sim.advance(200 * time.Millisecond)
	assert.Equal(t, len(sim.stops), 0, "its end will be listed")
}

// Guards against a task that runs again because its verification has no answer, although its
// run had ended there before.
func TestUnansweredVerificationIsRepeated(t *testing.T) {
	sim, start := undecidedRun(t, step(1))
	sim.restart("1", laterStart, nil)
	again := sim.takeStart()
	sim.plan.StartDone(sim.now, again, sim.outcome(NoAnswer))
	sim.register("2")
	for range 400 {
		sim.advance(50 * time.Millisecond)
		for _, s := range sim.stops {
			sim.plan.StopDone(sim.now, s, sim.outcome(Accepted))
		}
		sim.stops = nil
		for range len(sim.leaseRenewals) {
			sim.answerFrom(laterStart, sim.takeLeaseRenewal(), nil)
		}
	}
	for _, s := range sim.starts {
		assert.Assert(t, s.Task != start.Task || s.Attempt == start.Attempt, "started again as attempt %d on %s", s.Attempt, s.Executor)
	}
}

// Guards against a second run by a verification without an answer that is carried out late:
// once nothing more is to be found out, it is stopped before the task starts again.
func TestUnansweredVerificationIsStopped(t *testing.T) {
	sim, _ := undecidedRun(t, step(1))
	sim.restart("1", laterStart, nil)
	sim.plan.StartDone(sim.now, sim.takeStart(), sim.outcome(NoAnswer))
	sim.advance(time.Millisecond)
	other := EndReport{Number: 1, Task: taskID("other"), Attempt: 1, Ending: EndedDone}
	sim.answerFrom(laterStart, sim.takeRenewalOf("1"), nil, other)
	assert.Equal(t, len(sim.starts), 0)
	assert.Equal(t, len(sim.stops), 1)
}
