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

// TestRetire guards against replaced hosts that use up the budget for good,
// and against hosts that lose their pool through an outage or a broken list.
func TestRetire(t *testing.T) {
	const after = 30 * time.Minute
	hide := func(n int) func(*Snapshot) { return func(b *Snapshot) { b.Hosts.Hosts = b.Hosts.Hosts[:24-n] } }
	zone := func(b *Snapshot) {
		kept := b.Hosts.Hosts[:0:0]
		for _, h := range b.Hosts.Hosts {
			if h.Zone != "z0" {
				kept = append(kept, h)
			}
		}
		b.Hosts.Hosts = kept
	}
	cases := []struct {
		name   string
		hide   func(*Snapshot)
		steps  int
		every  time.Duration
		before func(*Snapshot)
		want   int
	}{
		{"replaced", hide(3), 60, 30 * time.Second, nil, 3},
		{"not long enough", hide(3), 59, 30 * time.Second, nil, 0},
		{"lists that leave a gap", hide(3), 120, 31 * time.Second, nil, 0},
		{"zone is cut off", zone, 200, 30 * time.Second, nil, 0},
		{"list is cut short", hide(8), 200, 30 * time.Second, nil, 0},
		{"out on purpose", hide(1), 200, 30 * time.Second, func(b *Snapshot) {
			b.Ledger.Entries["w23"] = LedgerEntry{Host: "w23", Pool: "a", Zone: "z2", Cause: CauseDrain, Step: StepMaintenance}
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := testSnapshotWith(24)
			whole := map[string]fleet.Host{}
			for _, h := range b.Hosts.Hosts {
				whole[h.Name] = h
			}
			if c.before != nil {
				c.before(&b)
			}
			c.hide(&b)
			var a Absences
			var d *Draft
			retired := 0
			for range c.steps + 2 {
				d = NewDraft(b)
				d.RecordFailures(whole)
				retired += len(d.Retire(&a, after))
				if o := d.Outcome(); o.Ledger != nil {
					b.Ledger = o.Ledger
				}
				a.Observe(b.Hosts, b.Assignments, b.Ledger)
				maps.DeleteFunc(b.Assignments, func(host, _ string) bool { in, moved := d.assigned[host]; return moved && in == NoPool })
				b.Now = b.Now.Add(c.every)
				b.Hosts = &fleet.HostList{Hosts: b.Hosts.Hosts, AsOf: b.Now}
			}
			assert.Equal(t, retired, c.want)
			if retired > 0 {
				assert.Equal(t, d.UnavailableCount("a"), 0, "a retired host uses up no budget")
				b.Hosts.Hosts = append(b.Hosts.Hosts, whole["w23"])
				d = NewDraft(b)
				d.AssignNewHosts()
				assert.DeepEqual(t, d.Outcome().Assigned, Assignments{"w23": "a"})
			}
		})
	}
}

// testSnapshotWith has n hosts in pool "a", evenly over three zones.
func testSnapshotWith(n int) Snapshot {
	b := testSnapshot()
	for i := len(b.Hosts.Hosts); i < n; i++ {
		name := fmt.Sprint("w", i)
		b.Assignments[name] = "a"
		b.Hosts.Hosts = append(b.Hosts.Hosts, fleet.Host{Name: name, Kind: fleet.KindWorker,
			Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%3)), Rack: fmt.Sprint("r", i), Phase: fleet.PhaseLive})
	}
	return b
}

// outageModel is a world whose list lags by up to listLag and whose zones fail.
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

func (w *outageModel) observe() {
	w.platformModel.observe()
	w.observedAt = append(w.observedAt, w.now)
	for _, h := range w.hosts {
		w.lastSeen[h.Name] = h
	}
}

