package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

func (p *Plan) nextAttempt(t *task) int {
	// The recorded progress does not say how many attempts each task has had.
	return max(t.lastAttempt, t.group.job.attemptBase) + 1
}

// inheritedAttempt returns a number that no attempt of a job under an earlier owner
// exceeds.
func (p *Plan) inheritedAttempt(progress *workload.Progress) int {
	base := (p.term - 1) * attemptsPerTerm
	if progress.HighestAttempt > 0 {
		base = max(base, progress.HighestAttempt+attemptsPerTerm)
	}
	return base
}

func (p *Plan) startTask(now time.Time, t *task, e *executor, attempt int) {
	r := p.startRun(now, t, e, attempt, p.leaseOn(now, e), false)
	if t.group.prefersRack() && !t.group.step.Gang {
		p.notePlacement(r)
	}
}

// startRun orders a run of a task, or a trial, with a lease of a duration.
func (p *Plan) startRun(now time.Time, t *task, e *executor, attempt int, lease time.Duration, trial bool) *run {
	g := t.group
	p.release(t)
	t.recordAttempt(attempt)
	if attempt > g.job.knownAttempt+maxUnrecordedAttempts {
		p.markUnsaved(g.job)
	}
	r := &run{
		key:              runKey{t.id(), attempt},
		task:             t,
		executor:         e,
		orderedAt:        now,
		percentChangedAt: now,
		startTries:       1,
		lastTryAt:        now,
		exclusive:        t.runLost,
		speedPercent:     100,
		trial:            trial,
	}
	t.runLost = false
	e.runs[r.key] = r
	t.runs = append(t.runs, r)
	p.charge(r, 1)
	p.sendStart(now, r, lease)
	return r
}

// sendStart orders the start of a run with a lease of a duration.
func (p *Plan) sendStart(now time.Time, r *run, lease time.Duration) {
	t, e, g := r.task, r.executor, r.task.group
	untilMs := e.leaseEnd(now, lease)
	e.recordLease(now, untilMs)
	s := Start{
		Target:       p.target(e),
		Task:         r.key.task,
		Attempt:      r.key.attempt,
		SpecText:     g.job.spec.Text,
		LeaseUntilMs: untilMs,
		Reason:       startReason(r),
		Exclusive:    r.exclusive,
		Zone:         e.Zone,
		Waited:       now.Sub(g.readyAt),
	}
	if g.step.Checkpoints && !r.trial {
		// Little of the work may be left behind a checkpoint.
		s.Checkpoint = *t.checkpointRef()
	}
	if g.advice != nil {
		s.Ticket = g.advice.tickets[e.ID].text
	}
	r.sentStarts++
	r.startOpen, r.sentTo = true, e.serial
	p.sentStarts[r] = true
	p.openStarts++
	e.openStarts++
	p.orders = append(p.orders, s)
}

func startReason(r *run) string {
	if r.startTries > 1 {
		return "repeat"
	}
	return "room"
}
