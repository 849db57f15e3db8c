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
	if e == nil || e.serial != m.serial {
		return
	}
	delete(e.unsavedEnds, m.number)
}

// ackableEnd returns the number of the last run end that the executor may
// forget.
func (e *executor) ackableEnd(now time.Time) int64 {
	last := e.lastEnd
	for n := range e.unsavedEnds {
		last = min(last, n-1)
	}
	for n, until := range e.heldEnds {
		if now.Before(until) {
			last = min(last, n-1)
		} else {
			delete(e.heldEnds, n)
		}
	}
	return last
}

// holdAck keeps the end of a run that is done from being acknowledged until a time. A start
// without an answer may begin the run again until then, if the executor starts again.
// Unless the end has been acknowledged, the platform takes that for the first run. Later ends
// of the executor wait as well, since one number acknowledges all ends up to it.
func (e *executor) holdAck(number int64, until time.Time) {
	if e.heldEnds == nil {
		e.heldEnds = make(map[int64]time.Time)
	}
	e.heldEnds[number] = until
}

// renewLeases renews the lease of, and requests a report from, each executor
// that runs something or that a previous owner may have used.
func (p *Plan) renewLeases(now time.Time) {
	for _, e := range p.allExecutors() {
		p.recordUnsure(e)
		p.checkIncarnation(now, e)
		switch {
		case now.Before(e.nextLeaseRenewalAt) || !p.mayOrder(e) || !p.needsLeaseRenewal(now, e):
		case !e.leaseRenewalOpen:
			if e.ackWaits = e.ackDue(now) && e.openStarts > 0; !e.ackWaits {
				p.renewLease(now, e)
			}
		}
	}
}

// Requests for a report of an executor that has missed an order. Nothing starts there until
// one is answered, and some are lost like the order, so that several are sent at first.
const (
	maxOpenChecks   = 3
	checkInterval   = 50 * time.Millisecond
	promptCheckTime = time.Second
)

// checkIncarnation requests a report of an executor that has not answered or is in doubt,
// beside the renewal, which may wait for an answer that never comes.
func (p *Plan) checkIncarnation(now time.Time, e *executor) {
	if e.reachable() && !e.doubtful {
		e.silentSince = time.Time{}
		return
	}
	if e.silentSince.IsZero() {
		e.silentSince = now
	}
	most := maxOpenChecks
	if now.Sub(e.silentSince) >= promptCheckTime {
		most = 0
		if e.leaseRenewalOpen && e.lastLeaseRenewalAt.Before(e.silentSince) {
			most = 1
		}
	}
	if !p.mayOrder(e) || e.openChecks >= most || now.Sub(e.checkedAt) < checkInterval {
		return
	}
	e.openChecks++
	e.checkedAt = now
	p.orders = append(p.orders, RenewLease{Target: p.reportTarget(e), Check: true})
}

