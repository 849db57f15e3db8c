package jobs

import (
	"context"
	"errors"
	"net"
	"strings"
	"time"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	v1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
	"fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1/fuchsiafrontv1connect"
)

// client returns the task service of a worker.
func (s *Service) client(h fleet.Host) fuchsiafrontv1connect.WorkerServiceClient {
	address := h.Address
	if !strings.Contains(address, "://") {
		address = "http://" + address
	}
	return fuchsiafrontv1connect.NewWorkerServiceClient(s.config.HTTPClient, address)
}

// notDelivered reports whether err shows that no byte reached the worker.
func notDelivered(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// start sends a placed job to its worker.
func (s *scheduler) start(e *entry) {
	e.sent = true
	e.ended = false
	e.confirmed = false
	h, known := s.host(e.row.Worker)
	if !known {
		// The token was never sent, so that it cannot start.
		s.answer(e, job.Report{Token: e.row.Token, Answer: job.AnswerNever, Reason: fault.ReasonUnknownHost})
		return
	}
	e.starting = true
	notAfter := e.placedAt.Add(s.svc.config.TaskLease / 2)
	s.post(startTask{name: e.name, host: h, row: e.row, size: e.size, notAfter: notAfter})
}

// startTask calls StartTask once for a token.
type startTask struct {
	name string
	host fleet.Host
	row  row
	size fleet.Resources
	// notAfter keeps a process that was paused from starting a task which
	// another scheduler has long dealt with.
	notAfter time.Time
}

// taskStarted is the outcome of startTask. Never holds why the token certainly
// does not start.
type taskStarted struct {
	call  startTask
	never fault.Reason
	err   error
}

func (c startTask) run(ctx context.Context, s *Service) event {
	payload := c.row.Payload
	if c.row.PayloadObject != "" {
		data, found, err := s.platform.GetObject(ctx, c.row.PayloadObject)
		if err != nil || !found {
			return taskStarted{c, fault.ReasonPlatformDown, err}
		}
		payload = data
	}
	if s.config.Clock().After(c.notAfter) {
		return taskStarted{c, fault.ReasonPaused, nil}
	}
	ctx, cancel := context.WithTimeout(ctx, s.config.WorkerTimeout)
	defer cancel()
	resp, err := s.client(c.host).StartTask(ctx, connect.NewRequest(&v1.StartTaskRequest{
		Token:      c.row.Token,
		Job:        c.name,
		Resources:  &v1.Resources{MilliCpu: c.size.MilliCPU, MemoryBytes: c.size.MemoryBytes, Accelerators: c.size.Accelerators},
		LeaseMs:    s.config.TaskLease.Milliseconds(),
		Payload:    payload,
		Checkpoint: c.row.Checkpoint,
	}))
	switch {
	case err != nil && notDelivered(err):
		return taskStarted{c, fault.ReasonConnectFailed, err}
	case err != nil:
		return taskStarted{c, "", err}
	case !resp.Msg.Started:
		return taskStarted{c, refusal(resp.Msg.Refused), nil}
	default:
		return taskStarted{call: c}
	}
}

// refusal maps a worker's word to a counted reason.
func refusal(word string) fault.Reason {
	switch r := fault.Reason(word); r {
	case fault.ReasonNoRoom, fault.ReasonLeaving, fault.ReasonNeverStarted:
		return r
	default:
		return fault.ReasonStartRefused
	}
}

func (t taskStarted) handle(s *scheduler) {
	e := s.jobs[t.call.name]
	if e == nil {
		return
	}
	e.starting = false
	e.leaseFrom = s.now
	w := s.worker(t.call.host.Name)
	w.interval = firstPoll
	w.nextPoll = s.now.Add(firstPoll)
	switch {
	case t.never != "":
		s.shun(t.call.host.Name, t.never)
		s.answer(e, job.Report{Token: t.call.row.Token, Answer: job.AnswerNever, Reason: t.never})
	case t.err != nil:
		// The token is inspected, and forbidden if the worker has not seen it.
		s.svc.countRetried("start-task", fault.ReasonWorkerUnreachable)
		s.shun(t.call.host.Name, fault.ReasonWorkerUnreachable)
	default:
		e.confirmed = true
	}
	s.settle(e)
}
