package rights

import (
	"cmp"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/fault"
)

// pauseBound is the gap between this host's own events above which it counts as
// paused. Holdings are then used again only after they were read again, since
// other hosts may have reclaimed them in the meantime.
const pauseBound = time.Second

// Ledger records the rights that one entry host holds and uses. One duty owns
// it.
type Ledger struct {
	self     Holder
	accounts map[string]*account
	lastTick time.Time
	// unconfirmedSince is the latest time at which the holdings became
	// unconfirmed.
	unconfirmedSince time.Time
}

type account struct {
	demand
	rowVersion uint64
	// confirmedAt is the start of the read that returned held.
	confirmedAt time.Time
	held        int
	jobs        int
	fleetHeld   int
	limit       Limit
	// reserved rights may be given away by a write, conditional on version
	// reservedVersion, that is in flight or whose outcome is unknown. They are
	// not used until a later version of the row shows who holds them.
	reserved        int
	reservedVersion uint64
	// withheld rights go to peers below their equal part as work ends.
	withheld   int
	hasRefusal bool
	floor      int
	// wanted is what this host lacks according to the row; wantedWriteAt is
	// when a write was last planned for that cause alone.
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

// available returns the number of rights with which work may start. While the
// sum is known to be over the limit, the excess is withheld here too, so that
// rights in use are given back as their work ends.
func (a *account) available() int {
	return max(0, a.held-a.reserved-a.used-a.withheld-a.excess())
}

// Tick records that the host is running at now and reports whether it was
// paused.
func (l *Ledger) Tick(now time.Time) (paused bool) {
	paused = now.Sub(l.lastTick) > pauseBound
	l.lastTick = now
	if paused {
		l.MarkUnconfirmed(now)
	}
	return paused
}

// MarkUnconfirmed marks all holdings as unconfirmed: only a read of the row
// that starts at or after now permits their use again. It is called whenever
// the hold term has ended, which is also checked on a timer: a term that ended
// and was renewed between two requests would otherwise go unnoticed, although
// other hosts may have reclaimed the rights meanwhile.
func (l *Ledger) MarkUnconfirmed(now time.Time) { l.unconfirmedSince = now }

// Acquire takes n free rights of team, all or none. It returns the reason of a
// refusal, or the empty reason if the rights were taken.
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

func (a *account) recordRefusal(now time.Time, requested int) {
	a.hasRefusal = true
	a.recordNeed(now, requested)
}

// Release returns n rights of team after their work ended.
func (l *Ledger) Release(now time.Time, team string, n int) {
	l.Tick(now)
	a := l.account(team)
	a.used = max(0, a.used-n)
	a.recordNeed(now, 0)
}

// SetWaiting records how much work of team is waiting for a right.
func (l *Ledger) SetWaiting(now time.Time, team string, n int) {
	l.Tick(now)
	a := l.account(team)
	a.waiting = n
	a.recordNeed(now, 0)
}

// SetWaitingJobs records how many jobs of team are waiting for a right.
func (l *Ledger) SetWaitingJobs(now time.Time, team string, n int) {
	l.Tick(now)
	a := l.account(team)
	a.waitingJobs = n
	a.recordNeed(now, 0)
}

// ClearRefusalIfAvailable reports whether team has an available right after a
// refusal, and clears the refusal if so.
func (l *Ledger) ClearRefusalIfAvailable(team string) bool {
	a := l.account(team)
	if !a.hasRefusal || a.available() == 0 || a.confirmedAt.Before(l.unconfirmedSince) {
		return false
	}
	a.hasRefusal = false
	return true
}

// NeedsBalancing reports whether team needs more rights than it holds here, or
// has to give some back because its limit was lowered.
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

// Unsettled reports whether the outcome of a write that may give away rights of
// team is unknown, or the holding is not confirmed.
func (l *Ledger) Unsettled(team string) bool {
	a := l.account(team)
	return a.reserved > 0 || (a.rowVersion > 0 && a.confirmedAt.Before(l.unconfirmedSince))
}

// Observe records a row of team that was read or written by a call that started
// at start. Versions older than the newest one seen are ignored.
func (l *Ledger) Observe(team string, version uint64, row Row, start time.Time) {
	a := l.account(team)
	if version < a.rowVersion || version == 0 {
		return
	}
	own := row.HoldingOf(l.self)
	a.rowVersion = version
	a.held = own.Requests
	a.jobs = own.Jobs
	a.wanted = own.Wanted
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
// Row.PlaceJob. The right stays in use here until RecordJobOutcome, because
// another write can change the row while the transaction is in flight.
func (l *Ledger) MayPlaceJob(team string, version uint64) bool {
	a := l.account(team)
	return a.rowVersion == version && a.used >= 1 && a.used <= a.held-a.reserved
}

// RecordJobOutcome records the outcome of a placement that was conditional on
// version. If the placement was refused, the caller keeps using the right;
// otherwise the right belongs to the job, and while the outcome is in doubt it
// is reserved until a later version of the row is seen.
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
	// NeedsBalancing, Unsettled and HasSurplus are the reasons to read the row.
	NeedsBalancing, Unsettled, HasSurplus bool
}

// TeamSnapshots returns a snapshot of every team, ordered by name.
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
