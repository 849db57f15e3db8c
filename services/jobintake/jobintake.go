// Package jobintake is the service that records callers' jobs and cancellations
// and reports the state of jobs. Every answer comes from the platform's store, so that
// all hosts give the same one. Its calls run on the callers' goroutines. Two duties, which
// run only with early refusal, own what it remembers of refusals.
package jobintake

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

const (
	// retryWindow is how long a read, or a job that is certainly not recorded,
	// is retried before it is refused. A quarter of the shortest latency target
	// of the deployments is 150 ms.
	retryWindow = 120 * time.Millisecond
	// retryDelay is the pause between attempts.
	retryDelay = 30 * time.Millisecond
	// maxStoreSilence is how long the store may go without answering before
	// this host stops accepting clients. A lost answer is followed by another
	// call within 200 ms.
	maxStoreSilence = 300 * time.Millisecond
	// answerMargin is the part of a caller's time reserved for the answer.
	answerMargin = 150 * time.Millisecond
)

// Settings configures the service.
type Settings struct {
	// EarlyRefusal is set if jobs are refused that could not end while they have value.
	EarlyRefusal bool
}

// Service implements services.JobIntake.
type Service struct {
	settings      Settings
	clock         services.Clock
	log           zerolog.Logger
	records       services.Records
	storeHealth   services.StoreHealth
	catalogs      services.Catalogs
	ownership     services.Ownership
	metrics       services.Metrics
	submitLatency tally.Histogram
	stateLatency  tally.Histogram
	early         earlyRefusal
}

// New returns the service.
func New(s Settings, clock services.Clock) *Service {
	return &Service{settings: s, clock: clock}
}

// Provision implements kernel.Service.
func (s *Service) Provision(c *kernel.Context) error {
	s.log = c.Log
	buckets := tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 13)
	s.submitLatency = c.Scope.Histogram("job_submit_seconds", buckets)
	s.stateLatency = c.Scope.Histogram("job_state_seconds", buckets)
	var err error
	if s.records, err = kernel.Lookup[services.Records](c, services.NamePlatform); err != nil {
		return err
	}
	if s.storeHealth, err = kernel.Lookup[services.StoreHealth](c, services.NamePlatform); err != nil {
		return err
	}
	if s.catalogs, err = kernel.Lookup[services.Catalogs](c, services.NameCatalog); err != nil {
		return err
	}
	if s.ownership, err = kernel.Lookup[services.Ownership](c, services.NameOwnership); err != nil {
		return err
	}
	if s.metrics, err = kernel.Lookup[services.Metrics](c, services.NameMetrics); err != nil || !s.settings.EarlyRefusal {
		return err
	}
	return s.provisionEarlyRefusal(c)
}

// Ready implements services.JobIntake. A host that cannot reach the store can
// neither record a job nor look up its state; another host may be able to.
func (s *Service) Ready() bool { return s.storeHealth.UnreachableFor() < maxStoreSilence }

// hasTimeLeft reports whether the caller's deadline allows another attempt.
func (s *Service) hasTimeLeft(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return !ok || deadline.Sub(s.clock()) > answerMargin
}

// job is what the store records of a job.
type job struct {
	pool      string
	state     workload.State
	cancelled bool
}

// findJob looks a job up in the pool of its queue, and then in the pool that recorded
// it, because the queue may have had another one then, which the configuration need not
// have any more.
func (s *Service) findJob(ctx context.Context, q *catalog.Queue, id string) (*job, error) {
	found, err := s.findJobInPool(ctx, q.Service, id)
	if found != nil || err != nil {
		return found, err
	}
	key := jobrecord.IDKey(id)
	records, err := s.scan(ctx, services.RecordRange{Table: key.Table, Part: key.Part, From: key.Key, Limit: 1})
	if err != nil || len(records) == 0 || records[0].Key != key.Key {
		return nil, err
	}
	return s.findJobInPool(ctx, string(records[0].Value), id)
}

func (s *Service) findJobInPool(ctx context.Context, pool, id string) (*job, error) {
	j := &job{pool: pool}
	hasProgress, err := s.readProgress(ctx, j, id)
	if err != nil || j.state.Ended() {
		return j, err
	}
	records, err := s.scan(ctx, jobrecord.JobRange(pool, id))
	if err != nil || len(records) == 0 && !hasProgress {
		return nil, err
	}
	for i := range records {
		if _, kind := jobrecord.ParseKey(records[i].Key); kind == jobrecord.KindCancel {
			j.cancelled = true
		}
	}
	if j.state != workload.Queued || j.cancelled {
		return j, nil
	}
	status, err := s.poolStatus(ctx, pool)
	if err != nil {
		return nil, err
	}
	if slices.Contains(status.StartedUnrecorded, id) {
		j.state = workload.Running
	}
	return j, nil
}

// readProgress reports whether there is recorded progress of the job.
func (s *Service) readProgress(ctx context.Context, j *job, id string) (bool, error) {
	r := jobrecord.ProgressRange(j.pool, id)
	r.Limit = 1
	records, err := s.scan(ctx, r)
	if err != nil || len(records) == 0 {
		return false, err
	}
	p, err := jobrecord.DecodeProgress(id, records[0].Value)
	if err != nil {
		return false, fault.New(&fault.NotRun, fault.ReasonMalformed, "read progress", j.pool, "%w", err)
	}
	j.state = p.State
	return true, nil
}

