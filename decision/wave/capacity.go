package wave

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// MovingMean is the moving mean of a pool's demand in hosts. It smooths bursts
// of seconds, which must not move hosts, because a move takes longer than the
// burst.
type MovingMean struct {
	Mean       float64
	ObservedAt time.Time
}

// Observe returns the mean with a sample taken at now. The weight of a sample
// halves every halfLife.
func (m MovingMean) Observe(demand float64, now time.Time, halfLife time.Duration) MovingMean {
	if m.ObservedAt.IsZero() || halfLife <= 0 {
		return MovingMean{Mean: demand, ObservedAt: now}
	}
	age := max(now.Sub(m.ObservedAt), 0)
	keep := math.Exp2(-float64(age) / float64(halfLife))
	return MovingMean{Mean: keep*m.Mean + (1-keep)*demand, ObservedAt: now}
}

// PoolLoad is the state of one pool that moves are planned from.
type PoolLoad struct {
	Pool  string
	Kind  fleet.HostKind
	Spare bool
	// Hosts is the number of hosts in service or on their way into the pool,
	// without those on their way out of it.
	Hosts int
	// MinHosts is the number of hosts below which the pool gives none; MaxHosts
	// is the number up to which it receives hosts, zero for no bound.
	MinHosts, MaxHosts int
	// Demand is the moving mean of the hosts needed.
	Demand float64
}

// MoveParams determines when hosts move between pools.
type MoveParams struct {
	Weights
	// Hysteresis is the shortage, in hosts, that a pool must have before it
	// receives a host, and the surplus that a donor keeps above its own target,
	// so that a host does not move back on a small change of demand.
	Hysteresis float64
	// MoveCost is the shortage, in hosts, that justifies one move at equal
	// weights of share and moves.
	MoveCost float64
	// MaxMoves bounds the moves of one round; zero means no bound.
	MaxMoves int
	// MaxUnderWay bounds the moves under way, whoever requested them. It applies
	// across all entry hosts, because the ledger lists those moves.
	MaxUnderWay int
}

// Move takes one host from a pool to another.
type Move struct {
	From string
	To   string
}

// target returns the number of hosts that a pool should have. The headroom
// follows the square-root staffing rule (Halfin and Whitt, Operations Research
// 29, 1981); its factor falls as the weight of spare hosts grows relative to
// that of waiting work.
func (p MoveParams) target(l PoolLoad) float64 {
	if p.Share <= 0 {
		return l.Demand
	}
	return l.Demand + p.Share/(p.Share+p.Buffer)*math.Sqrt(max(l.Demand, 0))
}

// PlanMoves returns the moves that are worth their cost. The pool with the
// largest shortage relative to its demand receives first. Spare pools give
// first, then the pool with the largest surplus of the same kind of hosts.
func PlanMoves(pools []PoolLoad, p MoveParams) []Move {
	loads := slices.Clone(pools)
	kindsWithoutDonor := make(map[fleet.HostKind]bool)
	var moves []Move
	for p.MaxMoves == 0 || len(moves) < p.MaxMoves {
		to := p.neediest(loads, kindsWithoutDonor)
		if to < 0 {
			return moves
		}
		from := p.donor(loads, loads[to])
		if from < 0 {
			kindsWithoutDonor[loads[to].Kind] = true
			continue
		}
		loads[to].Hosts++
		loads[from].Hosts--
		moves = append(moves, Move{From: loads[from].Pool, To: loads[to].Pool})
	}
	return moves
}

func (p MoveParams) shortage(l PoolLoad) float64 { return p.target(l) - float64(l.Hosts) }

// worthMove reports whether the shortage of l exceeds the cost of a move. The
// shortage counts in full: capped at the one host that a move brings, it would
// permit no move at all if moves weigh enough, however large it is.
func (p MoveParams) worthMove(l PoolLoad) bool {
	shortage := p.shortage(l)
	return shortage >= p.Hysteresis && shortage > 0 && p.Share*shortage > p.Moves*p.MoveCost
}

// neediest returns the index of the pool to receive a host next, or -1. It skips
// kinds of hosts that no pool can give.
func (p MoveParams) neediest(loads []PoolLoad, kindsWithoutDonor map[fleet.HostKind]bool) int {
	best := -1
	for i, l := range loads {
		atMaximum := l.MaxHosts > 0 && l.Hosts >= l.MaxHosts
		if l.Spare || atMaximum || kindsWithoutDonor[l.Kind] || !p.worthMove(l) {
			continue
		}
		if best < 0 || p.urgency(l) > p.urgency(loads[best]) {
			best = i
		}
	}
	return best
}

func (p MoveParams) urgency(l PoolLoad) float64 { return p.shortage(l) / max(l.Demand, 1) }

func (p MoveParams) donor(loads []PoolLoad, to PoolLoad) int {
	best := -1
	for i, l := range loads {
		if l.Kind != to.Kind || l.Pool == to.Pool || l.Hosts <= l.MinHosts {
			continue
		}
		if -p.shortage(l) < p.minSurplus(l) {
			continue
		}
		if best < 0 || p.givesBefore(l, loads[best]) {
			best = i
		}
	}
	return best
}

// minSurplus returns the surplus that a pool needs before it gives a host.
func (p MoveParams) minSurplus(l PoolLoad) float64 {
	if l.Spare {
		return 1
	}
	return 1 + p.Hysteresis
}

func (p MoveParams) givesBefore(a, b PoolLoad) bool {
	if a.Spare != b.Spare {
		return a.Spare
	}
	return cmp.Compare(p.shortage(a), p.shortage(b)) < 0
}
