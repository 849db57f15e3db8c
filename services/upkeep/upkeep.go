// Package upkeep is the service that carries out maintenance waves and moves
// machines between pools. The process that owns services.MachineManagementPool does this
// for all pools; the duty upkeep.plan owns its state.
//
// Machines are cordoned by a record that the owner of their pool follows. The
// owner publishes which of them are empty. Only those and the machines of standby
// pools are maintained or moved.
package upkeep

import (
	"context"
	"maps"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/sizing"
	"fuchsiafront.example/fuchsiafront/decision/upkeep"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// maxRoundInterval is the longest time between two decisions. A change of a
	// pool's status triggers the next one earlier.
	maxRoundInterval = 400 * time.Millisecond
	// minRoundInterval is the shortest time between two decisions.
	minRoundInterval = 100 * time.Millisecond
	// listInterval is the shortest time between reads of the list of machines.
	listInterval = 400 * time.Millisecond
	// emptyingTime is how long a machine usually takes until nothing runs on it:
	// the tasks of the deployments take up to 3 s.
	emptyingTime = 2500 * time.Millisecond
	// listLagMargin is added to the maintenance time during which a machine counts
	// as under maintenance after the order, although the list does not show it yet.
	listLagMargin = 500 * time.Millisecond
	// callDutyCount is the number of calls of one round in flight at once. A round
	// writes the cordons of five pools and gives orders for up to ten machines; a
	// slow store takes half a second for each write.
	callDutyCount     = 16
	callsRingCapacity = 64
	// maxRenewalAge is how old the last renewal of the ownership may be when an
	// order is given, so that a process that has lost the ownership gives none.
	maxRenewalAge = 2 * time.Second
)

// Settings configures the service.
type Settings struct {
	Host string
	// MaintenanceTime is how long a machine is out of service for its maintenance.
	MaintenanceTime time.Duration
	// MoveTime is how long a machine is out of service when it changes its pool.
	MoveTime time.Duration
	// OrdersPerSecond is how many orders for machines the platform accepts in a
	// second from all processes together.
	OrdersPerSecond float64
	// OrderLease is how long after a takeover no order is given for a machine for
	// which the previous owner may have given one, so that two processes do not
	// alternate in giving orders for it.
	OrderLease time.Duration
	// DivideMachines is set if machines are divided among the pools when there are too
	// few for all.
	DivideMachines bool
	// PublishStandby is set if hosts are told what the standby pools have.
	PublishStandby bool
}

// Service is registered under services.NameUpkeep.
type Service struct {
	settings       Settings
	clock          services.Clock
	log            zerolog.Logger
	records        services.Records
	operator       services.OperatorStore
	machines       services.Machines
	catalogs       services.Catalogs
	ownership      services.Ownership
	summaries      services.PoolSummaries
	ordersCounter  tally.Counter
	refusedCounter tally.Counter
	movesCounter   tally.Counter
	workers        *ring.Workers

	// The fields below are owned by the duty upkeep.plan.
	poolOwnership services.PoolOwnership
	// lostTerm is the term in which another process was found to own the management
	// of machines. Nothing is done in it any more.
	lostTerm             int
	waves                map[int]*waveState
	cordons              map[string]poolCordons
	maintenanceOrderedAt map[string]time.Time
	statuses             map[string]jobrecord.StatusRecord
	// changesVersion is the version from which the next round reads changes of the
	// pools' records; zero if it must read all.
	changesVersion  int64
	poolSizes       storedPoolSizes
	rotation        storedRotation
	intents         orderIntents
	movesInProgress map[string]moveInProgress
	// departures has when each machine was ordered to leave a pool.
	departures       map[departure]time.Time
	cordonedForMoves map[string]bool
	surplusSince     map[string]time.Time
	trends           map[string]*sizing.Trend
	poolsLoggedAt    time.Time
	machineList      []services.Machine
	machinesListedAt time.Time
	// standbyRenewal is the renewal for which the standby capacity was published.
	standbyRenewal int64
}

// New returns the service.
func New(s Settings, clock services.Clock) *Service {
	service := &Service{settings: s, clock: clock}
	service.reset()
	return service
}

func (s *Service) reset() {
	s.waves = make(map[int]*waveState)
	s.cordons = make(map[string]poolCordons)
	s.maintenanceOrderedAt = make(map[string]time.Time)
	s.statuses = make(map[string]jobrecord.StatusRecord)
	s.changesVersion = 0
	s.poolSizes = storedPoolSizes{}
	s.rotation = storedRotation{}
	s.intents = orderIntents{}
	s.movesInProgress = make(map[string]moveInProgress)
	s.departures = make(map[departure]time.Time)
	s.cordonedForMoves = make(map[string]bool)
	s.surplusSince = make(map[string]time.Time)
	s.trends = make(map[string]*sizing.Trend)
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	s.ordersCounter = c.Scope.Counter("maintenance_orders_total")
	s.movesCounter = c.Scope.Counter("machine_moves_total")
	s.refusedCounter = c.Scope.Counter("maintenance_orders_refused_total")
	var err error
	if s.records, err = kernel.Lookup[services.Records](c, services.NamePlatform); err != nil {
		return err
	}
	if s.operator, err = kernel.Lookup[services.OperatorStore](c, services.NamePlatform); err != nil {
		return err
	}
	if s.machines, err = kernel.Lookup[services.Machines](c, services.NamePlatform); err != nil {
		return err
	}
	if s.catalogs, err = kernel.Lookup[services.Catalogs](c, services.NameCatalog); err != nil {
		return err
	}
	if s.ownership, err = kernel.Lookup[services.Ownership](c, services.NameOwnership); err != nil {
		return err
	}
	if s.summaries, err = kernel.Lookup[services.PoolSummaries](c, services.NameOwnership); err != nil {
		return err
	}
	s.workers = ring.NewWorkers("upkeep.calls", callsRingCapacity, c.Scope)
	c.AddRestartableDuty("upkeep.plan", s.plan)
	for range callDutyCount {
		c.AddRestartableDuty("upkeep.calls", s.workers.Run)
	}
	return nil
}