// scan reads a range and retries within retryWindow if the store fails.
func (s *Service) scan(ctx context.Context, r services.RecordRange) ([]services.Record, error) {
	start := s.clock()
	for {
		page, err := s.records.Scan(ctx, r)
		if err == nil {
			return page.Records, nil
		}
		if s.clock().Sub(start) > retryWindow || !s.hasTimeLeft(ctx) || !services.Sleep(ctx, retryDelay) {
			return nil, err
		}
		s.metrics.CountRetry("scan", fault.ReasonOf(err))
	}
}

func (s *Service) poolStatus(ctx context.Context, pool string) (jobrecord.StatusRecord, error) {
	var status jobrecord.StatusRecord
	key := jobrecord.StatusKey(pool)
	records, err := s.scan(ctx, services.RecordRange{Table: key.Table, Part: key.Part, From: key.Key, Limit: 1})
	if err != nil || len(records) == 0 || records[0].Key != key.Key {
		return status, err
	}
	if err := json.Unmarshal(records[0].Value, &status); err != nil {
		return status, fault.New(&fault.NotRun, fault.ReasonMalformed, "read status", pool, "%w", err)
	}
	return status, nil
}

// State implements services.JobIntake.
func (s *Service) State(ctx context.Context, q *catalog.Queue, tenant, id string) (workload.State, bool, error) {
	start := s.clock()
	defer func() { s.stateLatency.RecordDuration(s.clock().Sub(start)) }()
	j, err := s.findJob(ctx, q, id)
	if err != nil || j == nil {
		return 0, false, err
	}
	if j.cancelled && !j.state.Ended() {
		return workload.Cancelled, true, nil
	}
	return j.state, true, nil
}

// Cancel implements services.JobIntake.
func (s *Service) Cancel(ctx context.Context, q *catalog.Queue, tenant, id string) (bool, error) {
	j, err := s.findJob(ctx, q, id)
	if err != nil || j == nil {
		return false, err
	}
	if j.cancelled || j.state.Ended() {
		return true, nil
	}
	tx := services.RecordTx{Writes: []services.RecordWrite{{RecordKey: jobrecord.CancelKey(j.pool, id), Value: []byte("{}")}}}
	commit, err := s.commit(ctx, tx, "cancel", new(bool))
	if err != nil {
		s.log.Info().Err(err).Str("job", id).Str("queue", q.Name).Msg("cancellation not recorded")
		return true, err
	}
	s.log.Info().Str("job", id).Str("queue", q.Name).Int64("version", commit.Version).Msg("job cancelled")
	return true, nil
}

// recordedSince returns the number of the queue's jobs that were recorded since a status
// of its pool, if the owner that published it has fallen silent or been replaced. None of
// them can be in a status before the next owner has read the pool, and owners may end one
// after the other.
func (s *Service) recordedSince(ctx context.Context, q *catalog.Queue, status *services.Record) int {
	var published jobrecord.StatusRecord
	if err := json.Unmarshal(status.Value, &published); err != nil {
		// The caller refuses such a status.
		return 0
	}
	if s.ownership.SilentOwner(q.Service) == 0 && s.ownership.OwnerTerm(q.Service) <= published.Term {
		return 0
	}
	changes, err := s.records.Changes(ctx, jobrecord.TableJobs(q.Service), status.Version, 0)
	if err != nil || changes.VersionExpired {
		s.log.Debug().Err(err).Str("queue", q.Name).Str("pool", q.Service).Int64("version", status.Version).Msg("jobs recorded since the pool's status are not known; pending is without them")
		return 0
	}
	c, jobs := s.catalogs.Catalog(), 0
	for i := range changes.Records {
		id, kind := jobrecord.ParseKey(changes.Records[i].Key)
		if kind != jobrecord.KindJob || changes.Records[i].Removed {
			continue
		}
		spec, err := jobrecord.DecodeSpec(id, changes.Records[i].Value)
		if err != nil || spec.Ended {
			continue
		}
		if now, ok := c.QueueOf(&spec.Queue); ok && now.Name == q.Name {
			jobs++
		}
	}
	return jobs
}

// Pending implements services.JobIntake. Jobs count that were accepted when the queue
// had another name, or was served by another pool.
func (s *Service) Pending(ctx context.Context, q *catalog.Queue) (int, error) {
	records, err := s.scan(ctx, jobrecord.StatusRange(q.Service))
	if err != nil {
		return 0, err
	}
	c, jobs := s.catalogs.Catalog(), 0
	for i := range records {
		if records[i].RecordKey == jobrecord.StatusKey(q.Service) {
			jobs += s.recordedSince(ctx, q, &records[i])
		}
		// A MovedRecord has the fields of a StatusRecord that matter here.
		var record jobrecord.PendingRecord
		if err := json.Unmarshal(records[i].Value, &record); err != nil {
			return 0, fault.New(&fault.NotRun, fault.ReasonMalformed, "read status", records[i].Part+"/"+records[i].Key, "%w", err)
		}
		jobs += record.JobsOf(c, q.Name)
	}
	return jobs, nil
}
