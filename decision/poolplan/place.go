package poolplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Weights of the choice of an executor, in thousandths of its capacity.
const (
	// weightFar is added away from the rack that holds the data.
	weightFar = 4000
	// weightMixed is added where fillers and service tasks would meet.
	weightMixed = 2000
	// weightLeaving is added for a service task on an executor that is going to
	// be emptied.
	weightLeaving = 6000
)

// maxOpenStarts is how many starts may wait for their answers. A host that is
// short of processor time answers its own queue of orders ever later, while
// leases run out; 2,000 starts a second that take 5 ms each leave 10 open.
const maxOpenStarts = 160

// place starts as many tasks as there is room for.
func (p *Plan) place(now time.Time) {
	if p.catalog == nil {
		return
	}
	p.refreshGroups(now)
	if len(p.groups) == 0 {
		return
	}
	candidates := p.candidates(now)
	if len(candidates) == 0 {
		return
	}
	p.noRoom = p.noRoom[:0]
	p.pass++
	for _, g := range p.groups {
		// The list is not renewed at every step of a busy pool.
		if g.job.over() || g.waiting() == 0 {
			continue
		}
		if p.openStarts >= maxOpenStarts {
			return
		}
		p.noteWait(now, g, p.placeGroup(now, g, candidates))
	}
	p.forgetBlocked()
}

// placeGroup starts the tasks of a group and returns why some of them wait.
func (p *Plan) placeGroup(now time.Time, g *group, candidates []*executor) wait {
	switch {
	case g.job.inherited && !p.settled:
		return waitInherited
	case g.job.spec.SilentOwner > 0 && p.renewal <= g.job.spec.SilentOwner:
		return waitRenewal
	case p.needsAdvice(g):
		return p.placeAdvised(now, g, candidates)
	}
	return p.placeOpen(now, g, candidates)
}

// placeOpen starts the tasks of a group that has nothing to wait for but room.
func (p *Plan) placeOpen(now time.Time, g *group, candidates []*executor) wait {
	if g.step.Gang {
		return p.placeGang(now, g, candidates)
	}
	return p.placeTasks(now, g, candidates)
}

// candidates returns the executors that accept work, in a fixed order.
func (p *Plan) candidates(now time.Time) []*executor {
	var list, avoided []*executor
	if p.sorted == nil {
		p.sorted = slices.SortedFunc(maps.Values(p.executors), func(a, b *executor) int { return cmp.Compare(a.ID, b.ID) })
	}
	for _, e := range p.sorted {
		switch {
		case !e.accepts() || e.lease(now, p.leaseTerm(now)) == 0:
		case now.Before(e.avoidUntil):
			avoided = append(avoided, e)
		default:
			list = append(list, e)
		}
	}
	if len(list) == 0 {
		// Work on a doubtful executor is better than none.
		return avoided
	}
	return list
}

func (p *Plan) placeTasks(now time.Time, g *group, candidates []*executor) wait {
	why := waitNone
	for _, t := range g.tasks {
		if !t.open() {
			continue
		}
		if t.lost && p.stale {
			why = waitSuccessor
			continue
		}
		if !p.withinLimit(g, 1) {
			p.noteBlocked(now, g, 1)
			return waitLimit
		}
		if p.knownFull(g.step) {
			return waitRoom
		}
		e := p.choose(g, t, candidates, nil)
		if e == nil {
			p.noteFull(t)
			return waitRoom
		}
		p.start(now, t, e, p.nextAttempt(t))
	}
	return why
}

// fullDemands bounds the demands that are kept for which there is no room.
const fullDemands = 8

// knownFull reports whether a search in this step has found no room for a demand
// that is not larger. Constraints of a step only leave less room.
func (p *Plan) knownFull(s *workload.Step) bool {
	demand := s.Demand()
	return slices.ContainsFunc(p.noRoom, func(r fleet.Resources) bool { return r.Fits(demand) })
}

// noteFull notes that no executor has room for a task that any of them may run.
func (p *Plan) noteFull(t *task) {
	g := t.group
	if g.constrained() || len(t.failedOn) > 0 || len(p.noRoom) == fullDemands {
		return
	}
	p.noRoom = append(p.noRoom, g.step.Demand())
}

// constrained reports whether the group may not run on every executor.
func (g *group) constrained() bool {
	return g.step.Label != "" || g.advice != nil || g.step.MaxPerExecutor > 0
}

