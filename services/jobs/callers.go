package jobs

import (
	"context"
	"encoding/json"
	"errors"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

var _ services.Jobs = (*Service)(nil)

// scanPageSize is the largest number of index rows read by one scan.
const scanPageSize = 500

// maxCancelAttempts bounds the attempts to cancel a job whose row keeps
// changing.
const maxCancelAttempts = 8

// Submit implements services.Jobs.
func (s *Service) Submit(ctx context.Context, team, id string, spec services.JobSpec) (services.JobStatus, error) {
	status, err := s.submit(ctx, team, id, spec)
	if err != nil {
		s.countRefused("submit-job", fault.ReasonOf(err))
	}
	return status, err
}

func (s *Service) submit(ctx context.Context, team, id string, spec services.JobSpec) (services.JobStatus, error) {
	const step = "submit-job"
	if err := s.checkQueue(step, team, spec); err != nil {
		return services.JobStatus{}, err
	}
	hash := specHash(spec)
	r := &row{
		Record:      job.Submit(team, id, spec.Queue, hash, spec.Idempotent),
		Declared:    spec.Resources,
		DeclaredRun: spec.DeclaredRun,
		Payload:     spec.Payload,
		Submitted:   s.config.Clock(),
	}
	if len(spec.Payload) > maxRowPayloadBytes {
		r.Payload = nil
		r.PayloadObject = payloadPrefix + r.name() + "/" + hash
		if err := s.platform.PutObject(ctx, r.PayloadObject, spec.Payload); err != nil {
			// The row is not written, even if the object was stored.
			return services.JobStatus{}, fault.New(&fault.NotRun, fault.ReasonOf(err), step, "platform", "store payload: %w", err)
		}
	}
	key := jobKey(r.name())
	result, err := s.platform.Commit(ctx, services.Transaction{
		Conditions: []services.Condition{{Key: key}},
		Writes: []services.Write{
			{Key: key, Value: encode(r)},
			{Key: openKey(r.Queue, r.name()), Value: encode(openRow{})},
		},
	})
	if err != nil {
		return services.JobStatus{}, err
	}
	if !result.Committed {
		return resolveRepeat(result, hash, step)
	}
	s.notifyQueueChanged(r.Queue)
	return r.status(), nil
}

func resolveRepeat(result services.CommitResult, hash, step string) (services.JobStatus, error) {
	if len(result.Current) == 0 {
		return services.JobStatus{}, fault.New(&fault.Unknown, fault.ReasonInternal, step, "platform", "commit refused, but the reply names no conflicting row")
	}
	r, err := decodeRow(result.Current[0], step)
	if err != nil {
		return services.JobStatus{}, err
	}
	if !job.Repeats(r.Record, hash) {
		return services.JobStatus{}, fault.New(&fault.NotRun, fault.ReasonConflict, step, "", "identifier %q belongs to another job", r.ID)
	}
	return r.status(), nil
}

// checkQueue rejects a specification whose queue is unknown, belongs to another
// team or has no pool of workers, or whose resources are negative.
func (s *Service) checkQueue(step, team string, spec services.JobSpec) error {
	view := s.state.View()
	if view == nil || view.Document == nil {
		return fault.New(&fault.NotRun, fault.ReasonNoState, step, "", "no configuration document received yet")
	}
	q, known := view.Document.Queue(spec.Queue)
	if pool, _ := view.Document.Pool(q.Pool); !known || pool.Kind != fleet.KindWorker {
		return fault.New(&fault.Invalid, fault.ReasonUnknownQueue, step, "", "queue %q does not exist or has no pool of workers", spec.Queue)
	}
	if q.Team != team {
		return fault.New(&fault.NotRun, fault.ReasonWrongTeam, step, "", "queue %q does not belong to team %q", spec.Queue, team)
	}
	if r := spec.Resources; r.MilliCPU < 0 || r.MemoryBytes < 0 || r.Accelerators < 0 {
		return fault.New(&fault.Invalid, fault.ReasonMalformed, step, "", "negative resources: %d milli-CPU, %d bytes of memory, %d accelerators",
			r.MilliCPU, r.MemoryBytes, r.Accelerators)
	}
	return nil
}

func decodeRow(r services.Row, step string) (*row, error) {
	out := &row{}
	if err := json.Unmarshal(r.Value, out); err != nil {
		return nil, fault.New(&fault.Unknown, fault.ReasonInternal, step, "platform", "decode row %s: %w", r.Key, err)
	}
	return out, nil
}

func (s *Service) readJob(ctx context.Context, team, id, step string) (*row, uint64, error) {
	rows, err := s.platform.Get(ctx, jobKey(jobName(team, id)))
	if err != nil {
		return nil, 0, err
	}
	if len(rows) == 0 || rows[0].Version == 0 {
		return nil, 0, fault.New(&fault.NotRun, fault.ReasonUnknownJob, step, "", "team %q has no job %q", team, id)
	}
	r, err := decodeRow(rows[0], step)
	return r, rows[0].Version, err
}

// Status implements services.Jobs.
func (s *Service) Status(ctx context.Context, team, id string) (services.JobStatus, error) {
	r, _, err := s.readJob(ctx, team, id, "job-status")
	if err != nil {
		return services.JobStatus{}, err
	}
	return r.status(), nil
}

// Result implements services.Jobs.
func (s *Service) Result(ctx context.Context, team, id string) ([]byte, bool, error) {
	r, _, err := s.readJob(ctx, team, id, "job-result")
	if err != nil || r.State != job.Done {
		return nil, false, err
	}
	if r.ResultObject == "" {
		return nil, true, nil
	}
	return s.platform.GetObject(ctx, r.ResultObject)
}

// Cancel implements services.Jobs. A queued job ends at once; a job that may be
// running is stopped by its scheduler.
func (s *Service) Cancel(ctx context.Context, team, id string) (services.JobStatus, error) {
	const step = "cancel-job"
	for range maxCancelAttempts {
		r, version, err := s.readJob(ctx, team, id, step)
		if err != nil {
			return services.JobStatus{}, err
		}
		next := *r
		var outcome job.TransitionResult
		next.Record, outcome = job.Cancel(r.Record)
		if !outcome.Changed {
			return r.status(), nil
		}
		next = next.withEndedAt(r, s.config.Clock())
		result, err := s.platform.Commit(ctx, updateTransaction(r, &next, version))
		if err != nil {
			return services.JobStatus{}, err
		}
		if result.Committed {
			s.notifyQueueChanged(r.Queue)
			return next.status(), nil
		}
		s.countRetried(step, fault.ReasonConflict)
	}
	return services.JobStatus{}, fault.New(&fault.NotRun, fault.ReasonConflict, step, "platform", "job %q not cancelled: its row changed during each of %d attempts", id, maxCancelAttempts)
}

// List implements services.Jobs. It returns jobs that have not ended.
func (s *Service) List(ctx context.Context, queue string, limit int) ([]services.JobStatus, error) {
	prefix := openQueuePrefix(queue)
	index, _, err := s.platform.Scan(ctx, prefix, "", min(max(limit, 1), scanPageSize))
	if err != nil {
		return nil, err
	}
	keys := make([]string, len(index))
	for i, open := range index {
		keys[i] = jobKey(open.Key[len(prefix):])
	}
	if len(keys) == 0 {
		return nil, nil
	}
	rows, err := s.platform.Get(ctx, keys...)
	if err != nil {
		return nil, err
	}
	var out []services.JobStatus
	var errs []error
	for _, raw := range rows {
		if raw.Version == 0 {
			continue
		}
		r, err := decodeRow(raw, "list-jobs")
		if err != nil {
			errs = append(errs, err)
			continue
		}
		out = append(out, r.status())
	}
	return out, errors.Join(errs...)
}
