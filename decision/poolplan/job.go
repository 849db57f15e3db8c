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
	// inherited jobs may have been started by an earlier owner.
	inherited bool
	cancelled bool
	// beyondShare jobs start after those that can be on time and are within the
	// share of their tenant.
	beyondShare bool
	occurrences []*occurrence
	progress    workload.Progress
	begun       bool
	saving      bool
	dirty       bool
	// ends lists the executors' ends that the next save makes durable.
	ends []endMark
	// failedOn lists the executors on which tasks of the job have failed.
	failedOn []string
}

// endMark is one end of an executor's life.
type endMark struct {
	executor string
	born     int64
	number   int64
}

// occurrence is one pass through the steps.
type occurrence struct {
	number int
	groups []*group
	left   int
}

// group is the tasks of one step of one occurrence.
type group struct {
	job     *job
	number  int
	stepNo  int
	step    *workload.Step
	tasks   []*task
	done    int
	ready   bool
	readyAt time.Time
	// waits is why the group waits as it was last noted, at waitNotedAt.
	waits       wait
	waitNotedAt time.Time
	// lateness is the class of the group when the order was last made.
	lateness int
	// priority is that of the group's queue at that time.
	priority int
	advice   *advice
}

// task is one task of a group.
type task struct {
	group *group
	index int
	done  bool
	// failures lists the attempts that failed.
	failures []int
	attempts int
	runs     []*run
	// checkpoint is the newest state that the task can resume from.
	checkpoint string
	// failedOn lists the executors on which the task failed or stood still.
	failedOn []string
	// lost tells that the last run ended without a report.
	lost bool
}

func (t *task) id() workload.TaskID {
	return workload.TaskID{Job: t.group.job.spec.ID, TaskName: t.name()}
}

func (t *task) name() workload.TaskName {
	return workload.TaskName{Occurrence: t.group.number, Step: t.group.stepNo, Index: t.index}
}

func (g *group) waiting() int {
	n := 0
	for _, t := range g.tasks {
		if t.open() {
			n++
		}
	}
	return n
}

