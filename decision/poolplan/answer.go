package poolplan

import (
	"time"
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
	// stopMargin is the same after the confirmation of a stop. A stop takes up
	// to 200 ms, during which the run may not be listed and takes its room.
	stopMargin = 500 * time.Millisecond
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
	p.openStarts--
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
		if a := r.task.group.advice; a != nil {
			delete(a.tickets, e.ID)
		}
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
	s.LeaseUntil = max(s.LeaseUntil, e.lease(now, p.leaseTerm(now)))
	e.grant(now, s.LeaseUntil)
	s.Reason = "repeat"
	p.openStarts++
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
	// The run never began, or its end will be listed; a report that was asked
	// for after the time that a stop takes tells which.
	if r.stoppedAt.IsZero() {
		r.stoppedAt = now
	}
}

// silence records that the executor did not answer.
func (p *Plan) silence(now time.Time, e *executor) {
	e.silent++
	if e.silent == 1 {
		p.note(Event{What: "executor does not answer", Peer: e.ID, Age: now.Sub(e.heardAt)})
	}
}

// lose gives up a run that has ended without a report. Its task starts again.
func (p *Plan) lose(now time.Time, r *run, why string) {
	p.drop(r)
	r.task.lost = true
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
