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
	e.startSent = true
	e.taskEnded = false
	e.runConfirmed = false
	h, known := s.host(e.row.Worker)
	if !known {
		// The token was never sent, so that it cannot start.
		s.applyReport(e, job.Report{Token: e.row.Token, TaskState: job.TaskNeverStarted, Reason: fault.ReasonUnknownHost})
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
	call        startTask
	neverReason fault.Reason
	err         error
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
		return taskStarted{c, refusalReason(resp.Msg.Refused), nil}
	default:
		return taskStarted{call: c}
	}
}

// refusalReason maps a worker's word to a counted reason.
func refusalReason(word string) fault.Reason {
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
	e.leaseExtendedAt = s.now
	w := s.workerState(t.call.host.Name)
	w.interval = initialPollInterval
	w.nextPoll = s.now.Add(initialPollInterval)
	switch {
	case t.neverReason != "":
		s.avoid(t.call.host.Name, t.neverReason)
		s.applyReport(e, job.Report{Token: t.call.row.Token, TaskState: job.TaskNeverStarted, Reason: t.neverReason})
	case t.err != nil:
		// The token is inspected, and forbidden if the worker has not seen it.
		s.svc.countRetried("start-task", fault.ReasonWorkerUnreachable)
		s.avoid(t.call.host.Name, fault.ReasonWorkerUnreachable)
	default:
		e.runConfirmed = true
	}
	s.reconcile(e)
}
