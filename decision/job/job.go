// Package job decides the life cycle of a job: which state follows an event,
// and whether it may be stated that the job's body ran.
//
// A transition takes the record as last read and returns the next one. The
// caller commits the next record on condition that the row still has the
// version that it read. Safety rests on that condition and on the worker, which
// starts a token at most once and never after it answered TaskNeverStarted.
// Which process makes the decision does not matter.
package job

import (
	"slices"

	"fuchsiafront.example/fuchsiafront/fault"
)

// State is the state of a job in its life cycle.
type State string

// States of a job.
const (
	Queued State = "queued"
	// Placed means that a worker and a token are chosen; the body may be running.
	Placed    State = "placed"
	Running   State = "running"
	Done      State = "done"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// SetAside jobs wait for an operator's decision.
	SetAside State = "set aside"
	// Unknown means that the worker of a non-idempotent job has not answered by
	// the end of the task lease. A later answer resolves it.
	Unknown State = "unknown"
)

// MaxFailedWorkers is the number of different workers on which a job may fail
// before it is set aside.
const MaxFailedWorkers = 3

// MaxFailures bounds the failures on any workers, because a small pool may have
// fewer than MaxFailedWorkers workers.
const MaxFailures = 6

// Holder identifies a process of an entry host.
type Holder struct {
	Host        string `json:"host"`
	Incarnation uint64 `json:"incarnation"`
}

// Record is the stored state of a job.
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
	// Holder holds the right to run that covers the job. It is set exactly while
	// the team's row of rights counts a right for the job.
	Holder Holder `json:"holder"`
	// PossibleRenewers are earlier holders that may still renew the task lease.
	PossibleRenewers []Holder `json:"mayRenew,omitempty"`
	// CancelRequested is set while a job that is to be cancelled may still be
	// running.
	CancelRequested bool `json:"cancelRequested,omitempty"`
	// RanBefore is set if an attempt whose outcome is settled ran at least in
	// part, or may have done so.
	RanBefore  bool     `json:"ranBefore,omitempty"`
	FailedOn   []string `json:"failedOn,omitempty"`
	Failures   int      `json:"failures,omitempty"`
	Checkpoint string   `json:"checkpoint,omitempty"`
}

// Active reports whether the body may be running now, so that a right to run is
// needed.
func (r Record) Active() bool { return r.State == Placed || r.State == Running }

// Ended reports whether r is in an end state.
func (r Record) Ended() bool {
	return r.State == Done || r.State == Failed || r.State == Cancelled || r.State == SetAside
}

// NotRun reports whether it is certain that the body has not run and never
// will.
func (r Record) NotRun() bool { return r.Ended() && !r.RanBefore }

// TransitionResult is the outcome of a transition. Changed is false if the
// record stays as it is, and Reason then states why.
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

// Repeats reports whether a submission with the given hash repeats r. Otherwise
// the identifier belongs to another job.
func Repeats(r Record, specHash string) bool { return r.SpecHash == specHash }

// Place assigns a queued job to a worker. The token must be new for every call
// and is sent to the worker only after the record is committed.
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
	r.PossibleRenewers = nil
	return r, changed("")
}

// TaskState is the state of a token's task as reported by a worker.
type TaskState int

// States of a task.
const (
	// TaskNeverStarted means that the token was not started and never will be,
	// because its start was either refused or forbidden.
	TaskNeverStarted TaskState = iota
	TaskRunning
	TaskSucceeded
	TaskFailed
	TaskStopped
	TaskLeaseExpired
)

// Report is a worker's report on one token. Reason refines
// TaskNeverStarted and TaskStopped and may be empty.
type Report struct {
	Token      string
	TaskState  TaskState
	Reason     fault.Reason
	Checkpoint string
}

// ApplyReport applies a worker's report.
func ApplyReport(r Record, report Report) (Record, TransitionResult) {
	if report.Token != r.Token || r.Token == "" {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	if !r.Active() && r.State != Unknown {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	switch report.TaskState {
	case TaskNeverStarted:
		return requeue(r, reasonOr(report.Reason, fault.ReasonNeverStarted))
	case TaskRunning:
		return markRunning(r)
	case TaskSucceeded:
		return endJob(markRan(r), Done, "")
	case TaskFailed:
		return applyFailure(markRan(r))
	case TaskStopped:
		return applyStop(markRan(r), report)
	default:
		return endInterruptedAttempt(markRan(r), fault.ReasonLeaseExpired)
	}
}

// ApplyWorkerUnreachable applies that the worker could not be reached for the
// duration of a task lease. While an earlier holder may still renew the lease,
// the task may continue to run: an idempotent job then stays as it is, and any
// other becomes unknown and keeps its right.
func ApplyWorkerUnreachable(r Record, token string) (Record, TransitionResult) {
	if !r.Active() || r.Token != token {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	if r.Idempotent && len(r.PossibleRenewers) > 0 {
		return r, unchanged(fault.ReasonWorkerUnreachable)
	}
	if r.Idempotent {
		return requeue(markRan(r), fault.ReasonWorkerUnreachable)
	}
	r.State = Unknown
	r.Reason = fault.ReasonWorkerUnreachable
	if len(r.PossibleRenewers) == 0 {
		r.Holder = Holder{}
	}
	return r, changed(r.Reason)
}

// ApplyLeaseEnd applies that the task lease of an unknown job has certainly
// ended, so that the job needs no right.
func ApplyLeaseEnd(r Record, token string) (Record, TransitionResult) {
	if r.State != Unknown || r.Token != token || len(r.PossibleRenewers) > 0 || r.Holder == (Holder{}) {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	r.Holder = Holder{}
	return r, changed("")
}

// StopRenewing applies that holder, which may be a process that has ended, no
// longer renews the task lease.
func StopRenewing(r Record, holder Holder) (Record, TransitionResult) {
	if !slices.Contains(r.PossibleRenewers, holder) {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	r.PossibleRenewers = slices.DeleteFunc(slices.Clone(r.PossibleRenewers), func(h Holder) bool { return h == holder })
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
	hasRight := r.Holder != Holder{}
	if r.Holder == holder || (!r.Active() && !(r.State == Unknown && hasRight)) {
		return r, unchanged(fault.ReasonStaleCopy)
	}
	if hasRight {
		r.PossibleRenewers = append(slices.Clone(r.PossibleRenewers), r.Holder)
	}
	r.PossibleRenewers = slices.DeleteFunc(r.PossibleRenewers, func(h Holder) bool { return h == holder })
	r.Holder = holder
	return r, changed("")
}

// MoveToSetAside sets a queued job aside, for example one that can never run.
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

func applyStop(r Record, report Report) (Record, TransitionResult) {
	if report.Checkpoint != "" {
		r.Checkpoint = report.Checkpoint
	}
	return endInterruptedAttempt(r, reasonOr(report.Reason, fault.ReasonTaskStopped))
}

// endInterruptedAttempt ends an attempt that ran in part.
func endInterruptedAttempt(r Record, reason fault.Reason) (Record, TransitionResult) {
	if r.Idempotent || r.CancelRequested {
		return requeue(r, reason)
	}
	return endJob(r, Failed, reason)
}

// requeue ends an attempt and permits another one, unless the job is to be
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
	r.PossibleRenewers = nil
	return r, changed(reason)
}

func endJob(r Record, state State, reason fault.Reason) (Record, TransitionResult) {
	r.State = state
	r.Reason = reason
	r.Holder = Holder{}
	r.PossibleRenewers = nil
	return r, changed(reason)
}

func reasonOr(reason, fallback fault.Reason) fault.Reason {
	if reason == "" {
		return fallback
	}
	return reason
}
