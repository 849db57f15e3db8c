package poolplan

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/decision/workload"
)

// saveState is what of a job's progress is not durable yet.
type saveState struct {
	// saving is set while a save of the job is in progress.
	saving  bool
	unsaved bool
	// unsavedSince numbers the jobs in the order in which they became unsaved.
	unsavedSince int64
	// saveAfter is when a job whose last save was refused may be saved again.
	saveAfter time.Time
	// unsavedParts holds the parts with tasks whose progress has changed.
	unsavedParts map[int]bool
	// endsToSave lists the run ends that are durable once all parts are.
	endsToSave []endRef
}

// endRef names one run end listed by an incarnation of an executor.
type endRef struct {
	executor string
	serial   int64
	number   int64
}

// markUnsaved marks a job as changed since it was last saved.
func (p *Plan) markUnsaved(j *job) {
	if !j.unsaved {
		p.unsavedCount++
		j.unsavedSince = p.unsavedCount
	}
	j.unsaved = true
	p.unsavedJobs[j.spec.ID] = j
}

// markTaskUnsaved marks the part of the job's progress that holds a task as changed.
func (p *Plan) markTaskUnsaved(t *task) {
	j := t.group.job
	if j.unsavedParts == nil {
		j.unsavedParts = make(map[int]bool)
	}
	j.unsavedParts[t.part()] = true
	p.markUnsaved(j)
}

// part returns the number of the part that holds the task's progress.
func (t *task) part() int { return (t.group.firstTask + t.index) / workload.TasksPerPart }

// SaveLimit bounds what is saved at once.
type SaveLimit struct {
	// Jobs and Parts bound the jobs and the parts of their progress.
	Jobs, Parts int
	// Size bounds the sum of ProgressSize.
	Size int
}

// failureSize is the size of a task's failures, where a task that is done has the
// size one.
const failureSize = 10

// maxPartSize is the size of a part in which every task has failed and has an unknown
// outcome.
const maxPartSize = workload.TasksPerPart * (failureSize + 1)

// ProgressSize returns the size of a part's record in units of a task that is done.
func ProgressSize(p *workload.Progress) int {
	return len(p.Done) + len(p.Unknown) + failureSize*len(p.Failures)
}

// maxPartsPerJob bounds the parts of one job in one save, so that a large job does
// not keep others from being saved.
const maxPartsPerJob = 8

// Save is the progress of a job that has to be made durable.
type Save struct {
	Job string
	// Parts has part zero, and others that have changed.
	Parts []workload.ProgressPart
	// Spec and Version are the job as the store has it, and the version of its record.
	Spec    *workload.Spec
	Version int64
	ends    []endRef
}

// Saves returns jobs whose progress has to be saved, the longest waiting first. The
// caller must call SaveDone for each; until then the job is not returned again.
func (p *Plan) Saves(now time.Time, limit SaveLimit) []Save {
	var saves []Save
	waiting := slices.SortedFunc(maps.Values(p.unsavedJobs), func(a, b *job) int { return int(a.unsavedSince - b.unsavedSince) })
	for _, j := range waiting {
		if len(saves) == limit.Jobs || limit.Parts < 1 || limit.Size < maxPartSize {
			break
		}
		if j.saving || now.Before(j.saveAfter) {
			continue
		}
		saves = append(saves, p.startSave(j, &limit))
	}
	return saves
}

// startSave returns as much of a job's unsaved progress as limit allows, and reduces
// limit by it.
func (p *Plan) startSave(j *job, limit *SaveLimit) Save {
	j.saving, j.unsaved = true, false
	delete(p.unsavedJobs, j.spec.ID)
	if j.progress.State.Ended() {
		// The record of a job that has ended names no tasks.
		j.unsavedParts = nil
	}
	s := Save{Job: j.spec.ID, Spec: j.spec, Version: j.version}
	delete(j.unsavedParts, 0)
	numbers := append([]int{0}, slices.Sorted(maps.Keys(j.unsavedParts))...)
	for _, n := range numbers[:min(len(numbers), maxPartsPerJob)] {
		if limit.Parts < 1 || limit.Size < maxPartSize {
			break
		}
		part := workload.ProgressPart{Number: n, Progress: j.partProgress(n)}
		limit.Parts--
		limit.Size -= ProgressSize(&part.Progress)
		delete(j.unsavedParts, n)
		s.Parts = append(s.Parts, part)
	}
	if len(j.unsavedParts) > 0 {
		p.markUnsaved(j)
		return s
	}
	s.ends, j.endsToSave = j.endsToSave, nil
	return s
}

