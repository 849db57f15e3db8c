// Package jobs is the service that records, schedules and ends jobs on workers.
//
// The methods for callers read and write rows themselves. The duty
// jobs.schedule owns all scheduling state and performs no I/O; the identical
// duties jobs.tasks make its calls to the platform and to workers and post the
// outcomes back. The duty jobs.expire deletes the rows of jobs that ended long
// ago.
package jobs

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/kernel"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

// Config holds the settings of the service; zero values select the defaults.
type Config struct {
	Clock      services.Clock
	HTTPClient connect.HTTPClient
	// TaskLease is how long a worker runs a task without a renewal.
	TaskLease time.Duration
	// MaxPollInterval is the longest time between two calls to a worker that
	// runs tasks.
	MaxPollInterval time.Duration
	// ScheduleLease is how long a schedule row must stay unchanged before
	// another host may take over the queue.
	ScheduleLease         time.Duration
	ScheduleRenewInterval time.Duration
	// IndexScanInterval is the time between two scans of a queue's open jobs.
	IndexScanInterval time.Duration
	// UrgentScanInterval is the same for queues of the class urgent. It is the
	// largest part of the time from a submission at another host to the start.
	UrgentScanInterval time.Duration
	// TickInterval is the time between two rounds of scheduling.
	TickInterval time.Duration
	// WorkerTimeout bounds one call to a worker.
	WorkerTimeout time.Duration
	// EndedRetention is how long the row of a job is kept after its end.
	EndedRetention time.Duration
	// TaskDuties is the number of jobs.tasks duties that carry out calls.
	TaskDuties int
}

// Defaults of Config.
const (
	defaultTaskLease             = 30 * time.Second
	defaultMaxPollInterval       = 10 * time.Second
	defaultScheduleLease         = 15 * time.Second
	defaultScheduleRenewInterval = 5 * time.Second
	defaultIndexScanInterval     = 2 * time.Second
	defaultUrgentScanInterval    = 500 * time.Millisecond
	defaultTickInterval          = 250 * time.Millisecond
	defaultWorkerTimeout         = 3 * time.Second
	defaultEndedRetention        = 7 * 24 * time.Hour
	defaultTaskDuties            = 16
)

// leaseMargin covers the drift between two clocks over one lease.
const leaseMargin = 5 * time.Second

// Capacities of the rings.
const (
	scheduleRingCapacity = 512
	tasksRingCapacity    = 256
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = time.Now
	}
	if c.HTTPClient == nil {
		c.HTTPClient = http.DefaultClient
	}
	for _, setting := range []struct {
		value    *time.Duration
		fallback time.Duration
	}{
		{&c.TaskLease, defaultTaskLease},
		{&c.MaxPollInterval, defaultMaxPollInterval},
		{&c.ScheduleLease, defaultScheduleLease},
		{&c.ScheduleRenewInterval, defaultScheduleRenewInterval},
		{&c.IndexScanInterval, defaultIndexScanInterval},
		{&c.UrgentScanInterval, defaultUrgentScanInterval},
		{&c.TickInterval, defaultTickInterval},
		{&c.WorkerTimeout, defaultWorkerTimeout},
		{&c.EndedRetention, defaultEndedRetention},
	} {
		if *setting.value == 0 {
			*setting.value = setting.fallback
		}
	}
	if c.TaskDuties == 0 {
		c.TaskDuties = defaultTaskDuties
	}
	return c
}

// Service implements services.Jobs.
type Service struct {
	config      Config
	log         zerolog.Logger
	scope       tally.Scope
	platform    services.Platform
	state       services.State
	hosts       services.Hosts
	membership  services.Membership
	rights      services.Rights
	jobRights   services.JobRights
	maintenance services.Maintenance
	freedRights services.FreedRing
	events      *ring.Ring[event]
	calls       *ring.Ring[call]
}

// event is a message to jobs.schedule.
type event interface{ handle(*scheduler) }

