// Package sizing decides which machines move between pools.
//
// A pool whose work could use more processors than it has receives machines
// from the standby pool and from pools with a surplus. A machine that still runs
// work is cordoned and emptied first. Machines that a pool no longer needs
// return to the standby pool; each pool keeps a part of its usual number.
package sizing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Limits on moves.
const (
	// targetPercent is the capacity that a pool should have, in percent of its
	// demand.
	targetPercent = 110
	// donorPercent is the capacity that a donor pool keeps, in percent of its
	// demand; the difference to targetPercent prevents machines from moving back
	// and forth.
	donorPercent = 140
	// minUsualPercent is the percentage of its usual machines that a pool keeps
	// without demand. Machines with service tasks stay beside it, and the standby
	// pool replaces the others within a move.
	minUsualPercent = 50
	// surplusTime is how long a pool must have a surplus before it returns
	// machines to the standby pool. A move and the move back cost as much as two
	// seconds of a machine, but a longer time delays the queue that peaks next,
	// whose machines are still held by the pool of the one that peaked before.
	surplusTime = 500 * time.Millisecond
)

// Machine is one machine that may move.
type Machine struct {
	Name string
	Pool string
	// Empty is set when nothing runs on it and nothing will start.
	Empty bool
	// Movable is set when it is in service and not about to be maintained.
	Movable bool
	// Cordoned is set while it is being emptied for a move.
	Cordoned bool
	// Kind identifies interchangeable machines; a pool keeps one of each kind,
	// because work may ask for it.
	Kind            string
	Tasks, Services int
}

// Pool is the state of one pool.
type Pool struct {
	Standby bool
	// UsualMachines is the usual number of machines.
	UsualMachines int
	// Incoming counts machines on their way to the pool.
	Incoming int
	// DemandMilliCPU is what the work could use now, ForecastMilliCPU what it
	// could use once a machine that moves now is in service, and MachineMilliCPU
	// what one machine has, in thousandths of a processor.
	DemandMilliCPU, ForecastMilliCPU, MachineMilliCPU int64
	// LateMilliCPU is the part of DemandMilliCPU of work that can only complete
	// late.
	LateMilliCPU int64
	// SurplusFor is how long the pool has had more than it needs.
	SurplusFor time.Duration
}

// Move sends one machine to another pool.
type Move struct {
	Machine, From, To string
}

// Plan is the result of Decide.
type Plan struct {
	// Moves lists the moves that can start immediately.
	Moves []Move
	// Cordon has the machines to empty for later moves.
	Cordon map[string]bool
}

// poolState tracks a pool while moves are planned.
type poolState struct {
	Pool
	name     string
	machines int
	// fixed is the number of machines that may not leave.
	fixed int
	// allotted is the number of machines that the pool may have while there are too
	// few for all pools; negative if there are enough.
	allotted int
	// removable lists the machines that may leave, the best first.
	removable []Machine
}

// Decide returns the moves that the pools need. maxIncoming bounds the machines
// on their way to one pool.
func Decide(pools map[string]Pool, machines []Machine, maxIncoming int) Plan {
	return decide(newPoolStates(pools, machines), maxIncoming)
}

// DecideDivided is Decide, but that machines are divided among the pools if there are
// too few for all.
func DecideDivided(pools map[string]Pool, machines []Machine, maxIncoming int) Plan {
	states := newPoolStates(pools, machines)
	divide(states)
	return decide(states, maxIncoming)
}

func decide(states []*poolState, maxIncoming int) Plan {
	plan := Plan{Cordon: make(map[string]bool)}
	standby := ""
	for _, s := range states {
		if s.Standby && standby == "" {
			standby = s.name
		}
	}
	for _, receiver := range receivers(states) {
		wanted := min(receiver.target()-receiver.machines, maxIncoming-receiver.Incoming)
		for _, donor := range donors(states, receiver) {
			for wanted > 0 && plan.release(donor, receiver.name) {
				wanted--
			}
		}
	}
	if standby == "" {
		return plan
	}
	for _, s := range states {
		if s.Standby || s.SurplusFor < surplusTime {
			continue
		}
		// A pool that is above its allotment may still want its machines. They go to
		// pools that are short, and not to standby while none of these can take them.
		for s.surplus() > 0 && s.machines > s.wanted() && plan.release(s, standby) {
		}
	}
	return plan
}

// machinesForPercent returns the number of machines that cover percent of the
// pool's demand.
func (s *poolState) machinesForPercent(percent int64) int {
	return s.machinesFor(s.DemandMilliCPU * percent / 100)
}