// readLists lets planner i read the list for some steps of 10 s.
func (w *outageModel) readLists(i, steps int) {
	p := w.planners[i]
	for range steps {
		w.now = w.now.Add(10 * time.Second)
		asOf := w.now.Add(-time.Duration(rapid.IntRange(0, int(listLag/time.Second)).Draw(w.t, "lag")) * time.Second)
		list := w.history[0]
		for n, at := range w.observedAt {
			if !at.After(asOf) {
				list = w.history[n]
			}
		}
		p.list = fleet.HostList{Hosts: list, AsOf: w.now}
		p.refresh(w.platformModel)
		w.absences[i].Observe(&p.list, p.snapshot.Assignments, p.snapshot.Ledger)
		w.decide(i, func(d *Draft) { d.RecordFailures(w.lastSeen) })
		p.submit(w.platformModel)
		p.refresh(w.platformModel)
	}
}

func (w *outageModel) decide(i int, f func(*Draft)) {
	w.id++
	d := w.planners[i].draft(w.platformModel)
	f(d)
	w.planners[i].prepare(fmt.Sprint("c", w.id), d.Outcome())
}

func (w *outageModel) hide(match func(fleet.Host) bool) {
	for _, h := range w.hosts {
		w.missing[h.Name] = w.missing[h.Name] || match(h)
	}
	w.observe()
}

// heal ends all outages, some hosts later than others.
func (w *outageModel) heal(i int) {
	last := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, "last")].Name
	w.missing = map[string]bool{last: w.missing[last]}
	w.observe()
	w.readLists(i, 3)
	w.missing = map[string]bool{}
	w.observe()
}

// TestOutageRetiresNoHost guards against hosts that lose their pool, so that
// a grant no longer counts them, while a zone is cut off or the list is cut
// short, and against live hosts that end without a pool.
func TestOutageRetiresNoHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &outageModel{platformModel: newPlatformModel(t), planners: []*modelPlanner{{}, {}}, absences: make([]Absences, 2), lastSeen: map[string]fleet.Host{}, observedAt: []time.Time{time.Unix(1_000_000, 0)}}
		w.observe()
		settle := func() {
			w.readLists(0, 1)
			w.decide(0, func(d *Draft) { d.AssignNewHosts() })
			w.planners[0].submit(w.platformModel)
		}
		settle()
		pick := func() int { return rapid.IntRange(0, 1).Draw(t, "planner") }
		actions := map[string]func(){
			"read": func() { w.readLists(pick(), rapid.IntRange(1, 8).Draw(t, "reads")) },
			"zone": func() {
				zone := fleet.AvailabilityZone(fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")))
				w.hide(func(h fleet.Host) bool { return h.Zone == zone })
			},
			"cut":  func() { w.hide(func(h fleet.Host) bool { return h.Name > "w02" }) },
			"heal": func() { w.heal(pick()) },
			"replace": func() {
				old := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "old")]
				if len(w.hosts) < 20 {
					w.replaced[old.Name] = true
					w.addHost(old.Zone, old.Rack)
					w.observe()
				}
			},
			"assign": func() { w.decide(pick(), func(d *Draft) { d.AssignNewHosts() }) },
			"retire": func() { i := pick(); w.decide(i, func(d *Draft) { d.Retire(&w.absences[i], testRetirement) }) },
			"submit": func() { w.planners[pick()].submit(w.platformModel) },
			"grant": func() {
				i, host := pick(), w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")].Name
				w.decide(i, func(d *Draft) {
					if _, refused := d.Grant(Request{Host: host, Cause: CauseReboot}); refused == nil {
						w.planners[i].grantedHost = host
					}
				})
			},
		}
		weighted := []string{"read", "read", "read", "zone", "cut", "heal", "heal", "replace", "assign", "retire", "retire", "retire", "grant", "submit", "submit", "submit"}
		for range rapid.IntRange(1, 60).Draw(t, "actions") {
			actions[rapid.SampledFrom(weighted).Draw(t, "action")]()
			w.checkPools()
		}
		w.heal(0)
		w.now = w.now.Add(listLag)
		settle()
		w.checkPools()
		for _, h := range w.hosts {
			_, assigned := w.pools[h.Name]
			assert.Assert(t, assigned || w.replaced[h.Name], "live host %s has no pool", h.Name)
		}
	})
}
