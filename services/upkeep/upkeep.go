// Package upkeep is the service that carries out waves of maintenance and moves
// machines between pools. The process that owns services.PoolMachines does this
// for all pools; the duty upkeep.plan owns its state.
//
// Machines are cordoned by a record that the owner of their pool follows. The
// owner publishes which of them are empty, and only those, and machines of
// standby pools, are maintained or moved.
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
	moves     tally.Counter

	// The rest is owned by the duty.
	tenure   services.Tenure
	waves    map[int]*waveState
	cordons  map[string]poolCordon
	ordered  map[string]time.Time
	statuses map[string]jobrecord.StatusRecord
	// version is where the next look at the pools' records resumes.
	version    int64
	homes      homes
	moving     map[string]transit
	moveCordon map[string]bool
	quietSince map[string]time.Time
	list       []services.Machine
	listAt     time.Time
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
	// since is the version from which on each machine has been cordoned
	// without a break.
	since map[string]int64
}

// next returns the cordon after another record was written.
func (c poolCordon) next(record jobrecord.CordonRecord, version int64) poolCordon {
	since := make(map[string]int64, len(record.Machines))
	for _, m := range record.Machines {
		since[m] = version
		if old, ok := c.since[m]; ok {
			since[m] = old
		}
	}
	return poolCordon{record, version, since}
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
	s.moving = make(map[string]transit)
	s.moveCordon = make(map[string]bool)
	s.quietSince = make(map[string]time.Time)
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
	for ctx.Err() == nil {
		wait := roundEvery
		if s.round(ctx) {
			wait = roundPause
		}
		pause(ctx, wait)
	}
}

// round does what waves and pools need while this process owns the machines.
// It reports whether the next look at the pools waits for a change by itself.
func (s *Service) round(ctx context.Context) bool {
	t, ok := s.ownership.Tenures()[services.PoolMachines]
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
	if !s.loadHomes(ctx, machines) {
		return false
	}
	s.act(ctx, now, machines)
	return true
}

// act decides and carries out.
func (s *Service) act(ctx context.Context, now time.Time, machines []services.Machine) {
	s.settleMoves(now, machines)
	plan := upkeep.Decide(now, s.openWaves(), s.describe(now, machines), s.loads(), s.cordoned(), upkeep.Params{
		Maintenance: s.settings.Maintenance, Emptying: emptying,
	})
	moves := s.planMoves(now, machines, plan)
	s.moveCordon = moves.Cordon
	cordon := maps.Clone(plan.Cordon)
	maps.Copy(cordon, moves.Cordon)
	for _, m := range moves.Moves {
		cordon[m.Machine] = true
	}
	s.writeCordons(ctx, machines, cordon, plan.Leave)
	s.order(ctx, now, plan.Orders)
	s.move(ctx, now, moves.Moves)
	s.report(ctx, plan.Completed)
}

// pause waits for d or until ctx ends.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// mayOrder reports whether this process may give orders for machines: its
// ownership is fresh, and the process before it has given none for a while.
func (s *Service) mayOrder(now time.Time) bool {
	return now.Sub(s.tenure.RenewedAt) <= renewedWithin && now.Sub(s.tenure.ClaimedAt) >= s.settings.OrderLease
}

// loadWaves reads the progress of waves that are new to this process.
func (s *Service) loadWaves(ctx context.Context, now time.Time) {
	for _, w := range s.catalogs.Waves() {
		state := s.waves[w.Number]
		if state == nil {
			state = &waveState{seen: now, done: make(map[string]bool)}
			s.waves[w.Number] = state
		}
		if !state.loaded {
			s.loadWave(ctx, w.Number, state)
		}
	}
}

func (s *Service) loadWave(ctx context.Context, number int, state *waveState) {
	record, version, err := readRecord[jobrecord.WaveRecord](ctx, s.records, jobrecord.Wave(number))
	if err != nil {
		s.log.Debug().Err(err).Int("wave", number).Msg("progress of the wave not read")
		return
	}
	for _, m := range record.Done {
		state.done[m] = true
	}
	state.complete, state.version, state.loaded = record.Completed, version, true
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
	if now.Sub(s.listAt) < listEvery {
		return s.list, nil
	}
	machines, err := s.machines.ListMachines(ctx)
	if err != nil {
		return nil, err
	}
	s.list, s.listAt = machines, now
	for _, m := range machines {
		at, ok := s.ordered[m.Name]
		if ok && m.State == services.MachineUp && now.Sub(at) > s.settings.Maintenance+awayMargin {
			delete(s.ordered, m.Name)
		}
	}
	return machines, nil
}

// readPools reads what the owners of the pools publish: everything at first,
// and then the changes, for which it waits.
func (s *Service) readPools(ctx context.Context) error {
	if s.version > 0 {
		changes, err := s.records.Changes(ctx, jobrecord.TablePools, s.version, roundEvery)
		if err != nil {
			return err
		}
		if !changes.Forgotten {
			s.version = max(s.version, changes.Version)
			for i := range changes.Records {
				for pool := range s.catalogs.Catalog().Services {
					s.learnStatus(pool, &changes.Records[i])
				}
			}
			return nil
		}
	}
	version := int64(0)
	for pool := range s.catalogs.Catalog().Services {
		page, err := s.records.Scan(ctx, services.RecordRange{Table: jobrecord.TablePools, Part: jobrecord.Status(pool).Part})
		if err != nil {
			return err
		}
		if version == 0 || page.Version < version {
			version = page.Version
		}
		for i := range page.Records {
			s.learnStatus(pool, &page.Records[i])
		}
		record, at, err := readRecord[jobrecord.CordonRecord](ctx, s.records, jobrecord.Cordons(pool))
		if err != nil {
			return err
		}
		s.cordons[pool] = poolCordon{}.next(record, at)
	}
	s.version = version
	return nil
}

func (s *Service) learnStatus(pool string, r *services.Record) {
	if r.RecordKey != jobrecord.Status(pool) {
		return
	}
	var status jobrecord.StatusRecord
	if err := json.Unmarshal(r.Value, &status); err != nil {
		s.log.Error().Err(err).Str("pool", pool).Msg("status cannot be read; the last one stays")
		return
	}
	if status.Term >= s.statuses[pool].Term {
		s.statuses[pool] = status
	}
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
			Away: m.State == services.MachineInUpkeep || ordered, Empty: s.empty(m),
			Standby: catalog.Services[m.Pool].Standby, Tasks: use.Tasks, Services: use.Services,
		})
	}
	return machines
}

// empty reports whether the owner of the machine's pool has emptied it for the
// cordon in force. What it said of an earlier cordon does not count, because the
// machine may have got work in between.
func (s *Service) empty(m services.Machine) bool {
	status := s.statuses[m.Pool]
	since, ok := s.cordons[m.Pool].since[m.Name]
	return ok && status.Cordons >= since && slices.Contains(status.Empty, m.Name)
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
func (s *Service) writeCordons(ctx context.Context, machines []services.Machine, cordon, leave map[string]bool) {
	next := make(map[string]jobrecord.CordonRecord)
	for _, m := range machines {
		r := next[m.Pool]
		if cordon[m.Name] {
			r.Machines = append(r.Machines, m.Name)
		}
		if leave[m.Name] {
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
		// All records are read again before the next decision.
		s.version = 0
		return
	}
	s.cordons[pool] = old.next(next, version)
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
	if !s.mayOrder(now) {
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