// open reports whether the task needs another run. A speculative one gets a
// copy once its executor has left the registry and does not answer. Silence alone
// may be this host's own.
func (t *task) open() bool {
	if t.done {
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

func (t *task) failOn(e *executor) {
	if !slices.Contains(t.failedOn, e.ID) {
		t.failedOn = append(t.failedOn, e.ID)
	}
}

// over reports whether nothing of the job may start any more.
func (j *job) over() bool { return j.cancelled || j.progress.State.Ended() }

func (j *job) failOn(e *executor) {
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

// AddJob adds a recorded job. inherited tells that it was recorded before this
// owner took over. A job that is known already, or has ended here a short time
// ago, is left as it is: its progress may have been read before it ended.
func (p *Plan) AddJob(now time.Time, spec *workload.Spec, progress workload.Progress, inherited bool) {
	if _, ended := p.ended[spec.ID]; ended || p.jobs[spec.ID] != nil || progress.State.Ended() {
		return
	}
	j := &job{spec: spec, inherited: inherited, progress: progress, beyondShare: p.beyondShare(spec)}
	for k := range spec.Occurrences() {
		j.occurrences = append(j.occurrences, newOccurrence(j, k))
	}
	for _, n := range progress.Done {
		if t := j.task(n); t != nil && !t.done {
			t.finish()
			j.begun = true
		}
	}
	for n, failures := range progress.Failures {
		if t := j.task(n); t != nil {
			t.failures, t.attempts = slices.Clone(failures), progress.HighestAttempt
			j.begun = true
		}
	}
	p.jobs[spec.ID] = j
	p.regroup = true
	p.endIfComplete(now, j)
}

func newOccurrence(j *job, number int) *occurrence {
	o := &occurrence{number: number}
	for i := range j.spec.Steps {
		step := &j.spec.Steps[i]
		g := &group{job: j, number: number, stepNo: i, step: step}
		for k := range step.Count {
			g.tasks = append(g.tasks, &task{group: g, index: k})
		}
		o.groups = append(o.groups, g)
		o.left += step.Count
	}
	return o
}

// finish marks a task as done.
func (t *task) finish() {
	t.done = true
	t.group.done++
	t.group.job.occurrences[t.group.number].left--
}

// CancelJob ends a job; its runs are stopped.
func (p *Plan) CancelJob(now time.Time, id string) {
	j := p.jobs[id]
	if j == nil || j.cancelled {
		return
	}
	j.cancelled = true
	p.regroup = true
	p.note(Event{What: "job cancelled", Job: id, Age: now.Sub(j.spec.AcceptedAt)})
}

// stopCancelled stops the runs of jobs that have been cancelled or have failed.
func (p *Plan) stopCancelled(now time.Time) {
	for id, j := range p.jobs {
		if !j.cancelled && j.progress.State != workload.Failed {
			continue
		}
		left := 0
		for _, r := range j.runs() {
			left++
			p.stop(now, r, "job ended")
		}
		if j.cancelled && j.progress.State != workload.Cancelled {
			p.end(now, j, workload.Cancelled)
		}
		if left == 0 && !j.dirty && !j.saving {
			p.forget(now, id)
		}
	}
}

// rememberEnded is how long the plan knows that a job has ended. The store shows
// a change again for as long as it keeps its history, which is 20 s.
const rememberEnded = 2 * time.Minute

// forget drops a job that has ended and is saved.
func (p *Plan) forget(now time.Time, id string) {
	delete(p.jobs, id)
	p.ended[id] = now
	if now.Sub(p.prunedAt) < rememberEnded {
		return
	}
	p.prunedAt = now
	maps.DeleteFunc(p.ended, func(_ string, at time.Time) bool { return now.Sub(at) > rememberEnded })
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

// end records the final state of a job.
func (p *Plan) end(now time.Time, j *job, s workload.State) {
	if j.progress.State.Ended() {
		return
	}
	j.progress.State, j.progress.EndedAt = s, now
	p.touch(j)
	p.regroup = true
	p.note(Event{What: "job ended", Job: j.spec.ID, Reason: s.String(), Age: now.Sub(j.spec.AcceptedAt)})
}

func (p *Plan) endIfComplete(now time.Time, j *job) {
	for _, o := range j.occurrences {
		if o.left > 0 {
			return
		}
	}
	p.end(now, j, workload.Completed)
}

// touch marks a job as changed since it was last saved.
func (p *Plan) touch(j *job) {
	j.dirty = true
	p.unsaved[j.spec.ID] = j
}

// Save is the progress of a job to make durable.
type Save struct {
	Job      string
	Progress workload.Progress
	marks    []endMark
}

// Saves returns up to limit jobs whose progress has to be saved. SaveDone is
// called for each; until then the job is not returned again.
func (p *Plan) Saves(limit int) []Save {
	var saves []Save
	for _, id := range slices.Sorted(maps.Keys(p.unsaved)) {
		if len(saves) == limit {
			break
		}
		j := p.unsaved[id]
		if j.saving {
			continue
		}
		j.saving, j.dirty = true, false
		delete(p.unsaved, id)
		saves = append(saves, Save{Job: id, Progress: j.snapshot(), marks: j.ends})
		j.ends = nil
	}
	return saves
}

// Unsaved reports whether progress waits to be saved.
func (p *Plan) Unsaved() bool { return len(p.unsaved) > 0 }

func (j *job) snapshot() workload.Progress {
	s := workload.Progress{State: j.progress.State, EndedAt: j.progress.EndedAt, Failures: make(map[workload.TaskName][]int)}
	if s.State == workload.Queued && j.begun {
		s.State = workload.Running
	}
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			for _, t := range g.tasks {
				s.HighestAttempt = max(s.HighestAttempt, t.attempts)
				if t.done {
					s.Done = append(s.Done, t.name())
				}
				if len(t.failures) > 0 {
					s.Failures[t.name()] = slices.Clone(t.failures)
				}
			}
		}
	}
	return s
}

// SaveDone records whether a save is durable. When it is not, the job is
// returned by Saves again.
func (p *Plan) SaveDone(now time.Time, s Save, ok bool) {
	j := p.jobs[s.Job]
	if j == nil {
		return
	}
	j.saving = false
	if !ok {
		j.ends = append(s.marks, j.ends...)
		p.touch(j)
		return
	}
	for _, m := range s.marks {
		p.acknowledge(m)
	}
	if j.dirty {
		p.unsaved[s.Job] = j
		return
	}
	if j.progress.State == workload.Completed {
		p.forget(now, s.Job)
	}
}

// Pending returns, for each queue, the number of jobs for which no task has
// started, and the jobs that have begun but whose progress says nothing yet.
func (p *Plan) Pending() (pending map[string]int, begun []string) {
	pending = make(map[string]int)
	for id, j := range p.jobs {
		if j.over() {
			continue
		}
		switch {
		case !j.begun:
			pending[j.spec.Queue]++
		case j.progress.State == workload.Queued:
			begun = append(begun, id)
		}
	}
	slices.Sort(begun)
	return pending, begun
}

// charge adds n times what a run of t takes to its executor and tenant.
func (p *Plan) charge(r *run, sign int64) {
	s := r.task.group.step
	r.executor.used = r.executor.used.Add(scale(s.Demand(), sign))
	tenant := r.task.group.job.spec.Tenant
	p.used[tenant] = p.used[tenant].Add(scale(s.Size, sign))
	if s.Service && s.LatencyTarget > 0 {
		r.executor.serviceRuns += int(sign)
	}
	if s.Filler {
		r.executor.fillerRuns += int(sign)
	}
}

func scale(r fleet.Resources, n int64) fleet.Resources {
	return fleet.Resources{MilliCPU: r.MilliCPU * n, MemoryBytes: r.MemoryBytes * n, Accelerators: r.Accelerators * n}
}
