// Package route chooses the backend server of each attempt.
//
// Two or three entry hosts share the slots of each backend server without
// talking to each other about single requests. A table therefore estimates the
// free slots from its own attempts in flight and the load that others had when
// the server last reported, and picks the best of a few random candidates (the power
// of two choices, Mitzenmacher, IEEE TPDS 12(10), 2001), which keeps hosts with
// the same information from choosing the same server.
package route

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"fuchsiafront.example/fuchsiafront/fleet"
)

const (
	// reportHalfLife is the time in which the estimate of the load of others
	// moves half-way from the last report to the pool's mean.
	reportHalfLife = 300 * time.Millisecond
	// meanHalfLife is the time in which that mean falls by half while no
	// server of the pool reports. Without it, a host that last saw a full
	// pool would never try again.
	meanHalfLife = time.Second
	// leavingHold is how long a server that said it is leaving gets nothing
	// while the host list still shows it as live.
	leavingHold = 30 * time.Second
	// minFreeSlots is the least estimate at which a slot is taken to be free.
	minFreeSlots = 0.9
	// maxCandidates is the number of servers compared for each attempt. Four
	// instead of two lower the refusals for lack of slots by a fifth in
	// BenchmarkRefusedForSlots.
	maxCandidates = 4
)

// Server is one backend server as the host list, the ledger and the pools
// show it. Leaving servers get nothing new.
type Server struct {
	Name    string
	Address string
	Zone    fleet.AvailabilityZone
	Pool    string
	Slots   int
	// MaxInFlight bounds the attempts of this entry host at once; zero means
	// no bound but the slots.
	MaxInFlight int
	Leaving     bool
}

// LoadReport is what a server reported with a reply. SlotsFree is negative when it
// reported nothing.
type LoadReport struct {
	SlotsFree int
	Leaving   bool
}

// Table is the view of the backend servers of one entry host. It has one
// owner.
type Table struct {
	zone    fleet.AvailabilityZone
	random  *rand.Rand
	servers map[string]*server
	pools   map[string]*pool
}

type server struct {
	Server
	inFlight int
	// otherLoad is the load of other entry hosts at reportedAt.
	otherLoad    float64
	reportedAt   time.Time
	leavingUntil time.Time
	health       health
}

// pool holds the servers of one pool that are not leaving by the list, own
// zone first.
type pool struct {
	servers  []*server
	sameZone int
	// meanOtherLoad is the running mean of the load of other hosts on one server,
	// as of reportedAt.
	meanOtherLoad float64
	reportedAt    time.Time
}

// New returns an empty table of an entry host in zone. Random numbers come
// from r, which the table then owns.
func New(zone fleet.AvailabilityZone, r *rand.Rand) *Table {
	return &Table{zone: zone, random: r, servers: make(map[string]*server), pools: make(map[string]*pool)}
}

// SetServers replaces the set of servers. What is known of a server is kept
// while its address stays the same.
func (t *Table) SetServers(servers []Server) {
	byName := make(map[string]*server, len(servers))
	pools := make(map[string]*pool)
	for _, in := range servers {
		s, known := t.servers[in.Name]
		if !known || s.Address != in.Address {
			s = &server{}
		}
		s.Server = in
		byName[in.Name] = s
		if in.Leaving {
			continue
		}
		p := pools[in.Pool]
		if p == nil {
			p = t.poolOf(in.Pool)
			pools[in.Pool] = p
		}
		p.add(s, in.Zone == t.zone)
	}
	t.servers, t.pools = byName, pools
	for _, p := range pools {
		p.restoreExcessEjections()
	}
}

// poolOf returns an empty pool that keeps the running mean.
func (t *Table) poolOf(name string) *pool {
	if old := t.pools[name]; old != nil {
		return &pool{meanOtherLoad: old.meanOtherLoad, reportedAt: old.reportedAt}
	}
	return &pool{}
}

func (p *pool) add(s *server, own bool) {
	if !own {
		p.servers = append(p.servers, s)
		return
	}
	p.servers = slices.Insert(p.servers, p.sameZone, s)
	p.sameZone++
}

// currentMean returns the running mean of the load of other hosts on one server.
func (p *pool) currentMean(now time.Time) float64 {
	return p.meanOtherLoad * decay(now.Sub(p.reportedAt), meanHalfLife)
}

// estimateFree estimates the free slots of s; mean is the pool's mean now.
func (s *server) estimateFree(mean float64, now time.Time) float64 {
	weight := decay(now.Sub(s.reportedAt), reportHalfLife)
	others := weight*s.otherLoad + (1-weight)*mean
	free := float64(s.Slots-s.inFlight) - others
	if s.MaxInFlight > 0 {
		free = min(free, float64(s.MaxInFlight-s.inFlight))
	}
	return free
}

