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
	// balancePeriod is how often the rows of teams with idle rights are read,
	// so that the unmet demand of other hosts is noticed. fullRoundPeriod is how
	// often the rows of all teams and the member rows of their holders are read.
	balancePeriod   = 200 * time.Millisecond
	fullRoundPeriod = 10 * time.Second
	// maxTeamsPerBatch limits the teams whose rows are read together and written
	// in one transaction.
	maxTeamsPerBatch = 32
	// maxWriteAttempts limits the attempts at one write after failed conditions.
	maxWriteAttempts = 4
	// minBackoff and maxBackoff limit the time between two reads of the row of
	// a team that lacks rights.
	minBackoff = 20 * time.Millisecond
	maxBackoff = 320 * time.Millisecond
	// callTimeout limits one call to the platform.
	callTimeout = 2 * time.Second
)

// event wakes the duty rights.balance.
type event struct {
	// drainReply, if set, requests that all rights that are not in use are given
	// back, and receives a value after the attempt.
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

// retry schedules the next read of the row of a team that lacks rights.
type retry struct {
	backoff time.Duration
	at      time.Time
	// satisfied is set while the team has enough rights. The backoff is kept
	// for a while, so that a team at its limit does not cause a read for each
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
	next := b.nextPeriodic
	for _, r := range b.retries {
		if !r.satisfied && r.at.Before(next) {
			next = r.at
		}
	}
	return next
}

// round balances the teams that are due.
func (b *balancer) round(ctx context.Context) {
	now := time.Now()
	if err := b.service.membership.CheckMayUseRights(now); err != nil {
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
	isFullRound := !now.Before(b.nextFull)
	teams := b.dueTeams(ctx, view, now, isFullRound)
	var inputs []rights.BalanceInput
	for chunk := range slices.Chunk(teams, maxTeamsPerBatch) {
		inputs = append(inputs, b.balanceTeams(ctx, view, chunk, isFullRound)...)
	}
	if isFullRound {
		b.nextFull = now.Add(jitter(fullRoundPeriod))
		b.retainIfAllRead(inputs, teams)
	}
	b.reportLoads(ctx, now)
}

// retainIfAllRead forgets holders that no longer have rights, if the rows of all
// teams were read.
func (b *balancer) retainIfAllRead(inputs []rights.BalanceInput, teams []string) {
	if len(inputs) == len(teams) {
		b.retainHolders(inputs)
	}
}

// dueTeams returns the teams whose rows should be read now.
func (b *balancer) dueTeams(ctx context.Context, view fleetView, now time.Time, isFullRound bool) []string {
	snapshots := b.service.snapshots(ctx)
	periodic := !now.Before(b.nextPeriodic)
	if periodic {
		b.nextPeriodic = now.Add(jitter(balancePeriod))
	}
	names := make(map[string]bool)
	if isFullRound {
		for name := range view.teams {
			names[name] = true
		}
	}
	for _, snap := range snapshots {
		b.updateRetry(snap, now)
		r, scheduled := b.retries[snap.Team]
		active := snap.HasSurplus || snap.Unsettled || snap.Limit != view.teams[snap.Team].Limit
		if isFullRound || (scheduled && !r.satisfied && !now.Before(r.at)) || (periodic && active) {
			names[snap.Team] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// updateRetry maintains the retry of a team that lacks rights. The first read is
// immediate; the backoff doubles after each read.
func (b *balancer) updateRetry(snap rights.TeamSnapshot, now time.Time) {
	r, known := b.retries[snap.Team]
	switch {
	case !known && !snap.NeedsBalancing:
		return
	case !known:
		r = retry{at: now}
	case !snap.NeedsBalancing && now.Sub(r.at) > maxBackoff:
		delete(b.retries, snap.Team)
		return
	}
	r.satisfied = !snap.NeedsBalancing
	b.retries[snap.Team] = r
}

// backOff schedules the next read for those of teams that have a retry.
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

// balanceTeams reads the rows of teams, decides on them and writes the changes.
// It returns what the decisions were based on.
func (b *balancer) balanceTeams(ctx context.Context, view fleetView, teams []string, isFullRound bool) []rights.BalanceInput {
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
	inputs := b.balanceInputs(view, rows, start)
	var memberVersions map[string]uint64
	if isFullRound {
		memberVersions = b.checkHolders(ctx, inputs)
	}
	b.write(ctx, view, b.requestPlans(ctx, inputs), memberConditions(inputs, memberVersions))
	return inputs
}

func (b *balancer) get(ctx context.Context, keys []string) ([]services.Row, error) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.service.platform.Get(callCtx, keys...)
}

func (b *balancer) balanceInputs(view fleetView, rows []services.Row, start time.Time) []rights.BalanceInput {
	var inputs []rights.BalanceInput
	for _, row := range rows {
		decoded, err := decodeRow(row)
		if err != nil {
			b.service.log.Error().Str("step", stepBalance).Str("row", row.Key).Err(err).Msg("rights row cannot be decoded; team left out of this round")
			continue
		}
		inputs = append(inputs, view.balanceInput(row.Key[len(rowPrefix):], row.Version, decoded, start))
	}
	return inputs
}

// memberConditions returns for each team the conditions on member rows that its
// write needs: those of the holders whose rights it reclaims.
func memberConditions(inputs []rights.BalanceInput, memberVersions map[string]uint64) map[string][]services.Condition {
	conditions := make(map[string][]services.Condition)
	for _, in := range inputs {
		for _, h := range in.Expired {
			conditions[in.Team] = append(conditions[in.Team], services.Condition{Key: memberPrefix + h.Host, Version: memberVersions[h.Host]})
		}
	}
	return conditions
}

// requestPlans asks the ledger for plans and leaves out those without a change.
func (b *balancer) requestPlans(ctx context.Context, inputs []rights.BalanceInput) []rights.Plan {
	if len(inputs) == 0 {
		return nil
	}
	m := makePlans{inputs: inputs, reply: ring.Reply[[]rights.Plan]()}
	if b.service.ledger.Put(ctx, m) != nil {
		return nil
	}
	plans, _ := m.reply.Take(ctx)
	return slices.DeleteFunc(plans, func(p rights.Plan) bool { return p.Cause == rights.CauseNone })
}

// write commits the plans. Plans whose conditions fail are replaced by plans for
// the current rows and submitted again together with the rest.
func (b *balancer) write(ctx context.Context, view fleetView, plans []rights.Plan, conditions map[string][]services.Condition) {
	for attempt := 0; len(plans) > 0; attempt++ {
		if attempt == maxWriteAttempts {
			b.recordOutcomes(ctx, plans, rights.Refused, 0, time.Now())
			return
		}
		start := time.Now()
		result, err := b.commit(ctx, plans, conditions)
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
		plans = b.replan(ctx, view, plans, conditions, result.Current, start)
		services.Sleep(ctx, jitter(minBackoff))
	}
}

// clearRetries removes the backoff of teams that got rights, so that they can
// get more immediately.
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

func (b *balancer) commit(ctx context.Context, plans []rights.Plan, conditions map[string][]services.Condition) (services.CommitResult, error) {
	var tx services.Transaction
	for _, p := range plans {
		value, err := encodeRow(p.Row)
		if err != nil {
			return services.CommitResult{}, err
		}
		key := rowPrefix + p.Team
		tx.Conditions = append(tx.Conditions, services.Condition{Key: key, Version: p.Version})
		tx.Conditions = append(tx.Conditions, conditions[p.Team]...)
		tx.Writes = append(tx.Writes, services.Write{Key: key, Value: value})
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return b.service.platform.Commit(callCtx, tx)
}

// replan records the plans whose conditions failed as refused, and returns new
// plans for the changed rows together with the remaining plans.
func (b *balancer) replan(ctx context.Context, view fleetView, plans []rights.Plan, conditions map[string][]services.Condition, current []services.Row, start time.Time) []rights.Plan {
	changed := make(map[string]bool)
	var rows []services.Row
	for _, row := range current {
		changed[row.Key] = true
		if len(row.Key) > len(rowPrefix) && row.Key[:len(rowPrefix)] == rowPrefix {
			rows = append(rows, row)
		}
	}
	var failed, rest []rights.Plan
	for _, p := range plans {
		stale := changed[rowPrefix+p.Team] || slices.ContainsFunc(conditions[p.Team], func(c services.Condition) bool { return changed[c.Key] })
		if stale {
			failed = append(failed, p)
			delete(conditions, p.Team)
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
	// An error means that the service is stopping, and the ledger with it.
	_ = b.service.ledger.Put(ctx, recordOutcomes{plans: plans, outcome: o, version: version, start: start})
}

// reportLoads sets the load of this host that the peers service reports.
func (b *balancer) reportLoads(ctx context.Context, now time.Time) {
	snapshots := b.service.snapshots(ctx)
	self := b.service.self().Host
	loads := make([]services.TeamLoad, 0, len(snapshots))
	for _, snap := range snapshots {
		b.updateRetry(snap, now)
		loads = append(loads, services.TeamLoad{
			Host: self, Team: snap.Team, Running: snap.Used + snap.Jobs, Waiting: snap.Waiting, UnmetRights: snap.Unmet,
		})
	}
	b.service.peers.SetLoads(loads)
}
