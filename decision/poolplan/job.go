package poolplan

import (
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// job is a job of this pool that has not ended.
type job struct {
	spec *workload.Spec
	// version is that of the job's record; zero if it is not known.
	version int64
	// inherited is set when a previous owner may have started the job.
	inherited bool
	cancelled bool
	// beyondShare jobs start after those that can be on time and are within the
	// share of their tenant.
	beyondShare bool
	occurrences []*occurrence
	progress    workload.Progress
	// begun is set once a run of the job is known to have begun. A start that was
	// planned, refused or not answered does not show that.
	begun bool
	// openRuns counts the runs that have been ordered and are not over.
	openRuns int
	// begunRecorded is set once a record shows that the job has begun.
	begunRecorded bool
	// highestAttempt is the highest number of an attempt of any task.
	highestAttempt int
	// attemptBase is the number above which attempts begin here, and knownAttempt one
	// that a later owner exceeds by attemptsPerTerm.
	attemptBase, knownAttempt int
	saveState
	// failedOn lists the executors on which tasks of the job have failed.
	failedOn []string
}

// occurrence is one execution of all steps of a job.
type occurrence struct {
	number    int
	groups    []*group
	openTasks int
}

// group holds the tasks of one step of one occurrence.
type group struct {
	job        *job
	occurrence int
	stepIndex  int
	step       *workload.Step
	tasks      []*task
	// firstTask is the number of the first task among all of the job.
	firstTask int
	doneCount int
	// checkpoint is the latest state of any member of a gang. It is valid for all of
	// them, and all must resume from the same one.
	checkpoint string
	ready      bool
	readyAt    time.Time
	// loggedWait is the last reason for waiting that was logged, at waitLoggedAt.
	loggedWait   waitReason
	waitLoggedAt time.Time
	// lateness is the group's class when the ready groups were last sorted.
	lateness int
	// priority is the priority of the group's queue at that time.
	priority int
	advice   *advice
	// wait is the wait of the whole group for a preferred placement, or nil.
	wait *placementWait
	// rackChoice is the preferred rack in the last round; nil if it has to be found anew.
	rackChoice *rackChoice
}

// task is one task of a group.
type task struct {
	group *group
	index int
	done  bool
	// outcomeUnknown is set if a run has ended without a report, and may have succeeded
	// or failed.
	outcomeUnknown bool
	failures       workload.Failures
	lastAttempt    int
	restart        restart
	runs           []*run
	// checkpoint is the latest state from which the task can resume.
	checkpoint string
	// failedOn lists the executors on which the task failed or stalled.
	failedOn []string
	// runLost is set when the last run ended without a report.
	runLost bool
	// lateStart is the last start without an answer, which may begin a run in a later
	// incarnation of its executor.
	lateStart lateStart
	// reservedOn is the executor that keeps room for the task, or nil.
	reservedOn *executor
	// wait is the task's wait for a preferred placement, or nil.
	wait *placementWait
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.group.job.spec.ID, TaskName: t.name()}
}

func (t *task) name() workload.TaskName {
	return workload.TaskName{Occurrence: t.group.occurrence, Step: t.group.stepIndex, Index: t.index}
}

// checkpointRef returns where the state is kept from which the task can resume.
func (t *task) checkpointRef() *string {
	if t.group.step.Gang {
		return &t.group.checkpoint
	}
	return &t.checkpoint
}

// recordAttempt records that an attempt of the task exists.
func (t *task) recordAttempt(number int) {
	t.lastAttempt = max(t.lastAttempt, number)
	t.group.job.highestAttempt = max(t.group.job.highestAttempt, number)
}

func (g *group) waitingTasks() int {
	n := 0
	for _, t := range g.tasks {
		if t.needsRun() {
			n++
		}
	}
	return n
}

// needsRun reports whether the task needs another run. A speculative task gets
// a second run once its executor has left the registry and does not answer.
// Missing answers alone may be the fault of this host.
func (t *task) needsRun() bool {
	if t.done || t.outcomeUnknown {
		return false
	}
	if len(t.runs) == 0 {
		return true
	}
	if !t.group.step.Speculative || len(t.runs) > 1 {
		return false
	}
	e := t.runs[0].executor
	return !e.listed && !e.reachable()
}

