package pools

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/evacuation"
	"fuchsiafront.example/fuchsiafront/decision/follow"
	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/services"
)

// Intervals and limits of the planner.
const (
	// registryInterval is the time between reads of the registry of executors. A
	// machine that has joined a pool gets no work before.
	registryInterval = 250 * time.Millisecond
	// statusInterval is the time between publications of a pool's status; the
	// published number of pending jobs may be up to 2 s old.
	statusInterval = 250 * time.Millisecond
	// saveRetryDelay is the delay before a failed save is retried.
	saveRetryDelay = 150 * time.Millisecond
	// refusedSaveDelay is how long a job whose progress the store refuses is left out.
	refusedSaveDelay = 5 * time.Second
	// loadRetryDelay is the delay before a load goes on after a failed call.
	loadRetryDelay = 300 * time.Millisecond
	// maxBacklog is the largest number of calls that wait for room in a ring.
	maxBacklog = 4096
	// minStepInterval is the shortest time between two steps, so that one step
	// handles all events of a busy pool that arrive meanwhile.
	minStepInterval = 3 * time.Millisecond
	// stepPauseFactor times the duration of a step is the shortest time until the
	// next one, so that a host short of processor time has enough left for its
	// calls.
	stepPauseFactor = 4
	// maxEventsPerStep is how many waiting events are handled before the next step.
	maxEventsPerStep = 64
)

// planner is the state of the duty pools.plan.
type planner struct {
	s   *Service
	now time.Time
	// steppedAt is the start of the last step.
	steppedAt time.Time
	// stepDuration is how long the last step took.
	stepDuration time.Duration
	catalog      *catalog.Catalog
	pools        map[string]*managedPool
	backlog      []pendingCall
	// notMade has the outcomes of calls that found the backlog full.
	notMade []event

	registry registryView
	// incarnations has the registered executors of all pools.
	incarnations []poolplan.Executor
	limits       limiter
	evacuations  evacuation.Set
}

// pendingCall is a call that found its ring full.
type pendingCall struct {
	ring interface{ Offer(call) bool }
	call call
}

// managedPool is the state of one pool that this process owns.
type managedPool struct {
	name      string
	ownership services.PoolOwnership
	plan      *poolplan.Plan
	loaded    bool
	// loading is the read in progress, or nil.
	loading  *poolLoad
	inFlight callsInFlight

	follower *follow.Follower
	// changesVersion is the version from which the next call reads changes.
	changesVersion int64
	nextSaveAt     time.Time
	// starts has the starts that wait for their record.
	starts startQueue
	// savesAlone is the number of saves that hold one job each, after the store
	// has refused one with several.
	savesAlone int
	// savesVersion is the last known version of the record that each save
	// changes.
	savesVersion    int64
	executorRecords executorRecords
	statusCheckedAt time.Time
	publishedStatus string
	// statusVersion is the last known version of the status record.
	statusVersion  int64
	moved          movedPending
	trim           trimQueue
	cordoned       map[string]bool
	leaving        map[string]bool
	cordonsVersion int64
	nextExpiryAt   time.Time
	// summarizedRenewal is the renewal for which the pool's load was summarized.
	summarizedRenewal int64
	// operatorStateKnown is set once the operator's state was recent enough to plan,
	// operatorStateAwaited once a log line has said that it is not.
	operatorStateKnown, operatorStateAwaited bool
}

// callsInFlight has the calls of a pool that are in flight, at most one of each
// kind.
type callsInFlight struct {
	publishMoved, saveProgress, recordExecutors, publishStatus, expireJobs bool
}

func newPlanner(s *Service) *planner {
	p := &planner{s: s, now: s.clock(), pools: make(map[string]*managedPool)}
	p.limits.init()
	return p
}

// send puts a call into a ring without blocking. A call that finds the ring
// full is kept until the next step.
func (p *planner) send(r interface{ Offer(call) bool }, c call) {
	if len(p.backlog) == 0 && r.Offer(c) {
		return
	}
	if len(p.backlog) >= maxBacklog {
		p.s.meters.callsNotMade.Inc(1)
		p.notMade = append(p.notMade, c.notMade())
		return
	}
	p.backlog = append(p.backlog, pendingCall{r, c})
}

// handleNotMade handles the outcomes of calls that found the backlog full, so that
// what waits for them is tried again.
func (p *planner) handleNotMade() {
	outcomes := p.notMade
	p.notMade = nil
	if len(outcomes) > 0 {
		p.s.log.Error().Int("calls", len(outcomes)).Int("limit", maxBacklog).Msg("calls not made: the backlog of calls that wait for a ring is full")
	}
	for _, e := range outcomes {
		p.handleEvent(e)
	}
}

func (p *planner) sendBacklog() {
	for len(p.backlog) > 0 && p.backlog[0].ring.Offer(p.backlog[0].call) {
		p.backlog = p.backlog[1:]
	}
}

// handleWaitingEvents handles events that have already arrived, up to
// maxEventsPerStep, so that one step serves them all.
func (p *planner) handleWaitingEvents() {
	for range maxEventsPerStep {
		select {
		case e := <-p.s.events.C():
			p.handleEvent(e)
		default:
			return
		}
	}
}

func (p *planner) refreshCatalog() {
	p.catalog = p.s.catalogs.Catalog()
	p.refreshEvacuations()
	for _, m := range p.pools {
		if m.plan != nil && p.catalog != nil {
			p.guardPool(m.ref(), func() { m.plan.SetCatalog(p.catalog) })
		}
	}
}

