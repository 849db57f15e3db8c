// Package job decides the life of a job: which state follows an event, and
// what may be said about whether its body ran.
//
// A transition takes the record as last read and returns the next one. The
// caller commits the next record on condition that the row still has the
// version that it read; safety rests on that condition and on the worker,
// which starts a token at most once and never after it answered TaskNeverStarted.
// Which process takes the decision does not matter.
package job

import (
	"slices"

	"fuchsiafront.example/fuchsiafront/fault"
)

// State is the position of a job in its life.
type State string

// States of a job.
const (
	Queued State = "queued"
	// Placed means that a worker and a token are chosen; the body may run.
	Placed    State = "placed"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// SetAside jobs wait for an operator.
	SetAside State = "set aside"
	// Unknown means that the worker of a non-idempotent job has not answered
	// past the end of the task lease. A later answer resolves it.
	Unknown State = "unknown"
)

// MaxFailedWorkers is the number of different workers on which a job may
// fail before it is set aside.
const MaxFailedWorkers = 3

// MaxFailures bounds failures on any workers, because a small pool may not
// have MaxFailedWorkers of them.
const MaxFailures = 6

// Holder is a process of an entry host.
type Holder struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is what is kept of a job.
type Record struct {
	Team       string       `json:"team"`
	ID         string       `json:"id"`
	Queue      string       `json:"queue"`
	Idempotent bool         `json:"idempotent"`
	SpecHash   string       `json:"specHash"`
	State      State        `json:"state"`
	Reason     fault.Reason `json:"reason,omitempty"`
	Attempt    int          `json:"attempt"`
	Worker     string       `json:"worker,omitempty"`
	Token      string       `json:"token,omitempty"`
	// Holder has the right to run that covers the job. It is set exactly while
	// the team's row of rights counts a right for the job.
	Holder Holder `json:"holder"`
	// MayRenew are earlier holders that may still renew the task lease.
	MayRenew []Holder `json:"mayRenew,omitempty"`
	// CancelRequested is set while a cancelled job may still be running.
	CancelRequested bool `json:"cancelRequested,omitempty"`
	// RanBefore is set when an attempt whose outcome is settled ran, or may
	// have run, at least in part.
	RanBefore  bool     `json:"ranBefore,omitempty"`
	FailedOn   []string `json:"failedOn,omitempty"`
	Failures   int      `json:"failures,omitempty"`
	Checkpoint string   `json:"checkpoint,omitempty"`
}

// Active reports whether the body may be running now, so that a right to run
// is needed.
func (r Record) Active() bool { return r.State == Placed || r.State == Running }

// Ended reports whether r is in an end state.
func (r Record) Ended() bool {
	return r.State == Done || r.State == Failed || r.State == Cancelled || r.State == SetAside
}

// NotRun reports whether it is certain that the body has not run and never
// will.
func (r Record) NotRun() bool { return r.Ended() && !r.RanBefore }

// TransitionResult tells what became of an event. Changed is false when the record
// stays as it is, and Reason then says why.
type TransitionResult struct {
	Changed bool
	Reason  fault.Reason
}

func unchanged(reason fault.Reason) TransitionResult { return TransitionResult{Reason: reason} }

func changed(reason fault.Reason) TransitionResult {
	return TransitionResult{Changed: true, Reason: reason}
}

// Submit returns the record of a new job.
func Submit(team, id, queue, specHash string, idempotent bool) Record {
	return Record{Team: team, ID: id, Queue: queue, SpecHash: specHash, Idempotent: idempotent, State: Queued}
}

// Repeats reports whether a submission with the given hash repeats r; if not,
// the identifier is taken by another job.
func Repeats(r Record, specHash string) bool { return r.SpecHash == specHash }

