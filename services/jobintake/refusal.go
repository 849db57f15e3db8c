package jobintake

import (
	"encoding/json"
	"time"

	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/waitestimate"
	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// earlyRefusal is what early refusal needs beside the rest of the service. It is empty if
// that is off.
type earlyRefusal struct {
	summaries  services.PoolSummaries
	hysteresis hysteresis
	cleanup    cleanup
	decisions  tally.Scope
	onTime     tally.Counter
	summaryAge tally.Histogram
}

// provisionEarlyRefusal looks up and makes what early refusal needs.
func (s *Service) provisionEarlyRefusal(c *kernel.Context) error {
	var err error
	if s.early.summaries, err = kernel.Lookup[services.PoolSummaries](c, services.NameOwnership); err != nil {
		return err
	}
	s.makeEarlyRefusal(c.Scope)
	c.AddRestartableDuty("jobdesk.refusals", s.early.hysteresis.run)
	c.AddRestartableDuty("jobdesk.cleanup", s.early.cleanup.run)
	return nil
}

func (s *Service) makeEarlyRefusal(scope tally.Scope) {
	e := &s.early
	e.hysteresis.rings(s.clock, scope)
	e.cleanup = cleanup{clock: s.clock, log: s.log, records: s.records, changes: ring.New[rowChange]("jobdesk.cleanup", cleanupRingCapacity, scope)}
	e.decisions = scope
	e.onTime = scope.Counter("refused_on_time_at_return_total")
	e.summaryAge = scope.Histogram("pool_summary_age_seconds", tally.MustMakeExponentialDurationBuckets(50*time.Millisecond, 2, 9))
}

// refusedRow is what is known of the record of a job's refusals. Version zero stands for
// none.
type refusedRow struct {
	key     services.RecordKey
	version int64
	firstAt time.Time
	count   int
}

// refusedRowOf returns the record of refusals among those of a failed condition.
func (s *Service) refusedRowOf(current []services.Record, id string) refusedRow {
	row := refusedRow{key: jobrecord.RefusedKey(id)}
	for i := range current {
		r := &current[i]
		if r.RecordKey != row.key || r.Version == 0 {
			continue
		}
		var record jobrecord.RefusalRecord
		if err := json.Unmarshal(r.Value, &record); err != nil {
			s.log.Error().Err(err).Str("job", id).Msg("record of a refusal cannot be decoded; the job counts as refused now")
			record = jobrecord.RefusalRecord{FirstMs: s.clock().UnixMilli()}
		}
		row.version, row.firstAt, row.count = r.Version, time.UnixMilli(record.FirstMs), record.Count
	}
	return row
}

// refusalWrite records one more refusal. It always changes the version of the record, so
// that a submission that has read the present one cannot take effect after the refusal.
func (s *Service) refusalWrite(earlier *refusedRow) (services.RecordWrite, error) {
	if earlier.version == 0 {
		earlier.firstAt = s.clock()
	}
	value, err := json.Marshal(jobrecord.RefusalRecord{FirstMs: earlier.firstAt.UnixMilli(), Count: earlier.count + 1})
	if err != nil {
		return services.RecordWrite{}, fault.New(&fault.NotRun, fault.ReasonMalformed, "encode refusal", "", "%w", err)
	}
	return services.RecordWrite{RecordKey: earlier.key, Value: value}, nil
}

// decide decides whether the job is refused, and notes the estimate of one that is not.
func (s *Service) decide(q *catalog.Queue, spec *workload.Spec, earlier *refusedRow) waitestimate.Decision {
	if !s.settings.EarlyRefusal {
		return waitestimate.Decision{}
	}
	job := waitestimate.Job{
		ID: spec.ID, Tenant: spec.Tenant, Queue: q.Name, Priority: q.Priority, SlackFactor: q.SlackFactor, LatencyTarget: q.LatencyTarget,
		Steps: spec.Steps, Scheduled: spec.Times > 0,
	}
	if earlier.version > 0 {
		job.RefusedFor = max(s.clock().Sub(earlier.firstAt), 0)
	}
	d := waitestimate.Decide(s.view(q.Service, spec.Tenant), job)
	spec.ExpectedEnd = 0
	if d.Estimated {
		spec.ExpectedEnd = max(d.Estimate.EndsAfter, time.Millisecond)
	}
	s.early.decisions.Tagged(map[string]string{"decision": string(d.Reason)}).Counter("early_refusal_decisions_total").Inc(1)
	return d
}

// view returns what this host knows of a pool's load.
func (s *Service) view(pool, tenant string) waitestimate.View {
	observed := s.early.summaries.ObservedSummary(pool)
	v := waitestimate.View{Summary: observed.Summary, Age: observed.Age, OwnerSilent: s.ownership.SilentOwner(pool) != 0, Refusing: s.early.hysteresis.refusing(pool, tenant)}
	v.StandbyMilliCPU, v.StandbyKnown = s.standby()
	if observed.Summary != nil {
		s.early.summaryAge.RecordDuration(observed.Age)
	}
	return v
}

// standby returns what the standby pools have, and whether that is known.
func (s *Service) standby() (milliCPU int64, known bool) {
	c := s.catalogs.Catalog()
	if c == nil {
		return 0, false
	}
	hasStandby := false
	for _, service := range c.Services {
		hasStandby = hasStandby || service.Standby
	}
	if !hasStandby {
		return 0, true
	}
	observed := s.early.summaries.ObservedSummary(services.MachineManagementPool)
	if observed.Summary == nil || observed.Age > waitestimate.MaxSummaryAge || s.ownership.SilentOwner(services.MachineManagementPool) != 0 {
		return 0, false
	}
	return observed.Summary.StandbyMilliCPU, true
}

// refused notes a refusal that is recorded and returns the error for the caller.
func (s *Service) refused(q *catalog.Queue, spec *workload.Spec, d *waitestimate.Decision, row *refusedRow) error {
	reason := fault.ReasonWithoutValue
	if d.Reason == waitestimate.BeyondShareLate {
		reason = fault.ReasonBeyondShare
	}
	s.metrics.CountRefusal("submit", reason)
	if d.OnTimeAtReturn {
		s.early.onTime.Inc(1)
	}
	s.early.hysteresis.refused(q.Service, spec.Tenant)
	s.early.cleanup.offer(rowChange{row.key, row.version, s.clock()})
	observed := s.early.summaries.ObservedSummary(q.Service)
	e := &d.Estimate
	s.log.Info().Str("job", spec.ID).Str("queue", q.Name).Str("pool", q.Service).Str("tenant", spec.Tenant).Str("reason", string(reason)).
		Dur("starts_after", e.StartsAfter).Dur("ends_after", e.EndsAfter).Dur("objective", e.Objective).Dur("slack_at_best", e.SlackAtBest).
		Dur("age", observed.Age).Str("owner", observed.Holder).Int("term", observed.Term).Int("refusals", row.count+1).
		Int64("version", row.version).Dur("retry_after", d.RetryAfter).Msg("job refused early")
	err := fault.New(&fault.NotRun, reason, "submit", q.Service, "job %q would end in %v, and has no value after %v", spec.ID, e.EndsAfter, waitestimate.WorthlessFactor*e.Objective)
	return &services.RetryLaterError{Err: err, After: d.RetryAfter}
}

// rowRemoved notes that the record of a job's refusals was removed with its submission.
func (e *earlyRefusal) rowRemoved(row *refusedRow) {
	if e.summaries != nil && row.version > 0 {
		e.cleanup.offer(rowChange{key: row.key})
	}
}
