package pools

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/allotment"
	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// limitsEvery separates looks at what the pools' tenants could use.
	limitsEvery = 100 * time.Millisecond
	// shrinkEvery separates changes of one tenant's division that only give
	// something back.
	shrinkEvery = time.Second
	// limitsPerCommit bounds the tenants of one transaction.
	limitsPerCommit = 40
)

// limiter keeps this process's pools within their part of each tenant's limit.
type limiter struct {
	rows   map[string]*division
	loaded bool
	busy   bool
	nextAt time.Time
}

// division is what is known of the division of one tenant's maximum.
type division struct {
	pools     allotment.Division
	version   int64
	changedAt time.Time
}

func (l *limiter) init() { l.rows = make(map[string]*division) }

// step asks for a change of the divisions when the pools need one, and tells
// the plans what they may use.
func (l *limiter) step(p *planner) {
	if l.busy || p.now.Before(l.nextAt) || len(p.pools) == 0 {
		return
	}
	l.nextAt = p.now.Add(limitsEvery)
	if !l.loaded {
		l.busy = true
		p.send(p.s.store, limitsLoad{})
		return
	}
	if changes := l.changes(p); len(changes) > 0 {
		l.busy = true
		p.send(p.s.store, limitsCall{changes})
	}
	l.apply(p)
}

// apply tells the plans what they may use.
func (l *limiter) apply(p *planner) {
	for _, m := range p.pools {
		if m.plan == nil {
			continue
		}
		limits := make(map[string]fleet.Resources, len(p.catalog.Tenants))
		for name, t := range p.catalog.Tenants {
			if d := l.rows[name]; d != nil {
				limits[name] = allotment.Effective(t.Maximum, d.pools, m.pool)
			}
		}
		m.plan.SetLimits(limits)
	}
}

type limitChange struct {
	tenant  string
	version int64
	pools   allotment.Division
}

// changes returns the divisions that should be different.
func (l *limiter) changes(p *planner) []limitChange {
	var changes []limitChange
	demands := p.demands()
	pools := workPools(p.catalog)
	for _, name := range slices.Sorted(maps.Keys(p.catalog.Tenants)) {
		t := p.catalog.Tenants[name]
		if t.Maximum == (fleet.Resources{}) {
			continue
		}
		if c, ok := l.change(p.now, t, demands, pools); ok && len(changes) < limitsPerCommit {
			changes = append(changes, c)
		}
	}
	return changes
}

type poolDemand struct {
	settled    bool
	used, want map[string]fleet.Resources
}

func (p *planner) demands() map[string]poolDemand {
	demands := make(map[string]poolDemand, len(p.pools))
	for name, m := range p.pools {
		if m.plan == nil {
			continue
		}
		used, want := m.plan.TenantUse()
		demands[name] = poolDemand{m.plan.Settled(), used, want}
	}
	return demands
}

// change returns the new division for one tenant.
func (l *limiter) change(now time.Time, t catalog.Tenant, demands map[string]poolDemand, pools int) (limitChange, bool) {
	d := l.rows[t.Name]
	if d == nil {
		d = &division{pools: allotment.Division{}}
		l.rows[t.Name] = d
	}
	next := maps.Clone(d.pools)
	changed, grows := false, false
	for _, name := range slices.Sorted(maps.Keys(demands)) {
		demand := demands[name]
		r, differs := allotment.Next(t.Maximum, next, name, demand.used[t.Name], demand.want[t.Name], pools)
		less := !d.pools[name].Fits(r)
		if !differs || (less && !demand.settled) {
			continue
		}
		next[name] = r
		changed = true
		grows = grows || !less
	}
	if !changed || (!grows && now.Sub(d.changedAt) < shrinkEvery) {
		return limitChange{}, false
	}
	return limitChange{tenant: t.Name, version: d.version, pools: next}, true
}

// workPools counts the services that queues send work to.
func workPools(c *catalog.Catalog) int {
	pools := make(map[string]bool)
	for i := range c.Queues {
		pools[c.Queues[i].Service] = true
	}
	return len(pools)
}

type limitsLoad struct{}

type limitsLoaded struct {
	records []services.Record
	err     error
}

func (limitsLoad) run(ctx context.Context, s *Service) event {
	records, _, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TableLimits, Part: jobrecord.PartLimits})
	return limitsLoaded{records, err}
}

func (e limitsLoaded) handle(p *planner) {
	p.limits.busy = false
	if e.err != nil {
		return
	}
	p.limits.loaded = true
	p.learnLimits(e.records)
}

func (p *planner) learnLimits(records []services.Record) {
	for i := range records {
		r := &records[i]
		d := &division{pools: allotment.Division{}, version: r.Version, changedAt: p.now}
		if len(r.Value) > 0 {
			if err := json.Unmarshal(r.Value, &d.pools); err != nil {
				p.s.log.Error().Err(err).Str("tenant", r.Key).Msg("division cannot be read; nothing of it is used")
				d.pools = allotment.Division{}
			}
		}
		if old := p.limits.rows[r.Key]; old == nil || old.version <= r.Version {
			p.limits.rows[r.Key] = d
		}
	}
}

type limitsCall struct{ changes []limitChange }

type limitsDone struct {
	limitsCall
	commit services.RecordCommit
	err    error
}

func (c limitsCall) run(ctx context.Context, s *Service) event {
	var tx services.RecordTx
	for _, change := range c.changes {
		value, err := json.Marshal(change.pools)
		if err != nil {
			return limitsDone{c, services.RecordCommit{}, err}
		}
		key := jobrecord.Limit(change.tenant)
		tx.Conditions = append(tx.Conditions, services.RecordCondition{RecordKey: key, Version: change.version})
		tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: key, Value: value})
	}
	commit, err := s.records.Commit(ctx, tx)
	return limitsDone{c, commit, err}
}

func (e limitsDone) handle(p *planner) {
	p.limits.busy = false
	p.now = p.s.clock()
	switch {
	case e.err != nil:
		p.s.log.Warn().Err(e.err).Int("tenants", len(e.changes)).Msg("limits not divided")
		// What was written is not known; read it before the next change.
		p.limits.loaded = false
	case e.commit.Committed:
		for _, c := range e.changes {
			p.limits.rows[c.tenant] = &division{pools: c.pools, version: e.commit.Version, changedAt: p.now}
			p.s.log.Info().Str("tenant", c.tenant).Int64("version", e.commit.Version).Interface("pools", c.pools).Msg("limit divided")
		}
	case len(e.commit.Current) == 0:
		p.limits.loaded = false
	default:
		p.learnLimits(e.commit.Current)
	}
	p.limits.apply(p)
}
