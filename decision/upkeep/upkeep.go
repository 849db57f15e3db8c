// Package upkeep decides which machines are emptied for maintenance, and when.
//
// A machine of a wave is first cordoned, so that its pool gives it no new work
// and empties it, and is maintained once nothing runs on it. The decision is
// made anew from what is seen each time; what was decided before is kept only
// as the set of cordoned machines.
package upkeep

import (
	"cmp"
	"slices"
	"time"
)

// Machine is what is known of one machine.
type Machine struct {
	Name string
	Pool string
	// InService tells that the machine is in service.
	InService bool
	// UnderMaintenance tells that its maintenance is under way.
	UnderMaintenance bool
	// Empty tells that the owner of its pool runs nothing on it and will not.
	Empty bool
	// Standby machines are off and run nothing.
	Standby bool
	// Tasks and Services count what runs on it.
	Tasks, Services int
}

// Wave is one wave with its progress.
type Wave struct {
	Number  int
	MaxDown int
	// Deadline is when all machines have to have begun their maintenance.
	Deadline time.Time
	Machines []string
	// Begun holds the machines whose maintenance has begun.
	Begun map[string]bool
}

// Params are the figures on which the decision depends.
type Params struct {
	// MaintenanceTime is how long a machine is away.
	MaintenanceTime time.Duration
	// EmptyingTime is how long a machine usually takes until nothing runs on it.
	EmptyingTime time.Duration
}

// Bounds of the number of machines that are out of service at once.
const (
	// deadlineMargin is kept before a wave's deadline.
	deadlineMargin = 5 * time.Second
	// busyPoolDivisor bounds the machines of one pool that are out at once, as a
	// divisor, while the pool is busy.
	busyPoolDivisor = 4
	// idlePercent is the use of a pool, in percent of its capacity, up to which
	// more of its machines may be out.
	idlePercent = 35
	// idlePoolDivisor is the divisor for a pool that is idle.
	idlePoolDivisor = 2
)

// PoolLoad is how much of a pool is in use.
type PoolLoad struct {
	DemandMilliCPU, CapacityMilliCPU int64
}

func (l PoolLoad) usedPercent() int64 {
	if l.CapacityMilliCPU <= 0 {
		return 0
	}
	return l.DemandMilliCPU * 100 / l.CapacityMilliCPU
}

// Order asks for the maintenance of a machine.
type Order struct {
	Machine string
	Wave    int
}

// Plan is what to do now.
type Plan struct {
	// Cordon holds the machines that are to be emptied.
	Cordon map[string]bool
	// EvictServices holds the machines that service tasks should leave, because they
	// will be emptied later.
	EvictServices map[string]bool
	// Orders are the maintenances to begin.
	Orders []Order
	// Completed lists waves of which all machines that stay are done.
	Completed []int
}

// Decide returns what to do. cordoned is the set of the last decision.
func Decide(now time.Time, waves []Wave, machines []Machine, loads map[string]PoolLoad, cordoned map[string]bool, p Params) Plan {
	plan := Plan{Cordon: make(map[string]bool), EvictServices: make(map[string]bool)}
	byName := make(map[string]*Machine, len(machines))
	size := make(map[string]int)
	for i := range machines {
		byName[machines[i].Name] = &machines[i]
		size[machines[i].Pool]++
	}
	out := make(map[string]int)
	for i := range waves {
		plan.planWave(now, &waves[i], byName, size, out, loads, cordoned, p)
	}
	return plan
}

func (plan *Plan) planWave(now time.Time, w *Wave, byName map[string]*Machine, size, out map[string]int, loads map[string]PoolLoad, cordoned map[string]bool, p Params) {
	var left []*Machine
	away := 0
	for _, name := range w.Machines {
		m := byName[name]
		switch {
		case m == nil:
		case m.UnderMaintenance:
			away++
		case !w.Begun[name]:
			left = append(left, m)
		}
	}
	if len(left) == 0 {
		if away == 0 || allBegun(w, byName) {
			plan.Completed = append(plan.Completed, w.Number)
		}
		return
	}
	for _, m := range left {
		plan.EvictServices[m.Name] = true
	}
	slices.SortFunc(left, func(a, b *Machine) int { return compareMachines(a, b, loads, cordoned) })
	slots := min(w.MaxDown, requiredParallel(now, w, len(left), p)) - away
	begin := w.MaxDown - away
	for _, m := range left {
		if m.InService && (m.Standby || (m.Empty && cordoned[m.Name])) && begin > 0 {
			plan.Orders = append(plan.Orders, Order{m.Name, w.Number})
			plan.Cordon[m.Name] = true
			out[m.Pool]++
			begin--
			slots--
			continue
		}
		if !m.InService || slots <= 0 && !cordoned[m.Name] {
			continue
		}
		if !cordoned[m.Name] && out[m.Pool] >= maxOutOfPool(size[m.Pool], loads[m.Pool]) && !needsMaxDown(now, w, len(left), p) {
			continue
		}
		plan.Cordon[m.Name] = true
		out[m.Pool]++
		slots--
	}
}

// compareMachines puts first the machines that are cordoned already, then those of idle
// pools, then those with the fewest tasks.
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
	}
	return 3
}

// requiredParallel returns how many machines have to be out at once so that the wave ends
// in time.
func requiredParallel(now time.Time, w *Wave, left int, p Params) int {
	remaining := w.Deadline.Add(-deadlineMargin).Sub(now)
	cycle := p.EmptyingTime + p.MaintenanceTime
	if remaining <= cycle {
		return w.MaxDown
	}
	rounds := max(int(remaining/cycle), 1)
	return (left+rounds-1)/rounds + 1
}

// needsMaxDown reports whether the wave cannot wait for idle pools.
func needsMaxDown(now time.Time, w *Wave, left int, p Params) bool {
	return requiredParallel(now, w, left, p) >= w.MaxDown
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
