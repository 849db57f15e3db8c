package poolplan

import (
	"time"
)

// relocateServices moves service tasks off executors that leave, and repeats stops that
// have no effect yet.
func (p *Plan) relocateServices(now time.Time) {
	for _, e := range p.executors {
		for _, r := range e.runs {
			switch {
			case r.state == runStopping:
				p.stopRun(now, r, r.stopReason)
			case r.state == runRunning && r.task.group.step.Service && e.Draining:
				p.stopRun(now, r, "executor is draining")
			case r.state == runRunning && r.task.group.step.Service && (e.Cordoned || e.Leaving) && p.mayInterrupt(now, r) && p.canRelocate(now, r.task):
				p.stopRun(now, r, "executor is going to be emptied")
			}
		}
	}
}

// canRelocate reports whether a service task would start on an executor that stays.
func (p *Plan) canRelocate(now time.Time, t *task) bool {
	e := p.chooseExecutor(t.group, t, p.candidates(now), nil)
	return e != nil && !e.Leaving
}

// minServingTime is how long a service task must have worked to count as at work
// when another one of its step is interrupted. Reports are up to holdWait old;
// an absence that is longer than the platform's notice time would show in them.
const minServingTime = 500 * time.Millisecond

// mayInterrupt reports whether a service task may be away now: it is at work,
// and with it fewer of its step than the bound would be away.
func (p *Plan) mayInterrupt(now time.Time, r *run) bool {
	g := r.task.group
	if !r.task.servingFor(now, minServingTime) {
		return false
	}
	if g.step.MaxUnavailable <= 0 {
		return true
	}
	away := 0
	for _, t := range g.tasks {
		if t != r.task && !t.servingFor(now, minServingTime) {
			away++
		}
	}
	return away < g.step.MaxUnavailable
}

// servingFor reports whether a service task has worked for at least d.
func (t *task) servingFor(now time.Time, d time.Duration) bool {
	for _, r := range t.runs {
		heard := r.executor.reachable() && now.Sub(r.executor.lastAnswerAt) < holdWait+holdRetryDelay
		if heard && r.state == runRunning && r.percent == 100 && now.Sub(r.percentChangedAt) >= d {
			return true
		}
	}
	return false
}
