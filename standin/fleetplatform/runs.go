package fleetplatform

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Run is one run of a task that an executor started.
type Run struct {
	Executor string
	// ExecutorStartedMs tells the incarnations of the executor apart.
	ExecutorStartedMs int64
	Task              string
	Attempt           int
	// Late is set when the start was carried out late.
	Late  bool
	Start time.Time
	// End is zero while the run is in progress.
	End    time.Time
	Ending string
	// EndAckedInLease is set when the end was acknowledged before the executor's
	// lease expired. Ends acknowledged later do not count: the host that holds the
	// executor may have given up the run by then.
	EndAckedInLease bool
	// StartToken and AckToken are the fencing tokens of the start and of the
	// acknowledgement of the end, which tell owners apart. AckedAt is when the end was
	// acknowledged.
	StartToken, AckToken int64
	AckedAt              time.Time

	// duration is how long the run takes unless it is stopped.
	duration time.Duration
}

// RunRecorder records the runs of all executors for checks.
type RunRecorder struct {
	mu   sync.Mutex
	runs []*Run
}

// Runs returns copies of all runs.
func (r *RunRecorder) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, len(r.runs))
	for i, run := range r.runs {
		runs[i] = *run
	}
	return runs
}

func (r *RunRecorder) add(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs = append(r.runs, run)
}

func (r *RunRecorder) end(run *Run, ending string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.End, run.Ending = time.Now(), ending
}

// JobOf returns the job that a task belongs to.
func JobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// Overlaps describes each pair of runs of the same task that ran at the same
// time.
func Overlaps(runs []Run) []string {
	return findPairs(runs, func(a, b *Run) bool { return b.startedBeforeEndOf(a) })
}

// RunsAfterAckedEnd describes each pair of runs of the same task of which the second
// started after the first had ended as done, if that end was acknowledged in time, before
// the second start or after it.
func RunsAfterAckedEnd(runs []Run) []string {
	return findPairs(runs, func(a, b *Run) bool {
		return a.Ending == "done" && a.EndAckedInLease && !b.startedBeforeEndOf(a)
	})
}

// RepeatedRuns describes each pair of runs that breaks the rule of the platform that no
// task runs twice: those of Overlaps and RunsAfterAckedEnd.
func RepeatedRuns(runs []Run) []string {
	return append(Overlaps(runs), RunsAfterAckedEnd(runs)...)
}

// findPairs describes the pairs of runs of the same task for which holds returns true. It
// is called with the run that started first as its first argument.
func findPairs(runs []Run, holds func(a, b *Run) bool) []string {
	byTask := make(map[string][]*Run)
	for i := range runs {
		byTask[runs[i].Task] = append(byTask[runs[i].Task], &runs[i])
	}
	var found []string
	for _, same := range byTask {
		slices.SortStableFunc(same, func(a, b *Run) int { return a.Start.Compare(b.Start) })
		for i, a := range same {
			for _, b := range same[i+1:] {
				if holds(a, b) {
					found = append(found, fmt.Sprintf("task %s: %v; %v", a.Task, a, b))
				}
			}
		}
	}
	slices.Sort(found)
	return found
}

// startedBeforeEndOf reports whether r started before other ended.
func (r *Run) startedBeforeEndOf(other *Run) bool {
	return other.End.IsZero() || r.Start.Before(other.End)
}

// String describes the run without its task.
func (r *Run) String() string {
	const timeOfDay = "15:04:05.000"
	start, end := "started", "running"
	if r.Late {
		start = "started late"
	}
	if !r.End.IsZero() {
		end = r.Ending + " " + r.End.Format(timeOfDay)
	}
	if r.EndAckedInLease {
		end += fmt.Sprintf(" acknowledged %s with token %d", r.AckedAt.Format(timeOfDay), r.AckToken)
	}
	return fmt.Sprintf("attempt %d on %s (%d) %s %s with token %d %s", r.Attempt, r.Executor, r.ExecutorStartedMs, start, r.Start.Format(timeOfDay), r.StartToken, end)
}
