// Package upkeep is the service that carries out waves of maintenance and moves
// machines between pools. The process that owns services.MachineManagementPool does this
// for all pools; the duty upkeep.plan owns its state.
//
// Machines are cordoned by a record that the owner of their pool follows. The
// owner publishes which of them are empty, and only those, and machines of
// standby pools, are maintained or moved.
package upkeep

import (
	"context"
	"maps"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/sizing"
	"fuchsiafront.example/fuchsiafront/decision/upkeep"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// roundEvery is the longest time between two decisions. A change of a
	// pool's status brings the next one forward.
	roundEvery = 400 * time.Millisecond
	// roundPause is the shortest time between two decisions.
	roundPause = 100 * time.Millisecond
	// listEvery separates reads of the list of machines.
	listEvery = 400 * time.Millisecond
	// emptying is how long a machine usually takes until nothing runs on it:
	// the tasks of the deployments take up to 3 s.
	emptying = 2500 * time.Millisecond
	// awayMargin is added to the time for which a machine that was ordered away
	// counts as away although the list does not show it yet.
	awayMargin = 500 * time.Millisecond
	// callDuties is how many calls of one round are under way at once. A round
	// writes the cordons of five pools and orders up to ten machines away; a
	// store that is slow takes half a second for each write.
	callDuties = 16
	callsRing  = 64
	// renewedWithin is how old the last renewal of the ownership may be for an
	// order, so that a process that has lost it gives none.
	renewedWithin = 2 * time.Second
)

// Settings of the service.
type Settings struct {
	Host string
	// Maintenance is how long a machine is away.
	Maintenance time.Duration
	// Move is how long a machine is away when it changes its pool.
	Move time.Duration
	// OrdersPerSecond is how many orders for machines the platform takes from all
	// processes together.
	OrdersPerSecond float64
	// OrderLease is how long after a takeover no order is given for a machine
	// that the owner before may have ordered away, so that two processes do not
	// take turns.
	OrderLease time.Duration
}

// Service is registered under services.NameUpkeep.
type Service struct {
	settings  Settings
	clock     services.Clock
	log       zerolog.Logger
	records   services.Records
	operator  services.OperatorStore
	machines  services.Machines
	catalogs  services.Catalogs
	ownership services.Ownership
	orders    tally.Counter
	refused   tally.Counter
	moves     tally.Counter
	workers   *ring.Workers

	// The rest is owned by the duty.
	tenure   services.Tenure
	waves    map[int]*waveState
	cordons  map[string]poolCordon
	ordered  map[string]time.Time
	statuses map[string]jobrecord.StatusRecord
	// version is where the next look at the pools' records resumes.
	version    int64
	homes      homes
	intents    intents
	moving     map[string]transit
	moveCordon map[string]bool
	quietSince map[string]time.Time
	trends     map[string]*sizing.Trend
	list       []services.Machine
	listAt     time.Time
}

// New returns the service.
func New(s Settings, clock services.Clock) *Service {
	service := &Service{settings: s, clock: clock}
	service.reset()
	return service
}

func (s *Service) reset() {
	s.waves = make(map[int]*waveState)
	s.cordons = make(map[string]poolCordon)
	s.ordered = make(map[string]time.Time)
	s.statuses = make(map[string]jobrecord.StatusRecord)
	s.version = 0
	s.homes = homes{}
	s.intents = intents{}
	s.moving = make(map[string]transit)
	s.moveCordon = make(map[string]bool)
	s.quietSince = make(map[string]time.Time)
	s.trends = make(map[string]*sizing.Trend)
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	s.orders = c.Scope.Counter("maintenance_orders_total")
	s.moves = c.Scope.Counter("machine_moves_total")
	s.refused = c.Scope.Counter("maintenance_orders_refused_total")
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
	s.workers = ring.NewWorkers("upkeep.calls", callsRing, c.Scope)
	c.AddDuty("upkeep.plan", s.plan)
	for range callDuties {
		c.AddDuty("upkeep.calls", s.workers.Run)
	}
	return nil
}

