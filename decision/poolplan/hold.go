package poolplan

import (
	"time"
)

// stopRetryDelay separates stops of one run while they are not confirmed.
const stopRetryDelay = 500 * time.Millisecond

// idleHoldInterval separates reports that are asked of an executor which did not answer
// and runs nothing, until it answers or leaves the registry.
const idleHoldInterval = time.Second

// leaseDuration is the lease that is asked for. It leaves room for the difference
// between the clocks, and ends before a successor takes it for over.
func (p *Plan) leaseDuration(now time.Time) time.Duration {
	return min(p.params.MaxLease-p.params.MaxLease/20, p.renewedAt.Add(p.params.LeaseCap).Sub(now))
}

// addUnsavedEnd notes an end that is not durable yet.
func (e *executor) addUnsavedEnd(number int64) {
	if e.unsavedEnds == nil {
		e.unsavedEnds = make(map[int64]bool)
	}
	e.unsavedEnds[number] = true
}

// endSaved notes that an end is durable.
func (p *Plan) endSaved(m endRef) {
	e := p.executors[m.executor]
	if e == nil || e.StartedMs != m.startedMs {
		return
	}
	delete(e.unsavedEnds, m.number)
}

// ackableEnd returns the number of the last end that the executor may forget.
func (e *executor) ackableEnd() int64 {
	last := e.lastEnd
	for n := range e.unsavedEnds {
		last = min(last, n-1)
	}
	return last
}

// sendHolds asks the executors that run something, or that an earlier owner may
// have used, for a report.
func (p *Plan) sendHolds(now time.Time) {
	for _, e := range p.executors {
		if e.holdOpen || now.Before(e.nextHoldAt) || !p.needsHold(now, e) {
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
		return now.Sub(e.lastHoldAt) >= idleHoldInterval
	}
	if len(e.unsavedEnds) > 0 {
		return now.Sub(e.lastAnswerAt) >= unsavedHoldInterval
	}
	return len(e.runs) > 0 || e.unknownRuns > 0 || e.ackableEnd() > e.ackedEnd
}

func (p *Plan) sendHold(now time.Time, e *executor) {
	h := Hold{Target: e.target(), AckedEnd: e.ackableEnd(), Wait: holdWait}
	if len(e.runs)+e.unknownRuns == 0 || !e.reachable() || len(e.unsavedEnds) > 0 || !e.fenced {
		h.Wait = 0
	}
	if len(e.runs) > 0 && e.missedAnswers == 0 {
		// A lease that may not arrive would only put off the time at which
		// the runs of a silent executor are certainly over.
		h.LeaseUntilMs = e.leaseEnd(now, p.leaseDuration(now))
	}
	if h.LeaseUntilMs > 0 {
		e.recordLease(now, h.LeaseUntilMs)
	}
	e.holdOpen, e.lastHoldAt = true, now
	e.ackedEnd = h.AckedEnd
	p.orders = append(p.orders, h)
}

// stopRun orders the end of a run. It is repeated until the end is listed.
func (p *Plan) stopRun(now time.Time, r *run, why string) {
	if r.stopInFlight || (r.state == runStopping && now.Sub(r.stopOrderedAt) < stopRetryDelay) {
		return
	}
	if r.state != runStopping {
		r.stopReason = why
	}
	r.state, r.stopOrderedAt, r.stopInFlight = runStopping, now, true
	p.orders = append(p.orders, Stop{Target: r.executor.target(), Task: r.key.task, Attempt: r.key.attempt, Reason: r.stopReason})
}
