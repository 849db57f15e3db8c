package poolplan

import (
	"time"
)

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
		e.holdAt = now.Add(min(holdPause+time.Duration(len(p.executors))*holdPauseEach, holdPauseMost))
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

// readRuns compares the runs that the executor lists with those planned.
func (p *Plan) readRuns(now time.Time, e *executor, r Report, ended map[runKey]bool) {
	e.unknownRuns = 0
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
		if listed[known.key] || ended[known.key] || !known.vanished(r.SentAt) {
			continue
		}
		p.lose(now, known, "not listed by its executor")
	}
}

// vanished reports whether a run that a report asked for at sentAt does not list
// is over.
func (r *run) vanished(sentAt time.Time) bool {
	switch r.state {
	case runStopping:
		return !r.stoppedAt.IsZero() && sentAt.Sub(r.stoppedAt) >= stopMargin
	case runRunning:
		return !r.unanswered && !r.confirmed.IsZero() && sentAt.Sub(r.confirmed) >= vanishMargin
	}
	return false
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
		e.unknownRuns++
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
