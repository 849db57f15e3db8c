package budget

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/decision/revision"
	"fuchsiafront.example/fuchsiafront/fleet"
)

const section = "section/pools"

// platformModel is the platform: the shared parts, the true phases of hosts, and the
// list as it was at earlier times.
type platformModel struct {
	t            *rapid.T
	head         revision.Head
	parts        map[string]revision.Part
	now          time.Time
	hosts        []fleet.Host
	history      [][]fleet.Host
	appliedCount map[string]int
	pools        map[string]string
	// missing hosts are missing from the list for a while; gone ones were
	// replaced and may be retired.
	missing, replaced map[string]bool
}

// modelPlanner is an entry host with copies that may be stale, and a change that
// it decided and has not submitted, or submits again.
type modelPlanner struct {
	snapshot               Snapshot
	parts                  map[string]revision.Part
	change                 *revision.Change
	grantedHost, operation string
	list                   fleet.HostList
	// decidedAssignments and decidedHosts are the assignments and the list of the decision.
	decidedAssignments Assignments
	decidedHosts       []fleet.Host
}

func newPlatformModel(t *rapid.T) *platformModel {
	w := &platformModel{t: t, parts: map[string]revision.Part{}, head: revision.Head{Parts: map[string]uint64{}},
		now: time.Unix(1_000_000, 0), appliedCount: map[string]int{}, pools: map[string]string{},
		missing: map[string]bool{}, replaced: map[string]bool{}}
	for i := range 9 {
		w.addHost(fleet.AvailabilityZone(fmt.Sprint("z", i%3)), fmt.Sprint("r", i%3, i/6))
	}
	w.setBounds(2, 1, 0)
	w.observe()
	return w
}

func (w *platformModel) addHost(zone fleet.AvailabilityZone, rack string) {
	name := fmt.Sprintf("w%02d", len(w.hosts))
	w.hosts = append(w.hosts, fleet.Host{Name: name, Kind: fleet.KindWorker, Zone: zone, Rack: rack, Phase: fleet.PhaseLive})
}

func (w *platformModel) observe() {
	missing := func(h fleet.Host) bool { return w.missing[h.Name] || w.replaced[h.Name] }
	w.history = append(w.history, slices.DeleteFunc(slices.Clone(w.hosts), missing))
}

func (w *platformModel) setBounds(pool, zone, racks int) {
	data := encode(document.Section{Name: "pools", Pools: []document.Pool{
		{Name: "a", Kind: fleet.KindWorker, Adopt: []string{"w*[02468]"}, MaxUnavailable: pool, MaxUnavailablePerZone: zone, MaxRacksOut: racks},
		{Name: "b", Kind: fleet.KindWorker, Spare: true, MaxUnavailable: pool, MaxUnavailablePerZone: zone, MaxRacksOut: racks},
	}})
	c := revision.Change{ID: fmt.Sprint("bounds", w.head.Revision), Updates: []revision.Update{{Part: section, IfRevision: w.head.Parts[section], Data: data}}}
	assert.Equal(w.t, w.commit(c), revision.Accepted)
}

func (w *platformModel) commit(c revision.Change) revision.Verdict {
	p := revision.Propose(w.head, w.parts, c)
	if p.Verdict == revision.Accepted {
		w.head = p.Head
		for _, part := range p.Parts {
			w.parts[part.Name] = part
		}
	}
	return p.Verdict
}

func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func decode(parts map[string]revision.Part) (doc *document.Document, all Assignments, l Ledger) {
	var s document.Section
	all = Assignments{}
	for name, p := range parts {
		var err error
		switch name {
		case section:
			err = json.Unmarshal(p.Data, &s)
		case "ledger":
			err = json.Unmarshal(p.Data, &l)
		default:
			var bucket Assignments
			err = json.Unmarshal(p.Data, &bucket)
			maps.Copy(all, bucket)
		}
		if err != nil {
			panic(err)
		}
	}
	return &document.Document{Sections: map[string]document.Section{"pools": s}}, all, l
}

func (p *modelPlanner) refresh(w *platformModel) {
	p.parts = maps.Clone(w.parts)
	doc, all, l := decode(p.parts)
	p.snapshot.Document, p.snapshot.Assignments, p.snapshot.Ledger = doc, all, &l
}

