package jobs

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// transition is an event that is applied to a job's record. It is applied
// again when the row turned out to have changed.
type transition func(job.Record) (job.Record, job.Verdict)

// entry is a job that this host schedules, or whose right it holds.
type entry struct {
	name    string
	row     row
	version uint64
	readAt  time.Time
	// indexVersion is the version of the index row when last read.
	indexVersion uint64
	// todo are transitions not yet committed; busy while one is.
	todo    []transition
	busy    bool
	retryAt time.Time
	// doubtful means that an earlier try of the commit may have taken effect.
	doubtful bool
	// ended means that the worker said that the last task does not run.
	ended bool
	// right is set while a right of this host covers the job.
	right bool
	// token is the last token that this host placed.
	token string
	// starting is set while StartTask is under way; sent once it was called.
	starting bool
	sent     bool
	placedAt time.Time
	// confirmed means that the worker said that the task runs. Other tasks
	// are inspected, and unknown tokens forbidden, before they are renewed.
	confirmed bool
	// leaseFrom is when the last call ended that may have extended the task
	// lease.
	leaseFrom time.Time
	stopping  bool
	// nextStop is the earliest time of another stop after one that failed.
	nextStop time.Time
	yielding bool
	throttle int
	// size is the room that the job was given; planned is its worker while
	// the placement is being committed.
	size    fleet.Resources
	planned string
	peak    fleet.Resources
	result  string
}

// setRow takes a row that was read. About a task that another scheduler placed
// nothing is known yet.
func (s *scheduler) setRow(e *entry, r row, version uint64) {
	if r.Token != "" && r.Token != e.row.Token && r.Token != e.token {
		e.leaseFrom = s.now
		e.confirmed, e.ended, e.stopping, e.yielding = false, false, false, false
		e.throttle = 0
	}
	e.row, e.version = r, version
}

// apply adds a transition and commits it when no other is under way.
func (s *scheduler) apply(e *entry, t transition) {
	e.todo = append(e.todo, t)
	s.pump(e)
}

func (s *scheduler) pump(e *entry) {
	for len(e.todo) > 0 && !e.busy && !s.now.Before(e.retryAt) {
		next := e.row
		var verdict job.Verdict
		next.Record, verdict = e.todo[0](e.row.Record)
		if !verdict.Changed {
			e.todo = e.todo[1:]
			continue
		}
		if next.State == job.Done {
			next.ResultObject = e.result
		}
		e.busy = true
		s.post(commitJob{name: e.name, before: e.row, after: next, version: e.version})
	}
}

// retry commits what could not be committed earlier and looks after jobs of
// queues that this host lost.
func (s *scheduler) retry() {
	var followed []string
	for _, e := range s.jobs {
		s.pump(e)
		s.settle(e)
		if q := s.queues[e.row.Queue]; e.right && !e.busy && (q == nil || !q.mine) {
			followed = append(followed, e.name)
		}
	}
	if !s.now.Before(s.nextFollow) {
		s.nextFollow = s.now.Add(s.svc.config.ScheduleRenew)
		s.read(followed, nil)
	}
}

// commitJob replaces a job's row.
type commitJob struct {
	name    string
	before  row
	after   row
	version uint64
}

func (c commitJob) run(ctx context.Context, s *Service) event {
	result, err := s.platform.Commit(ctx, update(&c.before, &c.after, c.version))
	return jobCommitted{c, result, err}
}

// jobCommitted is the outcome of commitJob.
type jobCommitted struct {
	call   commitJob
	result services.CommitResult
	err    error
}

func (c jobCommitted) handle(s *scheduler) {
	e := s.jobs[c.call.name]
	if e == nil {
		return
	}
	e.busy = false
	switch {
	case c.err != nil:
		s.commitFailed(e, c)
		return
	case c.result.Committed:
		e.row, e.version = c.call.after, c.result.Version
		e.todo = e.todo[1:]
		e.doubtful = false
		s.countTransition(c.call)
	default:
		s.commitRefused(e, c)
	}
	s.pump(e)
	s.settle(e)
}

