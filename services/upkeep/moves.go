package upkeep

import (
	"context"
	"maps"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/sizing"
	"fuchsiafront.example/fuchsiafront/decision/upkeep"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// arrivalLimit is how long a machine may be on its way before it counts as a
// part of the pool that the list names.
const arrivalLimit = 6 * time.Second

// arrival is how long a machine that has moved takes until its pool gives it
// work: the registry lists it, and its owner records and reaches it.
const arrival = time.Second

// moveShare is the part of the orders that the platform takes in a second, in
// percent, that may be on their way to one pool; others need theirs too. A machine
// is on its way for some two seconds, so that with 40 a pool of 349 machines in all
// grew by no more than 20 in a second.
const moveShare = 70

// movesAtOnce returns how many machines may be on their way to one pool.
func (s *Settings) movesAtOnce() int { return max(int(s.OrdersPerSecond*moveShare/100), 1) }

// transit is a move under way.
type transit struct {
	to string
	at time.Time
}

// homes are the usual numbers of machines of the pools.
type homes struct {
	record  jobrecord.PoolSizesRecord
	version int64
	loaded  bool
}

// loadHomes reads the usual sizes of the pools, and writes them when this is
// the first owner.
func (s *Service) loadHomes(ctx context.Context, machines []services.Machine) bool {
	if s.homes.loaded {
		return true
	}
	key := jobrecord.PoolSizesKey()
	record, version, err := readRecord[jobrecord.PoolSizesRecord](ctx, s.records, key)
	if err != nil {
		return false
	}
	if version == 0 {
		record.Pools = make(map[string]int)
		for _, m := range machines {
			record.Pools[m.Pool]++
		}
		var ok bool
		if version, ok = s.write(ctx, key, 0, record); !ok {
			return false
		}
	}
	s.homes = homes{record, version, true}
	return true
}

// planMoves returns the moves that the pools need.
func (s *Service) planMoves(now time.Time, list []services.Machine, maintenance upkeep.Plan) sizing.Plan {
	catalog := s.catalogs.Catalog()
	pools := make(map[string]sizing.Pool, len(catalog.Services))
	var machines []sizing.Machine
	size := make(map[string][]int64)
	for _, m := range list {
		size[m.Pool] = append(size[m.Pool], m.Capacity.MilliCPU)
		status := s.statuses[m.Pool]
		use := status.Machines[m.Name]
		_, moving := s.moving[m.Name]
		_, away := s.ordered[m.Name]
		machines = append(machines, sizing.Machine{
			Name: m.Name, Pool: m.Pool, Empty: s.empty(m),
			Movable:  m.State == services.MachineUp && !moving && !away && !maintenance.Cordon[m.Name],
			Cordoned: s.moveCordon[m.Name], Kind: m.Kind, Tasks: use.Tasks, Services: use.Services,
		})
	}
	for name, service := range catalog.Services {
		status := s.statuses[name]
		p := sizing.Pool{Standby: service.Standby, UsualMachines: s.homes.record.Pools[name], DemandMilliCPU: status.DemandMilliCPU, MachineMilliCPU: mean(size[name])}
		for _, t := range s.moving {
			if t.to == name {
				p.Incoming++
			}
		}
		p.SurplusFor = s.quiet(now, name, status)
		p.ForecastMilliCPU = s.trend(now, name, status.DemandMilliCPU).Forecast(s.settings.Move + arrival)
		pools[name] = p
	}
	return sizing.Decide(pools, machines, s.settings.movesAtOnce())
}

// quiet returns how long a pool has asked for less than its capacity.
func (s *Service) quiet(now time.Time, pool string, status jobrecord.StatusRecord) time.Duration {
	if status.DemandMilliCPU > status.CapacityMilliCPU {
		delete(s.quietSince, pool)
		return 0
	}
	since, ok := s.quietSince[pool]
	if !ok {
		s.quietSince[pool] = now
		return 0
	}
	return now.Sub(since)
}

// trend returns the trend of a pool's demand, the present one included.
func (s *Service) trend(now time.Time, pool string, demand int64) *sizing.Trend {
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

// settleMoves forgets the moves that have ended.
func (s *Service) settleMoves(now time.Time, list []services.Machine) {
	at := make(map[string]services.Machine, len(list))
	for _, m := range list {
		at[m.Name] = m
	}
	maps.DeleteFunc(s.moving, func(name string, t transit) bool {
		m, ok := at[name]
		arrived := ok && m.Pool == t.to && m.State == services.MachineUp
		return arrived || now.Sub(t.at) > arrivalLimit
	})
}

// move orders moves.
func (s *Service) move(ctx context.Context, now time.Time, moves []sizing.Move) {
	errs, done := orderEach(ctx, s, moves, func(m sizing.Move) string { return m.Machine }, func(ctx context.Context, order services.MachineOrder, m sizing.Move) error {
		return s.machines.MoveMachine(ctx, order, m.To)
	})
	if !done {
		return
	}
	for i, m := range moves {
		s.moves.Inc(1)
		s.log.Info().Err(errs[i]).Str("machine", m.Machine).Str("from", m.From).Str("to", m.To).Int64("demand", s.statuses[m.To].DemandMilliCPU).
			Int64("capacity", s.statuses[m.To].CapacityMilliCPU).Int64("fence", s.tenure.Fence).Msg("move ordered")
		switch {
		case errs[i] == nil || !fault.IsNotRun(errs[i]):
			s.moving[m.Machine] = transit{m.To, now}
		default:
			s.orderRefused(errs[i])
		}
	}
}
