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
	// Up tells that the machine is in service.
	Up bool
	// Away tells that its maintenance is under way.
	Away bool
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
	// Done holds the machines whose maintenance has begun.
	Done map[string]bool
}

// Params are the figures on which the decision depends.
type Params struct {
	// Maintenance is how long a machine is away.
	Maintenance time.Duration
	// Emptying is how long a machine usually takes until nothing runs on it.
	Emptying time.Duration
}

// Bounds of the number of machines that are out of service at once.
const (
	// hasteMargin is kept before a wave's deadline.
	hasteMargin = 5 * time.Second
	// poolShare bounds the machines of one pool that are out at once, as a
	// divisor, while the pool is busy.
	poolShare = 4
	// idlePool is the use of a pool, in percent of its capacity, up to which
	// more of its machines may be out.
	idlePool = 35
	// idleShare is the divisor for a pool that is idle.
	idleShare = 2
)

// PoolLoad is how much of a pool is in use.
type PoolLoad struct {
	Demand, Capacity int64
}

func (l PoolLoad) percent() int64 {
	if l.Capacity <= 0 {
		return 0
	}
	return l.Demand * 100 / l.Capacity
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
	// Leave holds the machines that service tasks should leave, because they
	// will be emptied later.
	Leave map[string]bool
	// Orders are the maintenances to begin.
	Orders []Order
	// Completed lists waves of which all machines that stay are done.
	Completed []int
}

// Decide returns what to do. cordoned is the set of the last decision.
func Decide(now time.Time, waves []Wave, machines []Machine, loads map[string]PoolLoad, cordoned map[string]bool, p Params) Plan {
	plan := Plan{Cordon: make(map[string]bool), Leave: make(map[string]bool)}
	byName := make(map[string]*Machine, len(machines))
	size := make(map[string]int)
	for i := range machines {
		byName[machines[i].Name] = &machines[i]
		size[machines[i].Pool]++
	}
	out := make(map[string]int)
	for i := range waves {
		plan.decideWave(now, &waves[i], byName, size, out, loads, cordoned, p)
	}
	return plan
}

func (plan *Plan) decideWave(now time.Time, w *Wave, byName map[string]*Machine, size, out map[string]int, loads map[string]PoolLoad, cordoned map[string]bool, p Params) {
	var left []*Machine
	away := 0
	for _, name := range w.Machines {
		m := byName[name]
		switch {
		case m == nil:
		case m.Away:
			away++
		case !w.Done[name]:
			left = append(left, m)
		}
	}
	if len(left) == 0 {
		if away == 0 || allDone(w, byName) {
			plan.Completed = append(plan.Completed, w.Number)
		}
		return
	}
	for _, m := range left {
		plan.Leave[m.Name] = true
	}
	slices.SortFunc(left, func(a, b *Machine) int { return compare(a, b, loads, cordoned) })
	slots := min(w.MaxDown, pace(now, w, len(left), p)) - away
	begin := w.MaxDown - away
	for _, m := range left {
		if m.Up && (m.Standby || (m.Empty && cordoned[m.Name])) && begin > 0 {
			plan.Orders = append(plan.Orders, Order{m.Name, w.Number})
			plan.Cordon[m.Name] = true
			out[m.Pool]++
			begin--
			slots--
			continue
		}
		if !m.Up || slots <= 0 && !cordoned[m.Name] {
			continue
		}
		if !cordoned[m.Name] && out[m.Pool] >= poolBound(size[m.Pool], loads[m.Pool]) && !urgent(now, w, len(left), p) {
			continue
		}
		plan.Cordon[m.Name] = true
		out[m.Pool]++
		slots--
	}
}

// compare puts first the machines that are cordoned already, then those of idle
// pools, then those with the fewest tasks.
func compare(a, b *Machine, loads map[string]PoolLoad, cordoned map[string]bool) int {
	return cmp.Or(
		cmp.Compare(rank(a, cordoned), rank(b, cordoned)),
		cmp.Compare(a.Services, b.Services),
		cmp.Compare(loads[a.Pool].percent()/10, loads[b.Pool].percent()/10),
		cmp.Compare(a.Tasks, b.Tasks),
		cmp.Compare(a.Name, b.Name),
	)
}

func rank(m *Machine, cordoned map[string]bool) int {
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

// pace returns how many machines have to be out at once so that the wave ends
// in time.
func pace(now time.Time, w *Wave, left int, p Params) int {
	remaining := w.Deadline.Add(-hasteMargin).Sub(now)
	cycle := p.Emptying + p.Maintenance
	if remaining <= cycle {
		return w.MaxDown
	}
	rounds := max(int(remaining/cycle), 1)
	return (left+rounds-1)/rounds + 1
}

// urgent reports whether the wave cannot wait for idle pools.
func urgent(now time.Time, w *Wave, left int, p Params) bool {
	return pace(now, w, left, p) >= w.MaxDown
}

func poolBound(size int, load PoolLoad) int {
	if load.percent() <= idlePool {
		return max(size/idleShare, 1)
	}
	return max(size/poolShare, 1)
}

func allDone(w *Wave, byName map[string]*Machine) bool {
	for _, name := range w.Machines {
		if byName[name] != nil && !w.Done[name] {
			return false
		}
	}
	return true
}
