package rights

import (
	"cmp"
	"math/bits"
	"slices"
	"time"
)

// lowWaterDivisor sets the low-water mark: a host takes rights when those it
// has idle fall below a sixteenth of its need, before its first refusal.
const lowWaterDivisor = 16

// BalanceInput is what a host knows about one team when it balances the team's
// rights.
type BalanceInput struct {
	Team    string
	Version uint64
	Row     Row
	// ReadStart is when the call that returned Row started.
	ReadStart time.Time
	Limit     Limit
	// Hosts is the number of entry hosts, this one included.
	Hosts int
	// Peers are the other entry hosts with a recent contact. Rights move only
	// to them, since the rights of a host that has ended are reclaimed late.
	Peers []Holder
	// Leaving is set if all rights that are not in use are to be given back.
	Leaving bool
	// Ended holders have ended. Expired holders have not renewed their member
	// row for so long that none of their requests can still run. Reclaimable are
	// holders of orphaned holdings whose requests cannot run any more either; a
	// holder that came back can also have a live holding, which stays.
	Ended       []Holder
	Expired     []Holder
	Reclaimable []Holder
}

// Cause is the reason why a plan writes the row.
type Cause string

// Causes of a write, most important first.
const (
	CauseNone         Cause = ""
	CauseOrphaned     Cause = "stranded"
	CauseReclaimed    Cause = "reclaimed"
	CauseLimit        Cause = "limit"
	CauseShrink       Cause = "shrink"
	CauseResolveDoubt Cause = "resolve-doubt"
	CauseDemand       Cause = "demand"
	CauseIdle         Cause = "idle"
	CausePeerDemand   Cause = "peer-demand"
	CauseWanted       Cause = "wanted"
)

// Plan is a new row to commit on condition that the row still has Version.
type Plan struct {
	Team    string
	Version uint64
	Row     Row
	// Cause is CauseNone if nothing is to be written.
	Cause              Cause
	Taken, Given, Sent int
}

func (p *Plan) setCause(c Cause) {
	if p.Cause == CauseNone {
		p.Cause = c
	}
}

// Prepare records the row that was read, decides the next one, and reserves the
// rights that the write would give away, so that they are not used while its
// outcome is open. RecordOutcome must be called with the outcome unless the
// plan's cause is CauseNone.
func (l *Ledger) Prepare(now time.Time, in BalanceInput) Plan {
	l.Tick(now)
	l.Observe(in.Team, in.Version, in.Row, in.ReadStart)
	l.SetLimit(in.Team, in.Limit)
	a := l.account(in.Team)
	a.recordNeed(now, 0)
	a.withheld = 0
	p := Plan{Team: in.Team, Version: in.Version, Row: in.Row.UnderLimit(a.limit)}
	if in.Version < a.rowVersion {
		return p
	}
	l.markAndReclaimOrphans(&p, in)
	if in.Version > 0 && p.Row.Limit.Rights != in.Row.Limit.Rights {
		p.setCause(CauseLimit)
	}
	inDoubt := a.reserved > 0
	if inDoubt {
		p.setCause(CauseResolveDoubt)
	}
	switch {
	case in.Leaving:
		if !inDoubt {
			l.giveBack(&p, a, a.held-a.used, CauseIdle)
		}
	case p.Row.Excess() > 0:
		l.giveBackExcess(&p, a, inDoubt)
	default:
		l.takeOrGive(now, &p, a, in, inDoubt)
	}
	return p
}

// markAndReclaimOrphans orphans and reclaims the rights of holders that ended.
// Holdings orphaned earlier are reclaimed first, because a newer one of the
// same holder is merged into them.
func (l *Ledger) markAndReclaimOrphans(p *Plan, in BalanceInput) {
	for _, h := range in.Reclaimable {
		p.reclaim(h)
	}
	for _, h := range in.Row.Holdings {
		if h.Host == l.self.Host && h.Holder != l.self {
			p.markOrphaned(h.Holder)
		}
	}
	for _, h := range in.Ended {
		p.markOrphaned(h)
	}
	for _, h := range in.Expired {
		p.markOrphaned(h)
		p.reclaim(h)
	}
}

func (p *Plan) reclaim(h Holder) {
	next, n := p.Row.Reclaim(h)
	if n > 0 {
		p.Row = next
		p.setCause(CauseReclaimed)
	}
}

func (p *Plan) markOrphaned(h Holder) {
	next, ok := p.Row.MarkOrphaned(h, p.Version)
	if ok {
		p.Row = next
		p.setCause(CauseOrphaned)
	}
}

// giveBackExcess gives back idle rights at once while the sum is over the
// limit.
func (l *Ledger) giveBackExcess(p *Plan, a *account, inDoubt bool) {
	if inDoubt {
		return
	}
	idle := a.held - a.reserved - a.used
	l.giveBack(p, a, min(idle, p.Row.Excess()), CauseShrink)
}

