package measure

import (
	"fmt"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/rights"
)

const (
	// tableLatency is the one-way latency to the table service.
	tableLatency = 3 * time.Millisecond
	// balancePeriod is the interval at which an entry host balances teams with
	// idle rights.
	balancePeriod = time.Second
	// minBackoff and maxBackoff bound the backoff between two balances of a team
	// that lacks rights.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
)

// rightsBalancer stands in for the table service, with one rights row per team,
// and balances each entry host's rights against the rows.
type rightsBalancer struct {
	sim      *simulation
	rows     []rights.Row
	versions []uint64
	balances [][]balanceState // by host and team
}

// balanceState is the state of one entry host's balancing of one team.
type balanceState struct {
	// inProgress is set during a read or write of the row, backingOff while the
	// next one waits for the backoff. backoffNumber invalidates earlier timers.
	inProgress, backingOff bool
	backoffNumber          uint64
	backoff                time.Duration
}

func newRightsBalancer(sim *simulation) *rightsBalancer {
	b := &rightsBalancer{sim: sim, balances: make([][]balanceState, sim.deployment.entryHosts)}
	for _, t := range sim.deployment.teams {
		row := rights.Row{Limit: rights.Limit{Rights: t.limit, Revision: 1}}
		b.rows = append(b.rows, row)
		b.versions = append(b.versions, 1)
	}
	for h := range b.balances {
		b.balances[h] = make([]balanceState, len(sim.deployment.teams))
		sim.clock.after(time.Duration(h)*balancePeriod/time.Duration(sim.deployment.entryHosts), func() { b.balanceUnsettled(h) })
	}
	return b
}

func holder(host int) rights.Holder {
	return rights.Holder{Host: fmt.Sprintf("entry-%d", host+1), Incarnation: 1}
}

// balanceUnsettled balances the teams with idle rights or a changed limit.
func (b *rightsBalancer) balanceUnsettled(host int) {
	ledger := b.sim.entryHosts[host].admission.(*fairAdmission).ledger
	ledger.Tick(b.sim.clock.now)
	settled := make(map[string]bool)
	for _, p := range ledger.TeamSnapshots() {
		settled[p.Team] = !p.HasSurplus && !p.Unsettled && p.Limit > 0
	}
	for t, team := range b.sim.deployment.teams {
		if !settled[team.name] {
			b.startBalance(host, t)
		}
	}
	b.sim.clock.after(balancePeriod, func() { b.balanceUnsettled(host) })
}

// scheduleBalance balances a team after a backoff that doubles while the team
// still lacks rights.
func (b *rightsBalancer) scheduleBalance(host, team int) {
	state := &b.balances[host][team]
	if state.inProgress || state.backingOff {
		return
	}
	state.backingOff = true
	number := state.backoffNumber
	b.sim.clock.after(state.backoff, func() {
		if state.backingOff && state.backoffNumber == number {
			b.startBalance(host, team)
		}
	})
	state.backoff = min(maxBackoff, max(minBackoff, 2*state.backoff))
}

// startBalance balances a team now, also during a backoff.
func (b *rightsBalancer) startBalance(host, team int) {
	state := &b.balances[host][team]
	if state.inProgress {
		return
	}
	state.inProgress, state.backingOff = true, false
	state.backoffNumber++
	b.readRow(host, team)
}

func (b *rightsBalancer) readRow(host, team int) {
	b.sim.counts.rowReads++
	readStart := b.sim.clock.now
	b.sim.clock.after(tableLatency, func() {
		row, version := b.rows[team], b.versions[team]
		b.sim.clock.after(tableLatency, func() { b.balance(host, team, row, version, readStart) })
	})
}

func (b *rightsBalancer) balance(host, team int, row rights.Row, version uint64, readStart time.Time) {
	f := b.sim.entryHosts[host].admission.(*fairAdmission)
	now := b.sim.clock.now
	plan := f.ledger.Prepare(now, rights.BalanceInput{
		Team: b.sim.deployment.teams[team].name, Version: version, Row: row, ReadStart: readStart,
		Limit: rights.Limit{Rights: b.sim.deployment.teams[team].limit, Revision: 1},
		Hosts: b.sim.deployment.entryHosts, Peers: b.sim.peers(host),
	})
	if plan.Cause == rights.CauseNone {
		b.finishBalance(host, team, false)
		return
	}
	b.sim.counts.rowWrites++
	b.sim.clock.after(tableLatency, func() {
		outcome := rights.Refused
		if b.versions[team] == version {
			outcome = rights.Committed
			b.rows[team] = plan.Row
			b.versions[team]++
		}
		next := b.versions[team]
		b.sim.clock.after(tableLatency, func() {
			f.ledger.RecordOutcome(plan, outcome, next, now)
			b.finishBalance(host, team, outcome == rights.Committed && plan.Taken > 0)
		})
	})
	b.sim.counts.rightsSent += plan.Sent
}

// finishBalance ends a balance and dispatches requests that its rights allow.
func (b *rightsBalancer) finishBalance(host, team int, tookRights bool) {
	h := b.sim.entryHosts[host]
	f := h.admission.(*fairAdmission)
	name := b.sim.deployment.teams[team].name
	state := &b.balances[host][team]
	state.inProgress = false
	if tookRights || !f.ledger.NeedsBalancing(name) {
		state.backoff = 0
	}
	f.unblock(name)
	h.dispatchAll()
	if f.ledger.NeedsBalancing(name) {
		b.scheduleBalance(host, team)
	}
}
