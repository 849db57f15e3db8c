package pools

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/services"
)

// Intervals of the planner.
const (
	// registryEvery separates reads of the registry of executors.
	registryEvery = 500 * time.Millisecond
	// statusEvery separates publications of a pool's status; the number of
	// pending jobs may be 2 s old.
	statusEvery = 250 * time.Millisecond
	// saveRetry separates saves while the store does not take them.
	saveRetry = 150 * time.Millisecond
	// loadRetry separates attempts to load a pool.
	loadRetry = 300 * time.Millisecond
	// backlogLimit bounds the calls that wait for room in a ring.
	backlogLimit = 4096
	// stepEvery is the shortest time between two steps, so that one step serves
	// the events of a busy pool that arrive meanwhile.
	stepEvery = 3 * time.Millisecond
	// stepShare is how many times as long as the last step took the next one
	// waits, so that decisions leave a host that is short of processor time
	// enough for its calls.
	stepShare = 4
	// eventBurst is how many waiting events are handled before the next step.
	eventBurst = 64
)

// planner is the state of the duty pools.plan.
type planner struct {
	s   *Service
	now time.Time
	// steppedAt is when the pools decided last.
	steppedAt time.Time
	// stepTook is how long that took.
	stepTook time.Duration
	catalog  *catalog.Catalog
	pools    map[string]*manager
	backlog  []queued

	registry []services.RegisteredExecutor
	// lives are the executors of the registry, of all pools.
	lives        []poolplan.Executor
	registryBusy bool
	registryAt   time.Time
	limits       limiter
}

// queued is a call that found its ring full.
type queued struct {
	ring interface{ Offer(call) bool }
	call call
}

// manager is the state of one pool that this process owns.
type manager struct {
	pool   string
	tenure services.Tenure
	plan   *poolplan.Plan
	loaded bool
	loadAt time.Time
	// loading is nil while nothing is read.
	loading *loading
	busy    busy

	// version is where the next look at the pool's changes resumes.
	version int64
	saveAt  time.Time
	// savesVersion is the version of the record that changes with each save, as
	// last seen.
	savesVersion int64
	used         usedRecord
	statusAt     time.Time
	published    string
	// statusVersion is the version of the status record as last seen.
	statusVersion int64
	cordoned      map[string]bool
	leaving       map[string]bool
	cordonVer     int64
	expireAt      time.Time
}

// busy tells which calls of a pool are under way; there is at most one of each.
type busy struct {
	follow, save, record, status, expire bool
}

func newPlanner(s *Service) *planner {
	p := &planner{s: s, now: s.clock(), pools: make(map[string]*manager)}
	p.limits.init()
	return p
}

// send hands a call to its duties. The planner never waits for room: a call
// that finds none is kept until the next step.
func (p *planner) send(r interface{ Offer(call) bool }, c call) {
	if len(p.backlog) == 0 && r.Offer(c) {
		return
	}
	if len(p.backlog) >= backlogLimit {
		p.s.log.Error().Int("limit", backlogLimit).Msg("too many calls wait; dropped one")
		return
	}
	p.backlog = append(p.backlog, queued{r, c})
}

func (p *planner) flush() {
	for len(p.backlog) > 0 && p.backlog[0].ring.Offer(p.backlog[0].call) {
		p.backlog = p.backlog[1:]
	}
}

// drainEvents handles what has arrived meanwhile, so that one step serves all.
func (p *planner) drainEvents() {
	for range eventBurst {
		select {
		case e := <-p.s.events.C():
			e.handle(p)
		default:
			return
		}
	}
}

func (p *planner) refreshCatalog() {
	p.catalog = p.s.catalogs.Catalog()
	for _, m := range p.pools {
		if m.plan != nil && p.catalog != nil {
			m.plan.SetCatalog(p.catalog)
		}
	}
}

// refreshTenures starts and ends the management of pools.
func (p *planner) refreshTenures() {
	tenures := p.s.ownership.Tenures()
	for name, m := range p.pools {
		t, ok := tenures[name]
		if !ok || t.Term != m.tenure.Term {
			p.s.log.Info().Str("pool", name).Int("term", m.tenure.Term).Msg("pool given up")
			delete(p.pools, name)
			continue
		}
		m.tenure = t
	}
	for name, t := range tenures {
		if name != services.MachineManagementPool && p.pools[name] == nil {
			p.pools[name] = &manager{pool: name, tenure: t}
		}
	}
}

