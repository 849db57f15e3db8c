package maintenance

import (
	"math"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/services"
)

// maxDemandGap is the time without a sample after which the trend that moves
// follow starts anew, because the next sample alone would make up most of it.
const maxDemandGap = 10 * time.Second

// demandTracker is the trend of the hosts that each pool's work needs.
type demandTracker struct {
	// waveDemand has a short half-life, so that a wave makes room soon.
	waveDemand map[string]wave.MovingMean
	// moveDemand has a long half-life; since is when each trend began.
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
// was not heard; moves do not follow it.
func (m *demandTracker) observe(pool string, hosts float64, partial bool, now time.Time, s Settings) {
	m.waveDemand[pool] = m.waveDemand[pool].Observe(hosts, now, s.DemandHalfLife)
	if partial {
		return
	}
	trend := m.moveDemand[pool]
	if trend.ObservedAt.IsZero() || now.Sub(trend.ObservedAt) > maxDemandGap {
		trend = wave.MovingMean{}
		m.moveDemandSince[pool] = now
	}
	m.moveDemand[pool] = trend.Observe(hosts, now, s.Moves.HalfLife)
}

// hostsNeeded returns the hosts of pool that demand asks for now, rounded up.
func (m *demandTracker) hostsNeeded(pool string) int { return int(math.Ceil(m.waveDemand[pool].Mean)) }

// sustained returns the demand of each pool that was observed for warmup without
// a gap.
func (m *demandTracker) sustained(now time.Time, warmup time.Duration) map[string]float64 {
	known := make(map[string]float64)
	for pool, trend := range m.moveDemand {
		if now.Sub(trend.ObservedAt) <= maxDemandGap && now.Sub(m.moveDemandSince[pool]) >= warmup {
			known[pool] = trend.Mean
		}
	}
	return known
}

// observeDemand samples the work of all entry hosts. Peers report work by
// team; it is counted in full for each pool that a queue of the team sends to,
// so that a wave rather waits than takes a needed host.
func (p *planner) observeDemand(view *services.View) {
	work := make(map[string]int)
	for _, l := range p.service.peers.Loads() {
		if l.Host != p.service.membership.Self().Name {
			work[l.Team] += l.Running + l.Waiting
		}
	}
	for _, q := range p.service.dispatch.Queues() {
		work[q.Team] += q.Running + q.Waiting
	}
	byPool := make(map[string]int)
	teams := make(map[[2]string]bool)
	for _, section := range view.Document.Sections {
		for _, pool := range section.Pools {
			byPool[pool.Name] += 0
		}
		for _, q := range section.Queues {
			if key := [2]string{q.Pool, q.Team}; !teams[key] {
				teams[key] = true
				byPool[q.Pool] += work[q.Team]
			}
		}
	}
	slots := p.slotsPerHost(view)
	partial := !p.heardFromAllMembers()
	now := p.service.clock()
	for pool, n := range byPool {
		if slots[pool] > 0 {
			p.demand.observe(pool, float64(n)/slots[pool], partial, now, p.service.settings)
		}
	}
}

// heardFromAllMembers reports whether every entry host that the platform lists was
// heard lately, so that the loads are those of the whole fleet.
func (p *planner) heardFromAllMembers() bool {
	heard := make(map[string]bool)
	for _, name := range p.activeMembers() {
		heard[name] = true
	}
	for _, member := range p.service.membership.Members() {
		if !heard[member.Name] {
			return false
		}
	}
	return true
}

// slotsPerHost returns the mean number of slots of a host of each pool, and of a host
// of its kind for a pool without hosts. Hosts that state no slots leave the
// demand of their pool unknown.
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

// meansByName are means by name.
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

// mean returns the mean of name, or otherwise when there is no value.
func (m *meansByName) mean(name string, otherwise float64) float64 {
	if m.count[name] == 0 {
		return otherwise
	}
	return m.sum[name] / m.count[name]
}

// movesDue reports whether this entry host plans moves in this round. Two that
// both do, for example because neither hears the other, are bounded together
// by the ledger: MaxUnderWay counts the moves of all, and the later of two
// changes is decided again on the state that the earlier one left.
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
	for _, o := range round.Granted {
		p.service.log.Info().Str("step", stepPlan).Str("host", o.Host).Str("from", o.Pool).Str("to", o.MoveTo).Msg("host follows demand")
	}
}
