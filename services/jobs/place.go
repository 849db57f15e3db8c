package jobs

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/job"
	"fuchsiafront.example/fuchsiafront/decision/placement"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// minPlaceInterval bounds how often placement decisions are made when events
// arrive in quick succession; the next tick makes up for a skipped one.
const minPlaceInterval = 50 * time.Millisecond

// placeJobs decides the placements of each pool with waiting jobs or throttled
// tasks, and moves tasks off workers that are drained or leave.
func (s *scheduler) placeJobs() {
	view := s.svc.state.View()
	list := s.svc.hosts.Hosts()
	if s.draining || view == nil || list == nil || s.now.Before(s.nextPlace) {
		return
	}
	s.nextPlace = s.now.Add(minPlaceInterval)
	inputs := s.poolInputs(view, list)
	waitingByTeam := make(map[string]int)
	for _, in := range inputs {
		s.evacuate(in.evacuating)
		if len(in.Waiting) == 0 && !in.hasThrottled {
			continue
		}
		s.applyDecision(placement.Decide(in.Input), waitingByTeam)
	}
	s.reportWaiting(waitingByTeam)
}

// reportWaiting reports to the rights service how many jobs of each team fit on
// a worker but lack a right. Jobs that fit on no worker are left out; otherwise
// rights that requests on other hosts need would lie idle here.
func (s *scheduler) reportWaiting(waitingByTeam map[string]int) {
	for team, n := range s.reportedWaiting {
		if s.isBlocked(team) && !s.draining {
			// Decisions exclude the team until its retry.
			waitingByTeam[team] = max(waitingByTeam[team], n)
		}
		if waitingByTeam[team] == 0 {
			s.svc.jobRights.SetWaitingJobs(team, 0)
		}
	}
	for team, n := range waitingByTeam {
		if s.reportedWaiting[team] != n {
			s.svc.jobRights.SetWaitingJobs(team, n)
		}
	}
	s.reportedWaiting = waitingByTeam
}

// poolInput is the input of one placement decision. Evacuating holds the
// workers whose tasks move elsewhere.
type poolInput struct {
	placement.Input
	evacuating   map[string]bool
	hasThrottled bool
}

func (s *scheduler) poolInputs(view *services.View, list *fleet.HostList) map[string]*poolInput {
	out := make(map[string]*poolInput)
	for _, q := range s.queues {
		if q.leased && out[q.pool] == nil {
			out[q.pool] = &poolInput{Input: placement.Input{Teams: make(map[string]placement.Team)}, evacuating: make(map[string]bool)}
		}
	}
	largest := make(map[string]fleet.Resources)
	for i := range list.Hosts {
		h := &list.Hosts[i]
		in := out[view.Assignments[h.Name]]
		if in == nil || h.Kind != fleet.KindWorker {
			continue
		}
		w := placement.Worker{Name: h.Name, Zone: h.Zone, Rack: h.Rack, Capacity: h.Capacity, Slots: h.Slots}
		w.ClosedReason, in.evacuating[h.Name] = s.closedReason(view, h)
		in.Workers = append(in.Workers, w)
		pool := view.Assignments[h.Name]
		largest[pool] = maxResources(largest[pool], h.Capacity)
	}
	for _, e := range s.jobs {
		if q := s.queues[e.row.Queue]; q != nil && out[q.pool] != nil {
			s.addJob(out[q.pool], q, e, largest[q.pool])
		}
	}
	for _, in := range out {
		slices.SortFunc(in.Workers, func(a, b placement.Worker) int { return cmp.Compare(a.Name, b.Name) })
		slices.SortFunc(in.Waiting, s.byArrival)
	}
	return out
}

func (s *scheduler) byArrival(a, b placement.Job) int {
	return cmp.Or(s.jobs[a.ID].row.Submitted.Compare(s.jobs[b.ID].row.Submitted), cmp.Compare(a.ID, b.ID))
}

// closedReason returns why a worker gets no new work, and whether its running
// tasks move elsewhere.
func (s *scheduler) closedReason(view *services.View, h *fleet.Host) (reason fault.Reason, move bool) {
	if view.Ledger != nil {
		if _, out := view.Ledger.Entries[h.Name]; out {
			return fault.ReasonDraining, true
		}
	}
	switch {
	case h.Phase == fleet.PhaseLeaving:
		return fault.ReasonLeaving, true
	case h.Phase != fleet.PhaseLive:
		return fault.ReasonWorkerUnreachable, false
	case s.health.Unhealthy(h.Name):
		return fault.ReasonWorkerExcluded, false
	}
	if w := s.workers[h.Name]; w != nil && s.now.Before(w.avoidUntil) {
		return w.avoidReason, false
	}
	return "", false
}

