package measure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	// hostListLag is the mean age of the platform's host list.
	hostListLag = time.Second
	// rebootMedian is the median time of a reboot, which is log-normally
	// distributed with standard deviation rebootSpread of the logarithm.
	rebootMedian = 60 * time.Second
	rebootSpread = 0.4
	// fullSpeedReboots is the number of concurrent reboots above which each
	// reboot slows down in proportion to their number.
	fullSpeedReboots = 10
	// hostFailures is the number of host failures in a run, each of
	// failureDuration.
	hostFailures    = 4
	failureDuration = 4 * time.Minute
)

// host is the actual state of one host, which the host list shows with a lag.
type host struct {
	fleet.Host
	usedSlots int
	failures  int
	rebooting bool
}

// platform simulates the platform's hosts and its host list.
type platform struct {
	clock             *virtualClock
	random            *rand.Rand
	hosts             []*host
	byName            map[string]*host
	list              fleet.HostList
	rebooted          map[string]bool
	rebootsInProgress int
}

func newPlatform(c *virtualClock, d deployment, seed uint64) *platform {
	p := &platform{clock: c, random: rand.New(rand.NewPCG(seed, 2)), byName: make(map[string]*host), rebooted: make(map[string]bool)}
	add := func(pool string, kind fleet.HostKind, i int) {
		zone := d.zones[i%len(d.zones)]
		rack := fmt.Sprintf("%s-%s-%d", pool, zone, i/len(d.zones)/rackHosts)
		h := &host{Host: fleet.Host{Name: fmt.Sprintf("%s-%02d", pool, i), Kind: kind, Zone: zone, Rack: rack, Phase: fleet.PhaseLive, Slots: slotsPerServer}}
		p.hosts = append(p.hosts, h)
		p.byName[h.Name] = h
	}
	for s, n := range d.servers {
		for i := range n {
			add(serviceName(s), fleet.KindBackendServer, i)
		}
	}
	for i := range d.spareHosts {
		add(d.sparePool, fleet.KindBackendServer, i)
	}
	for i := range d.workers {
		add(workerPool, fleet.KindWorker, i)
	}
	p.publish()
	c.every(hostListLag, p.publish)
	return p
}

// publish takes a copy of the host list, which readers see half a lag later and
// use for a whole one.
func (p *platform) publish() {
	list := fleet.HostList{AsOf: p.clock.now}
	for _, h := range p.hosts {
		list.Hosts = append(list.Hosts, h.Host)
	}
	p.clock.after(hostListLag/2, func() { p.list = list })
	if p.list.Hosts == nil {
		p.list = list
	}
}

// assignments returns the initial pool of each host, from its name.
func (p *platform) assignments(d deployment) budget.Assignments {
	a := make(budget.Assignments)
	for _, h := range p.hosts {
		a[h.Name] = h.Name[:len(h.Name)-len("-00")]
	}
	return a
}

func (p *platform) drainHost(name string) {
	if h := p.byName[name]; h.Phase == fleet.PhaseLive {
		h.Phase = fleet.PhaseLeaving
	}
}

// rebootHost reboots a host; this takes longer when many hosts reboot at once.
func (p *platform) rebootHost(name string) {
	h := p.byName[name]
	h.rebooting = true
	p.rebootsInProgress++
	slowdown := max(1, float64(p.rebootsInProgress)/fullSpeedReboots)
	took := float64(rebootMedian) * math.Exp(rebootSpread*p.random.NormFloat64()) * slowdown
	p.clock.after(time.Duration(took), func() {
		p.rebootsInProgress--
		h.rebooting = false
		p.rebooted[name] = true
	})
}

func (p *platform) returnHost(name string) {
	delete(p.rebooted, name)
	if h := p.byName[name]; h.Phase == fleet.PhaseLeaving && !h.rebooting {
		h.Phase = fleet.PhaseLive
	}
}

// failHost fails a live host for failureDuration.
func (p *platform) failHost(name string) {
	h := p.byName[name]
	if h.Phase != fleet.PhaseLive {
		return
	}
	h.Phase = fleet.PhaseFailed
	h.failures++
	h.usedSlots = 0
	p.clock.after(failureDuration, func() { h.Phase = fleet.PhaseLive })
}

// scheduleFailures schedules failures of random hosts at random times.
func (p *platform) scheduleFailures(seed uint64, length time.Duration) {
	r := rand.New(rand.NewPCG(seed, 3))
	for range hostFailures {
		h := p.hosts[r.IntN(len(p.hosts))]
		p.clock.after(time.Duration(r.Int64N(int64(length))), func() { p.failHost(h.Name) })
	}
}
