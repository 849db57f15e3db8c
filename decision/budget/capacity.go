package budget

import (
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// ElasticPool is a pool whose hosts may move with demand.
type ElasticPool struct {
	document.Pool
	// HostCount are in service or come into service by themselves: hosts that
	// are rebooted, and those on their way into the pool.
	HostCount int
	// Movable are the hosts in service, in no particular order.
	Movable []fleet.Host
}

// ElasticPools returns the elastic pools in document order. Its cost is linear
// in the number of hosts.
func (d *Draft) ElasticPools() []ElasticPool {
	hosts := make(map[string]int)
	movable := make(map[string][]fleet.Host)
	for host := range d.snapshot.Assignments {
		pool, _ := d.Pool(host)
		if o, out := d.ledger.Entries[host]; out {
			hosts[futurePool(o)]++
			continue
		}
		if h, listed := d.listed[host]; listed && h.Phase == fleet.PhaseLive {
			hosts[pool]++
			movable[pool] = append(movable[pool], *h)
		}
	}
	var pools []ElasticPool
	for _, p := range d.declared {
		if p.Elastic {
			pools = append(pools, ElasticPool{Pool: p.Pool, HostCount: hosts[p.Name], Movable: movable[p.Name]})
		}
	}
	return pools
}

// futurePool returns the pool that a host which is out will serve, or NoPool
// when it does not come back by itself.
func futurePool(o LedgerEntry) string {
	switch o.Cause {
	case CauseReboot:
		return o.Pool
	case CauseMove:
		return o.MoveTo
	default:
		return NoPool
	}
}

// MovesInProgress returns the number of hosts that are out for a move.
func (d *Draft) MovesInProgress() int {
	n := 0
	for _, o := range d.ledger.Entries {
		if o.Cause == CauseMove {
			n++
		}
	}
	return n
}
