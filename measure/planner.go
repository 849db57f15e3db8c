package measure

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/preset"
	"fuchsiafront.example/fuchsiafront/decision/route"
	"fuchsiafront.example/fuchsiafront/decision/wave"
	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	planPeriod = time.Second
	// waveStart is the part of the run after which waves start.
	waveStart = 0.1
	// waveMaxFailed is the tolerance of a wave.
	waveMaxFailed = 6
	// workersNeeded is the part of the workers that jobs ask for.
	workersNeeded = 0.7
)

var stepTimes = budget.StepTimes{MinDrain: 10 * time.Second, MinReturn: 5 * time.Second, Timeout: 10 * time.Minute}

// waves are the pools over which a wave goes, and its identifiers.
var waves = []struct{ id, pool string }{{"wave-workers", workerPool}, {"wave-service", serviceName(0)}}

// planner does the work of the maintenance service with one process that is
// always current; conflicts between planners cost no more than a repeat.
type planner struct {
	w           *world
	doc         *document.Document
	preset      preset.Preset
	assignments budget.Assignments
	ledger      *budget.Ledger
	demand      map[string]wave.MovingMean
	seen        map[string]sight
	called      map[string]budget.Step
	began       time.Time
	nextMoves   time.Time
	ended       map[string]time.Duration
}

// sight is when a host was first seen in a step of one time out.
type sight struct {
	step    budget.Step
	granted time.Time
	at      time.Time
}

func newPlanner(w *world, p preset.Preset) *planner {
	return &planner{
		w: w, doc: w.d.document(), preset: p,
		assignments: w.fleet.assignments(w.d), ledger: &budget.Ledger{},
		demand: make(map[string]wave.MovingMean), seen: make(map[string]sight),
		called: make(map[string]budget.Step), ended: make(map[string]time.Duration),
	}
}

func (p *planner) round() {
	p.observe()
	now := p.w.clock.now
	d := budget.NewDraft(budget.Snapshot{Document: p.doc, Assignments: p.assignments, Ledger: p.ledger, Hosts: &p.w.fleet.list, Now: now})
	d.RecordFailures(nil)
	for _, name := range d.HostsInLedger() {
		p.step(d, name)
	}
	if p.began.IsZero() && now.Sub(p.w.start) >= time.Duration(waveStart*float64(p.w.length)) {
		p.begin(d)
	}
	for _, id := range d.WaveIDs() {
		wave.Next(d, id, p.needed(d, id), p.preset.Pace)
	}
	if !p.w.plain && !now.Before(p.nextMoves) {
		p.nextMoves = now.Add(p.preset.MovePeriod)
		p.move(d)
	}
	p.commit(d.Outcome())
	p.callPlatform()
	p.finishWaves()
	p.tellEntryHosts()
}

func (p *planner) begin(d *budget.Draft) {
	p.began = p.w.clock.now
	for _, w := range waves {
		var hosts []fleet.Host
		for _, h := range p.w.fleet.list.Hosts {
			if pool, _ := d.Pool(h.Name); pool == w.pool {
				hosts = append(hosts, h)
			}
		}
		next := budget.Wave{ID: w.id, Pool: w.pool, Pending: wave.HostOrder(hosts), MaxFailed: waveMaxFailed}
		if p.w.plain {
			next.MaxParallel = 1
		}
		d.StartWave(next)
	}
}

func (p *planner) needed(d *budget.Draft, id string) int {
	w, _ := d.Wave(id)
	if w.Pool == workerPool {
		return int(workersNeeded * float64(p.w.d.workers))
	}
	return int(math.Ceil(p.demand[w.Pool].Mean))
}

func (p *planner) observe() {
	for s := range p.w.d.servers {
		work := 0
		for t := range p.w.d.teams {
			work += p.w.running[s][t] + p.w.waiting[s][t]
		}
		pool := serviceName(s)
		p.demand[pool] = p.demand[pool].Observe(float64(work)/slotsPerServer, p.w.clock.now, p.preset.DemandHalfLife)
	}
}

