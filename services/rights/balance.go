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
	// balancePeriod is how often the rows of teams with idle rights are read, so that
	// the unmet demand of other hosts is seen, and fullRoundPeriod that of all teams
	// and the signs of life of their holders.
	balancePeriod   = 200 * time.Millisecond
	fullRoundPeriod = 10 * time.Second
	// maxTeamsPerBatch is the number of rows in one round of reads and one write.
	maxTeamsPerBatch = 32
	// maxWriteAttempts bounds the repeats of one write after failed conditions.
	maxWriteAttempts = 4
	// minBackoff and maxBackoff bound the pause between two looks at a team
	// that lacks rights.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// callTimeout bounds one call to the platform.
	callTimeout = 2 * time.Second
)

// event wakes the duty rights.balance.
type event struct {
	// drainReply asks to give back all rights that are not in use.
	drainReply *ring.Ring[struct{}]
}

// balancer is the state of the duty rights.balance.
type balancer struct {
	service      *Service
	monitor      *rights.HolderMonitor
	leaving      bool
	nextPeriodic time.Time
	nextFull     time.Time
	retries      map[string]retry
}

// retry is when a team that lacks rights is looked at again.
type retry struct {
	backoff time.Duration
	at      time.Time
	// satisfied is set while the team has enough rights. The pause is kept for a
	// while, so that a team at its limit does not cause a read for each
	// request that ends.
	satisfied bool
}

func newBalancer(s *Service) *balancer {
	return &balancer{
		service: s,
		monitor: rights.NewHolderMonitor(s.settings.HoldTerm, s.settings.LongestRequest),
		retries: make(map[string]retry),
	}
}

func (b *balancer) run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case e := <-b.service.balance.C():
			b.handleEvent(ctx, e)
		case <-timer.C:
			b.round(ctx)
		case <-ctx.Done():
			return
		}
		timer.Reset(max(0, time.Until(b.nextRoundAt())))
	}
}

func (b *balancer) handleEvent(ctx context.Context, e event) {
	if e.drainReply == nil {
		b.round(ctx)
		return
	}
	b.leaving = true
	b.nextFull = time.Time{}
	b.round(ctx)
	e.drainReply.Offer(struct{}{})
}

// nextRoundAt returns the time of the next round.
func (b *balancer) nextRoundAt() time.Time {
	at := b.nextPeriodic
	for _, r := range b.retries {
		if !r.satisfied && r.at.Before(at) {
			at = r.at
		}
	}
	return at
}

// round looks at the teams that are due.
func (b *balancer) round(ctx context.Context) {
	now := time.Now()
	if err := b.service.membership.MayUseRights(now); err != nil {
		b.service.count("retried_total", stepBalance, fault.ReasonOf(err))
		b.nextPeriodic = now.Add(jitter(balancePeriod))
		b.retries = make(map[string]retry)
		return
	}
	view, ok := b.service.fleetView(now, b.leaving)
	if !ok {
		b.nextPeriodic = now.Add(jitter(balancePeriod))
		return
	}
	full := !now.Before(b.nextFull)
	due := b.dueTeams(ctx, view, now, full)
	var seen []rights.BalanceInput
	for chunk := range slices.Chunk(due, maxTeamsPerBatch) {
		seen = append(seen, b.balanceTeams(ctx, view, chunk, full)...)
	}
	if full {
		b.nextFull = now.Add(jitter(fullRoundPeriod))
		b.retainIfAllRead(seen, due)
	}
	b.reportLoads(ctx, now)
}

// retainIfAllRead forgets holders that are gone, if the rows of all teams were read.
func (b *balancer) retainIfAllRead(seen []rights.BalanceInput, due []string) {
	if len(seen) == len(due) {
		b.retainHolders(seen)
	}
}

