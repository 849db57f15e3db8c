// Package upkeep is the service that carries out waves of maintenance. The
// process that owns services.PoolMachines does this for all pools; the duty
// upkeep.plan owns its state.
//
// Machines are cordoned by a record that the owner of their pool follows. The
// owner publishes which of them are empty, and only those are maintained.
package upkeep

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/upkeep"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// roundEvery separates decisions while there is something to do.
	roundEvery = 400 * time.Millisecond
	// emptying is how long a machine usually takes until nothing runs on it:
	// the tasks of the deployments take up to 3 s.
	emptying = 2500 * time.Millisecond
	// awayMargin is added to the time for which a machine that was ordered away
	// counts as away although the list does not show it yet.
	awayMargin = 500 * time.Millisecond
	// renewedWithin is how old the last renewal of the ownership may be for an
	// order, so that a process that has lost it gives none.
	renewedWithin = 2 * time.Second
)

// Settings of the service.
type Settings struct {
	Host string
	// Maintenance is how long a machine is away.
	Maintenance time.Duration
	// OrderLease is how long after a takeover no order is given, so that two
	// processes do not take turns.
	OrderLease time.Duration
}

// Service is registered under services.NameUpkeep.
type Service struct {
	settings  Settings
	clock     services.Clock
	log       zerolog.Logger
	records   services.Records
	operator  services.Operator
	machines  services.Machines
	catalogs  services.Catalogs
	ownership services.Ownership
	orders    tally.Counter
	refused   tally.Counter

	// The rest is owned by the duty.
	tenure   services.Tenure
	waves    map[int]*waveState
	cordons  map[string]poolCordon
	ordered  map[string]time.Time
	statuses map[string]jobrecord.StatusRecord
}

// waveState is the progress of one wave.
type waveState struct {
	seen     time.Time
	done     map[string]bool
	complete bool
	version  int64
	loaded   bool
	reported string
}

// poolCordon is the record of one pool's cordons as it was last written.
type poolCordon struct {
	record  jobrecord.CordonRecord
	version int64
	loaded  bool
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
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	s.orders = c.Scope.Counter("maintenance_orders_total")
	s.refused = c.Scope.Counter("maintenance_orders_refused_total")
	var err error
	if s.records, err = kernel.Lookup[services.Records](c, services.NamePlatform); err != nil {
		return err
	}
	if s.operator, err = kernel.Lookup[services.Operator](c, services.NamePlatform); err != nil {
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
	c.Duty("upkeep.plan", s.plan)
	return nil
}

func (s *Service) plan(ctx context.Context) {
	ticker := time.NewTicker(roundEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.round(ctx)
		}
	}
}

// round does what the waves need while this process owns the machines.
func (s *Service) round(ctx context.Context) {
	t, ok := s.ownership.Tenures()[services.PoolMachines]
	if !ok {
		return
	}
	if t.Term != s.tenure.Term {
		s.reset()
	}
	s.tenure = t
	now := s.clock()
	catalog := s.catalogs.Catalog()
	if catalog == nil || !s.loadWaves(ctx, now) {
		return
	}
	machines, err := s.look(ctx, now)
	if err != nil {
		s.log.Debug().Err(err).Msg("machines not listed")
		return
	}
	for name := range catalog.Services {
		if err := s.loadPool(ctx, name); err != nil {
			s.log.Debug().Err(err).Str("pool", name).Msg("pool status not read")
			return
		}
	}
	plan := upkeep.Decide(now, s.openWaves(), s.describe(now, machines), s.loads(), s.cordoned(), upkeep.Params{
		Maintenance: s.settings.Maintenance, Emptying: emptying,
	})
	s.writeCordons(ctx, machines, plan)
	s.order(ctx, now, plan.Orders)
	s.report(ctx, plan.Completed)
}

// loadWaves reads the progress of waves that are new to this process. It
// reports whether there is a wave to work on.
func (s *Service) loadWaves(ctx context.Context, now time.Time) bool {
	open := false
	for _, w := range s.catalogs.Waves() {
		state := s.waves[w.Number]
		if state == nil {
			state = &waveState{seen: now, done: make(map[string]bool)}
			s.waves[w.Number] = state
		}
		if !state.loaded && !s.loadWave(ctx, w.Number, state) {
			continue
		}
		open = open || !state.complete
	}
	return open || s.anyCordon()
}

