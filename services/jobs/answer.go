package jobs

import (
	"context"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	v1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// answered applies a worker's statement about a task. Reason says why the task
// was asked to stop, if it was.
func (s *scheduler) answered(e *entry, t *v1.Task, reason fault.Reason) {
	e.peak = atLeast(e.peak, fleet.Resources{
		MilliCPU:     t.Used.GetMilliCpu(),
		MemoryBytes:  t.Used.GetMemoryBytes(),
		Accelerators: t.Used.GetAccelerators(),
	})
	answer, known := answerOf(t.State)
	if !known {
		// A confirmed task that the worker does not know is inspected next.
		e.confirmed = false
		return
	}
	rep := job.Report{Token: t.Token, TaskState: answer, Reason: reason, Checkpoint: t.Checkpoint}
	if answer == job.TaskSucceeded && len(t.Output) > 0 && e.result == "" {
		s.post(putResult{name: e.name, object: resultPrefix + e.name + "/" + t.Token, rep: rep, output: t.Output})
		return
	}
	s.answer(e, rep)
}

func answerOf(state v1.TaskState) (job.TaskState, bool) {
	switch state {
	case v1.TaskState_TASK_STATE_NEVER:
		return job.TaskNeverStarted, true
	case v1.TaskState_TASK_STATE_RUNNING:
		return job.TaskRunning, true
	case v1.TaskState_TASK_STATE_SUCCEEDED:
		return job.TaskSucceeded, true
	case v1.TaskState_TASK_STATE_FAILED:
		return job.TaskFailed, true
	case v1.TaskState_TASK_STATE_STOPPED:
		return job.TaskStopped, true
	case v1.TaskState_TASK_STATE_LEASE_EXPIRED:
		return job.TaskLeaseExpired, true
	default:
		return 0, false
	}
}

func atLeast(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// answer records a statement and commits what follows from it.
func (s *scheduler) answer(e *entry, rep job.Report) {
	if rep.TaskState == job.TaskRunning {
		s.runs(e, rep)
		return
	}
	if e.ended {
		return
	}
	e.ended = true
	e.stopping, e.yielding, e.throttle = false, false, 0
	s.learn(e, rep)
	s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.ApplyReport(r, rep) })
}

// runs records that a task runs. The row is written only for tasks that have
// run for some polls, which saves a write for each short job.
func (s *scheduler) runs(e *entry, rep job.Report) {
	e.confirmed = true
	long := s.worker(e.row.Worker).interval >= s.svc.config.RenewEvery/2
	if e.row.State != job.Running && len(e.todo) == 0 && long {
		s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.ApplyReport(r, rep) })
	}
}

// learn remembers what the end of a task says about sizes and the worker.
func (s *scheduler) learn(e *entry, rep job.Report) {
	if rep.TaskState != job.TaskSucceeded && rep.TaskState != job.TaskFailed {
		return
	}
	if e.peak != (fleet.Resources{}) {
		s.sizes.Observe(e.row.Queue, e.peak)
	}
	if s.health.Record(e.row.Worker, e.name, rep.TaskState == job.TaskFailed) {
		s.svc.countRefused("place-job", fault.ReasonWorkerExcluded)
		s.post(reportBad{e.row.Worker})
	}
}

// putResult puts the output into the object store before the job ends. After
// an error the next poll brings the output again.
type putResult struct {
	name   string
	object string
	rep    job.Report
	output []byte
}

func (c putResult) run(ctx context.Context, s *Service) event {
	return resultStored{c, s.platform.PutObject(ctx, c.object, c.output)}
}

// resultStored is the outcome of putResult.
type resultStored struct {
	call putResult
	err  error
}

func (r resultStored) handle(s *scheduler) {
	e := s.jobs[r.call.name]
	if e == nil || e.row.Token != r.call.rep.Token {
		return
	}
	if r.err != nil {
		s.svc.countRetried("store-result", fault.ReasonOf(r.err))
		return
	}
	e.result = r.call.object
	s.answer(e, r.call.rep)
}
