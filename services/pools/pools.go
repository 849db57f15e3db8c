// Package pools is the service that runs the work of the pools that this
// process owns.
//
// The duty pools.plan owns the plans and performs no I/O. It sends its calls
// over three rings, each read by several identical duties: pools.orders for
// orders to executors, pools.holds for lease renewals, whose reports executors
// may delay, and pools.records for the store. Outcomes return over the ring
// pools.events.
package pools

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// Capacities of the rings and numbers of duties that read them.
const (
	eventsRingCapacity        = 1024
	ordersRingCapacity        = 512
	leaseRenewalsRingCapacity = 512
	recordsRingCapacity       = 64
	// orderDutyCount is the number of orders in flight at once. One takes a few
	// milliseconds, or half a second at an executor that does not answer: while an
	// availability zone is cut off, 25 stops a second are repeated.
	orderDutyCount = 96
	// leaseRenewalDutyCount is the number of executors whose leases can be renewed
	// at once, and each answer may be delayed until a run ends. With fewer duties
	// than executors, ends become known late and their room is not used: 380 of
	// 540 machines have served one pool at its peak.
	leaseRenewalDutyCount = 512
	// recordDutyCount is the number of store calls in flight at once: each pool
	// has one that waits for changes, and 16 read the jobs of a pool that is taken
	// over.
	recordDutyCount = 32
)

// Settings configures the service.
type Settings struct {
	Params poolplan.Params
	// JobRetention is how long the records of a job are kept after its end.
	JobRetention time.Duration
	// PublishSummaries is set if hosts are told the load of the pools.
	PublishSummaries bool
}

// Service is registered under services.NamePools.
type Service struct {
	settings    Settings
	clock       services.Clock
	log         zerolog.Logger
	records     services.Records
	storeHealth services.StoreHealth
	registry    services.Registry
	executors   services.Executors
	advisor     services.Advisor
	catalogs    services.Catalogs
	ownership   services.Ownership
	summaries   services.PoolSummaries

	events            *ring.Ring[event]
	orderCalls        *ring.Ring[call]
	leaseRenewalCalls *ring.Ring[call]
	recordCalls       *ring.Ring[call]
	ownedPoolsChanged services.ChangedRing
	catalogChanged    services.ChangedRing
	meters            meters
	// The fields below are owned by pools.plan and outlive its runs. planRuns counts
	// the runs, sharedStates the states that all pools have shared.
	planRuns     int
	sharedStates int
	ended        endedOwnerships
}

// event is a message to pools.plan.
type event interface{ handle(*planner) }

// call is a message to the duties that perform I/O. Its outcome is sent to
// pools.plan.
type call interface {
	run(context.Context, *Service) event
	// notMade returns the outcome of the call if it was never made.
	notMade() event
}

// errBacklogFull is the outcome of a store call for which there was no room.
var errBacklogFull = fault.New(&fault.NotRun, fault.ReasonRingFull, "send call", "", "more than %d calls wait for a ring", maxBacklog)

// meters holds the service's metrics.
type meters struct {
	starts, stops tally.Counter
	// startsUnrecorded counts the starts that were sent before they were recorded.
	startsUnrecorded          tally.Counter
	callsNotMade              tally.Counter
	panics                    tally.Counter
	ordersWithheld            tally.Counter
	evacuationWithheld        tally.Counter
	orderTime                 tally.Histogram
	taskWait                  tally.Histogram
	saveTime                  tally.Histogram
	summaryTime               tally.Histogram
	runningTasks, waitingJobs tally.Gauge
	eventScope                tally.Scope
	placement                 placementMeters
}

// New returns the service.
func New(s Settings, clock services.Clock) *Service {
	s.Params.LeaseCap = ownership.LeaseCap
	return &Service{settings: s, clock: clock}
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	if err := s.lookupServices(c); err != nil {
		return err
	}
	s.events = ring.New[event]("pools.events", eventsRingCapacity, c.Scope)
	s.orderCalls = ring.New[call]("pools.orders", ordersRingCapacity, c.Scope)
	s.leaseRenewalCalls = ring.New[call]("pools.holds", leaseRenewalsRingCapacity, c.Scope)
	s.recordCalls = ring.New[call]("pools.records", recordsRingCapacity, c.Scope)
	s.ownedPoolsChanged = s.ownership.WatchOwnedPools("pools.tenures")
	s.catalogChanged = s.catalogs.WatchChanges("pools.catalog")
	s.meters = newMeters(c.Scope)
	c.AddRestartableDuty("pools.plan", s.plan)
	for range orderDutyCount {
		c.AddRestartableDuty("pools.orders", func(ctx context.Context) { s.runCalls(ctx, s.orderCalls) })
	}
	for range leaseRenewalDutyCount {
		c.AddRestartableDuty("pools.holds", func(ctx context.Context) { s.runCalls(ctx, s.leaseRenewalCalls) })
	}
	for range recordDutyCount {
		c.AddRestartableDuty("pools.records", func(ctx context.Context) { s.runCalls(ctx, s.recordCalls) })
	}
	return nil
}

