package poolplan

import (
	"time"
)

// stopRetry separates stops of one run while they are not confirmed.
const stopRetry = 500 * time.Millisecond

// idleProbe separates reports that are asked of an executor which did not answer
// and runs nothing, until it answers or leaves the registry.
const idleProbe = time.Second

// leaseTerm is the lease that is asked for. It leaves room for the difference
// between the clocks, and ends before a successor takes it for over.
func (p *Plan) leaseTerm(now time.Time) time.Duration {
	return min(p.params.HoldMax-p.params.HoldMax/20, p.renewedAt.Add(p.params.LeaseCap).Sub(now))
}

// pending notes an end that is not durable yet.
func (e *executor) pending(number int64) {
	if e.unsavedEnds == nil {
		e.unsavedEnds = make(map[int64]bool)
	}
	e.unsavedEnds[number] = true
}

// acknowledge notes that an end is durable.
func (p *Plan) acknowledge(m endMark) {
	e := p.executors[m.executor]
	if e == nil || e.Born != m.born {
		return
	}
	delete(e.unsavedEnds, m.number)
}

// forgettable returns the number of the last end that the executor may forget.
func (e *executor) forgettable() int64 {
	last := e.seen
	for n := range e.unsavedEnds {
		last = min(last, n-1)
	}
	return last
}

// hold asks the executors that run something, or that an earlier owner may
// have used, for a report.
func (p *Plan) hold(now time.Time) {
	for _, e := range p.executors {
		if e.holding || now.Before(e.holdAt) || !p.needsHold(now, e) {
			continue
		}
		p.sendHold(now, e)
	}
}

func (p *Plan) needsHold(now time.Time, e *executor) bool {
	if e.inherited && !e.fenced {
		return true
	}
	if e.listed && !e.reachable() && len(e.runs) == 0 {
		return now.Sub(e.probedAt) >= idleProbe
	}
	if len(e.unsavedEnds) > 0 {
		return now.Sub(e.heardAt) >= unsavedPause
	}
	return len(e.runs) > 0 || e.unknownRuns > 0 || e.forgettable() > e.saved
}

func (p *Plan) sendHold(now time.Time, e *executor) {
	h := Hold{Target: e.target(), LastSeen: e.forgettable(), Wait: holdWait}
	if len(e.runs)+e.unknownRuns == 0 || !e.reachable() || len(e.unsavedEnds) > 0 || !e.fenced {
		h.Wait = 0
	}
	if len(e.runs) > 0 && e.silent == 0 {
		// A lease that may not arrive would only put off the time at which
		// the runs of a silent executor are certainly over.
		h.LeaseUntil = e.lease(now, p.leaseTerm(now))
	}
	if h.LeaseUntil > 0 {
		e.grant(now, h.LeaseUntil)
	}
	e.holding, e.probedAt = true, now
	e.saved = h.LastSeen
	p.orders = append(p.orders, h)
}

// stop orders the end of a run. It is repeated until the end is listed.
func (p *Plan) stop(now time.Time, r *run, why string) {
	if r.stopBusy || (r.state == runStopping && now.Sub(r.stopAsked) < stopRetry) {
		return
	}
	if r.state != runStopping {
		r.stopReason = why
	}
	r.state, r.stopAsked, r.stopBusy = runStopping, now, true
	p.orders = append(p.orders, Stop{Target: r.executor.target(), Task: r.key.task, Attempt: r.key.attempt, Reason: r.stopReason})
}
