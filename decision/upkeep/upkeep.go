// Package upkeep decides which machines are emptied for maintenance, and when.
//
// A machine of a wave is first cordoned, so that its pool gives it no new work
// and empties it, and is maintained once nothing runs on it. Each decision is
// derived from the observed state; the set of cordoned machines is all that is
// kept of earlier decisions.
package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// Machine is the observed state of one machine.
type Machine struct {
	Name      string
	Pool      string
	InService bool
	// UnderMaintenance is set while its maintenance is under way or ordered.
	UnderMaintenance bool
	// Empty is set when the owner of its pool runs nothing on it and will not.
	Empty bool
	// Standby machines are off and run nothing.
	Standby bool
	// Evacuated machines are in an evacuated zone, so that their pool does without them
	// anyway.
	Evacuated bool
	// Tasks and Services count what runs on it.
	Tasks, Services int
}

// Wave is one wave with its progress.
type Wave struct {
	Number  int
	MaxDown int
	// Deadline is when the maintenance of all machines must have begun.
	Deadline time.Time
	Machines []string
	// Begun has the machines whose maintenance has begun or ended.
	Begun map[string]bool
}

// Params holds the durations that a decision depends on.
type Params struct {
	// MaintenanceTime is how long the maintenance of a machine takes.
	MaintenanceTime time.Duration
	// EmptyingTime is how long it usually takes until nothing runs on a machine.
	EmptyingTime time.Duration
}

// Limits on the machines that are out of service at once.
const (
	// deadlineMargin is how long before its deadline a wave should be complete.
	deadlineMargin = 5 * time.Second
	// busyPoolDivisor is the divisor of a busy pool's size that gives how many of
	// its machines may be out at once.
	busyPoolDivisor = 4
	// idlePercent is the demand, in percent of capacity, up to which a pool
	// counts as idle.
	idlePercent = 35
	// idlePoolDivisor is the divisor for an idle pool.
	idlePoolDivisor = 2
)

// PoolLoad is the demand and capacity of a pool, in thousandths of a processor.
type PoolLoad struct {
	DemandMilliCPU, CapacityMilliCPU int64
}

func (l PoolLoad) usedPercent() int64 {
	if l.CapacityMilliCPU <= 0 {
		return 0
	}
	return l.DemandMilliCPU * 100 / l.CapacityMilliCPU
}

// Order is an order to begin the maintenance of a machine.
type Order struct {
	Machine string
	Wave    int
}

// Plan is the result of Decide.
type Plan struct {
	// Cordon has the machines to empty.
	Cordon map[string]bool
	// EvictServices has the machines that service tasks should leave, because
	// they will be emptied later.
	EvictServices map[string]bool
	// Orders lists the maintenance to begin.
	Orders []Order
	// Completed lists the waves in which the maintenance of every machine that
	// still exists has begun.
	Completed []int
}

// Decide returns the plan for now. cordoned has the machines cordoned by earlier
// decisions.
func Decide(now time.Time, waves []Wave, machines []Machine, loads map[string]PoolLoad, cordoned map[string]bool, p Params) Plan {
	plan := Plan{Cordon: make(map[string]bool), EvictServices: make(map[string]bool)}
	byName := make(map[string]*Machine, len(machines))
	poolSize := make(map[string]int)
	for i := range machines {
		byName[machines[i].Name] = &machines[i]
		poolSize[machines[i].Pool]++
	}
	outByPool := make(map[string]int)
	for i := range waves {
		plan.planWave(now, &waves[i], byName, poolSize, outByPool, loads, cordoned, p)
	}
	return plan
}

