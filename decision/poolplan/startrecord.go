package poolplan

import (
	"cmp"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// The starts that may still be carried out are recorded before they are sent, so that a
// later owner knows of them: it can neither hear of such a start from the executors nor
// keep it from beginning a run in an incarnation that it has not reached.

// StartInDoubt is a start that is about to be sent, or has had no answer.
type StartInDoubt struct {
	Task     workload.TaskID
	Attempt  int
	Executor string
	// Repeated is set if it was sent more than once. Otherwise a run of the attempt shows
	// that the start has been carried out.
	Repeated bool
	// Left is for how long it may still be carried out.
	Left time.Duration
}

// MaxOrderLateness is the longest time for which an order without an answer may still be
// carried out.
const MaxOrderLateness = 13 * time.Second

// MaxStartsInDoubt bounds the starts in one record.
const MaxStartsInDoubt = 600

// lateStart is a start without an answer whose run is over, and which may still be carried
// out.
type lateStart struct {
	executor string
	// serial is that of the incarnation to which the start was sent; zero if a previous
	// owner has sent it. stopped is set if that incarnation has confirmed a stop.
	serial  int64
	stopped bool
	sentAt  time.Time
}

// holdsAckUntil returns when an end of the task may be acknowledged.
func (l *lateStart) holdsAckUntil() time.Time { return l.sentAt.Add(lateOrderTime) }

// staysAwayFor returns for how long after a start without an answer its task stays away from
// other executors, while the executor that the start was sent to can be reached.
func (t *task) staysAwayFor() time.Duration {
	if t.group.step.Service {
		return briefLateTime
	}
	return lateOrderTime
}

// refusedBy reports whether an executor that may have the late start refuses it: by its
// fencing token, or because it has stopped that run.
func (l *lateStart) refusedBy(e *executor) bool {
	return e.ID == l.executor && e.fencingTokenSeen && (l.stopped || e.serial != l.serial)
}

// mayHaveLateStart reports whether a start of the task without an answer may still begin a
// run, or may have begun one that no report has shown yet.
func (p *Plan) mayHaveLateStart(now time.Time, t *task) bool {
	late := &t.lateStart
	if late.executor == "" {
		return false
	}
	e := p.executors[late.executor]
	if e == nil || !e.answers() {
		return now.Before(late.sentAt.Add(briefLateTime + p.longestLease()))
	}
	until := late.sentAt.Add(t.staysAwayFor())
	// A report that was requested before may have missed a run that it has begun.
	return now.Before(until) || e.reportRequestedAt.Before(until) && now.Before(until.Add(p.longestLease()))
}

// placeBesideLateStart starts a task on the executor that its late start was sent to, if
// that refuses the late start from now on. If the executor starts again, its next
// incarnation begins the late start only after the new run is over.
func (p *Plan) placeBesideLateStart(now time.Time, g *group, t *task, candidates []*executor) bool {
	i := slices.IndexFunc(candidates, t.lateStart.refusedBy)
	if i < 0 {
		return false
	}
	only := candidates[i : i+1]
	if e := p.chooseExecutor(g, t, only, nil); e != nil {
		p.startTask(now, t, e, p.nextAttempt(t))
		return true
	}
	return p.startTrial(now, g, t, only)
}

// noteUnansweredTry records that the last try of a start may still be carried out.
func (r *run) noteUnansweredTry() {
	r.startAtLarge, r.startOpen = true, false
	r.unansweredTryAt, r.unansweredBy = r.lastTryAt, r.sentTo
}

// noteBegun records that an executor has listed the run or its end. An order is carried out
// at most once, so that the only try of the start is not at large any more.
func (r *run) noteBegun() {
	if r.sentStarts == 1 {
		r.startAtLarge = false
	}
}

// noteLateStart keeps the task of a run that is over from starting on other executors, and
// its end from being acknowledged, while its start may begin it once more.
func (p *Plan) noteLateStart(r *run) {
	late := lateStart{r.executor.ID, r.unansweredBy, !r.stopConfirmedAt.IsZero(), r.unansweredTryAt}
	r.task.lateStart = late
	p.lateStarts = append(p.lateStarts, endedLateStart{r.key, late, r.sentStarts != 1})
	if until := late.sentAt.Add(r.task.staysAwayFor()); r.executor.reportDueAt.Before(until) {
		r.executor.reportDueAt = until
	}
}

// endedLateStart is a late start with the run that it may begin once more.
type endedLateStart struct {
	run      runKey
	start    lateStart
	repeated bool
}

// StartsInDoubt returns the starts that a later owner has to know of, those first that may
// be carried out for longest.
func (p *Plan) StartsInDoubt(now time.Time) []StartInDoubt {
	var starts []StartInDoubt
	for r := range p.sentStarts {
		left := lateOrderTime
		if !r.startOpen {
			left = r.unansweredTryAt.Add(lateOrderTime).Sub(now)
		}
		if r.executor.runs[r.key] != r || !r.startOpen && !r.startAtLarge || left <= 0 {
			delete(p.sentStarts, r)
			continue
		}
		starts = append(starts, StartInDoubt{r.key.task, r.key.attempt, r.executor.ID, r.sentStarts != 1, left})
	}
	p.lateStarts = slices.DeleteFunc(p.lateStarts, func(l endedLateStart) bool { return !now.Before(l.start.holdsAckUntil()) })
	for _, l := range p.lateStarts {
		starts = append(starts, StartInDoubt{l.run.task, l.run.attempt, l.start.executor, l.repeated, l.start.holdsAckUntil().Sub(now)})
	}
	slices.SortFunc(starts, func(a, b StartInDoubt) int {
		return cmp.Or(cmp.Compare(b.Left, a.Left), runKey{a.Task, a.Attempt}.compare(runKey{b.Task, b.Attempt}))
	})
	return starts[:min(len(starts), MaxStartsInDoubt)]
}

// InheritStarts takes over the record of a previous owner. It must be called after the jobs
// have been added and before the first Step. Without it nothing is known of the starts of
// previous owners.
func (p *Plan) InheritStarts(starts []StartInDoubt) {
	p.inheritedStarts = make(map[workload.TaskID]lateStart, len(starts))
	for _, s := range starts {
		late := lateStart{executor: s.Executor, sentAt: p.takenOverAt.Add(s.Left - lateOrderTime)}
		p.lateStarts = append(p.lateStarts, endedLateStart{runKey{s.Task, s.Attempt}, late, s.Repeated})
		if known, ok := p.inheritedStarts[s.Task]; ok && known.sentAt.After(late.sentAt) {
			continue
		}
		p.inheritedStarts[s.Task] = late
		if t := p.findTask(s.Task); t != nil {
			t.lateStart = late
		}
	}
}

// noteInheritedRun records that an executor has listed a run, or the end of one, that a
// previous owner has started: the only try of its start is not at large any more.
func (p *Plan) noteInheritedRun(e *executor, key runKey, t *task) {
	i := slices.IndexFunc(p.lateStarts, func(l endedLateStart) bool {
		return l.run == key && l.start.executor == e.ID && l.start.serial == 0 && !l.repeated
	})
	if i < 0 {
		return
	}
	late := p.lateStarts[i].start
	p.lateStarts = slices.Delete(p.lateStarts, i, i+1)
	if p.inheritedStarts[key.task] == late {
		delete(p.inheritedStarts, key.task)
	}
	if t != nil && t.lateStart == late {
		t.lateStart = lateStart{}
	}
}

// ackHeldUntil returns until when a start without an answer may begin a run that has ended
// on e once more, in a later incarnation: the platform forbids that once the end has been
// acknowledged. t is nil if its task is not known.
func (p *Plan) ackHeldUntil(e *executor, key runKey, t *task) time.Time {
	inherited := e.inherited && (t == nil || t.group.job.inherited && key.attempt <= t.group.job.attemptBase)
	switch {
	case inherited && p.inheritedStarts == nil:
		// Of the starts of a previous owner nothing is known; the last was sent before it
		// fell silent.
		return p.takenOverAt.Add(briefLateTime - p.predecessorSilence)
	case t == nil:
		late := p.inheritedStarts[key.task]
		return late.holdsAckUntil()
	}
	return t.lateStart.holdsAckUntil()
}
