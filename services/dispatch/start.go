package dispatch

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/fairqueue"
	"fuchsiafront.example/fuchsiafront/decision/retry"
	"fuchsiafront.example/fuchsiafront/decision/route"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/services"
)

// startWaiting starts waiting requests while there are free slots and rights.
func (q *queueState) startWaiting(ctx context.Context, now time.Time) {
	q.waitingPools = q.scheduler.WaitingPools(q.waitingPools)
	for _, name := range q.waitingPools {
		slots, free := q.serverTable.Capacity(name, now)
		pool := fairqueue.Pool{Name: name, Slots: slots, Free: free, HasUrgentQueue: q.hasUrgentQueue[name]}
		q.startPool(ctx, pool, now)
	}
}

func (q *queueState) startPool(ctx context.Context, pool fairqueue.Pool, now time.Time) {
	for {
		entry := q.scheduler.Next(pool)
		if entry == nil {
			return
		}
		p := entry.Value.(*pendingRequest)
		server, ok := q.serverTable.Choose(pool.Name, p.avoidServer, now)
		if !ok {
			return
		}
		if err := q.s.rights.Acquire(ctx, p.req.Team, 1); err != nil {
			q.blockTeam(p.req.Team)
			continue
		}
		pool.Free--
		q.startRequest(ctx, p, server, now)
	}
}

// blockTeam makes the requests of a team wait until a right is free, without
// delaying those of other teams.
func (q *queueState) blockTeam(team string) {
	q.scheduler.Block(team)
	q.s.rights.SetWaiting(team, q.waitingByTeam[team])
}

// startRequest takes a request out of its queue, and claims or sends it. A right
// and a slot are held for it.
func (q *queueState) startRequest(ctx context.Context, p *pendingRequest, server string, now time.Time) {
	q.scheduler.Start(p.entry, now)
	q.setWaiting(p, false)
	q.runningByQueue[p.req.Queue.Name]++
	q.serverTable.AttemptStarted(server)
	p.server = server
	if needsClaim(p.req) && !p.holdsClaim {
		q.s.claimTasks.Offer(claimTask{pending: p})
		return
	}
	q.sendAttempt(ctx, p, now)
}

// sendAttempt passes an attempt to the backend service.
func (q *queueState) sendAttempt(ctx context.Context, p *pendingRequest, now time.Time) {
	p.history.Attempts++
	host := q.hostsByName[p.server]
	attempt := services.BackendAttempt{Server: host, Request: p.req, Number: p.history.Attempts + p.history.Requeues, CallerGone: p.callerGone}
	// The ring has room for one step of each pending request.
	attempt.Done = func(r services.BackendResult) { q.s.messages.Offer(attemptEndMessage{p, r}) }
	if q.serverTable.IsLeaving(p.server, now) {
		err := fault.New(&fault.NotRun, fault.ReasonLeaving, stepQueue, p.server, "the backend server is leaving or was removed while the request was being claimed")
		q.handleAttemptEnd(p, services.BackendResult{Err: err, SlotsFree: -1}, now)
		return
	}
	if err := q.s.backends.Send(ctx, attempt); err != nil {
		q.handleAttemptEnd(p, services.BackendResult{Err: err, SlotsFree: -1}, now)
	}
}

// handleClaimResult sends a request whose claim was granted, and ends any other.
func (q *queueState) handleClaimResult(m claimResultMessage, now time.Time) {
	p := m.pending
	if m.err == nil && m.record.State == services.ClaimHeld {
		p.holdsClaim = true
		q.sendAttempt(context.Background(), p, now)
		return
	}
	q.serverTable.AttemptEnded(p.server, route.Refused, route.LoadReport{SlotsFree: -1}, now)
	q.releaseRequest(p)
	if m.err == nil {
		q.complete(p, claimOutcome(m.record))
		return
	}
	// If the claim may have been committed, it must be released, because the
	// request is not started under it.
	p.holdsClaim = !fault.IsNotRun(m.err)
	err := fault.New(&fault.NotRun, fault.ReasonOf(m.err), "claim request", "", "%w", m.err)
	q.complete(p, outcome{err: err})
}

// releaseRequest releases the right of a request that is certain not to be
// running.
func (q *queueState) releaseRequest(p *pendingRequest) {
	q.runningByQueue[p.req.Queue.Name]--
	q.releaseRight(p.req.Team)
}

func (q *queueState) releaseRight(team string) {
	q.scheduler.RequestEnded(team)
	q.s.rights.Release(team, 1)
	q.scheduler.Unblock(team)
}

// handleAttemptEnd records the end of an attempt, and ends the request or has
// its next step decided.
func (q *queueState) handleAttemptEnd(p *pendingRequest, r services.BackendResult, now time.Time) {
	load := route.LoadReport{SlotsFree: r.SlotsFree, Leaving: r.Leaving}
	q.serverTable.AttemptEnded(p.server, serverResult(r), load, now)
	if r.Leaving || fault.ReasonOf(r.Err) == fault.ReasonLeaving && r.Err != nil {
		q.s.hosts.ReportLeaving(p.server)
	}
	budget := q.retryBudget(p.req.Queue.Name)
	if r.Err == nil {
		budget.RecordSuccess(now)
		q.releaseRequest(p)
		q.complete(p, outcome{reply: r.Reply})
		return
	}
	notRun := fault.IsNotRun(r.Err)
	if notRun {
		q.releaseRequest(p)
	} else {
		// The backend server may still run the request until its deadline.
		p.mayHaveRun = true
		q.runningByQueue[p.req.Queue.Name]--
		q.delayedReleases = append(q.delayedReleases, delayedRelease{p.req.Team, p.req.Deadline.Add(releaseMargin)})
	}
	q.retryOrGiveUp(p, r.Err, retry.Failure{NotRun: notRun, Reason: fault.ReasonOf(r.Err)}, budget, now)
}

// retryOrGiveUp carries out the decision on a failed attempt.
func (q *queueState) retryOrGiveUp(p *pendingRequest, err error, f retry.Failure, budget *retry.Budget, now time.Time) {
	decision := retry.Decide(p.history, f, budget, now)
	switch decision.Action {
	case retry.GiveUp:
		if decision.Reason == fault.ReasonRetryBudget {
			q.s.metrics.CountRefusal(stepRetry, decision.Reason)
		}
		q.complete(p, outcome{err: err})
		return
	case retry.Requeue:
		p.history.Attempts--
		p.history.Requeues++
	}
	q.s.metrics.CountRetry(stepRetry, decision.Reason)
	p.avoidServer = p.server
	q.scheduler.Requeue(p.entry, now)
	q.setWaiting(p, true)
}

func (q *queueState) retryBudget(name string) *retry.Budget {
	b := q.retryBudgets[name]
	if b == nil {
		b = &retry.Budget{}
		q.retryBudgets[name] = b
	}
	return b
}

// serverResult returns what the result of an attempt means for its server.
func serverResult(r services.BackendResult) route.Result {
	if r.Err == nil {
		if r.Reply.Status >= minServerErrorStatus {
			return route.Failed
		}
		return route.Succeeded
	}
	switch fault.ReasonOf(r.Err) {
	case fault.ReasonNoSlots, fault.ReasonLeaving, fault.ReasonRingFull, fault.ReasonCancelled, fault.ReasonDraining:
		return route.Refused
	case fault.ReasonDeadline:
		// The deadline may have been short; this is no sign of a failing server.
		return route.Refused
	}
	return route.Failed
}

// minServerErrorStatus is the lowest status of the class 5xx.
const minServerErrorStatus = 500
