package measure

import (
	"math/rand/v2"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/route"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	// crossZoneLatency and sameZoneLatency are the one-way latencies between
	// availability zones and within one.
	crossZoneLatency = 500 * time.Microsecond
	sameZoneLatency  = 100 * time.Microsecond
	// maxRefusals bounds the retries after a server refused a request unrun.
	maxRefusals = 8
	// maxFailures is the number of failed attempts after which a request fails.
	maxFailures = 3
	// exchangePeriod is the time between two exchanges, each with the next peer.
	exchangePeriod = 400 * time.Millisecond
)

// entryHost simulates an entry host that admits and routes requests.
type entryHost struct {
	sim       *simulation
	index     int
	zone      fleet.AvailabilityZone
	admission admission
	table     *route.Table
	// peerLoads is the last load that each peer reported, by team.
	peerLoads [][]load
}

// load counts the requests of one team on one entry host.
type load struct{ running, waiting int }

func newEntryHost(sim *simulation, index int) *entryHost {
	zone := sim.deployment.zones[index%len(sim.deployment.zones)]
	h := &entryHost{
		sim: sim, index: index, zone: zone,
		table:     route.New(zone, rand.New(rand.NewPCG(sim.seed, uint64(100+index)))),
		peerLoads: make([][]load, sim.deployment.entryHosts),
	}
	for i := range h.peerLoads {
		h.peerLoads[i] = make([]load, len(sim.deployment.teams))
	}
	if sim.baseline {
		h.admission = newFIFOAdmission(sim.deployment)
		return h
	}
	h.admission = newFairAdmission(sim.deployment, holder(index), sim.clock.now, func(team int) { sim.balancer.scheduleBalance(index, team) })
	sim.clock.after(time.Duration(index)*exchangePeriod/time.Duration(sim.deployment.entryHosts), func() { h.exchange(0) })
	return h
}

// exchange swaps load reports with the next peer, in rotation.
func (h *entryHost) exchange(round int) {
	peer := (h.index + 1 + round%(h.sim.deployment.entryHosts-1)) % h.sim.deployment.entryHosts
	h.recordLoad(h.sim.entryHosts[peer])
	h.sim.entryHosts[peer].recordLoad(h)
	h.sim.clock.after(exchangePeriod, func() { h.exchange(round + 1) })
}

func (h *entryHost) recordLoad(from *entryHost) {
	runningByTeam := make(map[string]int, len(h.sim.deployment.teams))
	for t, team := range h.sim.deployment.teams {
		running, waiting := from.admission.teamLoad(t)
		h.peerLoads[from.index][t] = load{running, waiting}
		for _, peer := range h.peerLoads {
			runningByTeam[team.name] += peer[t].running
		}
	}
	h.admission.(*fairAdmission).scheduler.SetPeerRunning(runningByTeam)
}

func (h *entryHost) admit(r *request) {
	h.sim.counts.arrived++
	if reason := h.admission.admit(r, h.sim.clock.now); reason != "" {
		h.sim.recordRefusal(r, reason)
		return
	}
	h.dispatch(r.service)
}

func (h *entryHost) dispatchAll() {
	for s := range h.sim.deployment.servers {
		if h.admission.hasWaiting(s) {
			h.dispatch(s)
		}
	}
}

// dispatch sends as many requests of a service as slots and limits allow.
func (h *entryHost) dispatch(service int) {
	pool := serviceName(service)
	for {
		now := h.sim.clock.now
		slots, free := h.table.Capacity(pool, now)
		r := h.admission.next(service, slots, free, now)
		if r == nil {
			return
		}
		name, ok := h.table.Choose(pool, r.lastServer, now)
		if !ok {
			h.admission.requeue(r, now)
			return
		}
		h.send(r, name)
	}
}

func (h *entryHost) send(r *request, name string) {
	s := h.sim.platform.byName[name]
	r.lastServer = name
	h.table.AttemptStarted(name)
	latency := crossZoneLatency
	if s.Zone == h.zone {
		latency = sameZoneLatency
	}
	h.sim.clock.after(latency, func() { h.arriveAtServer(r, s, latency) })
}

// arriveAtServer handles the arrival of a request at a backend server.
func (h *entryHost) arriveAtServer(r *request, s *host, latency time.Duration) {
	switch {
	case s.Phase == fleet.PhaseFailed || s.rebooting:
		h.sim.clock.after(latency, func() { h.retryFailed(r) })
	case s.Phase == fleet.PhaseLeaving:
		h.sim.clock.after(latency, func() { h.retryRefused(r, route.LoadReport{Leaving: true, SlotsFree: -1}, fault.ReasonLeaving) })
	case s.usedSlots >= s.Slots:
		h.sim.clock.after(latency, func() { h.retryRefused(r, route.LoadReport{}, fault.ReasonNoSlots) })
	default:
		s.usedSlots++
		h.sim.recordStart(r)
		failures := s.failures
		h.sim.clock.after(r.work, func() { h.finish(r, s, failures, latency) })
	}
}

func (h *entryHost) finish(r *request, s *host, failures int, latency time.Duration) {
	h.sim.running[r.service][r.team]--
	if s.failures != failures {
		h.retryFailed(r)
		return
	}
	s.usedSlots--
	free := s.Slots - s.usedSlots
	h.sim.clock.after(latency, func() {
		h.table.AttemptEnded(s.Name, route.Succeeded, route.LoadReport{SlotsFree: free}, h.sim.clock.now)
		h.sim.counts.done++
		h.admission.requestEnded(r, h.sim.clock.now)
		h.dispatchAll()
	})
}

// retryRefused requeues a request that a server refused, or refuses it after
// maxRefusals.
func (h *entryHost) retryRefused(r *request, l route.LoadReport, reason fault.Reason) {
	now := h.sim.clock.now
	h.table.AttemptEnded(r.lastServer, route.Refused, l, now)
	h.sim.counts.retried[reason]++
	if r.refusals++; r.refusals > maxRefusals {
		h.admission.requestEnded(r, now)
		h.sim.recordRefusal(r, reason)
		return
	}
	h.admission.requeue(r, now)
	h.dispatch(r.service)
}

// retryFailed requeues a request whose connection failed, or refuses it after
// maxFailures. All requests count as idempotent.
func (h *entryHost) retryFailed(r *request) {
	now := h.sim.clock.now
	h.table.AttemptEnded(r.lastServer, route.Failed, route.LoadReport{SlotsFree: -1}, now)
	h.sim.counts.retried[fault.ReasonConnectionLost]++
	if r.failures++; r.failures >= maxFailures {
		h.admission.requestEnded(r, now)
		h.sim.recordRefusal(r, fault.ReasonConnectionLost)
		return
	}
	h.admission.requeue(r, now)
	h.dispatch(r.service)
}

// tick refuses requests past their deadline and retries those that found no
// free slot.
func (h *entryHost) tick() {
	for _, r := range h.admission.expire(h.sim.clock.now) {
		h.sim.recordRefusal(r, fault.ReasonDeadline)
	}
	h.dispatchAll()
}
