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

// startWaiting starts waiting requests while there are slots and rights.
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
		w := entry.Value.(*pendingRequest)
		server, ok := q.serverTable.Choose(pool.Name, w.avoidServer, now)
		if !ok {
			return
		}
		if err := q.s.rights.Acquire(ctx, w.req.Team, 1); err != nil {
			q.blockTeam(w.req.Team)
			continue
		}
		pool.Free--
		q.startRequest(ctx, w, server, now)
	}
}

// blockTeam lets the requests of a team wait until a right is free, without
// holding up others.
func (q *queueState) blockTeam(team string) {
	q.scheduler.Block(team)
	q.s.rights.SetWaiting(team, q.waitingByTeam[team])
}

// startRequest takes a request out of its queue, and claims or sends it. A right and
// a slot are held for it.
func (q *queueState) startRequest(ctx context.Context, w *pendingRequest, server string, now time.Time) {
	q.scheduler.Start(w.entry, now)
	q.setWaiting(w, false)
	q.runningByQueue[w.req.Queue.Name]++
	q.serverTable.AttemptStarted(server)
	w.server = server
	if needsClaim(w.req) && !w.holdsClaim {
		q.s.claimTasks.Offer(claimTask{pending: w})
		return
	}
	q.sendAttempt(ctx, w, now)
}

// sendAttempt hands an attempt to the backend service.
func (q *queueState) sendAttempt(ctx context.Context, w *pendingRequest, now time.Time) {
	w.history.Attempts++
	host := q.hostsByName[w.server]
	send := services.BackendAttempt{Server: host, Request: w.req, Number: w.history.Attempts + w.history.Requeues, CallerGone: w.gone}
	// The ring has room for the one step of each request under way.
	send.Done = func(r services.BackendResult) { q.s.messages.Offer(attemptEndMessage{w, r}) }
	if q.serverTable.IsLeaving(w.server, now) {
		err := fault.New(&fault.NotRun, fault.ReasonLeaving, stepQueue, w.server, "the server has left while the request was claimed")
		q.handleAttemptEnd(w, services.BackendResult{Err: err, SlotsFree: -1}, now)
		return
	}
	if err := q.s.backends.Send(ctx, send); err != nil {
		q.handleAttemptEnd(w, services.BackendResult{Err: err, SlotsFree: -1}, now)
	}
}

// handleClaimResult goes on with a request whose claim was answered.
func (q *queueState) handleClaimResult(m claimResultMessage, now time.Time) {
	w := m.pending
	if m.err == nil && m.record.State == services.ClaimHeld {
		w.holdsClaim = true
		q.sendAttempt(context.Background(), w, now)
		return
	}
	q.serverTable.AttemptEnded(w.server, route.Refused, route.LoadReport{SlotsFree: -1}, now)
	q.releaseRequest(w)
	if m.err == nil {
		q.complete(w, claimOutcome(m.record))
		return
	}
	// When the claim may have been committed, it is to be released, because
	// the request is not started under it.
	w.holdsClaim = !fault.IsNotRun(m.err)
	err := fault.New(&fault.NotRun, fault.ReasonOf(m.err), "claim request", "", "%w", m.err)
	q.complete(w, outcome{err: err})
}

// releaseRequest returns the right of a request that surely does not run any more.
func (q *queueState) releaseRequest(w *pendingRequest) {
	q.runningByQueue[w.req.Queue.Name]--
	q.releaseRight(w.req.Team)
}

func (q *queueState) releaseRight(team string) {
	q.scheduler.RequestEnded(team)
	q.s.rights.Release(team, 1)
	q.scheduler.Unblock(team)
}

// handleAttemptEnd records the end of an attempt and decides what follows.
func (q *queueState) handleAttemptEnd(w *pendingRequest, r services.BackendResult, now time.Time) {
	load := route.LoadReport{SlotsFree: r.SlotsFree, Leaving: r.Leaving}
	q.serverTable.AttemptEnded(w.server, serverResult(r), load, now)
	if r.Leaving || fault.ReasonOf(r.Err) == fault.ReasonLeaving && r.Err != nil {
		q.s.hosts.ReportLeaving(w.server)
	}
	budget := q.retryBudget(w.req.Queue.Name)
	if r.Err == nil {
		budget.RecordSuccess(now)
		q.releaseRequest(w)
		q.complete(w, outcome{reply: r.Reply})
		return
	}
	notRun := fault.IsNotRun(r.Err)
	if notRun {
		q.releaseRequest(w)
	} else {
		// The backend server may still run the request until its deadline.
		w.mayHaveRun = true
		q.runningByQueue[w.req.Queue.Name]--
		q.delayedReleases = append(q.delayedReleases, delayedRelease{w.req.Team, w.req.Deadline.Add(releaseMargin)})
	}
	q.retryOrGiveUp(w, r.Err, retry.Failure{NotRun: notRun, Reason: fault.ReasonOf(r.Err)}, budget, now)
}

// retryOrGiveUp carries out the decision on a failed attempt.
func (q *queueState) retryOrGiveUp(w *pendingRequest, err error, f retry.Failure, budget *retry.Budget, now time.Time) {
	decision := retry.Decide(w.history, f, budget, now)
	switch decision.Action {
	case retry.GiveUp:
		if decision.Reason == fault.ReasonRetryBudget {
			q.s.metrics.CountRefusal(stepRetry, decision.Reason)
		}
		q.complete(w, outcome{err: err})
		return
	case retry.Requeue:
		w.history.Attempts--
		w.history.Requeues++
	}
	q.s.metrics.CountRetry(stepRetry, decision.Reason)
	w.avoidServer = w.server
	q.scheduler.Requeue(w.entry, now)
	q.setWaiting(w, true)
}

func (q *queueState) retryBudget(name string) *retry.Budget {
	b := q.retryBudgets[name]
	if b == nil {
		b = &retry.Budget{}
		q.retryBudgets[name] = b
	}
	return b
}

// serverResult is what an attempt tells of its server.
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
		// A request with a short deadline says nothing of its server.
		return route.Refused
	}
	return route.Failed
}

// minServerErrorStatus is the lowest status of the class 5xx.
const minServerErrorStatus = 500
