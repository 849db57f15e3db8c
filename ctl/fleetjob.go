package ctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/workload"
	"fuchsiafront.example/fuchsiafront/platform"
	"fuchsiafront.example/fuchsiafront/services"
	"fuchsiafront.example/fuchsiafront/wire/jobrecord"
)

// jobView is one job as recorded in the store.
type jobView struct {
	ID       string    `json:"ID"`
	Pool     string    `json:"Pool"`
	Queue    string    `json:"Queue"`
	Tenant   string    `json:"Tenant"`
	Accepted time.Time `json:"Accepted"`
	// RecordedAt is the version that the store gave the job's record.
	RecordedAt int64 `json:"RecordedAt"`
	// SilentOwner is the version of the owner's record if the owner was overdue
	// with its renewal when the job was recorded.
	SilentOwner int64      `json:"SilentOwner,omitempty"`
	State       string     `json:"State"`
	Cancelled   bool       `json:"Cancelled"`
	EndedAfter  string     `json:"EndedAfter,omitempty"`
	Done        int        `json:"Done"`
	Tasks       int        `json:"Tasks"`
	Steps       []stepView `json:"Steps"`
	// Owner and OwnerTerm are the owner of the pool and its term.
	Owner     string `json:"Owner"`
	OwnerTerm int    `json:"OwnerTerm"`
}

// stepView is one step of one occurrence of a job.
type stepView struct {
	Occurrence int `json:"Occurrence"`
	Step       int `json:"Step"`
	Tasks      int `json:"Tasks"`
	Done       int `json:"Done"`
	Failures   int `json:"Failures"`
	// Unknown counts the tasks of which nobody knows whether they succeeded or failed.
	Unknown int     `json:"Unknown"`
	Cores   float64 `json:"Cores"`
	After   []int   `json:"After"`
}

// Ended reports whether the job has ended.
func (j *jobView) Ended() bool { return j.EndedAfter != "" }

// printTable prints the job with its steps.
func (j *jobView) printTable(r printRow) {
	r("JOB", j.ID)
	r("POOL", j.Pool, "owner", cmp.Or(j.Owner, "-"), "term", j.OwnerTerm)
	r("QUEUE", j.Queue, "tenant", cmp.Or(j.Tenant, "-"))
	r("ACCEPTED", j.Accepted.UTC().Format(time.RFC3339Nano), "version", j.RecordedAt)
	if j.SilentOwner > 0 {
		r("OWNER_SILENT", "at version", j.SilentOwner)
	}
	r("STATE", j.State, "ended after", cmp.Or(j.EndedAfter, "-"))
	r("STEP", "TASKS", "DONE", "FAILURES", "UNKNOWN", "CPU", "AFTER")
	for _, s := range j.Steps {
		r(fmt.Sprintf("%d.%d", s.Occurrence, s.Step), s.Tasks, s.Done, s.Failures, s.Unknown, s.Cores, fmt.Sprint(s.After))
	}
}

// newJobView combines a job with its progress.
func newJobView(pool string, spec *workload.Spec, version int64, p workload.Progress) jobView {
	j := jobView{
		ID: spec.ID, Pool: pool, Queue: spec.Queue.Name, Tenant: spec.Tenant, Accepted: spec.AcceptedAt, RecordedAt: version,
		SilentOwner: spec.SilentOwner, State: p.State.String(), Done: len(p.Done),
	}
	if p.State.Ended() {
		j.EndedAfter = p.EndedAt.Sub(spec.AcceptedAt).Round(time.Millisecond).String()
	}
	for occurrence := range spec.Occurrences() {
		for n, step := range spec.Steps {
			view := stepView{Occurrence: occurrence, Step: n, Tasks: step.Count, Cores: cores(step.Size.MilliCPU), After: step.After}
			view.Done, view.Unknown = countInStep(p.Done, occurrence, n), countInStep(p.Unknown, occurrence, n)
			for task, failures := range p.Failures {
				if task.Occurrence == occurrence && task.Step == n {
					view.Failures += failures.Count
				}
			}
			j.Tasks += step.Count
			j.Steps = append(j.Steps, view)
		}
	}
	return j
}

// countInStep returns how many of the tasks belong to a step.
func countInStep(tasks []workload.TaskName, occurrence, step int) int {
	n := 0
	for _, task := range tasks {
		if task.Occurrence == occurrence && task.Step == step {
			n++
		}
	}
	return n
}

// joinJobsWithProgress combines the records of jobs with those of their progress,
// in the order in which the jobs were accepted.
func joinJobsWithProgress(pool string, jobs, progress []services.Record) ([]jobView, error) {
	progressByID := make(map[string]workload.Progress, len(progress))
	for i := range progress {
		id, kind := jobrecord.ParseKey(progress[i].Key)
		if kind != jobrecord.KindProgress {
			continue
		}
		p, err := jobrecord.DecodeProgress(id, progress[i].Value)
		if err != nil {
			return nil, newExitError(exitFailed, "read progress", "%s: %w", id, err)
		}
		merged := progressByID[id]
		merged.Merge(p)
		progressByID[id] = merged
	}
	var views []jobView
	cancelled := make(map[string]bool)
	for i := range jobs {
		switch id, kind := jobrecord.ParseKey(jobs[i].Key); kind {
		case jobrecord.KindCancel:
			cancelled[id] = true
		case jobrecord.KindJob:
			spec, err := jobrecord.DecodeSpec(id, jobs[i].Value)
			if err != nil {
				return nil, newExitError(exitFailed, "read job", "%s: %w", id, err)
			}
			views = append(views, newJobView(pool, spec, jobs[i].Version, progressByID[id]))
		}
	}
	for i := range views {
		views[i].Cancelled = cancelled[views[i].ID]
	}
	slices.SortFunc(views, func(a, b jobView) int {
		return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
	})
	return views, nil
}

// readJobs returns the jobs of a pool, the oldest first.
func readJobs(ctx context.Context, a *platform.Adapter, pool string) ([]jobView, error) {
	var jobs []services.Record
	for _, part := range jobrecord.JobParts() {
		records, _, err := services.ScanAll(ctx, a, services.RecordRange{Table: jobrecord.TableJobs(pool), Part: part})
		if err != nil {
			return nil, err
		}
		jobs = append(jobs, records...)
	}
	progress, _, err := services.ScanAll(ctx, a, services.RecordRange{Table: jobrecord.TableProgress, Part: pool})
	if err != nil {
		return nil, err
	}
	return joinJobsWithProgress(pool, jobs, progress)
}

// readJob returns one job of a pool, or nil if the pool does not hold it.
func readJob(ctx context.Context, a *platform.Adapter, pool, id string) (*jobView, error) {
	jobs, _, err := services.ScanAll(ctx, a, jobrecord.JobRange(pool, id))
	if err != nil || len(jobs) == 0 {
		return nil, err
	}
	progress, _, err := services.ScanAll(ctx, a, jobrecord.ProgressRange(pool, id))
	if err != nil {
		return nil, err
	}
	views, err := joinJobsWithProgress(pool, jobs, progress)
	if err != nil || len(views) == 0 {
		return nil, err
	}
	return &views[0], nil
}
