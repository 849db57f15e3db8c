package upkeep

import (
	"context"
	"encoding/json"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/rotation"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// storedRotation is what is known of the rotation of the pools' peaks. It is kept
// in a record, so that a new owner of the machines knows it.
type storedRotation struct {
	rotation *rotation.Rotation
	version  int64
	// clockOffset is the store's clock less this process's at the read.
	clockOffset time.Duration
	loaded      bool
	unsaved     bool
}

// loadRotation reads the rotation once. Without it, machines are moved by the trend
// of the demand alone.
func (s *Service) loadRotation(ctx context.Context, now time.Time) {
	if s.rotation.loaded {
		return
	}
	record, version, clock, err := readRecordAndClock[jobrecord.RotationRecord](ctx, s.records, jobrecord.RotationKey())
	if err != nil {
		s.log.Debug().Err(err).Msg("rotation of the pools not read; retrying")
		return
	}
	offset := clock - time.Duration(now.UnixNano())
	peaks := make([]rotation.Peak, 0, len(record.Peaks))
	for _, p := range record.Peaks {
		start := time.Unix(0, int64(time.Duration(p.StartMs)*time.Millisecond-offset))
		peaks = append(peaks, rotation.Peak{Pool: p.Pool, Start: start, HeightMilliCPU: p.HeightMilliCPU})
	}
	s.rotation = storedRotation{rotation: rotation.Restore(peaks), version: version, clockOffset: offset, loaded: true}
}

// observeRotation adds the demand of a pool to the rotation.
func (s *Service) observeRotation(now time.Time, pool string, demandMilliCPU, usualMilliCPU int64) {
	if !s.rotation.loaded || !s.rotation.rotation.Observe(now, pool, demandMilliCPU, usualMilliCPU) {
		return
	}
	s.rotation.unsaved = true
	peaks := s.rotation.rotation.Peaks()
	last := peaks[len(peaks)-1]
	s.log.Info().Str("pool", pool).Int64("demand", demandMilliCPU).Int64("usual", usualMilliCPU).Int("peaks", len(peaks)).
		Dur("age", now.Sub(last.Start)).Msg("peak of the pool observed")
}

// rotationWrite is a write of the rotation.
type rotationWrite struct {
	value   []byte
	commit  services.RecordCommit
	written bool
}

// prepareRotation returns the write of a changed rotation, or nil.
func (s *Service) prepareRotation() *rotationWrite {
	if !s.rotation.unsaved {
		return nil
	}
	var record jobrecord.RotationRecord
	for _, p := range s.rotation.rotation.Peaks() {
		startMs := (time.Duration(p.Start.UnixNano()) + s.rotation.clockOffset).Milliseconds()
		record.Peaks = append(record.Peaks, jobrecord.PeakRecord{Pool: p.Pool, StartMs: startMs, HeightMilliCPU: p.HeightMilliCPU})
	}
	value, err := json.Marshal(record)
	if err != nil {
		s.log.Error().Err(err).Msg("rotation not written: it cannot be encoded")
		return nil
	}
	return &rotationWrite{value: value}
}

func (w *rotationWrite) perform(ctx context.Context, s *Service) {
	key := jobrecord.RotationKey()
	commit, err := s.records.Commit(ctx, services.RecordTx{
		Conditions: []services.RecordCondition{s.poolOwnership.Condition, {RecordKey: key, Version: s.rotation.version}},
		Writes:     []services.RecordWrite{{RecordKey: key, Value: w.value}},
	})
	w.commit, w.written = commit, err == nil
}

// apply keeps what was learnt if the write failed; a conflict, which an earlier write
// without an answer may have caused, is resolved by the version that the store has.
func (w *rotationWrite) apply(s *Service) {
	switch {
	case !w.written:
	case w.commit.Committed:
		s.rotation.version, s.rotation.unsaved = w.commit.Version, false
	default:
		for i := range w.commit.Current {
			if w.commit.Current[i].RecordKey == jobrecord.RotationKey() {
				s.rotation.version = w.commit.Current[i].Version
			}
		}
	}
}
