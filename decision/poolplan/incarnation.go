package poolplan

import "time"

// An executor keeps its identifier and its address when it starts again, so that an order
// for one incarnation may be carried out by a later one: at once, if a relay keeps the
// connection or this owner has not noticed the restart, or seconds later, if it had no
// answer. Three rules keep that from doing harm.
//
//   - A process is known by the start that it names in its own report to this owner. An
//     entry of the registry, which may be old or another writer's, only causes a request
//     for a report.
//   - Orders to an incarnation have a higher fencing token than those to earlier ones.
//     From the first that it carries out on, it refuses the earlier ones. No task starts
//     there before, and what the answered report lists shows which of the earlier starts
//     it has carried out.
//   - An acknowledgement that it carried out before that makes it forget its own ends as
//     they happen. Unless it is certain that there was none, a run that is stopped at once
//     shows whether ends are listed, before other work starts there (trial.go).

// lateOrderTime is how long after it was sent an order without an answer may still be
// carried out: the platform's pages give 12 s, and the order has to arrive.
const lateOrderTime = MaxOrderLateness

// briefLateTime takes the place of lateOrderTime in the question how long after a start
// without an answer its task stays away from other executors, in two cases. A service task has
// to run again 6 s after its last run. And an executor that nobody reaches is given up after
// this time and the longest lease, because a job must have something running finish_s (14 s)
// after it was handed in: one that is only cut off is back before, as cuts last 6.2 s at most,
// and refuses the start from then on.
const briefLateTime = 4600 * time.Millisecond

// incarnationState is what the plan knows of which process an executor is, and of the
// orders that may have reached another one.
type incarnationState struct {
	serial int64
	// fencingToken is the token of the orders to this incarnation once ordered is set,
	// which the first of them does.
	fencingToken int64
	ordered      bool
	// changed is set once an order was sent that does not merely request a report.
	changed bool
	// restarted is set if this owner has sent orders to an earlier incarnation. The
	// highest token of these is formerToken.
	restarted   bool
	formerToken int64
	// formerStartedMs is the start of the earlier incarnation if it may be this one, and
	// formerStaleAck whether that needed trials.
	formerStartedMs int64
	formerStaleAck  bool
	// addedAt is when the plan learned of the incarnation.
	addedAt time.Time
	// entry is the latest entry of the registry. described is set once one has named the
	// start that the process has; until then its capacity and kind may be other ones.
	entry     Executor
	described bool
	// doubtful is set while an entry of the registry contradicts what is known of the
	// process at the address, and no report has arrived since.
	doubtful bool
	// otherPool is set while the registry lists the identifier for another pool.
	otherPool bool
	// recordedUnsure is set if the record for later owners says so, or is about to.
	recordedUnsure bool
	// silentSince is since when the executor has not answered, or is in doubt. openChecks
	// counts the open requests for a report beside the renewal, the last of which was
	// sent at checkedAt.
	silentSince time.Time
	openChecks  int
	checkedAt   time.Time
	// openAck is the acknowledgement of the open renewal; zero if it has none.
	openAck int64
	// ackWaits is set while an acknowledgement waits for the answers to starts.
	ackWaits bool
	// unansweredAckAt is when the last acknowledgement without an answer was sent, to
	// this incarnation or an earlier one.
	unansweredAckAt time.Time
	// unseenFor is the longest time for which the incarnation can have been there before
	// its first answer to an order with its own fencing token.
	unseenFor time.Duration
	trials    trials
}

// reportTarget returns the target of an order that merely requests a report.
func (p *Plan) reportTarget(e *executor) Target {
	if !e.ordered {
		e.ordered, e.fencingToken = true, p.ownershipRenewalVersion
	}
	return Target{Executor: e.ID, Address: e.Address, StartedMs: e.StartedMs, Serial: e.serial, FencingToken: e.fencingToken}
}

// target returns the target of any other order.
func (p *Plan) target(e *executor) Target {
	e.changed = true
	return p.reportTarget(e)
}

// mayOrder reports whether there is a fencing token for orders to e. After a restart the
// owner has to renew its ownership for one, at most half a second later.
func (p *Plan) mayOrder(e *executor) bool {
	return e.ordered || !e.restarted || p.ownershipRenewalVersion > e.formerToken
}

// findTarget returns the executor of a target, or nil when that incarnation is not the
// current one.
func (p *Plan) findTarget(t Target) *executor {
	e := p.executors[t.Executor]
	if e == nil || e.serial != t.Serial {
		return nil
	}
	return e
}

