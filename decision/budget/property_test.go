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

// platformModel simulates the platform: the shared state parts, the actual
// phases of hosts, and the earlier versions of the host list.
type platformModel struct {
	t            *rapid.T
	head         revision.Head
	parts        map[string]revision.Part
	now          time.Time
	hosts        []fleet.Host
	history      [][]fleet.Host
	appliedCount map[string]int
	pools        map[string]string
	// missing hosts are temporarily absent from the list; replaced hosts are
	// gone and may be retired.
	missing, replaced map[string]bool
}

// modelPlanner simulates the planner of an entry host. Its copies of the state
// may be stale, and its latest change may be submitted late or repeatedly.
type modelPlanner struct {
	snapshot               Snapshot
	parts                  map[string]revision.Part
	change                 *revision.Change
	grantedHost, operation string
	list                   fleet.HostList
	// decidedAssignments and decidedHosts are the assignments and the host list
	// on which change is based.
	decidedAssignments Assignments
	decidedHosts       []fleet.Host
}

func newPlatformModel(t *rapid.T) *platformModel {
	m := &platformModel{t: t, parts: map[string]revision.Part{}, head: revision.Head{Parts: map[string]uint64{}},
		now: time.Unix(1_000_000, 0), appliedCount: map[string]int{}, pools: map[string]string{},
		missing: map[string]bool{}, replaced: map[string]bool{}}
	for i := range 9 {
		m.addHost(fleet.AvailabilityZone(fmt.Sprint("z", i%3)), fmt.Sprint("r", i%3, i/6))
	}
	m.setBounds(2, 1, 0)
	m.observe()
	return m
}

func (m *platformModel) addHost(zone fleet.AvailabilityZone, rack string) {
	name := fmt.Sprintf("w%02d", len(m.hosts))
	m.hosts = append(m.hosts, fleet.Host{Name: name, Kind: fleet.KindWorker, Zone: zone, Rack: rack, Phase: fleet.PhaseLive})
}

func (m *platformModel) observe() {
	missing := func(h fleet.Host) bool { return m.missing[h.Name] || m.replaced[h.Name] }
	m.history = append(m.history, slices.DeleteFunc(slices.Clone(m.hosts), missing))
}

func (m *platformModel) setBounds(pool, zone, racks int) {
	data := encode(document.Section{Name: "pools", Pools: []document.Pool{
		{Name: "a", Kind: fleet.KindWorker, Adopt: []string{"w*[02468]"}, MaxUnavailable: pool, MaxUnavailablePerZone: zone, MaxRacksOut: racks},
		{Name: "b", Kind: fleet.KindWorker, Spare: true, MaxUnavailable: pool, MaxUnavailablePerZone: zone, MaxRacksOut: racks},
	}})
	c := revision.Change{ID: fmt.Sprint("bounds", m.head.Revision), Updates: []revision.Update{{Part: section, IfRevision: m.head.Parts[section], Data: data}}}
	assert.Equal(m.t, m.commit(c), revision.Accepted)
}