func (s *Service) loadWave(ctx context.Context, number int, state *waveState) bool {
	record, version, err := readRecord[jobrecord.WaveRecord](ctx, s.records, jobrecord.Wave(number))
	if err != nil {
		s.log.Debug().Err(err).Int("wave", number).Msg("progress of the wave not read")
		return false
	}
	for _, m := range record.Done {
		state.done[m] = true
	}
	state.complete, state.version, state.loaded = record.Completed, version, true
	return true
}

func (s *Service) anyCordon() bool {
	for _, c := range s.cordons {
		if len(c.record.Machines)+len(c.record.Leave) > 0 {
			return true
		}
	}
	return false
}

func (s *Service) openWaves() []upkeep.Wave {
	var waves []upkeep.Wave
	for _, w := range s.catalogs.Waves() {
		state := s.waves[w.Number]
		if state == nil || !state.loaded || state.complete {
			continue
		}
		waves = append(waves, upkeep.Wave{
			Number: w.Number, MaxDown: w.MaxDown, Deadline: state.seen.Add(w.Duration), Machines: w.Machines, Done: state.done,
		})
	}
	return waves
}

// look lists the machines. One whose maintenance has ended may be ordered again.
func (s *Service) look(ctx context.Context, now time.Time) ([]services.Machine, error) {
	machines, err := s.machines.ListMachines(ctx)
	if err != nil {
		return nil, err
	}
	for _, m := range machines {
		at, ok := s.ordered[m.Name]
		if ok && m.State == services.MachineUp && now.Sub(at) > s.settings.Maintenance+awayMargin {
			delete(s.ordered, m.Name)
		}
	}
	return machines, nil
}

// loadPool reads what the pool's owner publishes, and its cordons once.
func (s *Service) loadPool(ctx context.Context, pool string) error {
	status, _, err := readRecord[jobrecord.StatusRecord](ctx, s.records, jobrecord.Status(pool))
	if err != nil {
		return err
	}
	if s.statuses == nil {
		s.statuses = make(map[string]jobrecord.StatusRecord)
	}
	s.statuses[pool] = status
	if s.cordons[pool].loaded {
		return nil
	}
	record, version, err := readRecord[jobrecord.CordonRecord](ctx, s.records, jobrecord.Cordons(pool))
	if err != nil {
		return err
	}
	s.cordons[pool] = poolCordon{record, version, true}
	return nil
}

// readRecord reads one record; a missing one is zero.
func readRecord[T any](ctx context.Context, records services.Records, key services.RecordKey) (value T, version int64, err error) {
	page, err := records.Scan(ctx, services.RecordRange{Table: key.Table, Part: key.Part, From: key.Key, Limit: 1})
	if err != nil || len(page.Records) == 0 || page.Records[0].Key != key.Key {
		return value, 0, err
	}
	if err := json.Unmarshal(page.Records[0].Value, &value); err != nil {
		return value, 0, fault.New(&fault.NotRun, fault.ReasonMalformed, "read record", key.Part+"/"+key.Key, "%w", err)
	}
	return value, page.Records[0].Version, nil
}

func (s *Service) describe(now time.Time, list []services.Machine) []upkeep.Machine {
	catalog := s.catalogs.Catalog()
	machines := make([]upkeep.Machine, 0, len(list))
	for _, m := range list {
		status := s.statuses[m.Pool]
		use := status.Machines[m.Name]
		_, ordered := s.ordered[m.Name]
		machines = append(machines, upkeep.Machine{
			Name: m.Name, Pool: m.Pool, Up: m.State == services.MachineUp && !ordered,
			Away: m.State == services.MachineInUpkeep || ordered, Empty: slices.Contains(status.Empty, m.Name),
			Standby: catalog.Services[m.Pool].Standby, Tasks: use.Tasks, Services: use.Services,
		})
	}
	return machines
}

func (s *Service) loads() map[string]upkeep.PoolLoad {
	loads := make(map[string]upkeep.PoolLoad, len(s.statuses))
	for pool, status := range s.statuses {
		loads[pool] = upkeep.PoolLoad{Demand: status.Demand, Capacity: status.Capacity}
	}
	return loads
}

func (s *Service) cordoned() map[string]bool {
	set := make(map[string]bool)
	for _, c := range s.cordons {
		for _, m := range c.record.Machines {
			set[m] = true
		}
	}
	return set
}

