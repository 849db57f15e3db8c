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
	workMoves    = "moves"
)

// planner is the state of the duty maintenance.plan. All of it can be rebuilt
// from the shared state and the host list.
type planner struct {
	s       *Service
	changes uint64
	// viewedAt is when the view of the present round was taken.
	viewedAt time.Time
	progress map[string]*progress
	drained  map[string]*lateDrain
	demand   *demand
	// movesAt is when this process last planned moves.
	movesAt  time.Time
	lastSeen map[string]fleet.Host
	list     *fleet.HostList
	phases   map[string]fleet.HostPhase
	absences budget.Absences
}

func newPlanner(s *Service) *planner {
	return &planner{
		s:        s,
		progress: make(map[string]*progress),
		drained:  make(map[string]*lateDrain),
		demand:   newDemand(),
		lastSeen: make(map[string]fleet.Host),
	}
}

// round does this entry host's part of the work: record failures, assign new
// hosts, move hosts through their steps, and take the next hosts of waves.
func (p *planner) round(life context.Context) {
	p.viewedAt = p.s.clock()
	view := p.s.state.View()
	if view == nil {
		return
	}
	p.rememberHosts(view)
	members := p.members()
	p.undoLateDrains(view)
	p.callPlatform(view, members)
	p.observeDemand(view)
	moves := p.movesDue(members)
	ctx, cancel := context.WithTimeout(life, commitTimeout)
	defer cancel()
	err := p.change(life, ctx, p.nextID(), func(d *budget.Draft) error {
		p.decide(d, members)
		if moves {
			p.move(d)
		}
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
		p.retire(d)
	}
	if p.owns(workAssign, members) {
		unassigned := d.AssignNewHosts()
		p.s.scope.Gauge("hosts_unassigned").Update(float64(len(unassigned)))
	}
	for _, host := range d.HostsInLedger() {
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

func (p *planner) retire(d *budget.Draft) {
	for _, host := range d.Retire(&p.absences, p.s.settings.Retirement) {
		p.s.log.Info().Str("step", stepPlan).Str("host", host).
			Dur("missing", p.s.settings.Retirement).Msg("missing host loses its pool")
	}
}

func (p *planner) runWave(d *budget.Draft, id string) {
	w, ok := d.Wave(id)
	if !ok || w.Ended() {
		return
	}
	plan := wave.Next(d, id, p.demand.needed(w.Pool), p.s.settings.Pace)
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
func (p *planner) rememberHosts(view *services.View) {
	list := p.s.hosts.Hosts()
	if list == p.list {
		return
	}
	p.list = list
	p.absences.Observe(list, view.Assignments, view.Ledger)
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