// isOther reports whether a start is that of another incarnation. Starts are not ordered:
// the time of day may step back between two of them.
func (e *executor) isOther(startedMs int64) bool {
	return startedMs != 0 && e.StartedMs != 0 && startedMs != e.StartedMs
}

// unsure reports whether an order of this owner may have reached another incarnation than
// the one that is known.
func (e *executor) unsure() bool {
	return e.doubtful || !e.startUnansweredSince.IsZero() || e.restarted && !e.fencingTokenSeen
}

// recordUnsure has the record for later owners follow what is known of an executor. One
// that cannot reach it has to wait longer for leases.
func (p *Plan) recordUnsure(e *executor) {
	if unsure := e.unsure(); unsure != e.recordedUnsure {
		e.recordedUnsure, p.recordOutdated = unsure, true
	}
}

// noteOtherEntry handles an entry of the registry that names another start than the
// process has. Each start is asked about once.
func (p *Plan) noteOtherEntry(now time.Time, e *executor, info Executor) {
	if !e.listed {
		e.listed = true
		p.groupsChanged = true
	}
	if info.Machine == e.Machine {
		// Whether a machine is to be emptied does not depend on the incarnation.
		e.Cordoned, e.Leaving = info.Cordoned, info.Leaving
	}
	if e.entry.StartedMs == info.StartedMs {
		e.entry = info
		return
	}
	e.entry = info
	e.doubtful, e.nextLeaseRenewalAt = true, now
	p.addEvent(Event{Kind: "registry names another start of the executor", Peer: e.ID, StartedMs: info.StartedMs, Age: now.Sub(e.lastAnswerAt)})
}

// replaceIncarnation replaces an executor by another incarnation that has answered order o
// in its place. It reports whether the answer is a report of the new one after which no
// earlier order can be carried out.
func (p *Plan) replaceIncarnation(now time.Time, e *executor, startedMs int64, o RenewLease) (*executor, bool) {
	undecided := p.takeUndecidedRuns(e)
	staleAck := o.AckedEnd > 0 || p.mayHaveAckAtLarge(e)
	p.endIncarnation(now, e, "executor started again")
	delete(p.former, e.ID)
	info := e.Executor
	described := e.entry.StartedMs == startedMs
	if described {
		info = e.entry
	}
	info.StartedMs, info.ClockMs, info.StaleAck = startedMs, 0, staleAck
	next := p.addExecutor(now, info, false)
	next.listed, next.entry, next.described = e.listed, e.entry, described
	// If the earlier incarnation has not answered this owner, orders of the previous one
	// may have reached the later incarnation.
	next.inherited = e.inherited && !e.fencingTokenSeen
	next.restarted, next.reportDueAt = true, e.reportDueAt
	next.unseenFor = now.Sub(e.reportedAt)
	if next.unansweredAckAt = e.unansweredAckAt; e.openAck > 0 {
		next.unansweredAckAt = e.lastLeaseRenewalAt
	}
	if e.inherited && next.unansweredAckAt.Before(p.takenOverAt) {
		next.unansweredAckAt = p.takenOverAt
	}
	for _, r := range undecided {
		r.executor, r.stopInFlight, r.undecided = next, false, true
		next.runs[r.key] = r
		p.charge(r, 1)
	}
	p.dropTickets(e.ID)
	if e.changed || !o.changesNothing() {
		next.formerToken = max(e.fencingToken, e.formerToken)
		return next, false
	}
	next.formerToken, next.ordered, next.fencingToken = e.formerToken, true, e.fencingToken
	return next, true
}

// takeUndecidedRuns removes and returns the runs of e that a later incarnation may have
// begun. A run that a report of e has listed began there, unless a try of its start is
// still at large.
func (p *Plan) takeUndecidedRuns(e *executor) []*run {
	var undecided []*run
	for _, r := range sortedRuns(e) {
		if r.listed && !r.startAtLarge {
			continue
		}
		if r.state == runStarting {
			r.noteUnansweredTry()
		}
		undecided = append(undecided, r)
		if r.state == runStopping && !r.trial {
			// The stop was for the earlier incarnation. Those of a trial come every
			// trialStopDelay, so that it is not done in the later one either.
			r.state = runStarting
		}
		r.trial, r.verified = false, false
		r.confirmedAt, r.verifiedSince = time.Time{}, time.Time{}
		p.charge(r, -1)
		delete(e.runs, r.key)
	}
	return undecided
}

