package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// blockedDelay is how long work must wait for the tenant's limit alone before
// other pools are asked to give up part of theirs. In a busy pool, tasks that
// end free enough in less time.
const blockedDelay = 500 * time.Millisecond

// blockedTenant describes the first group of a tenant that waits for its limit.
type blockedTenant struct {
	// demand is what the tasks that have to start together need.
	demand fleet.Resources
	since  time.Time
	round  int64
	// group has been the first one since groupSince. holdsOthers is set while later
	// groups of the tenant do not start, so that it gets its turn.
	group       *group
	groupSince  time.Time
	holdsOthers bool
}

// recordBlocked records that n tasks of a group have to start together and
// would exceed the tenant's limit in this pool.
func (p *Plan) recordBlocked(now time.Time, g *group, n int64) {
	tenant := g.job.spec.Tenant
	b, known := p.blockedTenants[tenant]
	if known && b.round == p.round || !p.mayHold(g, int(n)) {
		return
	}
	if !known {
		b.since = now
	}
	if b.group != g {
		b.group, b.groupSince = g, now
	}
	b.demand, b.round = scale(g.step.Size, n), p.round
	// Once the tenant's work here that ends has ended, the limit suffices.
	suffices := withinBounds(p.tenantLasting[tenant].Add(b.demand), p.tenantLimits[tenant], p.catalog.Tenants[tenant].Maximum)
	b.holdsOthers = suffices && now.Sub(b.groupSince) >= blockedDelay
	p.blockedTenants[tenant] = b
}

// mayHold reports whether the executors that accept work could hold n tasks of a group
// beside work that lasts. The limit is not what delays it otherwise.
func (p *Plan) mayHold(g *group, n int) bool {
	for _, e := range p.accepting {
		if e.StaleAck && !g.step.Service {
			continue
		}
		lasting, _ := e.lastingUse(g.tasks[0])
		if n -= g.slots(e, e.Capacity.Sub(lasting)); n <= 0 {
			return true
		}
	}
	return false
}

// heldByBlocked reports whether a group waits because an earlier one of its tenant waits
// for room in the limit.
func (p *Plan) heldByBlocked(g *group) bool {
	b, ok := p.blockedTenants[g.job.spec.Tenant]
	return ok && b.round == p.round && b.holdsOthers && b.group != g && !g.step.Service
}

// pruneBlocked removes the tenants that were not blocked in this round.
func (p *Plan) pruneBlocked() {
	for tenant, b := range p.blockedTenants {
		if b.round != p.round {
			delete(p.blockedTenants, tenant)
		}
	}
}

// LimitNeed is the lowest limit with which some work could start that waits for the limit
// alone.
type LimitNeed struct {
	// Need is that beside all that runs in the pool, and Least beside what lasts.
	Need, Least fleet.Resources
}

// LimitNeeds returns the needs of the tenants whose work waits for their limit alone.
func (p *Plan) LimitNeeds(now time.Time) map[string]LimitNeed {
	needs := make(map[string]LimitNeed, len(p.blockedTenants))
	for tenant, b := range p.blockedTenants {
		if now.Sub(b.since) >= blockedDelay {
			needs[tenant] = LimitNeed{p.tenantUsed[tenant].Add(b.demand), p.tenantLasting[tenant].Add(b.demand)}
		}
	}
	return needs
}
