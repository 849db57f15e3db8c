package jobs

import (
	"context"
	"slices"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// maxRightsAttempts bounds the repeats of one commit after the team's row of
// rights changed in between.
const maxRightsAttempts = 8

// commitJob replaces a job's row and, when the holder of its right changes,
// the team's row of rights in the same transaction.
type commitJob struct {
	name    string
	before  row
	after   row
	version uint64
}

// changesRights reports whether the commit changes the team's row of rights.
func (c *commitJob) changesRights() bool { return c.before.Holder != c.after.Holder }

func (c *commitJob) binds() bool { return bindsRight(&c.before, &c.after) }

// bindsRight reports whether a change turns an acquired right into the job's.
func bindsRight(before, after *row) bool {
	return before.Holder == job.Holder{} && after.Holder != job.Holder{}
}

// commit sends the commits that change one team's rights one after the other,
// because two at once would conflict on the team's row. Urgent jobs go first,
// or a burst of other jobs of the team would hold up their start.
func (s *scheduler) commit(c commitJob) {
	if !c.changesRights() {
		s.post(c)
		return
	}
	team := c.after.Team
	waiting, underWay := s.teamCommits[team]
	if underWay {
		s.teamCommits[team] = slices.Insert(waiting, s.insertIndex(waiting, &c), c)
		return
	}
	s.teamCommits[team] = nil
	s.post(c)
}

// insertIndex returns the place of c among the commits that wait.
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

// commitNext sends the next commit that changes the rights of a team.
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
	for try := 1; ; try++ {
		result, err := c.attempt(ctx, s)
		if try == maxRightsAttempts || !c.rightsConflict(result, err) {
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
	ending := c.after.Holder == job.Holder{}
	if ending && fault.ReasonOf(err) == fault.ReasonNoJobRight {
		// Either the job's row has changed too, and the commit fails, or there
		// is no right to free.
		return s.platform.Commit(ctx, tx)
	}
	if err != nil {
		return services.CommitResult{}, fault.New(&fault.NotRun, fault.ReasonOf(err), "commit-job", "platform", "rights: %w", err)
	}
	tx.Conditions = append(tx.Conditions, change.Condition)
	tx.Writes = append(tx.Writes, change.Write)
	result, err := s.platform.Commit(ctx, tx)
	change.Settle(result, err)
	return result, err
}

func (c *commitJob) rightsChange(ctx context.Context, rights services.JobRights) (services.RightsChange, error) {
	team := c.after.Team
	earlier := services.Identity{Name: c.before.Holder.Host, Incarnation: c.before.Holder.Incarnation}
	switch {
	case c.binds():
		return rights.PlaceJob(ctx, team)
	case c.after.Holder == job.Holder{}:
		return rights.EndJob(ctx, team, earlier)
	default:
		return rights.AdoptJob(ctx, team, earlier)
	}
}

// rightsConflict reports whether only the team's row of rights had changed.
func (c *commitJob) rightsConflict(result services.CommitResult, err error) bool {
	if err != nil {
		return fault.IsNotRun(err) && fault.ReasonOf(err) == fault.ReasonConflict
	}
	if result.Committed || !c.changesRights() {
		return false
	}
	return len(c.jobRows(result)) == 0
}

// jobRows returns the rows of the job among those whose condition failed.
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

// handleCommitError tries the same commit again after a pause. One that needs a
// free right is given up instead: without effect, so that others can start,
// and otherwise because the right that it used may belong to the job now.
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

// handleCommitConflict takes the row as it is. When an earlier try took effect and
// its reply was lost, the transition no longer applies to the row and is left
// out.
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
		s.svc.log.Error().Err(err).Str("step", "commit-job").Msg("row cannot be read")
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