// Place chooses a worker for a queued job. The token must be new for every
// call and is sent to the worker only after the record is committed.
func Place(r Record, worker, token string, holder Holder) (Record, TransitionResult) {
	if r.State != Queued {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	r.State = Placed
	r.Reason = ""
	r.Attempt++
	r.Worker = worker
	r.Token = token
	r.Holder = holder
	r.MayRenew = nil
	return r, changed("")
}

// TaskState is what a worker says about a token.
type TaskState int

// Answers of a worker.
const (
	// TaskNeverStarted means that the token was not started and never will be,
	// either because the start was refused or because it was forbidden.
	TaskNeverStarted TaskState = iota
	TaskRunning
	TaskSucceeded
	TaskFailed
	TaskStopped
	TaskLeaseExpired
)

// Report is a worker's statement about one token. Reason refines TaskNeverStarted
// and TaskStopped and may be empty.
type Report struct {
	Token      string
	TaskState  TaskState
	Reason     fault.Reason
	Checkpoint string
}

// ApplyReport applies a worker's statement.
func ApplyReport(r Record, rep Report) (Record, TransitionResult) {
	if rep.Token != r.Token || r.Token == "" {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	if !r.Active() && r.State != Unknown {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	switch rep.TaskState {
	case TaskNeverStarted:
		return requeue(r, reasonOr(rep.Reason, fault.ReasonNeverStarted))
	case TaskRunning:
		return markRunning(r)
	case TaskSucceeded:
		return endJob(markRan(r), Done, "")
	case TaskFailed:
		return applyFailure(markRan(r))
	case TaskStopped:
		return applyStop(markRan(r), rep)
	default:
		return endInterruptedAttempt(markRan(r), fault.ReasonLeaseExpired)
	}
}

// ApplyWorkerUnreachable applies that the worker could not be reached for the length of a
// task lease. While an earlier holder may still renew the lease, the task may
// run on: an idempotent job then stays as it is, and any other becomes unknown
// and keeps its right.
func ApplyWorkerUnreachable(r Record, token string) (Record, TransitionResult) {
	if !r.Active() || r.Token != token {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	if r.Idempotent && len(r.MayRenew) > 0 {
		return r, unchanged(fault.ReasonWorkerUnreachable)
	}
	if r.Idempotent {
		return requeue(markRan(r), fault.ReasonWorkerUnreachable)
	}
	r.State = Unknown
	r.Reason = fault.ReasonWorkerUnreachable
	if len(r.MayRenew) == 0 {
		r.Holder = Holder{}
	}
	return r, changed(r.Reason)
}

// ApplyLeaseEnd applies that the lease of an unknown job's task has certainly
// ended, so that the job needs no right.
func ApplyLeaseEnd(r Record, token string) (Record, TransitionResult) {
	if r.State != Unknown || r.Token != token || len(r.MayRenew) > 0 || r.Holder == (Holder{}) {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	r.Holder = Holder{}
	return r, changed("")
}

// StopRenewing applies that holder, or a process that has ended, renews the
// task lease no more.
func StopRenewing(r Record, holder Holder) (Record, TransitionResult) {
	if !slices.Contains(r.MayRenew, holder) {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	r.MayRenew = slices.DeleteFunc(slices.Clone(r.MayRenew), func(h Holder) bool { return h == holder })
	return r, changed("")
}

// Cancel ends a job that certainly does not run, and marks one that may run so
// that its scheduler stops it.
func Cancel(r Record) (Record, TransitionResult) {
	if r.Ended() {
		return r, unchanged(fault.ReasonJobEnded)
	}
	if r.CancelRequested {
		return r, unchanged(fault.ReasonCancelled)
	}
	r.CancelRequested = true
	if r.State == Queued {
		return endJob(r, Cancelled, fault.ReasonCancelled)
	}
	return r, changed(fault.ReasonCancelled)
}

// Adopt moves the right of a job that may run to another holder. The earlier
// holder may renew the task lease until it learns of this.
func Adopt(r Record, holder Holder) (Record, TransitionResult) {
	covered := r.Holder != Holder{}
	if r.Holder == holder || (!r.Active() && !(r.State == Unknown && covered)) {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	if covered {
		r.MayRenew = append(slices.Clone(r.MayRenew), r.Holder)
	}
	r.MayRenew = slices.DeleteFunc(r.MayRenew, func(h Holder) bool { return h == holder })
	r.Holder = holder
	return r, changed("")
}

// MoveToSetAside sets a queued job aside, such as one that can never run.
func MoveToSetAside(r Record, reason fault.Reason) (Record, TransitionResult) {
	if r.State != Queued {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	return endJob(r, SetAside, reason)
}

func markRan(r Record) Record {
	r.RanBefore = true
	return r
}

func markRunning(r Record) (Record, TransitionResult) {
	if r.State == Running {
		return r, unchanged("")
	}
	r.State = Running
	r.Reason = ""
	return r, changed("")
}

func applyFailure(r Record) (Record, TransitionResult) {
	if r.CancelRequested {
		return endJob(r, Cancelled, fault.ReasonCancelled)
	}
	r.Failures++
	if !slices.Contains(r.FailedOn, r.Worker) {
		r.FailedOn = append(slices.Clone(r.FailedOn), r.Worker)
	}
	if !r.Idempotent {
		return endJob(r, Failed, fault.ReasonTaskFailed)
	}
	if len(r.FailedOn) >= MaxFailedWorkers || r.Failures >= MaxFailures {
		return endJob(r, SetAside, fault.ReasonFailedOnWorkers)
	}
	return requeue(r, fault.ReasonTaskFailed)
}

func applyStop(r Record, rep Report) (Record, TransitionResult) {
	if rep.Checkpoint != "" {
		r.Checkpoint = rep.Checkpoint
	}
	return endInterruptedAttempt(r, reasonOr(rep.Reason, fault.ReasonTaskStopped))
}

// endInterruptedAttempt ends an attempt that ran in part.
func endInterruptedAttempt(r Record, reason fault.Reason) (Record, TransitionResult) {
	if r.Idempotent || r.CancelRequested {
		return requeue(r, reason)
	}
	return endJob(r, Failed, reason)
}

// requeue ends an attempt and lets another follow, unless the job is
// cancelled.
func requeue(r Record, reason fault.Reason) (Record, TransitionResult) {
	if r.CancelRequested {
		return endJob(r, Cancelled, fault.ReasonCancelled)
	}
	r.State = Queued
	r.Reason = reason
	r.Worker = ""
	r.Token = ""
	r.Holder = Holder{}
	r.MayRenew = nil
	return r, changed(reason)
}

func endJob(r Record, s State, reason fault.Reason) (Record, TransitionResult) {
	r.State = s
	r.Reason = reason
	r.Holder = Holder{}
	r.MayRenew = nil
	return r, changed(reason)
}

func reasonOr(reason, other fault.Reason) fault.Reason {
	if reason == "" {
		return other
	}
	return reason
}
