package poolplan

import (
	"maps"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// TenantUse returns what each tenant's tasks use here; lasting is the part of it that
// service tasks use, want adds the demand of all tasks that could start now. A service task
// that is about to start again counts as if it ran.
func (p *Plan) TenantUse() (used, lasting, want map[string]fleet.Resources) {
	used, lasting, want = maps.Clone(p.tenantUsed), maps.Clone(p.tenantLasting), maps.Clone(p.tenantUsed)
	for _, g := range p.readyGroups {
		if !g.ready || g.job.closed() {
			continue
		}
		tenant, waiting := g.job.spec.Tenant, scale(g.step.Size, int64(g.waitingTasks()))
		want[tenant] = want[tenant].Add(waiting)
		if g.step.Service && g.job.begun {
			used[tenant], lasting[tenant] = used[tenant].Add(waiting), lasting[tenant].Add(waiting)
		}
	}
	return used, lasting, want
}

// MachineUse describes the use of one machine.
type MachineUse struct {
	MilliCPU            int64
	Tasks, ServiceTasks int
	// Empty is set when the machine is cordoned, nothing runs on it, and
	// nothing will start.
	Empty bool
}

// MachineUses returns the use of each machine by name. For some seconds the
// registry may list an earlier incarnation beside the present one, so a machine
// is empty only if all of its executors are.
func (p *Plan) MachineUses() map[string]MachineUse {
	uses := make(map[string]MachineUse, len(p.executors))
	inUse := make(map[string]bool)
	for _, e := range p.executors {
		u := uses[e.Machine]
		u.MilliCPU += e.used.MilliCPU
		u.Tasks += len(e.runs) + e.unknownRuns
		for _, r := range e.runs {
			if r.task.group.step.Service {
				u.ServiceTasks++
			}
		}
		switch {
		case len(e.runs)+e.unknownRuns > 0:
			inUse[e.Machine] = true
		case !e.runsKnown():
			// What a previous owner, or an order to an earlier incarnation, left there is
			// not known.
			inUse[e.Machine] = true
		case e.listed && e.Cordoned:
			u.Empty = true
		case e.listed:
			inUse[e.Machine] = true
		}
		uses[e.Machine] = u
	}
	for machine := range inUse {
		u := uses[machine]
		u.Empty = false
		uses[machine] = u
	}
	return uses
}

// Load returns the processor demand of the tasks that run or could start now,
// and the capacity of the executors in service, in thousandths of a processor.
// Waiting tasks of jobs that can only complete without value are not counted:
// machines for them would be missing where work can still be in time.
// lateDemand is the part of the demand of jobs that can only complete late.
//
// The demand of a task includes what stays unused beside it on an executor that is
// filled with tasks of its size.
func (p *Plan) Load() (demand, lateDemand, capacity int64) {
	usual := int64(0)
	for _, e := range p.executors {
		if p.mayStartOn(e) {
			capacity += e.Capacity.MilliCPU
			usual = max(usual, e.Capacity.MilliCPU)
		}
		for _, r := range e.runs {
			demand += occupiedMilliCPU(r.task.group.step.Size.MilliCPU, e.Capacity.MilliCPU)
		}
	}
	for _, g := range p.readyGroups {
		if !g.ready || g.job.closed() || g.lateness == worthless {
			continue
		}
		waiting := occupiedMilliCPU(g.step.Size.MilliCPU, usual) * int64(g.waitingTasks())
		demand += waiting
		if g.lateness == late {
			lateDemand += waiting
		}
	}
	return demand, lateDemand, capacity
}

// occupiedMilliCPU returns the part of an executor's capacity that one task takes when
// as many tasks of its size run there as fit.
func occupiedMilliCPU(task, capacity int64) int64 {
	if task <= 0 || task >= capacity {
		return task
	}
	return capacity / (capacity / task)
}
