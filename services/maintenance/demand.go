package maintenance

import (
	"math"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/services"
)

// maxDemandGap is the time without a sample after which the moving mean for
// moves is restarted, because the next sample alone would make up most of it.
const maxDemandGap = 10 * time.Second

// demandTracker keeps moving means of the number of hosts that each pool's work
// needs.
type demandTracker struct {
	// waveDemand has a short half-life, so that a wave soon takes out fewer
	// hosts when demand grows.
	waveDemand map[string]wave.MovingMean
	// moveDemand has a long half-life; moveDemandSince is when each of its
	// means was started.
	moveDemand      map[string]wave.MovingMean
	moveDemandSince map[string]time.Time
}

func newDemandTracker() *demandTracker {
	return &demandTracker{
		waveDemand:      make(map[string]wave.MovingMean),
		moveDemand:      make(map[string]wave.MovingMean),
		moveDemandSince: make(map[string]time.Time),
	}
}

// observe adds a sample. A partial sample lacks the work of an entry host that
// did not report lately; it is not used for moves.
func (t *demandTracker) observe(pool string, hosts float64, partial bool, now time.Time, s Settings) {
	t.waveDemand[pool] = t.waveDemand[pool].Observe(hosts, now, s.DemandHalfLife)
	if partial {
		return
	}
	mean := t.moveDemand[pool]
	if mean.ObservedAt.IsZero() || now.Sub(mean.ObservedAt) > maxDemandGap {
		mean = wave.MovingMean{}
		t.moveDemandSince[pool] = now
	}
	t.moveDemand[pool] = mean.Observe(hosts, now, s.Moves.HalfLife)
}

// hostsNeeded returns the number of hosts of pool that demand requires now,
// rounded up.
func (t *demandTracker) hostsNeeded(pool string) int { return int(math.Ceil(t.waveDemand[pool].Mean)) }

// sustained returns the demand of each pool that has been observed for at least
// warmup without a gap.
func (t *demandTracker) sustained(now time.Time, warmup time.Duration) map[string]float64 {
	sustained := make(map[string]float64)
	for pool, mean := range t.moveDemand {
		if now.Sub(mean.ObservedAt) <= maxDemandGap && now.Sub(t.moveDemandSince[pool]) >= warmup {
			sustained[pool] = mean.Mean
		}
	}
	return sustained
}

// observeDemand samples the work of all entry hosts. Peers report work by
// team; it is counted in full for each pool that a queue of the team sends to,
// so that a wave waits rather than take out a host that is needed.
func (p *planner) observeDemand(view *services.View) {
	work := make(map[string]int)
	for _, load := range p.service.peers.Loads() {
		if load.Host != p.service.membership.Self().Name {
			work[load.Team] += load.Running + load.Waiting
		}
	}
	for _, q := range p.service.dispatch.Queues() {
		work[q.Team] += q.Running + q.Waiting
	}
	byPool := make(map[string]int)
	counted := make(map[[2]string]bool)
	for _, section := range view.Document.Sections {
		for _, pool := range section.Pools {
			byPool[pool.Name] += 0
		}
		for _, q := range section.Queues {
			if key := [2]string{q.Pool, q.Team}; !counted[key] {
				counted[key] = true
				byPool[q.Pool] += work[q.Team]
			}
		}
	}
	slots := p.slotsPerHost(view)
	partial := !p.hasReportsFromAllMembers()
	now := p.service.clock()
	for pool, n := range byPool {
		if slots[pool] > 0 {
			p.demand.observe(pool, float64(n)/slots[pool], partial, now, p.service.settings)
		}
	}
}

// hasReportsFromAllMembers reports whether every entry host that the platform lists
// has reported lately, so that the loads are those of the whole fleet.
func (p *planner) hasReportsFromAllMembers() bool {
	reported := make(map[string]bool)
	for _, name := range p.activeMembers() {
		reported[name] = true
	}
	for _, member := range p.service.membership.Members() {
		if !reported[member.Name] {
			return false
		}
	}
	return true
}

// slotsPerHost returns the mean number of slots of the hosts of each pool, or
// of all hosts of its kind for a pool without hosts. The demand of a pool whose
// hosts report no slots is unknown.
func (p *planner) slotsPerHost(view *services.View) map[string]float64 {
	var pools, kinds meansByName
	for _, h := range p.hostList.Hosts {
		kinds.add(string(h.Kind), h.Slots)
		if pool, ok := view.Assignments[h.Name]; ok {
			pools.add(pool, h.Slots)
		}
	}
	slots := make(map[string]float64)
	for _, section := range view.Document.Sections {
		for _, pool := range section.Pools {
			slots[pool.Name] = pools.mean(pool.Name, kinds.mean(string(pool.Kind), 0))
		}
	}
	return slots
}

// meansByName accumulates the mean value of each name.
type meansByName struct {
	sum, count map[string]float64
}

func (m *meansByName) add(name string, n int) {
	if m.sum == nil {
		m.sum, m.count = make(map[string]float64), make(map[string]float64)
	}
	m.sum[name] += float64(n)
	m.count[name]++
}

// mean returns the mean of name, or fallback when there is no value.
func (m *meansByName) mean(name string, fallback float64) float64 {
	if m.count[name] == 0 {
		return fallback
	}
	return m.sum[name] / m.count[name]
}

// movesDue reports whether this entry host plans moves in this round. Two entry
// hosts that both do, for example because they cannot reach each other, are
// limited together by the ledger: MaxUnderWay counts the moves of all, and the
// later of two changes is decided again on the state that the earlier one left.
func (p *planner) movesDue(members []string) bool {
	now := p.service.clock()
	if now.Sub(p.movesPlannedAt) < p.service.settings.Moves.Interval || !p.owns(keyMoves, members) {
		return false
	}
	p.movesPlannedAt = now
	return true
}

func (p *planner) planMoves(d *budget.Draft) {
	settings := p.service.settings.Moves
	round := wave.Rebalance(d, p.demand.sustained(p.service.clock(), settings.Warmup), settings.MoveParams)
	if round.Refusal != nil {
		p.service.countRefusal(round.Refusal.Reason)
	}
	for _, e := range round.Granted {
		p.service.log.Info().Str("step", stepPlan).Str("host", e.Host).Str("from", e.Pool).Str("to", e.MoveTo).Msg("moving host between pools to follow demand")
	}
}
