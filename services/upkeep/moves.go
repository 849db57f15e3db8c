package upkeep

import (
	"context"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/sizing"
	"fuchsiafront.example/fuchsiafront/decision/upkeep"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// moveTimeout is how long a machine may be moving before it counts as part of the
// pool that the list shows.
const moveTimeout = 6 * time.Second

// joinTime is how long it takes until a moved machine is given work: the registry
// must list it, and the pool's owner must record and reach it.
const joinTime = time.Second

// maxMovePercent is the number of machines that may be moving to one pool, in
// percent of the orders that the platform accepts in a second; other pools need
// the rest. A move takes about two seconds, so that with 40 a pool grew by no
// more than 20 machines in a second, with 349 machines in all.
const maxMovePercent = 70

// maxConcurrentMoves returns how many machines may be moving to one pool at once.
func (s *Settings) maxConcurrentMoves() int { return max(int(s.OrdersPerSecond*maxMovePercent/100), 1) }

// moveInProgress is a move that was ordered and has not ended.
type moveInProgress struct {
	pool      string
	orderedAt time.Time
}

// departureTime is how long a machine stays cordoned in the pool that it has left.
// The registry lists its executor for up to three heartbeats of 1.5 s after the move,
// and the owner of that pool would give it work again.
const departureTime = 6 * time.Second

// departure is a machine that was ordered to leave a pool.
type departure struct{ machine, pool string }

// departedMachines returns the machines to keep cordoned in the pools that they have
// left, by pool. One that has come back and is in service is a machine of that pool
// like the others.
func (s *Service) departedMachines(now time.Time, list []services.Machine) map[string][]string {
	listed := make(map[string]services.Machine, len(list))
	for _, m := range list {
		listed[m.Name] = m
	}
	departed := make(map[string][]string)
	for d, orderedAt := range s.departures {
		if now.Sub(orderedAt) > departureTime {
			delete(s.departures, d)
			continue
		}
		m := listed[d.machine]
		move, moving := s.movesInProgress[d.machine]
		// The list may be older than the order.
		leaving := moving && move.pool != d.pool
		if leaving || m.Pool != d.pool || m.State != services.MachineUp {
			departed[d.pool] = append(departed[d.pool], d.machine)
			continue
		}
		delete(s.departures, d)
	}
	return departed
}

// storedPoolSizes is the record of the usual numbers of machines of the pools.
type storedPoolSizes struct {
	record  jobrecord.PoolSizesRecord
	version int64
	loaded  bool
}

// loadPoolSizes reads the usual sizes of the pools, or writes the present ones if
// this is the first owner.
func (s *Service) loadPoolSizes(ctx context.Context, machines []services.Machine) bool {
	if s.poolSizes.loaded {
		return true
	}
	key := jobrecord.PoolSizesKey()
	record, version, err := readRecord[jobrecord.PoolSizesRecord](ctx, s.records, key)
	if err != nil {
		s.log.Debug().Err(err).Msg("usual sizes of the pools not read; round skipped")
		return false
	}
	if version == 0 {
		record.Pools = make(map[string]int)
		for _, m := range machines {
			record.Pools[m.Pool]++
		}
		var ok bool
		if version, ok = s.replaceRecord(ctx, key, 0, record); !ok {
			return false
		}
	}
	s.poolSizes = storedPoolSizes{record, version, true}
	return true
}

// planMoves decides which machines to move to other pools.
func (s *Service) planMoves(now time.Time, list []services.Machine, maintenance upkeep.Plan) sizing.Plan {
	catalog := s.catalogs.Catalog()
	pools := make(map[string]sizing.Pool, len(catalog.Services))
	var machines []sizing.Machine
	evacuated := s.evacuatedMachines(list)
	sizesMilliCPU := make(map[string][]int64)
	for _, m := range list {
		sizesMilliCPU[m.Pool] = append(sizesMilliCPU[m.Pool], m.Capacity.MilliCPU)
		status := s.statuses[m.Pool]
		use := status.Machines[m.Name]
		_, moving := s.movesInProgress[m.Name]
		_, maintenanceOrdered := s.maintenanceOrderedAt[m.Name]
		machines = append(machines, sizing.Machine{
			Name: m.Name, Pool: m.Pool, Empty: s.isEmpty(m),
			Movable:  m.State == services.MachineUp && !moving && !maintenanceOrdered && !maintenance.Cordon[m.Name] && !evacuated[m.Name],
			Cordoned: s.cordonedForMoves[m.Name], Kind: m.Kind, Tasks: use.Tasks, Services: use.Services,
		})
	}
	expectedPeaks := s.expectedPeaks(now, catalog, sizesMilliCPU)
	for name, service := range catalog.Services {
		status := s.statuses[name]
		pool := sizing.Pool{Standby: service.Standby, UsualMachines: s.poolSizes.record.Pools[name], DemandMilliCPU: status.DemandMilliCPU, LateMilliCPU: status.LateMilliCPU, MachineMilliCPU: mean(sizesMilliCPU[name])}
		for machine, t := range s.movesInProgress {
			if t.pool == name && !evacuated[machine] {
				pool.Incoming++
			}
		}
		pool.SurplusFor = s.surplusFor(now, name, status)
		trend := s.observeDemand(now, name, status.DemandMilliCPU).Forecast(s.settings.MoveTime + joinTime)
		pool.ForecastMilliCPU = max(trend, expectedPeaks[name])
		pools[name] = pool
	}
	s.logPools(now, pools, machines)
	if s.settings.DivideMachines {
		return sizing.DecideDivided(pools, machines, s.settings.maxConcurrentMoves())
	}
	return sizing.Decide(pools, machines, s.settings.maxConcurrentMoves())
}

// expectedPeaks adds the demand of the pools to the rotation and returns the demand
// of those whose peak is expected by the time that a machine moved now can work.
func (s *Service) expectedPeaks(now time.Time, catalog *catalog.Catalog, sizesMilliCPU map[string][]int64) map[string]int64 {
	if !s.rotation.loaded {
		return nil
	}
	machineMilliCPU := mean(slices.Concat(slices.Collect(maps.Values(sizesMilliCPU))...))
	for _, name := range slices.Sorted(maps.Keys(catalog.Services)) {
		if !catalog.Services[name].Standby {
			usual := int64(s.poolSizes.record.Pools[name]) * machineMilliCPU
			s.observeRotation(now, name, s.statuses[name].DemandMilliCPU, usual)
		}
	}
	return s.rotation.rotation.Forecast(now, s.settings.MoveTime+joinTime+peakLeadMargin)
}

// peakLeadMargin is how long before an expected peak its machines should be there:
// the platform takes orders for a second to move a third of the fleet.
const peakLeadMargin = time.Second

// poolLogInterval is the time between log lines about the machines of each pool.
const poolLogInterval = time.Second

// logPools logs the demand and the machines of each pool, at most once in
// poolLogInterval.
func (s *Service) logPools(now time.Time, pools map[string]sizing.Pool, machines []sizing.Machine) {
	if now.Sub(s.poolsLoggedAt) < poolLogInterval {
		return
	}
	s.poolsLoggedAt = now
	type count struct{ machines, movable, withServices int }
	counts := make(map[string]count, len(pools))
	for _, m := range machines {
		c := counts[m.Pool]
		c.machines++
		if m.Movable {
			c.movable++
		}
		if m.Services > 0 {
			c.withServices++
		}
		counts[m.Pool] = c
	}
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		p, c := pools[name], counts[name]
		s.log.Info().Str("pool", name).Int64("demand", p.DemandMilliCPU).Int64("late", p.LateMilliCPU).Int64("forecast", p.ForecastMilliCPU).Int64("capacity", s.statuses[name].CapacityMilliCPU).
			Int("machines", c.machines).Int("movable", c.movable).Int("with_services", c.withServices).Int("incoming", p.Incoming).Msg("pool sized")
	}
}

