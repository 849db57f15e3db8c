package poolplan

import (
	"time"
)

// Limits and delays for starts and stops without a clear answer.
const (
	// maxStartTries is how often a start is sent before its run is stopped.
	maxStartTries = 3
	// refusalPause is how long an executor that refused a start gets no new
	// work.
	refusalPause = 300 * time.Millisecond
	// startListingMargin is how long after the confirmation of a start a report
	// must have been requested for a missing run to count as over.
	startListingMargin = 50 * time.Millisecond
	// stopMargin is how long after the confirmation of a stop, beyond the time
	// that a stop takes, a report must have been requested for a missing run to
	// count as over. Until then the run may still occupy its resources.
	stopMargin = 300 * time.Millisecond
)

// StartDone records the answer to a start.
func (p *Plan) StartDone(now time.Time, s Start, o Outcome) {
	p.openStarts--
	if t := p.findTask(s.Task); t != nil && o.Answer == Accepted {
		// Also if the run has been given up meanwhile: it has begun.
		t.group.job.begun = true
	}
	e := p.findTarget(s.Target)
	if e == nil {
		p.handleFormerStart(s, o)
		return
	}
	e.openStarts--
	r := e.runs[runKey{s.Task, s.Attempt}]
	if r == nil {
		p.handleStartOfDroppedRun(now, e, o)
		return
	}
	r.startUnanswered, r.startOpen = false, false
	if o.Answer != NoAnswer && o.Answer != NotSent && o.Answer != Withheld {
		// Only the clock says whether the executor is still the one that missed an order.
		e.recordAnswer(now, o)
	}
	if o.Answer != Accepted {
		p.addEvent(Event{Kind: "start refused", Job: s.Task.Job, Task: s.Task.String(), Peer: e.ID, Reason: o.Answer.String()})
	}
	if r.verified && p.handleVerification(now, r, o) {
		return
	}
	switch o.Answer {
	case Accepted:
		if r.state == runStarting {
			r.state, r.confirmedAt = runRunning, now
			r.percentChangedAt = now
		}
		if r.confirmedAt.IsZero() {
			r.confirmedAt = now
		}
		if r.trial {
			p.stopRun(now, r, "trial of the executor")
		}
	case RefusedFencingToken:
		p.superseded = true
	case NoAnswer:
		p.handleUnansweredStart(now, r)
	case NotSent:
		if r.startTries > 1 {
			p.stopRun(now, r, "start unanswered")
			return
		}
		p.recordNoAnswer(now, e)
		p.discardUnstartedRun(now, r, "executor unreachable")
	case Withheld:
		if r.startTries > 1 {
			p.stopRun(now, r, "start unanswered")
			p.stopIncompleteGang(now, r)
			return
		}
		p.stopIncompleteGang(now, r)
		p.discardUnstartedRun(now, r, "start withheld")
	case RefusedOld:
		p.handleOldAttempt(now, r)
	case WrongIncarnation:
		if r.startTries == 1 {
			p.discardUnstartedRun(now, r, "another executor answers")
		} else {
			p.loseRun(now, r, "another executor answers")
		}
		p.endIncarnation(now, e, "another executor answers")
	case RefusedTicket:
		if a := r.task.group.advice; a != nil {
			delete(a.tickets, e.ID)
		}
		p.discardUnstartedRun(now, r, "ticket refused")
	case RefusedLate, RefusedRoom, RefusedBusy, RefusedInvalid:
		e.avoidUntil = now.Add(refusalPause)
		if r.trial && o.Answer == RefusedLate {
			e.trials.late++
		}
		if r.startTries > 1 {
			p.stopRun(now, r, "start refused after an unanswered one")
			return
		}
		p.discardUnstartedRun(now, r, "refused: "+o.Answer.String())
	}
}

// handleFormerStart handles the answer to a start that was sent to an earlier incarnation.
// A report of the later one shows whether that has begun the run.
func (p *Plan) handleFormerStart(s Start, o Outcome) {
	t := p.findTask(s.Task)
	if t == nil || o.Answer == NoAnswer {
		return
	}
	for _, r := range t.runs {
		if r.key.attempt == s.Attempt && r.undecided && r.startTries == 1 {
			r.startAtLarge = false
		}
	}
}

