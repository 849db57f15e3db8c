package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// maxConsecutiveFailures is the number of failures of different jobs in a row
// after which an executor is assumed to fail all work. It then gets no work for
// baseAvoidTime, doubled each time up to maxAvoidDoublings times.
const (
	maxConsecutiveFailures = 3
	baseAvoidTime          = 2 * time.Second
	maxAvoidDoublings      = 2
	// executorsToBlameJob is the number of executors on which tasks of a job
	// must have failed for the job, and not the executor, to be at fault.
	executorsToBlameJob = 2
)

func (p *Plan) applyEnd(now time.Time, e *executor, end EndReport) {
	run := e.runs[runKey{end.Task, end.Attempt}]
	t := p.findTask(end.Task)
	if run != nil {
		run.noteBegun()
		p.removeRun(run)
	}
	p.noteInheritedRun(e, runKey{end.Task, end.Attempt}, t)
	if until := p.ackHeldUntil(e, runKey{end.Task, end.Attempt}, t); mayNotRunAgain(t, end.Ending) && now.Before(until) {
		e.holdAck(end.Number, until)
	}
	if t == nil {
		return
	}
	j := t.group.job
	j.begun = true
	t.recordAttempt(end.Attempt)
	if end.Checkpoint != "" && !(run != nil && run.trial) {
		*t.checkpointRef() = end.Checkpoint
	}
	if t.done || j.progress.State.Ended() {
		if j.unsaved || j.saving {
			// The end of another run of the task, or of another member of its gang, is
			// not durable yet. Until it is, this one shows what has been done.
			p.saveWithEnd(e, j, end.Number)
		}
		return
	}
	switch end.Ending {
	case EndedDone:
		e.consecutiveFailures, e.avoidCount = 0, 0
		if t.group.step.Service {
			break
		}
		p.recordDuration(now, run)
		p.completeTask(now, t)
		p.saveWithEnd(e, j, end.Number)
		p.completeIfDone(now, j)
	case EndedFailed:
		ranFor := time.Duration(0)
		if run != nil {
			ranFor = now.Sub(run.orderedAt)
		}
		p.recordTaskFailure(now, e, t, end.Attempt, ranFor)
		p.saveWithEnd(e, j, end.Number)
	default:
		p.addEvent(Event{Kind: "run ended", Job: j.spec.ID, Task: end.Task.String(), Peer: e.ID, Reason: end.Ending.String()})
	}
}

// mayNotRunAgain reports whether the task of a run that has ended may not start again once the
// end has been acknowledged: it is done, or may have failed as often as its queue allows.
// Service tasks start again however they end, and copies of a speculative one may follow its
// end. t is nil if the task is not known.
func mayNotRunAgain(t *task, how Ending) bool {
	if t != nil && (t.group.step.Service || t.group.step.Speculative) {
		return false
	}
	return how == EndedDone || how == EndedFailed
}

// completeTask marks a task as done, or all members if it belongs to a gang.
func (p *Plan) completeTask(now time.Time, t *task) {
	members := []*task{t}
	if t.group.step.Gang {
		members = t.group.tasks
	}
	for _, m := range members {
		if m.done {
			continue
		}
		m.markDone()
		p.markTaskUnsaved(m)
		p.groupsChanged = p.groupsChanged || m.group.doneCount == len(m.group.tasks)
		for _, r := range append([]*run(nil), m.runs...) {
			if m != t {
				p.removeRun(r)
				continue
			}
			p.stopRun(now, r, "another copy ended")
		}
	}
}

// recordTaskFailure records that an attempt of a task failed after it had run for
// ranFor, which is zero if this is not known.
func (p *Plan) recordTaskFailure(now time.Time, e *executor, t *task, attempt int, ranFor time.Duration) {
	j := t.group.job
	if t.group.step.Service {
		t.restart.recordFailure(now, ranFor)
	} else {
		if !t.failures.Add(attempt) {
			return
		}
		p.markTaskUnsaved(t)
		t.recordFailureOn(e)
		j.recordFailureOn(e)
	}
	if e.lastFailedJob != j.spec.ID && len(j.failedOn) < executorsToBlameJob {
		e.consecutiveFailures++
		e.lastFailedJob = j.spec.ID
	}
	p.addEvent(Event{Kind: "task failed", Job: j.spec.ID, Task: t.id().String(), Peer: e.ID})
	if e.consecutiveFailures >= maxConsecutiveFailures {
		p.avoidExecutor(now, e, "fails all that it starts")
	}
	if t.group.step.Service {
		return
	}
	if t.failures.Count >= p.catalog.TermsOf(&j.spec.Queue).MaxAttempts {
		p.endJob(now, j, workload.Failed)
	}
}

// avoidExecutor keeps new work away from an executor for a while.
func (p *Plan) avoidExecutor(now time.Time, e *executor, reason string) {
	if now.Before(e.avoidUntil.Add(-refusalPause)) {
		return
	}
	pause := baseAvoidTime << min(e.avoidCount, maxAvoidDoublings)
	e.avoidCount++
	e.avoidUntil = now.Add(pause)
	e.consecutiveFailures = maxConsecutiveFailures - 1
	p.addEvent(Event{Kind: "executor avoided", Peer: e.ID, Reason: reason, Age: pause})
}

// saveWithEnd marks a job as unsaved and adds a run end to its next save.
func (p *Plan) saveWithEnd(e *executor, j *job, number int64) {
	p.markUnsaved(j)
	j.endsToSave = append(j.endsToSave, endRef{e.ID, e.serial, number})
	e.addUnsavedEnd(number)
}
