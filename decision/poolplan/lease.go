package poolplan

import (
	"time"
)

// stopRetryDelay is the time between stops of one run until the stop takes
// effect.
const stopRetryDelay = 500 * time.Millisecond

// idleLeaseRenewalInterval is the time between lease renewals of an executor
// that did not answer and runs nothing, until it answers or leaves the registry.
const idleLeaseRenewalInterval = time.Second

// leaseDuration returns the duration of the leases to grant. It leaves room for
// the difference between the clocks, and ends before a successor considers the
// lease expired.
func (p *Plan) leaseDuration(now time.Time) time.Duration {
	return min(p.params.MaxLease-p.params.MaxLease/20, p.ownershipRenewedAt.Add(p.params.LeaseCap).Sub(now))
}

// addUnsavedEnd records a run end that is not durable yet.
func (e *executor) addUnsavedEnd(number int64) {
	if e.unsavedEnds == nil {
		e.unsavedEnds = make(map[int64]bool)
	}
	e.unsavedEnds[number] = true
}

// endSaved records that a run end is durable.
func (p *Plan) endSaved(m endRef) {
	e := p.executors[m.executor]
	if e == nil || e.StartedMs != m.startedMs {
		return
	}
	delete(e.unsavedEnds, m.number)
}

// ackableEnd returns the number of the last run end that the executor may
// forget.
func (e *executor) ackableEnd() int64 {
	last := e.lastEnd
	for n := range e.unsavedEnds {
		last = min(last, n-1)
	}
	return last
}

// renewLeases renews the lease of, and requests a report from, each executor
// that runs something or that a previous owner may have used.
func (p *Plan) renewLeases(now time.Time) {
	for _, e := range p.executors {
		if e.leaseRenewalOpen || now.Before(e.nextLeaseRenewalAt) || !p.needsLeaseRenewal(now, e) {
			continue
		}
		p.renewLease(now, e)
	}
}

func (p *Plan) needsLeaseRenewal(now time.Time, e *executor) bool {
	if e.inherited && !e.fencingTokenSeen || e.addressDoubtful {
		return true
	}
	if e.listed && e.clockAt.IsZero() {
		// Without its clock no lease can be granted.
		return true
	}
	if e.listed && !e.reachable() && len(e.runs) == 0 {
		return now.Sub(e.lastLeaseRenewalAt) >= idleLeaseRenewalInterval
	}
	if len(e.unsavedEnds) > 0 {
		return now.Sub(e.lastAnswerAt) >= unsavedLeaseRenewalInterval
	}
	return len(e.runs) > 0 || e.unknownRuns > 0 || e.ackableEnd() > e.ackedEnd
}

func (p *Plan) renewLease(now time.Time, e *executor) {
	o := RenewLease{Target: e.target(), AckedEnd: e.ackableEnd(), Wait: reportWait}
	if len(e.runs)+e.unknownRuns == 0 || e.addressDoubtful || !e.reachable() || len(e.unsavedEnds) > 0 || !e.fencingTokenSeen {
		o.Wait = 0
	}
	if p.relocating && e.serviceRuns > 0 {
		o.Wait = min(o.Wait, relocationReportWait)
	}
	if len(e.runs) > 0 && e.missedAnswers == 0 {
		// A lease that may not arrive would only delay the time at which the
		// runs of an unresponsive executor are certainly over.
		o.LeaseUntilMs = e.leaseEnd(now, p.leaseDuration(now))
	}
	if o.LeaseUntilMs > 0 {
		e.recordLease(now, o.LeaseUntilMs)
	}
	e.leaseRenewalOpen, e.lastLeaseRenewalAt = true, now
	e.ackedEnd = o.AckedEnd
	p.orders = append(p.orders, o)
}

// stopRun orders the end of a run. The order is repeated until the end is
// listed.
func (p *Plan) stopRun(now time.Time, r *run, reason string) {
	if r.stopInFlight || (r.state == runStopping && now.Sub(r.stopOrderedAt) < stopRetryDelay) {
		return
	}
	if r.state != runStopping {
		r.stopReason = reason
	}
	r.state, r.stopOrderedAt, r.stopInFlight = runStopping, now, true
	p.orders = append(p.orders, Stop{Target: r.executor.target(), Task: r.key.task, Attempt: r.key.attempt, Reason: r.stopReason})
}

// leaseEnd returns the end on the executor's clock of a lease of duration d
// from now, or zero when the clock is not known or d is not positive.
func (e *executor) leaseEnd(now time.Time, d time.Duration) int64 {
	if e.clockAt.IsZero() || d <= 0 {
		return 0
	}
	return e.clockMs + now.Sub(e.clockAt).Milliseconds() + d.Milliseconds()
}

// recordLease records that a lease was sent.
func (e *executor) recordLease(now time.Time, untilMs int64) {
	e.leaseUntilMs = max(e.leaseUntilMs, untilMs)
	e.leaseSentAt = now
}

// assumeInheritedLease assumes that a previous owner granted the longest lease
// just now.
func (e *executor) assumeInheritedLease(maxLease time.Duration) {
	e.leaseUntilMs = max(e.leaseUntilMs, e.clockMs+maxLease.Milliseconds())
}

// leaseExpired reports whether every lease that was sent has certainly expired.
func (e *executor) leaseExpired(now time.Time, maxLease time.Duration) bool {
	if e.clockAt.IsZero() {
		return now.Sub(e.leaseSentAt) > maxLease+maxLease/20+leaseExpiryMargin
	}
	elapsedMs := float64(now.Sub(e.clockAt).Milliseconds()) * (1 - maxClockDrift)
	return float64(e.clockMs)+elapsedMs > float64(e.leaseUntilMs+leaseExpiryMargin.Milliseconds())
}

// expireLeases gives up the runs of executors whose leases have certainly
// expired.
func (p *Plan) expireLeases(now time.Time) {
	for _, e := range p.executors {
		if e.reachable() && (e.listed || now.Sub(e.lastAnswerAt) < p.params.MaxLease) {
			continue
		}
		if !e.leaseExpired(now, p.params.MaxLease) || p.mayHaveInheritedLease(now, e) {
			continue
		}
		if len(e.runs) > 0 {
			p.addEvent(Event{Kind: "lease certainly over", Peer: e.ID, Age: now.Sub(e.lastAnswerAt)})
		}
		for _, r := range sortedRuns(e) {
			p.loseRun(now, r, "lease over")
		}
		if !e.listed && !e.leaseRenewalOpen {
			p.dropExecutor(e)
		}
	}
}

// mayHaveInheritedLease reports whether a lease of a previous owner may still
// be valid on the executor.
func (p *Plan) mayHaveInheritedLease(now time.Time, e *executor) bool {
	return e.inherited && !e.fencingTokenSeen && now.Sub(p.takenOverAt) < p.inheritedLeaseTime()
}
