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
	return r.executor.trials.endsUnseen && r.state != runStopping && !s.Service && !s.Gang && !r.task.group.job.closed()
}

// verifyRun sends the start of a run to a later incarnation again, with the same attempt.
// An executor refuses an attempt that has ended there. One that has not becomes a trial, or
// goes on if its task may be done before a stop takes effect. The lease is a full one, so
// that a run which has begun and is not listed has ended by itself.
func (p *Plan) verifyRun(now time.Time, r *run) {
	e, a := r.executor, r.task.group.advice
	switch {
	case p.evacuated(e):
		p.stopStartIn(now, r)
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
	if r.verifications++; r.verifications > maxVerifications {
		p.giveUpVerification(now, r, "not known whether it has ended")
		return
	}
	r.keepRunning = p.expectedDuration(r.task) <= p.params.StopTime
	r.undecided, r.trial, r.verified = false, !r.keepRunning, true
	if r.trial {
		e.trials.open++
	}
	r.state, r.startTries, r.lastTryAt = runStarting, 1, now
	p.sendStart(now, r, p.leaseOn(now, e))
}

// giveUpVerification handles a run of which nothing more is to be found out. A verification
// without an answer is stopped, so that the incarnation refuses it if it is late.
func (p *Plan) giveUpVerification(now time.Time, r *run, reason string) {
	if r.verifiedSince.IsZero() {
		p.loseRun(now, r, reason)
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
		p.takeForDone(now, r)
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
// before the first report of the incarnation, or by a verification without an answer.
func (r *run) unseenFor(now time.Time) time.Duration {
	if r.verifiedSince.IsZero() {
		return r.executor.unseenFor
	}
	return r.executor.unseenFor + now.Sub(r.verifiedSince)
}

// takeForDone handles a run that has ended without its end being listed: one that was begun
// by an order to an earlier incarnation of its executor, or a trial. Whether it was done or
// has failed is not known. The platform counts its end as acknowledged, and work is paid
// for once, so it does not run again.
func (p *Plan) takeForDone(now time.Time, r *run) {
	t, j := r.task, r.task.group.job
	p.addEvent(Event{Kind: "run ended unseen, taken for done", Job: j.spec.ID, Task: r.key.task.String(), Peer: r.executor.ID, StartedMs: r.executor.StartedMs, Age: now.Sub(r.orderedAt)})
	p.removeRun(r)
	p.completeTask(now, t)
	p.completeIfDone(now, j)
}