func (s *Service) lookupServices(c *kernel.Context) error {
	var err error
	if s.records, err = kernel.Lookup[services.Records](c, services.NamePlatform); err != nil {
		return err
	}
	if s.storeHealth, err = kernel.Lookup[services.StoreHealth](c, services.NamePlatform); err != nil {
		return err
	}
	if s.registry, err = kernel.Lookup[services.Registry](c, services.NamePlatform); err != nil {
		return err
	}
	if s.executors, err = kernel.Lookup[services.Executors](c, services.NamePlatform); err != nil {
		return err
	}
	if s.advisor, err = kernel.Lookup[services.Advisor](c, services.NamePlatform); err != nil {
		return err
	}
	if s.catalogs, err = kernel.Lookup[services.Catalogs](c, services.NameCatalog); err != nil {
		return err
	}
	if s.ownership, err = kernel.Lookup[services.Ownership](c, services.NameOwnership); err != nil {
		return err
	}
	s.summaries, err = kernel.Lookup[services.PoolSummaries](c, services.NameOwnership)
	return err
}

func newMeters(scope tally.Scope) meters {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return meters{
		starts:           scope.Counter("task_starts_total"),
		startsUnrecorded: scope.Counter("task_starts_unrecorded_total"),
		stops:            scope.Counter("task_stops_total"),
		callsNotMade:     scope.Counter("calls_not_made_total"),
		panics:           scope.Counter("pool_panics_total"),
		ordersWithheld:   scope.Counter("orders_withheld_total"),
		// Starts planned before their zone was evacuated.
		evacuationWithheld: scope.Counter("evacuation_starts_withheld_total"),
		orderTime:          scope.Histogram("executor_order_seconds", buckets),
		taskWait:           scope.Histogram("task_wait_seconds", buckets),
		saveTime:           scope.Histogram("progress_save_seconds", buckets),
		summaryTime:        scope.Histogram("pool_summary_seconds", tally.MustMakeExponentialDurationBuckets(100*time.Microsecond, 2, 12)),
		runningTasks:       scope.Gauge("tasks_running"),
		waitingJobs:        scope.Gauge("jobs_waiting"),
		eventScope:         scope,
		placement:          newPlacementMeters(scope),
	}
}

// runCalls is a duty that runs the calls of one ring.
func (s *Service) runCalls(ctx context.Context, calls *ring.Ring[call]) {
	for {
		c, err := calls.Take(ctx)
		if err != nil {
			return
		}
		if err := s.events.Put(ctx, s.runCall(ctx, c)); err != nil {
			return
		}
	}
}

// runCall runs a call and returns its outcome. If the call panics, the outcome tells
// the planner so.
func (s *Service) runCall(ctx context.Context, c call) (outcome event) {
	defer func() {
		if value := recover(); value != nil {
			s.logPanic(value, "")
			outcome = callPanicked{c}
		}
	}()
	return c.run(ctx, s)
}

// callPanicked tells the planner that a call has no outcome.
type callPanicked struct{ call call }

// handle gives up the pool for which the call was made, because an order may have
// been sent. A call for the shared state counts as failed.
func (e callPanicked) handle(p *planner) {
	if m, ok := e.call.(poolMessage); ok {
		p.giveUp(m.poolRef(), "a call panicked")
		return
	}
	e.call.notMade().handle(p)
}

// plan is the duty that owns the plans.
func (s *Service) plan(ctx context.Context) {
	p := newPlanner(s)
	p.resetShared()
	if s.planRuns++; s.planRuns > 1 {
		p.giveUpAll("the planner panicked")
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events.C():
			p.handleEvent(e)
			p.handleWaitingEvents()
		case <-s.ownedPoolsChanged.C():
			p.refreshOwnedPools()
		case <-s.catalogChanged.C():
			p.refreshCatalog()
		case <-timer.C:
		}
		now := s.clock()
		if untilNext := max(minStepInterval, stepPauseFactor*p.stepDuration) - now.Sub(p.steppedAt); untilNext > 0 {
			timer.Reset(untilNext)
			continue
		}
		timer.Reset(p.step())
		p.stepDuration = s.clock().Sub(now)
	}
}
