package poolplan

import (
	"time"
)

// RenewLeaseDone records the answer to a lease renewal.
func (p *Plan) RenewLeaseDone(now time.Time, o RenewLease, r Report) {
	e := p.findTarget(o.Target)
	if e == nil {
		return
	}
	e.noteRenewalAnswered(o, r.Outcome)
	switch r.Answer {
	case RefusedFencingToken:
		p.superseded = true
		return
	case WrongIncarnation:
		p.endIncarnation(now, e, "another executor answers")
		return
	case Accepted:
	case Withheld:
		e.nextLeaseRenewalAt = now.Add(leaseRenewalRetryDelay)
		return
	default:
		p.recordNoAnswer(now, e)
		e.nextLeaseRenewalAt = now.Add(leaseRenewalRetryDelay)
		return
	}
	if e.isOther(r.StartedMs) {
		if e.otherPool && !e.listed {
			p.endInOtherPool(now, e)
			return
		}
		var reported bool
		if e, reported = p.replaceIncarnation(now, e, r.StartedMs, o); !reported {
			return
		}
	}
	p.applyReport(now, e, r)
}

// applyReport applies a report after which no order to an earlier incarnation can be
// carried out.
func (p *Plan) applyReport(now time.Time, e *executor, r Report) {
	if e.StartedMs == 0 {
		e.StartedMs = r.StartedMs
	}
	if e.missedAnswers > 0 {
		p.addEvent(Event{Kind: "executor answers again", Peer: e.ID, Age: now.Sub(e.lastAnswerAt)})
	}
	first := !e.fencingTokenSeen
	e.missedAnswers, e.fencingTokenSeen = 0, true
	e.startUnansweredSince = time.Time{}
	e.recordAnswer(now, r.Outcome)
	e.doubtful, e.leaseOverNoted = false, false
	if first {
		if e.formerStartedMs != 0 && e.formerStartedMs == e.StartedMs {
			// It is the incarnation to which the earlier orders were sent.
			e.StaleAck = e.formerStaleAck
		}
		e.fencingTokenSeenAt = now
		e.assumeInheritedLease(now, p.params.MaxLease)
		if e.inherited {
			e.idleReportDueAt = p.takenOverAt.Add(lateOrderTime)
		}
	}
	e.recordReport(now, r.Outcome)
	p.noteListedEnds(e, r)
	ended := p.applyEnds(now, e, r)
	p.reconcileRuns(now, e, r, ended)
	e.nextLeaseRenewalAt = now
	if len(r.Ended) > 0 {
		e.nextLeaseRenewalAt = now.Add(min(leaseRenewalDelay+time.Duration(len(p.executors))*leaseRenewalDelayPerExecutor, maxLeaseRenewalDelay))
	}
}

// noteRenewalAnswered records the end of an open renewal.
func (e *executor) noteRenewalAnswered(o RenewLease, out Outcome) {
	if o.Check {
		e.openChecks--
		return
	}
	e.leaseRenewalOpen, e.openAck = false, 0
	switch {
	case o.AckedEnd == 0:
	case out.Answer == Accepted:
		e.ackedEnd = max(e.ackedEnd, o.AckedEnd)
	case out.Answer == NoAnswer:
		e.unansweredAckAt = out.SentAt
		e.idleReportDueAt = out.SentAt.Add(lateOrderTime)
	}
}

// applyEnds applies the run ends that were not seen before and returns all that
// the report lists.
func (p *Plan) applyEnds(now time.Time, e *executor, r Report) map[runKey]bool {
	ended := make(map[runKey]bool, len(r.Ended))
	for _, end := range r.Ended {
		key := runKey{end.Task, end.Attempt}
		ended[key] = true
		if end.Number <= e.lastEnd {
			continue
		}
		e.lastEnd = end.Number
		p.applyEnd(now, e, end)
	}
	return ended
}