func (plan *Plan) planWave(now time.Time, w *Wave, byName map[string]*Machine, poolSize, outByPool map[string]int, loads map[string]PoolLoad, cordoned map[string]bool, p Params) {
	var pending []*Machine
	underMaintenance := 0
	for _, name := range w.Machines {
		m := byName[name]
		switch {
		case m == nil:
		case m.UnderMaintenance:
			underMaintenance++
		case !w.Begun[name]:
			pending = append(pending, m)
		}
	}
	if len(pending) == 0 {
		if underMaintenance == 0 || allBegun(w, byName) {
			plan.Completed = append(plan.Completed, w.Number)
		}
		return
	}
	for _, m := range pending {
		plan.EvictServices[m.Name] = true
	}
	slices.SortFunc(pending, func(a, b *Machine) int { return compareMachines(a, b, loads, cordoned) })
	canCordon := min(w.MaxDown, requiredParallel(now, w, len(pending), p)) - underMaintenance
	canBegin := w.MaxDown - underMaintenance
	for _, m := range pending {
		if m.InService && (m.Standby || (m.Empty && cordoned[m.Name])) && canBegin > 0 {
			plan.Orders = append(plan.Orders, Order{m.Name, w.Number})
			plan.Cordon[m.Name] = true
			m.countOut(outByPool)
			canBegin--
			canCordon--
			continue
		}
		if !m.InService || canCordon <= 0 && !cordoned[m.Name] {
			continue
		}
		if !cordoned[m.Name] && !m.Evacuated && outByPool[m.Pool] >= maxOutOfPool(poolSize[m.Pool], loads[m.Pool]) && !needsMaxDown(now, w, len(pending), p) {
			continue
		}
		plan.Cordon[m.Name] = true
		m.countOut(outByPool)
		canCordon--
	}
}

// countOut counts a machine that its pool loses to a wave.
func (m *Machine) countOut(outByPool map[string]int) {
	if !m.Evacuated {
		outByPool[m.Pool]++
	}
}

// compareMachines puts standby and cordoned machines first, then those without service
// tasks in evacuated zones, those with the fewest service tasks, those of idle pools, and those with the fewest tasks.
func compareMachines(a, b *Machine, loads map[string]PoolLoad, cordoned map[string]bool) int {
	return cmp.Or(
		cmp.Compare(cordonRank(a, cordoned), cordonRank(b, cordoned)),
		cmp.Compare(a.Services, b.Services),
		cmp.Compare(loads[a.Pool].usedPercent()/10, loads[b.Pool].usedPercent()/10),
		cmp.Compare(a.Tasks, b.Tasks),
		cmp.Compare(a.Name, b.Name),
	)
}

func cordonRank(m *Machine, cordoned map[string]bool) int {
	switch {
	case m.Standby:
		return 0
	case cordoned[m.Name] && m.Empty:
		return 1
	case cordoned[m.Name]:
		return 2
	case m.Evacuated && m.Services == 0:
		// Service tasks may have no room outside the zone and stay until it is taken back.
		return 3
	}
	return 4
}

// requiredParallel returns how many machines must be out at once to complete the
// wave in time.
func requiredParallel(now time.Time, w *Wave, pending int, p Params) int {
	remaining := w.Deadline.Add(-deadlineMargin).Sub(now)
	cycle := p.EmptyingTime + p.MaintenanceTime
	if remaining <= cycle {
		return w.MaxDown
	}
	rounds := max(int(remaining/cycle), 1)
	return (pending+rounds-1)/rounds + 1
}

// needsMaxDown reports whether the wave needs all of MaxDown to complete in time,
// so that the limits per pool do not apply.
func needsMaxDown(now time.Time, w *Wave, pending int, p Params) bool {
	return requiredParallel(now, w, pending, p) >= w.MaxDown
}

func maxOutOfPool(size int, load PoolLoad) int {
	if load.usedPercent() <= idlePercent {
		return max(size/idlePoolDivisor, 1)
	}
	return max(size/busyPoolDivisor, 1)
}

func allBegun(w *Wave, byName map[string]*Machine) bool {
	for _, name := range w.Machines {
		if byName[name] != nil && !w.Begun[name] {
			return false
		}
	}
	return true
}
