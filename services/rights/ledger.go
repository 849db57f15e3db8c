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

// keeper is the state of the duty rights.ledger.
type keeper struct {
	s      *Service
	ledger *rights.Ledger
	// woken are the teams for which the balance duty was woken.
	woken map[string]bool
}

// message is one input of the duty rights.ledger.
type message interface {
	receive(k *keeper, now time.Time)
}

func newKeeper(s *Service) *keeper {
	return &keeper{s: s, woken: make(map[string]bool)}
}

func (k *keeper) run(ctx context.Context) {
	k.ledger = rights.NewLedger(k.s.self(), time.Now())
	ticker := time.NewTicker(tickPeriod)
	defer ticker.Stop()
	for {
		select {
		case m := <-k.s.ledger.C():
			m.receive(k, time.Now())
		case <-ticker.C:
			k.tick(time.Now())
		case <-ctx.Done():
			return
		}
	}
}

func (k *keeper) tick(now time.Time) {
	if k.ledger.Tick(now) {
		k.s.count("refused_total", stepAcquire, fault.ReasonPaused)
		k.s.log.Warn().Str("step", stepAcquire).Msg("paused; rights are read again before they are used")
	}
	_ = k.mayUse(now)
}

func (k *keeper) mayUse(now time.Time) error {
	err := k.s.membership.MayUseRights(now)
	if err != nil {
		k.ledger.MarkUnconfirmed(now)
	}
	return err
}

// changed announces a freed right and wakes the balance duty when team begins
// to lack rights.
func (k *keeper) changed(team string) {
	if k.ledger.ClearRefusalIfAvailable(team) {
		for _, r := range k.s.freed {
			r.OfferLatest(team)
		}
	}
	hungry := k.ledger.NeedsBalancing(team)
	if hungry && !k.woken[team] {
		// A full ring wakes the duty as well.
		k.s.balance.Offer(event{})
	}
	k.woken[team] = hungry
}

type acquire struct {
	team  string
	n     int
	reply *ring.Ring[error]
}

func (m acquire) receive(k *keeper, now time.Time) {
	m.reply.Offer(m.decide(k, now))
	k.changed(m.team)
}

func (m acquire) decide(k *keeper, now time.Time) error {
	mayUse := k.mayUse(now)
	reason := k.ledger.Acquire(now, m.team, m.n)
	if reason == "" {
		return nil
	}
	if mayUse != nil {
		return mayUse
	}
	return fault.New(&fault.NotRun, reason, stepAcquire, "", "no free right of team %s", m.team)
}

// giveUp follows an acquire whose requester left.
type giveUp acquire

func (m giveUp) receive(k *keeper, now time.Time) {
	select {
	case err := <-m.reply.C():
		if err == nil {
			k.ledger.Release(now, m.team, m.n)
			k.changed(m.team)
		}
	default:
	}
}

type release struct {
	team string
	n    int
}

func (m release) receive(k *keeper, now time.Time) {
	k.ledger.Release(now, m.team, m.n)
	k.changed(m.team)
}

type waiting struct {
	team string
	n    int
}

func (m waiting) receive(k *keeper, now time.Time) {
	k.ledger.SetWaiting(now, m.team, m.n)
	k.changed(m.team)
}

type query struct {
	reply *ring.Ring[[]rights.TeamSnapshot]
}

func (m query) receive(k *keeper, now time.Time) { m.reply.Offer(k.ledger.TeamSnapshots()) }

// prepare asks for the plans of the surveyed teams.
type prepare struct {
	surveys []rights.BalanceInput
	reply   *ring.Ring[[]rights.Plan]
}

func (m prepare) receive(k *keeper, now time.Time) {
	_ = k.mayUse(now)
	var plans []rights.Plan
	for _, s := range m.surveys {
		plans = append(plans, k.ledger.Prepare(now, s))
		k.changed(s.Team)
	}
	m.reply.Offer(plans)
}

// settle reports the outcome of plans that were sent at start.
type settle struct {
	plans   []rights.Plan
	outcome rights.Outcome
	version uint64
	start   time.Time
}

func (m settle) receive(k *keeper, now time.Time) {
	for _, p := range m.plans {
		k.ledger.RecordOutcome(p, m.outcome, m.version, m.start)
		k.changed(p.Team)
	}
}
