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
	// limitsWait is how long the store may hold back the changes of divisions.
	limitsWait = 2 * time.Second
	// limitsRetry separates looks at them that have failed.
	limitsRetry = time.Second
)

// limiter keeps this process's pools within their part of each tenant's limit.
type limiter struct {
	rows   map[string]*division
	loaded bool
	busy   bool
	nextAt time.Time
	// following tells that a call waits for changes after version, by which the
	// pools learn of reservations of other owners.
	following bool
	followAt  time.Time
	version   int64
}

// division is what is known of the division of one tenant's maximum.
type division struct {
	row       allotment.Row
	version   int64
	changedAt time.Time
}

func (l *limiter) init() { l.rows = make(map[string]*division) }

// step asks for a change of the divisions when the pools need one, and tells
// the plans what they may use.
func (l *limiter) step(p *planner) {
	if len(p.pools) == 0 {
		return
	}
	l.follow(p)
	if l.busy || p.now.Before(l.nextAt) {
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
				limits[name] = allotment.Effective(t.Maximum, d.row.Pools, m.pool)
			}
		}
		m.plan.SetLimits(limits)
	}
}

type limitChange struct {
	tenant  string
	version int64
	row     allotment.Row
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
	settled          bool
	used, want, need map[string]fleet.Resources
}

func (p *planner) demands() map[string]poolDemand {
	demands := make(map[string]poolDemand, len(p.pools))
	for name, m := range p.pools {
		if m.plan == nil {
			continue
		}
		used, want := m.plan.TenantUse()
		demands[name] = poolDemand{m.plan.InheritedRunsKnown(), used, want, m.plan.LimitNeeds(p.now)}
	}
	return demands
}

// change returns the new division for one tenant.
func (l *limiter) change(now time.Time, t catalog.Tenant, demands map[string]poolDemand, pools map[string]bool) (limitChange, bool) {
	d := l.rows[t.Name]
	if d == nil {
		d = &division{}
		l.rows[t.Name] = d
	}
	row := d.row
	row.Reservations = maps.Clone(row.Reservations)
	maps.DeleteFunc(row.Reservations, func(pool string, _ allotment.Reservation) bool { return !pools[pool] })
	grows := false
	for _, name := range slices.Sorted(maps.Keys(demands)) {
		demand := demands[name]
		next := allotment.Next(t.Maximum, row, name, allotment.Demand{Used: demand.used[t.Name], Want: demand.want[t.Name], Need: demand.need[t.Name]}, len(pools), now.UnixMilli())
		less := !d.row.Pools[name].Fits(next.Pools[name])
		if less && !demand.settled {
			continue
		}
		grows = grows || !less && next.Pools[name] != d.row.Pools[name]
		row = next
	}
	urgent := grows || len(row.Reservations) > 0 || len(d.row.Reservations) > 0
	if row.Equal(d.row) || (!urgent && now.Sub(d.changedAt) < shrinkEvery) {
		return limitChange{}, false
	}
	return limitChange{tenant: t.Name, version: d.version, row: row}, true
}

// workPools returns the services that queues send work to.
func workPools(c *catalog.Catalog) map[string]bool {
	pools := make(map[string]bool)
	for i := range c.Queues {
		pools[c.Queues[i].Service] = true
	}
	return pools
}

// follow asks for changes of the divisions.
func (l *limiter) follow(p *planner) {
	if l.following || !l.loaded || p.now.Before(l.followAt) {
		return
	}
	l.following = true
	p.send(p.s.store, limitsFollow{l.version})
}

type limitsFollow struct{ after int64 }

type limitsFollowed struct {
	changes services.RecordChanges
	err     error
}

func (c limitsFollow) run(ctx context.Context, s *Service) event {
	changes, err := s.records.Changes(ctx, jobrecord.TableLimits, c.after, limitsWait)
	return limitsFollowed{changes, err}
}

func (e limitsFollowed) handle(p *planner) {
	l := &p.limits
	l.following = false
	p.now = p.s.clock()
	switch {
	case e.err != nil:
		l.followAt = p.now.Add(limitsRetry)
	case e.changes.VersionExpired:
		p.s.log.Info().Int64("version", l.version).Msg("changes forgotten by the store; reading all divisions")
		l.loaded = false
	default:
		l.version = max(l.version, e.changes.Version)
		p.learnLimits(e.changes.Records)
		l.apply(p)
	}
}

type limitsLoad struct{}

type limitsLoaded struct {
	records []services.Record
	version int64
	err     error
}

func (limitsLoad) run(ctx context.Context, s *Service) event {
	records, version, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TableLimits, Part: jobrecord.PartLimits})
	return limitsLoaded{records, version, err}
}

func (e limitsLoaded) handle(p *planner) {
	p.limits.busy = false
	if e.err != nil {
		return
	}
	p.limits.loaded, p.limits.version = true, e.version
	p.learnLimits(e.records)
}

func (p *planner) learnLimits(records []services.Record) {
	for i := range records {
		r := &records[i]
		d := &division{version: r.Version, changedAt: p.now}
		if len(r.Value) > 0 {
			if err := json.Unmarshal(r.Value, &d.row); err != nil {
				p.s.log.Error().Err(err).Str("tenant", r.Key).Msg("division cannot be read; nothing of it is used")
				d.row = allotment.Row{}
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
		value, err := json.Marshal(change.row)
		if err != nil {
			return limitsDone{c, services.RecordCommit{}, err}
		}
		key := jobrecord.LimitKey(change.tenant)
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
			p.limits.rows[c.tenant] = &division{row: c.row, version: e.commit.Version, changedAt: p.now}
			p.s.log.Info().Str("tenant", c.tenant).Int64("version", e.commit.Version).Interface("pools", c.row.Pools).Interface("reservations", c.row.Reservations).Msg("limit divided")
		}
	case len(e.commit.Current) == 0:
		p.limits.loaded = false
	default:
		p.learnLimits(e.commit.Current)
	}
	p.limits.apply(p)
}
