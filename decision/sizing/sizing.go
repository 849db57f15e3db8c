// Package sizing decides which machines move between pools.
//
// A pool whose work could use more processors than it has gets machines from
// the standby pool and from pools with more than they need. A machine that runs
// something is emptied first. Machines beyond a pool's usual number go back to
// the standby pool when the pool no longer needs them.
package sizing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Bounds of the moves.
const (
	// needPercent is the processors that a pool should have, in percent of
	// what its work could use.
	needPercent = 110
	// spareablePercent is the same for a pool that gives machines away; the
	// difference to needPercent keeps machines from moving back and forth.
	spareablePercent = 140
	// keepPercent is the part of its usual number that a pool keeps.
	keepPercent = 50
	// quietTime is how long a pool has more than it needs before machines go
	// back to the standby pool. A move and the way back cost as much as two
	// seconds of a machine, but a queue whose turn comes next has to wait for
	// machines that are still held where the last turn has ended.
	quietTime = 500 * time.Millisecond
)

// Machine is one machine that may move.
type Machine struct {
	Name string
	Pool string
	// Free tells that nothing runs on it and nothing will start.
	Free bool
	// Movable tells that it is in service and not about to be maintained.
	Movable bool
	// Cordoned tells that it is being emptied for a move.
	Cordoned bool
	// Kind names the machines that can take each other's place; a pool keeps one
	// of each kind, because work may ask for it.
	Kind            string
	Tasks, Services int
}

// Pool is the state of one pool.
type Pool struct {
	Standby bool
	// Home is the usual number of machines.
	Home int
	// Incoming counts machines on their way here.
	Incoming int
	// Demand is what the work could use, Ahead what it will be able to use when
	// a machine that moves now is in service, and MachineSize what one machine
	// has, in thousandths of a processor.
	Demand, Ahead, MachineSize int64
	// QuietFor is how long the pool has had more than it needs.
	QuietFor time.Duration
}

// Move sends one machine to another pool.
type Move struct {
	Machine, From, To string
}

// Plan is what to do now.
type Plan struct {
	// Moves can begin at once.
	Moves []Move
	// Cordon holds the machines to empty for later moves.
	Cordon map[string]bool
}

// state is a pool while moves are planned.
type state struct {
	Pool
	name string
	have int
	// gives holds the machines that may leave, the best first.
	gives []Machine
}

// Decide returns the moves that the pools need. atOnce bounds the machines that
// are on their way to one pool.
func Decide(pools map[string]Pool, machines []Machine, atOnce int) Plan {
	plan := Plan{Cordon: make(map[string]bool)}
	states := describe(pools, machines)
	standby := ""
	for _, s := range states {
		if s.Standby && standby == "" {
			standby = s.name
		}
	}
	for _, receiver := range receivers(states) {
		wanted := min(receiver.needAhead()-receiver.have, atOnce-receiver.Incoming)
		for _, donor := range donors(states, receiver) {
			for wanted > 0 && plan.give(donor, receiver.name) {
				wanted--
			}
		}
	}
	if standby == "" {
		return plan
	}
	for _, s := range states {
		if s.Standby || s.QuietFor < quietTime {
			continue
		}
		for s.spareable() > 0 && plan.give(s, standby) {
		}
	}
	return plan
}

// need returns the number of machines for percent of the pool's demand.
func (s *state) need(percent int64) int { return s.machinesFor(s.Demand * percent / 100) }

// needAhead returns the number of machines that the pool should have once those
// that move now are in service.
func (s *state) needAhead() int {
	return max(s.need(needPercent), s.machinesFor(s.Ahead))
}

func (s *state) machinesFor(cpu int64) int {
	if s.MachineSize <= 0 {
		return 0
	}
	return int((cpu + s.MachineSize - 1) / s.MachineSize)
}

// spareable returns how many machines the pool may give away.
func (s *state) spareable() int {
	if s.Standby {
		return len(s.gives)
	}
	keep := max(s.need(spareablePercent), s.machinesFor(s.Ahead), s.Home*keepPercent/100, 1)
	return min(s.have-keep, len(s.gives))
}

// give sends the pool's best machine to another pool, or has it emptied.
func (plan *Plan) give(s *state, to string) bool {
	if len(s.gives) == 0 {
		return false
	}
	m := s.gives[0]
	s.gives = s.gives[1:]
	s.have--
	if s.Standby || m.Free {
		plan.Moves = append(plan.Moves, Move{m.Name, s.name, to})
		return true
	}
	plan.Cordon[m.Name] = true
	return true
}

func describe(pools map[string]Pool, machines []Machine) []*state {
	byName := make(map[string]*state, len(pools))
	for name, p := range pools {
		byName[name] = &state{Pool: p, name: name, have: p.Incoming}
	}
	for _, m := range machines {
		s := byName[m.Pool]
		if s == nil {
			continue
		}
		if m.Movable {
			s.have++
		}
		if m.Movable && m.Services == 0 {
			s.gives = append(s.gives, m)
		}
	}
	states := make([]*state, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s := byName[name]
		s.keepKinds()
		slices.SortFunc(s.gives, func(a, b Machine) int {
			return cmp.Or(cmp.Compare(order(a), order(b)), cmp.Compare(a.Tasks, b.Tasks), cmp.Compare(a.Name, b.Name))
		})
		states = append(states, s)
	}
	return states
}

// keepKinds leaves out of the machines that may leave the last one of each kind.
func (s *state) keepKinds() {
	if s.Standby {
		return
	}
	left := make(map[string]int)
	for _, m := range s.gives {
		left[m.Kind]++
	}
	if len(left) < 2 {
		return
	}
	s.gives = slices.DeleteFunc(s.gives, func(m Machine) bool {
		last := left[m.Kind] == 1
		left[m.Kind]--
		return last
	})
}

func order(m Machine) int {
	switch {
	case m.Free:
		return 0
	case m.Cordoned:
		return 1
	}
	return 2
}

// receivers returns the pools that need machines, the neediest first.
func receivers(states []*state) []*state {
	var list []*state
	for _, s := range states {
		if !s.Standby && s.needAhead() > s.have {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *state) int {
		return cmp.Compare(b.needAhead()-b.have, a.needAhead()-a.have)
	})
	return list
}

// donors returns the pools that can give machines, the standby pool first.
func donors(states []*state, receiver *state) []*state {
	var list []*state
	for _, s := range states {
		if s == receiver {
			continue
		}
		if n := s.spareable(); n > 0 {
			limited := s
			limited.gives = limited.gives[:n]
			list = append(list, limited)
		}
	}
	slices.SortStableFunc(list, func(a, b *state) int {
		if a.Standby != b.Standby {
			if a.Standby {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.have-b.need(spareablePercent), a.have-a.need(spareablePercent))
	})
	return list
}
