package jobs

import (
	"context"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	v1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// handleTaskState applies the state of a task that a worker reported. Reason
// says why the task was asked to stop, if it was.
func (s *scheduler) handleTaskState(e *entry, t *v1.Task, reason fault.Reason) {
	e.peakUsage = maxResources(e.peakUsage, fleet.Resources{
		MilliCPU:     t.Used.GetMilliCpu(),
		MemoryBytes:  t.Used.GetMemoryBytes(),
		Accelerators: t.Used.GetAccelerators(),
	})
	taskState, known := taskStateFromWire(t.State)
	if !known {
		// The worker does not know the task; the next poll inspects it.
		e.runConfirmed = false
		return
	}
	rep := job.Report{Token: t.Token, TaskState: taskState, Reason: reason, Checkpoint: t.Checkpoint}
	if taskState == job.TaskSucceeded && len(t.Output) > 0 && e.resultObject == "" {
		s.post(putResult{name: e.name, object: resultPrefix + e.name + "/" + t.Token, rep: rep, output: t.Output})
		return
	}
	s.applyReport(e, rep)
}

func taskStateFromWire(state v1.TaskState) (job.TaskState, bool) {
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

func maxResources(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

// applyReport commits what follows from a reported task state.
func (s *scheduler) applyReport(e *entry, rep job.Report) {
	if rep.TaskState == job.TaskRunning {
		s.applyRunning(e, rep)
		return
	}
	if e.taskEnded {
		return
	}
	e.taskEnded = true
	e.stopping, e.preempting, e.throttlePercent = false, false, 0
	s.recordOutcome(e, rep)
	s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.ApplyReport(r, rep) })
}

// applyRunning records that a task runs. The row is written only for tasks that
// have run for several polls, which saves a write for each short job.
func (s *scheduler) applyRunning(e *entry, rep job.Report) {
	e.runConfirmed = true
	longRunning := s.workerState(e.row.Worker).interval >= s.svc.config.MaxPollInterval/2
	if e.row.State != job.Running && len(e.pending) == 0 && longRunning {
		s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.ApplyReport(r, rep) })
	}
}

// recordOutcome updates job sizes and worker health from the end of a task.
func (s *scheduler) recordOutcome(e *entry, rep job.Report) {
	if rep.TaskState != job.TaskSucceeded && rep.TaskState != job.TaskFailed {
		return
	}
	if e.peakUsage != (fleet.Resources{}) {
		s.sizes.Observe(e.row.Queue, e.peakUsage)
	}
	if s.health.Record(e.row.Worker, e.name, rep.TaskState == job.TaskFailed) {
		s.svc.countRefused("place-job", fault.ReasonWorkerExcluded)
		s.post(reportBadWorker{e.row.Worker})
	}
}

// putResult stores the output in the object store before the job ends. After an
// error the next poll returns the output again.
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
	e.resultObject = r.call.object
	s.applyReport(e, r.call.rep)
}
