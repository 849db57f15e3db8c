package worker

import (
	"strconv"
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
	v1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// start starts a token once. It returns why the token will never start, or
// an empty string when it did start, now or earlier.
func (w *Worker) start(req *v1.StartTaskRequest, p Payload) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if known := w.tasks[req.Token]; known != nil {
		if known.state == v1.TaskState_TASK_STATE_NEVER {
			return known.detail
		}
		return ""
	}
	resources := fromWire(req.Resources)
	if w.faults.Leaving {
		return w.recordNeverStarted(req.Token, RefusedLeaving).detail
	}
	if !resources.Fits(w.free) {
		return w.recordNeverStarted(req.Token, RefusedNoRoom).detail
	}
	w.run(req, p, resources)
	return ""
}

func (w *Worker) recordNeverStarted(token, why string) *task {
	t := &task{token: token, state: v1.TaskState_TASK_STATE_NEVER, detail: why}
	w.tasks[token] = t
	return t
}

func (w *Worker) run(req *v1.StartTaskRequest, p Payload, resources fleet.Resources) {
	now := time.Now()
	t := &task{
		token:          req.Token,
		state:          v1.TaskState_TASK_STATE_RUNNING,
		resources:      resources,
		payload:        p,
		started:        now,
		progressAt:     now,
		remaining:      time.Duration(p.RunMs)*time.Millisecond - checkpointProgress(req.Checkpoint),
		percent:        100,
		executionIndex: len(w.executions),
	}
	w.tasks[req.Token] = t
	w.free = w.free.Sub(resources)
	w.executions = append(w.executions, Execution{Worker: w.config.Name, Job: req.Job, Token: req.Token, Start: now})
	if w.faults.FailAll {
		w.finish(t, v1.TaskState_TASK_STATE_FAILED, "worker fails every task")
		return
	}
	t.endTimer = time.AfterFunc(t.remaining, func() { w.complete(t) })
	t.leaseTimer = time.AfterFunc(leaseDuration(req.LeaseMs), func() { w.expire(t) })
}

// checkpointProgress returns the progress that a checkpoint stands for.
func checkpointProgress(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint, 10, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func leaseDuration(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (w *Worker) complete(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if t.payload.Fail {
		w.finish(t, v1.TaskState_TASK_STATE_FAILED, "payload says fail")
		return
	}
	w.finish(t, v1.TaskState_TASK_STATE_SUCCEEDED, "")
}

func (w *Worker) expire(t *task) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.finish(t, v1.TaskState_TASK_STATE_LEASE_EXPIRED, "lease ended")
}

// finish ends a running task and frees its room; w.mu is held.
func (w *Worker) finish(t *task, state v1.TaskState, detail string) {
	if t.state != v1.TaskState_TASK_STATE_RUNNING {
		return
	}
	t.state = state
	t.detail = detail
	if state == v1.TaskState_TASK_STATE_SUCCEEDED {
		t.output = []byte(t.payload.Output)
	}
	if t.endTimer != nil {
		t.endTimer.Stop()
		t.leaseTimer.Stop()
	}
	w.free = w.free.Add(t.allocated())
	w.executions[t.executionIndex].End = time.Now()
}

func (w *Worker) renew(tokens []string, leaseMs int64) []*v1.Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*v1.Task
	for _, token := range tokens {
		t := w.tasks[token]
		if t != nil && t.state == v1.TaskState_TASK_STATE_RUNNING {
			t.leaseTimer.Reset(leaseDuration(leaseMs))
		}
		out = append(out, w.describe(token, t))
	}
	return out
}

func (w *Worker) inspect(tokens []string, forbidUnknown bool) []*v1.Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []*v1.Task
	for _, token := range tokens {
		t := w.tasks[token]
		if t == nil && forbidUnknown {
			t = w.recordNeverStarted(token, RefusedNeverStarted)
		}
		out = append(out, w.describe(token, t))
	}
	return out
}

func (w *Worker) stop(token string) *v1.Task {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[token]
	if t == nil {
		t = w.recordNeverStarted(token, RefusedNeverStarted)
	}
	w.finish(t, v1.TaskState_TASK_STATE_STOPPED, "stopped")
	return w.describe(token, t)
}

// checkpoint saves the progress of a running task; empty when it is not
// running.
func (w *Worker) checkpoint(token string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[token]
	if t == nil || t.state != v1.TaskState_TASK_STATE_RUNNING {
		return ""
	}
	t.updateRemaining()
	total := time.Duration(t.payload.RunMs) * time.Millisecond
	t.checkpoint = strconv.FormatInt((total - t.remaining).Milliseconds(), 10)
	return t.checkpoint
}

// throttle lets a task progress at percent of its speed.
func (w *Worker) throttle(token string, percent int32) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := w.tasks[token]
	if t == nil || t.state != v1.TaskState_TASK_STATE_RUNNING || percent <= 0 || percent > 100 {
		return
	}
	t.updateRemaining()
	before := t.allocated()
	t.percent = percent
	w.free = w.free.Add(before).Sub(t.allocated())
	t.endTimer.Reset(t.remaining * 100 / time.Duration(percent))
}

// updateRemaining moves the elapsed time, at the current speed, off the remaining one.
func (t *task) updateRemaining() {
	now := time.Now()
	t.remaining -= now.Sub(t.progressAt) * time.Duration(t.percent) / 100
	t.progressAt = now
}

func (t *task) allocated() fleet.Resources {
	r := t.resources
	r.MilliCPU = r.MilliCPU * int64(t.percent) / 100
	return r
}

// describe returns the answer about a token; an unknown one has no state.
func (w *Worker) describe(token string, t *task) *v1.Task {
	if t == nil {
		return &v1.Task{Token: token}
	}
	out := &v1.Task{Token: token, State: t.state, Output: t.output, Detail: t.detail, Checkpoint: t.checkpoint}
	if !t.started.IsZero() && time.Since(t.started) >= w.config.UsageLag {
		out.Used = toWire(fleet.Resources{MilliCPU: t.payload.UseMilliCPU, MemoryBytes: t.payload.UseMemoryBytes})
	}
	return out
}