func (t *task) recordFailureOn(e *executor) {
	if !slices.Contains(t.failedOn, e.ID) {
		t.failedOn = append(t.failedOn, e.ID)
	}
}

// underWay reports whether the job has begun or is about to.
func (j *job) underWay() bool { return j.begun || j.openRuns > 0 }

// closed reports whether no more tasks of the job may start.
func (j *job) closed() bool { return j.cancelled || j.progress.State.Ended() }

func (j *job) recordFailureOn(e *executor) {
	if !slices.Contains(j.failedOn, e.ID) {
		j.failedOn = append(j.failedOn, e.ID)
	}
}

func (j *job) task(n workload.TaskName) *task {
	if n.Occurrence >= len(j.occurrences) {
		return nil
	}
	groups := j.occurrences[n.Occurrence].groups
	if n.Step >= len(groups) || n.Index >= len(groups[n.Step].tasks) {
		return nil
	}
	return groups[n.Step].tasks[n.Index]
}

// AddJob adds a recorded job. inherited means that it was recorded before this
// owner took over. A job that is already known or ended here recently is
// ignored, because its progress may have been read before it ended.
func (p *Plan) AddJob(now time.Time, spec *workload.Spec, progress workload.Progress, inherited bool) {
	if progress.State.Ended() && inherited {
		p.noteEnded(now, spec, &progress)
	}
	if _, ended := p.recentlyEnded[spec.ID]; ended || spec.Ended || p.jobs[spec.ID] != nil || progress.State.Ended() {
		return
	}
	j := &job{spec: spec, inherited: inherited, progress: progress, beyondShare: p.chargeShare(spec), highestAttempt: progress.HighestAttempt}
	j.attemptBase = progress.HighestAttempt
	if inherited {
		j.attemptBase = p.inheritedAttempt(&progress)
	}
	j.knownAttempt = j.attemptBase
	j.begunRecorded = progress.State != workload.Queued
	j.begun = j.begunRecorded
	firstTask := 0
	for k := range spec.Occurrences() {
		o := newOccurrence(j, k, firstTask)
		j.occurrences = append(j.occurrences, o)
		firstTask += o.openTasks
	}
	for _, n := range progress.Done {
		if t := j.task(n); t != nil && !t.done {
			t.markDone()
			j.begun = true
			p.divideProgress(t, &progress)
		}
	}
	for n, failures := range progress.Failures {
		if t := j.task(n); t != nil {
			t.failures = failures.Clone()
			j.begun = true
			p.divideProgress(t, &progress)
		}
	}
	for _, n := range progress.Unknown {
		if t := j.task(n); t != nil {
			t.outcomeUnknown, j.begun = true, true
		}
	}
	p.jobs[spec.ID] = j
	if !inherited {
		p.countSubmitted(j)
	}
	p.groupsChanged = true
	p.completeIfDone(now, j)
}

// RecordedJob is a job as the store has it.
type RecordedJob struct {
	Spec      *workload.Spec
	Version   int64
	Progress  workload.Progress
	Inherited bool
}

// AddJobs adds recorded jobs in the order in which they were accepted, because that order
// decides which of them are within their tenant's share.
func (p *Plan) AddJobs(now time.Time, jobs []RecordedJob) {
	sorted := slices.SortedFunc(slices.Values(jobs), func(a, b RecordedJob) int { return compareAcceptance(a.Spec, b.Spec) })
	for _, j := range sorted {
		p.AddJob(now, j.Spec, j.Progress, j.Inherited)
		if added := p.jobs[j.Spec.ID]; added != nil && added.version == 0 {
			added.version = j.Version
		}
	}
}

// divideProgress has the progress of a task recorded in its part, if it was recorded
// as a whole with that of all others.
func (p *Plan) divideProgress(t *task, progress *workload.Progress) {
	if progress.Undivided && t.part() > 0 {
		p.markTaskUnsaved(t)
	}
}

func newOccurrence(j *job, number, firstTask int) *occurrence {
	o := &occurrence{number: number}
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		g := &group{job: j, occurrence: number, stepIndex: i, step: step, firstTask: firstTask + o.openTasks}
		for k := range step.Count {
			g.tasks = append(g.tasks, &task{group: g, index: k})
		}
		o.groups = append(o.groups, g)
		o.openTasks += step.Count
	}
	return o
}

