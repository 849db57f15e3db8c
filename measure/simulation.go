package measure

import (
	"time"

	"fuchsiafront.example/fuchsiafront/decision/rights"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

// samplePeriod is the time between two samples of the state.
const samplePeriod = 100 * time.Millisecond

// simulation replays one run with one policy.
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
	// running and waiting count requests by service and team.
	running          [][]int
	waiting          [][]int
	interactiveWaits []time.Duration
	urgentWaits      []time.Duration
	counts           counts
	sums             sums
	// slotsInService is the number of slots on hosts in service, by pool.
	slotsInService map[string]int
}

type counts struct {
	arrived, done, moves, rightsSent   int
	rowReads, rowWrites, ledgerChanges int
	refused, retried                   map[fault.Reason]int
}

func newSimulation(d deployment, p Parameters, s Settings, baseline bool) *simulation {
	start := time.Unix(0, 0).UTC()
	sim := &simulation{clock: &virtualClock{now: start}, deployment: d, seed: s.Seed, baseline: baseline, start: start, length: s.length()}
	sim.counts.refused, sim.counts.retried = make(map[fault.Reason]int), make(map[fault.Reason]int)
	sim.slotsInService = make(map[string]int)
	for range d.servers {
		sim.running = append(sim.running, make([]int, len(d.teams)))
		sim.waiting = append(sim.waiting, make([]int, len(d.teams)))
	}
	sim.platform = newPlatform(sim.clock, d, s.Seed)
	sim.platform.scheduleFailures(s.Seed, sim.length)
	sim.demand = newDemandGenerator(d, s.Seed, start, sim.length)
	for i := range d.entryHosts {
		sim.entryHosts = append(sim.entryHosts, newEntryHost(sim, i))
	}
	if !baseline {
		sim.balancer = newRightsBalancer(sim)
	}
	sim.planner = newPlanner(sim, p)
	sim.planner.updateRoutingTables()
	return sim
}

func (sim *simulation) run() {
	sim.clock.every(planPeriod, sim.planner.round)
	sim.clock.every(samplePeriod, sim.sample)
	sim.clock.every(arrivalTick, sim.scheduleArrivals)
	sim.clock.every(arrivalTick, func() {
		for _, h := range sim.entryHosts {
			h.tick()
		}
	})
	sim.clock.run(sim.start.Add(sim.length))
}

func (sim *simulation) scheduleArrivals() {
	for _, r := range sim.demand.draw(sim.clock.now) {
		sim.clock.after(r.arrived.Sub(sim.clock.now), func() {
			sim.waiting[r.service][r.team]++
			sim.entryHosts[r.entryHost].admit(r)
		})
	}
}

func (sim *simulation) recordRefusal(r *request, reason fault.Reason) {
	sim.waiting[r.service][r.team]--
	sim.counts.refused[reason]++
}

// recordStart counts a request that a backend server started. Retries after a
// failed attempt add no further waiting time.
func (sim *simulation) recordStart(r *request) {
	sim.running[r.service][r.team]++
	sim.waiting[r.service][r.team]--
	if r.failures > 0 {
		return
	}
	wait := sim.clock.now.Sub(r.arrived)
	switch sim.deployment.teams[r.team].class {
	case fleet.ClassInteractive:
		sim.interactiveWaits = append(sim.interactiveWaits, wait)
	case fleet.ClassUrgent:
		sim.urgentWaits = append(sim.urgentWaits, wait)
	}
}

// peers returns the rights holders of all entry hosts but self.
func (sim *simulation) peers(self int) []rights.Holder {
	var holders []rights.Holder
	for i := range sim.entryHosts[self].peerLoads {
		if i != self {
			holders = append(holders, holder(i))
		}
	}
	return holders
}
