package rights

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/ring"
)

// tickPeriod is how often the ledger checks that it was not paused and that
// the hold term is not over. It is well below the bound of 1 s for a pause.
const tickPeriod = 250 * time.Millisecond

// ledgerDuty is the state of the duty rights.ledger.
type ledgerDuty struct {
	service *Service
	ledger  *rights.Ledger
	// balanceRequested are the teams for which the balance duty was woken.
	balanceRequested map[string]bool
}

// message is one input of the duty rights.ledger.
type message interface {
	receive(k *ledgerDuty, now time.Time)
}

func newLedgerDuty(s *Service) *ledgerDuty {
	return &ledgerDuty{service: s, balanceRequested: make(map[string]bool)}
}

func (k *ledgerDuty) run(ctx context.Context) {
	k.ledger = rights.NewLedger(k.service.self(), time.Now())
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case m := <-k.service.ledger.C():
			m.receive(k, time.Now())
		case <-ticker.C:
			k.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (k *ledgerDuty) tick(now time.Time) {
	if k.ledger.Tick(now) {
		k.service.count("refused_total", stepAcquire, fault.ReasonPaused)
		k.service.log.Warn().Str("step", stepAcquire).Msg("paused; rights are read again before they are used")
	}
	_ = k.checkMayUse(now)
}

func (k *ledgerDuty) checkMayUse(now time.Time) error {
	err := k.service.membership.MayUseRights(now)
	if err != nil {
		k.ledger.MarkUnconfirmed(now)
	}
	return err
}

// announceChange announces a freed right and wakes the balance duty when team begins
// to lack rights.
func (k *ledgerDuty) announceChange(team string) {
	if k.ledger.ClearRefusalIfAvailable(team) {
		for _, r := range k.service.freedRings {
			r.OfferLatest(team)
		}
	}
	hungry := k.ledger.NeedsBalancing(team)
	if hungry && !k.balanceRequested[team] {
		// A full ring wakes the duty as well.
		k.service.balance.Offer(event{})
	}
	k.balanceRequested[team] = hungry
}

type acquire struct {
	team  string
	n     int
	reply *ring.Ring[error]
}

func (m acquire) receive(k *ledgerDuty, now time.Time) {
	m.reply.Offer(m.decide(k, now))
	k.announceChange(m.team)
}

func (m acquire) decide(k *ledgerDuty, now time.Time) error {
	mayUse := k.checkMayUse(now)
	reason := k.ledger.Acquire(now, m.team, m.n)
	if reason == "" {
		return nil
	}
	if mayUse != nil {
		return mayUse
	}
	return fault.New(&fault.NotRun, reason, stepAcquire, "", "no free right of team %s", m.team)
}

// cancelAcquire follows an acquire whose requester left.
type cancelAcquire acquire

func (m cancelAcquire) receive(k *ledgerDuty, now time.Time) {
	select {
	case err := <-m.reply.C():
		if err == nil {
			k.ledger.Release(now, m.team, m.n)
			k.announceChange(m.team)
		}
	default:
	}
}

type release struct {
	team string
	n    int
}

func (m release) receive(k *ledgerDuty, now time.Time) {
	k.ledger.Release(now, m.team, m.n)
	k.announceChange(m.team)
}

type setWaiting struct {
	team string
	n    int
}

func (m setWaiting) receive(k *ledgerDuty, now time.Time) {
	k.ledger.SetWaiting(now, m.team, m.n)
	k.announceChange(m.team)
}

type querySnapshots struct {
	reply *ring.Ring[[]rights.TeamSnapshot]
}

func (m querySnapshots) receive(k *ledgerDuty, now time.Time) {
	m.reply.Offer(k.ledger.TeamSnapshots())
}

// makePlans asks for the plans of the surveyed teams.
type makePlans struct {
	inputs []rights.BalanceInput
	reply  *ring.Ring[[]rights.Plan]
}

func (m makePlans) receive(k *ledgerDuty, now time.Time) {
	_ = k.checkMayUse(now)
	var plans []rights.Plan
	for _, s := range m.inputs {
		plans = append(plans, k.ledger.Prepare(now, s))
		k.announceChange(s.Team)
	}
	m.reply.Offer(plans)
}

// recordOutcomes reports the outcome of plans that were sent at start.
type recordOutcomes struct {
	plans   []rights.Plan
	outcome rights.Outcome
	version uint64
	start   time.Time
}

func (m recordOutcomes) receive(k *ledgerDuty, now time.Time) {
	for _, p := range m.plans {
		k.ledger.RecordOutcome(p, m.outcome, m.version, m.start)
		k.announceChange(p.Team)
	}
}
