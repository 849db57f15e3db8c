package dispatch

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/fairqueue"
	"fuchsiafront.example/fuchsiafront/decision/retry"
	"fuchsiafront.example/fuchsiafront/decision/route"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// tickPeriod is how often loads are reported and refused rights are
	// asked for again.
	tickPeriod = 250 * time.Millisecond
	// estimatePeriod is how soon the free slots are estimated again while
	// requests wait: the estimates change with time alone.
	estimatePeriod = 20 * time.Millisecond
	// releaseMargin is added to the deadline after which a request whose
	// outcome is unknown can no longer be running. It covers the way to the
	// backend server, which counts its deadline from the arrival.
	releaseMargin = 500 * time.Millisecond

	stepQueue = "queue request"
	stepWait  = "wait in queue"
	stepRetry = "retry request"
)

// pendingRequest is one request on its way through this service. The queue duty owns it;
// req, reply and gone are not modified after Submit.
type pendingRequest struct {
	req   *services.Request
	reply *ring.Ring[outcome]
	gone  chan struct{}

	entry   *fairqueue.Entry
	history retry.History
	// server is the backend server of the attempt under way or being
	// claimed, avoid that of the last failed one.
	server      string
	avoidServer string
	// holdsClaim is set while this host holds the claim.
	holdsClaim bool
	waiting    bool
	// mayHaveRun is set when the outcome of an earlier attempt is unknown.
	mayHaveRun bool
}

// delayedRelease is a right that is released when its request can no longer be running.
type delayedRelease struct {
	team string
	due  time.Time
}

// queueState is the state of the queue duty.
type queueState struct {
	s              *Service
	scheduler      *fairqueue.Scheduler
	serverTable    *route.Table
	view           *services.View
	hostList       *fleet.HostList
	hasUrgentQueue map[string]bool
	// hostsByName holds the hosts of the table by name.
	hostsByName     map[string]fleet.Host
	retryBudgets    map[string]*retry.Budget
	delayedReleases []delayedRelease
	runningByQueue  map[string]int
	teamByQueue     map[string]string
	waitingByTeam   map[string]int
	waitingPools    []string
}

func newQueueState(s *Service, table *route.Table) *queueState {
	return &queueState{
		s:              s,
		scheduler:      fairqueue.New(),
		serverTable:    table,
		retryBudgets:   make(map[string]*retry.Budget),
		runningByQueue: make(map[string]int),
		teamByQueue:    make(map[string]string),
		waitingByTeam:  make(map[string]int),
	}
}

func (q *queueState) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	nextTick := q.s.clock()
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-q.s.messages.C():
			q.handle(m)
		case <-timer.C:
		}
		now := q.s.clock()
		q.refreshServers()
		q.expireWaiting(now)
		if !now.Before(nextTick) {
			q.tick(now)
			nextTick = now.Add(tickPeriod)
		}
		q.startWaiting(ctx, now)
		timer.Reset(q.untilNextWakeup(nextTick, now))
	}
}

// untilNextWakeup returns the time until there is something to do without a message.
func (q *queueState) untilNextWakeup(nextTick, now time.Time) time.Duration {
	until := nextTick.Sub(now)
	if deadline, ok := q.scheduler.NextDeadline(); ok {
		until = min(until, estimatePeriod, deadline.Sub(now))
	}
	return max(0, until)
}

func (q *queueState) handle(m message) {
	now := q.s.clock()
	switch m := m.(type) {
	case submitMessage:
		q.admit(m.pending, now)
	case cancelMessage:
		q.cancel(m.pending, now)
	case claimResultMessage:
		q.handleClaimResult(m, now)
	case attemptEndMessage:
		q.handleAttemptEnd(m.pending, m.result, now)
	case rightFreedMessage:
		q.scheduler.Unblock(m.team)
		m.ack.Offer(struct{}{})
	}
}

func (q *queueState) admit(w *pendingRequest, now time.Time) {
	item := fairqueue.Request{
		Queue: w.req.Queue.Name, Team: w.req.Team, Pool: w.req.Queue.Pool, Class: w.req.Queue.Class,
		Share: w.req.Share, MaxWaiting: w.req.Queue.MaxWaiting, Deadline: w.req.Deadline,
	}
	entry, reason := q.scheduler.Admit(item, w, now)
	if reason != "" {
		q.complete(w, outcome{err: fault.New(&fault.NotRun, reason, stepQueue, "", "queue %q", item.Queue)})
		return
	}
	w.entry = entry
	q.teamByQueue[item.Queue] = item.Team
	q.setWaiting(w, true)
}

func (q *queueState) setWaiting(w *pendingRequest, waiting bool) {
	w.waiting = waiting
	if waiting {
		q.waitingByTeam[w.req.Team]++
	} else {
		q.waitingByTeam[w.req.Team]--
	}
}

// cancel ends a request that waits. One that is being claimed or sent is
// stopped before its first byte by the closed channel w.gone.
func (q *queueState) cancel(w *pendingRequest, now time.Time) {
	if !w.waiting {
		return
	}
	q.scheduler.Remove(w.entry, now)
	q.setWaiting(w, false)
	q.complete(w, outcome{err: fault.New(&fault.NotRun, fault.ReasonCancelled, stepWait, "caller", "the caller has gone")})
}

func (q *queueState) expireWaiting(now time.Time) {
	for _, entry := range q.scheduler.Expire(now) {
		w := entry.Value.(*pendingRequest)
		q.setWaiting(w, false)
		q.complete(w, outcome{err: q.expiryError(w, now)})
	}
}

// expiryError returns why a request did not start in time.
func (q *queueState) expiryError(w *pendingRequest, now time.Time) error {
	if q.scheduler.IsBlocked(w.req.Team) {
		return fault.New(&fault.NotRun, fault.ReasonTeamLimit, stepWait, "", "team %q is at its limit", w.req.Team)
	}
	if slots, _ := q.serverTable.Capacity(w.req.Queue.Pool, now); slots == 0 {
		return fault.New(&fault.NotRun, fault.ReasonNoBackendServer, stepWait, "", "pool %q has no usable server", w.req.Queue.Pool)
	}
	return fault.New(&fault.NotRun, fault.ReasonDeadline, stepWait, "", "no slot became free in time")
}

// complete answers a request and records the outcome of its claim.
func (q *queueState) complete(w *pendingRequest, o outcome) {
	if w.mayHaveRun && o.err != nil && fault.IsNotRun(o.err) {
		o.err = fault.New(&fault.Unknown, fault.ReasonOf(o.err), stepRetry, "", "an earlier attempt may have run: %w", o.err)
	}
	w.reply.Offer(o)
	if !w.holdsClaim {
		q.s.decrementPending()
		return
	}
	w.holdsClaim = false
	q.s.claimTasks.Offer(claimTask{pending: w, ended: true, outcome: o})
}
