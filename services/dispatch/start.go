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

// start starts waiting requests while there are slots and rights.
func (q *queue) start(ctx context.Context, now time.Time) {
	q.pools = q.fair.WaitingPools(q.pools)
	for _, name := range q.pools {
		slots, free := q.table.Capacity(name, now)
		pool := fairqueue.Pool{Name: name, Slots: slots, Free: free, HasUrgentQueue: q.urgent[name]}
		q.startPool(ctx, pool, now)
	}
}

func (q *queue) startPool(ctx context.Context, pool fairqueue.Pool, now time.Time) {
	for {
		entry := q.fair.Next(pool)
		if entry == nil {
			return
		}
		w := entry.Value.(*work)
		server, ok := q.table.Choose(pool.Name, w.avoid, now)
		if !ok {
			return
		}
		if err := q.s.rights.Acquire(ctx, w.req.Team, 1); err != nil {
			q.block(w.req.Team)
			continue
		}
		pool.Free--
		q.begin(ctx, w, server, now)
	}
}

// block lets the requests of a team wait until a right is free, without
// holding up others.
func (q *queue) block(team string) {
	q.fair.Block(team)
	q.s.rights.SetWaiting(team, q.waiting[team])
}

// begin takes a request out of its queue, and claims or sends it. A right and
// a slot are held for it.
func (q *queue) begin(ctx context.Context, w *work, server string, now time.Time) {
	q.fair.Start(w.entry, now)
	q.setWaiting(w, false)
	q.running[w.req.Queue.Name]++
	q.table.AttemptStarted(server)
	w.server = server
	if needsClaim(w.req) && !w.claimed {
		q.s.claiming.Offer(claimTask{w: w})
		return
	}
	q.send(ctx, w, now)
}

// send hands an attempt to the backend service.
func (q *queue) send(ctx context.Context, w *work, now time.Time) {
	w.history.Attempts++
	host := q.servers[w.server]
	send := services.BackendAttempt{Server: host, Request: w.req, Number: w.history.Attempts + w.history.Requeues, CallerGone: w.gone}
	// The ring has room for the one step of each request under way.
	send.Done = func(r services.BackendResult) { q.s.messages.Offer(finished{w, r}) }
	if q.table.IsLeaving(w.server, now) {
		err := fault.New(&fault.NotRun, fault.ReasonLeaving, stepQueue, w.server, "the server has left while the request was claimed")
		q.finish(w, services.BackendResult{Err: err, SlotsFree: -1}, now)
		return
	}
	if err := q.s.backends.Send(ctx, send); err != nil {
		q.finish(w, services.BackendResult{Err: err, SlotsFree: -1}, now)
	}
}

// claimed goes on with a request whose claim was answered.
func (q *queue) claimed(m claimed, now time.Time) {
	w := m.w
	if m.err == nil && m.record.State == services.ClaimHeld {
		w.claimed = true
		q.send(context.Background(), w, now)
		return
	}
	q.table.AttemptEnded(w.server, route.Refused, route.LoadReport{SlotsFree: -1}, now)
	q.free(w)
	if m.err == nil {
		q.end(w, claimOutcome(m.record))
		return
	}
	// When the claim may have been committed, it is to be released, because
	// the request is not started under it.
	w.claimed = !fault.IsNotRun(m.err)
	err := fault.New(&fault.NotRun, fault.ReasonOf(m.err), "claim request", "", "%w", m.err)
	q.end(w, outcome{err: err})
}

// free returns the right of a request that surely does not run any more.
func (q *queue) free(w *work) {
	q.running[w.req.Queue.Name]--
	q.release(w.req.Team)
}

func (q *queue) release(team string) {
	q.fair.RequestEnded(team)
	q.s.rights.Release(team, 1)
	q.fair.Unblock(team)
}

// finish records the end of an attempt and decides what follows.
func (q *queue) finish(w *work, r services.BackendResult, now time.Time) {
	load := route.LoadReport{SlotsFree: r.SlotsFree, Leaving: r.Leaving}
	q.table.AttemptEnded(w.server, health(r), load, now)
	if r.Leaving || fault.ReasonOf(r.Err) == fault.ReasonLeaving && r.Err != nil {
		q.s.hosts.ReportLeaving(w.server)
	}
	budget := q.budget(w.req.Queue.Name)
	if r.Err == nil {
		budget.RecordSuccess(now)
		q.free(w)
		q.end(w, outcome{reply: r.Reply})
		return
	}
	notRun := fault.IsNotRun(r.Err)
	if notRun {
		q.free(w)
	} else {
		// The backend server may still run the request until its deadline.
		w.mayHaveRun = true
		q.running[w.req.Queue.Name]--
		q.holds = append(q.holds, hold{w.req.Team, w.req.Deadline.Add(releaseMargin)})
	}
	q.next(w, r.Err, retry.Failure{NotRun: notRun, Reason: fault.ReasonOf(r.Err)}, budget, now)
}

// next carries out the decision on a failed attempt.
func (q *queue) next(w *work, err error, f retry.Failure, budget *retry.Budget, now time.Time) {
	decision := retry.Decide(w.history, f, budget, now)
	switch decision.Action {
	case retry.GiveUp:
		if decision.Reason == fault.ReasonRetryBudget {
			q.s.metrics.CountRefusal(stepRetry, decision.Reason)
		}
		q.end(w, outcome{err: err})
		return
	case retry.Requeue:
		w.history.Attempts--
		w.history.Requeues++
	}
	q.s.metrics.CountRetry(stepRetry, decision.Reason)
	w.avoid = w.server
	q.fair.Requeue(w.entry, now)
	q.setWaiting(w, true)
}

func (q *queue) budget(name string) *retry.Budget {
	b := q.budgets[name]
	if b == nil {
		b = &retry.Budget{}
		q.budgets[name] = b
	}
	return b
}

// health is what an attempt tells of its server.
func health(r services.BackendResult) route.Result {
	if r.Err == nil {
		if r.Reply.Status >= serverError {
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

// serverError is the lowest status of the class 5xx.
const serverError = 500