// surplusFor returns for how long a pool's demand has not exceeded its capacity.
func (s *Service) surplusFor(now time.Time, pool string, status jobrecord.StatusRecord) time.Duration {
	if status.DemandMilliCPU > status.CapacityMilliCPU {
		delete(s.surplusSince, pool)
		return 0
	}
	since, ok := s.surplusSince[pool]
	if !ok {
		s.surplusSince[pool] = now
		return 0
	}
	return now.Sub(since)
}

// observeDemand adds the present demand to the trend of a pool's demand and
// returns the trend.
func (s *Service) observeDemand(now time.Time, pool string, demand int64) *sizing.Trend {
	t := s.trends[pool]
	if t == nil {
		t = new(sizing.Trend)
		s.trends[pool] = t
	}
	t.Observe(now, demand)
	return t
}

func mean(values []int64) int64 {
	if len(values) == 0 {
		return 0
	}
	sum := int64(0)
	for _, v := range values {
		sum += v
	}
	return sum / int64(len(values))
}

// removeEndedMoves drops the moves that have arrived or exceeded moveTimeout.
func (s *Service) removeEndedMoves(now time.Time, list []services.Machine) {
	listed := make(map[string]services.Machine, len(list))
	for _, m := range list {
		listed[m.Name] = m
	}
	maps.DeleteFunc(s.movesInProgress, func(name string, t moveInProgress) bool {
		m, ok := listed[name]
		arrived := ok && m.Pool == t.pool && m.State == services.MachineUp
		return arrived || now.Sub(t.orderedAt) > moveTimeout
	})
}

// orderMoves gives the orders for moves.
func (s *Service) orderMoves(ctx context.Context, now time.Time, moves []sizing.Move) {
	errs, done := orderEach(ctx, s, moves, func(m sizing.Move) string { return m.Machine }, func(ctx context.Context, order services.MachineOrder, m sizing.Move) error {
		return s.machines.MoveMachine(ctx, order, m.To)
	})
	if !done {
		return
	}
	for i, m := range moves {
		s.movesCounter.Inc(1)
		s.log.Info().Err(errs[i]).Str("machine", m.Machine).Str("from", m.From).Str("to", m.To).Int64("demand", s.statuses[m.To].DemandMilliCPU).
			Int64("capacity", s.statuses[m.To].CapacityMilliCPU).Int64("fence", s.poolOwnership.FencingToken).Msg("move ordered")
		switch {
		case errs[i] == nil || !fault.IsNotRun(errs[i]):
			s.movesInProgress[m.Machine] = moveInProgress{m.To, now}
			if !s.catalogs.Catalog().Services[m.From].Standby {
				s.departures[departure{m.Machine, m.From}] = now
			}
		default:
			s.handleRefusedOrder(errs[i])
		}
	}
}
