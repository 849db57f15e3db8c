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
	hide := func(n int) func(*Basis) { return func(b *Basis) { b.Hosts.Hosts = b.Hosts.Hosts[:24-n] } }
	zone := func(b *Basis) {
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
		hide   func(*Basis)
		steps  int
		every  time.Duration
		before func(*Basis)
		want   int
	}{
		{"replaced", hide(3), 60, 30 * time.Second, nil, 3},
		{"not long enough", hide(3), 59, 30 * time.Second, nil, 0},
		{"lists that leave a gap", hide(3), 120, 31 * time.Second, nil, 0},
		{"zone is cut off", zone, 200, 30 * time.Second, nil, 0},
		{"list is cut short", hide(8), 200, 30 * time.Second, nil, 0},
		{"out on purpose", hide(1), 200, 30 * time.Second, func(b *Basis) {
			b.Ledger.Out["w23"] = Out{Host: "w23", Pool: "a", Zone: "z2", Cause: CauseDrain, Step: StepMaintenance}
		}, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := basisOf(24)
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
				assert.Equal(t, d.Unavailable("a"), 0, "a retired host uses up no budget")
				b.Hosts.Hosts = append(b.Hosts.Hosts, whole["w23"])
				d = NewDraft(b)
				d.AssignFirstSeen()
				assert.DeepEqual(t, d.Outcome().Assigned, Assignments{"w23": "a"})
			}
		})
	}
}

// basisOf has n hosts in pool "a", evenly over three zones.
func basisOf(n int) Basis {
	b := basis()
	for i := len(b.Hosts.Hosts); i < n; i++ {
		name := fmt.Sprint("w", i)
		b.Assignments[name] = "a"
		b.Hosts.Hosts = append(b.Hosts.Hosts, fleet.Host{Name: name, Kind: fleet.KindWorker,
			Zone: fleet.AvailabilityZone(fmt.Sprint("z", i%3)), Rack: fmt.Sprint("r", i), Phase: fleet.PhaseLive})
	}
	return b
}

// outages is a world whose list lags by up to listLag and whose zones fail.
type outages struct {
	*world
	planners []*planner
	absences []Absences
	seen     map[string]fleet.Host
	at       []time.Time
	id       int
}

const (
	testRetirement = time.Minute
	listLag        = 5 * time.Second
)

func (w *outages) observe() {
	w.world.observe()
	w.at = append(w.at, w.now)
	for _, h := range w.hosts {
		w.seen[h.Name] = h
	}
}

// read lets planner i read the list for some steps of 10 s.
func (w *outages) read(i, steps int) {
	p := w.planners[i]
	for range steps {
		w.now = w.now.Add(10 * time.Second)
		asOf := w.now.Add(-time.Duration(rapid.IntRange(0, int(listLag/time.Second)).Draw(w.t, "lag")) * time.Second)
		list := w.history[0]
		for n, at := range w.at {
			if !at.After(asOf) {
				list = w.history[n]
			}
		}
		p.list = fleet.HostList{Hosts: list, AsOf: w.now}
		p.refresh(w.world)
		w.absences[i].Observe(&p.list, p.basis.Assignments, p.basis.Ledger)
		w.decide(i, func(d *Draft) { d.RecordFailures(w.seen) })
		p.submit(w.world)
		p.refresh(w.world)
	}
}

func (w *outages) decide(i int, f func(*Draft)) {
	w.id++
	d := w.planners[i].draft(w.world)
	f(d)
	w.planners[i].prepare(fmt.Sprint("c", w.id), d.Outcome())
}

func (w *outages) hide(match func(fleet.Host) bool) {
	for _, h := range w.hosts {
		w.hidden[h.Name] = w.hidden[h.Name] || match(h)
	}
	w.observe()
}

// heal ends all outages, some hosts later than others.
func (w *outages) heal(i int) {
	last := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(w.t, "last")].Name
	w.hidden = map[string]bool{last: w.hidden[last]}
	w.observe()
	w.read(i, 3)
	w.hidden = map[string]bool{}
	w.observe()
}

// TestOutageRetiresNoHost guards against hosts that lose their pool, so that
// a grant no longer counts them, while a zone is cut off or the list is cut
// short, and against live hosts that end without a pool.
func TestOutageRetiresNoHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &outages{world: newWorld(t), planners: []*planner{{}, {}}, absences: make([]Absences, 2), seen: map[string]fleet.Host{}, at: []time.Time{time.Unix(1_000_000, 0)}}
		w.observe()
		settle := func() {
			w.read(0, 1)
			w.decide(0, func(d *Draft) { d.AssignFirstSeen() })
			w.planners[0].submit(w.world)
		}
		settle()
		pick := func() int { return rapid.IntRange(0, 1).Draw(t, "planner") }
		actions := map[string]func(){
			"read": func() { w.read(pick(), rapid.IntRange(1, 8).Draw(t, "reads")) },
			"zone": func() {
				zone := fleet.AvailabilityZone(fmt.Sprint("z", rapid.IntRange(0, 2).Draw(t, "zone")))
				w.hide(func(h fleet.Host) bool { return h.Zone == zone })
			},
			"cut":  func() { w.hide(func(h fleet.Host) bool { return h.Name > "w02" }) },
			"heal": func() { w.heal(pick()) },
			"replace": func() {
				old := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "old")]
				if len(w.hosts) < 20 {
					w.gone[old.Name] = true
					w.addHost(old.Zone, old.Rack)
					w.observe()
				}
			},
			"assign": func() { w.decide(pick(), func(d *Draft) { d.AssignFirstSeen() }) },
			"retire": func() { i := pick(); w.decide(i, func(d *Draft) { d.Retire(&w.absences[i], testRetirement) }) },
			"submit": func() { w.planners[pick()].submit(w.world) },
			"grant": func() {
				i, host := pick(), w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")].Name
				w.decide(i, func(d *Draft) {
					if _, refused := d.Grant(Request{Host: host, Cause: CauseReboot}); refused == nil {
						w.planners[i].granted = host
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
			assert.Assert(t, assigned || w.gone[h.Name], "live host %s has no pool", h.Name)
		}
	})
}