func (p *modelPlanner) draft(w *platformModel) *Draft {
	p.grantedHost, p.operation = "", ""
	p.snapshot.Now, p.snapshot.Hosts = w.now, &p.list
	return NewDraft(p.snapshot)
}

// prepare turns a draft into a change as services/maintenance does.
func (p *modelPlanner) prepare(id string, o Outcome) {
	p.change = nil
	if o.Empty() {
		return
	}
	c := &revision.Change{ID: id}
	touched := map[string]bool{}
	if o.Ledger != nil {
		c.Updates = append(c.Updates, revision.Update{Part: "ledger", IfRevision: p.parts["ledger"].Revision, Data: encode(o.Ledger)})
	}
	for host := range o.Assigned {
		part := fmt.Sprint("hosts/", Bucket(host))
		if touched[part] {
			continue
		}
		touched[part] = true
		bucket := Assignments{}
		for name, pool := range p.snapshot.Assignments {
			if Bucket(name) == Bucket(host) {
				bucket[name] = pool
			}
		}
		for name, pool := range o.Assigned {
			if Bucket(name) != Bucket(host) {
				continue
			}
			bucket[name] = pool
			if pool == NoPool {
				delete(bucket, name)
			}
		}
		c.Updates = append(c.Updates, revision.Update{Part: part, IfRevision: p.parts[part].Revision, Data: encode(bucket)})
	}
	for _, s := range o.Sections {
		c.Requires = append(c.Requires, revision.Requirement{Part: "section/" + s, Revision: p.parts["section/"+s].Revision})
	}
	p.change, p.decidedAssignments, p.decidedHosts = c, p.snapshot.Assignments, p.list.Hosts
}

func (p *modelPlanner) submit(w *platformModel) {
	if p.change == nil || w.commit(*p.change) != revision.Accepted {
		return
	}
	if p.operation != "" {
		w.appliedCount[p.operation]++
		assert.Equal(w.t, w.appliedCount[p.operation], 1, "request %s applied twice", p.operation)
	}
	if p.grantedHost != "" {
		w.checkBudget(p)
	}
}

// checkBudget counts afresh what the ledger and the planner's list say.
func (w *platformModel) checkBudget(p *modelPlanner) {
	doc, all, ledger := decode(w.parts)
	pool := ledger.Entries[p.grantedHost].Pool
	bounds := doc.Sections["pools"].Pools[0]
	out := map[string]location{}
	for _, o := range ledger.Entries {
		if o.Pool == pool {
			out[o.Host] = location{o.Zone, o.Rack}
		}
	}
	listed := map[string]bool{}
	for _, h := range p.decidedHosts {
		listed[h.Name] = true
		if _, entered := ledger.Entries[h.Name]; !entered && all[h.Name] == pool && h.Phase != fleet.PhaseLive {
			out[h.Name] = location{h.Zone, h.Rack}
		}
	}
	for host, in := range p.decidedAssignments {
		if _, entered := ledger.Entries[host]; !entered && in == pool && !listed[host] {
			out[host] = location{w.hosts[slices.IndexFunc(w.hosts, func(h fleet.Host) bool { return h.Name == host })].Zone, host}
		}
	}
	zones, racks := map[fleet.AvailabilityZone]int{}, map[location]bool{}
	for _, at := range out {
		zones[at.zone]++
		racks[at] = true
		assert.Assert(w.t, zones[at.zone] <= bounds.MaxUnavailablePerZone, "zone %s of %s over its bound: %v", at.zone, pool, out)
	}
	assert.Assert(w.t, len(out) <= bounds.MaxUnavailable, "pool %s over its bound: %v", pool, out)
	assert.Assert(w.t, bounds.MaxRacksOut == 0 || len(racks) <= bounds.MaxRacksOut, "racks of %s over the bound: %v", pool, out)
}

