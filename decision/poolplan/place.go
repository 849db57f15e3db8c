package poolplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Costs in the choice of an executor, in thousandths of its capacity.
const (
	// costPerRemoteFactor, times the remote factor less one, is added for a service task
	// or a best-effort task outside the rack that holds its data. Other tasks take room in
	// that rack whatever it costs, or wait for it.
	costPerRemoteFactor = 1000
	// costMixed is added where best-effort tasks and service tasks would share
	// an executor.
	costMixed = 2000
	// costLeaving is added for a service task on an executor that will be
	// emptied.
	costLeaving = 6000
	// costFirstService is added for a service task on an executor that runs none.
	// A machine without service tasks can be given to another pool or switched
	// off once its other tasks have ended.
	costFirstService = 1500
)

// Limits of the starts without an answer at one executor. Orders to an executor that
// cannot be reached occupy the sender for half a second each: while an availability
// zone is cut off, its machines that join a pool would otherwise be given all that
// they have room for.
const (
	// maxOpenStartsPerExecutor applies to executors that have answered.
	maxOpenStartsPerExecutor = 8
	// maxFirstStarts applies until an executor has answered for the first time.
	maxFirstStarts = 1
)

// mayStartMore reports whether the executor may be given another start before it
// has answered the open ones.
func (e *executor) mayStartMore() bool {
	if e.mayNotStart() {
		return false
	}
	if e.lastAnswerAt.IsZero() {
		return e.openStarts < maxFirstStarts
	}
	return e.openStarts < maxOpenStartsPerExecutor
}

// mayNotStart reports whether the executor must not be given a start, since starts and
// acknowledgements are not open at the same time: if a restart that has not been noticed
// lies before both, the run that begins there ends below the acknowledgement, and its end
// is not listed.
func (e *executor) mayNotStart() bool { return e.ackWaits || e.openAck > 0 }

// maxOpenStarts limits the starts without an answer. A host that is short of
// processor time processes the answers to its queued orders ever later, while
// leases expire. 2,000 starts per second of 5 ms each keep 10 open.
const maxOpenStarts = 160

// place starts as many tasks as there is room for.
func (p *Plan) place(now time.Time) {
	if p.catalog == nil {
		return
	}
	p.refreshGroups(now)
	if len(p.readyGroups) == 0 {
		return
	}
	candidates := p.candidates(now)
	if len(candidates) == 0 {
		return
	}
	p.unplaceable = p.unplaceable[:0]
	p.refreshUnaccounted(now)
	p.round++
	p.beginPlacementRound()
	for _, g := range p.readyGroups {
		// A busy pool does not refresh the list at every step.
		if g.job.closed() || g.waitingTasks() == 0 {
			continue
		}
		if p.openStarts >= maxOpenStarts {
			return
		}
		reason := p.placeGroup(now, g, candidates)
		p.placement.noteReason(reason)
		p.logWait(now, g, reason)
	}
	p.pruneBlocked()
}

// placeGroup starts the tasks of a group and returns why the others wait.
func (p *Plan) placeGroup(now time.Time, g *group, candidates []*executor) waitReason {
	switch {
	case g.job.inherited && !p.inheritedRunsKnown:
		return waitInherited
	case g.job.spec.SilentOwner > 0 && p.ownershipRenewalVersion <= g.job.spec.SilentOwner:
		return waitOwnershipRenewal
	case p.heldByBlocked(g):
		return waitLimit
	case p.needsAdvice(g):
		return p.placeWithAdvice(now, g, candidates)
	}
	return p.placeByCapacity(now, g, candidates)
}

// placeByCapacity starts the tasks of a group whose only conditions are limits,
// constraints and free capacity.
func (p *Plan) placeByCapacity(now time.Time, g *group, candidates []*executor) waitReason {
	if g.step.Gang {
		return p.placeGang(now, g, candidates)
	}
	return p.placeTasks(now, g, candidates)
}