func (p *planner) step(d *budget.Draft, name string) {
	o, _ := d.LedgerEntry(name)
	first := p.seen[name]
	if first.step != o.Step || !first.granted.Equal(o.GrantedAt) {
		first = sight{o.Step, o.GrantedAt, p.w.clock.now}
		p.seen[name] = first
	}
	h, _ := d.ListedHost(name)
	called := p.called[name] == o.Step
	if o.Step == budget.StepMaintenance && o.Cause == budget.CauseReboot {
		called = p.w.fleet.rebooted[name]
	}
	seen := budget.Observation{Phase: h.Phase, TimeInStep: p.w.clock.now.Sub(first.at), Confirmed: called}
	switch action, _ := budget.NextAction(o, seen, stepTimes); action {
	case budget.ActionAdvance:
		d.Advance(name)
	case budget.ActionFinish:
		d.Finish(name)
		delete(p.called, name)
	case budget.ActionFail:
		d.Fail(name)
	}
}

// move grants the moves that demand asks for.
func (p *planner) move(d *budget.Draft) {
	var loads []wave.PoolLoad
	for _, pool := range p.doc.Sections["pools"].Pools {
		if pool.Kind != fleet.KindBackendServer {
			continue
		}
		loads = append(loads, wave.PoolLoad{Pool: pool.Name, Kind: pool.Kind, Spare: pool.Spare, Hosts: p.hostsOf(d, pool.Name), Demand: p.demand[pool.Name].Mean})
	}
	for _, m := range wave.PlanMoves(loads, p.preset.Moves) {
		for _, name := range p.inService(d, m.From) {
			if _, refusal := d.Grant(budget.Request{Host: name, Cause: budget.CauseMove, MoveTo: m.To}); refusal == nil {
				p.w.count.moves++
				break
			}
		}
	}
}

// hostsOf counts the hosts in service or on their way into the pool.
func (p *planner) hostsOf(d *budget.Draft, pool string) int {
	n := 0
	for name, in := range p.assignments {
		o, out := d.LedgerEntry(name)
		switch {
		case out && o.Cause == budget.CauseMove:
			if o.MoveTo == pool {
				n++
			}
		case in == pool && !(out && o.Cause == budget.CauseFailed):
			n++
		}
	}
	return n
}

func (p *planner) inService(d *budget.Draft, pool string) []string {
	var names []string
	for name, in := range p.assignments {
		if _, out := d.LedgerEntry(name); in == pool && !out {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

func (p *planner) commit(o budget.Outcome) {
	if !o.Empty() {
		p.w.count.changes++
	}
	if o.Ledger != nil {
		p.ledger = o.Ledger
	}
	for name, pool := range o.Assigned {
		p.assignments[name] = pool
	}
}

// callPlatform carries out the platform's operation of each step once, after
// the step was committed.
func (p *planner) callPlatform() {
	outs := make([]budget.LedgerEntry, 0, len(p.ledger.Entries))
	for _, o := range p.ledger.Entries {
		outs = append(outs, o)
	}
	slices.SortFunc(outs, func(a, b budget.LedgerEntry) int { return cmp.Compare(a.Host, b.Host) })
	for _, o := range outs {
		if o.Cause == budget.CauseFailed && o.Step != budget.StepReturning || p.called[o.Host] == o.Step {
			continue
		}
		switch o.Step {
		case budget.StepDraining:
			p.w.fleet.drain(o.Host)
		case budget.StepMaintenance:
			if o.Cause == budget.CauseReboot {
				p.w.fleet.reboot(o.Host)
			}
		case budget.StepReturning:
			p.w.fleet.bringBack(o.Host)
		}
		p.called[o.Host] = o.Step
	}
}

func (p *planner) finishWaves() {
	for _, w := range waves {
		state, ok := p.ledger.Waves[w.id]
		if _, over := p.ended[w.id]; !ok || over || !state.Ended() {
			continue
		}
		out := false
		for _, o := range p.ledger.Entries {
			out = out || o.Wave == w.id && o.Cause != budget.CauseFailed
		}
		if !out {
			p.ended[w.id] = p.w.clock.now.Sub(p.began)
		}
	}
}

// tellEntryHosts gives the host list, the ledger and the assignments to the
// routing tables.
func (p *planner) tellEntryHosts() {
	var servers []route.Server
	for _, h := range p.w.fleet.list.Hosts {
		if h.Kind != fleet.KindBackendServer || h.Phase == fleet.PhaseFailed {
			continue
		}
		_, out := p.ledger.Entries[h.Name]
		servers = append(servers, route.Server{
			Name: h.Name, Address: h.Name, Zone: h.Zone, Pool: p.assignments[h.Name],
			Slots: h.Slots, Leaving: out || h.Phase != fleet.PhaseLive,
		})
	}
	for _, h := range p.w.hosts {
		h.table.SetServers(servers)
	}
}