// choose returns the best executor for a task, or nil. planned counts the
// members of the same group that are to start there too.
func (p *Plan) choose(g *group, t *task, candidates []*executor, planned map[*executor]int) *executor {
	var best *executor
	var bestCost int64
	demand := g.step.Demand()
	for _, e := range candidates {
		n := int64(planned[e])
		if len(t.failedOn) < len(candidates) && slices.Contains(t.failedOn, e.ID) {
			continue
		}
		if !scale(demand, n+1).Fits(e.free()) || !g.allows(e, int(n)) {
			continue
		}
		cost := p.cost(g, t, e)
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	return best
}

// cost is lower the better the executor suits the task.
func (p *Plan) cost(g *group, t *task, e *executor) int64 {
	cost := int64(0)
	if g.step.Service && e.Leaving {
		cost += weightLeaving
	}
	cost += e.used.MilliCPU * 1000 / max(e.Capacity.MilliCPU, 1)
	if g.step.DataRack != "" && g.step.DataRack != e.Rack {
		cost += weightFar
	}
	if g.step.Filler && e.serviceRuns > 0 || g.step.Service && g.step.LatencyTarget > 0 && e.fillerRuns > 0 {
		cost += weightMixed
	}
	return cost
}

// allows reports whether the advice and the step's constraints permit one more
// task on e.
func (g *group) allows(e *executor, planned int) bool {
	if g.advice != nil {
		if _, ok := g.advice.tickets[e.ID]; !ok {
			return false
		}
	}
	return g.fits(e, planned)
}

// fits reports whether the step's constraints permit one more task on e.
func (g *group) fits(e *executor, planned int) bool {
	if g.step.Label != "" && !slices.Contains(e.Labels, g.step.Label) {
		return false
	}
	if g.step.MaxPerExecutor <= 0 {
		return true
	}
	n := planned
	for _, t := range g.tasks {
		for _, r := range t.runs {
			if r.executor == e {
				n++
			}
		}
	}
	return n < g.step.MaxPerExecutor
}

// withinLimit reports whether the group's tenant may start n more of its tasks.
func (p *Plan) withinLimit(g *group, n int64) bool {
	tenant, ok := p.catalog.Tenants[g.job.spec.Tenant]
	if !ok {
		return true
	}
	after := p.used[tenant.Name].Add(scale(g.step.Size, n))
	limit := p.limits[tenant.Name]
	return within(after, limit, tenant.Maximum)
}

// within reports whether r is at or under limit in each dimension that maximum
// bounds.
func within(r, limit, maximum fleet.Resources) bool {
	return (maximum.MilliCPU == 0 || r.MilliCPU <= limit.MilliCPU) &&
		(maximum.MemoryBytes == 0 || r.MemoryBytes <= limit.MemoryBytes) &&
		(maximum.Accelerators == 0 || r.Accelerators <= limit.Accelerators)
}

func (p *Plan) nextAttempt(t *task) int {
	base := t.attempts
	if t.group.job.inherited {
		base = max(base, (p.term-1)*attemptsPerTerm)
	}
	return base + 1
}

func (p *Plan) start(now time.Time, t *task, e *executor, attempt int) {
	g := t.group
	t.attempts, t.lost = attempt, false
	r := &run{
		key:       runKey{t.id(), attempt},
		task:      t,
		executor:  e,
		orderedAt: now,
		percentAt: now,
		tries:     1,
		pace:      100,
	}
	e.runs[r.key] = r
	t.runs = append(t.runs, r)
	g.job.begun = true
	p.charge(r, 1)
	until := e.lease(now, p.leaseTerm(now))
	e.grant(now, until)
	s := Start{
		Target:     e.target(),
		Task:       r.key.task,
		Attempt:    attempt,
		Text:       g.job.spec.Text,
		LeaseUntil: until,
		Reason:     "room",
		Waited:     now.Sub(g.readyAt),
	}
	if g.step.Checkpoints {
		s.Checkpoint = t.checkpoint
	}
	if g.advice != nil {
		s.Ticket = g.advice.tickets[e.ID].text
	}
	p.openStarts++
	p.orders = append(p.orders, s)
}

// Next returns when Step should be called again for want of other events.
func (p *Plan) Next(now time.Time) time.Time {
	next := now.Add(idleTick)
	for _, e := range p.executors {
		if !e.holding && len(e.runs) > 0 && e.holdAt.After(now) && e.holdAt.Before(next) {
			next = e.holdAt
		}
	}
	return next
}

// idleTick is the longest time between two steps.
const idleTick = 200 * time.Millisecond
