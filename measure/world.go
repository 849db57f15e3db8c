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

// simulation is one run of one policy.
type simulation struct {
	clock      *virtualClock
	deployment deployment
	seed       uint64
	baseline   bool
	start      time.Time
	length     time.Duration
	platform   *platform
	entryHosts []*entryHost
	balancer   *rightsBalancer
	planner    *planner
	demand     *demandGenerator
	// running and waiting work by service and team.
	running          [][]int
	waiting          [][]int
	interactiveWaits []time.Duration
	urgentWaits      []time.Duration
	counts           counts
	sums             sums
	// slotsInService are the slots of the hosts in service, by pool.
	slotsInService map[string]int
}

type counts struct {
	arrived, done, moves, rightsSent   int
	rowReads, rowWrites, ledgerChanges int
	refused, retried                   map[fault.Reason]int
}

func newSimulation(d deployment, p preset.Preset, s Settings, plain bool) *simulation {
	start := time.Unix(0, 0).UTC()
	w := &simulation{clock: &virtualClock{now: start}, deployment: d, seed: s.Seed, baseline: plain, start: start, length: s.length()}
	w.counts.refused, w.counts.retried = make(map[fault.Reason]int), make(map[fault.Reason]int)
	w.slotsInService = make(map[string]int)
	for range d.servers {
		w.running = append(w.running, make([]int, len(d.teams)))
		w.waiting = append(w.waiting, make([]int, len(d.teams)))
	}
	w.platform = newPlatform(w.clock, d, s.Seed)
	w.platform.scheduleFailures(s.Seed, w.length)
	w.demand = newDemandGenerator(d, s.Seed, start, w.length)
	for i := range d.entryHosts {
		w.entryHosts = append(w.entryHosts, newEntryHost(w, i))
	}
	if !plain {
		w.balancer = newRightsBalancer(w)
	}
	w.planner = newPlanner(w, p)
	w.planner.updateRoutingTables()
	return w
}

func (w *simulation) run() {
	w.clock.every(planPeriod, w.planner.round)
	w.clock.every(samplePeriod, w.sample)
	w.clock.every(arrivalTick, w.scheduleArrivals)
	w.clock.every(arrivalTick, func() {
		for _, h := range w.entryHosts {
			h.tick()
		}
	})
	w.clock.run(w.start.Add(w.length))
}

func (w *simulation) scheduleArrivals() {
	for _, r := range w.demand.draw(w.clock.now) {
		w.clock.after(r.arrived.Sub(w.clock.now), func() {
			w.waiting[r.service][r.team]++
			w.entryHosts[r.entryHost].admit(r)
		})
	}
}

func (w *simulation) recordRefusal(r *request, reason fault.Reason) {
	w.waiting[r.service][r.team]--
	w.counts.refused[reason]++
}

// recordStart counts a request that a backend server began. A retry after a
// failure counts its waiting time only once.
func (w *simulation) recordStart(r *request) {
	w.running[r.service][r.team]++
	w.waiting[r.service][r.team]--
	if r.failures > 0 {
		return
	}
	wait := w.clock.now.Sub(r.arrived)
	switch w.deployment.teams[r.team].class {
	case fleet.ClassInteractive:
		w.interactiveWaits = append(w.interactiveWaits, wait)
	case fleet.ClassUrgent:
		w.urgentWaits = append(w.urgentWaits, wait)
	}
}

// peers returns the other entry hosts.
func (w *simulation) peers(self int) []rights.Holder {
	var list []rights.Holder
	for i := range w.entryHosts[self].peerLoads {
		if i != self {
			list = append(list, holder(i))
		}
	}
	return list
}