// candidates returns the executors that accept work, in a fixed order.
func (p *Plan) candidates(now time.Time) []*executor {
	var list, avoided []*executor
	p.trialsNeeded = false
	for _, e := range p.allExecutors() {
		switch {
		case !p.mayStartOn(e) || e.leaseEnd(now, p.leaseDuration(now)) == 0:
		case now.Before(e.avoidUntil):
			avoided = append(avoided, e)
		default:
			list = append(list, e)
			p.trialsNeeded = p.trialsNeeded || e.StaleAck
		}
	}
	if len(list) == 0 {
		// An executor that failed or refused work is better than none.
		list = avoided
	}
	p.accepting = list
	return list
}

// allExecutors returns the executors sorted by identifier.
func (p *Plan) allExecutors() []*executor {
	if p.sortedExecutors == nil {
		p.sortedExecutors = slices.SortedFunc(maps.Values(p.executors), func(a, b *executor) int { return cmp.Compare(a.ID, b.ID) })
	}
	return p.sortedExecutors
}

func (p *Plan) placeTasks(now time.Time, g *group, candidates []*executor) waitReason {
	reason := notWaiting
	for _, t := range g.tasks {
		if !t.needsRun() {
			continue
		}
		if t.runLost && p.mayBeSuperseded {
			reason = waitPossibleSuccessor
			continue
		}
		if now.Before(t.restart.notBefore) {
			reason = waitRestartDelay
			continue
		}
		if !p.withinLimit(g, 1) {
			p.recordBlocked(now, g, 1)
			return waitLimit
		}
		if !p.fitsBesideUnaccounted(g, 1) {
			return waitInheritedUse
		}
		if p.mayHaveLateStart(now, t) {
			if !p.placeBesideLateStart(now, g, t, candidates) {
				reason = waitLateStart
			}
			continue
		}
		e, waits := p.findPlace(now, g, t, candidates)
		if waits {
			reason = waitPlace
			continue
		}
		if e == nil && !p.startTrial(now, g, t, candidates) {
			if len(t.failedOn) > 0 {
				// Others of the step may start where it has failed.
				reason = waitRoom
				continue
			}
			return waitRoom
		}
		if e != nil {
			p.startTask(now, t, e, p.nextAttempt(t))
		}
	}
	return reason
}

// findRoom returns the best executor for a task that is not a member of a gang, or nil.
func (p *Plan) findRoom(g *group, t *task, candidates []*executor) *executor {
	if p.knownUnplaceable(g.step) {
		return nil
	}
	e := p.chooseExecutor(g, t, candidates, nil)
	if e == nil {
		p.recordUnplaceable(t)
	}
	return e
}

// maxUnplaceable limits the demands that are kept in Plan.unplaceable.
const maxUnplaceable = 8

// knownUnplaceable reports whether a search in this step found no room for the
// step's demand or a smaller one. The constraints of a step can only reduce the
// choice.
func (p *Plan) knownUnplaceable(s *workload.Step) bool {
	demand := s.Demand()
	return slices.ContainsFunc(p.unplaceable, func(r fleet.Resources) bool { return r.Fits(demand) })
}

// recordUnplaceable records that no executor has room for a task that any of
// them may run.
func (p *Plan) recordUnplaceable(t *task) {
	g := t.group
	if g.constrained() || len(t.failedOn) > 0 || len(p.unplaceable) == maxUnplaceable {
		return
	}
	p.unplaceable = append(p.unplaceable, g.step.Demand())
}

// constrained reports whether some executors may be excluded for the group.
func (g *group) constrained() bool {
	return g.step.Label != "" || g.advice != nil || g.step.MaxPerExecutor > 0
}

// chooseExecutor returns the best executor for a task, or nil. planned counts
// the members of the same gang that will start on each executor; it is nil for
// other tasks.
func (p *Plan) chooseExecutor(g *group, t *task, candidates []*executor, planned map[*executor]int) *executor {
	var best *executor
	var bestCost int64
	leaveOutFailed := p.leavesOutFailed(g, t, planned)
	for _, e := range candidates {
		cost, obstacle := p.assess(g, t, e, leaveOutFailed, planned)
		if obstacle == "" && (best == nil || cost < bestCost) {
			best, bestCost = e, cost
		}
	}
	return best
}

