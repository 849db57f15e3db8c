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

// work is one request on its way through this service. The queue duty owns it;
// req, reply and gone are not modified after Submit.
type work struct {
	req   *services.Request
	reply *ring.Ring[outcome]
	gone  chan struct{}

	entry   *fairqueue.Entry
	history retry.History
	// server is the backend server of the attempt under way or being
	// claimed, avoid that of the last failed one.
	server string
	avoid  string
	// claimed is set while this host holds the claim.
	claimed bool
	waiting bool
	// mayHaveRun is set when the outcome of an earlier attempt is unknown.
	mayHaveRun bool
}

// hold is a right that is released when its request can no longer be running.
type hold struct {
	team string
	at   time.Time
}

// queue is the state of the queue duty.
type queue struct {
	s      *Service
	fair   *fairqueue.Scheduler
	table  *route.Table
	view   *services.View
	list   *fleet.HostList
	urgent map[string]bool
	// servers holds the hosts of the table by name.
	servers map[string]fleet.Host
	budgets map[string]*retry.Budget
	holds   []hold
	running map[string]int
	teams   map[string]string
	waiting map[string]int
	pools   []string
}

func newQueue(s *Service, table *route.Table) *queue {
	return &queue{
		s:       s,
		fair:    fairqueue.New(),
		table:   table,
		budgets: make(map[string]*retry.Budget),
		running: make(map[string]int),
		teams:   make(map[string]string),
		waiting: make(map[string]int),
	}
}

func (q *queue) run(ctx context.Context) {
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
		q.refresh()
		q.expire(now)
		if !now.Before(nextTick) {
			q.tick(now)
			nextTick = now.Add(tickPeriod)
		}
		q.start(ctx, now)
		timer.Reset(q.untilNext(nextTick, now))
	}
}

// untilNext returns the time until there is something to do without a message.
func (q *queue) untilNext(nextTick, now time.Time) time.Duration {
	until := nextTick.Sub(now)
	if deadline, ok := q.fair.NextDeadline(); ok {
		until = min(until, estimatePeriod, deadline.Sub(now))
	}
	return max(0, until)
}

func (q *queue) handle(m message) {
	now := q.s.clock()
	switch m := m.(type) {
	case submitted:
		q.admit(m.w, now)
	case cancelled:
		q.cancel(m.w, now)
	case claimed:
		q.claimed(m, now)
	case finished:
		q.finish(m.w, m.result, now)
	case freedRight:
		q.fair.Unblock(m.team)
		m.ack.Offer(struct{}{})
	}
}

func (q *queue) admit(w *work, now time.Time) {
	item := fairqueue.Request{
		Queue: w.req.Queue.Name, Team: w.req.Team, Pool: w.req.Queue.Pool, Class: w.req.Queue.Class,
		Share: w.req.Share, MaxWaiting: w.req.Queue.MaxWaiting, Deadline: w.req.Deadline,
	}
	entry, reason := q.fair.Admit(item, w, now)
	if reason != "" {
		q.end(w, outcome{err: fault.New(&fault.NotRun, reason, stepQueue, "", "queue %q", item.Queue)})
		return
	}
	w.entry = entry
	q.teams[item.Queue] = item.Team
	q.setWaiting(w, true)
}

func (q *queue) setWaiting(w *work, waiting bool) {
	w.waiting = waiting
	if waiting {
		q.waiting[w.req.Team]++
	} else {
		q.waiting[w.req.Team]--
	}
}

// cancel ends a request that waits. One that is being claimed or sent is
// stopped before its first byte by the closed channel w.gone.
func (q *queue) cancel(w *work, now time.Time) {
	if !w.waiting {
		return
	}
	q.fair.Remove(w.entry, now)
	q.setWaiting(w, false)
	q.end(w, outcome{err: fault.New(&fault.NotRun, fault.ReasonCancelled, stepWait, "caller", "the caller has gone")})
}

func (q *queue) expire(now time.Time) {
	for _, entry := range q.fair.Expire(now) {
		w := entry.Value.(*work)
		q.setWaiting(w, false)
		q.end(w, outcome{err: q.expired(w, now)})
	}
}

// expired returns why a request did not start in time.
func (q *queue) expired(w *work, now time.Time) error {
	if q.fair.IsBlocked(w.req.Team) {
		return fault.New(&fault.NotRun, fault.ReasonTeamLimit, stepWait, "", "team %q is at its limit", w.req.Team)
	}
	if slots, _ := q.table.Capacity(w.req.Queue.Pool, now); slots == 0 {
		return fault.New(&fault.NotRun, fault.ReasonNoBackendServer, stepWait, "", "pool %q has no usable server", w.req.Queue.Pool)
	}
	return fault.New(&fault.NotRun, fault.ReasonDeadline, stepWait, "", "no slot became free in time")
}

// end answers a request and records the outcome of its claim.
func (q *queue) end(w *work, o outcome) {
	if w.mayHaveRun && o.err != nil && fault.IsNotRun(o.err) {
		o.err = fault.New(&fault.Unknown, fault.ReasonOf(o.err), stepRetry, "", "an earlier attempt may have run: %w", o.err)
	}
	w.reply.Offer(o)
	if !w.claimed {
		q.s.retire()
		return
	}
	w.claimed = false
	q.s.claiming.Offer(claimTask{w: w, ended: true, outcome: o})
}