func (p *Plan) needsLeaseRenewal(now time.Time, e *executor) bool {
	if !e.runsKnown() || e.doubtful {
		return true
	}
	if e.reportIsDue(now, e.reportDueAt) || e.reportIsDue(now, e.idleReportDueAt) {
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
	if len(e.heldEnds) > 0 {
		return e.ackDue(now) || now.Sub(e.lastAnswerAt) >= heldLeaseRenewalInterval
	}
	return len(e.runs) > 0 || e.unknownRuns > 0 || e.ackableEnd(now) > e.ackedEnd
}

// reportIsDue reports whether no report has been requested since a time that has passed.
func (e *executor) reportIsDue(now, at time.Time) bool {
	return e.reportRequestedAt.Before(at) && !now.Before(at)
}

// answers reports whether the executor has answered all that it was sent.
func (e *executor) answers() bool { return e.reachable() && !e.doubtful && e.fencingTokenSeen }

// ackDue reports whether the next renewal acknowledges ends.
func (e *executor) ackDue(now time.Time) bool { return e.answers() && e.ackableEnd(now) > e.ackedEnd }

func (p *Plan) renewLease(now time.Time, e *executor) {
	o := RenewLease{Wait: reportWait}
	// What has no answer may be the sign of a restart. The next report is requested
	// without anything that was meant for the earlier incarnation.
	answers := e.answers()
	if len(e.runs)+e.unknownRuns == 0 || !answers || len(e.unsavedEnds)+len(e.heldEnds) > 0 {
		o.Wait = 0
	}
	if e.ackDue(now) {
		// The answer shows at once who has received the acknowledgement.
		o.AckedEnd, o.Wait = e.ackableEnd(now), 0
	}
	if e.trials.open > 0 || e.hasUndecidedRun() {
		o.Wait = min(o.Wait, trialReportWait)
	}
	if p.relocating && e.serviceRuns > 0 {
		o.Wait = min(o.Wait, relocationReportWait)
	}
	if len(e.runs) > e.trials.open && answers {
		// A lease that may not arrive would only delay the time at which the
		// runs of an unresponsive executor are certainly over.
		o.LeaseUntilMs = e.leaseEnd(now, p.leaseOn(now, e))
	}
	if o.LeaseUntilMs > 0 {
		e.recordLease(now, o.LeaseUntilMs)
	}
	e.leaseRenewalOpen, e.lastLeaseRenewalAt = true, now
	e.openAck = o.AckedEnd
	if o.Target = p.reportTarget(e); !o.changesNothing() {
		o.Target = p.target(e)
	}
	p.orders = append(p.orders, o)
}

// stopRun orders the end of a run. The order is repeated until the end is
// listed.
func (p *Plan) stopRun(now time.Time, r *run, reason string) {
	if r.stopInFlight || (r.state == runStopping && now.Sub(r.stopOrderedAt) < stopRetryDelay) || !p.mayOrder(r.executor) {
		return
	}
	if r.state != runStopping {
		r.stopReason = reason
	}
	r.state, r.verified = runStopping, false
	p.orderStop(now, r)
}

func (p *Plan) orderStop(now time.Time, r *run) {
	r.stopOrderedAt, r.stopInFlight = now, true
	p.orders = append(p.orders, Stop{Target: p.target(r.executor), Task: r.key.task, Attempt: r.key.attempt, Reason: r.stopReason})
}

// leaseEnd returns the end on the executor's clock of a lease of duration d
// from now, or zero when the clock is not known or d is not positive.
func (e *executor) leaseEnd(now time.Time, d time.Duration) int64 {
	if e.clockAt.IsZero() || d <= 0 {
		return 0
	}
	return e.clockMs + now.Sub(e.clockAt).Milliseconds() + d.Milliseconds()
}

// leaseEndsAt returns when the latest lease that this owner has sent ends, or now if the
// executor's clock is not known.
func (e *executor) leaseEndsAt(now time.Time) time.Time {
	if e.clockAt.IsZero() {
		return now
	}
	return e.clockAt.Add(time.Duration(e.grantedUntilMs-e.clockMs) * time.Millisecond)
}

// recordLease records that a lease was sent.
func (e *executor) recordLease(now time.Time, untilMs int64) {
	e.leaseUntilMs, e.grantedUntilMs = max(e.leaseUntilMs, untilMs), max(e.grantedUntilMs, untilMs)
	e.leaseSentAt = now
}

// assumeInheritedLease assumes that a previous owner granted the longest lease
// just now.
func (e *executor) assumeInheritedLease(now time.Time, maxLease time.Duration) {
	e.leaseUntilMs = max(e.leaseUntilMs, e.clockMs+maxLease.Milliseconds())
	e.leaseSentAt = now
}

// leaseExpired reports whether every lease that was sent has certainly expired.
func (e *executor) leaseExpired(now time.Time, maxLease time.Duration) bool {
	return now.After(e.leaseOverAt(maxLease))
}

// leaseOverAt returns when every lease that was sent has certainly expired.
func (e *executor) leaseOverAt(maxLease time.Duration) time.Time {
	// Also if the clock that was read last is another incarnation's.
	longest := e.leaseSentAt.Add(maxLease + maxLease/20 + leaseExpiryMargin)
	if e.clockAt.IsZero() {
		return longest
	}
	leftMs := float64(e.leaseUntilMs + leaseExpiryMargin.Milliseconds() - e.clockMs)
	return earlier(longest, e.clockAt.Add(time.Duration(leftMs/(1-maxClockDrift))*time.Millisecond))
}

// expireLeases gives up the runs of executors whose leases have certainly
// expired.
func (p *Plan) expireLeases(now time.Time) {
	for _, e := range p.allExecutors() {
		if e.reachable() && (e.listed || now.Sub(e.lastAnswerAt) < p.params.MaxLease) {
			continue
		}
		if !e.leaseExpired(now, p.params.MaxLease) || p.mayHaveInheritedLease(now, e) {
			continue
		}
		if len(e.runs) > 0 && !e.leaseOverNoted {
			e.leaseOverNoted = true
			p.addEvent(Event{Kind: "lease certainly over", Peer: e.ID, StartedMs: e.StartedMs, Age: now.Sub(e.lastAnswerAt)})
		}
		for _, r := range sortedRuns(e) {
			if !p.mayBeginLate(now, r) {
				p.endUnseen(now, r, "lease over")
			}
		}
		if !e.listed && !e.leaseRenewalOpen && len(e.runs) == 0 {
			p.dropExecutor(now, e)
		}
	}
}

// mayBeginLate reports whether a start without an answer may still begin the run, or may
// have begun it in a later incarnation. There the lease that it carries ends on a clock
// that has started anew, so that the run may last for the longest lease from then on.
func (p *Plan) mayBeginLate(now time.Time, r *run) bool {
	return (r.startAtLarge || r.undecided) && now.Sub(r.lastTryAt) < briefLateTime+p.longestLease()
}

// longestLease returns the longest time for which an executor keeps runs without a renewal.
func (p *Plan) longestLease() time.Duration {
	return time.Duration(float64(p.params.MaxLease)*(1+maxClockDrift)) + leaseExpiryMargin
}

// mayHaveInheritedLease reports whether a lease of a previous owner may still
// be valid on the executor.
func (p *Plan) mayHaveInheritedLease(now time.Time, e *executor) bool {
	return e.inherited && !e.fencingTokenSeen && now.Sub(p.takenOverAt) < p.inheritedLeaseTime(e)
}