// mayHaveAckAtLarge reports whether an acknowledgement for e may be carried out by a later
// incarnation. One that was sent long enough before e last answered is not.
func (p *Plan) mayHaveAckAtLarge(e *executor) bool {
	if e.openAck > 0 {
		return true
	}
	if e.inherited && (!e.fencingTokenSeen || e.reportRequestedAt.Sub(p.takenOverAt) < lateOrderTime) {
		// Nothing is known of those of the previous owner.
		return true
	}
	return !e.unansweredAckAt.IsZero() && e.reportRequestedAt.Sub(e.unansweredAckAt) < lateOrderTime
}

// formerIncarnation is what is kept of an executor that the plan has dropped, while orders
// to it may be at large.
type formerIncarnation struct {
	fencingToken int64
	startedMs    int64
	// staleAck is set if the incarnation needed trials, and ackAtLarge if an
	// acknowledgement for it may be carried out by a later one.
	staleAck, ackAtLarge bool
	droppedAt            time.Time
}

func (p *Plan) keepFormer(now time.Time, e *executor) {
	for id, f := range p.former {
		if now.Sub(f.droppedAt) > lateOrderTime {
			delete(p.former, id)
		}
	}
	if !e.changed && !e.restarted {
		return
	}
	if p.former == nil {
		p.former = make(map[string]formerIncarnation)
	}
	p.former[e.ID] = formerIncarnation{max(e.fencingToken, e.formerToken), e.StartedMs, e.StaleAck, p.mayHaveAckAtLarge(e), now}
}

// recallFormer takes account of orders to an executor under the identifier that was dropped
// a short time ago.
func (p *Plan) recallFormer(now time.Time, e *executor) {
	f, ok := p.former[e.ID]
	if !ok || now.Sub(f.droppedAt) > lateOrderTime {
		return
	}
	e.restarted, e.formerToken = true, f.fencingToken
	e.formerStartedMs, e.formerStaleAck = f.startedMs, f.staleAck
	if e.StaleAck = f.staleAck || f.ackAtLarge; e.StaleAck {
		e.unansweredAckAt = f.droppedAt
	}
	e.unseenFor = lateOrderTime
}

// EndReplaced drops executors that are no longer listed and whose machine or
// address is used by a later incarnation. all lists the executors of all pools.
func (p *Plan) EndReplaced(now time.Time, all []Executor) {
	var unlisted []*executor
	for _, e := range p.executors {
		e.otherPool = false
		if !e.listed {
			unlisted = append(unlisted, e)
		}
	}
	if len(unlisted) == 0 {
		return
	}
	latestStart := make(map[string]int64, 2*len(all))
	for i := range all {
		if e := p.executors[all[i].ID]; e != nil && !e.listed {
			e.otherPool = true
		}
		latestStart[all[i].Address] = max(latestStart[all[i].Address], all[i].StartedMs)
		if all[i].Machine != "" {
			latestStart[all[i].Machine] = max(latestStart[all[i].Machine], all[i].StartedMs)
		}
	}
	for _, e := range unlisted {
		if e.StartedMs > 0 && (latestStart[e.Address] > e.StartedMs || latestStart[e.Machine] > e.StartedMs) {
			p.endUnlessAnswering(now, e, "its machine or address runs another executor")
		}
	}
}

// endUnlessAnswering ends an executor of which an entry of the registry says that another
// one has taken its place. If it has answered a moment ago, the entry may be another
// writer's: it is asked, and the process that is there answers for itself.
func (p *Plan) endUnlessAnswering(now time.Time, e *executor, reason string) {
	if e.reachable() && now.Sub(e.lastAnswerAt) < reportWait+leaseRenewalRetryDelay {
		p.doubtAddress(now, e)
		return
	}
	p.endIncarnation(now, e, reason)
}

// endInOtherPool drops an executor in whose place a later incarnation has answered that
// belongs to another pool. An order with a newer token would have it refuse the owner of that
// one. A start without an answer may still begin its run there.
func (p *Plan) endInOtherPool(now time.Time, e *executor) {
	for _, r := range e.runs {
		if r.state == runStarting {
			r.noteUnansweredTry()
		}
	}
	p.endIncarnation(now, e, "its identifier is that of another pool's executor")
}

// endIncarnation drops an executor whose process has certainly ended.
func (p *Plan) endIncarnation(now time.Time, e *executor, reason string) {
	p.addEvent(Event{Kind: "executor ended", Peer: e.ID, StartedMs: e.StartedMs, Reason: reason, Age: now.Sub(e.lastAnswerAt)})
	for _, r := range sortedRuns(e) {
		p.loseRun(now, r, reason)
	}
	p.dropExecutor(now, e)
}