// takeOrGive takes what this host lacks, or gives away what it does not need.
func (l *Ledger) takeOrGive(now time.Time, p *Plan, a *account, in BalanceInput, inDoubt bool) {
	floor := Floor(p.Row.Limit.Rights, in.Hosts)
	a.floor = floor
	held := a.held - a.reserved
	keep := a.rightsToKeep(floor)
	lowWaterMark := a.need() + (a.need()+lowWaterDivisor-1)/lowWaterDivisor
	if held < floor || held < lowWaterMark || a.hasRefusal {
		next, n := p.Row.Take(l.self, keep-held)
		if n > 0 {
			p.Row, p.Taken = next, n
			p.setCause(CauseDemand)
		}
	}
	p.recordWanted(now, l.self, a, held+p.Taken)
	if p.Taken > 0 {
		return
	}
	if inDoubt {
		return
	}
	l.sendToPeers(p, a, in, floor)
	if p.Sent == 0 {
		l.giveBack(p, a, min(held-keep, held-a.used), CauseIdle)
	}
}

// recordWanted records in the row what this host lacks, so that hosts with idle
// rights see it at their next read. The number is rounded up to a power of two
// and rewritten only when it doubled or fell to a quarter, to keep the number
// of writes small. A write for this cause alone occurs at most once per
// minWantedInterval; other writes carry the newest value.
func (p *Plan) recordWanted(now time.Time, self Holder, a *account, held int) {
	recorded := p.Row.HoldingOf(self).Wanted
	shortfall := max(0, a.need()-held)
	if shortfall <= recorded && !overstated(recorded, shortfall) {
		return
	}
	if shortfall > 0 {
		shortfall = 1 << bits.Len(uint(shortfall-1))
	}
	p.Row = p.Row.SetWanted(self, shortfall)
	if now.Sub(a.wantedWriteAt) >= minWantedInterval {
		a.wantedWriteAt = now
		p.setCause(CauseWanted)
	}
}

// overstated reports whether the recorded shortfall would attract rights that
// are no longer needed.
func overstated(recorded, shortfall int) bool { return recorded > 0 && shortfall <= recorded/4 }

func (l *Ledger) giveBack(p *Plan, a *account, n int, cause Cause) {
	next, given := p.Row.GiveBack(l.self, n)
	if given == 0 {
		return
	}
	p.Row, p.Given = next, given
	a.reserved, a.reservedVersion = given, p.Version
	p.setCause(cause)
}

// sendToPeers moves idle rights directly to peers with unmet demand that the
// free rights cannot meet, largest first.
func (l *Ledger) sendToPeers(p *Plan, a *account, in BalanceInput, floor int) {
	unmet := unmetPeers(p.Row, in.Peers)
	unmetTotal := 0
	for _, u := range unmet {
		unmetTotal += u.Wanted
	}
	unmetTotal -= p.Row.Free()
	if unmetTotal <= 0 {
		return
	}
	a.withheld = l.rightsToYield(p.Row, in, unmet)
	spare := a.held - max(floor, withHeadroom(a.need()))
	spare = max(spare, min(a.withheld, a.held-a.used))
	spare = min(spare, unmetTotal)
	for _, u := range unmet {
		next, n := p.Row.Move(l.self, u.Holder, min(spare, u.Wanted))
		p.Row = next
		p.Sent += n
		spare -= n
	}
	if p.Sent > 0 {
		a.reserved, a.reservedVersion = p.Sent, p.Version
		a.withheld = max(0, a.withheld-p.Sent)
		p.setCause(CausePeerDemand)
	}
}

// unmetPeers returns the holdings of the peers that lack rights.
func unmetPeers(row Row, peers []Holder) []Holding {
	var unmet []Holding
	for _, peer := range peers {
		if h := row.HoldingOf(peer); h.Wanted > 0 {
			unmet = append(unmet, h)
		}
	}
	slices.SortStableFunc(unmet, func(a, b Holding) int { return cmp.Compare(b.Wanted, a.Wanted) })
	return unmet
}

// rightsToYield returns how many of this host's rights go to peers as their
// work ends, although this host has work for them. A host above its equal part
// of the limit yields, in proportion to its excess, to peers below theirs;
// without this a host that starts while the team is saturated would never get a
// right.
func (l *Ledger) rightsToYield(row Row, in BalanceInput, unmet []Holding) int {
	if in.Hosts < 1 {
		return 0
	}
	equalPart := row.Limit.Rights / in.Hosts
	shortfall := 0
	for _, u := range unmet {
		shortfall += max(0, min(u.Wanted, equalPart-u.Requests))
	}
	totalAbove := 0
	for _, h := range row.Holdings {
		totalAbove += max(0, h.Requests-equalPart)
	}
	ownAbove := max(0, row.HoldingOf(l.self).Requests-equalPart)
	if totalAbove == 0 {
		return 0
	}
	return min(ownAbove, (shortfall*ownAbove+totalAbove-1)/totalAbove)
}

// Outcome is the outcome of a plan's transaction.
type Outcome int

// Outcomes of a transaction.
const (
	// Committed means that the new row is in force.
	Committed Outcome = iota
	// Refused means that the write had no effect and will have none.
	Refused
	// InDoubt means that the write may have taken effect, now or later.
	InDoubt
)

// RecordOutcome records the outcome of the plan's transaction, which was sent
// at start. version is the version that the row got if it was committed.
func (l *Ledger) RecordOutcome(p Plan, o Outcome, version uint64, start time.Time) {
	a := l.account(p.Team)
	switch o {
	case Committed:
		l.Observe(p.Team, version, p.Row, start)
	case Refused:
		if a.reservedVersion == p.Version {
			a.reserved = max(0, a.reserved-p.Given-p.Sent)
		}
	case InDoubt:
		// The reservation stays until a later version of the row is seen.
	}
}
