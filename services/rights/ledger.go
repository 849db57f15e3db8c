package rights

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/ring"
)

// tickPeriod is how often the duty checks whether the process was paused or the
// hold term has ended. It is well below the 1 s that counts as a pause.
const tickPeriod = 250 * time.Millisecond

// ledgerDuty is the state of the duty rights.ledger.
type ledgerDuty struct {
	service *Service
	ledger  *rights.Ledger
	// balanceRequested holds the teams for which the balance duty was woken.
	balanceRequested map[string]bool
}

// message is an input of the duty rights.ledger.
type message interface {
	receive(d *ledgerDuty, now time.Time)
}

func newLedgerDuty(s *Service) *ledgerDuty {
	return &ledgerDuty{service: s, balanceRequested: make(map[string]bool)}
}

func (d *ledgerDuty) run(ctx context.Context) {
	d.ledger = rights.NewLedger(d.service.self(), time.Now())
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case m := <-d.service.ledger.C():
			m.receive(d, time.Now())
		case <-ticker.C:
			d.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (d *ledgerDuty) tick(now time.Time) {
	if d.ledger.Tick(now) {
		d.service.count("refused_total", stepAcquire, fault.ReasonPaused)
		d.service.log.Warn().Str("step", stepAcquire).Msg("process was paused; rights must be read again before they are used")
	}
	_ = d.checkMayUse(now)
}

func (d *ledgerDuty) checkMayUse(now time.Time) error {
	err := d.service.membership.CheckMayUseRights(now)
	if err != nil {
		d.ledger.MarkUnconfirmed(now)
	}
	return err
}

// announceChange announces team on the freed rings if a right became available
// after a refusal, and wakes the balance duty when team begins to need it.
func (d *ledgerDuty) announceChange(team string) {
	if d.ledger.ClearRefusalIfAvailable(team) {
		for _, r := range d.service.freedRings {
			r.OfferLatest(team)
		}
	}
	needsBalancing := d.ledger.NeedsBalancing(team)
	if needsBalancing && !d.balanceRequested[team] {
		// If the ring is full, the duty wakes anyway.
		d.service.balance.Offer(event{})
	}
	d.balanceRequested[team] = needsBalancing
}

type acquire struct {
	team  string
	n     int
	reply *ring.Ring[error]
}

func (m acquire) receive(d *ledgerDuty, now time.Time) {
	m.reply.Offer(m.decide(d, now))
	d.announceChange(m.team)
}

func (m acquire) decide(d *ledgerDuty, now time.Time) error {
	mayUseErr := d.checkMayUse(now)
	reason := d.ledger.Acquire(now, m.team, m.n)
	if reason == "" {
		return nil
	}
	if mayUseErr != nil {
		return mayUseErr
	}
	return fault.New(&fault.NotRun, reason, stepAcquire, "", "%d rights of team %s are not available on this host", m.n, m.team)
}

// cancelAcquire cancels an acquire whose caller no longer waits.
type cancelAcquire acquire

func (m cancelAcquire) receive(d *ledgerDuty, now time.Time) {
	select {
	case err := <-m.reply.C():
		if err == nil {
			d.ledger.Release(now, m.team, m.n)
			d.announceChange(m.team)
		}
	default:
	}
}

type release struct {
	team string
	n    int
}

func (m release) receive(d *ledgerDuty, now time.Time) {
	d.ledger.Release(now, m.team, m.n)
	d.announceChange(m.team)
}

type setWaiting struct {
	team string
	n    int
}

func (m setWaiting) receive(d *ledgerDuty, now time.Time) {
	d.ledger.SetWaiting(now, m.team, m.n)
	d.announceChange(m.team)
}

type querySnapshots struct {
	reply *ring.Ring[[]rights.TeamSnapshot]
}

func (m querySnapshots) receive(d *ledgerDuty, now time.Time) {
	m.reply.Offer(d.ledger.TeamSnapshots())
}

// makePlans requests a plan for each of inputs.
type makePlans struct {
	inputs []rights.BalanceInput
	reply  *ring.Ring[[]rights.Plan]
}

func (m makePlans) receive(d *ledgerDuty, now time.Time) {
	_ = d.checkMayUse(now)
	var plans []rights.Plan
	for _, in := range m.inputs {
		plans = append(plans, d.ledger.Prepare(now, in))
		d.announceChange(in.Team)
	}
	m.reply.Offer(plans)
}

// recordOutcomes reports the outcome of plans whose transaction was sent at start.
type recordOutcomes struct {
	plans   []rights.Plan
	outcome rights.Outcome
	version uint64
	start   time.Time
}

func (m recordOutcomes) receive(d *ledgerDuty, now time.Time) {
	for _, p := range m.plans {
		d.ledger.RecordOutcome(p, m.outcome, m.version, m.start)
		d.announceChange(p.Team)
	}
}
