package upkeep

import (
	"context"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/upkeep"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// waveState is the progress of one wave.
type waveState struct {
	// firstSeen is when an owner first saw the wave, by the clock of this process;
	// firstSeenMs is the same by the store's clock, in milliseconds.
	firstSeen   time.Time
	firstSeenMs int64
	// begun has the machines whose maintenance order was accepted.
	begun         map[string]bool
	completed     bool
	version       int64
	loaded        bool
	reportedState string
}

// loadWaves reads the progress of waves that this process has not loaded.
func (s *Service) loadWaves(ctx context.Context, now time.Time) {
	for _, w := range s.catalogs.Waves() {
		state := s.waves[w.Number]
		if state == nil {
			state = &waveState{firstSeen: now, begun: make(map[string]bool)}
			s.waves[w.Number] = state
		}
		if !state.loaded {
			s.loadWave(ctx, now, w.Number, state)
		}
	}
}

// loadWave reads the progress of a wave. The first owner that sees the wave
// records when, because the deadline counts from then for later owners too.
func (s *Service) loadWave(ctx context.Context, now time.Time, number int, state *waveState) {
	record, version, clock, err := readRecordAndClock[jobrecord.WaveRecord](ctx, s.records, jobrecord.WaveKey(number))
	if err != nil {
		s.log.Debug().Err(err).Int("wave", number).Msg("progress of the wave not read; the wave waits")
		return
	}
	for _, m := range record.Done {
		state.begun[m] = true
	}
	state.completed, state.version, state.loaded = record.Completed, version, true
	if version == 0 {
		state.firstSeenMs = clock.Milliseconds()
		s.saveWave(ctx, number)
		return
	}
	state.firstSeenMs = record.FirstSeenMs
	state.firstSeen = now.Add(time.Duration(record.FirstSeenMs)*time.Millisecond - clock)
}

func (s *Service) incompleteWaves() []upkeep.Wave {
	var waves []upkeep.Wave
	for _, w := range s.catalogs.Waves() {
		state := s.waves[w.Number]
		if state == nil || !state.loaded || state.completed {
			continue
		}
		waves = append(waves, upkeep.Wave{
			Number: w.Number, MaxDown: w.MaxDown, Deadline: state.firstSeen.Add(w.Duration), Machines: w.Machines, Begun: state.begun,
		})
	}
	return waves
}

// orderMaintenance gives the orders for maintenance.
func (s *Service) orderMaintenance(ctx context.Context, now time.Time, orders []upkeep.Order) {
	errs, done := orderEach(ctx, s, orders, func(o upkeep.Order) string { return o.Machine }, func(ctx context.Context, order services.MachineOrder, o upkeep.Order) error {
		return s.machines.MaintainMachine(ctx, order, o.Wave)
	})
	if !done {
		return
	}
	changed := make(map[int]bool)
	for i, o := range orders {
		s.ordersCounter.Inc(1)
		s.log.Info().Err(errs[i]).Str("machine", o.Machine).Int("wave", o.Wave).Int64("fence", s.poolOwnership.FencingToken).Msg("maintenance ordered")
		switch {
		case errs[i] == nil:
			s.waves[o.Wave].begun[o.Machine] = true
			s.maintenanceOrderedAt[o.Machine] = now
			changed[o.Wave] = true
		case !fault.IsNotRun(errs[i]):
			s.maintenanceOrderedAt[o.Machine] = now
		default:
			s.handleRefusedOrder(errs[i])
		}
	}
	for number := range changed {
		s.saveWave(ctx, number)
	}
}

// handleRefusedOrder counts a refused order. If another process owns the
// management of machines by now, it reports the ownership as lost.
func (s *Service) handleRefusedOrder(err error) {
	s.refusedCounter.Inc(1)
	if fault.ReasonOf(err) == fault.ReasonSuperseded {
		s.lostTerm = s.poolOwnership.Term
	}
}

func (s *Service) saveWave(ctx context.Context, number int) {
	state := s.waves[number]
	record := jobrecord.WaveRecord{Done: slices.Sorted(maps.Keys(state.begun)), Completed: state.completed, FirstSeenMs: state.firstSeenMs}
	version, ok := s.replaceRecord(ctx, jobrecord.WaveKey(number), state.version, record)
	if !ok {
		state.loaded = false
		return
	}
	state.version = version
}

// reportWaves reports changed states of the waves to the operator.
func (s *Service) reportWaves(ctx context.Context, completed []int) {
	for _, w := range s.catalogs.Waves() {
		state := s.waves[w.Number]
		if state == nil || !state.loaded {
			continue
		}
		isComplete := state.completed || slices.Contains(completed, w.Number)
		stateName := "running"
		if isComplete {
			stateName = "completed"
		}
		if state.reportedState == stateName {
			continue
		}
		if err := s.operator.ReportWave(ctx, w.Number, isComplete); err != nil {
			s.log.Warn().Err(err).Int("wave", w.Number).Msg("state of the wave not reported; retrying")
			continue
		}
		state.reportedState = stateName
		s.log.Info().Int("wave", w.Number).Str("state", stateName).Int("machines", len(w.Machines)).Dur("age", s.clock().Sub(state.firstSeen)).Msg("wave reported")
		if isComplete && !state.completed {
			state.completed = true
			s.saveWave(ctx, w.Number)
		}
	}
}
