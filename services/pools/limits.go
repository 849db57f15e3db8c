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
	// limitsInterval separates looks at what the pools' tenants could use.
	limitsInterval = 100 * time.Millisecond
	// minShrinkInterval separates changes of one tenant's division that only give
	// something back.
	minShrinkInterval = time.Second
	// maxLimitsPerCommit bounds the tenants of one transaction.
	maxLimitsPerCommit = 40
	// maxLimitsFollowWait is how long the store may hold back the changes of divisions.
	maxLimitsFollowWait = 2 * time.Second
	// limitsRetryDelay separates looks at them that have failed.
	limitsRetryDelay = time.Second
)

// limiter keeps this process's pools within their part of each tenant's limit.
type limiter struct {
	rows         map[string]*storedRow
	loaded       bool
	callInFlight bool
	nextStepAt   time.Time
	// following tells that a call waits for changes after version, by which the
	// pools learn of reservations of other owners.
	following      bool
	nextFollowAt   time.Time
	changesVersion int64
}

// storedRow is what is known of the division of one tenant's maximum.
type storedRow struct {
	row       allotment.Row
	version   int64
	changedAt time.Time
}

func (l *limiter) init() { l.rows = make(map[string]*storedRow) }

// step asks for a change of the divisions when the pools need one, and tells
// the plans what they may use.
func (l *limiter) step(p *planner) {
	if len(p.pools) == 0 {
		return
	}
	l.follow(p)
	if l.callInFlight || p.now.Before(l.nextStepAt) {
		return
	}
	l.nextStepAt = p.now.Add(limitsInterval)
	if !l.loaded {
		l.callInFlight = true
		p.send(p.s.recordCalls, limitsLoadCall{})
		return
	}
	if changes := l.neededChanges(p); len(changes) > 0 {
		l.callInFlight = true
		p.send(p.s.recordCalls, limitsCommitCall{changes})
	}
	l.setPlanLimits(p)
}

// setPlanLimits tells the plans what they may use.
func (l *limiter) setPlanLimits(p *planner) {
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

// neededChanges returns the divisions that should be different.
func (l *limiter) neededChanges(p *planner) []limitChange {
	var changes []limitChange
	demands := p.poolDemands()
	pools := workPools(p.catalog)
	for _, name := range slices.Sorted(maps.Keys(p.catalog.Tenants)) {
		t := p.catalog.Tenants[name]
		if t.Maximum == (fleet.Resources{}) {
			continue
		}
		if c, ok := l.neededChange(p.now, t, demands, pools); ok && len(changes) < maxLimitsPerCommit {
			changes = append(changes, c)
		}
	}
	return changes
}

type poolDemand struct {
	inheritedRunsKnown bool
	used, want, need   map[string]fleet.Resources
}

func (p *planner) poolDemands() map[string]poolDemand {
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

// neededChange returns the new division for one tenant.
func (l *limiter) neededChange(now time.Time, t catalog.Tenant, demands map[string]poolDemand, pools map[string]bool) (limitChange, bool) {
	d := l.rows[t.Name]
	if d == nil {
		d = &storedRow{}
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
		if less && !demand.inheritedRunsKnown {
			continue
		}
		grows = grows || !less && next.Pools[name] != d.row.Pools[name]
		row = next
	}
	urgent := grows || len(row.Reservations) > 0 || len(d.row.Reservations) > 0
	if row.Equal(d.row) || (!urgent && now.Sub(d.changedAt) < minShrinkInterval) {
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
	if l.following || !l.loaded || p.now.Before(l.nextFollowAt) {
		return
	}
	l.following = true
	p.send(p.s.recordCalls, limitsFollowCall{l.changesVersion})
}

type limitsFollowCall struct{ after int64 }

type limitsFollowDone struct {
	changes services.RecordChanges
	err     error
}

func (c limitsFollowCall) run(ctx context.Context, s *Service) event {
	changes, err := s.records.Changes(ctx, jobrecord.TableLimits, c.after, maxLimitsFollowWait)
	return limitsFollowDone{changes, err}
}

func (e limitsFollowDone) handle(p *planner) {
	l := &p.limits
	l.following = false
	p.now = p.s.clock()
	switch {
	case e.err != nil:
		l.nextFollowAt = p.now.Add(limitsRetryDelay)
	case e.changes.VersionExpired:
		p.s.log.Info().Int64("version", l.changesVersion).Msg("changes forgotten by the store; reading all divisions")
		l.loaded = false
	default:
		l.changesVersion = max(l.changesVersion, e.changes.Version)
		p.mergeRows(e.changes.Records)
		l.setPlanLimits(p)
	}
}

type limitsLoadCall struct{}

type limitsLoadDone struct {
	records []services.Record
	version int64
	err     error
}

func (limitsLoadCall) run(ctx context.Context, s *Service) event {
	records, version, err := services.ScanAll(ctx, s.records, services.RecordRange{Table: jobrecord.TableLimits, Part: jobrecord.PartLimits})
	return limitsLoadDone{records, version, err}
}

func (e limitsLoadDone) handle(p *planner) {
	p.limits.callInFlight = false
	if e.err != nil {
		return
	}
	p.limits.loaded, p.limits.changesVersion = true, e.version
	p.mergeRows(e.records)
}

func (p *planner) mergeRows(records []services.Record) {
	for i := range records {
		r := &records[i]
		d := &storedRow{version: r.Version, changedAt: p.now}
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

type limitsCommitCall struct{ changes []limitChange }

type limitsCommitDone struct {
	limitsCommitCall
	commit services.RecordCommit
	err    error
}

func (c limitsCommitCall) run(ctx context.Context, s *Service) event {
	var tx services.RecordTx
	for _, change := range c.changes {
		value, err := json.Marshal(change.row)
		if err != nil {
			return limitsCommitDone{c, services.RecordCommit{}, err}
		}
		key := jobrecord.LimitKey(change.tenant)
		tx.Conditions = append(tx.Conditions, services.RecordCondition{RecordKey: key, Version: change.version})
		tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: key, Value: value})
	}
	commit, err := s.records.Commit(ctx, tx)
	return limitsCommitDone{c, commit, err}
}

func (e limitsCommitDone) handle(p *planner) {
	p.limits.callInFlight = false
	p.now = p.s.clock()
	switch {
	case e.err != nil:
		p.s.log.Warn().Err(e.err).Int("tenants", len(e.changes)).Msg("limits not divided")
		// What was written is not known; read it before the next change.
		p.limits.loaded = false
	case e.commit.Committed:
		for _, c := range e.changes {
			p.limits.rows[c.tenant] = &storedRow{row: c.row, version: e.commit.Version, changedAt: p.now}
			p.s.log.Info().Str("tenant", c.tenant).Int64("version", e.commit.Version).Interface("pools", c.row.Pools).Interface("reservations", c.row.Reservations).Msg("limit divided")
		}
	case len(e.commit.Current) == 0:
		p.limits.loaded = false
	default:
		p.mergeRows(e.commit.Current)
	}
	p.limits.setPlanLimits(p)
}
