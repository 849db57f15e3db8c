package poolplan

import (
	"slices"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// A task stays away from the executors on which it has failed, which may have been at fault,
// as long as another one may run it. It does not matter whether that has room now, but its
// room has to come free: work that lasts may stay there for good.

// leavesOutFailed reports whether a task is not started on the executors on which it has
// failed. planned counts the members of the same gang that will start on each executor; it is
// nil for other tasks.
func (p *Plan) leavesOutFailed(g *group, t *task, planned map[*executor]int) bool {
	if len(t.failedOn) == 0 {
		return false
	}
	return slices.ContainsFunc(p.accepting, func(e *executor) bool {
		return !t.failedOnExecutor(e) && g.mayRunLater(t, e, planned[e])
	})
}

func (t *task) failedOnExecutor(e *executor) bool { return slices.Contains(t.failedOn, e.ID) }

// mayRunLater reports whether an executor that accepts work may run a task of the group once
// the work there that does not last has ended.
func (g *group) mayRunLater(t *task, e *executor, planned int) bool {
	if e.StaleAck && !g.step.Service || g.labelObstacle(e) != "" {
		return false
	}
	if g.advice != nil && g.advice.denied[e.ID] {
		return false
	}
	lasting, sameStep := e.lastingUse(t)
	if g.step.MaxPerExecutor > 0 && planned+sameStep >= g.step.MaxPerExecutor {
		return false
	}
	return scale(g.step.Demand(), int64(planned)+1).Fits(e.Capacity.Sub(lasting))
}

// lastingUse returns what work that lasts uses on an executor, and how many runs of the
// task's own step are among it.
func (e *executor) lastingUse(t *task) (use fleet.Resources, sameStep int) {
	if e.serviceRuns+e.bestEffortRuns == 0 {
		return use, 0
	}
	for _, r := range e.runs {
		step := r.task.group.step
		if !step.Service && !step.BestEffort || r.state == runStopping {
			continue
		}
		use = use.Add(step.Demand())
		if r.task.group == t.group {
			sameStep++
		}
	}
	return use, sameStep
}
