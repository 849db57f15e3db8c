package poolplan

import (
	"slices"
	"time"
)

// maxVerifications bounds the starts that are sent to find out whether a run has ended, if
// the executor refuses them for other reasons.
const maxVerifications = 8

// mayHaveEndedUnseen reports whether a run that a later incarnation does not list may have
// begun and ended there, by an order to an earlier one.
func (p *Plan) mayHaveEndedUnseen(r *run) bool {
	s := r.task.group.step
	return r.executor.trials.endsUnseen && r.state != runStopping && !s.Service && !s.Gang && !r.task.done && !r.task.group.job.closed()
}

// verifyRun sends the start of a run to a later incarnation again, with the same attempt.
// An executor refuses an attempt that has ended there. One that has not goes on if its end
// will be listed, and becomes a trial otherwise. The lease of a trial whose task may end by
// itself before a stop takes effect is too short for that.
func (p *Plan) verifyRun(now time.Time, r *run) {
	e, a := r.executor, r.task.group.advice
	switch {
	case p.evacuated(e):
		p.withholdVerification(now, r)
		return
	case e.mayNotStart():
		return
	case a == nil:
	case a.denied[e.ID]:
		p.giveUpVerification(now, r, "not known whether it has ended")
		return
	case !a.allows(now, e):
		p.requestTicket(now, r.task.group, e)
		return
	}
	lease := p.leaseOn(now, e)
	if e.StaleAck && p.expectedDuration(r.task) <= p.params.StopTime {
		lease = p.trialLeaseOn(now, e, r.task)
		if e.leaseEndsAt(now).After(now.Add(lease)) {
			// A run beside it keeps a longer lease. It waits until ends are listed.
			return
		}
	}
	if r.verifications++; r.verifications > maxVerifications {
		r.endInDoubt = true
		p.giveUpVerification(now, r, "not known whether it has ended")
		return
	}
	r.undecided, r.trial, r.verified = false, e.StaleAck, true
	if r.trial {
		e.trials.open++
	}
	r.state, r.startTries, r.lastTryAt = runStarting, 1, now
	p.sendStart(now, r, lease)
}

// withholdVerification handles a run in an evacuated zone, where nothing may start. It is
// verified once the zone is taken back, unless a verification without an answer might begin
// it meanwhile: that is stopped.
func (p *Plan) withholdVerification(now time.Time, r *run) {
	if r.verifiedSince.IsZero() {
		return
	}
	r.endInDoubt = true
	p.stopStartIn(now, r)
}

// giveUpVerification handles a run of which nothing more is to be found out. A verification
// without an answer is stopped, so that the incarnation refuses it if it is late.
func (p *Plan) giveUpVerification(now time.Time, r *run, reason string) {
	if r.verifiedSince.IsZero() {
		p.endUnseen(now, r, reason)
		return
	}
	p.stopRun(now, r, reason)
	r.undecided = r.state != runStopping
}

// verifyWithTickets verifies the runs of a group that have waited for a ticket.
func (p *Plan) verifyWithTickets(now time.Time, g *group) {
	for _, t := range g.tasks {
		for _, r := range slices.Clone(t.runs) {
			if r.undecided && r.executor.answers() && p.mayHaveEndedUnseen(r) {
				p.verifyRun(now, r)
			}
		}
	}
}

// hasUndecidedRun reports whether a run there still has to be verified.
func (e *executor) hasUndecidedRun() bool {
	if !e.restarted {
		return false
	}
	for _, r := range e.runs {
		if r.undecided {
			return true
		}
	}
	return false
}

// handleVerification handles the answer to the start of a run that is verified, and reports
// whether that was all.
func (p *Plan) handleVerification(now time.Time, r *run, o Outcome) bool {
	switch o.Answer {
	case Accepted:
		r.verified = false
		return false
	case RefusedOld:
		if p.expectedDuration(r.task) > r.unseenFor(now) {
			// It cannot have been done meanwhile: its lease has ended, or it has failed.
			p.loseRun(now, r, "ended unseen before it could be done")
			break
		}
		p.suspendTask(now, r)
	case RefusedFencingToken, WrongIncarnation:
		return false
	case NoAnswer:
		r.noteUnansweredTry()
		if r.verifiedSince.IsZero() {
			r.verifiedSince = o.SentAt
		}
		p.requestReport(now, r.executor)
		p.verifyAgain(r)
	default:
		if o.Answer == RefusedLate {
			r.executor.trials.late++
		}
		if a := r.task.group.advice; a != nil && o.Answer == RefusedTicket {
			delete(a.tickets, r.executor.ID)
		}
		p.verifyAgain(r)
	}
	return true
}

// verifyAgain lets the next report lead to another verification, unless it lists the run.
func (p *Plan) verifyAgain(r *run) {
	if r.trial {
		r.executor.trials.open--
	}
	r.undecided, r.trial, r.verified = true, false, false
}

// unseenFor is the longest time for which the run can have been there without being listed:
// before the first report of the incarnation, or by a verification without an answer, and
// not before it was ordered.
func (r *run) unseenFor(now time.Time) time.Duration {
	unseen := r.executor.unseenFor
	if !r.verifiedSince.IsZero() {
		unseen += now.Sub(r.verifiedSince)
	}
	return min(unseen, now.Sub(r.orderedAt))
}

// suspendTask handles a run that has ended without its end being listed: one that was begun
// by an order to an earlier incarnation of its executor, or a trial. It may have succeeded or
// failed, and the platform may count its end as acknowledged. So its task neither counts as
// done nor runs again, and its job stays open until it is cancelled.
func (p *Plan) suspendTask(now time.Time, r *run) {
	t := r.task
	p.addEvent(Event{Kind: "run ended unseen, outcome unknown", Job: t.group.job.spec.ID, Task: r.key.task.String(), Peer: r.executor.ID, StartedMs: r.executor.StartedMs, Age: now.Sub(r.orderedAt)})
	p.removeRun(r)
	t.outcomeUnknown = true
	p.markTaskUnsaved(t)
}
