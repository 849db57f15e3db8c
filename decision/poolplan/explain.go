package poolplan

import (
	"maps"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// ExecutorUse is a registered executor with what the choice of an executor considers
// of its use.
type ExecutorUse struct {
	Executor
	Used fleet.Resources
	// Reserved is kept for service tasks that are being relocated to the executor.
	Reserved fleet.Resources
	// ServiceTasks, LatencyBoundTasks and BestEffortTasks are the numbers of its runs
	// of each kind.
	ServiceTasks, LatencyBoundTasks, BestEffortTasks int
	// Obstacle is why the owner starts no work there; empty if it does.
	Obstacle Obstacle
}

// ExecutorUses returns the registered executors with their use, sorted by identifier.
func (p *Plan) ExecutorUses(now time.Time) []ExecutorUse {
	uses := make([]ExecutorUse, 0, len(p.executors))
	for _, e := range p.allExecutors() {
		if !e.listed {
			continue
		}
		uses = append(uses, ExecutorUse{
			Executor: e.Executor, Used: e.used, Reserved: e.reserved, Obstacle: e.publishedObstacle(now),
			ServiceTasks: e.serviceRuns, LatencyBoundTasks: e.latencyBoundRuns, BestEffortTasks: e.bestEffortRuns,
		})
	}
	return uses
}

// TenantUsed returns what the tasks of each tenant use here, without tenants that use
// nothing.
func (p *Plan) TenantUsed() map[string]fleet.Resources {
	used := maps.Clone(p.tenantUsed)
	maps.DeleteFunc(used, func(_ string, r fleet.Resources) bool { return r == fleet.Resources{} })
	return used
}

// Query asks where the first step of a job would be placed.
type Query struct {
	Catalog *catalog.Catalog
	// Params are those of the pool's plan. Its times have no effect on the choice of
	// an executor.
	Params Params
	Spec   *workload.Spec
	// Limits and Used are what each tenant may use and uses in the pool.
	Limits, Used map[string]fleet.Resources
	Executors    []ExecutorUse
	// Evacuated has the availability zones in which nothing starts.
	Evacuated map[string]bool
}

// InEmptyPool returns the query for the same executors and tenants while nothing runs.
// The tenants may use all of their maximum.
func (q Query) InEmptyPool() Query {
	q.Used, q.Limits = nil, make(map[string]fleet.Resources, len(q.Catalog.Tenants))
	for name, t := range q.Catalog.Tenants {
		q.Limits[name] = t.Maximum
	}
	executors := make([]ExecutorUse, len(q.Executors))
	for i := range q.Executors {
		executors[i].Executor = q.Executors[i].Executor
	}
	q.Executors = executors
	return q
}

// Explanation tells where the first step of a job would be placed, if no other work of
// the pool goes before it.
type Explanation struct {
	// Starts has the executor of each task that would start now.
	Starts []string
	// Wait is why the other tasks would wait, as in the event of waiting tasks; empty
	// if all would start.
	Wait string
	// Options has each executor, sorted by identifier, as the first task finds it.
	Options []Option
}

// Option is one executor in the choice for a task.
type Option struct {
	Executor string
	// Obstacle is why the task may not start there; empty if it may.
	Obstacle Obstacle
	// Cost is that of the task on the executor; the lowest is chosen.
	Cost int64
}

// Explain places the first step of a job in a plan that has the executors of the query
// and no other work, by the code that places all work.
func Explain(now time.Time, q Query) Explanation {
	p := newExplainPlan(now, q)
	p.AddJob(now, q.Spec, workload.Progress{}, false)
	g := p.jobs[q.Spec.ID].occurrences[0].groups[0]
	candidates := p.candidates(now)
	x := Explanation{Options: p.options(now, g, candidates)}
	if len(candidates) == 0 {
		x.Wait = waitReasonNames[waitRoom]
		return x
	}
	x.Wait = waitReasonNames[p.placeAnswered(now, g, candidates)]
	tried := false
	for _, t := range g.tasks {
		for _, r := range t.runs {
			if r.trial {
				tried = true
				continue
			}
			x.Starts = append(x.Starts, r.executor.ID)
		}
	}
	if tried && x.Wait == "" {
		x.Wait = string(obstacleTrial)
	}
	return x
}

// placeAnswered starts the tasks of a group as if each start was accepted at once, because
// starts without an answer hold others up for a moment only. It returns why the rest waits.
func (p *Plan) placeAnswered(now time.Time, g *group, candidates []*executor) waitReason {
	for {
		reason := p.placeGroup(now, g, candidates)
		if reason != waitRoom || g.step.Gang || p.openStarts == 0 {
			return reason
		}
		p.openStarts, p.unplaceable = 0, nil
		for _, e := range candidates {
			e.openStarts = 0
		}
	}
}

// explainLease is the longest lease in a plan that explains placement. Any positive time
// gives the same choice.
const explainLease = time.Second

// newExplainPlan returns a plan with the executors and tenants of a query.
func newExplainPlan(now time.Time, q Query) *Plan {
	q.Params.MaxLease, q.Params.LeaseCap = explainLease, explainLease
	p := New(1, now, 0, q.Params)
	p.SetCatalog(q.Catalog)
	p.SetLimits(q.Limits)
	p.tenantUsed = maps.Clone(q.Used)
	if p.tenantUsed == nil {
		p.tenantUsed = make(map[string]fleet.Resources)
	}
	listed := make([]Executor, 0, len(q.Executors))
	for i := range q.Executors {
		info := q.Executors[i].Executor
		// The lease is given by the executor's clock.
		info.ClockMs = max(info.ClockMs, 1)
		listed = append(listed, info)
	}
	p.SetExecutors(now, listed)
	p.SetEvacuated(q.Evacuated)
	for i := range q.Executors {
		p.executors[q.Executors[i].ID].setUse(now, &q.Executors[i])
	}
	return p
}

// setUse sets the state of an executor from its published use.
func (e *executor) setUse(now time.Time, u *ExecutorUse) {
	e.recorded, e.lastAnswerAt = true, now
	e.used, e.reserved = u.Used, u.Reserved
	e.serviceRuns, e.latencyBoundRuns, e.bestEffortRuns = u.ServiceTasks, u.LatencyBoundTasks, u.BestEffortTasks
	switch u.Obstacle {
	case "":
	case obstacleUnlisted:
		e.listed = false
	case obstacleDraining:
		e.Draining = true
	case obstacleCordoned:
		e.Cordoned = true
	case obstacleUnrecorded:
		e.recorded = false
	case obstacleInheritedRuns:
		e.inherited = true
	case obstacleUnknownRuns:
		e.unknownRuns = 1
	case obstacleUnreachable:
		e.missedAnswers = 1
	case obstacleAvoided:
		e.avoidUntil = now.Add(explainLease)
	case obstacleTrial:
		e.StaleAck = true
	default:
		// Also an obstacle of a later version of this program.
		e.doubtful = true
	}
}

// options assesses all executors for the first task of a group.
func (p *Plan) options(now time.Time, g *group, candidates []*executor) []Option {
	accepting := make(map[*executor]bool, len(candidates))
	for _, e := range candidates {
		accepting[e] = true
	}
	var planned map[*executor]int
	if g.step.Gang {
		planned = make(map[*executor]int)
	}
	var options []Option
	for _, e := range p.allExecutors() {
		o := Option{Executor: e.ID}
		switch {
		case accepting[e]:
			o.Cost, o.Obstacle = p.assess(g, g.tasks[0], e, p.leavesOutFailed(g, g.tasks[0], planned), planned)
		case e.workObstacle() != "":
			o.Obstacle = e.workObstacle()
		case p.evacuated(e):
			o.Obstacle = obstacleEvacuated
		case now.Before(e.avoidUntil):
			o.Obstacle = obstacleAvoided
		default:
			o.Obstacle = obstacleLease
		}
		options = append(options, o)
	}
	return options
}