// markDone marks a task as done.
func (t *task) markDone() {
	t.done = true
	t.group.doneCount++
	t.group.job.occurrences[t.group.occurrence].openTasks--
}

// CancelJob cancels a job. The next Step stops its runs.
func (p *Plan) CancelJob(now time.Time, id string) {
	j := p.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	p.groupsChanged = true
	p.addEvent(Event{Kind: "job cancelled", Job: id, Age: now.Sub(j.spec.AcceptedAt)})
}

// stopEndedJobs stops the runs of jobs that were cancelled or have failed.
func (p *Plan) stopEndedJobs(now time.Time) {
	for _, id := range p.jobsToStop() {
		j := p.jobs[id]
		openRuns := 0
		for _, r := range j.runs() {
			openRuns++
			p.stopRun(now, r, "job ended")
		}
		if j.cancelled && j.progress.State != workload.Cancelled {
			p.endJob(now, j, workload.Cancelled)
		}
		if openRuns == 0 && !j.unsaved && !j.saving {
			p.removeJob(now, id)
		}
	}
}

// jobsToStop returns the jobs that were cancelled or have failed, in a fixed order.
func (p *Plan) jobsToStop() []string {
	var ids []string
	for id, j := range p.jobs {
		if j.cancelled || j.progress.State == workload.Failed {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// endedRetention is how long the plan remembers that a job has ended. The store
// may deliver a change again while it is in its history, which covers 20 s.
const endedRetention = 2 * time.Minute

// removeJob removes a job that has ended and is saved.
func (p *Plan) removeJob(now time.Time, id string) {
	if j := p.jobs[id]; j != nil && j.inherited && !p.inheritedRunsKnown {
		p.unaccounted.addEnded(j.spec.Tenant, j.unknownDemand())
	}
	delete(p.jobs, id)
	p.recentlyEnded[id] = now
	if now.Sub(p.endedPrunedAt) < endedRetention {
		return
	}
	p.endedPrunedAt = now
	maps.DeleteFunc(p.recentlyEnded, func(_ string, at time.Time) bool { return now.Sub(at) > endedRetention })
}

func (j *job) runs() []*run {
	var runs []*run
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			for _, t := range g.tasks {
				runs = append(runs, t.runs...)
			}
		}
	}
	return runs
}

// endJob sets the final state of a job.
func (p *Plan) endJob(now time.Time, j *job, s workload.State) {
	if j.progress.State.Ended() {
		return
	}
	j.progress.State, j.progress.EndedAt = s, now
	p.markUnsaved(j)
	p.countOutcome(now, j)
	p.groupsChanged = true
	p.addEvent(Event{Kind: "job ended", Job: j.spec.ID, Reason: s.String(), Age: now.Sub(j.spec.AcceptedAt)})
}

func (p *Plan) completeIfDone(now time.Time, j *job) {
	for _, o := range j.occurrences {
		if o.openTasks > 0 {
			return
		}
	}
	p.endJob(now, j, workload.Completed)
}

// charge adds the demand of a run, times sign, to the use of its executor and
// tenant.
func (p *Plan) charge(r *run, sign int64) {
	s := r.task.group.step
	r.task.group.job.openRuns += int(sign)
	r.executor.used = r.executor.used.Add(scale(s.Demand(), sign))
	tenant := r.task.group.job.spec.Tenant
	p.tenantUsed[tenant] = p.tenantUsed[tenant].Add(scale(s.Size, sign))
	if s.Service {
		r.executor.serviceRuns += int(sign)
		p.tenantLasting[tenant] = p.tenantLasting[tenant].Add(scale(s.Size, sign))
	}
	if s.Service && s.LatencyTarget > 0 {
		r.executor.latencyBoundRuns += int(sign)
	}
	if s.BestEffort {
		r.executor.bestEffortRuns += int(sign)
	}
}

func scale(r fleet.Resources, n int64) fleet.Resources {
	return fleet.Resources{MilliCPU: r.MilliCPU * n, MemoryBytes: r.MemoryBytes * n, Accelerators: r.Accelerators * n}
}