// handleOldAttempt handles a start that is refused because this attempt or a
// later one has already ended on the executor. After an unanswered start, the
// attempt that ended may be this run itself; the next report lists its end.
func (p *Plan) handleOldAttempt(now time.Time, r *run) {
	if r.startTries == 1 {
		p.discardUnstartedRun(now, r, "attempt is old")
		return
	}
	if r.state == runStarting {
		r.state, r.percentChangedAt = runRunning, now
	}
	r.confirmedAt = now
}

// handleStartOfDroppedRun handles the answer to a start whose run has been
// removed from the plan.
func (p *Plan) handleStartOfDroppedRun(now time.Time, e *executor, o Outcome) {
	if o.Answer == RefusedFencingToken {
		p.superseded = true
	}
	if o.Answer == Accepted {
		e.recordAnswer(now, o)
	}
}

// handleUnansweredStart requests a report after a start without an answer. The executor
// may have started again, so that the start is not sent again before that.
func (p *Plan) handleUnansweredStart(now time.Time, r *run) {
	e := r.executor
	r.noteUnansweredTry()
	p.requestReport(now, e)
	switch {
	case r.state == runStopping:
	case r.startTries >= maxStartTries || r.trial:
		p.stopRun(now, r, "start unanswered")
	default:
		r.startUnanswered, r.unansweredAt = true, now
	}
}

// requestReport keeps new starts away from an executor that has not answered one until a
// report or another answer shows that it is still the same.
func (p *Plan) requestReport(now time.Time, e *executor) {
	if e.startUnansweredSince.IsZero() {
		e.startUnansweredSince = now
	}
	e.nextLeaseRenewalAt = now
}

// repeatStart sends a start again whose run a later report of the executor does not list.
// The executor treats a repeat of the same attempt as the same run, so no work is lost.
func (p *Plan) repeatStart(now time.Time, r *run) {
	r.startUnanswered = false
	r.startTries++
	r.lastTryAt = now
	p.sendStart(now, r, p.leaseOn(now, r.executor))
}

// StopDone records the answer to a stop.
func (p *Plan) StopDone(now time.Time, s Stop, o Outcome) {
	e := p.findTarget(s.Target)
	if e == nil {
		return
	}
	r := e.runs[runKey{s.Task, s.Attempt}]
	if o.Answer == RefusedFencingToken {
		p.superseded = true
		return
	}
	if o.Answer == WrongIncarnation {
		p.endIncarnation(now, e, "another executor answers")
		return
	}
	if o.Answer == Accepted {
		e.recordAnswer(now, o)
	}
	if r == nil {
		return
	}
	r.stopInFlight = false
	if o.Answer != Accepted {
		p.addEvent(Event{Kind: "stop not confirmed", Job: s.Task.Job, Task: s.Task.String(), Peer: e.ID, Reason: o.Answer.String()})
		return
	}
	// Either the run never began or its end will be listed. A report requested
	// after the time that a stop takes shows which.
	if r.stopConfirmedAt.IsZero() {
		r.stopConfirmedAt = now
	}
}

// recordNoAnswer counts an order that the executor did not answer.
func (p *Plan) recordNoAnswer(now time.Time, e *executor) {
	e.missedAnswers++
	if e.missedAnswers == 1 {
		p.addEvent(Event{Kind: "executor does not answer", Peer: e.ID, Age: now.Sub(e.lastAnswerAt)})
	}
}

// loseRun removes a run that is over without a report of its end. Its task
// starts again.
func (p *Plan) loseRun(now time.Time, r *run, reason string) {
	p.removeRun(r)
	r.task.runLost = true
	p.addEvent(Event{Kind: "run lost", Job: r.key.task.Job, Task: r.key.task.String(), Peer: r.executor.ID, StartedMs: r.executor.StartedMs, Reason: reason, Age: now.Sub(r.orderedAt)})
}

// discardUnstartedRun removes a run that its executor never began. If the run before was
// lost, the task still has no report of its end.
func (p *Plan) discardUnstartedRun(now time.Time, r *run, reason string) {
	p.loseRun(now, r, reason)
	r.task.runLost = r.exclusive
}

// removeRun removes a run and releases its resources.
func (p *Plan) removeRun(r *run) {
	if r.executor.runs[r.key] != r {
		return
	}
	delete(r.executor.runs, r.key)
	if r.trial {
		r.executor.trials.open--
	}
	if r.startAtLarge {
		p.noteLateStart(r)
	}
	for i, other := range r.task.runs {
		if other == r {
			r.task.runs = append(r.task.runs[:i], r.task.runs[i+1:]...)
			break
		}
	}
	p.charge(r, -1)
}