// checkPools guards against a host in two pools, in the wrong bucket, or lost.
func (w *platformModel) checkPools() {
	found := map[string]string{}
	for name, p := range w.parts {
		if name == section || name == "ledger" {
			continue
		}
		_, bucket, _ := decode(map[string]revision.Part{name: p})
		for host, pool := range bucket {
			assert.Equal(w.t, name, fmt.Sprint("hosts/", Bucket(host)))
			_, twice := found[host]
			assert.Assert(w.t, !twice && (pool == "a" || pool == "b"))
			found[host] = pool
		}
	}
	for host := range w.pools {
		_, ok := found[host]
		assert.Assert(w.t, ok || w.replaced[host], "host %s lost its pool", host)
	}
	w.pools = found
}

// TestGrantsKeepEveryBound guards against a budget spent twice by stale,
// paused or repeating planners, and against a host with two pools.
func TestGrantsKeepEveryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newPlatformModel(t)
		planners := []*modelPlanner{{}, {}, {}}
		id := 0
		pick := func() *modelPlanner { return planners[rapid.IntRange(0, len(planners)-1).Draw(t, "planner")] }
		list := func(p *modelPlanner) {
			lag := rapid.IntRange(0, min(3, len(w.history)-1)).Draw(t, "lag")
			p.list = fleet.HostList{Hosts: w.history[len(w.history)-1-lag], AsOf: w.now}
		}
		decide := func(p *modelPlanner, f func(*Draft)) {
			id++
			d := p.draft(w)
			f(d)
			p.prepare(fmt.Sprint("c", id), d.Outcome())
		}
		for _, p := range planners {
			list(p)
			p.refresh(w)
		}
		decide(planners[0], func(d *Draft) { d.AssignNewHosts() })
		planners[0].submit(w)
		for _, p := range planners {
			p.refresh(w)
		}
		actions := map[string]func(*rapid.T){
			"":     func(*rapid.T) { w.checkPools() },
			"view": func(*rapid.T) { pick().refresh(w) },
			"list": func(*rapid.T) { list(pick()) },
			"time": func(t *rapid.T) { w.now = w.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second) },
			"phase": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
				w.hosts[i].Phase = rapid.SampledFrom([]fleet.HostPhase{fleet.PhaseLive, fleet.PhaseLive, fleet.PhaseLeaving, fleet.PhaseFailed}).Draw(t, "phase")
				w.observe()
			},
			"add": func(*rapid.T) {
				if len(w.hosts) < 14 {
					w.addHost("z0", "r01")
					w.observe()
				}
			},
			"bounds": func(t *rapid.T) {
				w.setBounds(rapid.IntRange(1, 3).Draw(t, "pool"), rapid.IntRange(1, 2).Draw(t, "zone"), rapid.IntRange(0, 2).Draw(t, "racks"))
			},
			"grant": func(t *rapid.T) {
				p := pick()
				r := Request{Host: w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")].Name, Cause: CauseReboot}
				if rapid.Bool().Draw(t, "move") {
					r.Cause, r.MoveTo = CauseMove, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "to")
				}
				op := fmt.Sprint("op", rapid.IntRange(0, 99).Draw(t, "op"))
				decide(p, func(d *Draft) {
					if !d.RecordOperation(op) {
						return
					}
					if _, refused := d.Grant(r); refused == nil {
						p.grantedHost, p.operation = r.Host, op
					} else {
						d.changed = false
					}
				})
			},
			"failures": func(*rapid.T) { decide(pick(), func(d *Draft) { d.RecordFailures(nil) }) },
			"assign":   func(*rapid.T) { decide(pick(), func(d *Draft) { d.AssignNewHosts() }) },
			"step": func(t *rapid.T) {
				p := pick()
				out := slices.Sorted(maps.Keys(p.snapshot.Ledger.Entries))
				if len(out) == 0 {
					return
				}
				host := rapid.SampledFrom(out).Draw(t, "host")
				decide(p, func(d *Draft) {
					d.Advance(host)
					d.Finish(host)
				})
			},
			"submit": func(*rapid.T) { pick().submit(w) },
		}
		weighted := []string{"view", "view", "view", "list", "time", "phase", "add", "bounds", "failures",
			"assign", "grant", "grant", "grant", "grant", "step", "step", "step", "submit", "submit", "submit", "submit", "submit"}
		for range rapid.IntRange(1, 200).Draw(t, "actions") {
			actions[rapid.SampledFrom(weighted).Draw(t, "action")](t)
			w.checkPools()
		}
	})
}
