// Package workload describes jobs of several steps: what callers submit, how
// tasks are named, and the progress of a job.
package workload

import (
	"maps"
	"slices"
	"strconv"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/catalog"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Spec is a job as it was submitted. It never changes.
type Spec struct {
	ID string
	// Ended is set if the job has ended and Text is not kept any more.
	Ended bool
	// Queue is the queue that accepted the job, as it was then.
	Queue  catalog.Origin
	Tenant string
	// Text is opaque; it is passed to the executor with each task.
	Text  string
	Steps []Step
	// Times is how often the steps run; zero means once and immediately.
	Times    int
	StartAt  time.Time
	Interval time.Duration
	// SilentOwner is the version of the pool's owner record when the job was
	// recorded, if the owner was then overdue with its renewal; zero otherwise.
	// That owner starts the job only after another renewal, so that a successor
	// that has seen none knows that the job has not started.
	SilentOwner int64
	// AcceptedAt is when the job was recorded, by the wall clock of the entry
	// host that recorded it.
	AcceptedAt time.Time
	// ExpectedEnd is the time from its acceptance to its end that was expected then;
	// zero if it was not estimated.
	ExpectedEnd time.Duration
}

// Step is a set of identical tasks.
type Step struct {
	Count    int
	Size     fleet.Resources
	Estimate time.Duration
	// After lists earlier steps that must have ended first.
	After []int
	// Gang tasks make progress only while all of them run, and end together.
	Gang bool
	// OneRack tasks are slower when they run in more than one rack.
	OneRack bool
	// Label is a label that the executor must have; empty for any.
	Label string
	// DataRack is the rack in which the tasks are fast; empty for any.
	DataRack string
	// MaxPerExecutor bounds the tasks of one occurrence of the step on one
	// executor; zero means no bound.
	MaxPerExecutor int
	// Checkpoints is set if a stopped task can resume from a checkpoint.
	Checkpoints bool
	// Speculative tasks may have copies that run in parallel.
	Speculative bool
	// Service tasks run until the job is cancelled.
	Service bool
	// Image names the program; tasks of one image behave alike.
	Image string
	// LatencyTarget bounds the tail latency of a service task; zero for none.
	LatencyTarget time.Duration
	// BestEffort tasks use processors that other tasks leave idle; their
	// processor demand is not counted.
	BestEffort bool
	// MaxUnavailable bounds the service tasks that this system makes unavailable
	// at once; zero means no bound.
	MaxUnavailable int
}

// Demand returns what a task of the step takes of an executor's capacity.
func (s *Step) Demand() fleet.Resources {
	r := s.Size
	if s.BestEffort {
		r.MilliCPU = 0
	}
	return r
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(s.Times, 1) }

// Due returns when an occurrence may start; the zero time means immediately.
func (s *Spec) Due(occurrence int) time.Time {
	if s.Times <= 0 {
		return time.Time{}
	}
	return s.StartAt.Add(time.Duration(occurrence) * s.Interval)
}

// State is the state of a job that callers see.
type State int

// States of a job.
const (
	Queued State = iota
	Running
	Completed
	Failed
	Cancelled
)

var stateNames = [...]string{"queued", "running", "completed", "failed", "cancelled"}

// String returns the name of the state in logs and tables.
func (s State) String() string {
	if !s.Valid() {
		return "state " + strconv.Itoa(int(s))
	}
	return stateNames[s]
}

// Valid reports whether s is one of the states above.
func (s State) Valid() bool { return s >= Queued && s <= Cancelled }

// Ended reports whether the job is completed, failed or cancelled, so that none
// of its tasks runs any more.
func (s State) Ended() bool { return s >= Completed }

// Progress is the part of a job's state that must outlive the owner of its pool.
type Progress struct {
	State State
	// Done lists the tasks that succeeded.
	Done []TaskName
	// Failures has the failed attempts of each task that has any. Tasks of services
	// have none, because no number of failures ends them.
	Failures map[TaskName]Failures
	// Unknown lists the tasks of which a run has ended without a report, so that nobody
	// knows whether it succeeded or failed. They neither count as done nor run again.
	Unknown []TaskName
	// HighestAttempt is an upper bound of the attempt numbers of all runs of
	// tasks that have ended.
	HighestAttempt int
	// EndedAt is set once State.Ended.
	EndedAt time.Time
	// Undivided is set if the progress was recorded as a whole, by an earlier
	// version of this program, and not in parts.
	Undivided bool
}

// TasksPerPart is the number of consecutive tasks of a job whose progress is recorded
// together, so that no record grows with the size of the job.
const TasksPerPart = 250

// ProgressPart is the progress of a part of a job's tasks. Part zero also has the
// state of the job.
type ProgressPart struct {
	Number   int
	Progress Progress
}

// Merge adds another part of the same job's progress.
func (p *Progress) Merge(o Progress) {
	p.State = max(p.State, o.State)
	p.HighestAttempt = max(p.HighestAttempt, o.HighestAttempt)
	if o.EndedAt.After(p.EndedAt) {
		p.EndedAt = o.EndedAt
	}
	p.Undivided = p.Undivided || o.Undivided
	p.Done = append(p.Done, o.Done...)
	p.Unknown = append(p.Unknown, o.Unknown...)
	if p.Failures == nil {
		p.Failures = make(map[TaskName]Failures, len(o.Failures))
	}
	maps.Copy(p.Failures, o.Failures)
}

// MaxListedAttempts bounds the failed attempts of a task that are kept by number.
const MaxListedAttempts = 8

// Failures are the failed attempts of one task.
type Failures struct {
	Count int
	// Attempts lists the latest ones in ascending order, at most MaxListedAttempts.
	// They are kept by number, because an executor reports an end until it is
	// acknowledged, and a later owner must not count it twice.
	Attempts []int
}

// Add counts a failed attempt and reports whether it is new. Once some attempts are
// not listed any more, those below all that are listed count as known.
func (f *Failures) Add(attempt int) bool {
	i, listed := slices.BinarySearch(f.Attempts, attempt)
	if listed || i == 0 && f.Count > len(f.Attempts) {
		return false
	}
	f.Count++
	f.Attempts = slices.Insert(f.Attempts, i, attempt)
	if len(f.Attempts) > MaxListedAttempts {
		f.Attempts = slices.Delete(f.Attempts, 0, 1)
	}
	return true
}

// Clone returns a copy that shares nothing with f.
func (f *Failures) Clone() Failures { return Failures{f.Count, slices.Clone(f.Attempts)} }
