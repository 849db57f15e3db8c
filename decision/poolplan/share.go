package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// shareBurst is the period whose whole share a tenant may submit at once.
const shareBurst = 2 * time.Second

// shareBucket is a token bucket that fills at the rate of a tenant's share.
type shareBucket struct {
	tokens   float64
	filledAt time.Time
}

// chargeShare takes a token from the tenant's share for a job, or reports that
// the job is beyond the share. The share is the tenant's weight in jobs per
// second, measured by the times at which jobs were accepted.
func (p *Plan) chargeShare(s *workload.Spec) bool {
	if p.catalog == nil {
		return false
	}
	tenant, ok := p.catalog.Tenants[s.Tenant]
	if !ok || tenant.Weight <= 0 || s.Times > 0 {
		return false
	}
	capacity := tenant.Weight * shareBurst.Seconds()
	b := p.shareBuckets[s.Tenant]
	if b == nil {
		b = &shareBucket{tokens: capacity, filledAt: s.AcceptedAt}
		p.shareBuckets[s.Tenant] = b
	}
	if elapsed := s.AcceptedAt.Sub(b.filledAt); elapsed > 0 {
		b.tokens = min(capacity, b.tokens+elapsed.Seconds()*tenant.Weight)
		b.filledAt = s.AcceptedAt
	}
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}
