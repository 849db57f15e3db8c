package admin

import (
	"context"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
	wirev1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// Default and maximum number of jobs in one answer.
const (
	defaultJobs = 100
	maxJobs     = 1000
)

// ListQueues returns all queues with the numbers of requests that wait and run
// on this entry host.
func (h *handler) ListQueues(_ context.Context, r *connect.Request[wirev1.ListQueuesRequest]) (*connect.Response[wirev1.ListQueuesResponse], error) {
	_, view, err := h.authenticate(r.Header())
	if err != nil {
		return nil, h.refuse("list queues", err)
	}
	statusByQueue := make(map[string]services.QueueStatus)
	for _, q := range h.service.dispatcher.Queues() {
		statusByQueue[q.Queue] = q
	}
	resp := &wirev1.ListQueuesResponse{}
	for _, q := range view.Document.Queues() {
		resp.Queues = append(resp.Queues, &wirev1.QueueInfo{
			Queue: q.Name, Team: q.Team, Pool: q.Pool, Class: string(q.Class),
			Waiting: int32(statusByQueue[q.Name].Waiting), Running: int32(statusByQueue[q.Name].Running),
		})
	}
	return connect.NewResponse(resp), nil
}

// ListTeams returns all teams with their rights and the work that runs for them.
func (h *handler) ListTeams(_ context.Context, r *connect.Request[wirev1.ListTeamsRequest]) (*connect.Response[wirev1.ListTeamsResponse], error) {
	_, view, err := h.authenticate(r.Header())
	if err != nil {
		return nil, h.refuse("list teams", err)
	}
	usage := make(map[string]services.RightsUsage)
	for _, u := range h.service.rights.Usage() {
		usage[u.Team] = u
	}
	running := make(map[string]int)
	for _, load := range h.service.peers.Loads() {
		running[load.Team] += load.Running
	}
	resp := &wirev1.ListTeamsResponse{}
	for _, t := range view.Document.Teams() {
		u := usage[t.Name]
		resp.Teams = append(resp.Teams, teamInfo(t, u, running[t.Name]+u.Used))
	}
	return connect.NewResponse(resp), nil
}

func teamInfo(t document.Team, u services.RightsUsage, running int) *wirev1.TeamInfo {
	info := &wirev1.TeamInfo{
		Team: t.Name, Share: t.Share, Limit: int32(t.Limit),
		Held: int32(u.Held), Used: int32(u.Used), FleetHeld: int32(u.FleetHeld), FleetRunning: int32(running),
	}
	for _, k := range t.Keys {
		if k.Withdrawn {
			info.WithdrawnKeyIds = append(info.WithdrawnKeyIds, k.ID)
		} else {
			info.KeyIds = append(info.KeyIds, k.ID)
		}
	}
	return info
}

// ListJobs returns the jobs of a queue, or of all queues of worker pools if no
// queue is named.
func (h *handler) ListJobs(ctx context.Context, r *connect.Request[wirev1.ListJobsRequest]) (*connect.Response[wirev1.ListJobsResponse], error) {
	const step = "list jobs"
	_, view, err := h.authenticate(r.Header())
	if err != nil {
		return nil, h.refuse(step, err)
	}
	queues, err := jobQueues(view, step, r.Msg.Queue)
	if err != nil {
		return nil, h.refuse(step, err)
	}
	limit := int(r.Msg.Limit)
	if limit <= 0 {
		limit = defaultJobs
	}
	limit = min(limit, maxJobs)
	resp := &wirev1.ListJobsResponse{}
	for _, queue := range queues {
		remaining := limit - len(resp.Jobs)
		if remaining == 0 {
			break
		}
		jobs, err := h.service.jobs.List(ctx, queue, remaining)
		if err != nil {
			return nil, h.refuse(step, err)
		}
		for _, j := range jobs {
			resp.Jobs = append(resp.Jobs, jobInfo(j))
		}
	}
	return connect.NewResponse(resp), nil
}

func jobQueues(view *services.View, step, queue string) ([]string, error) {
	if queue != "" {
		if _, ok := view.Document.Queue(queue); !ok {
			return nil, malformed(step, "queue", queue, "the name of a queue that a section declares")
		}
		return []string{queue}, nil
	}
	var names []string
	for _, q := range view.Document.Queues() {
		if pool, _ := view.Document.Pool(q.Pool); pool.Kind == fleet.KindWorker {
			names = append(names, q.Name)
		}
	}
	return names, nil
}

func jobInfo(j services.JobStatus) *wirev1.JobInfo {
	return &wirev1.JobInfo{
		Id: j.ID, Team: j.Team, Queue: j.Queue, State: j.State, Reason: j.Reason,
		Worker: j.Worker, Attempt: int32(j.Attempt),
	}
}

// ListRefusals returns how often this entry host refused work, by reason.
func (h *handler) ListRefusals(_ context.Context, r *connect.Request[wirev1.ListRefusalsRequest]) (*connect.Response[wirev1.ListRefusalsResponse], error) {
	if _, _, err := h.authenticate(r.Header()); err != nil {
		return nil, h.refuse("list refusals", err)
	}
	resp := &wirev1.ListRefusalsResponse{}
	for _, c := range h.service.metrics.Refusals() {
		resp.Refusals = append(resp.Refusals, &wirev1.RefusalInfo{Step: c.Step, Reason: string(c.Reason), Count: c.Count})
	}
	return connect.NewResponse(resp), nil
}
