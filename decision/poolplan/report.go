package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// Timing of orders that got no answer.
const (
	// startTries is how often a start is sent before its run is given up.
	startTries = 3
	// busyPause keeps work away from an executor that refused it.
	busyPause = 300 * time.Millisecond
	// vanishMargin is how much later than the confirmation of a start a report
	// must have been asked for to show that the run is gone.
	vanishMargin = 50 * time.Millisecond
)

// Failures of different jobs in a row after which an executor is taken to fail
// everything, and how long it then gets no work; the pause doubles each time.
const (
	failureStreak  = 3
	avoidBase      = 2 * time.Second
	avoidDoublings = 2
	// hopelessJob is the number of executors on which tasks of a job have
	// failed from which on the job, and not the executor, is at fault.
	hopelessJob = 2
)

// find returns the executor of a target while that life is current.
func (p *Plan) find(t Target) *executor {
	e := p.executors[t.Executor]
	if e == nil || (t.Born != 0 && e.Born != t.Born) {
		return nil
	}
	return e
}

// StartDone records the answer to a start.
func (p *Plan) StartDone(now time.Time, s Start, o Outcome) {
	e := p.find(s.Target)
	if e == nil {
		return
	}
	r := e.runs[runKey{s.Task, s.Attempt}]
	if r == nil {
		p.startOfUnknownRun(now, e, o)
		return
	}
	r.unanswered = false
	if o.Answer != NoAnswer && o.Answer != NotSent {
		e.heard(now, o)
		e.unanswered = time.Time{}
		e.silent = 0
	}
	if o.Answer != Accepted {
		p.note(Event{What: "start refused", Job: s.Task.Job, Task: s.Task.String(), Peer: e.ID, Reason: o.Answer.String()})
	}
	switch o.Answer {
	case Accepted:
		if r.state == runStarting {
			r.state, r.confirmed = runRunning, now
			r.percentAt = now
		}
	case RefusedFence:
		p.deposed = true
	case NoAnswer:
		p.unansweredStart(now, r, s)
	case NotSent:
		if r.tries > 1 {
			p.stop(now, r, "start unanswered")
			return
		}
		p.silence(now, e)
		p.neverBegan(now, r, "executor unreachable")
	case RefusedOld:
		p.oldAttempt(now, r)
	case WrongLife:
		p.endLife(now, e, "another life answers")
	case RefusedTicket:
		r.task.group.advice = nil
		p.neverBegan(now, r, "ticket refused")
	case RefusedLate, RefusedRoom, RefusedBusy, RefusedInvalid:
		e.avoidUntil = now.Add(busyPause)
		if r.tries > 1 {
			p.stop(now, r, "start refused after an unanswered one")
			return
		}
		p.neverBegan(now, r, "refused: "+o.Answer.String())
	}
}

// oldAttempt handles a start that the executor refuses because this attempt or
// a later one has ended there. After an unanswered start that may be the end of
// this very run, which the next report lists.
func (p *Plan) oldAttempt(now time.Time, r *run) {
	if r.tries == 1 {
		p.neverBegan(now, r, "attempt is old")
		return
	}
	if r.state == runStarting {
		r.state, r.percentAt = runRunning, now
	}
	r.confirmed = now
}

// startOfUnknownRun handles the answer to a start whose run was given up.
func (p *Plan) startOfUnknownRun(now time.Time, e *executor, o Outcome) {
	if o.Answer == RefusedFence {
		p.deposed = true
	}
	if o.Answer == Accepted {
		e.heard(now, o)
	}
}

// unansweredStart sends a start again. The executor takes a repeat of the same
// attempt for the same run, so that the work is not lost.
func (p *Plan) unansweredStart(now time.Time, r *run, s Start) {
	e := r.executor
	if e.unanswered.IsZero() {
		e.unanswered = now
	}
	if r.state == runStopping {
		return
	}
	if r.tries >= startTries {
		p.stop(now, r, "start unanswered")
		return
	}
	r.tries++
	r.unanswered = true
	s.LeaseUntil = max(s.LeaseUntil, e.lease(now, p.leaseTerm()))
	e.grant(now, s.LeaseUntil)
	s.Reason = "repeat"
	p.orders = append(p.orders, s)
}

