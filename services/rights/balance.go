package rights

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/ring"
	"fuchsiafront.example/fuchsiafront/services"
)

const (
	// period is how often the rows of teams with idle rights are read, so that
	// the unmet demand of other hosts is seen, and fullPeriod that of all teams
	// and the signs of life of their holders.
	period     = 200 * time.Millisecond
	fullPeriod = 10 * time.Second
	// maxTeams is the number of rows in one round of reads and one write.
	maxTeams = 32
	// maxTries bounds the repeats of one write after failed conditions.
	maxTries = 4
	// minBackoff and maxBackoff bound the pause between two looks at a team
	// that lacks rights.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
)

// event wakes the duty rights.balance.
type event struct {
	// leave asks to give back all rights that are not in use.
	leave *ring.Ring[struct{}]
}

// balancer is the state of the duty rights.balance.
type balancer struct {
	s       *Service
	watch   *rights.HolderMonitor
	leaving bool
	next    time.Time
	full    time.Time
	hungry  map[string]retry
}

// retry is when a team that lacks rights is looked at again.
type retry struct {
	backoff time.Duration
	at      time.Time
	// met is set while the team has enough rights. The pause is kept for a
	// while, so that a team at its limit does not cause a read for each
	// request that ends.
	met bool
}

func newBalancer(s *Service) *balancer {
	return &balancer{
		s:      s,
		watch:  rights.NewHolderMonitor(s.settings.HoldTerm, s.settings.LongestRequest),
		hungry: make(map[string]retry),
	}
}

func (b *balancer) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-b.s.balance.C():
			b.wake(ctx, e)
		case <-timer.C:
			b.round(ctx)
		case <-ctx.Done():
			return
		}
		timer.Reset(max(0, time.Until(b.wakeAt())))
	}
}

func (b *balancer) wake(ctx context.Context, e event) {
	if e.leave == nil {
		b.round(ctx)
		return
	}
	b.leaving = true
	b.full = time.Time{}
	b.round(ctx)
	e.leave.Offer(struct{}{})
}

// wakeAt returns the time of the next round.
func (b *balancer) wakeAt() time.Time {
	at := b.next
	for _, r := range b.hungry {
		if !r.met && r.at.Before(at) {
			at = r.at
		}
	}
	return at
}

// round looks at the teams that are due.
func (b *balancer) round(ctx context.Context) {
	now := time.Now()
	if err := b.s.membership.MayUseRights(now); err != nil {
		b.s.count("retried_total", stepBalance, fault.ReasonOf(err))
		b.next = now.Add(jitter(period))
		b.hungry = make(map[string]retry)
		return
	}
	view, ok := b.s.fleetView(now, b.leaving)
	if !ok {
		b.next = now.Add(jitter(period))
		return
	}
	full := !now.Before(b.full)
	due := b.due(ctx, view, now, full)
	var seen []rights.BalanceInput
	for chunk := range slices.Chunk(due, maxTeams) {
		seen = append(seen, b.balanceTeams(ctx, view, chunk, full)...)
	}
	if full {
		b.full = now.Add(jitter(fullPeriod))
		b.retainAll(seen, due)
	}
	b.report(ctx, now)
}

// retainAll forgets holders that are gone, if the rows of all teams were read.
func (b *balancer) retainAll(seen []rights.BalanceInput, due []string) {
	if len(seen) == len(due) {
		b.retain(seen)
	}
}

