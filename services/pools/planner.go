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
	// registryInterval separates reads of the registry of executors.
	registryInterval = 500 * time.Millisecond
	// statusInterval separates publications of a pool's status; the number of
	// pending jobs may be 2 s old.
	statusInterval = 250 * time.Millisecond
	// saveRetryDelay separates saves while the store does not take them.
	saveRetryDelay = 150 * time.Millisecond
	// loadRetryDelay separates attempts to load a pool.
	loadRetryDelay = 300 * time.Millisecond
	// maxBacklog bounds the calls that wait for room in a ring.
	maxBacklog = 4096
	// minStepInterval is the shortest time between two steps, so that one step serves
	// the events of a busy pool that arrive meanwhile.
	minStepInterval = 3 * time.Millisecond
	// stepPauseFactor is how many times as long as the last step took the next one
	// waits, so that decisions leave a host that is short of processor time
	// enough for its calls.
	stepPauseFactor = 4
	// maxEventsPerStep is how many waiting events are handled before the next step.
	maxEventsPerStep = 64
)

// planner is the state of the duty pools.plan.
type planner struct {
	s   *Service
	now time.Time
	// steppedAt is when the pools decided last.
	steppedAt time.Time
	// stepDuration is how long that took.
	stepDuration time.Duration
	catalog      *catalog.Catalog
	pools        map[string]*managedPool
	backlog      []pendingCall

	registry []services.RegisteredExecutor
	// incarnations are the executors of the registry, of all pools.
	incarnations     []poolplan.Executor
	registryInFlight bool
	registryReadAt   time.Time
	limits           limiter
}

// pendingCall is a call that found its ring full.
type pendingCall struct {
	ring interface{ Offer(call) bool }
	call call
}

// managedPool is the state of one pool that this process owns.
type managedPool struct {
	pool      string
	ownership services.PoolOwnership
	plan      *poolplan.Plan
	loaded    bool
	retryAt   time.Time
	// loading is nil while nothing is read.
	loading  *poolLoad
	inFlight callsInFlight

	// changesVersion is where the next look at the pool's changes resumes.
	changesVersion int64
	nextSaveAt     time.Time
	// savesVersion is the version of the record that changes with each save, as
	// last seen.
	savesVersion    int64
	executorRecords executorRecords
	statusCheckedAt time.Time
	publishedStatus string
	// statusVersion is the version of the status record as last seen.
	statusVersion  int64
	cordoned       map[string]bool
	leaving        map[string]bool
	cordonsVersion int64
	nextExpiryAt   time.Time
}

// callsInFlight tells which calls of a pool are under way; there is at most one of each.
type callsInFlight struct {
	followJobs, saveProgress, recordExecutors, publishStatus, expireJobs bool
}

func newPlanner(s *Service) *planner {
	p := &planner{s: s, now: s.clock(), pools: make(map[string]*managedPool)}
	p.limits.init()
	return p
}

// send hands a call to its duties. The planner never waits for room: a call
// that finds none is kept until the next step.
func (p *planner) send(r interface{ Offer(call) bool }, c call) {
	if len(p.backlog) == 0 && r.Offer(c) {
		return
	}
	if len(p.backlog) >= maxBacklog {
		p.s.log.Error().Int("limit", maxBacklog).Msg("too many calls wait; dropped one")
		return
	}
	p.backlog = append(p.backlog, pendingCall{r, c})
}

func (p *planner) sendBacklog() {
	for len(p.backlog) > 0 && p.backlog[0].ring.Offer(p.backlog[0].call) {
		p.backlog = p.backlog[1:]
	}
}

