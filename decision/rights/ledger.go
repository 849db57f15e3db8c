package rights

import (
	"cmp"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
)

// pauseBound is the gap in this host's own events beyond which it counts as
// paused. Holdings are then used again only after they were read again, since
// other hosts may have reclaimed them in the meantime.
const pauseBound = time.Second

// Ledger is what one entry host knows of the rights that it holds and uses.
// One duty owns it.
type Ledger struct {
	self     Holder
	accounts map[string]*account
	lastTick time.Time
	// unconfirmedSince is the latest time at which the holdings became unconfirmed.
	unconfirmedSince time.Time
}

type account struct {
	demand
	rowVersion uint64
	// confirmedAt is the start of the read that showed held.
	confirmedAt time.Time
	held        int
	jobs        int
	fleetHeld   int
	limit       Limit
	// reserved rights may be given away by a write conditional on version
	// reservedVersion that is under way or whose outcome is not known. They are
	// not used until a later version of the row shows whose they are.
	reserved        int
	reservedVersion uint64
	// withheld rights go to peers below their equal part as work ends.
	withheld   int
	hasRefusal bool
	floor      int
	// wanted is what the row says that this host lacks; wantedWriteAt is when a
	// write was last planned for that cause alone.
	wanted        int
	wantedWriteAt time.Time
}

// NewLedger returns the empty ledger of a process that starts at now.
func NewLedger(self Holder, now time.Time) *Ledger {
	return &Ledger{self: self, accounts: make(map[string]*account), lastTick: now, unconfirmedSince: now}
}

func (l *Ledger) account(team string) *account {
	a, ok := l.accounts[team]
	if !ok {
		a = &account{}
		l.accounts[team] = a
	}
	return a
}

func (a *account) excess() int { return max(0, a.fleetHeld-a.limit.Rights) }

// available returns the rights with which work may start. While the sum is known to
// be over the limit, that much is withheld here too, so that rights in use are
// given back as their work ends.
func (a *account) available() int {
	return max(0, a.held-a.reserved-a.used-a.withheld-a.excess())
}

// Tick records that the host runs at now and reports whether it was paused.
func (l *Ledger) Tick(now time.Time) (paused bool) {
	paused = now.Sub(l.lastTick) > pauseBound
	l.lastTick = now
	if paused {
		l.MarkUnconfirmed(now)
	}
	return paused
}

// MarkUnconfirmed marks all holdings as unconfirmed: only a read of the row that starts
// at or after now permits their use again. It is called whenever the hold term
// is over, which is checked on a timer too: a term that ended and was renewed
// between two requests would otherwise go unnoticed, although other hosts may
// have reclaimed the rights meanwhile.
func (l *Ledger) MarkUnconfirmed(now time.Time) { l.unconfirmedSince = now }

// Acquire takes n free rights of team, all or none. It returns the reason of a
// refusal, and the empty reason when the rights were taken.
func (l *Ledger) Acquire(now time.Time, team string, n int) fault.Reason {
	l.Tick(now)
	a := l.account(team)
	if a.confirmedAt.Before(l.unconfirmedSince) && a.rowVersion > 0 {
		a.recordRefusal(now, n)
		return fault.ReasonPaused
	}
	if n > a.available() || a.rowVersion == 0 {
		a.recordRefusal(now, n)
		return fault.ReasonTeamLimit
	}
	a.used += n
	a.recordNeed(now, 0)
	return ""
}

func (a *account) recordRefusal(now time.Time, n int) {
	a.hasRefusal = true
	a.recordNeed(now, n)
}

// Release returns n rights of team after their work ended.
func (l *Ledger) Release(now time.Time, team string, n int) {
	l.Tick(now)
	a := l.account(team)
	a.used = max(0, a.used-n)
	a.recordNeed(now, 0)
}

// SetWaiting records how much work of team waits for a right.
func (l *Ledger) SetWaiting(now time.Time, team string, n int) {
	l.Tick(now)
	a := l.account(team)
	a.waiting = n
	a.recordNeed(now, 0)
}

// SetWaitingJobs records how many jobs of team wait for a right.
func (l *Ledger) SetWaitingJobs(now time.Time, team string, n int) {
	l.Tick(now)
	a := l.account(team)
	a.waitingJobs = n
	a.recordNeed(now, 0)
}

