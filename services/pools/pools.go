// Package pools is the service that runs the work of the pools that this
// process owns.
//
// The duty pools.plan owns the plans and performs no I/O. Its calls go over
// three rings to sets of equal duties: pools.orders for orders to executors,
// pools.holds for reports that executors may hold back, and pools.records for
// the store. Outcomes come back over the ring pools.events.
package pools

import (
	"context"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/ownership"
	"fuchsiafront.example/fuchsiafront/decision/poolplan"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// Capacities of the rings and numbers of equal duties.
const (
	eventsRing  = 1024
	ordersRing  = 512
	holdsRing   = 512
	recordsRing = 64
	// orderDuties carry out orders, each of which takes a few milliseconds.
	orderDuties = 24
	// holdDuties is the number of executors that can be asked at once; a grown
	// pool has 85.
	holdDuties = 128
	// recordDuties carry out calls to the store; one for each pool waits for
	// changes, and 16 read the jobs of a pool that is taken over.
	recordDuties = 32
)

// Settings of the service.
type Settings struct {
	Params poolplan.Params
	// KeepEnded is how long the records of a job stay after its end.
	KeepEnded time.Duration
}

// Service is registered under services.NamePools.
type Service struct {
	settings  Settings
	clock     services.Clock
	log       zerolog.Logger
	records   services.Records
	registry  services.Registry
	executors services.Executors
	advisor   services.Advisor
	catalogs  services.Catalogs
	ownership services.Ownership

	events   *ring.Ring[event]
	orders   *ring.Ring[call]
	holds    *ring.Ring[call]
	store    *ring.Ring[call]
	tenured  services.ChangedRing
	catalogd services.ChangedRing
	meters   meters
}

// event is a message to pools.plan.
type event interface{ handle(*planner) }

// call is a message to the duties that perform I/O; its outcome is posted to
// pools.plan.
type call interface {
	run(context.Context, *Service) event
}

// meters measure what the service does.
type meters struct {
	starts, stops    tally.Counter
	orderTime        tally.Histogram
	waited           tally.Histogram
	storeTime        tally.Histogram
	running, waiting tally.Gauge
	events           tally.Scope
}

// New returns the service.
func New(s Settings, clock services.Clock) *Service {
	s.Params.LeaseCap = ownership.LeaseCap
	return &Service{settings: s, clock: clock}
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	if err := s.lookup(c); err != nil {
		return err
	}
	s.events = ring.New[event]("pools.events", eventsRing, c.Scope)
	s.orders = ring.New[call]("pools.orders", ordersRing, c.Scope)
	s.holds = ring.New[call]("pools.holds", holdsRing, c.Scope)
	s.store = ring.New[call]("pools.records", recordsRing, c.Scope)
	s.tenured = s.ownership.WatchTenures("pools.tenures")
	s.catalogd = s.catalogs.WatchChanges("pools.catalog")
	s.meters = newMeters(c.Scope)
	c.AddDuty("pools.plan", s.plan)
	for range orderDuties {
		c.AddDuty("pools.orders", func(ctx context.Context) { s.perform(ctx, s.orders) })
	}
	for range holdDuties {
		c.AddDuty("pools.holds", func(ctx context.Context) { s.perform(ctx, s.holds) })
	}
	for range recordDuties {
		c.AddDuty("pools.records", func(ctx context.Context) { s.perform(ctx, s.store) })
	}
	return nil
}

func (s *Service) lookup(c *kernel.Context) error {
	var err error
	if s.records, err = kernel.Lookup[services.Records](c, services.NamePlatform); err != nil {
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
	s.ownership, err = kernel.Lookup[services.Ownership](c, services.NameOwnership)
	return err
}

func newMeters(scope tally.Scope) meters {
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)
	return meters{
		starts:    scope.Counter("task_starts_total"),
		stops:     scope.Counter("task_stops_total"),
		orderTime: scope.Histogram("executor_order_seconds", buckets),
		waited:    scope.Histogram("task_wait_seconds", buckets),
		storeTime: scope.Histogram("progress_save_seconds", buckets),
		running:   scope.Gauge("tasks_running"),
		waiting:   scope.Gauge("jobs_waiting"),
		events:    scope,
	}
}

// perform carries out the calls of one ring.
func (s *Service) perform(ctx context.Context, calls *ring.Ring[call]) {
	for {
		c, err := calls.Take(ctx)
		if err != nil {
			return
		}
		outcome := c.run(ctx, s)
		if err := s.events.Put(ctx, outcome); err != nil {
			return
		}
	}
}

// plan is the duty that owns the plans.
func (s *Service) plan(ctx context.Context) {
	p := newPlanner(s)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-s.events.C():
			e.handle(p)
			p.drainEvents()
		case <-s.tenured.C():
			p.refreshTenures()
		case <-s.catalogd.C():
			p.refreshCatalog()
		case <-timer.C:
		}
		now := s.clock()
		if rest := max(stepEvery, stepShare*p.stepTook) - now.Sub(p.steppedAt); rest > 0 {
			timer.Reset(rest)
			continue
		}
		timer.Reset(p.step())
		p.stepTook = s.clock().Sub(now)
	}
}