// handleWaitingEvents handles what has arrived meanwhile, so that one step serves all.
func (p *planner) handleWaitingEvents() {
	for range maxEventsPerStep {
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

// refreshOwnedPools starts and ends the management of pools.
func (p *planner) refreshOwnedPools() {
	tenures := p.s.ownership.OwnedPools()
	for name, m := range p.pools {
		t, ok := tenures[name]
		if !ok || t.Term != m.ownership.Term {
			p.s.log.Info().Str("pool", name).Int("term", m.ownership.Term).Msg("pool given up")
			delete(p.pools, name)
			continue
		}
		m.ownership = t
	}
	for name, t := range tenures {
		if name != services.MachineManagementPool && p.pools[name] == nil {
			p.pools[name] = &managedPool{pool: name, ownership: t}
		}
	}
}

// managedPool returns the state of a pool while the tenure is the same.
func (p *planner) managedPool(pool string, term int) *managedPool {
	m := p.pools[pool]
	if m == nil || m.ownership.Term != term {
		return nil
	}
	return m
}

// losePool ends the management of a pool that has a later owner.
func (p *planner) losePool(m *managedPool) {
	p.s.ownership.ReportLost(m.ownership)
	delete(p.pools, m.pool)
}

// step lets all pools decide and returns the time until the next step.
func (p *planner) step() time.Duration {
	p.now = p.s.clock()
	p.steppedAt = p.now
	p.sendBacklog()
	if p.catalog == nil {
		p.refreshCatalog()
	}
	wait := maxStepWait
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
	p.s.meters.runningTasks.Update(float64(running))
	p.s.meters.waitingJobs.Update(float64(pending))
	return max(wait, minStepWait)
}

// Bounds of the time between two steps without events.
const (
	maxStepWait = 250 * time.Millisecond
	minStepWait = 2 * time.Millisecond
)

func (p *planner) stepPool(m *managedPool) time.Duration {
	if !m.loaded {
		p.startLoad(m)
		return loadRetryDelay
	}
	p.followJobs(m)
	p.recordExecutors(m)
	if p.now.Sub(m.ownership.RenewedAt) > ownership.RenewalTimeout {
		p.logEvents(m)
		return maxStepWait
	}
	m.plan.SetCurrent(p.now.Sub(m.ownership.RenewedAt) < ownership.ExclusiveFor)
	m.plan.SetOwnershipRenewed(m.ownership.RenewedAt, m.ownership.RenewalVersion)
	for _, o := range m.plan.Step(p.now) {
		p.sendOrder(m, o)
	}
	p.logEvents(m)
	if m.plan.Superseded() {
		p.s.log.Warn().Str("pool", m.pool).Int("term", m.ownership.Term).Msg("an executor has seen a later owner")
		p.losePool(m)
		return maxStepWait
	}
	p.saveProgress(m)
	p.publishStatus(m)
	p.expireJobs(m)
	return m.plan.NextStep(p.now).Sub(p.now)
}

func (p *planner) sendOrder(m *managedPool, o poolplan.Order) {
	ref := ownershipRef{m.pool, m.ownership.Term, m.ownership.FencingToken}
	switch o := o.(type) {
	case poolplan.Start:
		p.s.meters.starts.Inc(1)
		p.s.meters.taskWait.RecordDuration(o.Waited)
		p.s.log.Info().Str("pool", m.pool).Str("job", o.Task.Job).Str("task", o.Task.TaskName.String()).Int("attempt", o.Attempt).
			Str("peer", o.Executor).Str("reason", o.Reason).Dur("waited", o.Waited).Int64("fence", ref.fencingToken).Msg("start")
		p.send(p.s.orderCalls, startCall{ref, o})
	case poolplan.Stop:
		p.s.meters.stops.Inc(1)
		p.s.log.Info().Str("pool", m.pool).Str("job", o.Task.Job).Str("task", o.Task.TaskName.String()).Int("attempt", o.Attempt).
			Str("peer", o.Executor).Str("reason", o.Reason).Msg("stop")
		p.send(p.s.orderCalls, stopCall{ref, o})
	case poolplan.Throttle:
		p.send(p.s.orderCalls, throttleCall{ref, o})
	case poolplan.Advise:
		p.send(p.s.orderCalls, adviseCall{ref, o})
	case poolplan.RenewLease:
		p.send(p.s.leaseRenewalCalls, renewLeaseCall{ref, o})
	}
}

func (p *planner) logEvents(m *managedPool) {
	for _, e := range m.plan.Events() {
		p.s.meters.eventScope.Tagged(map[string]string{"event": e.Kind}).Counter("pool_events_total").Inc(1)
		p.s.log.Info().Str("pool", m.pool).Str("job", e.Job).Str("task", e.Task).Str("peer", e.Peer).Str("reason", e.Reason).Dur("age", e.Age).Msg(e.Kind)
	}
}
