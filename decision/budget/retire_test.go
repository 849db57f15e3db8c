package budget

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// TestRetire guards against replaced hosts that count against the budget
// forever, and against hosts that lose their pool because of an outage or an
// incomplete list.
func TestRetire(t *testing.T) {
	const after = 30 * time.Minute
	removeLast := func(n int) func(*Snapshot) { return func(s *Snapshot) { s.Hosts.Hosts = s.Hosts.Hosts[:24-n] } }
	removeZone := func(s *Snapshot) {
		kept := s.Hosts.Hosts[:0:0]
		for _, h := range s.Hosts.Hosts {
			if h.Zone != "z0" {
				kept = append(kept, h)
			}
		}
		s.Hosts.Hosts = kept
	}
	cases := []struct {
		name   string
		hide   func(*Snapshot)
		steps  int
		every  time.Duration
		before func(*Snapshot)
		want   int
	}{
		{"replaced", removeLast(3), 60, 30 * time.Second, nil, 3},
		{"not long enough", removeLast(3), 59, 30 * time.Second, nil, 0},
		{"lists that leave a gap", removeLast(3), 120, 31 * time.Second, nil, 0},
		{"zone is cut off", removeZone, 200, 30 * time.Second, nil, 0},
		{"list is cut short", removeLast(8), 200, 30 * time.Second, nil, 0},
		{"out on purpose", removeLast(1), 200, 30 * time.Second, func(s *Snapshot) {
			s.Ledger.Entries["w23"] = LedgerEntry{Host: "w23", Pool: "a", Zone: "z2", Cause: CauseDrain, Step: StepMaintenance}
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := testSnapshotWith(24)
			allHosts := map[string]fleet.Host{}
			for _, h := range s.Hosts.Hosts {
				allHosts[h.Name] = h
			}
			if c.before != nil {
				c.before(&s)
			}
			c.hide(&s)
			var a Absences
			var d *Draft
			retired := 0
			for range c.steps + 2 {
				d = NewDraft(s)
				d.RecordFailures(allHosts)
				retired += len(d.Retire(&a, after))
				if o := d.Outcome(); o.Ledger != nil {
					s.Ledger = o.Ledger
				}
				a.Observe(s.Hosts, s.Assignments, s.Ledger)
				maps.DeleteFunc(s.Assignments, func(host, _ string) bool { in, moved := d.assigned[host]; return moved && in == NoPool })
				s.Now = s.Now.Add(c.every)
				s.Hosts = &fleet.HostList{Hosts: s.Hosts.Hosts, AsOf: s.Now}
			}
			assert.Equal(t, retired, c.want)
			if retired > 0 {
				assert.Equal(t, d.UnavailableCount("a"), 0, "a retired host still counts against the budget")
				s.Hosts.Hosts = append(s.Hosts.Hosts, allHosts["w23"])
				d = NewDraft(s)
				d.AssignNewHosts()
				assert.DeepEqual(t, d.Outcome().Assigned, Assignments{"w23": "a"})
			}
		})
	}
}

// testSnapshotWith returns a snapshot with n hosts in pool "a", spread evenly
// over three zones.
func testSnapshotWith(n int) Snapshot {
	s := testSnapshot()
	for i := len(s.Hosts.Hosts); i < n; i++ {
		name := fmt.Sprint("w", i)
		s.Assignments[name] = "a"
		s.Hosts.Hosts = append(s.Hosts.Hosts, fleet.Host{Name: name, Kind: fleet.KindWorker,
			Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%3)), Rack: fmt.Sprint("r", i), Phase: fleet.PhaseLive})
	}
	return s
}

// outageModel is a platformModel whose host list lags by up to listLag and
// whose zones suffer outages.
type outageModel struct {
	*platformModel
	planners   []*modelPlanner
	absences   []Absences
	lastSeen   map[string]fleet.Host
	observedAt []time.Time
	id         int
}

const (
	testRetirement = time.Minute
	listLag        = 5 * time.Second
)

func (m *outageModel) observe() {
	m.platformModel.observe()
	m.observedAt = append(m.observedAt, m.now)
	for _, h := range m.hosts {
		m.lastSeen[h.Name] = h
	}
}

