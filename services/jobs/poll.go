package jobs

import (
	"context"
	"slices"

	"connectrpc.com/connect"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
	v1 "fuchsiafront.example/fuchsiafront/wire/fuchsiafront/v1"
)

// pollWorkers polls each worker that is due, once for all of its tasks.
func (s *scheduler) pollWorkers() {
	if s.svc.membership.CheckMayUseRights(s.now) != nil {
		return
	}
	due := make(map[string]*pollWorker)
	for _, e := range s.jobs {
		if s.needsPoll(e) {
			s.addPoll(due, e)
		}
	}
	for name, p := range due {
		w := s.workerState(name)
		w.polling = true
		w.interval = min(max(2*w.interval, initialPollInterval), s.svc.config.MaxPollInterval)
		w.nextPoll = s.now.Add(w.interval)
		s.post(*p)
	}
}

func (s *scheduler) needsPoll(e *entry) bool {
	q := s.queues[e.row.Queue]
	if q == nil || !q.leased || e.starting || e.stopping || e.taskEnded {
		return false
	}
	if e.row.Token == e.placedToken && !e.startSent {
		return false
	}
	return e.row.Active() || e.row.State == job.Unknown
}

func (s *scheduler) addPoll(due map[string]*pollWorker, e *entry) {
	w := s.workerState(e.row.Worker)
	if w.polling || s.now.Before(w.nextPoll) {
		return
	}
	p := due[e.row.Worker]
	if p == nil {
		h, known := s.host(e.row.Worker)
		if !known {
			e.runConfirmed = false
			return
		}
		p = &pollWorker{host: h, jobsByToken: make(map[string]string), heldTokens: make(map[string]bool)}
		due[e.row.Worker] = p
	}
	p.jobsByToken[e.row.Token] = e.name
	// Only the holder in the row renews, so that a later one knows who may.
	p.heldTokens[e.row.Token] = e.row.Holder == s.self
	if e.runConfirmed && p.heldTokens[e.row.Token] {
		p.renewTokens = append(p.renewTokens, e.row.Token)
	} else {
		p.inspectTokens = append(p.inspectTokens, e.row.Token)
	}
}

// pollWorker renews the leases of the tasks on one worker. Tasks that are not
// known to run are inspected first, which forbids those not yet started.
type pollWorker struct {
	host          fleet.Host
	renewTokens   []string
	inspectTokens []string
	// jobsByToken maps tokens to job names.
	jobsByToken map[string]string
	// heldTokens are the tokens of jobs whose right this host holds; other
	// tasks are not renewed.
	heldTokens map[string]bool
}

// workerPolled is the outcome of pollWorker. Renewed are the tokens for which a
// renewal was sent, whether or not it succeeded.
type workerPolled struct {
	call    pollWorker
	tasks   []*v1.Task
	renewed []string
	err     error
}

func (c pollWorker) run(ctx context.Context, s *Service) event {
	ctx, cancel := context.WithTimeout(ctx, s.config.WorkerTimeout)
	defer cancel()
	client := s.client(c.host)
	out := workerPolled{call: c, renewed: slices.Clone(c.renewTokens)}
	if len(c.inspectTokens) > 0 {
		req := connect.NewRequest(&v1.InspectTasksRequest{Tokens: c.inspectTokens, ForbidUnknown: true})
		resp, err := client.InspectTasks(ctx, req)
		if err != nil {
			out.renewed, out.err = nil, err
			return out
		}
		for _, t := range resp.Msg.Tasks {
			if t.State == v1.TaskState_TASK_STATE_RUNNING && c.heldTokens[t.Token] {
				out.renewed = append(out.renewed, t.Token)
				continue
			}
			out.tasks = append(out.tasks, t)
		}
	}
	if len(out.renewed) == 0 {
		return out
	}
	req := connect.NewRequest(&v1.RenewTasksRequest{Tokens: out.renewed, LeaseMs: s.config.TaskLease.Milliseconds()})
	resp, err := client.RenewTasks(ctx, req)
	if err != nil {
		out.err = err
		return out
	}
	out.tasks = append(out.tasks, resp.Msg.Tasks...)
	return out
}

func (p workerPolled) handle(s *scheduler) {
	s.workerState(p.call.host.Name).polling = false
	for _, token := range p.renewed {
		if e := s.jobs[p.call.jobsByToken[token]]; e != nil && e.row.Token == token {
			e.leaseExtendedAt = s.now
		}
	}
	if p.err != nil {
		s.handlePollError(p)
	}
	for _, t := range p.tasks {
		if e := s.jobs[p.call.jobsByToken[t.Token]]; e != nil && e.row.Token == t.Token {
			s.handleTaskState(e, t, "")
		}
	}
	s.placeJobs()
}

// handlePollError makes the next poll inspect the tasks before it renews them,
// so that a lease that may have ended is not taken to be valid.
func (s *scheduler) handlePollError(p workerPolled) {
	worker := p.call.host.Name
	s.svc.countRetried("poll-worker", fault.ReasonWorkerUnreachable)
	s.avoid(worker, fault.ReasonWorkerUnreachable)
	w := s.workerState(worker)
	w.interval = initialPollInterval
	w.nextPoll = s.now.Add(initialPollInterval)
	for token, name := range p.call.jobsByToken {
		if e := s.jobs[name]; e != nil && e.row.Token == token {
			e.runConfirmed = false
		}
	}
}

// expireTaskLeases ends the attempts of jobs whose worker did not answer before
// the task lease ended.
func (s *scheduler) expireTaskLeases() {
	for _, e := range s.jobs {
		if !s.schedules(e) || e.row.Holder != s.self || e.starting || e.runConfirmed || e.taskEnded || len(e.pending) > 0 {
			continue
		}
		s.removeEndedRenewers(e)
		if s.now.Sub(e.leaseExtendedAt) < s.svc.config.TaskLease+leaseMargin || len(e.pending) > 0 {
			continue
		}
		s.expireTaskLease(e)
	}
}

// removeEndedRenewers records that earlier holders that are no longer members
// have stopped renewing the task lease.
func (s *scheduler) removeEndedRenewers(e *entry) {
	if len(e.row.PossibleRenewers) == 0 {
		return
	}
	members := s.svc.membership.Members()
	isListed := func(h job.Holder) bool {
		return slices.ContainsFunc(members, func(m services.Identity) bool {
			return m.Name == h.Host && m.Incarnation == h.Incarnation
		})
	}
	if !isListed(s.self) {
		// The members have not been read yet.
		return
	}
	for _, h := range e.row.PossibleRenewers {
		if !isListed(h) {
			s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.StopRenewing(r, h) })
		}
	}
}

func (s *scheduler) expireTaskLease(e *entry) {
	token := e.row.Token
	switch {
	case e.row.Active():
		s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.ApplyWorkerUnreachable(r, token) })
	case e.row.State == job.Unknown:
		s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.ApplyLeaseEnd(r, token) })
	}
}