// due returns the teams whose rows are worth a read now.
func (b *balancer) due(ctx context.Context, view fleetView, now time.Time, full bool) []string {
	positions := b.s.positions(ctx)
	periodic := !now.Before(b.next)
	if periodic {
		b.next = now.Add(jitter(period))
	}
	names := make(map[string]bool)
	if full {
		for name := range view.teams {
			names[name] = true
		}
	}
	for _, p := range positions {
		b.plan(p, now)
		r, hungry := b.hungry[p.Team]
		active := p.HasSurplus || p.Unsettled || p.Limit != view.teams[p.Team].Limit
		if full || (hungry && !r.met && !now.Before(r.at)) || (periodic && active) {
			names[p.Team] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// plan keeps the time of the next look at a team that lacks rights. The first
// look is at once; the pause then doubles.
func (b *balancer) plan(p rights.TeamSnapshot, now time.Time) {
	r, known := b.hungry[p.Team]
	switch {
	case !known && !p.NeedsBalancing:
		return
	case !known:
		r = retry{at: now}
	case !p.NeedsBalancing && now.Sub(r.at) > maxBackoff:
		delete(b.hungry, p.Team)
		return
	}
	r.met = !p.NeedsBalancing
	b.hungry[p.Team] = r
}

// backOff sets the next look at the teams of a round that lacked rights.
func (b *balancer) backOff(teams []string, now time.Time) {
	for _, team := range teams {
		r, known := b.hungry[team]
		if !known {
			continue
		}
		r.backoff = min(maxBackoff, max(minBackoff, 2*r.backoff))
		r.at = now.Add(jitter(r.backoff))
		b.hungry[team] = r
	}
}

// jitter returns a random duration from three quarters of d up to d, so that
// hosts do not write the same row at the same time.
func jitter(d time.Duration) time.Duration { return d - rand.N(d/4) }

// balanceTeams reads the rows of teams, decides and writes. It returns what it
// read.
func (b *balancer) balanceTeams(ctx context.Context, view fleetView, teams []string, full bool) []rights.BalanceInput {
	defer func() { b.backOff(teams, time.Now()) }()
	keys := make([]string, len(teams))
	for i, team := range teams {
		keys[i] = rowPrefix + team
	}
	start := time.Now()
	rows, err := b.get(ctx, keys)
	if err != nil {
		b.s.count("retried_total", stepBalance, fault.ReasonOf(err))
		return nil
	}
	surveys := b.surveys(view, rows, start)
	var members map[string]uint64
	if full {
		members = b.inspect(ctx, surveys)
	}
	b.write(ctx, view, b.prepare(ctx, surveys), relied(surveys, members))
	return surveys
}

func (b *balancer) get(ctx context.Context, keys []string) ([]services.Row, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.s.platform.Get(call, keys...)
}

func (b *balancer) surveys(view fleetView, rows []services.Row, start time.Time) []rights.BalanceInput {
	var list []rights.BalanceInput
	for _, row := range rows {
		decoded, err := decodeRow(row)
		if err != nil {
			b.s.log.Error().Str("step", stepBalance).Str("row", row.Key).Err(err).Msg("row not understood")
			continue
		}
		list = append(list, view.survey(row.Key[len(rowPrefix):], row.Version, decoded, start))
	}
	return list
}

// relied returns for each team the member rows whose versions a write relies
// on: those of the holders whose rights it takes away.
func relied(surveys []rights.BalanceInput, members map[string]uint64) map[string][]services.Condition {
	conditions := make(map[string][]services.Condition)
	for _, s := range surveys {
		for _, h := range s.Expired {
			conditions[s.Team] = append(conditions[s.Team], services.Condition{Key: memberPrefix + h.Host, Version: members[h.Host]})
		}
	}
	return conditions
}

// prepare asks the ledger for plans; plans that change nothing are left out.
func (b *balancer) prepare(ctx context.Context, surveys []rights.BalanceInput) []rights.Plan {
	if len(surveys) == 0 {
		return nil
	}
	m := prepare{surveys: surveys, reply: ring.Reply[[]rights.Plan]()}
	if b.s.ledger.Put(ctx, m) != nil {
		return nil
	}
	plans, _ := m.reply.Take(ctx)
	return slices.DeleteFunc(plans, func(p rights.Plan) bool { return p.Cause == rights.CauseNone })
}

// write commits the plans. Plans whose conditions fail are decided anew on the
// rows as they are, and submitted together with the rest.
func (b *balancer) write(ctx context.Context, view fleetView, plans []rights.Plan, members map[string][]services.Condition) {
	for try := 0; len(plans) > 0; try++ {
		if try == maxTries {
			b.settle(ctx, plans, rights.Refused, 0, time.Now())
			return
		}
		start := time.Now()
		result, err := b.commit(ctx, plans, members)
		if err != nil {
			b.s.count("retried_total", stepBalance, fault.ReasonOf(err))
			b.settle(ctx, plans, outcomeOf(err), 0, start)
			return
		}
		if result.Committed {
			b.succeeded(plans)
			b.settle(ctx, plans, rights.Committed, result.Version, start)
			return
		}
		b.s.count("retried_total", stepBalance, fault.ReasonConflict)
		plans = b.decideAnew(ctx, view, plans, members, result.Current, start)
		services.Sleep(ctx, jitter(minBackoff))
	}
}

// succeeded lets teams that got rights look for more at once.
func (b *balancer) succeeded(plans []rights.Plan) {
	for _, p := range plans {
		if p.Taken > 0 {
			delete(b.hungry, p.Team)
		}
	}
}

func outcomeOf(err error) rights.Outcome {
	if fault.IsNotRun(err) {
		return rights.Refused
	}
	return rights.InDoubt
}

func (b *balancer) commit(ctx context.Context, plans []rights.Plan, members map[string][]services.Condition) (services.CommitResult, error) {
	var tx services.Transaction
	for _, p := range plans {
		value, err := encodeRow(p.Row)
		if err != nil {
			return services.CommitResult{}, err
		}
		key := rowPrefix + p.Team
		tx.Conditions = append(tx.Conditions, services.Condition{Key: key, Version: p.Version})
		tx.Conditions = append(tx.Conditions, members[p.Team]...)
		tx.Writes = append(tx.Writes, services.Write{Key: key, Value: value})
	}
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.s.platform.Commit(call, tx)
}

// decideAnew gives up the plans whose conditions failed, and returns new plans
// for the rows that differ together with the untouched rest.
func (b *balancer) decideAnew(ctx context.Context, view fleetView, plans []rights.Plan, members map[string][]services.Condition, current []services.Row, start time.Time) []rights.Plan {
	differs := make(map[string]bool)
	var rows []services.Row
	for _, row := range current {
		differs[row.Key] = true
		if len(row.Key) > len(rowPrefix) && row.Key[:len(rowPrefix)] == rowPrefix {
			rows = append(rows, row)
		}
	}
	var failed, rest []rights.Plan
	for _, p := range plans {
		stale := differs[rowPrefix+p.Team] || slices.ContainsFunc(members[p.Team], func(c services.Condition) bool { return differs[c.Key] })
		if stale {
			failed = append(failed, p)
			delete(members, p.Team)
			continue
		}
		rest = append(rest, p)
	}
	b.settle(ctx, failed, rights.Refused, 0, start)
	return append(rest, b.prepare(ctx, b.surveys(view, rows, start))...)
}

func (b *balancer) settle(ctx context.Context, plans []rights.Plan, o rights.Outcome, version uint64, start time.Time) {
	if len(plans) == 0 {
		return
	}
	// An error means that the service stops and the ledger with it.
	_ = b.s.ledger.Put(ctx, settle{plans: plans, outcome: o, version: version, start: start})
}

// report tells the peers what runs and waits here.
func (b *balancer) report(ctx context.Context, now time.Time) {
	positions := b.s.positions(ctx)
	self := b.s.self().Host
	loads := make([]services.TeamLoad, 0, len(positions))
	for _, p := range positions {
		b.plan(p, now)
		loads = append(loads, services.TeamLoad{
			Host: self, Team: p.Team, Running: p.Used + p.Jobs, Waiting: p.Waiting, UnmetRights: p.Unmet,
		})
	}
	b.s.peers.SetLoads(loads)
}
