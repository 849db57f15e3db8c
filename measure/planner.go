package measure

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/route"
	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	planPeriod = time.Second
	// waveStartFraction is the fraction of the run after which waves start.
	waveStartFraction = 0.1
	// waveMaxFailed is the number of failed hosts that a wave tolerates.
	waveMaxFailed = 6
	// neededWorkerFraction is the fraction of the workers that jobs need.
	neededWorkerFraction = 0.7
)

var stepTimes = budget.StepTimes{MinDrain: 10 * time.Second, MinReturn: 5 * time.Second, Timeout: 10 * time.Minute}

// waves lists the maintenance waves of a run and their pools.
var waves = []struct{ id, pool string }{{"wave-workers", workerPool}, {"wave-service", serviceName(0)}}

// planner simulates the maintenance service as a single process whose state is
// always current; real conflicts between planners only cost a retry.
type planner struct {
	sim            *simulation
	doc            *document.Document
	parameters     Parameters
	assignments    budget.Assignments
	ledger         *budget.Ledger
	meanDemand     map[string]wave.MovingMean
	stepStarts     map[string]stepStart
	calledSteps    map[string]budget.Step
	wavesStartedAt time.Time
	nextMovesAt    time.Time
	rollOutTimes   map[string]time.Duration
}

// stepStart records when a host was first seen in a step of one ledger entry.
type stepStart struct {
	step      budget.Step
	grantedAt time.Time
	seenAt    time.Time
}

func newPlanner(sim *simulation, p Parameters) *planner {
	return &planner{
		sim: sim, doc: sim.deployment.document(), parameters: p,
		assignments: sim.platform.assignments(sim.deployment), ledger: &budget.Ledger{},
		meanDemand: make(map[string]wave.MovingMean), stepStarts: make(map[string]stepStart),
		calledSteps: make(map[string]budget.Step), rollOutTimes: make(map[string]time.Duration),
	}
}

func (p *planner) round() {
	p.observeDemand()
	now := p.sim.clock.now
	d := budget.NewDraft(budget.Snapshot{Document: p.doc, Assignments: p.assignments, Ledger: p.ledger, Hosts: &p.sim.platform.list, Now: now})
	d.RecordFailures(nil)
	for _, name := range d.HostsInLedger() {
		p.advanceHost(d, name)
	}
	if p.wavesStartedAt.IsZero() && now.Sub(p.sim.start) >= time.Duration(waveStartFraction*float64(p.sim.length)) {
		p.startWaves(d)
	}
	for _, id := range d.WaveIDs() {
		wave.Next(d, id, p.neededHosts(d, id), p.parameters.Parallelism)
	}
	if !p.sim.baseline && !now.Before(p.nextMovesAt) {
		p.nextMovesAt = now.Add(p.parameters.MovePeriod)
		p.grantMoves(d)
	}
	p.commit(d.Outcome())
	p.callPlatform()
	p.recordEndedWaves()
	p.updateRoutingTables()
}

func (p *planner) startWaves(d *budget.Draft) {
	p.wavesStartedAt = p.sim.clock.now
	for _, w := range waves {
		var hosts []fleet.Host
		for _, h := range p.sim.platform.list.Hosts {
			if pool, _ := d.Pool(h.Name); pool == w.pool {
				hosts = append(hosts, h)
			}
		}
		next := budget.Wave{ID: w.id, Pool: w.pool, Pending: wave.HostOrder(hosts), MaxFailed: waveMaxFailed}
		if p.sim.baseline {
			next.MaxParallel = 1
		}
		d.StartWave(next)
	}
}

func (p *planner) neededHosts(d *budget.Draft, id string) int {
	w, _ := d.Wave(id)
	if w.Pool == workerPool {
		return int(neededWorkerFraction * float64(p.sim.deployment.workers))
	}
	return int(math.Ceil(p.meanDemand[w.Pool].Mean))
}

func (p *planner) observeDemand() {
	for s := range p.sim.deployment.servers {
		work := 0
		for t := range p.sim.deployment.teams {
			work += p.sim.running[s][t] + p.sim.waiting[s][t]
		}
		pool := serviceName(s)
		p.meanDemand[pool] = p.meanDemand[pool].Observe(float64(work)/slotsPerServer, p.sim.clock.now, p.parameters.DemandHalfLife)
	}
}

