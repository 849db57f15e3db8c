package measure

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/preset"
	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// samplePeriod is the time between two samples of the state.
const samplePeriod = 100 * time.Millisecond

// world is one run of one policy.
type world struct {
	clock   *clock
	d       deployment
	seed    uint64
	plain   bool
	start   time.Time
	length  time.Duration
	fleet   *platform
	hosts   []*entryHost
	limits  *limits
	planner *planner
	demand  *demand
	// running and waiting work by service and team.
	running [][]int
	waiting [][]int
	waits   []time.Duration
	urgent  []time.Duration
	count   counts
	sums    sums
	// inService are the slots of the hosts in service, by pool.
	inService map[string]int
}

type counts struct {
	arrived, done, moves, sent int
	reads, writes, changes     int
	refused, retried           map[fault.Reason]int
}

func newWorld(d deployment, p preset.Preset, s Settings, plain bool) *world {
	start := time.Unix(0, 0).UTC()
	w := &world{clock: &clock{now: start}, d: d, seed: s.Seed, plain: plain, start: start, length: s.length()}
	w.count.refused, w.count.retried = make(map[fault.Reason]int), make(map[fault.Reason]int)
	w.inService = make(map[string]int)
	for range d.servers {
		w.running = append(w.running, make([]int, len(d.teams)))
		w.waiting = append(w.waiting, make([]int, len(d.teams)))
	}
	w.fleet = newPlatform(w.clock, d, s.Seed)
	w.fleet.scheduleFailures(s.Seed, w.length)
	w.demand = newDemand(d, s.Seed, start, w.length)
	for i := range d.entryHosts {
		w.hosts = append(w.hosts, newEntryHost(w, i))
	}
	if !plain {
		w.limits = newLimits(w)
	}
	w.planner = newPlanner(w, p)
	w.planner.tellEntryHosts()
	return w
}

func (w *world) run() {
	w.clock.every(planPeriod, w.planner.round)
	w.clock.every(samplePeriod, w.sample)
	w.clock.every(arrivalTick, w.arrivals)
	w.clock.every(arrivalTick, func() {
		for _, h := range w.hosts {
			h.tick()
		}
	})
	w.clock.run(w.start.Add(w.length))
}

func (w *world) arrivals() {
	for _, r := range w.demand.draw(w.clock.now) {
		w.clock.after(r.arrived.Sub(w.clock.now), func() {
			w.waiting[r.service][r.team]++
			w.hosts[r.host].arrive(r)
		})
	}
}

func (w *world) refuse(r *request, reason fault.Reason) {
	w.waiting[r.service][r.team]--
	w.count.refused[reason]++
}

// started counts a request that a backend server began. A retry after a
// failure counts its waiting time only once.
func (w *world) started(r *request) {
	w.running[r.service][r.team]++
	w.waiting[r.service][r.team]--
	if r.failures > 0 {
		return
	}
	wait := w.clock.now.Sub(r.arrived)
	switch w.d.teams[r.team].class {
	case fleet.ClassInteractive:
		w.waits = append(w.waits, wait)
	case fleet.ClassUrgent:
		w.urgent = append(w.urgent, wait)
	}
}

// peers returns the other entry hosts.
func (w *world) peers(self int) []rights.Holder {
	var list []rights.Holder
	for i := range w.hosts[self].heard {
		if i != self {
			list = append(list, holder(i))
		}
	}
	return list
}
