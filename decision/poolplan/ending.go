package poolplan

import (
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
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
		p.taskFailed(now, e, t, end.Attempt)
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
		p.regroup = p.regroup || m.group.done == len(m.group.tasks)
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

func (p *Plan) taskFailed(now time.Time, e *executor, t *task, attempt int) {
	j := t.group.job
	if slices.Contains(t.failures, attempt) {
		return
	}
	t.failures = append(t.failures, attempt)
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
	if len(t.failures) >= limit {
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
