package worker

import (
	"context"

	"connectrpc.com/connect"

	v1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// taskHandler decodes and encodes the calls of the task service.
type taskHandler struct{ worker *Worker }

func (s *taskHandler) StartTask(_ context.Context, req *connect.Request[v1.StartTaskRequest]) (*connect.Response[v1.StartTaskResponse], error) {
	p, err := parsePayload(req.Msg.Payload)
	if err != nil {
		return nil, err
	}
	refused := s.worker.start(req.Msg, p)
	return connect.NewResponse(&v1.StartTaskResponse{Started: refused == "", Refused: refused}), nil
}

func (s *taskHandler) RenewTasks(_ context.Context, req *connect.Request[v1.RenewTasksRequest]) (*connect.Response[v1.RenewTasksResponse], error) {
	return connect.NewResponse(&v1.RenewTasksResponse{Tasks: s.worker.renew(req.Msg.Tokens, req.Msg.LeaseMs)}), nil
}

func (s *taskHandler) InspectTasks(_ context.Context, req *connect.Request[v1.InspectTasksRequest]) (*connect.Response[v1.InspectTasksResponse], error) {
	return connect.NewResponse(&v1.InspectTasksResponse{Tasks: s.worker.inspect(req.Msg.Tokens, req.Msg.ForbidUnknown)}), nil
}

func (s *taskHandler) StopTask(_ context.Context, req *connect.Request[v1.StopTaskRequest]) (*connect.Response[v1.StopTaskResponse], error) {
	return connect.NewResponse(&v1.StopTaskResponse{Task: s.worker.stop(req.Msg.Token)}), nil
}

func (s *taskHandler) CheckpointTask(_ context.Context, req *connect.Request[v1.CheckpointTaskRequest]) (*connect.Response[v1.CheckpointTaskResponse], error) {
	return connect.NewResponse(&v1.CheckpointTaskResponse{Checkpoint: s.worker.checkpoint(req.Msg.Token)}), nil
}

func (s *taskHandler) ThrottleTask(_ context.Context, req *connect.Request[v1.ThrottleTaskRequest]) (*connect.Response[v1.ThrottleTaskResponse], error) {
	s.worker.throttle(req.Msg.Token, req.Msg.Percent)
	return connect.NewResponse(&v1.ThrottleTaskResponse{}), nil
}
