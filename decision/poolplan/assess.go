package poolplan

import (
	"cmp"
	"slices"
	"time"
)

// Obstacle is why an executor is not given a task; empty if it may be.
type Obstacle string

// Obstacles that concern all tasks.
const (
	obstacleUnlisted Obstacle = "unregistered"
	obstacleDraining Obstacle = "draining"
	obstacleCordoned Obstacle = "cordoned"
	// obstacleUnrecorded means that a later owner would not know of the executor.
	obstacleUnrecorded Obstacle = "unrecorded"
	// obstacleInheritedRuns means that orders of a previous owner, or to an earlier
	// incarnation, may still begin runs there.
	obstacleInheritedRuns Obstacle = "inherited-runs"
	// obstacleUnknownRuns means that the executor has reported runs whose demand is not
	// known.
	obstacleUnknownRuns Obstacle = "unknown-runs"
	obstacleDoubtful    Obstacle = "doubtful-incarnation"
	obstacleEvacuated   Obstacle = "zone-evacuated"
	// The registry has not described the incarnation, whose capacity may be another one
	// than that of the one before.
	obstacleUndescribed Obstacle = "undescribed-incarnation"
	obstacleUnreachable Obstacle = "unreachable"
	// obstacleLease means that no lease can be granted.
	obstacleLease Obstacle = "no-lease"
	// obstacleAvoided means that the executor has failed or refused tasks, and others
	// are left.
	obstacleAvoided Obstacle = "avoided"
	// obstacleTrial means that only a trial may start there.
	obstacleTrial Obstacle = "trial"
	// obstacleOpenOrders means that orders to the executor have not been answered.
	obstacleOpenOrders Obstacle = "open-orders"
)

// Obstacles that concern one task.
const (
	obstacleFailedBefore Obstacle = "failed-before"
	// obstacleTooSmall means that the executor would not have room if it were empty.
	obstacleTooSmall       Obstacle = "too-small"
	obstacleRoom           Obstacle = "room"
	obstacleLabel          Obstacle = "label"
	obstacleMaxPerExecutor Obstacle = "max-per-executor"
	obstacleTicket         Obstacle = "no-ticket"
	// obstacleReserved means that another task of the step is being relocated there.
	obstacleReserved Obstacle = "reserved"
)

// workObstacle returns why no new work may start on e. Runs left by a previous owner
// must be known first.
func (e *executor) workObstacle() Obstacle {
	switch {
	case !e.listed:
		return obstacleUnlisted
	case e.Draining:
		return obstacleDraining
	case e.Cordoned:
		return obstacleCordoned
	case !e.recorded:
		return obstacleUnrecorded
	case !e.runsKnown():
		return obstacleInheritedRuns
	case e.unknownRuns > 0:
		return obstacleUnknownRuns
	case e.doubtful:
		return obstacleDoubtful
	case !e.described:
		return obstacleUndescribed
	case !e.reachable():
		return obstacleUnreachable
	}
	return ""
}

// publishedObstacle returns why e is not given work, or is given it only in certain
// cases. It leaves out what changes with each order.
func (e *executor) publishedObstacle(now time.Time) Obstacle {
	switch {
	case e.workObstacle() != "":
		return e.workObstacle()
	case now.Before(e.avoidUntil):
		return obstacleAvoided
	case e.StaleAck:
		return obstacleTrial
	}
	return ""
}

// assess returns the cost of a task on e, or why the task may not start there.
// leaveOutFailed is set if it stays away from executors on which it has failed. planned
// counts the members of the same gang that will start on each executor; it is nil for other
// tasks.
func (p *Plan) assess(g *group, t *task, e *executor, leaveOutFailed bool, planned map[*executor]int) (cost int64, obstacle Obstacle) {
	switch {
	case planned == nil && !e.mayStartMore() || e.mayNotStart():
		return 0, obstacleOpenOrders
	case e.StaleAck && !g.step.Service:
		return 0, obstacleTrial
	case leaveOutFailed && t.failedOnExecutor(e):
		return 0, obstacleFailedBefore
	}
	n := planned[e]
	demand := scale(g.step.Demand(), int64(n)+1)
	if !demand.Fits(e.freeFor(t)) {
		return 0, cmp.Or(g.labelObstacle(e), roomObstacle(demand.Fits(e.Capacity)))
	}
	if obstacle := g.taskObstacle(e, n); obstacle != "" {
		return 0, obstacle
	}
	if g.reservedByOther(t, e) {
		return 0, obstacleReserved
	}
	cost = p.placementCost(g, t, e)
	if t.reservedOn == e {
		cost -= costLeaving
	}
	return cost, ""
}

// roomObstacle returns the obstacle of an executor without room.
func roomObstacle(fitsEmpty bool) Obstacle {
	if fitsEmpty {
		return obstacleRoom
	}
	return obstacleTooSmall
}

// taskObstacle returns why the advice or the step's constraints do not permit one more
// task on e.
func (g *group) taskObstacle(e *executor, planned int) Obstacle {
	if g.advice != nil {
		if _, ok := g.advice.tickets[e.ID]; !ok {
			return obstacleTicket
		}
	}
	return g.constraintObstacle(e, planned)
}

// constraintObstacle returns why the step's constraints do not permit one more task on e.
func (g *group) constraintObstacle(e *executor, planned int) Obstacle {
	if obstacle := g.labelObstacle(e); obstacle != "" || g.step.MaxPerExecutor <= 0 {
		return obstacle
	}
	n := planned
	for _, t := range g.tasks {
		for _, r := range t.runs {
			if r.executor == e {
				n++
			}
		}
	}
	if n >= g.step.MaxPerExecutor {
		return obstacleMaxPerExecutor
	}
	return ""
}

// labelObstacle returns whether e lacks the label that the step requires.
func (g *group) labelObstacle(e *executor) Obstacle {
	if g.step.Label != "" && (!e.described || !slices.Contains(e.Labels, g.step.Label)) {
		return obstacleLabel
	}
	return ""
}
