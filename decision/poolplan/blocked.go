package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// blockedDelay is how long a tenant's work waits for its limit alone before the
// other pools are asked to give something up. Tasks that end give room in less
// time in a busy pool.
const blockedDelay = 500 * time.Millisecond

// blockedTenant is the first group of a tenant that waits for its limit.
type blockedTenant struct {
	// demand is what has to start at once.
	demand fleet.Resources
	since  time.Time
	round  int64
}

// recordBlocked notes that n tasks of a group have to start at once and are over
// the tenant's limit in this pool.
func (p *Plan) recordBlocked(now time.Time, g *group, n int64) {
	tenant := g.job.spec.Tenant
	b, known := p.blockedTenants[tenant]
	if known && b.round == p.round {
		return
	}
	if !known {
		b.since = now
	}
	b.demand, b.round = scale(g.step.Size, n), p.round
	p.blockedTenants[tenant] = b
}

// pruneBlocked drops the tenants of which nothing waited in this round.
func (p *Plan) pruneBlocked() {
	for tenant, b := range p.blockedTenants {
		if b.round != p.round {
			delete(p.blockedTenants, tenant)
		}
	}
}

// LimitNeeds returns, for each tenant whose work waits for its limit alone, the least
// limit with which some of it could start.
func (p *Plan) LimitNeeds(now time.Time) map[string]fleet.Resources {
	needs := make(map[string]fleet.Resources, len(p.blockedTenants))
	for tenant, b := range p.blockedTenants {
		if now.Sub(b.since) >= blockedDelay {
			needs[tenant] = p.tenantUsed[tenant].Add(b.demand)
		}
	}
	return needs
}