func (s *Service) plan(ctx context.Context) {
	// After a panic, the state of the earlier run may be half changed.
	s.reset()
	s.poolOwnership = services.PoolOwnership{}
	for ctx.Err() == nil {
		wait := maxRoundInterval
		if s.round(ctx) {
			wait = minRoundInterval
		}
		services.Sleep(ctx, wait)
	}
}

// round carries out waves and moves while this process owns the management of
// machines. It reports whether the next round waits for a change by itself.
func (s *Service) round(ctx context.Context) bool {
	o, ok := s.ownership.OwnedPools()[services.MachineManagementPool]
	catalog := s.catalogs.Catalog()
	if !ok || catalog == nil {
		return false
	}
	if o.Term == s.lostTerm {
		// Repeated until the service ownership has taken note of it.
		s.ownership.ReportLost(o)
		return false
	}
	if o.Term != s.poolOwnership.Term {
		s.reset()
	}
	s.poolOwnership = o
	if err := s.refreshPools(ctx); err != nil {
		s.log.Debug().Err(err).Msg("status of the pools not read; round skipped")
		return false
	}
	now := s.clock()
	s.loadWaves(ctx, now)
	machines, err := s.listMachines(ctx, now)
	if err != nil {
		s.log.Debug().Err(err).Msg("machines not listed; round skipped")
		return false
	}
	s.publishStandby(now, machines)
	if !s.loadPoolSizes(ctx, machines) || !s.loadIntents(ctx) {
		return false
	}
	s.loadRotation(ctx, now)
	s.decideAndOrder(ctx, now, machines)
	return true
}

// decideAndOrder decides on maintenance and moves, writes the records that they
// need, and then gives the orders.
func (s *Service) decideAndOrder(ctx context.Context, now time.Time, machines []services.Machine) {
	s.removeEndedMoves(now, machines)
	plan := upkeep.Decide(now, s.incompleteWaves(), s.machineStates(now, machines), s.poolLoads(), s.cordonedMachines(), upkeep.Params{
		MaintenanceTime: s.settings.MaintenanceTime, EmptyingTime: emptyingTime,
	})
	moves := s.planMoves(now, machines, plan)
	s.cordonedForMoves = moves.Cordon
	cordon := maps.Clone(plan.Cordon)
	maps.Copy(cordon, moves.Cordon)
	for _, m := range moves.Moves {
		cordon[m.Machine] = true
	}
	permittedOrders, permittedMoves := s.permittedNow(now, plan.Orders, moves.Moves)
	if s.writeRecords(ctx, now, s.cordonWrites(machines, cordon, s.departedMachines(now, machines), plan.EvictServices), permittedOrders, permittedMoves) {
		s.orderMaintenance(ctx, now, permittedOrders)
		s.orderMoves(ctx, now, permittedMoves)
	}
	s.reportWaves(ctx, plan.Completed)
}

// writeRecords writes what the owners of the pools and the next owner of the
// machines need to know. It reports whether the orders may be given.
func (s *Service) writeRecords(ctx context.Context, now time.Time, cordons []*cordonWrite, orders []upkeep.Order, moves []sizing.Move) bool {
	var calls []func(context.Context)
	for _, w := range cordons {
		calls = append(calls, func(ctx context.Context) { w.perform(ctx, s) })
	}
	intents := s.prepareIntents(now, orders, moves)
	if intents != nil {
		calls = append(calls, func(ctx context.Context) { intents.perform(ctx, s) })
	}
	rotation := s.prepareRotation()
	if rotation != nil {
		calls = append(calls, func(ctx context.Context) { rotation.perform(ctx, s) })
	}
	if !s.workers.RunAll(ctx, calls...) {
		return false
	}
	for _, w := range cordons {
		w.apply(s)
	}
	if rotation != nil {
		rotation.apply(s)
	}
	recorded := intents == nil || intents.apply(s)
	return recorded && len(orders)+len(moves) > 0 && s.mayOrder(s.clock())
}

// orderEach gives orders for several machines concurrently and returns the error
// of each. It reports false if ctx ended first.
//
// The ownership is checked again just before each order is sent, because the
// process may have been paused since the orders were planned, and the platform may
// not check fencing tokens.
func orderEach[T any](ctx context.Context, s *Service, items []T, machine func(T) string, call func(context.Context, services.MachineOrder, T) error) ([]error, bool) {
	errs := make([]error, len(items))
	var calls []func(context.Context)
	for i, item := range items {
		order := services.MachineOrder{Machine: machine(item), Holder: s.settings.Host, FencingToken: s.poolOwnership.FencingToken}
		calls = append(calls, func(ctx context.Context) {
			now := s.clock()
			if !s.mayOrder(now) {
				errs[i] = fault.New(&fault.NotRun, fault.ReasonOwnershipExpired, "order machine", order.Machine, "the ownership was renewed %v ago; an order needs at most %v", now.Sub(s.poolOwnership.RenewedAt), maxRenewalAge)
				return
			}
			errs[i] = call(ctx, order, item)
		})
	}
	return errs, s.workers.RunAll(ctx, calls...)
}

// mayOrder reports whether this process may give orders for machines, which
// requires that its ownership was renewed within maxRenewalAge.
func (s *Service) mayOrder(now time.Time) bool {
	return now.Sub(s.poolOwnership.RenewedAt) <= maxRenewalAge
}
