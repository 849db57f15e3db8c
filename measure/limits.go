package measure

import (
	"fmt"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/rights"
)

const (
	// tableLatency is the one-way time to the table service.
	tableLatency = 3 * time.Millisecond
	// balancePeriod is the time between two looks at teams with idle rights.
	balancePeriod = time.Second
	// minBackoff and maxBackoff bound the pause between two looks at a team
	// that lacks rights.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
)

// rightsBalancer holds the rights row of each team, as the table service does, and
// balances the rights of all entry hosts over it.
type rightsBalancer struct {
	sim      *simulation
	rows     []rights.Row
	versions []uint64
	balances [][]balanceState // by host and team
}

// balanceState is the state of one host's looks at a team's row.
type balanceState struct {
	// inProgress while a read or write is under way, paused before the next one.
	inProgress, backingOff bool
	backoffNumber          uint64
	backoff                time.Duration
}

func newRightsBalancer(w *simulation) *rightsBalancer {
	l := &rightsBalancer{sim: w, balances: make([][]balanceState, w.deployment.entryHosts)}
	for _, t := range w.deployment.teams {
		row := rights.Row{Limit: rights.Limit{Rights: t.limit, Revision: 1}}
		l.rows = append(l.rows, row)
		l.versions = append(l.versions, 1)
	}
	for h := range l.balances {
		l.balances[h] = make([]balanceState, len(w.deployment.teams))
		w.clock.after(time.Duration(h)*balancePeriod/time.Duration(w.deployment.entryHosts), func() { l.balanceUnsettled(h) })
	}
	return l
}

func holder(host int) rights.Holder {
	return rights.Holder{Host: fmt.Sprintf("entry-%d", host+1), Incarnation: 1}
}

// balanceUnsettled looks at the teams with idle rights or a changed limit.
func (l *rightsBalancer) balanceUnsettled(host int) {
	ledger := l.sim.entryHosts[host].admission.(*fairAdmission).ledger
	ledger.Tick(l.sim.clock.now)
	settled := make(map[string]bool)
	for _, p := range ledger.TeamSnapshots() {
		settled[p.Team] = !p.HasSurplus && !p.Unsettled && p.Limit > 0
	}
	for t, team := range l.sim.deployment.teams {
		if !settled[team.name] {
			l.startBalance(host, t)
		}
	}
	l.sim.clock.after(balancePeriod, func() { l.balanceUnsettled(host) })
}

// scheduleBalance asks for a look at a team's row, after a pause that doubles while the
// team goes on lacking rights.
func (l *rightsBalancer) scheduleBalance(host, team int) {
	k := &l.balances[host][team]
	if k.inProgress || k.backingOff {
		return
	}
	k.backingOff = true
	pause := k.backoffNumber
	l.sim.clock.after(k.backoff, func() {
		if k.backingOff && k.backoffNumber == pause {
			l.startBalance(host, team)
		}
	})
	k.backoff = min(maxBackoff, max(minBackoff, 2*k.backoff))
}

// startBalance looks at a team's row now, also during a pause.
func (l *rightsBalancer) startBalance(host, team int) {
	k := &l.balances[host][team]
	if k.inProgress {
		return
	}
	k.inProgress, k.backingOff = true, false
	k.backoffNumber++
	l.readRow(host, team)
}

func (l *rightsBalancer) readRow(host, team int) {
	l.sim.counts.rowReads++
	sent := l.sim.clock.now
	l.sim.clock.after(tableLatency, func() {
		row, version := l.rows[team], l.versions[team]
		l.sim.clock.after(tableLatency, func() { l.balance(host, team, row, version, sent) })
	})
}

func (l *rightsBalancer) balance(host, team int, row rights.Row, version uint64, sent time.Time) {
	f := l.sim.entryHosts[host].admission.(*fairAdmission)
	now := l.sim.clock.now
	plan := f.ledger.Prepare(now, rights.BalanceInput{
		Team: l.sim.deployment.teams[team].name, Version: version, Row: row, ReadStart: sent,
		Limit: rights.Limit{Rights: l.sim.deployment.teams[team].limit, Revision: 1},
		Hosts: l.sim.deployment.entryHosts, Peers: l.sim.peers(host),
	})
	if plan.Cause == rights.CauseNone {
		l.finishBalance(host, team, false)
		return
	}
	l.sim.counts.rowWrites++
	l.sim.clock.after(tableLatency, func() {
		outcome := rights.Refused
		if l.versions[team] == version {
			outcome = rights.Committed
			l.rows[team] = plan.Row
			l.versions[team]++
		}
		next := l.versions[team]
		l.sim.clock.after(tableLatency, func() {
			f.ledger.RecordOutcome(plan, outcome, next, now)
			l.finishBalance(host, team, outcome == rights.Committed && plan.Taken > 0)
		})
	})
	l.sim.counts.rightsSent += plan.Sent
}

// finishBalance ends a look and lets waiting work use what it brought.
func (l *rightsBalancer) finishBalance(host, team int, got bool) {
	h := l.sim.entryHosts[host]
	f := h.admission.(*fairAdmission)
	name := l.sim.deployment.teams[team].name
	k := &l.balances[host][team]
	k.inProgress = false
	if got || !f.ledger.NeedsBalancing(name) {
		k.backoff = 0
	}
	f.unblock(name)
	h.dispatchAll()
	if f.ledger.NeedsBalancing(name) {
		l.scheduleBalance(host, team)
	}
}
