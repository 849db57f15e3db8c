package measure

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// burstDuration is the length of a burst. The queues of each service burst in
	// turn, so that five services take 40 s for a cycle.
	burstDuration = 8 * time.Second
	// burstFactor and lullFactor are parts of the mean demand; with five
	// services in turn they average close to one.
	burstFactor = 5.0
	lullFactor  = 0.05
	// burstLoad is the demand in a burst as a part of what the pool holds.
	burstLoad = 1.3
	// shiftFactor is by how much the demand of one service is raised in the
	// middle third of a run.
	shiftFactor = 2.5
	// minWork and maxWork bound the time that a request takes; its logarithm
	// is uniform between them.
	minWork = 100 * time.Millisecond
	maxWork = time.Second
	// arrivalTick is the step in which arrivals are drawn.
	arrivalTick = 50 * time.Millisecond
	// hotFraction of a team's demand in one burst arrives at hotHostCount entry hosts.
	hotFraction  = 0.6
	hotHostCount = 2
	// maxWaiting bounds each queue on one entry host.
	maxWaiting = 64
)

// request is one request of a caller.
type request struct {
	team, service int
	entryHost     int
	arrived       time.Time
	deadline      time.Time
	work          time.Duration
	// refusals and failures count attempts that were refused and that broke;
	// server is that of the last attempt.
	refusals   int
	failures   int
	lastServer string
}

// demandGenerator draws arrivals. Its random numbers do not depend on decisions, so
// that all policies of a run see the same demand.
type demandGenerator struct {
	deployment     deployment
	random         *rand.Rand
	start          time.Time
	length         time.Duration
	shiftedService int
	burst          int
	hotHosts       [][]int
}

func newDemandGenerator(d deployment, seed uint64, start time.Time, length time.Duration) *demandGenerator {
	r := rand.New(rand.NewPCG(seed, 1))
	return &demandGenerator{deployment: d, random: r, start: start, length: length, shiftedService: r.IntN(len(d.servers)), burst: -1, hotHosts: make([][]int, len(d.teams))}
}

// draw returns the arrivals from now until the next tick.
func (g *demandGenerator) draw(now time.Time) []*request {
	g.startBurst(now)
	var list []*request
	for s := range g.deployment.servers {
		rate := g.rate(s, now)
		for t, team := range g.deployment.teams {
			for range poisson(g.random, rate*team.demandFraction*arrivalTick.Seconds()) {
				list = append(list, g.request(s, t, now))
			}
		}
	}
	return list
}

// startBurst chooses where the callers of each team arrive in a new burst.
func (g *demandGenerator) startBurst(now time.Time) {
	n := int(now.Sub(g.start) / burstDuration)
	if n == g.burst {
		return
	}
	g.burst = n
	for t := range g.hotHosts {
		g.hotHosts[t] = g.random.Perm(g.deployment.entryHosts)[:hotHostCount]
	}
}

func (g *demandGenerator) burstingService() int { return g.burst % len(g.deployment.servers) }

// rate returns the requests per second of a service.
func (g *demandGenerator) rate(s int, now time.Time) float64 {
	slots := float64(g.deployment.servers[s] * slotsPerServer)
	mean := burstLoad / burstFactor * slots / meanWork.Seconds()
	if s == g.shiftedService && g.inShift(now) {
		mean *= shiftFactor
	}
	if s == g.burstingService() {
		return mean * burstFactor
	}
	return mean * lullFactor
}

// inShift reports whether now is in the middle third of the run.
func (g *demandGenerator) inShift(now time.Time) bool {
	at := now.Sub(g.start)
	return at >= g.length/3 && at < 2*g.length/3
}

// meanWork is the mean of the log-uniform distribution of work.
var meanWork = time.Duration(float64(maxWork-minWork) / math.Log(float64(maxWork)/float64(minWork)))

func (g *demandGenerator) request(s, t int, now time.Time) *request {
	at := now.Add(time.Duration(g.random.Int64N(int64(arrivalTick))))
	work := float64(minWork) * math.Pow(float64(maxWork)/float64(minWork), g.random.Float64())
	host := g.random.IntN(g.deployment.entryHosts)
	if hot := g.random.Float64() < hotFraction; hot && s == g.burstingService() {
		host = g.hotHosts[t][g.random.IntN(hotHostCount)]
	}
	return &request{
		team: t, service: s, entryHost: host, arrived: at,
		deadline: at.Add(g.deployment.teams[t].startTimeout()), work: time.Duration(work),
	}
}

// poisson draws a Poisson number (Knuth, The Art of Computer Programming,
// volume 2, 3.4.1).
func poisson(r *rand.Rand, mean float64) int {
	limit, p, n := math.Exp(-mean), r.Float64(), 0
	for p > limit {
		p *= r.Float64()
		n++
	}
	return n
}
