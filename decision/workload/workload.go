// Package workload describes jobs of several steps: what callers submit, how
// tasks are named, and how far a job has come.
package workload

import (
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Spec is a job as it was submitted. It never changes.
type Spec struct {
	ID     string
	Queue  string
	Tenant string
	// Text is opaque; it is handed to the executor with each task.
	Text  string
	Steps []Step
	// Times is how often the steps run; zero means once, at once.
	Times    int
	StartAt  time.Time
	Interval time.Duration
	// SilentOwner is the version of the pool's owner record when the job was
	// recorded, if its owner had not renewed it for a while; zero otherwise. That
	// owner starts the job only after another renewal, so that a successor
	// which has seen none knows that the job has not begun.
	SilentOwner int64
	// AcceptedAt is the wall-clock time of the entry host that recorded the job.
	AcceptedAt time.Time
}

// Step is a set of equal tasks.
type Step struct {
	Count    int
	Size     fleet.Resources
	Estimate time.Duration
	// After lists earlier steps that must have ended first.
	After []int
	// Gang tasks work only while all of them are present, and end together.
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
	// Checkpoints tells that a stopped task can resume where it was.
	Checkpoints bool
	// Speculative tasks may have copies that run in parallel.
	Speculative bool
	// Service tasks run until the job is cancelled.
	Service bool
	// Image names the program; tasks of one image behave alike.
	Image string
	// LatencyTarget bounds the tail latency of a service task; zero for none.
	LatencyTarget time.Duration
	// Filler tasks use the processors that others leave idle; their processor
	// demand is not counted.
	Filler bool
	// MaxUnavailable is how many service tasks may be away at once because of
	// this system; zero means no bound.
	MaxUnavailable int
}

// Demand returns what a task of the step takes of an executor's capacity.
func (s *Step) Demand() fleet.Resources {
	r := s.Size
	if s.Filler {
		r.MilliCPU = 0
	}
	return r
}

// Occurrences returns how often the steps run.
func (s *Spec) Occurrences() int { return max(s.Times, 1) }

// Due returns when occurrence k may start; the zero time means at once.
func (s *Spec) Due(k int) time.Time {
	if s.Times <= 0 {
		return time.Time{}
	}
	return s.StartAt.Add(time.Duration(k) * s.Interval)
}

// State is what callers see of a job.
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
func (s State) String() string { return stateNames[s] }

// Ended reports whether nothing of the job runs any more.
func (s State) Ended() bool { return s >= Completed }

// Progress is the part of a job's state that must survive its owner.
type Progress struct {
	State State
	// Done holds the tasks that ended well.
	Done []TaskName
	// Failures lists the attempts that failed of tasks that have any. They are
	// kept by number, because an executor lists an end until it is acknowledged,
	// and a later owner must not count it again.
	Failures map[TaskName][]int
	// HighestAttempt is at least the highest attempt number of any task's run that
	// has ended.
	HighestAttempt int
	// EndedAt is set once State.Ended.
	EndedAt time.Time
}