func (m *platformModel) commit(c revision.Change) revision.Verdict {
	p := revision.Propose(m.head, m.parts, c)
	if p.Verdict == revision.Accepted {
		m.head = p.Head
		for _, part := range p.Parts {
			m.parts[part.Name] = part
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

func (p *modelPlanner) refresh(m *platformModel) {
	p.parts = maps.Clone(m.parts)
	doc, all, l := decode(p.parts)
	p.snapshot.Document, p.snapshot.Assignments, p.snapshot.Ledger = doc, all, &l
}

func (p *modelPlanner) draft(m *platformModel) *Draft {
	p.grantedHost, p.operation = "", ""
	p.snapshot.Now, p.snapshot.Hosts = m.now, &p.list
	return NewDraft(p.snapshot)
}

// prepare encodes an outcome as a change, as services/maintenance does.
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

func (p *modelPlanner) submit(m *platformModel) {
	if p.change == nil || m.commit(*p.change) != revision.Accepted {
		return
	}
	if p.operation != "" {
		m.appliedCount[p.operation]++
		assert.Equal(m.t, m.appliedCount[p.operation], 1, "request %s applied twice", p.operation)
	}
	if p.grantedHost != "" {
		m.checkBudget(p)
	}
}

// checkBudget checks the bounds of the pool of the last grant, by a count of the
// ledger and the planner's host list that is independent of usage.
func (m *platformModel) checkBudget(p *modelPlanner) {
	doc, all, ledger := decode(m.parts)
	pool := ledger.Entries[p.grantedHost].Pool
	bounds := doc.Sections["pools"].Pools[0]
	out := map[string]location{}
	for _, e := range ledger.Entries {
		if e.Pool == pool {
			out[e.Host] = location{e.Zone, e.Rack}
		}
	}
	listed := map[string]bool{}
	for _, h := range p.decidedHosts {
		listed[h.Name] = true
		if _, inLedger := ledger.Entries[h.Name]; !inLedger && all[h.Name] == pool && h.Phase != fleet.PhaseLive {
			out[h.Name] = location{h.Zone, h.Rack}
		}
	}
	for host, assignedPool := range p.decidedAssignments {
		if _, inLedger := ledger.Entries[host]; !inLedger && assignedPool == pool && !listed[host] {
			out[host] = location{m.hosts[slices.IndexFunc(m.hosts, func(h fleet.Host) bool { return h.Name == host })].Zone, host}
		}
	}
	zones, racks := map[fleet.AvailabilityZone]int{}, map[location]bool{}
	for _, at := range out {
		zones[at.zone]++
		racks[at] = true
		assert.Assert(m.t, zones[at.zone] <= bounds.MaxUnavailablePerZone, "zone %s of %s over its bound: %v", at.zone, pool, out)
	}
	assert.Assert(m.t, len(out) <= bounds.MaxUnavailable, "pool %s over its bound: %v", pool, out)
	assert.Assert(m.t, bounds.MaxRacksOut == 0 || len(racks) <= bounds.MaxRacksOut, "racks of %s over the bound: %v", pool, out)
}

// checkPools guards against a host in two pools, in the wrong bucket, or lost.
func (m *platformModel) checkPools() {
	found := map[string]string{}
	for name, p := range m.parts {
		if name == section || name == "ledger" {
			continue
		}
		_, bucket, _ := decode(map[string]revision.Part{name: p})
		for host, pool := range bucket {
			assert.Equal(m.t, name, fmt.Sprint("hosts/", Bucket(host)))
			_, duplicate := found[host]
			assert.Assert(m.t, !duplicate && (pool == "a" || pool == "b"))
			found[host] = pool
		}
	}
	for host := range m.pools {
		_, ok := found[host]
		assert.Assert(m.t, ok || m.replaced[host], "host %s lost its pool", host)
	}
	m.pools = found
}

// TestGrantsKeepEveryBound guards against a budget that stale, paused or
// repeating planners spend twice, and against a host in two pools.
func TestGrantsKeepEveryBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPlatformModel(t)
		planners := []*modelPlanner{{}, {}, {}}
		id := 0
		pick := func() *modelPlanner { return planners[rapid.IntRange(0, len(planners)-1).Draw(t, "planner")] }
		readList := func(p *modelPlanner) {
			lag := rapid.IntRange(0, min(3, len(m.history)-1)).Draw(t, "lag")
			p.list = fleet.HostList{Hosts: m.history[len(m.history)-1-lag], AsOf: m.now}
		}
		decide := func(p *modelPlanner, change func(*Draft)) {
			id++
			d := p.draft(m)
			change(d)
			p.prepare(fmt.Sprint("c", id), d.Outcome())
		}
		for _, p := range planners {
			readList(p)
			p.refresh(m)
		}
		decide(planners[0], func(d *Draft) { d.AssignNewHosts() })
		planners[0].submit(m)
		for _, p := range planners {
			p.refresh(m)
		}
		actions := map[string]func(*rapid.T){
			"":     func(*rapid.T) { m.checkPools() },
			"view": func(*rapid.T) { pick().refresh(m) },
			"list": func(*rapid.T) { readList(pick()) },
			"time": func(t *rapid.T) { m.now = m.now.Add(time.Duration(rapid.IntRange(1, 20).Draw(t, "s")) * time.Second) },
			"phase": func(t *rapid.T) {
				i := rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")
				m.hosts[i].Phase = rapid.SampledFrom([]fleet.HostPhase{fleet.PhaseLive, fleet.PhaseLive, fleet.PhaseLeaving, fleet.PhaseFailed}).Draw(t, "phase")
				m.observe()
			},
			"add": func(*rapid.T) {
				if len(m.hosts) < 14 {
					m.addHost("z0", "r01")
					m.observe()
				}
			},
			"bounds": func(t *rapid.T) {
				m.setBounds(rapid.IntRange(1, 3).Draw(t, "pool"), rapid.IntRange(1, 2).Draw(t, "zone"), rapid.IntRange(0, 2).Draw(t, "racks"))
			},
			"grant": func(t *rapid.T) {
				p := pick()
				r := Request{Host: m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")].Name, Cause: CauseReboot}
				if rapid.Bool().Draw(t, "move") {
					r.Cause, r.MoveTo = CauseMove, rapid.SampledFrom([]string{"a", "b"}).Draw(t, "to")
				}
				op := fmt.Sprint("op", rapid.IntRange(0, 99).Draw(t, "op"))
				decide(p, func(d *Draft) {
					if !d.RecordOperation(op) {
						return
					}
					if _, refusal := d.Grant(r); refusal == nil {
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
			"submit": func(*rapid.T) { pick().submit(m) },
		}
		weighted := []string{"view", "view", "view", "list", "time", "phase", "add", "bounds", "failures",
			"assign", "grant", "grant", "grant", "grant", "step", "step", "step", "submit", "submit", "submit", "submit", "submit"}
		for range rapid.IntRange(1, 200).Draw(t, "actions") {
			actions[rapid.SampledFrom(weighted).Draw(t, "action")](t)
			m.checkPools()
		}
	})
}
