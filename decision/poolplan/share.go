package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// shareBurst is the time for which a tenant may send its share at once.
const shareBurst = 2 * time.Second

// shareBucket is a token bucket that fills with a tenant's share.
type shareBucket struct {
	tokens   float64
	filledAt time.Time
}

// chargeShare reports whether a job is beyond the share of its tenant, which is
// its weight in jobs a second, by the times at which its jobs were accepted.
func (p *Plan) chargeShare(s *workload.Spec) bool {
	if p.catalog == nil {
		return false
	}
	tenant, ok := p.catalog.Tenants[s.Tenant]
	if !ok || tenant.Weight <= 0 || s.Times > 0 {
		return false
	}
	full := tenant.Weight * shareBurst.Seconds()
	b := p.shareBuckets[s.Tenant]
	if b == nil {
		b = &shareBucket{tokens: full, filledAt: s.AcceptedAt}
		p.shareBuckets[s.Tenant] = b
	}
	if passed := s.AcceptedAt.Sub(b.filledAt); passed > 0 {
		b.tokens = min(full, b.tokens+passed.Seconds()*tenant.Weight)
		b.filledAt = s.AcceptedAt
	}
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}