// StopDone records the answer to a stop.
func (p *Plan) StopDone(now time.Time, s Stop, o Outcome) {
	e := p.find(s.Target)
	if e == nil {
		return
	}
	r := e.runs[runKey{s.Task, s.Attempt}]
	if o.Answer == RefusedFence {
		p.deposed = true
		return
	}
	if o.Answer == WrongLife {
		p.endLife(now, e, "another life answers")
		return
	}
	if o.Answer == Accepted {
		e.heard(now, o)
		e.unanswered = time.Time{}
		e.silent = 0
	}
	if r == nil {
		return
	}
	r.stopBusy = false
	if o.Answer != Accepted {
		p.note(Event{What: "stop not confirmed", Job: s.Task.Job, Task: s.Task.String(), Peer: e.ID, Reason: o.Answer.String()})
		return
	}
	if r.confirmed.IsZero() {
		// The run never began, or its end will be listed; the next report
		// that was asked for from now on tells which.
		r.confirmed = now
	}
}

// silence records that the executor did not answer.
func (p *Plan) silence(now time.Time, e *executor) {
	e.silent++
	if e.silent == 1 {
		p.note(Event{What: "executor does not answer", Peer: e.ID, Age: now.Sub(e.heardAt)})
	}
}

// HoldDone records the answer to a hold.
func (p *Plan) HoldDone(now time.Time, h Hold, r Report) {
	e := p.find(h.Target)
	if e == nil {
		return
	}
	e.holding = false
	switch r.Answer {
	case RefusedFence:
		p.deposed = true
		return
	case WrongLife:
		p.endLife(now, e, "another life answers")
		return
	case Accepted:
	default:
		p.silence(now, e)
		e.holdAt = now.Add(silentRetry)
		return
	}
	if e.Born != 0 && r.Born > e.Born {
		info := e.Executor
		p.endLife(now, e, "executor started again")
		info.Born = r.Born
		p.addExecutor(now, info, false)
		return
	}
	if e.Born == 0 {
		e.Born = r.Born
	}
	if e.silent > 0 {
		p.note(Event{What: "executor answers again", Peer: e.ID, Age: now.Sub(e.heardAt)})
	}
	first := !e.fenced
	e.silent, e.fenced = 0, true
	e.unanswered = time.Time{}
	e.heard(now, r.Outcome)
	if first {
		e.inheritLease(p.params.HoldMax)
	}
	ended := p.readEnds(now, e, r)
	p.readRuns(now, e, r, ended)
	e.holdAt = now
	if len(r.Ended) > 0 {
		e.holdAt = now.Add(holdPause)
	}
}

// readEnds applies the ends that were not seen before.
func (p *Plan) readEnds(now time.Time, e *executor, r Report) map[runKey]bool {
	ended := make(map[runKey]bool, len(r.Ended))
	for _, end := range r.Ended {
		key := runKey{end.Task, end.Attempt}
		ended[key] = true
		if end.Number <= e.seen {
			continue
		}
		e.seen = end.Number
		p.applyEnd(now, e, end)
	}
	return ended
}

func (p *Plan) applyEnd(now time.Time, e *executor, end EndReport) {
	run := e.runs[runKey{end.Task, end.Attempt}]
	t := p.taskOf(end.Task)
	if run != nil {
		p.drop(run)
	}
	if t == nil {
		return
	}
	j := t.group.job
	t.attempts = max(t.attempts, end.Attempt)
	if end.Checkpoint != "" {
		t.checkpoint = end.Checkpoint
	}
	p.regroup = true
	if t.done || j.progress.State.Ended() {
		return
	}
	switch end.Ending {
	case EndedDone:
		e.failures, e.avoidances = 0, 0
		if t.group.step.Service {
			break
		}
		p.learn(now, run)
		p.taskDone(now, t)
		p.mark(e, j, end.Number)
		p.endIfComplete(now, j)
	case EndedFailed:
		p.taskFailed(now, e, t, run)
		p.mark(e, j, end.Number)
	default:
		p.note(Event{What: "run ended", Job: j.spec.ID, Task: end.Task.String(), Peer: e.ID, Reason: end.Ending.String()})
	}
}

// taskDone marks a task, or the whole gang that it stands for, as done.
func (p *Plan) taskDone(now time.Time, t *task) {
	members := []*task{t}
	if t.group.step.Gang {
		members = t.group.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.finish()
		m.group.job.begun = true
		for _, r := range append([]*run(nil), m.runs...) {
			if m != t {
				p.drop(r)
				continue
			}
			p.stop(now, r, "another copy ended")
		}
	}
}