// reconcileRuns compares the runs that the executor lists with the planned
// ones.
func (p *Plan) reconcileRuns(now time.Time, e *executor, r Report, ended map[runKey]bool) {
	e.unknownRuns = 0
	listed := make(map[runKey]bool, len(r.Running))
	for _, report := range r.Running {
		key := runKey{report.Task, report.Attempt}
		listed[key] = true
		planned := e.runs[key]
		if planned == nil {
			planned = p.adoptRun(now, e, report)
		}
		if planned != nil {
			p.updateRun(now, planned, report)
		}
	}
	if r.Truncated {
		return
	}
	for _, planned := range sortedRuns(e) {
		switch {
		case listed[planned.key] || ended[planned.key]:
		case planned.undecided && p.mayHaveEndedUnseen(planned):
			p.verifyRun(now, planned)
		case planned.undecided:
			p.giveUpVerification(now, planned, "not begun by the later incarnation of its executor")
		case planned.startUnanswered && planned.state == runStarting:
			switch {
			case r.SentAt.Before(planned.unansweredAt):
			case p.evacuated(e):
				p.stopStartIn(now, planned)
			default:
				p.repeatStart(now, planned)
			}
		case planned.overIfUnlisted(r.SentAt, p.params.StopTime):
			p.endUnlistedRun(now, planned)
		}
	}
}

// overIfUnlisted reports whether a run is over if it is missing from a report
// requested at sentAt.
func (r *run) overIfUnlisted(sentAt time.Time, stopTime time.Duration) bool {
	switch r.state {
	case runStopping:
		return !r.stopConfirmedAt.IsZero() && sentAt.Sub(r.stopConfirmedAt) >= stopTime+stopMargin
	case runRunning:
		return !r.startUnanswered && !r.confirmedAt.IsZero() && sentAt.Sub(r.confirmedAt) >= startListingMargin
	}
	return false
}

// updateRun records what an executor reports about a run.
func (p *Plan) updateRun(now time.Time, r *run, report RunReport) {
	if r.state == runStarting {
		r.state = runRunning
	}
	if r.undecided {
		p.decideRun(now, r)
	}
	r.listed, r.startUnanswered = true, false
	r.noteBegun()
	r.task.group.job.begun = true
	if r.confirmedAt.IsZero() {
		r.confirmedAt = now
	}
	if report.Percent != r.percent || r.percentChangedAt.IsZero() {
		r.percent, r.percentChangedAt = report.Percent, now
	}
	r.measurement = report.Measurement
	if report.Checkpoint != "" && !r.trial {
		r.checkpoint = report.Checkpoint
		*r.task.checkpointRef() = report.Checkpoint
	}
}

// adoptRun adds a run that an executor lists and this plan did not start.
func (p *Plan) adoptRun(now time.Time, e *executor, report RunReport) *run {
	t := p.findTask(report.Task)
	if t == nil {
		e.unknownRuns++
		p.orders = append(p.orders, Stop{Target: p.target(e), Task: report.Task, Attempt: report.Attempt, Reason: "unknown task"})
		return nil
	}
	t.recordAttempt(report.Attempt)
	p.noteInheritedRun(e, runKey{report.Task, report.Attempt}, t)
	r := &run{key: runKey{report.Task, report.Attempt}, task: t, executor: e, state: runRunning, orderedAt: now, confirmedAt: now, percentChangedAt: now, speedPercent: 100}
	// The previous owner may have throttled it.
	r.speedUnconfirmed = t.group.step.BestEffort
	others := len(t.runs)
	e.runs[r.key] = r
	t.runs = append(t.runs, r)
	p.charge(r, 1)
	r.noteAway()
	p.addEvent(Event{Kind: "run adopted", Job: report.Task.Job, Task: report.Task.String(), Peer: e.ID, StartedMs: e.StartedMs})
	switch {
	case t.done || (others > 0 && !t.group.step.Speculative):
		p.stopRun(now, r, "superseded")
	case e.StaleAck && !t.group.step.Service:
		p.stopRun(now, r, "its end may not be listed")
	}
	return r
}

// decideRun handles a run that a later incarnation of its executor has begun by an order
// to an earlier one. Its lease is not known to a successor, and its end may not be listed,
// so it starts again. A service task starts again however it ends, and goes on.
func (p *Plan) decideRun(now time.Time, r *run) {
	r.undecided = false
	p.addEvent(Event{Kind: "run begun by a later incarnation", Job: r.key.task.Job, Task: r.key.task.String(), Peer: r.executor.ID, StartedMs: r.executor.StartedMs, Age: now.Sub(r.orderedAt)})
	if !r.task.group.step.Service {
		p.stopRun(now, r, "begun by a later incarnation")
	}
}
