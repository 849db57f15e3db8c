package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// blockedAfter is how long a tenant's work waits for its limit alone before the
// other pools are asked to give something up. Tasks that end give room in less
// time in a busy pool.
const blockedAfter = 500 * time.Millisecond

// blocked is the first group of a tenant that waits for its limit.
type blocked struct {
	// unit is what has to start at once.
	unit  fleet.Resources
	since time.Time
	pass  int64
}

// noteBlocked notes that n tasks of a group have to start at once and are over
// the tenant's limit in this pool.
func (p *Plan) noteBlocked(now time.Time, g *group, n int64) {
	tenant := g.job.spec.Tenant
	b, known := p.blocked[tenant]
	if known && b.pass == p.pass {
		return
	}
	if !known {
		b.since = now
	}
	b.unit, b.pass = scale(g.step.Size, n), p.pass
	p.blocked[tenant] = b
}

// forgetBlocked drops the tenants of which nothing waited in this round.
func (p *Plan) forgetBlocked() {
	for tenant, b := range p.blocked {
		if b.pass != p.pass {
			delete(p.blocked, tenant)
		}
	}
}

// Needs returns, for each tenant whose work waits for its limit alone, the least
// limit with which some of it could start.
func (p *Plan) Needs(now time.Time) map[string]fleet.Resources {
	needs := make(map[string]fleet.Resources, len(p.blocked))
	for tenant, b := range p.blocked {
		if now.Sub(b.since) >= blockedAfter {
			needs[tenant] = p.used[tenant].Add(b.unit)
		}
	}
	return needs
}