// target returns the number of machines that the pool should have when machines
// that move now enter service.
func (s *poolState) target() int {
	if s.allotted >= 0 {
		return min(s.wanted(), s.allotted)
	}
	return s.wanted()
}

// wanted returns the number of machines that the pool's demand asks for.
func (s *poolState) wanted() int {
	return max(s.machinesForPercent(targetPercent), s.machinesFor(s.ForecastMilliCPU))
}

func (s *poolState) machinesFor(milliCPU int64) int {
	if s.MachineMilliCPU <= 0 {
		return 0
	}
	return int((milliCPU + s.MachineMilliCPU - 1) / s.MachineMilliCPU)
}

// surplus returns how many machines the pool may give away.
func (s *poolState) surplus() int {
	if s.Standby {
		return len(s.removable)
	}
	if s.allotted >= 0 {
		// Moving a machine costs some seconds of its work, so that none is taken from
		// work that can be on time.
		hysteresis := max(s.machines*divisionHysteresisPercent/100, minDivisionHysteresis)
		return min(s.machines-max(s.allotted, s.wantedOnTime())-hysteresis, len(s.removable))
	}
	required := max(s.machinesForPercent(donorPercent), s.machinesFor(s.ForecastMilliCPU), s.UsualMachines*minUsualPercent/100, 1)
	return min(s.machines-required, len(s.removable))
}

// release moves the first removable machine of s to another pool, or cordons
// it. It reports whether there was such a machine.
func (plan *Plan) release(s *poolState, to string) bool {
	if len(s.removable) == 0 {
		return false
	}
	m := s.removable[0]
	s.removable = s.removable[1:]
	s.machines--
	if s.Standby || m.Empty {
		plan.Moves = append(plan.Moves, Move{m.Name, s.name, to})
		return true
	}
	plan.Cordon[m.Name] = true
	return true
}

func newPoolStates(pools map[string]Pool, machines []Machine) []*poolState {
	byName := make(map[string]*poolState, len(pools))
	for name, p := range pools {
		byName[name] = &poolState{Pool: p, name: name, machines: p.Incoming, fixed: p.Incoming, allotted: -1}
	}
	for _, m := range machines {
		s := byName[m.Pool]
		if s == nil {
			continue
		}
		if m.Movable {
			s.machines++
		}
		switch {
		case m.Movable && m.Services == 0:
			s.removable = append(s.removable, m)
		case m.Movable:
			s.fixed++
		}
	}
	states := make([]*poolState, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		s := byName[name]
		s.keepOneOfEachKind()
		slices.SortFunc(s.removable, func(a, b Machine) int {
			return cmp.Or(cmp.Compare(releaseRank(a), releaseRank(b)), cmp.Compare(a.Tasks, b.Tasks), cmp.Compare(a.Name, b.Name))
		})
		states = append(states, s)
	}
	return states
}

// keepOneOfEachKind drops the last machine of each kind from the removable
// machines, if the pool has several kinds.
func (s *poolState) keepOneOfEachKind() {
	if s.Standby {
		return
	}
	left := make(map[string]int)
	for _, m := range s.removable {
		left[m.Kind]++
	}
	if len(left) < 2 {
		return
	}
	s.removable = slices.DeleteFunc(s.removable, func(m Machine) bool {
		last := left[m.Kind] == 1
		left[m.Kind]--
		return last
	})
}

func releaseRank(m Machine) int {
	switch {
	case m.Empty:
		return 0
	case m.Cordoned:
		return 1
	}
	return 2
}

// receivers returns the pools that need machines, the largest shortage first.
func receivers(states []*poolState) []*poolState {
	var list []*poolState
	for _, s := range states {
		if !s.Standby && s.target() > s.machines {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *poolState) int {
		return cmp.Compare(b.target()-b.machines, a.target()-a.machines)
	})
	return list
}

// donors returns the pools that can give machines to receiver, the standby pool
// first.
func donors(states []*poolState, receiver *poolState) []*poolState {
	var list []*poolState
	for _, s := range states {
		if s == receiver {
			continue
		}
		if surplus := s.surplus(); surplus > 0 {
			donor := s
			donor.removable = donor.removable[:surplus]
			list = append(list, donor)
		}
	}
	slices.SortStableFunc(list, func(a, b *poolState) int {
		if a.Standby != b.Standby {
			if a.Standby {
				return -1
			}
			return 1
		}
		return cmp.Compare(b.machines-b.machinesForPercent(donorPercent), a.machines-a.machinesForPercent(donorPercent))
	})
	return list
}
