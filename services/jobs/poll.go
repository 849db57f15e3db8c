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

// poll calls each worker that is due, once for all of its tasks.
func (s *scheduler) poll() {
	if s.svc.membership.MayUseRights(s.now) != nil {
		return
	}
	due := make(map[string]*pollWorker)
	for _, e := range s.jobs {
		if s.pollable(e) {
			s.addPoll(due, e)
		}
	}
	for name, p := range due {
		w := s.worker(name)
		w.polling = true
		w.interval = min(max(2*w.interval, firstPoll), s.svc.config.RenewEvery)
		w.nextPoll = s.now.Add(w.interval)
		s.post(*p)
	}
}

func (s *scheduler) pollable(e *entry) bool {
	q := s.queues[e.row.Queue]
	if q == nil || !q.mine || e.starting || e.stopping || e.ended {
		return false
	}
	if e.row.Token == e.token && !e.sent {
		return false
	}
	return e.row.Active() || e.row.State == job.Unknown
}

func (s *scheduler) addPoll(due map[string]*pollWorker, e *entry) {
	w := s.worker(e.row.Worker)
	if w.polling || s.now.Before(w.nextPoll) {
		return
	}
	p := due[e.row.Worker]
	if p == nil {
		h, known := s.host(e.row.Worker)
		if !known {
			e.confirmed = false
			return
		}
		p = &pollWorker{host: h, names: make(map[string]string), held: make(map[string]bool)}
		due[e.row.Worker] = p
	}
	p.names[e.row.Token] = e.name
	// Only the holder in the row renews, so that a later one knows who may.
	p.held[e.row.Token] = e.row.Holder == s.self
	if e.confirmed && p.held[e.row.Token] {
		p.renew = append(p.renew, e.row.Token)
	} else {
		p.inspect = append(p.inspect, e.row.Token)
	}
}

// pollWorker renews the leases of the tasks on one worker. Tasks that are not
// known to run are inspected first, which forbids those not yet started.
type pollWorker struct {
	host    fleet.Host
	renew   []string
	inspect []string
	// names are the jobs by token.
	names map[string]string
	// held are the tokens of jobs whose right this host has; others are not
	// renewed.
	held map[string]bool
}

// polled is the outcome of pollWorker. Renewed are the tokens for which a
// renewal was sent, whatever became of it.
type polled struct {
	call    pollWorker
	tasks   []*v1.Task
	renewed []string
	err     error
}

func (c pollWorker) run(ctx context.Context, s *Service) event {
	ctx, cancel := context.WithTimeout(ctx, s.config.WorkerTimeout)
	defer cancel()
	client := s.client(c.host)
	out := polled{call: c, renewed: slices.Clone(c.renew)}
	if len(c.inspect) > 0 {
		req := connect.NewRequest(&v1.InspectTasksRequest{Tokens: c.inspect, ForbidUnknown: true})
		resp, err := client.InspectTasks(ctx, req)
		if err != nil {
			out.renewed, out.err = nil, err
			return out
		}
		for _, t := range resp.Msg.Tasks {
			if t.State == v1.TaskState_TASK_STATE_RUNNING && c.held[t.Token] {
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

func (p polled) handle(s *scheduler) {
	s.worker(p.call.host.Name).polling = false
	for _, token := range p.renewed {
		if e := s.jobs[p.call.names[token]]; e != nil && e.row.Token == token {
			e.leaseFrom = s.now
		}
	}
	if p.err != nil {
		s.pollFailed(p)
	}
	for _, t := range p.tasks {
		if e := s.jobs[p.call.names[t.Token]]; e != nil && e.row.Token == t.Token {
			s.answered(e, t, "")
		}
	}
	s.place()
}

// pollFailed lets the next poll inspect the tasks before it renews them, so
// that a lease which may have ended is not taken for one that runs.
func (s *scheduler) pollFailed(p polled) {
	name := p.call.host.Name
	s.svc.countRetried("poll-worker", fault.ReasonWorkerUnreachable)
	s.shun(name, fault.ReasonWorkerUnreachable)
	w := s.worker(name)
	w.interval = firstPoll
	w.nextPoll = s.now.Add(firstPoll)
	for token, job := range p.call.names {
		if e := s.jobs[job]; e != nil && e.row.Token == token {
			e.confirmed = false
		}
	}
}

// loseLeases ends the attempts of jobs whose worker has not answered until
// the task lease had ended.
func (s *scheduler) loseLeases() {
	for _, e := range s.jobs {
		if !s.schedules(e) || e.row.Holder != s.self || e.starting || e.confirmed || e.ended || len(e.todo) > 0 {
			continue
		}
		s.forgetEnded(e)
		if s.now.Sub(e.leaseFrom) < s.svc.config.TaskLease+leaseMargin || len(e.todo) > 0 {
			continue
		}
		s.loseLease(e)
	}
}

// forgetEnded records that earlier holders which are no longer members renew
// the task lease no more.
func (s *scheduler) forgetEnded(e *entry) {
	if len(e.row.MayRenew) == 0 {
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
	for _, h := range e.row.MayRenew {
		if !isListed(h) {
			s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.StopRenewing(r, h) })
		}
	}
}

func (s *scheduler) loseLease(e *entry) {
	token := e.row.Token
	switch {
	case e.row.Active():
		s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.ApplyWorkerUnreachable(r, token) })
	case e.row.State == job.Unknown:
		s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.ApplyLeaseEnd(r, token) })
	}
}