// call is a message to jobs.tasks; its outcome is posted to jobs.schedule.
type call interface {
	run(context.Context, *Service) event
}

// New returns the service.
func New(config Config) *Service { return &Service{config: config.withDefaults()} }

// Provision looks up the services that jobs depends on and registers duties.
func (s *Service) Provision(c *kernel.Context) error {
	s.log, s.scope = c.Log, c.Scope
	var err error
	if s.platform, err = kernel.Lookup[services.Platform](c, services.NamePlatform); err != nil {
		return err
	}
	if s.state, err = kernel.Lookup[services.State](c, services.NameState); err != nil {
		return err
	}
	if s.hosts, err = kernel.Lookup[services.Hosts](c, services.NameHosts); err != nil {
		return err
	}
	if s.membership, err = kernel.Lookup[services.Membership](c, services.NameMembership); err != nil {
		return err
	}
	if s.rights, err = kernel.Lookup[services.Rights](c, services.NameRights); err != nil {
		return err
	}
	if s.jobRights, err = kernel.Lookup[services.JobRights](c, services.NameRights); err != nil {
		return err
	}
	if s.maintenance, err = kernel.Lookup[services.Maintenance](c, services.NameMaintenance); err != nil {
		return err
	}
	s.freedRights = s.rights.WatchFreedRights("jobs.freed")
	s.events = ring.New[event]("jobs.schedule", scheduleRingCapacity, c.Scope)
	s.calls = ring.New[call]("jobs.tasks", tasksRingCapacity, c.Scope)
	c.AddDuty("jobs.schedule", func(ctx context.Context) { newScheduler(s).run(ctx) })
	c.AddDuty("jobs.freed", s.forwardFreedRights)
	c.AddDuty("jobs.expire", s.expire)
	for range s.config.TaskDuties {
		c.AddDuty("jobs.tasks", s.runCalls)
	}
	return nil
}

// Drain hands the schedule leases of this host to others: it starts no more
// jobs and waits until commits in flight are finished.
func (s *Service) Drain(ctx context.Context) error {
	done := ring.Reply[struct{}]()
	if err := s.events.Put(ctx, drainRequest{done}); err != nil {
		return err
	}
	_, err := done.Take(ctx)
	return err
}

// runCalls carries out calls. Putting an outcome may block, because
// jobs.schedule never waits for jobs.tasks.
func (s *Service) runCalls(ctx context.Context) {
	for {
		c, err := s.calls.Take(ctx)
		if err != nil {
			return
		}
		if e := c.run(ctx, s); e != nil {
			_ = s.events.Put(ctx, e)
		}
	}
}

// forwardFreedRights tells jobs.schedule which teams got a right back.
func (s *Service) forwardFreedRights(ctx context.Context) {
	for {
		select {
		case team := <-s.freedRights.C():
			_ = s.events.Put(ctx, rightFreed{team})
		case <-ctx.Done():
			return
		}
	}
}

// notifyQueueChanged requests an early scan of a queue; the next regular scan
// makes up for a lost notification.
func (s *Service) notifyQueueChanged(queue string) { s.events.Offer(queueChanged{queue}) }

func (s *Service) countRefused(step string, reason fault.Reason) {
	s.scope.Tagged(map[string]string{"step": step, "reason": string(reason)}).Counter("refused_total").Inc(1)
}

func (s *Service) countRetried(step string, reason fault.Reason) {
	s.scope.Tagged(map[string]string{"step": step, "reason": string(reason)}).Counter("retried_total").Inc(1)
}

// reportBadWorker asks the maintenance service to take a worker out of service.
type reportBadWorker struct{ worker string }

func (r reportBadWorker) run(ctx context.Context, s *Service) event {
	id := "jobs-bad-worker-" + r.worker
	if _, err := s.maintenance.Drain(ctx, id, r.worker, budget.CauseFailed); err != nil {
		s.log.Warn().Err(err).Str("step", "report-bad-worker").Str("peer", r.worker).Msg("failing worker could not be drained for maintenance")
	}
	return nil
}
