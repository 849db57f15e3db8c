package pools

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/allotment"
	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// limitsInterval is the time between checks of what the pools' tenants could
	// use.
	limitsInterval = 100 * time.Millisecond
	// minShrinkInterval is the shortest time between changes of one tenant's
	// allotments that only reduce them.
	minShrinkInterval = time.Second
	// maxLimitsPerCommit is the largest number of tenants in one transaction.
	maxLimitsPerCommit = 40
	// maxLimitsFollowWait is how long the store may hold back its response while
	// no allotments change.
	maxLimitsFollowWait = 2 * time.Second
	// limitsRetryDelay is the delay before a failed read of the changes is retried.
	limitsRetryDelay = time.Second
)

// limiter keeps this process's pools within their allotments of each tenant's
// limit.
type limiter struct {
	rows         map[string]*storedRow
	loaded       bool
	callInFlight bool
	nextStepAt   time.Time
	// following is set while a call waits for changes after changesVersion, which
	// show the pools the reservations of other owners.
	following      bool
	nextFollowAt   time.Time
	changesVersion int64
	// unconfirmed has the changes that were sent and may not have been carried out yet.
	// The store may carry one out seconds after its call was given up, for as long as
	// the row has the version that it names.
	unconfirmed map[string]sentChange
}

// storedRow is the last known record of one tenant's allotments.
type storedRow struct {
	row       allotment.Row
	version   int64
	changedAt time.Time
}

func (l *limiter) init() {
	l.rows = make(map[string]*storedRow)
	l.unconfirmed = make(map[string]sentChange)
}

// reset drops what is known of the allotments, but not what has been sent.
func (l *limiter) reset() {
	sent := l.unconfirmed
	*l = limiter{}
	l.init()
	if sent != nil {
		l.unconfirmed = sent
	}
}

// step commits the changes of allotments that the pools need, and sets the limits
// of the plans.
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
		p.sendShared(limitsLoadCall{})
		return
	}
	if changes := l.neededChanges(p); len(changes) > 0 {
		l.callInFlight = true
		l.markSent(changes)
		p.sendShared(limitsCommitCall{changes})
	}
	l.setPlanLimits(p)
}

// setPlanLimits sets in each plan how much each tenant may use in its pool.
func (l *limiter) setPlanLimits(p *planner) {
	for _, m := range p.pools {
		if m.plan == nil {
			continue
		}
		p.guardPool(m.ref(), func() {
			m.plan.SetLimits(l.poolLimits(p.catalog, m))
			m.plan.SetHeldBack(l.heldBack(p.catalog, m.name))
		})
	}
}

// heldBack returns what a pool leaves unused of each tenant's limit for other pools.
func (l *limiter) heldBack(c *catalog.Catalog, pool string) map[string]fleet.Resources {
	heldBack := make(map[string]fleet.Resources)
	for name, t := range c.Tenants {
		if stored := l.rows[name]; stored != nil && len(stored.row.Reservations) > 0 {
			heldBack[name] = stored.row.HeldBack(t.Maximum, pool)
		}
	}
	return heldBack
}

// poolLimits returns how much each tenant may use in a pool.
func (l *limiter) poolLimits(c *catalog.Catalog, m *managedPool) map[string]fleet.Resources {
	limits := make(map[string]fleet.Resources, len(c.Tenants))
	for name, t := range c.Tenants {
		if stored := l.rows[name]; stored != nil {
			limits[name] = allotment.Effective(t.Maximum, l.certain(name, stored, m), m.name)
		}
	}
	return limits
}

type limitChange struct {
	tenant  string
	version int64
	row     allotment.Row
}

// neededChanges returns the tenants' rows that must change, at most
// maxLimitsPerCommit.
func (l *limiter) neededChanges(p *planner) []limitChange {
	var changes []limitChange
	demands := p.poolDemands()
	pools := workPools(p.catalog)
	for _, name := range slices.Sorted(maps.Keys(p.catalog.Tenants)) {
		t := p.catalog.Tenants[name]
		if t.Maximum == (fleet.Resources{}) {
			continue
		}
		c, needed := l.neededChange(p.now, t, demands, pools)
		if (needed || l.mustWrite(p, name)) && len(changes) < maxLimitsPerCommit {
			changes = append(changes, c)
		}
	}
	return changes
}

type poolDemand struct {
	inheritedRunsKnown  bool
	used, lasting, want map[string]fleet.Resources
	need                map[string]poolplan.LimitNeed
}

// of returns a tenant's demand. Until the runs of previous owners are known, as much lasts
// as they have recorded.
func (d *poolDemand) of(tenant string, recorded fleet.Resources) allotment.Demand {
	need := d.need[tenant]
	demand := allotment.Demand{Used: d.used[tenant], Lasting: d.lasting[tenant], Want: d.want[tenant], Need: need.Need, Least: need.Least}
	if !d.inheritedRunsKnown && demand.Lasting.Fits(recorded) {
		demand.Lasting = recorded
	}
	return demand
}

func (p *planner) poolDemands() map[string]poolDemand {
	demands := make(map[string]poolDemand, len(p.pools))
	for name, m := range p.pools {
		if m.plan == nil {
			continue
		}
		p.guardPool(m.ref(), func() {
			used, lasting, want := m.plan.TenantUse()
			demands[name] = poolDemand{m.plan.InheritedRunsKnown(), used, lasting, want, m.plan.LimitNeeds(p.now)}
		})
	}
	return demands
}