// partProgress returns the progress of the tasks in a part.
func (j *job) partProgress(number int) workload.Progress {
	var progress workload.Progress
	if number == 0 {
		progress = workload.Progress{State: j.progress.State, EndedAt: j.progress.EndedAt, HighestAttempt: j.highestAttempt}
		if progress.State == workload.Queued && j.begun {
			progress.State = workload.Running
		}
		if progress.State.Ended() {
			return progress
		}
	}
	progress.Failures = make(map[workload.TaskName]workload.Failures)
	first, end := number*workload.TasksPerPart, (number+1)*workload.TasksPerPart
	for _, o := range j.occurrences {
		for _, g := range o.groups {
			from, to := max(first-g.firstTask, 0), min(end-g.firstTask, len(g.tasks))
			for i := from; i < to; i++ {
				g.tasks[i].addProgress(&progress)
			}
		}
	}
	return progress
}

func (t *task) addProgress(p *workload.Progress) {
	if t.outcomeUnknown && !t.done {
		p.Unknown = append(p.Unknown, t.name())
	}
	switch {
	case t.done:
		p.Done = append(p.Done, t.name())
	case t.failures.Count > 0:
		p.Failures[t.name()] = t.failures.Clone()
	}
}

// HasUnsaved reports whether progress waits to be saved.
func (p *Plan) HasUnsaved() bool { return len(p.unsavedJobs) > 0 }

// SaveDone records whether a save is durable. If it is not, Saves returns the
// job again.
func (p *Plan) SaveDone(now time.Time, s Save, ok bool) {
	j := p.jobs[s.Job]
	if j == nil {
		return
	}
	j.saving = false
	if !ok {
		p.returnSave(j, s)
		return
	}
	j.begunRecorded = j.begunRecorded || s.Parts[0].Progress.State != workload.Queued
	j.knownAttempt = max(j.knownAttempt, s.Parts[0].Progress.HighestAttempt)
	for _, m := range s.ends {
		p.endSaved(m)
	}
	if j.unsaved {
		p.unsavedJobs[s.Job] = j
		return
	}
	if j.progress.State == workload.Completed {
		p.removeJob(now, s.Job)
	}
}

// returnSave makes a job whose save failed unsaved again.
func (p *Plan) returnSave(j *job, s Save) {
	j.endsToSave = append(s.ends, j.endsToSave...)
	for _, part := range s.Parts[1:] {
		if j.unsavedParts == nil {
			j.unsavedParts = make(map[int]bool)
		}
		j.unsavedParts[part.Number] = true
	}
	p.markUnsaved(j)
}

// DelaySave keeps a job whose progress the store refuses out of the saves until a
// time, so that the progress of other jobs is saved meanwhile.
func (p *Plan) DelaySave(job string, until time.Time) {
	if j := p.jobs[job]; j != nil {
		j.saveAfter = until
	}
}

// Bounds on the jobs that have begun without a record of it.
const (
	// recordBegunAbove is their number above which the oldest ones are recorded.
	recordBegunAbove = 200
	// maxBegunListed bounds those that Pending returns. The others seem queued for
	// longer.
	maxBegunListed = 1000
)

// PendingQueue has the jobs of one queue of which no task has started.
type PendingQueue struct {
	Place catalog.Place
	Jobs  int
}

// Pending returns, for each queue that accepted jobs, those of which no task has
// started, and the jobs that have begun but whose saved progress does not show
// it yet. If these are many, the oldest of them will be saved.
func (p *Plan) Pending() (pending map[string]PendingQueue, begun []string) {
	pending = make(map[string]PendingQueue)
	var unrecorded []*job
	for _, j := range p.jobs {
		switch {
		case j.closed() || j.begunRecorded:
		case !j.begun:
			q := &j.spec.Queue
			pending[q.Name] = PendingQueue{q.Place, pending[q.Name].Jobs + 1}
		default:
			unrecorded = append(unrecorded, j)
		}
	}
	slices.SortFunc(unrecorded, func(a, b *job) int { return compareAcceptance(a.spec, b.spec) })
	if extra := len(unrecorded) - recordBegunAbove; extra > 0 {
		for _, j := range unrecorded[:extra] {
			p.markUnsaved(j)
		}
	}
	for _, j := range unrecorded[:min(len(unrecorded), maxBegunListed)] {
		begun = append(begun, j.spec.ID)
	}
	slices.Sort(begun)
	return pending, begun
}

// MarkBegun records that jobs have begun under an earlier owner, which published that
// and did not record it.
func (p *Plan) MarkBegun(ids []string) {
	for _, id := range ids {
		if j := p.jobs[id]; j != nil {
			j.begun = true
		}
	}
}

// compareAcceptance orders jobs by the time at which they were accepted.
func compareAcceptance(a, b *workload.Spec) int {
	return cmp.Or(a.AcceptedAt.Compare(b.AcceptedAt), cmp.Compare(a.ID, b.ID))
}
