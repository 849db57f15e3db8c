package maintenance

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/turn"
	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// peerSilence is how long after it was last heard a peer still gets work.
// Peers exchange digests every 400 ms.
const peerSilence = 2 * time.Second

// Keys of the work of a round that is not tied to one host or wave.
const (
	workFailures = "failures"
	workAssign   = "assign"
)

// planner is the state of the duty maintenance.plan. All of it can be rebuilt
// from the shared state and the host list.
type planner struct {
	s        *Service
	changes  uint64
	progress map[string]*progress
	drained  map[string]lateDrain
	demand   map[string]wave.Trend
	lastSeen map[string]fleet.Host
	list     *fleet.HostList
	phases   map[string]fleet.HostPhase
}

func newPlanner(s *Service) *planner {
	return &planner{
		s:        s,
		progress: make(map[string]*progress),
		drained:  make(map[string]lateDrain),
		demand:   make(map[string]wave.Trend),
		lastSeen: make(map[string]fleet.Host),
	}
}

// round does this entry host's part of the work: record failures, assign new
// hosts, move hosts through their steps, and take the next hosts of waves.
func (p *planner) round(life context.Context) {
	view := p.s.state.View()
	if view == nil {
		return
	}
	p.rememberHosts()
	members := p.members()
	p.undoLateDrains(view)
	p.callPlatform(view, members)
	p.observeDemand(view)
	ctx, cancel := context.WithTimeout(life, commitTimeout)
	defer cancel()
	err := p.change(life, ctx, p.nextID(), func(d *budget.Draft) error {
		p.decide(d, members)
		return nil
	})
	if err != nil {
		reason := fault.ReasonOf(err)
		p.s.retried(stepPlan, reason)
		p.s.log.Warn().Err(err).Str("step", stepPlan).Str("reason", string(reason)).Msg("round not committed")
	}
}

func (p *planner) decide(d *budget.Draft, members []string) {
	if p.owns(workFailures, members) {
		d.RecordFailures(p.lastSeen)
	}
	if p.owns(workAssign, members) {
		unassigned := d.AssignFirstSeen()
		p.s.scope.Gauge("hosts_unassigned").Update(float64(len(unassigned)))
	}
	for _, host := range d.OutHosts() {
		if p.owns(host, members) {
			p.step(d, host)
		}
	}
	for _, id := range d.WaveIDs() {
		if p.owns(id, members) {
			p.runWave(d, id)
		}
	}
}

func (p *planner) runWave(d *budget.Draft, id string) {
	w, ok := d.Wave(id)
	if !ok || w.Ended() {
		return
	}
	plan := wave.Next(d, id, p.needed(w.Pool), p.s.settings.Pace)
	if plan.Refusal != nil {
		p.s.refused(plan.Refusal.Reason)
	}
	if len(plan.Granted) > 0 {
		p.s.log.Info().Str("step", stepPlan).Str("wave", id).Int("granted", len(plan.Granted)).
			Int("parallel", plan.Parallel).Str("bound", plan.Reason).Msg("wave goes on")
	}
}

// rememberHosts keeps the place of every host that was ever listed, for the
// entries of hosts that go missing.
func (p *planner) rememberHosts() {
	list := p.s.hosts.Hosts()
	if list == p.list {
		return
	}
	p.list = list
	p.phases = make(map[string]fleet.HostPhase, len(list.Hosts))
	for _, h := range list.Hosts {
		p.lastSeen[h.Name] = h
		p.phases[h.Name] = h.Phase
	}
}

// members returns the names of the entry hosts that share the work: this one
// and the peers heard lately that are not leaving.
func (p *planner) members() []string {
	names := []string{p.s.membership.Self().Name}
	now := p.s.clock()
	for _, peer := range p.s.peers.Status() {
		if peer.Leaving || peer.HeardAt.IsZero() || now.Sub(peer.HeardAt) > peerSilence {
			continue
		}
		names = append(names, peer.Identity.Name)
	}
	return names
}

// owns reports whether key is this entry host's. Partitioned members each own
// everything; the conditions on their changes keep that safe.
func (p *planner) owns(key string, members []string) bool {
	return turn.Owns(p.s.membership.Self().Name, key, members)
}

// observeDemand updates the trend of the hosts that each pool's work needs.
// Peers report work by team; it is counted in full for each pool that a queue
// of the team sends to, so that a wave rather waits than takes a needed host.
func (p *planner) observeDemand(view *services.View) {
	work := make(map[string]int)
	for _, l := range p.s.peers.Loads() {
		if l.Host != p.s.membership.Self().Name {
			work[l.Team] += l.Running + l.Waiting
		}
	}
	for _, q := range p.s.dispatch.Queues() {
		work[q.Team] += q.Running + q.Waiting
	}
	byPool := make(map[string]int)
	teams := make(map[[2]string]bool)
	for _, section := range view.Document.Sections {
		for _, q := range section.Queues {
			if key := [2]string{q.Pool, q.Team}; !teams[key] {
				teams[key] = true
				byPool[q.Pool] += work[q.Team]
			}
		}
	}
	slots := p.slots(view)
	now := p.s.clock()
	for pool, n := range byPool {
		if slots[pool] > 0 {
			p.demand[pool] = p.demand[pool].Observe(float64(n)/slots[pool], now, p.s.settings.DemandHalfLife)
		}
	}
}

// slots returns the mean number of slots of a host of each pool. Hosts that
// state no slots leave the demand of their pool unknown.
func (p *planner) slots(view *services.View) map[string]float64 {
	sum := make(map[string]float64)
	count := make(map[string]float64)
	for _, h := range p.list.Hosts {
		if pool, ok := view.Assignments[h.Name]; ok {
			sum[pool] += float64(h.Slots)
			count[pool]++
		}
	}
	for pool := range sum {
		sum[pool] /= count[pool]
	}
	return sum
}

// needed returns the hosts of pool that demand asks for, rounded up.
func (p *planner) needed(pool string) int {
	mean := p.demand[pool].Mean
	n := int(mean)
	if float64(n) < mean {
		n++
	}
	return n
}