// commitFailed tries the same commit again after a pause. A placement that
// certainly had no effect is given up instead, so that others can start.
func (s *scheduler) commitFailed(e *entry, c jobCommitted) {
	reason := fault.ReasonOf(c.err)
	s.svc.countRetried("commit-job", reason)
	e.retryAt = s.now.Add(retryCommit)
	if c.call.after.State == job.Placed && c.call.before.State == job.Queued && fault.IsNotRun(c.err) && !e.doubtful {
		e.todo = e.todo[1:]
		s.settle(e)
		return
	}
	e.doubtful = true
}

// commitRefused takes the row as it is. When an earlier try took effect and
// its reply was lost, the transition no longer applies to the row and is left
// out.
func (s *scheduler) commitRefused(e *entry, c jobCommitted) {
	e.doubtful = false
	s.svc.countRetried("commit-job", fault.ReasonConflict)
	for _, current := range c.result.Current {
		if current.Version == 0 {
			e.todo = nil
			s.drop(e)
			return
		}
		r, err := decodeRow(current, "commit-job")
		if err != nil {
			s.svc.log.Error().Err(err).Str("step", "commit-job").Msg("row cannot be read")
			e.retryAt = s.now.Add(retryCommit)
			return
		}
		s.setRow(e, *r, current.Version)
	}
}

func (s *scheduler) countTransition(c commitJob) {
	if c.before.Active() && c.after.State == job.Queued {
		s.svc.countRetried("run-job", c.after.Reason)
	}
}

// settle does what the state of the row calls for.
func (s *scheduler) settle(e *entry) {
	if e.busy {
		return
	}
	if e.row.State != job.Queued || len(e.todo) == 0 {
		e.planned = ""
	}
	q := s.queues[e.row.Queue]
	mine := q != nil && q.mine
	if e.row.Active() {
		s.settleActive(e, mine)
	}
	s.settleRight(e)
	if e.row.Ended() || !mine {
		s.dropIfDone(e)
	}
}

func (s *scheduler) settleActive(e *entry, mine bool) {
	placedHere := e.row.Token == e.token
	if placedHere && !e.sent {
		s.start(e)
	}
	if !mine {
		return
	}
	if e.row.Holder != s.self && len(e.todo) == 0 {
		s.adopt(e)
	}
	if e.row.CancelRequested && !e.stopping && !e.starting && !e.ended && !s.now.Before(e.nextStop) {
		s.stop(e, job.Report{Token: e.row.Token, Reason: fault.ReasonCancelled}, false)
	}
}

// adopt moves the job's right to this host. Without a free right the job is
// supervised all the same, under the right that the earlier holder is still
// counted for.
func (s *scheduler) adopt(e *entry) {
	if !e.right && !s.acquire(e.row.Team) {
		return
	}
	e.right = true
	s.apply(e, func(r job.Record) (job.Record, job.Verdict) { return job.Adopt(r, s.self) })
}

// settleRight returns the right when the work has surely ended or another
// host's right covers it.
func (s *scheduler) settleRight(e *entry) {
	if !e.right || e.busy || len(e.todo) > 0 || e.starting {
		return
	}
	if e.row.Active() && e.row.Holder == s.self {
		return
	}
	sameTask := e.row.Token == e.token || e.token == ""
	covered := e.row.Active() && sameTask
	if !covered && !s.surelyEnded(e) {
		return
	}
	e.right = false
	s.svc.rights.Release(e.row.Team, 1)
}

// surelyEnded reports whether the last task that this host started or renewed
// cannot run any more: its worker said so, or its lease has ended.
func (s *scheduler) surelyEnded(e *entry) bool {
	return e.ended || (e.token != "" && !e.sent) || s.now.Sub(e.leaseFrom) >= s.svc.config.TaskLease+leaseMargin
}

// dropIfDone forgets a job that this host has no more part in.
func (s *scheduler) dropIfDone(e *entry) {
	if e.right || e.busy || e.starting || len(e.todo) > 0 {
		return
	}
	s.drop(e)
}

func (s *scheduler) drop(e *entry) {
	if e.right {
		e.right = false
		s.svc.rights.Release(e.row.Team, 1)
	}
	delete(s.jobs, e.name)
}
