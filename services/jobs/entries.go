package jobs

import (
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// transition is an event that is applied to a job's record. It is applied
// again when the row turned out to have changed.
type transition func(job.Record) (job.Record, job.TransitionResult)

// entry is a job that this host schedules, or that it had earlier and whose
// task lease it may still renew.
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
	// ended means that the worker said that the last task does not run.
	ended bool
	// right is set while this host has acquired a right that no commit has
	// yet bound to the job.
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
	if len(r.MayRenew) < len(e.row.MayRenew) {
		// The holder that renews no more may have done so until now.
		e.leaseFrom = s.now
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
		var verdict job.TransitionResult
		next.Record, verdict = e.todo[0](e.row.Record)
		if !verdict.Changed {
			e.todo = e.todo[1:]
			continue
		}
		if next.State == job.Done {
			next.ResultObject = e.result
		}
		next = next.withEnd(&e.row, s.now)
		if bindsRight(&e.row, &next) && !e.right {
			e.todo = e.todo[1:]
			continue
		}
		e.busy = true
		s.commit(commitJob{name: e.name, before: e.row, after: next, version: e.version})
	}
}

// retry commits what could not be committed earlier and looks after jobs that
// another host schedules and that concern this one.
func (s *scheduler) retry() {
	var followed []string
	for _, e := range s.jobs {
		s.pump(e)
		s.settle(e)
		renewedElsewhere := !e.confirmed && len(e.row.MayRenew) > 0
		if !e.busy && (!s.schedules(e) || renewedElsewhere) {
			followed = append(followed, e.name)
		}
	}
	if !s.now.Before(s.nextFollow) {
		s.nextFollow = s.now.Add(s.svc.config.ScheduleRenew)
		s.read(followed, nil)
	}
}

// schedules reports whether this host schedules the queue of a job.
func (s *scheduler) schedules(e *entry) bool {
	q := s.queues[e.row.Queue]
	return q != nil && q.mine
}

// settle does what the state of the row calls for.
func (s *scheduler) settle(e *entry) {
	if e.busy {
		return
	}
	if e.row.State != job.Queued || len(e.todo) == 0 {
		e.planned = ""
	}
	mine := s.schedules(e)
	if e.row.Active() {
		s.settleActive(e, mine)
	}
	if mine && e.row.State == job.Unknown && e.row.Holder != (job.Holder{}) && len(e.todo) == 0 {
		s.adopt(e)
	}
	s.settleRight(e)
	if !mine {
		s.stopRenewing(e)
	}
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
	if len(e.todo) == 0 {
		s.adopt(e)
	}
	if e.row.CancelRequested && !e.stopping && !e.starting && !e.ended && !s.now.Before(e.nextStop) {
		s.stop(e, job.Report{Token: e.row.Token, Reason: fault.ReasonCancelled}, false)
	}
}

// adopt moves the job's right to this host. A task without a right, which a
// worker ran past the end of its lease, needs a free one.
func (s *scheduler) adopt(e *entry) {
	if e.row.Holder == s.self || s.now.Before(e.retryAt) {
		return
	}
	if e.row.Holder == (job.Holder{}) {
		if s.isBlocked(e.row.Team) || !s.acquire(e.row.Team) {
			return
		}
		e.right = true
	}
	s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.Adopt(r, s.self) })
}

// settleRight returns a right that was acquired for a commit that was given
// up.
func (s *scheduler) settleRight(e *entry) {
	if e.right && !e.busy && len(e.todo) == 0 {
		e.right = false
		s.svc.rights.Release(e.row.Team, 1)
	}
}

// stopRenewing lets the scheduler of a job know that this host, which had it
// earlier, renews the task lease no more.
func (s *scheduler) stopRenewing(e *entry) {
	if !slices.Contains(e.row.MayRenew, s.self) || s.mayBeRenewing(e) || len(e.todo) > 0 {
		return
	}
	s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.StopRenewing(r, s.self) })
}

// mayBeRenewing reports whether a call of this host that starts a task or
// renews its lease may be under way.
func (s *scheduler) mayBeRenewing(e *entry) bool {
	return e.starting || s.worker(e.row.Worker).polling
}

// dropIfDone forgets a job that this host has no more part in.
func (s *scheduler) dropIfDone(e *entry) {
	if e.right || e.busy || e.starting || len(e.todo) > 0 {
		return
	}
	if !e.row.Ended() && (e.row.Holder == s.self || slices.Contains(e.row.MayRenew, s.self)) {
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