func (s *scheduler) addJob(in *poolInput, q *queue, e *entry, largest fleet.Resources) {
	r := &e.row
	j := placement.Job{ID: e.name, Team: r.Team, Queue: r.Queue, Class: q.class, Idempotent: r.Idempotent, Avoid: r.FailedOn}
	in.Teams[r.Team] = placement.Team{Share: q.share, Blocked: s.isBlocked(r.Team)}
	switch {
	case e.plannedWorker != "" || r.Active():
		j.Size = maxResources(e.size, e.peakUsage)
		worker := r.Worker
		if e.plannedWorker != "" {
			worker = e.plannedWorker
		}
		in.Running = append(in.Running, placement.Running{Job: j, Worker: worker, ThrottlePercent: e.throttlePercent, PreemptionPending: e.preempting || e.stopping})
		in.hasThrottled = in.hasThrottled || e.throttlePercent > 0
	case r.State == job.Queued && q.leased && !e.committing && len(e.pending) == 0 && !e.hasUnboundRight && !s.now.Before(e.retryAt):
		j.Size = s.sizes.Size(r.Queue, r.Declared, largest)
		e.size = j.Size
		in.Waiting = append(in.Waiting, j)
	}
}

func (s *scheduler) isBlocked(team string) bool {
	since, blocked := s.blockedSince[team]
	return blocked && s.now.Sub(since) < blockedRetryInterval
}

// applyDecision carries out a decision and adds the jobs of each team that
// could not start for lack of a right to waitingByTeam.
func (s *scheduler) applyDecision(d placement.Decision, waitingByTeam map[string]int) {
	for _, infeasible := range d.Infeasible {
		e := s.jobs[infeasible.Job]
		s.svc.countRefused("place-job", infeasible.Reason)
		s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) { return job.MoveToSetAside(r, infeasible.Reason) })
	}
	for _, start := range d.Starts {
		e := s.jobs[start.Job]
		if s.isBlocked(e.row.Team) || !s.acquireRight(e.row.Team) {
			waitingByTeam[e.row.Team]++
			continue
		}
		s.commitPlacement(e, start.Worker)
	}
	for _, p := range d.Preemptions {
		s.applyPreemption(p)
	}
}

// acquireRight acquires a right without waiting. A team that gets none is
// blocked until one is freed or the retry interval has passed.
func (s *scheduler) acquireRight(team string) bool {
	if err := s.svc.membership.CheckMayUseRights(s.now); err != nil {
		s.svc.countRefused("place-job", fault.ReasonOf(err))
		return false
	}
	if err := s.svc.rights.Acquire(context.Background(), team, 1); err != nil {
		s.svc.countRefused("place-job", fault.ReasonOf(err))
		s.blockedSince[team] = s.now
		return false
	}
	delete(s.blockedSince, team)
	return true
}

// commitPlacement commits a placement; the task is started once the row records
// it. The token contains the process and a sequence number, so that it is
// unique even when another scheduler places the same attempt.
func (s *scheduler) commitPlacement(e *entry, worker string) {
	s.sequence++
	token := fmt.Sprintf("%s/%d/%s.%d.%d", e.name, e.row.Attempt+1, s.self.Host, s.self.Incarnation, s.sequence)
	e.hasUnboundRight = true
	e.placedToken = token
	e.startSent = false
	e.taskEnded = false
	e.runConfirmed = false
	e.stopping = false
	e.plannedWorker = worker
	e.placedAt = s.now
	e.leaseExtendedAt = s.now
	e.peakUsage = fleet.Resources{}
	e.resultObject = ""
	attempt := e.row.Attempt
	s.apply(e, func(r job.Record) (job.Record, job.TransitionResult) {
		if r.Attempt != attempt {
			// The attempt was already made; its token must not be reused.
			return r, job.TransitionResult{Reason: fault.ReasonStaleCopy}
		}
		return job.Place(r, worker, token, s.self)
	})
}

func (s *scheduler) applyPreemption(p placement.Preemption) {
	e := s.jobs[p.Job]
	h, known := s.host(p.Worker)
	if !known || e == nil || !e.runConfirmed || e.stopping || e.preempting {
		return
	}
	switch p.Kind {
	case placement.PreemptByCheckpoint:
		e.preempting = true
		s.stop(e, job.Report{Token: e.row.Token, Reason: fault.ReasonPreempted}, true)
	case placement.PreemptByThrottle:
		e.preempting = true
		s.post(throttleTask{e.name, h, e.row.Token, placement.ThrottledPercent})
	case placement.EndThrottle:
		s.post(throttleTask{e.name, h, e.row.Token, unthrottledPercent})
	}
}

// evacuate checkpoints and stops idempotent jobs on workers that leave. Other
// jobs are allowed to finish, because they must not be started a second time.
func (s *scheduler) evacuate(workers map[string]bool) {
	for _, e := range s.jobs {
		if !workers[e.row.Worker] || !e.row.Active() || !e.row.Idempotent {
			continue
		}
		if e.runConfirmed && !e.stopping && !e.starting && !e.taskEnded {
			s.stop(e, job.Report{Token: e.row.Token, Reason: fault.ReasonPreempted}, true)
		}
	}
}
