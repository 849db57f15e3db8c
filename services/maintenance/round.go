package maintenance

import (
	"context"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/rendezvous"
	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
	"fuchsiafront.example/fuchsiafront/services"
)

// peerTimeout is the time without a report after which a peer is assigned no
// work. Peers exchange digests every 400 ms.
const peerTimeout = 2 * time.Second

// Ownership keys of work that is not tied to one host or wave.
const (
	keyFailures = "failures"
	keyAssign   = "assign"
	keyMoves    = "moves"
)

// planner is the state of the duty maintenance.plan. All of it can be rebuilt
// from the shared state and the host list.
type planner struct {
	service     *Service
	changeCount uint64
	// viewedAt is when the view of the current round was taken.
	viewedAt     time.Time
	progress     map[string]*stepProgress
	recentDrains map[string]*recentDrain
	demand       *demandTracker
	// movesPlannedAt is when this process last planned moves.
	movesPlannedAt time.Time
	lastSeen       map[string]fleet.Host
	hostList       *fleet.HostList
	phases         map[string]fleet.HostPhase
	absences       budget.Absences
}

func newPlanner(s *Service) *planner {
	return &planner{
		service:      s,
		progress:     make(map[string]*stepProgress),
		recentDrains: make(map[string]*recentDrain),
		demand:       newDemandTracker(),
		lastSeen:     make(map[string]fleet.Host),
	}
}

// round does this entry host's part of the work: record failures, assign new
// hosts, move hosts through their steps, and take the next hosts of waves.
func (p *planner) round(dutyCtx context.Context) {
	p.viewedAt = p.service.clock()
	view := p.service.state.View()
	if view == nil {
		return
	}
	p.updateHosts(view)
	members := p.activeMembers()
	p.undoLateDrains(view)
	p.postCalls(view, members)
	p.observeDemand(view)
	moves := p.movesDue(members)
	ctx, cancel := context.WithTimeout(dutyCtx, commitTimeout)
	defer cancel()
	err := p.decideAndCommit(dutyCtx, ctx, p.nextChangeID(), func(d *budget.Draft) error {
		p.decide(d, members)
		if moves {
			p.planMoves(d)
		}
		return nil
	})
	if err != nil {
		reason := fault.ReasonOf(err)
		p.service.countRetry(stepPlan, reason)
		p.service.log.Warn().Err(err).Str("step", stepPlan).Str("reason", string(reason)).Msg("maintenance round not committed; the next round decides again")
	}
}

func (p *planner) decide(d *budget.Draft, members []string) {
	if p.owns(keyFailures, members) {
		d.RecordFailures(p.lastSeen)
		p.retire(d)
	}
	if p.owns(keyAssign, members) {
		unassigned := d.AssignNewHosts()
		p.service.scope.Gauge("hosts_unassigned").Update(float64(len(unassigned)))
	}
	for _, host := range d.HostsInLedger() {
		if p.owns(host, members) {
			p.decideStep(d, host)
		}
	}
	for _, id := range d.WaveIDs() {
		if p.owns(id, members) {
			p.runWave(d, id)
		}
	}
}

func (p *planner) retire(d *budget.Draft) {
	for _, host := range d.Retire(&p.absences, p.service.settings.RetireAfter) {
		p.service.log.Info().Str("step", stepPlan).Str("host", host).
			Dur("missing", p.service.settings.RetireAfter).Msg("retiring host that is missing from the host list")
	}
}

func (p *planner) runWave(d *budget.Draft, id string) {
	w, ok := d.Wave(id)
	if !ok || w.Ended() {
		return
	}
	plan := wave.Next(d, id, p.demand.hostsNeeded(w.Pool), p.service.settings.Parallelism)
	if plan.Refusal != nil {
		p.service.countRefusal(plan.Refusal.Reason)
	}
	if len(plan.Granted) > 0 {
		p.service.log.Info().Str("step", stepPlan).Str("wave", id).Int("granted", len(plan.Granted)).
			Int("parallel", plan.Parallel).Str("bound", plan.Reason).Msg("taking next hosts of the wave out of service")
	}
}

// updateHosts takes over a new host list. It keeps the location of every host
// that was ever listed, for the ledger entries of hosts that go missing.
func (p *planner) updateHosts(view *services.View) {
	list := p.service.hosts.Hosts()
	if list == p.hostList {
		return
	}
	p.hostList = list
	p.absences.Observe(list, view.Assignments, view.Ledger)
	p.phases = make(map[string]fleet.HostPhase, len(list.Hosts))
	for _, h := range list.Hosts {
		p.lastSeen[h.Name] = h
		p.phases[h.Name] = h.Phase
	}
}

// activeMembers returns the names of the entry hosts that share the work: this
// one and the peers that reported within peerTimeout and are not leaving.
func (p *planner) activeMembers() []string {
	names := []string{p.service.membership.Self().Name}
	now := p.service.clock()
	for _, peer := range p.service.peers.Status() {
		if peer.Leaving || peer.LastContactAt.IsZero() || now.Sub(peer.LastContactAt) > peerTimeout {
			continue
		}
		names = append(names, peer.Identity.Name)
	}
	return names
}

// owns reports whether this entry host does the work of key. Members that are
// cut off from each other each own every key; the conditions on their changes
// keep that safe.
func (p *planner) owns(key string, members []string) bool {
	return rendezvous.Owns(p.service.membership.Self().Name, key, members)
}