// refreshOwnedPools starts managing new pools and drops those no longer owned. An
// ownership whose state was dropped is not managed again: a plan without that state
// would take tasks that run already for new ones.
func (p *planner) refreshOwnedPools() {
	owned := p.s.ownership.OwnedPools()
	for name, m := range p.pools {
		o, ok := owned[name]
		if !ok || o.FencingToken != m.ownership.FencingToken {
			p.s.log.Info().Str("pool", name).Int("term", m.ownership.Term).Msg("pool no longer owned; its plan is dropped")
			p.drop(m)
			continue
		}
		m.ownership = o
	}
	for name, o := range owned {
		if name != services.MachineManagementPool && p.pools[name] == nil && !p.s.ended.has(o) {
			p.pools[name] = &managedPool{name: name, ownership: o, follower: follow.New(follow.Single)}
		}
	}
}

// managedPool returns the state of a pool, or nil if that ownership of it has ended.
func (p *planner) managedPool(r ownershipRef) *managedPool {
	m := p.pools[r.pool]
	if m == nil || m.ownership.FencingToken != r.fencingToken {
		return nil
	}
	return m
}

// drop drops the state of a pool whose ownership has ended.
func (p *planner) drop(m *managedPool) {
	p.s.ended.add(m.ownership)
	delete(p.pools, m.name)
}

// dropLostPool reports a pool that has a later owner as lost and drops its state.
func (p *planner) dropLostPool(m *managedPool) {
	p.drop(m)
	p.s.ended.report(p.s.ownership, m.ownership)
}

// giveUp gives up a pool whose plan may be half changed, or one of whose calls may
// have lost its outcome. A new term reads everything again and uses new attempt
// numbers.
func (p *planner) giveUp(r ownershipRef, reason string) {
	m := p.managedPool(r)
	if m == nil {
		return
	}
	p.s.log.Error().Str("pool", m.name).Int("term", m.ownership.Term).Str("reason", reason).Msg("giving the pool up")
	p.dropLostPool(m)
}

// giveUpAll gives up all pools of this process after a run of the planner that
// panicked, of which nothing is left.
func (p *planner) giveUpAll(reason string) {
	for name, o := range p.s.ownership.OwnedPools() {
		if name == services.MachineManagementPool || p.s.ended.has(o) {
			continue
		}
		p.s.log.Error().Str("pool", name).Int("term", o.Term).Str("reason", reason).Msg("giving the pool up")
		p.s.ended.add(o)
		p.s.ended.report(p.s.ownership, o)
	}
}

// step makes the decisions of all pools and returns the time until the next step.
func (p *planner) step() time.Duration {
	p.now = p.s.clock()
	p.steppedAt = p.now
	p.s.ended.reportAgain(p.s.ownership)
	p.sendBacklog()
	p.handleNotMade()
	if p.catalog == nil {
		p.refreshCatalog()
	}
	wait := maxStepWait
	if p.catalog == nil {
		return wait
	}
	p.guardShared(p.readRegistry)
	p.guardShared(func() { p.limits.step(p) })
	running, pending := 0, 0
	for _, m := range p.pools {
		p.guardPool(m.ref(), func() { wait = min(wait, p.stepPool(m)) })
		if m.plan != nil {
			running += m.plan.RunCount()
			pending += m.plan.JobCount()
		}
	}
	p.s.meters.runningTasks.Update(float64(running))
	p.s.meters.waitingJobs.Update(float64(pending))
	return max(wait, minStepWait)
}

// Bounds on the time that step returns.
const (
	maxStepWait = 250 * time.Millisecond
	minStepWait = 2 * time.Millisecond
)

func (p *planner) stepPool(m *managedPool) time.Duration {
	if !m.loaded {
		p.startLoad(m)
		return loadRetryDelay
	}
	p.continueLoad(m)
	p.followJobs(m)
	p.recordExecutors(m)
	p.sendDueStarts(m)
	if p.now.Sub(m.ownership.RenewedAt) > ownership.RenewalTimeout {
		p.logEvents(m)
		return maxStepWait
	}
	if !p.operatorStateRecent(m) {
		return maxStepWait
	}
	m.plan.SetCurrent(p.now.Sub(m.ownership.RenewedAt) < ownership.ExclusiveFor)
	m.plan.SetOwnershipRenewed(m.ownership.RenewedAt, m.ownership.RenewalVersion)
	for _, order := range m.plan.Step(p.now) {
		p.sendOrder(m, order)
	}
	p.logEvents(m)
	p.s.meters.placement.record(m.plan.TakePlacementCounts())
	if m.plan.Superseded() {
		p.s.log.Warn().Str("pool", m.name).Int("term", m.ownership.Term).Msg("giving the pool up: an executor has seen a later owner")
		p.dropLostPool(m)
		return maxStepWait
	}
	p.countOutcomes(m)
	p.saveProgress(m)
	p.publishStatus(m)
	p.publishSummary(m)
	p.expireJobs(m)
	p.trimJobs(m)
	next := m.plan.NextStep(p.now)
	if due, ok := m.starts.nextDue(); ok && due.Before(next) {
		next = due
	}
	return next.Sub(p.now)
}

func (p *planner) sendOrder(m *managedPool, o poolplan.Order) {
	ref := m.ref()
	switch o := o.(type) {
	case poolplan.Start:
		m.starts.add(p.now, o)
	case poolplan.Stop:
		p.s.meters.stops.Inc(1)
		p.s.log.Info().Str("pool", m.name).Str("job", o.Task.Job).Str("task", o.Task.TaskName.String()).Int("attempt", o.Attempt).
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
		line := p.s.log.Info().Str("pool", m.name).Str("job", e.Job).Str("task", e.Task).Str("peer", e.Peer).Int64("life", e.StartedMs).Str("reason", e.Reason).Dur("age", e.Age)
		if e.EndsIn > 0 {
			line = line.Dur("ends_in", e.EndsIn)
		}
		line.Msg(e.Kind)
	}
}
