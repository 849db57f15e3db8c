package budget

import (
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// ElasticPool is a pool whose hosts may move with demand.
type ElasticPool struct {
	document.Pool
	// HostCount counts the hosts in service and those that will enter service
	// without operator action: hosts being rebooted or moved into the pool.
	HostCount int
	// Movable lists the hosts in service, in no particular order.
	Movable []fleet.Host
}

// ElasticPools returns the elastic pools in document order. Its cost is linear
// in the number of hosts.
func (d *Draft) ElasticPools() []ElasticPool {
	hostCount := make(map[string]int)
	movable := make(map[string][]fleet.Host)
	for host := range d.snapshot.Assignments {
		pool, _ := d.Pool(host)
		if e, out := d.ledger.Entries[host]; out {
			hostCount[futurePool(e)]++
			continue
		}
		if h, listed := d.listed[host]; listed && h.Phase == fleet.PhaseLive {
			hostCount[pool]++
			movable[pool] = append(movable[pool], *h)
		}
	}
	var pools []ElasticPool
	for _, p := range d.declared {
		if p.Elastic {
			pools = append(pools, ElasticPool{Pool: p.Pool, HostCount: hostCount[p.Name], Movable: movable[p.Name]})
		}
	}
	return pools
}

// futurePool returns the pool that an out-of-service host will serve on its
// return, or NoPool if it does not return without operator action.
func futurePool(e LedgerEntry) string {
	switch e.Cause {
	case CauseReboot:
		return e.Pool
	case CauseMove:
		return e.MoveTo
	default:
		return NoPool
	}
}

// MovesInProgress returns the number of hosts that are out for a move.
func (d *Draft) MovesInProgress() int {
	n := 0
	for _, e := range d.ledger.Entries {
		if e.Cause == CauseMove {
			n++
		}
	}
	return n
}
