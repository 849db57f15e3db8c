package jobs

import (
	"context"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	v1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// stop asks the worker to stop a task, after a checkpoint if requested. This
// forbids a token that was not started.
func (s *scheduler) stop(e *entry, rep job.Report, checkpoint bool) {
	h, known := s.host(e.row.Worker)
	if !known || s.now.Before(e.nextStop) {
		return
	}
	e.stopping = true
	s.post(stopTask{name: e.name, host: h, rep: rep, checkpoint: checkpoint})
}

type stopTask struct {
	name       string
	host       fleet.Host
	rep        job.Report
	checkpoint bool
}

// taskStopped is the outcome of stopTask.
type taskStopped struct {
	call stopTask
	task *v1.Task
	err  error
}

func (c stopTask) run(ctx context.Context, s *Service) event {
	ctx, cancel := context.WithTimeout(ctx, s.config.WorkerTimeout)
	defer cancel()
	client := s.client(c.host)
	if c.checkpoint {
		req := connect.NewRequest(&v1.CheckpointTaskRequest{Token: c.rep.Token})
		if _, err := client.CheckpointTask(ctx, req); err != nil {
			return taskStopped{c, nil, err}
		}
	}
	resp, err := client.StopTask(ctx, connect.NewRequest(&v1.StopTaskRequest{Token: c.rep.Token}))
	if err != nil {
		return taskStopped{c, nil, err}
	}
	return taskStopped{c, resp.Msg.Task, nil}
}

func (t taskStopped) handle(s *scheduler) {
	e := s.jobs[t.call.name]
	if e == nil || e.row.Token != t.call.rep.Token {
		return
	}
	e.stopping = false
	e.preempting = false
	if t.err != nil {
		e.runConfirmed = false
		e.nextStop = s.now.Add(initialPollInterval)
		s.svc.countRetried("stop-task", fault.ReasonWorkerUnreachable)
		return
	}
	s.handleTaskState(e, t.task, t.call.rep.Reason)
	s.placeJobs()
}

// throttleTask limits a task to a percentage of its processors.
type throttleTask struct {
	name    string
	host    fleet.Host
	token   string
	percent int
}

// taskThrottled is the outcome of throttleTask.
type taskThrottled struct {
	call throttleTask
	err  error
}

func (c throttleTask) run(ctx context.Context, s *Service) event {
	ctx, cancel := context.WithTimeout(ctx, s.config.WorkerTimeout)
	defer cancel()
	req := connect.NewRequest(&v1.ThrottleTaskRequest{Token: c.token, Percent: int32(c.percent)})
	_, err := s.client(c.host).ThrottleTask(ctx, req)
	return taskThrottled{c, err}
}

func (t taskThrottled) handle(s *scheduler) {
	e := s.jobs[t.call.name]
	if e == nil || e.row.Token != t.call.token {
		return
	}
	e.preempting = false
	if t.err != nil {
		s.svc.countRetried("throttle-task", fault.ReasonWorkerUnreachable)
		return
	}
	e.throttlePercent = t.call.percent % unthrottledPercent
	s.placeJobs()
}

// unthrottledPercent ends the throttling of a task.
const unthrottledPercent = 100
