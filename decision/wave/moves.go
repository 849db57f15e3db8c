package wave

import (
	"cmp"
	"slices"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// MoveRound is the outcome of one round of moves.
type MoveRound struct {
	Granted []budget.LedgerEntry
	// Refusal is the last refusal of the budget, if there was one.
	Refusal *budget.Refusal
}

// Rebalance grants the moves between elastic pools that are worth their cost
// and that the budget permits. demand is the trend of the hosts that each pool
// needs; a pool without an entry neither gives nor receives, unless it is
// spare. Changes go into d.
func Rebalance(d *budget.Draft, demand map[string]float64, p MoveParams) MoveRound {
	var round MoveRound
	pools := make(map[string]budget.ElasticPool)
	var loads []PoolLoad
	for _, pool := range d.ElasticPools() {
		needed, known := demand[pool.Name]
		if !known && !pool.Spare {
			continue
		}
		pools[pool.Name] = pool
		loads = append(loads, PoolLoad{
			Pool: pool.Name, Kind: pool.Kind, Spare: pool.Spare, Hosts: pool.HostCount,
			MinHosts: pool.MinHosts, MaxHosts: pool.MaxHosts, Demand: needed,
		})
	}
	for _, move := range PlanMoves(loads, p) {
		if p.MaxUnderWay > 0 && d.MovesInProgress() >= p.MaxUnderWay {
			return round
		}
		round.grant(d, pools[move.From], pools[move.To])
	}
	return round
}

// grant takes one host of from out of service for its move, passing over hosts
// that another bound than the pool's holds back.
func (r *MoveRound) grant(d *budget.Draft, from, to budget.ElasticPool) {
	for _, h := range movingOrder(from.Movable, to.Movable) {
		if _, out := d.LedgerEntry(h.Name); out {
			continue
		}
		o, refusal := d.Grant(budget.Request{Host: h.Name, Cause: budget.CauseMove, MoveTo: to.Name})
		if refusal == nil {
			r.Granted = append(r.Granted, o)
			return
		}
		r.Refusal = refusal
		if refusal.Bound == budget.BoundPool || refusal.Reason == fault.ReasonStaleHostList {
			return
		}
	}
}

// movingOrder puts first the hosts of the zone where the giving pool has most
// hosts beyond those of the receiving one, so that both stay spread.
func movingOrder(from, to []fleet.Host) []fleet.Host {
	excess := make(map[fleet.AvailabilityZone]int)
	for _, h := range from {
		excess[h.Zone]++
	}
	for _, h := range to {
		excess[h.Zone]--
	}
	sorted := slices.Clone(from)
	slices.SortFunc(sorted, func(a, b fleet.Host) int {
		return cmp.Or(cmp.Compare(excess[b.Zone], excess[a.Zone]), cmp.Compare(a.Name, b.Name))
	})
	return sorted
}
