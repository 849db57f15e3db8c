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

// limits holds the rights row of each team, as the table service does, and
// balances the rights of all entry hosts over it.
type limits struct {
	w        *world
	rows     []rights.Row
	versions []uint64
	looks    [][]look // by host and team
}

// look is the state of one host's looks at a team's row.
type look struct {
	// open while a read or write is under way, paused before the next one.
	open, paused bool
	pause        uint64
	backoff      time.Duration
}

func newLimits(w *world) *limits {
	l := &limits{w: w, looks: make([][]look, w.d.entryHosts)}
	for _, t := range w.d.teams {
		row := rights.Row{Limit: rights.Limit{Rights: t.limit, Revision: 1}}
		l.rows = append(l.rows, row)
		l.versions = append(l.versions, 1)
	}
	for h := range l.looks {
		l.looks[h] = make([]look, len(w.d.teams))
		w.clock.after(time.Duration(h)*balancePeriod/time.Duration(w.d.entryHosts), func() { l.round(h) })
	}
	return l
}

func holder(host int) rights.Holder {
	return rights.Holder{Host: fmt.Sprintf("entry-%d", host+1), Incarnation: 1}
}

// round looks at the teams with idle rights or a changed limit.
func (l *limits) round(host int) {
	ledger := l.w.hosts[host].line.(*fair).ledger
	ledger.Tick(l.w.clock.now)
	settled := make(map[string]bool)
	for _, p := range ledger.TeamSnapshots() {
		settled[p.Team] = !p.HasSurplus && !p.Unsettled && p.Limit > 0
	}
	for t, team := range l.w.d.teams {
		if !settled[team.name] {
			l.start(host, t)
		}
	}
	l.w.clock.after(balancePeriod, func() { l.round(host) })
}

// lack asks for a look at a team's row, after a pause that doubles while the
// team goes on lacking rights.
func (l *limits) lack(host, team int) {
	k := &l.looks[host][team]
	if k.open || k.paused {
		return
	}
	k.paused = true
	pause := k.pause
	l.w.clock.after(k.backoff, func() {
		if k.paused && k.pause == pause {
			l.start(host, team)
		}
	})
	k.backoff = min(maxBackoff, max(minBackoff, 2*k.backoff))
}

// start looks at a team's row now, also during a pause.
func (l *limits) start(host, team int) {
	k := &l.looks[host][team]
	if k.open {
		return
	}
	k.open, k.paused = true, false
	k.pause++
	l.read(host, team)
}

func (l *limits) read(host, team int) {
	l.w.count.reads++
	sent := l.w.clock.now
	l.w.clock.after(tableLatency, func() {
		row, version := l.rows[team], l.versions[team]
		l.w.clock.after(tableLatency, func() { l.decide(host, team, row, version, sent) })
	})
}

func (l *limits) decide(host, team int, row rights.Row, version uint64, sent time.Time) {
	f := l.w.hosts[host].line.(*fair)
	now := l.w.clock.now
	plan := f.ledger.Prepare(now, rights.BalanceInput{
		Team: l.w.d.teams[team].name, Version: version, Row: row, ReadStart: sent,
		Limit: rights.Limit{Rights: l.w.d.teams[team].limit, Revision: 1},
		Hosts: l.w.d.entryHosts, Peers: l.w.peers(host),
	})
	if plan.Cause == rights.CauseNone {
		l.done(host, team, false)
		return
	}
	l.w.count.writes++
	l.w.clock.after(tableLatency, func() {
		outcome := rights.Refused
		if l.versions[team] == version {
			outcome = rights.Committed
			l.rows[team] = plan.Row
			l.versions[team]++
		}
		next := l.versions[team]
		l.w.clock.after(tableLatency, func() {
			f.ledger.RecordOutcome(plan, outcome, next, now)
			l.done(host, team, outcome == rights.Committed && plan.Taken > 0)
		})
	})
	l.w.count.sent += plan.Sent
}

// done ends a look and lets waiting work use what it brought.
func (l *limits) done(host, team int, got bool) {
	h := l.w.hosts[host]
	f := h.line.(*fair)
	name := l.w.d.teams[team].name
	k := &l.looks[host][team]
	k.open = false
	if got || !f.ledger.NeedsBalancing(name) {
		k.backoff = 0
	}
	f.unblock(name)
	h.dispatchAll()
	if f.ledger.NeedsBalancing(name) {
		l.lack(host, team)
	}
}