// ClearRefusalIfAvailable reports whether team has a free right after a refusal, once for
// each time.
func (l *Ledger) ClearRefusalIfAvailable(team string) bool {
	a := l.account(team)
	if !a.hasRefusal || a.available() == 0 || a.confirmedAt.Before(l.unconfirmedSince) {
		return false
	}
	a.hasRefusal = false
	return true
}

// NeedsBalancing reports whether team needs more rights than it holds here, or has to
// give some back under a lowered limit.
func (l *Ledger) NeedsBalancing(team string) bool {
	a := l.account(team)
	held := a.held - a.reserved
	if a.excess() > 0 {
		return held > a.used
	}
	if overstated(a.wanted, max(0, a.need()-held)) {
		return true
	}
	return a.need() > held || (a.hasRefusal && int(a.peak) > held)
}

// Unsettled reports whether a write that may give rights of team away has an
// unknown outcome, or the holding is not confirmed.
func (l *Ledger) Unsettled(team string) bool {
	a := l.account(team)
	return a.reserved > 0 || (a.rowVersion > 0 && a.confirmedAt.Before(l.unconfirmedSince))
}

// Observe records a row of team that was read, or written, by a call that
// started at start. Versions older than the newest one seen change nothing.
func (l *Ledger) Observe(team string, version uint64, row Row, start time.Time) {
	a := l.account(team)
	if version < a.rowVersion || version == 0 {
		return
	}
	mine := row.HoldingOf(l.self)
	a.rowVersion = version
	a.held = mine.Requests
	a.jobs = mine.Jobs
	a.wanted = mine.Wanted
	a.fleetHeld = row.Sum()
	a.limit = a.limit.Newer(row.Limit)
	if start.After(a.confirmedAt) {
		a.confirmedAt = start
	}
	if version > a.reservedVersion {
		a.reserved = 0
	}
}

// SetLimit records the limit of team in this host's replica.
func (l *Ledger) SetLimit(team string, limit Limit) {
	a := l.account(team)
	a.limit = a.limit.Newer(limit)
}

// MayPlaceJob reports whether a right in use here may become the right of a job
// in a transaction that is conditional on version of the row and applies
// Row.PlaceJob. The right stays in use here until RecordJobOutcome, because another
// write can move the row on while the transaction is under way.
func (l *Ledger) MayPlaceJob(team string, version uint64) bool {
	a := l.account(team)
	return a.rowVersion == version && a.used >= 1 && a.used <= a.held-a.reserved
}

// RecordJobOutcome records the outcome of a placement that was conditional on version.
// Without effect the right stays in use by the caller; otherwise it belongs to
// the job, and while that is in doubt it is reserved until a later version of
// the row is seen.
func (l *Ledger) RecordJobOutcome(team string, version uint64, o Outcome) {
	a := l.account(team)
	if o == Refused {
		return
	}
	a.used = max(0, a.used-1)
	if o == InDoubt && a.rowVersion == version {
		a.reserved++
		a.reservedVersion = version
	}
}

// TeamSnapshot is a snapshot of one team's rights on this host.
type TeamSnapshot struct {
	Team                        string
	Limit                       int
	Held, Jobs, Used, Waiting   int
	FleetHeld, Unmet, Available int
	// NeedsBalancing, Unsettled and Surplus tell why the row is worth a read.
	NeedsBalancing, Unsettled, HasSurplus bool
}

// TeamSnapshots returns the snapshot of every team, by name.
func (l *Ledger) TeamSnapshots() []TeamSnapshot {
	list := make([]TeamSnapshot, 0, len(l.accounts))
	for team, a := range l.accounts {
		list = append(list, TeamSnapshot{
			Team: team, Limit: a.limit.Rights,
			Held: a.held, Jobs: a.jobs, Used: a.used, Waiting: a.waiting + a.waitingJobs,
			FleetHeld: a.fleetHeld, Unmet: max(0, a.need()-a.held), Available: a.available(),
			NeedsBalancing: l.NeedsBalancing(team), Unsettled: l.Unsettled(team),
			HasSurplus: a.held > max(a.floor, withHeadroom(a.need())) && a.held > a.used,
		})
	}
	slices.SortFunc(list, func(a, b TeamSnapshot) int { return cmp.Compare(a.Team, b.Team) })
	return list
}
