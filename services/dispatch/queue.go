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
	// requested again.
	tickPeriod = 250 * time.Millisecond
	// estimatePeriod is how often the free slots are estimated while requests
	// wait: the estimates change with time even without messages.
	estimatePeriod = 20 * time.Millisecond
	// releaseMargin is added to the deadline of a request whose outcome is
	// unknown, to get the time at which it can no longer be running. It covers
	// the transit to the backend server, which counts the deadline from the
	// arrival.
	releaseMargin = 500 * time.Millisecond

	stepQueue = "queue request"
	stepWait  = "wait in queue"
	stepRetry = "retry request"
)

// pendingRequest is a request that is submitted and not ended. The queue duty
// owns it; req, reply and callerGone are not modified after Submit.
type pendingRequest struct {
	req        *services.Request
	reply      *ring.Ring[outcome]
	callerGone chan struct{}

	entry   *fairqueue.Entry
	history retry.History
	// server is the backend server of the current attempt, from the claim on;
	// avoidServer is that of the last failed attempt.
	server      string
	avoidServer string
	// holdsClaim is set while this host holds the claim, or may hold it.
	holdsClaim bool
	waiting    bool
	// mayHaveRun is set when the outcome of an earlier attempt is unknown.
	mayHaveRun bool
}

// delayedRelease is a right to be released at due, when its request can no
// longer be running.
type delayedRelease struct {
	team string
	due  time.Time
}

// queueState is the state of the duty dispatch.queue.
type queueState struct {
	s              *Service
	scheduler      *fairqueue.Scheduler
	serverTable    *route.Table
	view           *services.View
	hostList       *fleet.HostList
	hasUrgentQueue map[string]bool
	// hostsByName holds the hosts of serverTable.
	hostsByName     map[string]fleet.Host
	retryBudgets    map[string]*retry.Budget
	delayedReleases []delayedRelease
	runningByQueue  map[string]int
	teamByQueue     map[string]string
	waitingByTeam   map[string]int
	waitingPools    []string
}

func newQueueState(s *Service, serverTable *route.Table) *queueState {
	return &queueState{
		s:              s,
		scheduler:      fairqueue.New(),
		serverTable:    serverTable,
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

// untilNextWakeup returns how long the duty may wait for a message.
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

func (q *queueState) admit(p *pendingRequest, now time.Time) {
	request := fairqueue.Request{
		Queue: p.req.Queue.Name, Team: p.req.Team, Pool: p.req.Queue.Pool, Class: p.req.Queue.Class,
		Share: p.req.Share, MaxWaiting: p.req.Queue.MaxWaiting, Deadline: p.req.Deadline,
	}
	entry, reason := q.scheduler.Admit(request, p, now)
	if reason != "" {
		q.complete(p, outcome{err: fault.New(&fault.NotRun, reason, stepQueue, "", "queue %q", request.Queue)})
		return
	}
	p.entry = entry
	q.teamByQueue[request.Queue] = request.Team
	q.setWaiting(p, true)
}

func (q *queueState) setWaiting(p *pendingRequest, waiting bool) {
	p.waiting = waiting
	if waiting {
		q.waitingByTeam[p.req.Team]++
	} else {
		q.waitingByTeam[p.req.Team]--
	}
}

// cancel ends a waiting request. One that is being claimed or sent is stopped
// by the closed channel p.callerGone, unless its first byte was written.
func (q *queueState) cancel(p *pendingRequest, now time.Time) {
	if !p.waiting {
		return
	}
	q.scheduler.Remove(p.entry, now)
	q.setWaiting(p, false)
	q.complete(p, outcome{err: fault.New(&fault.NotRun, fault.ReasonCancelled, stepWait, "caller", "the caller left while the request was waiting")})
}

func (q *queueState) expireWaiting(now time.Time) {
	for _, entry := range q.scheduler.Expire(now) {
		p := entry.Value.(*pendingRequest)
		q.setWaiting(p, false)
		q.complete(p, outcome{err: q.expiryError(p, now)})
	}
}

// expiryError returns why a request did not start before its deadline.
func (q *queueState) expiryError(p *pendingRequest, now time.Time) error {
	if q.scheduler.IsBlocked(p.req.Team) {
		return fault.New(&fault.NotRun, fault.ReasonTeamLimit, stepWait, "", "team %q is at its limit", p.req.Team)
	}
	if slots, _ := q.serverTable.Capacity(p.req.Queue.Pool, now); slots == 0 {
		return fault.New(&fault.NotRun, fault.ReasonNoBackendServer, stepWait, "", "pool %q has no usable server", p.req.Queue.Pool)
	}
	return fault.New(&fault.NotRun, fault.ReasonDeadline, stepWait, "", "no slot became free before the deadline")
}

// complete hands the outcome of a request to Submit and has it recorded if a
// claim is held.
func (q *queueState) complete(p *pendingRequest, result outcome) {
	if p.mayHaveRun && result.err != nil && fault.IsNotRun(result.err) {
		result.err = fault.New(&fault.Unknown, fault.ReasonOf(result.err), stepRetry, "", "an earlier attempt may have run: %w", result.err)
	}
	p.reply.Offer(result)
	if !p.holdsClaim {
		q.s.decrementPending()
		return
	}
	p.holdsClaim = false
	q.s.claimTasks.Offer(claimTask{pending: p, ended: true, outcome: result})
}