// dueTeams returns the teams whose rows are worth a read now.
func (b *balancer) dueTeams(ctx context.Context, view fleetView, now time.Time, full bool) []string {
	positions := b.service.snapshots(ctx)
	periodic := !now.Before(b.nextPeriodic)
	if periodic {
		b.nextPeriodic = now.Add(jitter(balancePeriod))
	}
	names := make(map[string]bool)
	if full {
		for name := range view.teams {
			names[name] = true
		}
	}
	for _, p := range positions {
		b.updateRetry(p, now)
		r, hungry := b.retries[p.Team]
		active := p.HasSurplus || p.Unsettled || p.Limit != view.teams[p.Team].Limit
		if full || (hungry && !r.satisfied && !now.Before(r.at)) || (periodic && active) {
			names[p.Team] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// updateRetry keeps the time of the next look at a team that lacks rights. The first
// look is at once; the pause then doubles.
func (b *balancer) updateRetry(p rights.TeamSnapshot, now time.Time) {
	r, known := b.retries[p.Team]
	switch {
	case !known && !p.NeedsBalancing:
		return
	case !known:
		r = retry{at: now}
	case !p.NeedsBalancing && now.Sub(r.at) > maxBackoff:
		delete(b.retries, p.Team)
		return
	}
	r.satisfied = !p.NeedsBalancing
	b.retries[p.Team] = r
}

// backOff sets the next look at the teams of a round that lacked rights.
func (b *balancer) backOff(teams []string, now time.Time) {
	for _, team := range teams {
		r, known := b.retries[team]
		if !known {
			continue
		}
		r.backoff = min(maxBackoff, max(minBackoff, 2*r.backoff))
		r.at = now.Add(jitter(r.backoff))
		b.retries[team] = r
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
		b.service.count("retried_total", stepBalance, fault.ReasonOf(err))
		return nil
	}
	surveys := b.balanceInputs(view, rows, start)
	var members map[string]uint64
	if full {
		members = b.checkHolders(ctx, surveys)
	}
	b.write(ctx, view, b.requestPlans(ctx, surveys), memberConditions(surveys, members))
	return surveys
}

func (b *balancer) get(ctx context.Context, keys []string) ([]services.Row, error) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.service.platform.Get(call, keys...)
}

func (b *balancer) balanceInputs(view fleetView, rows []services.Row, start time.Time) []rights.BalanceInput {
	var list []rights.BalanceInput
	for _, row := range rows {
		decoded, err := decodeRow(row)
		if err != nil {
			b.service.log.Error().Str("step", stepBalance).Str("row", row.Key).Err(err).Msg("row not understood")
			continue
		}
		list = append(list, view.balanceInput(row.Key[len(rowPrefix):], row.Version, decoded, start))
	}
	return list
}

// memberConditions returns for each team the member rows whose versions a write relies
// on: those of the holders whose rights it takes away.
func memberConditions(surveys []rights.BalanceInput, members map[string]uint64) map[string][]services.Condition {
	conditions := make(map[string][]services.Condition)
	for _, s := range surveys {
		for _, h := range s.Expired {
			conditions[s.Team] = append(conditions[s.Team], services.Condition{Key: memberPrefix + h.Host, Version: members[h.Host]})
		}
	}
	return conditions
}

// requestPlans asks the ledger for plans; plans that change nothing are left out.
func (b *balancer) requestPlans(ctx context.Context, surveys []rights.BalanceInput) []rights.Plan {
	if len(surveys) == 0 {
		return nil
	}
	m := makePlans{inputs: surveys, reply: ring.Reply[[]rights.Plan]()}
	if b.service.ledger.Put(ctx, m) != nil {
		return nil
	}
	plans, _ := m.reply.Take(ctx)
	return slices.DeleteFunc(plans, func(p rights.Plan) bool { return p.Cause == rights.CauseNone })
}

// write commits the plans. Plans whose conditions fail are decided anew on the
// rows as they are, and submitted together with the rest.
func (b *balancer) write(ctx context.Context, view fleetView, plans []rights.Plan, members map[string][]services.Condition) {
	for try := 0; len(plans) > 0; try++ {
		if try == maxWriteAttempts {
			b.recordOutcomes(ctx, plans, rights.Refused, 0, time.Now())
			return
		}
		start := time.Now()
		result, err := b.commit(ctx, plans, members)
		if err != nil {
			b.service.count("retried_total", stepBalance, fault.ReasonOf(err))
			b.recordOutcomes(ctx, plans, outcomeOf(err), 0, start)
			return
		}
		if result.Committed {
			b.clearRetries(plans)
			b.recordOutcomes(ctx, plans, rights.Committed, result.Version, start)
			return
		}
		b.service.count("retried_total", stepBalance, fault.ReasonConflict)
		plans = b.replan(ctx, view, plans, members, result.Current, start)
		services.Sleep(ctx, jitter(minBackoff))
	}
}

// clearRetries lets teams that got rights look for more at once.
func (b *balancer) clearRetries(plans []rights.Plan) {
	for _, p := range plans {
		if p.Taken > 0 {
			delete(b.retries, p.Team)
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
	return b.service.platform.Commit(call, tx)
}

// replan gives up the plans whose conditions failed, and returns new plans
// for the rows that differ together with the untouched rest.
func (b *balancer) replan(ctx context.Context, view fleetView, plans []rights.Plan, members map[string][]services.Condition, current []services.Row, start time.Time) []rights.Plan {
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
	b.recordOutcomes(ctx, failed, rights.Refused, 0, start)
	return append(rest, b.requestPlans(ctx, b.balanceInputs(view, rows, start))...)
}

func (b *balancer) recordOutcomes(ctx context.Context, plans []rights.Plan, o rights.Outcome, version uint64, start time.Time) {
	if len(plans) == 0 {
		return
	}
	// An error means that the service stops and the ledger with it.
	_ = b.service.ledger.Put(ctx, recordOutcomes{plans: plans, outcome: o, version: version, start: start})
}

// reportLoads tells the peers what runs and waits here.
func (b *balancer) reportLoads(ctx context.Context, now time.Time) {
	positions := b.service.snapshots(ctx)
	self := b.service.self().Host
	loads := make([]services.TeamLoad, 0, len(positions))
	for _, p := range positions {
		b.updateRetry(p, now)
		loads = append(loads, services.TeamLoad{
			Host: self, Team: p.Team, Running: p.Used + p.Jobs, Waiting: p.Waiting, UnmetRights: p.Unmet,
		})
	}
	b.service.peers.SetLoads(loads)
}
