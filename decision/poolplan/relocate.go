package poolplan

import (
	"cmp"
	"slices"
	"time"
)

// relocateServices moves service tasks off executors that are draining, cordoned,
// leaving or in an evacuated zone, and repeats stops that have had no effect yet.
func (p *Plan) relocateServices(now time.Time) {
	p.relocating = false
	search := roomSearch{withoutRoom: make(map[*group]bool)}
	for _, e := range p.executorsToEmpty() {
		for _, r := range e.runs {
			switch {
			case r.state == runStopping:
				p.stopRun(now, r, r.stopReason)
			case r.state == runRunning && r.task.group.step.Service && e.Draining:
				p.stopRun(now, r, "executor is draining")
			case r.state == runRunning && r.task.group.step.Service && (e.Cordoned || e.Leaving || p.evacuated(e)):
				p.relocating = true
				p.relocateRun(now, r, &search)
			}
		}
	}
}

// executorsToEmpty returns the executors, those first that are nearest to being empty:
// few tasks of a step may move at a time, and an executor that loses its last one can be
// maintained while others wait.
func (p *Plan) executorsToEmpty() []*executor {
	list := make([]*executor, 0, len(p.executors))
	for _, e := range p.executors {
		if len(e.runs) > 0 {
			list = append(list, e)
		}
	}
	slices.SortFunc(list, func(a, b *executor) int {
		return cmp.Or(compareTrueFirst(a.Cordoned, b.Cordoned), cmp.Compare(a.serviceRuns, b.serviceRuns), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// roomSearch is what the searches for room for service tasks share in one check.
type roomSearch struct {
	// candidates has the executors that accept work; nil before the first search.
	candidates []*executor
	// withoutRoom has the groups of which a task found no room. An evacuated zone may
	// have hundreds of their tasks, each of which would search all executors.
	withoutRoom map[*group]bool
}

// relocateRun stops a service run if its task may be interrupted and an executor
// that is not leaving has room for it. The room is reserved, because short tasks
// would take it before the run has ended.
func (p *Plan) relocateRun(now time.Time, r *run, search *roomSearch) {
	g := r.task.group
	if search.withoutRoom[g] && r.task.reservedOn == nil {
		r.withoutRoom = true
		return
	}
	if !p.mayInterrupt(now, r) || !p.fitsBesideUnaccounted(g, 0) {
		return
	}
	if search.candidates == nil {
		search.candidates = p.candidates(now)
	}
	e := p.chooseExecutor(g, r.task, search.candidates, nil)
	r.withoutRoom = e == nil || e.Leaving
	if r.withoutRoom {
		search.withoutRoom[g] = true
		return
	}
	p.reserve(now, r.task, e)
	p.stopRun(now, r, "executor is going to be emptied")
}

// minServingTime is how long a service task must have been serving to count as
// available when another one of its step is interrupted. Reports are up to
// reportWait old; they show any outage longer than the platform's notice time.
const minServingTime = 500 * time.Millisecond

// mayInterrupt reports whether a service task may be interrupted now: it is
// available, and without it at most MaxUnavailable tasks of its step are
// unavailable.
func (p *Plan) mayInterrupt(now time.Time, r *run) bool {
	g := r.task.group
	if !p.isServing(now, r.task) {
		return false
	}
	if g.step.MaxUnavailable <= 0 {
		return true
	}
	unavailable := 0
	for _, t := range g.tasks {
		if t != r.task && !p.isServing(now, t) {
			unavailable++
		}
	}
	return unavailable < g.step.MaxUnavailable
}

// isServing reports whether a service task has been serving for minServingTime,
// according to a recent report, and is not about to be stopped because its executor
// is draining or by an order of the previous owner.
func (p *Plan) isServing(now time.Time, t *task) bool {
	for _, r := range t.runs {
		reportedRecently := r.executor.reachable() && now.Sub(r.executor.reportedAt) < reportWait+leaseRenewalRetryDelay
		serves := r.state == runRunning && r.percent == 100 && now.Sub(r.percentChangedAt) >= minServingTime
		if reportedRecently && serves && !r.executor.Draining && !r.executor.mayHaveInheritedStop(p.params.StopTime) {
			return true
		}
	}
	return false
}

// mayHaveInheritedStop reports whether the last report may list a run that a stop
// of the previous owner is ending. The executor accepts no such stop once it has
// seen this owner's fencing token, and a run that was stopped before is gone from
// every report requested stopTime later.
func (e *executor) mayHaveInheritedStop(stopTime time.Duration) bool {
	return e.inherited && e.reportRequestedAt.Sub(e.fencingTokenSeenAt) < stopTime
}
