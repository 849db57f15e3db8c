package poolplan

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// shareBurst is the time for which a tenant may send its share at once.
const shareBurst = 2 * time.Second

// shareBucket is a token bucket that fills with a tenant's share.
type shareBucket struct {
	jobs float64
	at   time.Time
}

// beyondShare reports whether a job is beyond the share of its tenant, which is
// its weight in jobs a second, by the times at which its jobs were accepted.
func (p *Plan) beyondShare(s *workload.Spec) bool {
	if p.catalog == nil {
		return false
	}
	tenant, ok := p.catalog.Tenants[s.Tenant]
	if !ok || tenant.Weight <= 0 || s.Times > 0 {
		return false
	}
	full := tenant.Weight * shareBurst.Seconds()
	b := p.shares[s.Tenant]
	if b == nil {
		b = &shareBucket{jobs: full, at: s.AcceptedAt}
		p.shares[s.Tenant] = b
	}
	if passed := s.AcceptedAt.Sub(b.at); passed > 0 {
		b.jobs = min(full, b.jobs+passed.Seconds()*tenant.Weight)
		b.at = s.AcceptedAt
	}
	if b.jobs < 1 {
		return true
	}
	b.jobs--
	return false
}
