package jobs

import (
	"context"
	"slices"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// maxRightsAttempts bounds the attempts at one commit when the team's rights
// row changes concurrently.
const maxRightsAttempts = 8

// commitJob replaces a job's row. If the holder of the job's right changes, the
// same transaction updates the team's rights row.
type commitJob struct {
	name    string
	before  row
	after   row
	version uint64
}

// changesRights reports whether the commit updates the team's rights row.
func (c *commitJob) changesRights() bool { return c.before.Holder != c.after.Holder }

func (c *commitJob) binds() bool { return bindsRight(&c.before, &c.after) }

// bindsRight reports whether a change binds an acquired right to the job.
func bindsRight(before, after *row) bool {
	return before.Holder == job.Holder{} && after.Holder != job.Holder{}
}

// commit serializes the commits that change one team's rights, because two at
// once would conflict on the team's rights row. Urgent jobs go first, or a
// burst of other jobs of the team would delay their start.
func (s *scheduler) commit(c commitJob) {
	if !c.changesRights() {
		s.post(c)
		return
	}
	team := c.after.Team
	waiting, inFlight := s.teamCommits[team]
	if inFlight {
		s.teamCommits[team] = slices.Insert(waiting, s.insertIndex(waiting, &c), c)
		return
	}
	s.teamCommits[team] = nil
	s.post(c)
}

// insertIndex returns the position of c among the waiting commits.
func (s *scheduler) insertIndex(waiting []commitJob, c *commitJob) int {
	if s.isUrgent(c) {
		for i := range waiting {
			if !s.isUrgent(&waiting[i]) {
				return i
			}
		}
	}
	return len(waiting)
}

func (s *scheduler) isUrgent(c *commitJob) bool {
	q := s.queues[c.after.Queue]
	return q != nil && q.class == fleet.ClassUrgent
}

// commitNext sends the team's next commit that changes its rights.
func (s *scheduler) commitNext(team string) {
	waiting := s.teamCommits[team]
	if len(waiting) == 0 {
		delete(s.teamCommits, team)
		return
	}
	s.teamCommits[team] = waiting[1:]
	s.post(waiting[0])
}

func (c commitJob) run(ctx context.Context, s *Service) event {
	for attempt := 1; ; attempt++ {
		result, err := c.attempt(ctx, s)
		if attempt == maxRightsAttempts || !c.rightsConflict(result, err) {
			return jobCommitted{c, result, err}
		}
		s.countRetried("commit-job", fault.ReasonConflict)
	}
}

func (c *commitJob) attempt(ctx context.Context, s *Service) (services.CommitResult, error) {
	tx := updateTransaction(&c.before, &c.after, c.version)
	if !c.changesRights() {
		return s.platform.Commit(ctx, tx)
	}
	change, err := c.rightsChange(ctx, s.jobRights)
	releasesRight := c.after.Holder == job.Holder{}
	if releasesRight && fault.ReasonOf(err) == fault.ReasonNoJobRight {
		// Either the job's row has changed as well and the commit fails, or
		// there is no right to free.
		return s.platform.Commit(ctx, tx)
	}
	if err != nil {
		return services.CommitResult{}, fault.New(&fault.NotRun, fault.ReasonOf(err), "commit-job", "platform", "change rights of team %q: %w", c.after.Team, err)
	}
	tx.Conditions = append(tx.Conditions, change.Condition)
	tx.Writes = append(tx.Writes, change.Write)
	result, err := s.platform.Commit(ctx, tx)
	change.Settle(result, err)
	return result, err
}

func (c *commitJob) rightsChange(ctx context.Context, rights services.JobRights) (services.RightsChange, error) {
	team := c.after.Team
	previousHolder := services.Identity{Name: c.before.Holder.Host, Incarnation: c.before.Holder.Incarnation}
	switch {
	case c.binds():
		return rights.PlaceJob(ctx, team)
	case c.after.Holder == job.Holder{}:
		return rights.EndJob(ctx, team, previousHolder)
	default:
		return rights.AdoptJob(ctx, team, previousHolder)
	}
}

// rightsConflict reports whether only the team's rights row had changed.
func (c *commitJob) rightsConflict(result services.CommitResult, err error) bool {
	if err != nil {
		return fault.IsNotRun(err) && fault.ReasonOf(err) == fault.ReasonConflict
	}
	if result.Committed || !c.changesRights() {
		return false
	}
	return len(c.jobRows(result)) == 0
}

// jobRows returns the job's row if its condition failed.
func (c *commitJob) jobRows(result services.CommitResult) (rows []services.Row) {
	for _, r := range result.Current {
		if r.Key == jobKey(c.name) {
			rows = append(rows, r)
		}
	}
	return rows
}

// jobCommitted is the outcome of commitJob.
type jobCommitted struct {
	call   commitJob
	result services.CommitResult
	err    error
}

func (c jobCommitted) handle(s *scheduler) {
	if c.call.changesRights() {
		s.commitNext(c.call.after.Team)
	}
	e := s.jobs[c.call.name]
	if e == nil {
		return
	}
	e.committing = false
	switch {
	case c.err != nil:
		s.handleCommitError(e, c)
		return
	case c.result.Committed:
		s.setRow(e, c.call.after, c.result.Version)
		e.pending = e.pending[1:]
		if c.call.binds() {
			e.hasUnboundRight = false
		}
		s.countRequeue(c.call)
	default:
		s.handleCommitConflict(e, c)
	}
	s.commitPending(e)
	s.reconcile(e)
}

// handleCommitError retries a commit after a delay. One that binds a free right
// is abandoned: without effect, so that another job can use the right, and
// otherwise because the right may be bound to the job now.
func (s *scheduler) handleCommitError(e *entry, c jobCommitted) {
	reason := fault.ReasonOf(c.err)
	s.svc.countRetried("commit-job", reason)
	e.retryAt = s.now.Add(commitRetryDelay)
	if c.call.binds() {
		e.pending = e.pending[1:]
		e.hasUnboundRight = e.hasUnboundRight && fault.IsNotRun(c.err)
		s.reconcile(e)
	}
	if !fault.IsNotRun(c.err) || reason == fault.ReasonNoJobRight {
		s.readRows([]string{e.name}, nil)
	}
}

// handleCommitConflict adopts the current row. If an earlier attempt took
// effect and its reply was lost, the transition no longer applies to the row
// and is dropped.
func (s *scheduler) handleCommitConflict(e *entry, c jobCommitted) {
	s.svc.countRetried("commit-job", fault.ReasonConflict)
	rows := c.call.jobRows(c.result)
	if len(rows) == 0 {
		e.retryAt = s.now.Add(commitRetryDelay)
		return
	}
	current := rows[0]
	if current.Version == 0 {
		e.pending = nil
		s.drop(e)
		return
	}
	r, err := decodeRow(current, "commit-job")
	if err != nil {
		s.svc.log.Error().Err(err).Str("step", "commit-job").Str("job", e.name).Msg("job row cannot be decoded; commit is retried")
		e.retryAt = s.now.Add(commitRetryDelay)
		return
	}
	s.setRow(e, *r, current.Version)
}

func (s *scheduler) countRequeue(c commitJob) {
	if c.before.Active() && c.after.State == job.Queued {
		s.svc.countRetried("run-job", c.after.Reason)
	}
}