func (s *Service) plan(ctx context.Context) {
	for ctx.Err() == nil {
		wait := roundEvery
		if s.round(ctx) {
			wait = roundPause
		}
		services.Sleep(ctx, wait)
	}
}

// round does what waves and pools need while this process owns the machines.
// It reports whether the next look at the pools waits for a change by itself.
func (s *Service) round(ctx context.Context) bool {
	t, ok := s.ownership.Tenures()[services.MachineManagementPool]
	catalog := s.catalogs.Catalog()
	if !ok || catalog == nil {
		return false
	}
	if t.Term != s.tenure.Term {
		s.reset()
	}
	s.tenure = t
	if err := s.readPools(ctx); err != nil {
		s.log.Debug().Err(err).Msg("status of the pools not read")
		return false
	}
	now := s.clock()
	s.loadWaves(ctx, now)
	machines, err := s.look(ctx, now)
	if err != nil {
		s.log.Debug().Err(err).Msg("machines not listed")
		return false
	}
	if !s.loadHomes(ctx, machines) || !s.loadIntents(ctx) {
		return false
	}
	s.act(ctx, now, machines)
	return true
}

// act decides and carries out.
func (s *Service) act(ctx context.Context, now time.Time, machines []services.Machine) {
	s.settleMoves(now, machines)
	plan := upkeep.Decide(now, s.openWaves(), s.describe(now, machines), s.loads(), s.cordoned(), upkeep.Params{
		MaintenanceTime: s.settings.Maintenance, EmptyingTime: emptying,
	})
	moves := s.planMoves(now, machines, plan)
	s.moveCordon = moves.Cordon
	cordon := maps.Clone(plan.Cordon)
	maps.Copy(cordon, moves.Cordon)
	for _, m := range moves.Moves {
		cordon[m.Machine] = true
	}
	orders, moving := s.permitted(now, plan.Orders, moves.Moves)
	if s.record(ctx, now, s.cordonWrites(machines, cordon, plan.EvictServices), orders, moving) {
		s.order(ctx, now, orders)
		s.move(ctx, now, moving)
	}
	s.report(ctx, plan.Completed)
}

// record writes what the owners of the pools and the next owner of the machines
// have to know. It reports whether the orders may be given.
func (s *Service) record(ctx context.Context, now time.Time, cordons []*cordonWrite, orders []upkeep.Order, moves []sizing.Move) bool {
	var calls []func(context.Context)
	for _, w := range cordons {
		calls = append(calls, func(ctx context.Context) { w.perform(ctx, s) })
	}
	intend := s.intend(now, orders, moves)
	if intend != nil {
		calls = append(calls, func(ctx context.Context) { intend.perform(ctx, s) })
	}
	if !s.workers.RunAll(ctx, calls...) {
		return false
	}
	for _, w := range cordons {
		w.apply(s)
	}
	recorded := intend == nil || intend.apply(s)
	return recorded && len(orders)+len(moves) > 0 && s.mayOrder(s.clock())
}

// orderEach gives an order for each of some machines at once and returns what
// became of them. It reports false when ctx has ended before.
func orderEach[T any](ctx context.Context, s *Service, items []T, machine func(T) string, call func(context.Context, services.MachineOrder, T) error) ([]error, bool) {
	errs := make([]error, len(items))
	var calls []func(context.Context)
	for i, item := range items {
		order := services.MachineOrder{Machine: machine(item), Holder: s.settings.Host, Fence: s.tenure.Fence}
		calls = append(calls, func(ctx context.Context) { errs[i] = call(ctx, order, item) })
	}
	return errs, s.workers.RunAll(ctx, calls...)
}

// mayOrder reports whether this process may give orders for machines: its
// ownership is fresh.
func (s *Service) mayOrder(now time.Time) bool {
	return now.Sub(s.tenure.RenewedAt) <= renewedWithin
}
