package jobs

import (
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// transition applies an event to a job's record. It is applied again if the row
// has changed concurrently.
type transition func(job.Record) (job.Record, job.TransitionResult)

// entry is a job that this host schedules, or that it scheduled earlier and
// whose task lease it may still renew.
type entry struct {
	name    string
	row     row
	version uint64
	readAt  time.Time
	// indexVersion is the version of the index row when last read.
	indexVersion uint64
	// pending are transitions not yet committed; committing is set during one.
	pending    []transition
	committing bool
	retryAt    time.Time
	// taskEnded means that the worker reported that the last task does not run.
	taskEnded bool
	// hasUnboundRight is set while this host has acquired a right that no
	// commit has yet bound to the job.
	hasUnboundRight bool
	// placedToken is the token of the last placement by this host.
	placedToken string
	// starting is set while StartTask is in flight, startSent from then on.
	starting  bool
	startSent bool
	placedAt  time.Time
	// runConfirmed means that the worker reported the task as running. Others
	// are inspected, and unknown tokens forbidden, before renewal.
	runConfirmed bool
	// leaseExtendedAt is when the last call that may have extended the task
	// lease ended.
	leaseExtendedAt time.Time
	stopping        bool
	// nextStop is the earliest time of another stop request after a failed one.
	nextStop        time.Time
	preempting      bool
	throttlePercent int
	// size are the resources allocated to the job; plannedWorker is its worker
	// while the placement is being committed.
	size          fleet.Resources
	plannedWorker string
	peakUsage     fleet.Resources
	resultObject  string
}

// setRow takes over a row that was read. Nothing is known yet about a task that
// another scheduler placed.
func (s *scheduler) setRow(e *entry, r row, version uint64) {
	if r.Token != "" && r.Token != e.row.Token && r.Token != e.placedToken {
		e.leaseExtendedAt = s.now
		e.runConfirmed, e.taskEnded, e.stopping, e.preempting = false, false, false, false
		e.throttlePercent = 0
	}
	if len(r.PossibleRenewers) < len(e.row.PossibleRenewers) {
		// The former holder may have renewed the lease until now.
		e.leaseExtendedAt = s.now
	}
	e.row, e.version = r, version
}

// apply adds a transition and commits it unless another commit is in flight.
func (s *scheduler) apply(e *entry, t transition) {
	e.pending = append(e.pending, t)
	s.commitPending(e)
}

func (s *scheduler) commitPending(e *entry) {
	for len(e.pending) > 0 && !e.committing && !s.now.Before(e.retryAt) {
		next := e.row
		var outcome job.TransitionResult
		next.Record, outcome = e.pending[0](e.row.Record)
		if !outcome.Changed {
			e.pending = e.pending[1:]
			continue
		}
		if next.State == job.Done {
			next.ResultObject = e.resultObject
		}
		next = next.withEndedAt(&e.row, s.now)
		if bindsRight(&e.row, &next) && !e.hasUnboundRight {
			e.pending = e.pending[1:]
			continue
		}
		e.committing = true
		s.commit(commitJob{name: e.name, before: e.row, after: next, version: e.version})
	}
}

// reconcileAll retries pending commits and periodically rereads jobs that
// another host schedules or whose task lease another host may renew.
func (s *scheduler) reconcileAll() {
	var toRead []string
	for _, e := range s.jobs {
		s.commitPending(e)
		s.reconcile(e)
		renewedElsewhere := !e.runConfirmed && len(e.row.PossibleRenewers) > 0
		if !e.committing && (!s.schedules(e) || renewedElsewhere) {
			toRead = append(toRead, e.name)
		}
	}
	if !s.now.Before(s.nextHolderRefresh) {
		s.nextHolderRefresh = s.now.Add(s.svc.config.ScheduleRenewInterval)
		s.readRows(toRead, nil)
	}
}

// schedules reports whether this host schedules the queue of a job.
func (s *scheduler) schedules(e *entry) bool {
	q := s.queues[e.row.Queue]
	return q != nil && q.leased
}

// reconcile takes the actions that the state of the row requires.
func (s *scheduler) reconcile(e *entry) {
	if e.committing {
		return
	}
	if e.row.State != job.Queued || len(e.pending) == 0 {
		e.plannedWorker = ""
	}
	scheduledHere := s.schedules(e)
	if e.row.Active() {
		s.reconcileActive(e, scheduledHere)
	}
	if scheduledHere && e.row.State == job.Unknown && e.row.Holder != (job.Holder{}) && len(e.pending) == 0 {
		s.adopt(e)
	}
	s.releaseUnboundRight(e)
	if !scheduledHere {
		s.stopRenewing(e)
	}
	if e.row.Ended() || !scheduledHere {
		s.dropIfUnneeded(e)
	}
}

func (s *scheduler) reconcileActive(e *entry, scheduledHere bool) {
	placedHere := e.row.Token == e.placedToken
	if placedHere && !e.startSent {
		s.start(e)
	}
	if !scheduledHere {
		return
	}
	if len(e.pending) == 0 {
		s.adopt(e)
	}
	if e.row.CancelRequested && !e.stopping && !e.starting && !e.taskEnded && !s.now.Before(e.nextStop) {
		s.stop(e, job.Report{Token: e.row.Token, Reason: fault.ReasonCancelled}, false)
	}
}

// adopt moves the job's right to this host. A task without a right, which a
// worker kept running past the end of its lease, needs a free one.
func (s *scheduler) adopt(e *entry) {
	if e.row.Holder == s.self || s.now.Before(e.retryAt) {
		return
	}
	if e.row.Holder == (job.Holder{}) {
		if s.isBlocked(e.row.Team) || !s.acquireRight(e.row.Team) {
			return
		}
		e.hasUnboundRight = true
	}
	s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.Adopt(r, s.self) })
}

// releaseUnboundRight returns a right that was acquired for an abandoned
// commit.
func (s *scheduler) releaseUnboundRight(e *entry) {
	if e.hasUnboundRight && !e.committing && len(e.pending) == 0 {
		e.hasUnboundRight = false
		s.svc.rights.Release(e.row.Team, 1)
	}
}

// stopRenewing records in the job's row that this host, a former holder, no
// longer renews the task lease.
func (s *scheduler) stopRenewing(e *entry) {
	if !slices.Contains(e.row.PossibleRenewers, s.self) || s.mayBeRenewing(e) || len(e.pending) > 0 {
		return
	}
	s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.StopRenewing(r, s.self) })
}

// mayBeRenewing reports whether a call from this host that starts the task or
// renews its lease may be in flight.
func (s *scheduler) mayBeRenewing(e *entry) bool {
	return e.starting || s.workerState(e.row.Worker).polling
}

// dropIfUnneeded forgets a job in which this host is no longer involved.
func (s *scheduler) dropIfUnneeded(e *entry) {
	if e.hasUnboundRight || e.committing || e.starting || len(e.pending) > 0 {
		return
	}
	if !e.row.Ended() && (e.row.Holder == s.self || slices.Contains(e.row.PossibleRenewers, s.self)) {
		return
	}
	s.drop(e)
}

func (s *scheduler) drop(e *entry) {
	if e.hasUnboundRight {
		e.hasUnboundRight = false
		s.svc.rights.Release(e.row.Team, 1)
	}
	delete(s.jobs, e.name)
}