func (p *planner) advanceHost(d *budget.Draft, name string) {
	entry, _ := d.LedgerEntry(name)
	start := p.stepStarts[name]
	if start.step != entry.Step || !start.grantedAt.Equal(entry.GrantedAt) {
		start = stepStart{entry.Step, entry.GrantedAt, p.sim.clock.now}
		p.stepStarts[name] = start
	}
	h, _ := d.ListedHost(name)
	confirmed := p.calledSteps[name] == entry.Step
	if entry.Step == budget.StepMaintenance && entry.Cause == budget.CauseReboot {
		confirmed = p.sim.platform.rebooted[name]
	}
	observation := budget.Observation{Phase: h.Phase, TimeInStep: p.sim.clock.now.Sub(start.seenAt), Confirmed: confirmed}
	switch action, _ := budget.NextAction(entry, observation, stepTimes); action {
	case budget.ActionAdvance:
		d.Advance(name)
	case budget.ActionFinish:
		d.Finish(name)
		delete(p.calledSteps, name)
	case budget.ActionFail:
		d.Fail(name)
	}
}

// grantMoves grants the moves between pools that the demand calls for.
func (p *planner) grantMoves(d *budget.Draft) {
	var loads []wave.PoolLoad
	for _, pool := range p.doc.Sections["pools"].Pools {
		if pool.Kind != fleet.KindBackendServer {
			continue
		}
		loads = append(loads, wave.PoolLoad{Pool: pool.Name, Kind: pool.Kind, Spare: pool.Spare, Hosts: p.countHosts(d, pool.Name), Demand: p.meanDemand[pool.Name].Mean})
	}
	for _, m := range wave.PlanMoves(loads, p.parameters.Moves) {
		for _, name := range p.hostsInService(d, m.From) {
			if _, refusal := d.Grant(budget.Request{Host: name, Cause: budget.CauseMove, MoveTo: m.To}); refusal == nil {
				p.sim.counts.moves++
				break
			}
		}
	}
}

// countHosts counts the pool's hosts that have not failed, less those moving
// out, plus those moving in.
func (p *planner) countHosts(d *budget.Draft, pool string) int {
	n := 0
	for name, assigned := range p.assignments {
		e, out := d.LedgerEntry(name)
		switch {
		case out && e.Cause == budget.CauseMove:
			if e.MoveTo == pool {
				n++
			}
		case assigned == pool && !(out && e.Cause == budget.CauseFailed):
			n++
		}
	}
	return n
}

func (p *planner) hostsInService(d *budget.Draft, pool string) []string {
	var names []string
	for name, assigned := range p.assignments {
		if _, out := d.LedgerEntry(name); assigned == pool && !out {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (p *planner) commit(o budget.Outcome) {
	if !o.Empty() {
		p.sim.counts.ledgerChanges++
	}
	if o.Ledger != nil {
		p.ledger = o.Ledger
	}
	for name, pool := range o.Assigned {
		p.assignments[name] = pool
	}
}

// callPlatform calls the platform's operation for each step once, after the step
// was committed.
func (p *planner) callPlatform() {
	entries := make([]budget.LedgerEntry, 0, len(p.ledger.Entries))
	for _, e := range p.ledger.Entries {
		entries = append(entries, e)
	}
	slices.SortFunc(entries, func(a, b budget.LedgerEntry) int { return cmp.Compare(a.Host, b.Host) })
	for _, e := range entries {
		if e.Cause == budget.CauseFailed && e.Step != budget.StepReturning || p.calledSteps[e.Host] == e.Step {
			continue
		}
		switch e.Step {
		case budget.StepDraining:
			p.sim.platform.drainHost(e.Host)
		case budget.StepMaintenance:
			if e.Cause == budget.CauseReboot {
				p.sim.platform.rebootHost(e.Host)
			}
		case budget.StepReturning:
			p.sim.platform.returnHost(e.Host)
		}
		p.calledSteps[e.Host] = e.Step
	}
}

func (p *planner) recordEndedWaves() {
	for _, w := range waves {
		state, ok := p.ledger.Waves[w.id]
		if _, recorded := p.rollOutTimes[w.id]; !ok || recorded || !state.Ended() {
			continue
		}
		hostsOut := false
		for _, o := range p.ledger.Entries {
			hostsOut = hostsOut || o.Wave == w.id && o.Cause != budget.CauseFailed
		}
		if !hostsOut {
			p.rollOutTimes[w.id] = p.sim.clock.now.Sub(p.wavesStartedAt)
		}
	}
}

// updateRoutingTables updates the entry hosts' routing tables from the host list,
// the ledger and the assignments.
func (p *planner) updateRoutingTables() {
	var servers []route.Server
	for _, h := range p.sim.platform.list.Hosts {
		if h.Kind != fleet.KindBackendServer || h.Phase == fleet.PhaseFailed {
			continue
		}
		_, out := p.ledger.Entries[h.Name]
		servers = append(servers, route.Server{
			Name: h.Name, Address: h.Name, Zone: h.Zone, Pool: p.assignments[h.Name],
			Slots: h.Slots, Leaving: out || h.Phase != fleet.PhaseLive,
		})
	}
	for _, h := range p.sim.entryHosts {
		h.table.SetServers(servers)
	}
}
