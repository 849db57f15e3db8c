package jobintake

import (
	"context"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// maxConflicts is how often a submission is tried against refusals that other hosts
// record under its identifier. A client has one call at a time, and up to 5 in all.
const maxConflicts = 5

// Submit implements services.JobIntake. A repeat under the same identifier finds
// the record of the first submission and succeeds, whatever pool that is in.
func (s *Service) Submit(ctx context.Context, q *catalog.Queue, spec *workload.Spec) error {
	start := s.clock()
	defer func() { s.submitLatency.RecordDuration(s.clock().Sub(start)) }()
	spec.SilentOwner = s.ownership.SilentOwner(q.Service)
	recorded, err := s.record(ctx, q, spec)
	log := s.log.Info().Str("job", spec.ID).Str("queue", q.Name).Str("tenant", spec.Tenant).Int64("silent_owner", spec.SilentOwner).Dur("took", s.clock().Sub(start))
	if err != nil {
		log.Str("pool", q.Service).Err(err).Msg("job refused")
		return err
	}
	if spec.ExpectedEnd > 0 {
		log.Dur("expected_end", spec.ExpectedEnd)
	}
	log.Str("pool", recorded.pool).Int64("version", recorded.version).Bool("repeat", recorded.repeat).Msg("job accepted")
	return nil
}

// recordedJob is where a job is recorded.
type recordedJob struct {
	pool    string
	version int64
	// repeat is set if an earlier submission recorded it.
	repeat bool
}

// record records the job, or its refusal. Either write requires that the records of the
// identifier are as they were read, so that no other write under it, also one that is
// carried out later, takes effect beside it.
func (s *Service) record(ctx context.Context, q *catalog.Queue, spec *workload.Spec) (recordedJob, error) {
	earlier := refusedRow{key: jobrecord.RefusedKey(spec.ID)}
	// A transaction without an answer may be carried out after the record that keeps it from
	// taking effect was removed, unless this call confirms a refusal of its own.
	unanswered := false
	for range maxConflicts {
		decision := s.decide(q, spec, &earlier)
		tx, err := s.transaction(q, spec, &earlier, decision.Refuse)
		if err != nil {
			return recordedJob{}, err
		}
		commit, err := s.commit(ctx, tx, "submit", &unanswered)
		switch {
		case err != nil:
			return recordedJob{}, err
		case commit.Committed && decision.Refuse:
			earlier.version = commit.Version
			return recordedJob{}, s.refused(q, spec, &decision, &earlier)
		case commit.Committed:
			s.early.rowRemoved(&earlier)
			return recordedJob{pool: q.Service, version: commit.Version}, nil
		}
		if found, ok := recordedIn(commit.Current, spec.ID); ok {
			return found, nil
		}
		earlier = s.refusedRowOf(commit.Current, spec.ID)
	}
	return recordedJob{}, fault.New(&fault.Unknown, fault.ReasonConflict, "submit", "", "job %q: other hosts changed the record of its refusal %d times", spec.ID, maxConflicts)
}

// transaction returns what records the job, or its refusal. It requires that the job is not
// recorded, and that the record of refusals is the one known.
func (s *Service) transaction(q *catalog.Queue, spec *workload.Spec, earlier *refusedRow, refuse bool) (services.RecordTx, error) {
	idKey := jobrecord.IDKey(spec.ID)
	tx := services.RecordTx{Conditions: []services.RecordCondition{{RecordKey: idKey}, {RecordKey: earlier.key, Version: earlier.version}}}
	if refuse {
		write, err := s.refusalWrite(earlier)
		tx.Writes = append(tx.Writes, write)
		return tx, err
	}
	value, err := encodeSpec(spec)
	if err != nil {
		return tx, err
	}
	// The identifier is taken in the transaction that records the job, because another
	// version of the configuration may send its queue to another pool.
	tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: idKey, Value: []byte(q.Service)}, services.RecordWrite{RecordKey: jobrecord.JobKey(q.Service, spec.ID), Value: value})
	if earlier.version > 0 {
		tx.Writes = append(tx.Writes, services.RecordWrite{RecordKey: earlier.key, Delete: true})
	}
	return tx, nil
}

func encodeSpec(spec *workload.Spec) ([]byte, error) {
	value, err := jobrecord.EncodeSpec(spec)
	if err != nil {
		return nil, fault.New(&fault.Invalid, fault.ReasonMalformed, "encode job", "", "job %q: %w", spec.ID, err)
	}
	if len(value) > jobrecord.MaxRecordBytes {
		return nil, fault.New(&fault.Invalid, fault.ReasonBodyTooLarge, "encode job", "", "job %q: its record has %d bytes; want at most %d", spec.ID, len(value), jobrecord.MaxRecordBytes)
	}
	return value, nil
}

// recordedIn returns where the records of a failed condition show that a job is.
func recordedIn(current []services.Record, id string) (recordedJob, bool) {
	for i := range current {
		if r := &current[i]; r.RecordKey == jobrecord.IDKey(id) && r.Version > 0 {
			return recordedJob{pool: string(r.Value), repeat: true}, true
		}
	}
	return recordedJob{}, false
}

// commit retries until the store answers, within the caller's deadline. The
// error says whether any attempt may have taken effect. unanswered tells so of earlier
// transactions of the same call, and is set if this one had an attempt without an answer.
func (s *Service) commit(ctx context.Context, tx services.RecordTx, step string, unanswered *bool) (services.RecordCommit, error) {
	start := s.clock()
	for {
		commit, err := s.records.Commit(ctx, tx)
		if err == nil {
			return commit, nil
		}
		*unanswered = *unanswered || !fault.IsNotRun(err)
		reason := fault.ReasonOf(err)
		if !*unanswered && s.clock().Sub(start) > retryWindow {
			return commit, err
		}
		if !s.hasTimeLeft(ctx) || !services.Sleep(ctx, retryDelay) {
			if *unanswered {
				return commit, fault.New(&fault.Unknown, reason, step, "", "%w", err)
			}
			return commit, err
		}
		s.metrics.CountRetry(step, reason)
	}
}