// readLists makes planner i read the host list every 10 s for a number of steps.
func (m *outageModel) readLists(i, steps int) {
	p := m.planners[i]
	for range steps {
		m.now = m.now.Add(10 * time.Second)
		asOf := m.now.Add(-time.Duration(rapid.IntRange(0, int(listLag/time.Second)).Draw(m.t, "lag")) * time.Second)
		list := m.history[0]
		for n, at := range m.observedAt {
			if !at.After(asOf) {
				list = m.history[n]
			}
		}
		p.list = fleet.HostList{Hosts: list, AsOf: m.now}
		p.refresh(m.platformModel)
		m.absences[i].Observe(&p.list, p.snapshot.Assignments, p.snapshot.Ledger)
		m.decide(i, func(d *Draft) { d.RecordFailures(m.lastSeen) })
		p.submit(m.platformModel)
		p.refresh(m.platformModel)
	}
}

func (m *outageModel) decide(i int, change func(*Draft)) {
	m.id++
	d := m.planners[i].draft(m.platformModel)
	change(d)
	m.planners[i].prepare(fmt.Sprint("c", m.id), d.Outcome())
}

func (m *outageModel) hide(match func(fleet.Host) bool) {
	for _, h := range m.hosts {
		m.missing[h.Name] = m.missing[h.Name] || match(h)
	}
	m.observe()
}

// heal ends all outages; one random host may return later than the others.
func (m *outageModel) heal(i int) {
	last := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(m.t, "last")].Name
	m.missing = map[string]bool{last: m.missing[last]}
	m.observe()
	m.readLists(i, 3)
	m.missing = map[string]bool{}
	m.observe()
}

// TestOutageRetiresNoHost guards against hosts that lose their pool, so that
// grants no longer count them, while a zone is unreachable or the list is
// truncated, and against live hosts that are left without a pool.
func TestOutageRetiresNoHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &outageModel{platformModel: newPlatformModel(t), planners: []*modelPlanner{{}, {}}, absences: make([]Absences, 2), lastSeen: map[string]fleet.Host{}, observedAt: []time.Time{time.Unix(1_000_000, 0)}}
		m.observe()
		settle := func() {
			m.readLists(0, 1)
			m.decide(0, func(d *Draft) { d.AssignNewHosts() })
			m.planners[0].submit(m.platformModel)
		}
		settle()
		pick := func() int { return rapid.IntRange(0, 1).Draw(t, "planner") }
		actions := map[string]func(){
			"read": func() { m.readLists(pick(), rapid.IntRange(1, 8).Draw(t, "reads")) },
			"zone": func() {
				zone := fleet.AvailabilityZone(fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")))
				m.hide(func(h fleet.Host) bool { return h.Zone == zone })
			},
			"cut":  func() { m.hide(func(h fleet.Host) bool { return h.Name > "w02" }) },
			"heal": func() { m.heal(pick()) },
			"replace": func() {
				old := m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "old")]
				if len(m.hosts) < 20 {
					m.replaced[old.Name] = true
					m.addHost(old.Zone, old.Rack)
					m.observe()
				}
			},
			"assign": func() { m.decide(pick(), func(d *Draft) { d.AssignNewHosts() }) },
			"retire": func() { i := pick(); m.decide(i, func(d *Draft) { d.Retire(&m.absences[i], testRetirement) }) },
			"submit": func() { m.planners[pick()].submit(m.platformModel) },
			"grant": func() {
				i, host := pick(), m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(t, "host")].Name
				m.decide(i, func(d *Draft) {
					if _, refusal := d.Grant(Request{Host: host, Cause: CauseReboot}); refusal == nil {
						m.planners[i].grantedHost = host
					}
				})
			},
		}
		weighted := []string{"read", "read", "read", "zone", "cut", "heal", "heal", "replace", "assign", "retire", "retire", "retire", "grant", "submit", "submit", "submit"}
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			actions[rapid.SampledFrom(weighted).Draw(t, "action")]()
			m.checkPools()
		}
		m.heal(0)
		m.now = m.now.Add(listLag)
		settle()
		m.checkPools()
		for _, h := range m.hosts {
			_, assigned := m.pools[h.Name]
			assert.Assert(t, assigned || m.replaced[h.Name], "live host %s has no pool", h.Name)
		}
	})
}