func (p *Plan) taskFailed(now time.Time, e *executor, t *task, r *run) {
	j := t.group.job
	t.failures++
	p.touch(j)
	if !t.group.step.Service {
		t.failOn(e)
		j.failOn(e)
	}
	if e.failedJob != j.spec.ID && len(j.failedOn) < hopelessJob {
		e.failures++
		e.failedJob = j.spec.ID
	}
	p.note(Event{What: "task failed", Job: j.spec.ID, Task: t.id().String(), Peer: e.ID})
	if e.failures >= failureStreak {
		p.avoid(now, e, "fails all that it starts")
	}
	if t.group.step.Service {
		return
	}
	limit := 1
	if q, ok := p.catalog.Queue(j.spec.Queue); ok {
		limit = q.MaxAttempts
	}
	if t.failures >= limit {
		p.end(now, j, workload.Failed)
	}
}

// avoid gives an executor no work for a while.
func (p *Plan) avoid(now time.Time, e *executor, why string) {
	if now.Before(e.avoidUntil.Add(-busyPause)) {
		return
	}
	pause := avoidBase << min(e.avoidances, avoidDoublings)
	e.avoidances++
	e.avoidUntil = now.Add(pause)
	e.failures = failureStreak - 1
	p.note(Event{What: "executor avoided", Peer: e.ID, Reason: why, Age: pause})
}

// mark ties an end to the next save of its job.
func (p *Plan) mark(e *executor, j *job, number int64) {
	p.touch(j)
	j.ends = append(j.ends, endMark{e.ID, e.Born, number})
	e.pending(number)
}

// readRuns compares the runs that the executor lists with those planned.
func (p *Plan) readRuns(now time.Time, e *executor, r Report, ended map[runKey]bool) {
	listed := make(map[runKey]bool, len(r.Running))
	for _, report := range r.Running {
		key := runKey{report.Task, report.Attempt}
		listed[key] = true
		known := e.runs[key]
		if known == nil {
			known = p.adopt(now, e, report)
		}
		if known != nil {
			p.observe(now, known, report)
		}
	}
	if r.Truncated {
		return
	}
	for _, known := range sortedRuns(e) {
		if listed[known.key] || ended[known.key] || known.unanswered || known.confirmed.IsZero() {
			continue
		}
		if known.state == runStarting || r.SentAt.Sub(known.confirmed) < vanishMargin {
			continue
		}
		p.lose(now, known, "not listed by its executor")
	}
}

// observe records what an executor says of a run.
func (p *Plan) observe(now time.Time, r *run, report RunReport) {
	if r.state == runStarting {
		r.state = runRunning
	}
	if r.confirmed.IsZero() {
		r.confirmed = now
	}
	if report.Percent != r.percent || r.percentAt.IsZero() {
		r.percent, r.percentAt = report.Percent, now
	}
	r.figure = report.Figure
	if report.Checkpoint != "" {
		r.checkpoint = report.Checkpoint
		r.task.checkpoint = report.Checkpoint
	}
}

// adopt takes over a run that an executor lists and this plan did not start.
func (p *Plan) adopt(now time.Time, e *executor, report RunReport) *run {
	t := p.taskOf(report.Task)
	if t == nil {
		p.orders = append(p.orders, Stop{Target: e.target(), Task: report.Task, Attempt: report.Attempt, Reason: "unknown task"})
		return nil
	}
	t.attempts = max(t.attempts, report.Attempt)
	r := &run{key: runKey{report.Task, report.Attempt}, task: t, executor: e, state: runRunning, orderedAt: now, confirmed: now, percentAt: now, pace: 100}
	others := len(t.runs)
	e.runs[r.key] = r
	t.runs = append(t.runs, r)
	t.group.job.begun = true
	p.charge(r, 1)
	p.note(Event{What: "run adopted", Job: report.Task.Job, Task: report.Task.String(), Peer: e.ID})
	if t.done || (others > 0 && !t.group.step.Speculative) {
		p.stop(now, r, "superseded")
	}
	return r
}

// lose gives up a run that has ended without a report. Its task starts again.
func (p *Plan) lose(now time.Time, r *run, why string) {
	p.drop(r)
	r.task.lost = true
	p.regroup = true
	p.note(Event{What: "run lost", Job: r.key.task.Job, Task: r.key.task.String(), Peer: r.executor.ID, Reason: why, Age: now.Sub(r.orderedAt)})
}

// neverBegan gives up a run that its executor has not begun.
func (p *Plan) neverBegan(now time.Time, r *run, why string) {
	p.lose(now, r, why)
	r.task.lost = false
}

// drop removes a run and frees what it took.
func (p *Plan) drop(r *run) {
	if r.executor.runs[r.key] != r {
		return
	}
	delete(r.executor.runs, r.key)
	for i, other := range r.task.runs {
		if other == r {
			r.task.runs = append(r.task.runs[:i], r.task.runs[i+1:]...)
			break
		}
	}
	p.charge(r, -1)
}