// manager returns the state of a pool while the tenure is the same.
func (p *planner) manager(pool string, term int) *manager {
	m := p.pools[pool]
	if m == nil || m.tenure.Term != term {
		return nil
	}
	return m
}

// lose ends the management of a pool that has a later owner.
func (p *planner) lose(m *manager) {
	p.s.ownership.ReportLost(m.tenure)
	delete(p.pools, m.pool)
}

// step lets all pools decide and returns the time until the next step.
func (p *planner) step() time.Duration {
	p.now = p.s.clock()
	p.steppedAt = p.now
	p.flush()
	if p.catalog == nil {
		p.refreshCatalog()
	}
	wait := idleWait
	if p.catalog == nil {
		return wait
	}
	p.readRegistry()
	p.limits.step(p)
	running, pending := 0, 0
	for _, m := range p.pools {
		wait = min(wait, p.stepPool(m))
		if m.plan != nil {
			running += m.plan.RunCount()
			pending += m.plan.JobCount()
		}
	}
	p.s.meters.running.Update(float64(running))
	p.s.meters.waiting.Update(float64(pending))
	return max(wait, shortestWait)
}

// Bounds of the time between two steps without events.
const (
	idleWait     = 250 * time.Millisecond
	shortestWait = 2 * time.Millisecond
)

func (p *planner) stepPool(m *manager) time.Duration {
	if !m.loaded {
		p.load(m)
		return loadRetry
	}
	p.follow(m)
	p.record(m)
	if p.now.Sub(m.tenure.RenewedAt) > ownership.RenewalTimeout {
		p.logEvents(m)
		return idleWait
	}
	m.plan.SetCurrent(p.now.Sub(m.tenure.RenewedAt) < ownership.ExclusiveFor)
	m.plan.SetRenewed(m.tenure.RenewedAt, m.tenure.RenewalVersion)
	for _, o := range m.plan.Step(p.now) {
		p.order(m, o)
	}
	p.logEvents(m)
	if m.plan.Superseded() {
		p.s.log.Warn().Str("pool", m.pool).Int("term", m.tenure.Term).Msg("an executor has seen a later owner")
		p.lose(m)
		return idleWait
	}
	p.save(m)
	p.status(m)
	p.expireOld(m)
	return m.plan.NextStep(p.now).Sub(p.now)
}

func (p *planner) order(m *manager, o poolplan.Order) {
	ref := poolRef{m.pool, m.tenure.Term, m.tenure.Fence}
	switch o := o.(type) {
	case poolplan.Start:
		p.s.meters.starts.Inc(1)
		p.s.meters.waited.RecordDuration(o.Waited)
		p.s.log.Info().Str("pool", m.pool).Str("job", o.Task.Job).Str("task", o.Task.TaskName.String()).Int("attempt", o.Attempt).
			Str("peer", o.Executor).Str("reason", o.Reason).Dur("waited", o.Waited).Int64("fence", ref.fence).Msg("start")
		p.send(p.s.orders, startCall{ref, o})
	case poolplan.Stop:
		p.s.meters.stops.Inc(1)
		p.s.log.Info().Str("pool", m.pool).Str("job", o.Task.Job).Str("task", o.Task.TaskName.String()).Int("attempt", o.Attempt).
			Str("peer", o.Executor).Str("reason", o.Reason).Msg("stop")
		p.send(p.s.orders, stopCall{ref, o})
	case poolplan.Pace:
		p.send(p.s.orders, paceCall{ref, o})
	case poolplan.Advise:
		p.send(p.s.orders, adviseCall{ref, o})
	case poolplan.Hold:
		p.send(p.s.holds, holdCall{ref, o})
	}
}

func (p *planner) logEvents(m *manager) {
	for _, e := range m.plan.Events() {
		p.s.meters.events.Tagged(map[string]string{"event": e.What}).Counter("pool_events_total").Inc(1)
		p.s.log.Info().Str("pool", m.pool).Str("job", e.Job).Str("task", e.Task).Str("peer", e.Peer).Str("reason", e.Reason).Dur("age", e.Age).Msg(e.What)
	}
}
