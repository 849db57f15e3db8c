package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// A previous owner that does not know of its successor goes on to use the pool's share
// of each tenant's limit, on the executors that the successor has not reached. Until
// all of its runs are known or over, the successor leaves room for them in the share.

// unaccounted bounds the runs of previous owners that no report has shown.
type unaccounted struct {
	// room is what they can take at most on the executors where they may be.
	room fleet.Resources
	// tasks has, by tenant, the demand of the tasks that may have such a run.
	tasks    map[string]fleet.Resources
	listedAt time.Time
	// ended has, by tenant, that of jobs that have ended and whose runs may still be
	// on their way to their end.
	ended map[string]fleet.Resources
}

// recentEnd is how long after its end a job may still have runs. It is longer than any
// lease, as the clocks of hosts may differ by some seconds.
const recentEnd = 30 * time.Second

// noteEnded records an inherited job that had ended before it could be added.
func (p *Plan) noteEnded(now time.Time, spec *workload.Spec, progress *workload.Progress) {
	if progress.State == workload.Completed || now.Sub(progress.EndedAt).Abs() > recentEnd {
		return
	}
	for i := range spec.Steps {
		step := &spec.Steps[i]
		p.unaccounted.addEnded(spec.Tenant, scale(step.Size, int64(step.Count*spec.Occurrences())))
	}
}

func (u *unaccounted) addEnded(tenant string, demand fleet.Resources) {
	if u.ended == nil {
		u.ended = make(map[string]fleet.Resources)
	}
	u.ended[tenant] = u.ended[tenant].Add(demand)
}

// unknownDemand returns the demand of the job's tasks that may have a run that the plan
// does not know.
func (j *job) unknownDemand() fleet.Resources {
	demand := fleet.Resources{}
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			n := int64(0)
			for _, t := range g.tasks {
				n += t.unknownRuns()
			}
			demand = demand.Add(scale(g.step.Size, n))
		}
	}
	return demand
}

// unknownRuns returns how many runs the task may have that the plan does not know.
func (t *task) unknownRuns() int64 {
	most := 1
	if t.group.step.Speculative {
		most = 2
	}
	if t.done {
		// Another copy may still be on its way to its end.
		most--
	}
	return int64(max(most-len(t.runs), 0))
}

// refreshUnaccounted updates the bound on unknown runs.
func (p *Plan) refreshUnaccounted(now time.Time) {
	u := &p.unaccounted
	u.room = fleet.Resources{}
	for _, e := range p.executors {
		if !p.inheritedRunsKnown && e.inherited && !e.fencingTokenSeen || e.unknownRuns > 0 {
			u.room = u.room.Add(e.Capacity.Sub(e.used))
		}
	}
	if u.room == (fleet.Resources{}) {
		if p.inheritedRunsKnown {
			u.ended = nil
		}
		u.tasks = nil
		return
	}
	if p.inheritedRunsKnown {
		// What a report lists of a job in the plan is adopted.
		u.tasks = nil
		return
	}
	if u.tasks != nil && p.mayDefer(now, u.listedAt, runCheckInterval) {
		return
	}
	u.tasks, u.listedAt = make(map[string]fleet.Resources), now
	for _, j := range p.jobs {
		if j.inherited {
			u.tasks[j.spec.Tenant] = u.tasks[j.spec.Tenant].Add(j.unknownDemand())
		}
	}
}

// use returns a bound on what unknown runs of a tenant use.
func (u *unaccounted) use(tenant string) fleet.Resources {
	demand := u.tasks[tenant].Add(u.ended[tenant])
	return fleet.Resources{
		MilliCPU:     min(u.room.MilliCPU, demand.MilliCPU),
		MemoryBytes:  min(u.room.MemoryBytes, demand.MemoryBytes),
		Accelerators: min(u.room.Accelerators, demand.Accelerators),
	}
}

// fitsBesideUnaccounted reports whether n more tasks of the group stay within the
// tenant's limit even if all unknown runs exist.
func (p *Plan) fitsBesideUnaccounted(g *group, n int64) bool {
	tenant, ok := p.catalog.Tenants[g.job.spec.Tenant]
	if !ok {
		return true
	}
	after := p.tenantUsed[tenant.Name].Add(scale(g.step.Size, n)).Add(p.unaccounted.use(tenant.Name))
	return withinBounds(after, p.tenantLimits[tenant.Name], tenant.Maximum)
}