// decay returns what remains of a value after age.
func decay(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(max(0, age)) / float64(halfLife))
}

func (p *pool) estimateFree(s *server, now time.Time) float64 {
	return s.estimateFree(p.currentMean(now), now)
}

func (s *server) isUsable(now time.Time) bool {
	return !now.Before(s.leavingUntil) && s.health.isUsable(s.inFlight, now)
}

// Capacity returns the slots of a pool's usable servers and the estimate of
// how many are free.
func (t *Table) Capacity(name string, now time.Time) (slots, free int) {
	p := t.pools[name]
	if p == nil {
		return 0, 0
	}
	mean := p.currentMean(now)
	for _, s := range p.servers {
		if !s.isUsable(now) {
			continue
		}
		slots += s.Slots
		free += max(0, int(math.Floor(s.estimateFree(mean, now)+1-minFreeSlots)))
	}
	return slots, free
}

// Choose returns the server of the next attempt for a pool: of the own zone
// while one there has a free slot, then of the others. The server named avoid
// is taken only when there is no other. ok is false when no server is usable
// and has a free slot.
func (t *Table) Choose(name, avoid string, now time.Time) (chosen string, ok bool) {
	p := t.pools[name]
	if p == nil {
		return "", false
	}
	for _, group := range [][]*server{p.servers[:p.sameZone], p.servers[p.sameZone:]} {
		if best := t.bestServer(p, group, avoid, now); best != nil {
			return best.Name, true
		}
	}
	s, known := t.servers[avoid]
	if known && s.Pool == name && !s.Leaving && s.isUsable(now) && p.estimateFree(s, now) >= minFreeSlots {
		return avoid, true
	}
	return "", false
}

// bestServer compares the first usable servers with a free slot in a random order.
func (t *Table) bestServer(p *pool, group []*server, avoid string, now time.Time) *server {
	if len(group) == 0 {
		return nil
	}
	var best *server
	bestFree, seen := 0.0, 0
	mean := p.currentMean(now)
	// A random start and a step that is coprime to the length visit each
	// server once without a shuffled copy.
	at, step := t.random.IntN(len(group)), t.randomCoprimeStep(len(group))
	for range group {
		s := group[at]
		at = (at + step) % len(group)
		if s.Name == avoid || !s.isUsable(now) {
			continue
		}
		free := s.estimateFree(mean, now)
		if free < minFreeSlots {
			continue
		}
		if best == nil || free > bestFree {
			best, bestFree = s, free
		}
		if seen++; seen == maxCandidates {
			break
		}
	}
	return best
}

func (t *Table) randomCoprimeStep(n int) int {
	if n < 3 {
		return 1
	}
	for {
		step := 1 + t.random.IntN(n-1)
		if gcd(step, n) == 1 {
			return step
		}
	}
}

func gcd(a, b int) int {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

// AttemptStarted counts an attempt in flight.
func (t *Table) AttemptStarted(name string) {
	if s := t.servers[name]; s != nil {
		s.inFlight++
	}
}

// AttemptEnded records the end of an attempt that Started counted.
func (t *Table) AttemptEnded(name string, r Result, load LoadReport, now time.Time) {
	s := t.servers[name]
	if s == nil {
		return
	}
	s.inFlight = max(0, s.inFlight-1)
	p := t.pools[s.Pool]
	if load.Leaving {
		s.leavingUntil = now.Add(leavingHold)
	}
	if p == nil {
		return
	}
	if load.SlotsFree >= 0 {
		p.recordReport(s, load.SlotsFree, now)
	}
	s.health.record(r, now, r == Failed && p.mayEject(s))
}

// meanWeight is the weight of one report in the pool's running mean.
const meanWeight = 0.02

func (p *pool) recordReport(s *server, free int, now time.Time) {
	s.otherLoad = max(0, float64(s.Slots-free-s.inFlight))
	s.reportedAt = now
	p.meanOtherLoad += meanWeight * (s.otherLoad - p.meanOtherLoad)
	p.reportedAt = now
}

// IsLeaving reports whether a server is leaving or gone from the table.
func (t *Table) IsLeaving(name string, now time.Time) bool {
	s := t.servers[name]
	return s == nil || s.Leaving || now.Before(s.leavingUntil)
}

// InFlight returns the attempts in flight at a server.
func (t *Table) InFlight(name string) int {
	if s := t.servers[name]; s != nil {
		return s.inFlight
	}
	return 0
}