// writeCordons tells the owners of the pools which machines to empty.
func (s *Service) writeCordons(ctx context.Context, machines []services.Machine, plan upkeep.Plan) {
	next := make(map[string]jobrecord.CordonRecord)
	for _, m := range machines {
		r := next[m.Pool]
		if plan.Cordon[m.Name] {
			r.Machines = append(r.Machines, m.Name)
		}
		if plan.Leave[m.Name] {
			r.Leave = append(r.Leave, m.Name)
		}
		next[m.Pool] = r
	}
	for _, pool := range slices.Sorted(maps.Keys(s.cordons)) {
		s.writeCordon(ctx, pool, next[pool])
	}
}

func (s *Service) writeCordon(ctx context.Context, pool string, next jobrecord.CordonRecord) {
	old := s.cordons[pool]
	slices.Sort(next.Machines)
	slices.Sort(next.Leave)
	if slices.Equal(old.record.Machines, next.Machines) && slices.Equal(old.record.Leave, next.Leave) {
		return
	}
	version, ok := s.write(ctx, jobrecord.Cordons(pool), old.version, next)
	if !ok {
		delete(s.cordons, pool)
		return
	}
	s.cordons[pool] = poolCordon{next, version, true}
	s.log.Info().Str("pool", pool).Strs("machines", next.Machines).Int("leave", len(next.Leave)).Int64("version", version).Msg("cordons written")
}

// write replaces a record whose version is known.
func (s *Service) write(ctx context.Context, key services.RecordKey, version int64, value any) (int64, bool) {
	encoded, err := json.Marshal(value)
	if err != nil {
		s.log.Error().Err(err).Str("record", key.Key).Msg("record cannot be encoded")
		return 0, false
	}
	commit, err := s.records.Commit(ctx, services.RecordTx{
		Conditions: []services.RecordCondition{{RecordKey: key, Version: version}},
		Writes:     []services.RecordWrite{{RecordKey: key, Value: encoded}},
	})
	if err != nil || !commit.Committed {
		s.log.Warn().Err(err).Str("record", key.Part+"/"+key.Key).Msg("record not written; it is read again")
		return 0, false
	}
	return commit.Version, true
}

// order begins maintenances.
func (s *Service) order(ctx context.Context, now time.Time, orders []upkeep.Order) {
	if now.Sub(s.tenure.RenewedAt) > renewedWithin || now.Sub(s.tenure.ClaimedAt) < s.settings.OrderLease {
		return
	}
	changed := make(map[int]bool)
	for _, o := range orders {
		err := s.machines.MaintainMachine(ctx, services.MachineOrder{Machine: o.Machine, Holder: s.settings.Host, Fence: s.tenure.Fence}, o.Wave)
		s.orders.Inc(1)
		s.log.Info().Err(err).Str("machine", o.Machine).Int("wave", o.Wave).Int64("fence", s.tenure.Fence).Msg("maintenance ordered")
		switch {
		case err == nil:
			s.waves[o.Wave].done[o.Machine] = true
			s.ordered[o.Machine] = now
			changed[o.Wave] = true
		case fault.ReasonOf(err) == fault.ReasonSuperseded:
			s.refused.Inc(1)
			s.ownership.Lost(s.tenure)
			return
		case !fault.IsNotRun(err):
			s.ordered[o.Machine] = now
		default:
			s.refused.Inc(1)
		}
	}
	for number := range changed {
		s.saveWave(ctx, number)
	}
}

func (s *Service) saveWave(ctx context.Context, number int) {
	state := s.waves[number]
	record := jobrecord.WaveRecord{Done: slices.Sorted(maps.Keys(state.done)), Completed: state.complete}
	version, ok := s.write(ctx, jobrecord.Wave(number), state.version, record)
	if !ok {
		state.loaded = false
		return
	}
	state.version = version
}

// report tells the operator how far the waves are.
func (s *Service) report(ctx context.Context, completed []int) {
	for _, w := range s.catalogs.Waves() {
		state := s.waves[w.Number]
		if state == nil || !state.loaded {
			continue
		}
		done := state.complete || slices.Contains(completed, w.Number)
		text := "running"
		if done {
			text = "completed"
		}
		if state.reported == text {
			continue
		}
		if err := s.operator.ReportWave(ctx, w.Number, done); err != nil {
			s.log.Warn().Err(err).Int("wave", w.Number).Msg("wave not reported")
			continue
		}
		state.reported = text
		s.log.Info().Int("wave", w.Number).Str("state", text).Int("machines", len(w.Machines)).Dur("age", s.clock().Sub(state.seen)).Msg("wave reported")
		if done && !state.complete {
			state.complete = true
			s.saveWave(ctx, w.Number)
		}
	}
}
