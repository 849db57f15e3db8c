package pools

import (
	"maps"

	"fuchsiafront.example/fuchsiafront/decision/allotment"
)

// The store may carry out a change of a tenant's allotments seconds after its call was
// given up. Until that is known or excluded, an owner uses only what is its pool's
// either way.

// sentChange is a change that was sent.
type sentChange struct {
	limitChange
	// lost is set if a change of this version of the row had no answer.
	lost bool
}

// markSent records changes that are about to be sent.
func (l *limiter) markSent(changes []limitChange) {
	for _, c := range changes {
		sent := sentChange{limitChange: c}
		if earlier := l.unconfirmed[c.tenant]; earlier.lost && earlier.version == c.version {
			// Either may be carried out.
			sent.lost = true
			sent.row.Pools = maps.Clone(c.row.Pools)
			for pool, r := range sent.row.Pools {
				sent.row.Pools[pool] = allotment.Lower(r, earlier.row.Pools[pool])
			}
		}
		l.unconfirmed[c.tenant] = sent
	}
}

// markAnswered records the outcome of changes: whether they may still be carried out.
func (l *limiter) markAnswered(changes []limitChange, lost bool) {
	for _, c := range changes {
		sent, ok := l.unconfirmed[c.tenant]
		switch {
		case !ok || sent.version != c.version:
		case lost:
			sent.lost = true
			l.unconfirmed[c.tenant] = sent
		case !sent.lost:
			delete(l.unconfirmed, c.tenant)
		}
	}
}

// certain returns the allotments of a tenant of which a pool's owner can be sure. What a
// change that has been sent takes from them may be another pool's already. After a
// takeover the same holds for changes of the previous owner, until the row is of a
// later version than the claim.
func (l *limiter) certain(tenant string, stored *storedRow, m *managedPool) allotment.Allotments {
	if !stored.writtenSince(m) {
		return nil
	}
	sent, ok := l.unconfirmed[tenant]
	if !ok {
		return stored.row.Pools
	}
	certain := maps.Clone(stored.row.Pools)
	if _, has := certain[m.name]; has {
		certain[m.name] = allotment.Lower(certain[m.name], sent.row.Pools[m.name])
	}
	return certain
}

// writtenSince reports whether no change by an earlier owner of the pool can be carried
// out on the row any more.
func (r *storedRow) writtenSince(m *managedPool) bool {
	return m.ownership.Term <= 1 || r.version > m.ownership.AcquiredVersion
}

// mustWrite reports whether the tenant's row has to be written again even if it does not
// change, so that no earlier write can change it any more.
func (l *limiter) mustWrite(p *planner, tenant string) bool {
	if _, sent := l.unconfirmed[tenant]; sent {
		return true
	}
	stored := l.rows[tenant]
	if stored == nil {
		return false
	}
	for name, m := range p.pools {
		if _, has := stored.row.Pools[name]; has && !stored.writtenSince(m) {
			return true
		}
	}
	return false
}
