package wave

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// MovingMean is the moving mean of a pool's demand in hosts. Bursts of seconds must
// not move hosts, because a move takes longer than the burst.
type MovingMean struct {
	Mean       float64
	ObservedAt time.Time
}

// Observe returns the trend with a sample taken at now. A sample's weight
// halves every halfLife.
func (t MovingMean) Observe(demand float64, now time.Time, halfLife time.Duration) MovingMean {
	if t.ObservedAt.IsZero() || halfLife <= 0 {
		return MovingMean{Mean: demand, ObservedAt: now}
	}
	age := max(now.Sub(t.ObservedAt), 0)
	keep := math.Exp2(-float64(age) / float64(halfLife))
	return MovingMean{Mean: keep*t.Mean + (1-keep)*demand, ObservedAt: now}
}

// PoolLoad is what the move planner knows of one pool.
type PoolLoad struct {
	Pool  string
	Kind  fleet.HostKind
	Spare bool
	// Hosts are in service or on their way into the pool, and not on their
	// way out of it.
	Hosts int
	// MinHosts is the number of hosts that the pool does not give; MaxHosts
	// is the number up to which it receives, zero for no bound.
	MinHosts, MaxHosts int
	// Demand is the trend of the hosts needed.
	Demand float64
}

// MoveParams sets when hosts move between pools.
type MoveParams struct {
	Weights
	// Hysteresis is the number of hosts by which a pool must be short before
	// it receives one, and which a donor keeps above its own target, so that
	// a host does not move back on a small change of demand.
	Hysteresis float64
	// MoveCost is the waiting, in hosts short, that one move is worth at
	// equal weights of share and moves.
	MoveCost float64
	// MaxMoves bounds the moves of one round; zero means no bound.
	MaxMoves int
	// MaxUnderWay bounds the moves under way, whoever asked for them. It
	// holds over all entry hosts, because the ledger lists those moves.
	MaxUnderWay int
}

// Move takes one host from a pool to another.
type Move struct {
	From string
	To   string
}

// target returns the hosts that a pool should have. The headroom follows the
// square-root staffing rule (Halfin and Whitt, Operations Research 29, 1981);
// its factor falls as held hosts weigh more against waiting work.
func (p MoveParams) target(l PoolLoad) float64 {
	if p.Share <= 0 {
		return l.Demand
	}
	return l.Demand + p.Share/(p.Share+p.Buffer)*math.Sqrt(max(l.Demand, 0))
}

// PlanMoves returns the moves that are worth their cost, the pool that is
// shortest in proportion to its demand first. Spare pools give first, then the
// pool with the largest surplus of the same kind of hosts.
func PlanMoves(pools []PoolLoad, p MoveParams) []Move {
	loads := slices.Clone(pools)
	without := make(map[fleet.HostKind]bool)
	var moves []Move
	for p.MaxMoves == 0 || len(moves) < p.MaxMoves {
		to := p.neediest(loads, without)
		if to < 0 {
			return moves
		}
		from := p.donor(loads, loads[to])
		if from < 0 {
			without[loads[to].Kind] = true
			continue
		}
		loads[to].Hosts++
		loads[from].Hosts--
		moves = append(moves, Move{From: loads[from].Pool, To: loads[to].Pool})
	}
	return moves
}

func (p MoveParams) shortage(l PoolLoad) float64 { return p.target(l) - float64(l.Hosts) }

// worthMove reports whether l is short by more than a move costs. The shortage
// counts in full: bounded to the one host that a move brings, it would permit
// no move at all once moves weigh enough, however short the pool is.
func (p MoveParams) worthMove(l PoolLoad) bool {
	short := p.shortage(l)
	return short >= p.Hysteresis && short > 0 && p.Share*short > p.Moves*p.MoveCost
}

// neediest returns the index of the pool to serve next, passing over kinds of
// hosts that no pool can give, or -1.
func (p MoveParams) neediest(loads []PoolLoad, without map[fleet.HostKind]bool) int {
	best := -1
	for i, l := range loads {
		full := l.MaxHosts > 0 && l.Hosts >= l.MaxHosts
		if l.Spare || full || without[l.Kind] || !p.worthMove(l) {
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

// minSurplus is the surplus that a pool needs before it gives a host.
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