// neededChange returns one tenant's row as it should be, and whether it has to be
// changed now.
func (l *limiter) neededChange(now time.Time, t catalog.Tenant, demands map[string]poolDemand, pools map[string]bool) (limitChange, bool) {
	stored := l.rows[t.Name]
	if stored == nil {
		stored = &storedRow{}
		l.rows[t.Name] = stored
	}
	row := stored.row
	row.Reservations = maps.Clone(row.Reservations)
	maps.DeleteFunc(row.Reservations, func(pool string, _ allotment.Reservation) bool { return !pools[pool] })
	grows := false
	for _, name := range slices.Sorted(maps.Keys(demands)) {
		demand := demands[name]
		next := allotment.Next(t.Maximum, row, name, demand.of(t.Name, row.Lasting[name]), len(pools), now.UnixMilli())
		shrinks := !stored.row.Pools[name].Fits(next.Pools[name])
		if shrinks && !demand.inheritedRunsKnown {
			continue
		}
		grows = grows || !shrinks && next.Pools[name] != stored.row.Pools[name]
		row = next
	}
	urgent := grows || row.HasAttainableReservation(t.Maximum) || stored.row.HasAttainableReservation(t.Maximum)
	change := limitChange{tenant: t.Name, version: stored.version, row: row}
	return change, !row.Equal(stored.row) && (urgent || now.Sub(stored.changedAt) >= minShrinkInterval)
}

// workPools returns the services to which queues send work.
func workPools(c *catalog.Catalog) map[string]bool {
	pools := make(map[string]bool)
	for i := range c.Queues {
		pools[c.Queues[i].Service] = true
	}
	return pools
}

// follow requests the changes of all tenants' allotments.
func (l *limiter) follow(p *planner) {
	if l.following || !l.loaded || p.now.Before(l.nextFollowAt) {
		return
	}
	l.following = true
	p.sendShared(limitsFollowCall{l.changesVersion})
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

func (limitsFollowCall) notMade() event {
	return limitsFollowDone{services.RecordChanges{}, errBacklogFull}
}

func (e limitsFollowDone) handle(p *planner) {
	l := &p.limits
	l.following = false
	p.now = p.s.clock()
	switch {
	case e.err != nil:
		l.nextFollowAt = p.now.Add(limitsRetryDelay)
	case e.changes.VersionExpired:
		p.s.log.Info().Int64("version", l.changesVersion).Msg("store no longer has the changes since this version; reading all allotments")
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

func (limitsLoadCall) notMade() event { return limitsLoadDone{nil, 0, errBacklogFull} }

func (e limitsLoadDone) handle(p *planner) {
	p.limits.callInFlight = false
	if e.err != nil {
		p.now = p.s.clock()
		p.limits.nextStepAt = p.now.Add(limitsRetryDelay)
		p.s.log.Debug().Err(e.err).Msg("allotments not read; retrying")
		return
	}
	p.limits.loaded, p.limits.changesVersion = true, e.version
	p.mergeRows(e.records)
}

func (p *planner) mergeRows(records []services.Record) {
	for i := range records {
		r := &records[i]
		stored := &storedRow{version: r.Version, changedAt: p.now}
		if len(r.Value) > 0 {
			if err := json.Unmarshal(r.Value, &stored.row); err != nil {
				p.s.log.Error().Err(err).Str("tenant", r.Key).Msg("allotments of the tenant cannot be decoded; treated as none")
				stored.row = allotment.Row{}
			}
		}
		if old := p.limits.rows[r.Key]; old == nil || old.version <= r.Version {
			p.limits.rows[r.Key] = stored
		}
		if sent, ok := p.limits.unconfirmed[r.Key]; ok && sent.version < r.Version {
			delete(p.limits.unconfirmed, r.Key)
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

func (c limitsCommitCall) notMade() event {
	return limitsCommitDone{c, services.RecordCommit{}, errBacklogFull}
}

func (e limitsCommitDone) handle(p *planner) {
	p.limits.callInFlight = false
	p.now = p.s.clock()
	p.limits.markAnswered(e.changes, e.err != nil && !fault.IsNotRun(e.err))
	switch {
	case e.err != nil:
		p.s.log.Warn().Err(e.err).Int("tenants", len(e.changes)).Msg("allotments not committed; reading all again")
		// The outcome is unknown: read the rows before the next change.
		p.limits.loaded = false
	case e.commit.Committed:
		for _, c := range e.changes {
			delete(p.limits.unconfirmed, c.tenant)
			p.limits.rows[c.tenant] = &storedRow{row: c.row, version: e.commit.Version, changedAt: p.now}
			p.s.log.Info().Str("tenant", c.tenant).Int64("version", e.commit.Version).Interface("pools", c.row.Pools).Interface("reservations", c.row.Reservations).Interface("lasting", c.row.Lasting).Msg("limit divided")
		}
	case len(e.commit.Current) == 0:
		p.limits.loaded = false
	default:
		p.mergeRows(e.commit.Current)
	}
	p.limits.setPlanLimits(p)
}