// placementCost returns the cost of a task on e; lower is better.
func (p *Plan) placementCost(g *group, t *task, e *executor) int64 {
	cost := int64(0)
	if g.step.Service && e.Leaving {
		cost += costLeaving
	}
	if g.step.Service && e.serviceRuns == 0 {
		cost += costFirstService
	}
	usedPart := e.used.MilliCPU * 1000 / max(e.Capacity.MilliCPU, 1)
	switch {
	case g.step.Service:
		cost += usedPart
	case e.serviceRuns > 0:
		cost -= usedPart + costFirstService
	default:
		cost -= usedPart
	}
	if (g.step.Service || g.step.BestEffort) && g.step.DataRack != "" && g.step.DataRack != e.Rack && p.placementMatters() {
		cost += int64((p.params.RemoteFactor - 1) * costPerRemoteFactor)
	}
	if g.step.BestEffort && e.latencyBoundRuns > 0 || g.step.Service && g.step.LatencyTarget > 0 && e.bestEffortRuns > 0 {
		cost += costMixed
	}
	return cost
}

// mayRunOn reports whether the advice and the step's constraints permit one
// more task on e.
func (g *group) mayRunOn(e *executor, planned int) bool { return g.taskObstacle(e, planned) == "" }

// reservedByOther reports whether another task of the group is being relocated to e
// and the step bounds its tasks on one executor.
func (g *group) reservedByOther(t *task, e *executor) bool {
	return g.step.MaxPerExecutor > 0 && slices.ContainsFunc(g.tasks, func(o *task) bool { return o != t && o.reservedOn == e })
}

// constraintsAllow reports whether the step's constraints permit one more task on e.
func (g *group) constraintsAllow(e *executor, planned int) bool {
	return g.constraintObstacle(e, planned) == ""
}

// withinLimit reports whether the group's tenant may start n more of its tasks.
func (p *Plan) withinLimit(g *group, n int64) bool {
	tenant, ok := p.catalog.Tenants[g.job.spec.Tenant]
	if !ok {
		return true
	}
	after := p.tenantUsed[tenant.Name].Add(scale(g.step.Size, n))
	limit := p.tenantLimits[tenant.Name]
	if !g.step.Service {
		limit = limit.Sub(p.heldBack[tenant.Name])
	}
	return withinBounds(after, limit, tenant.Maximum)
}

// withinBounds reports whether r is at or below limit in each dimension that
// maximum bounds.
func withinBounds(r, limit, maximum fleet.Resources) bool {
	return (maximum.MilliCPU == 0 || r.MilliCPU <= limit.MilliCPU) &&
		(maximum.MemoryBytes == 0 || r.MemoryBytes <= limit.MemoryBytes) &&
		(maximum.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

// NextStep returns when Step should be called again if nothing else happens.
func (p *Plan) NextStep(now time.Time) time.Time {
	next := now.Add(maxStepInterval)
	if until := p.placement.nextEnd; until.After(now) {
		next = earlier(next, until)
	}
	for _, e := range p.executors {
		if e.trials.open > 0 || !e.silentSince.IsZero() && now.Sub(e.silentSince) < promptCheckTime {
			next = earlier(next, now.Add(checkInterval))
		}
		if over := e.leaseOverAt(p.params.MaxLease); len(e.runs) > 0 && !e.reachable() && over.After(now) {
			// Service tasks have to run again within 6 s of their last run.
			next = earlier(next, over.Add(time.Millisecond))
		}
		if !e.leaseRenewalOpen && len(e.runs) > 0 && e.nextLeaseRenewalAt.After(now) && e.nextLeaseRenewalAt.Before(next) {
			next = e.nextLeaseRenewalAt
		}
	}
	return next
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// maxStepInterval is the longest time between two steps.
const maxStepInterval = 200 * time.Millisecond
