package measure

import (
	"math/rand/v2"
	"time"

	"fuchsiafront.example/fuchsiafront/decision/route"
	"fuchsiafront.example/fuchsiafront/fault"
	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	// zoneLatency is the one-way time between availability zones, ownLatency
	// that within one.
	zoneLatency = 500 * time.Microsecond
	ownLatency  = 100 * time.Microsecond
	// maxPutBacks bounds the attempts that a server refused as not run.
	maxPutBacks = 8
	// maxFailures bounds the attempts that failed.
	maxFailures = 3
	// exchangePeriod is the time between two exchanges with a peer.
	exchangePeriod = 400 * time.Millisecond
)

// entryHost admits and routes requests.
type entryHost struct {
	w     *world
	index int
	zone  fleet.AvailabilityZone
	line  admission
	table *route.Table
	// heard is the running and waiting work by team that each peer reported.
	heard [][]load
}

type load struct{ running, waiting int }

func newEntryHost(w *world, index int) *entryHost {
	zone := w.d.zones[index%len(w.d.zones)]
	h := &entryHost{
		w: w, index: index, zone: zone,
		table: route.New(zone, rand.New(rand.NewPCG(w.seed, uint64(100+index)))),
		heard: make([][]load, w.d.entryHosts),
	}
	for i := range h.heard {
		h.heard[i] = make([]load, len(w.d.teams))
	}
	if w.plain {
		h.line = newPlain(w.d)
		return h
	}
	h.line = newFair(w.d, holder(index), w.clock.now, func(team int) { w.limits.lack(index, team) })
	w.clock.after(time.Duration(index)*exchangePeriod/time.Duration(w.d.entryHosts), func() { h.exchange(0) })
	return h
}

// exchange tells and asks the next peer about running work.
func (h *entryHost) exchange(turn int) {
	peer := (h.index + 1 + turn%(h.w.d.entryHosts-1)) % h.w.d.entryHosts
	h.hear(h.w.hosts[peer])
	h.w.hosts[peer].hear(h)
	h.w.clock.after(exchangePeriod, func() { h.exchange(turn + 1) })
}

func (h *entryHost) hear(from *entryHost) {
	use := make(map[string]int, len(h.w.d.teams))
	for t, team := range h.w.d.teams {
		running, waiting := from.line.work(t)
		h.heard[from.index][t] = load{running, waiting}
		for _, peer := range h.heard {
			use[team.name] += peer[t].running
		}
	}
	h.line.(*fair).set.SetPeerRunning(use)
}

func (h *entryHost) arrive(r *request) {
	h.w.count.arrived++
	if reason := h.line.admit(r, h.w.clock.now); reason != "" {
		h.w.refuse(r, reason)
		return
	}
	h.dispatch(r.service)
}

func (h *entryHost) dispatchAll() {
	for s := range h.w.d.servers {
		if h.line.waits(s) {
			h.dispatch(s)
		}
	}
}

// dispatch starts what it can of one service.
func (h *entryHost) dispatch(service int) {
	pool := serviceName(service)
	for {
		now := h.w.clock.now
		slots, free := h.table.Capacity(pool, now)
		r := h.line.next(service, slots, free, now)
		if r == nil {
			return
		}
		name, ok := h.table.Choose(pool, r.server, now)
		if !ok {
			h.line.putBack(r, now)
			return
		}
		h.send(r, name)
	}
}

func (h *entryHost) send(r *request, name string) {
	s := h.w.fleet.byName[name]
	r.server = name
	h.table.AttemptStarted(name)
	latency := zoneLatency
	if s.Zone == h.zone {
		latency = ownLatency
	}
	h.w.clock.after(latency, func() { h.reach(r, s, latency) })
}

// reach is the arrival of a request at a backend server.
func (h *entryHost) reach(r *request, s *host, latency time.Duration) {
	switch {
	case s.Phase == fleet.PhaseFailed || s.away:
		h.w.clock.after(latency, func() { h.fail(r) })
	case s.Phase == fleet.PhaseLeaving:
		h.w.clock.after(latency, func() { h.notRun(r, route.LoadReport{Leaving: true, SlotsFree: -1}, fault.ReasonLeaving) })
	case s.used >= s.Slots:
		h.w.clock.after(latency, func() { h.notRun(r, route.LoadReport{}, fault.ReasonNoSlots) })
	default:
		s.used++
		h.w.started(r)
		failures := s.failures
		h.w.clock.after(r.work, func() { h.finish(r, s, failures, latency) })
	}
}

func (h *entryHost) finish(r *request, s *host, failures int, latency time.Duration) {
	h.w.running[r.service][r.team]--
	if s.failures != failures {
		h.fail(r)
		return
	}
	s.used--
	free := s.Slots - s.used
	h.w.clock.after(latency, func() {
		h.table.AttemptEnded(s.Name, route.Succeeded, route.LoadReport{SlotsFree: free}, h.w.clock.now)
		h.w.count.done++
		h.line.ended(r, h.w.clock.now)
		h.dispatchAll()
	})
}

// notRun puts a refused request back.
func (h *entryHost) notRun(r *request, l route.LoadReport, reason fault.Reason) {
	now := h.w.clock.now
	h.table.AttemptEnded(r.server, route.Refused, l, now)
	h.w.count.retried[reason]++
	if r.noSlots++; r.noSlots > maxPutBacks {
		h.line.ended(r, now)
		h.w.refuse(r, reason)
		return
	}
	h.line.putBack(r, now)
	h.dispatch(r.service)
}

// fail retries a request whose connection broke; all requests count as
// idempotent.
func (h *entryHost) fail(r *request) {
	now := h.w.clock.now
	h.table.AttemptEnded(r.server, route.Failed, route.LoadReport{SlotsFree: -1}, now)
	h.w.count.retried[fault.ReasonConnectionLost]++
	if r.failures++; r.failures >= maxFailures {
		h.line.ended(r, now)
		h.w.refuse(r, fault.ReasonConnectionLost)
		return
	}
	h.line.putBack(r, now)
	h.dispatch(r.service)
}

// tick expires deadlines and tries again what found no free slot.
func (h *entryHost) tick() {
	for _, r := range h.line.expire(h.w.clock.now) {
		h.w.refuse(r, fault.ReasonDeadline)
	}
	h.dispatchAll()
}
