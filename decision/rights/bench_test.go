package rights_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/rights"
)

// The simulated load: the queues of one team burst in turn, each for burstTime
// at burstFactor times its mean and at idleFactor times its mean in between,
// and the callers of a queue come in at spread entry hosts. At its peak the
// team asks for more than its limit.
const (
	simStep     = 5 * time.Millisecond
	simLength   = 5 * time.Minute
	simHosts    = 8
	simQueues   = 5
	simLimit    = 160
	burstFactor = 5
	idleFactor  = 0.05
	burstTime   = 6 * time.Second
	runTime     = 200 * time.Millisecond
	maxWait     = time.Second
	// offered is the concurrency asked for, as a multiple of the limit.
	offered = 1.3
	// callSteps is the latency of a call to the platform.
	callSteps = 1
	// simPeriod is how often a host with idle rights reads the row.
	simPeriod = 200 * time.Millisecond
)

// grants decides at which host a request may start.
type grants interface {
	acquire(now time.Time, host int) bool
	release(now time.Time, host int)
	step(now time.Time, waiting []int)
}

// central is the bound: one counter that every host sees without delay.
type central struct{ used int }

func (c *central) acquire(time.Time, int) bool {
	if c.used == simLimit {
		return false
	}
	c.used++
	return true
}
func (c *central) release(time.Time, int) { c.used-- }
func (c *central) step(time.Time, []int)  {}

// static splits the limit evenly over the hosts.
type static struct{ used [simHosts]int }

func (s *static) acquire(_ time.Time, host int) bool {
	if s.used[host] == simLimit/simHosts {
		return false
	}
	s.used[host]++
	return true
}
func (s *static) release(_ time.Time, host int) { s.used[host]-- }
func (s *static) step(time.Time, []int)         {}

// moving runs the ledgers of this package with the timing of the service.
type moving struct {
	rng     *rand.Rand
	row     rights.Row
	version uint64
	writes  int
	nodes   [simHosts]*node
}

type node struct {
	ledger  *rights.Ledger
	holder  rights.Holder
	next    time.Time
	backoff time.Duration
	retry   time.Time
	plan    *rights.Plan
	due     int
}

func newMoving(rng *rand.Rand, now time.Time) *moving {
	m := &moving{rng: rng}
	for i := range m.nodes {
		h := rights.Holder{Host: fmt.Sprintf("h%d", i), Incarnation: 1}
		m.nodes[i] = &node{ledger: rights.NewLedger(h, now), holder: h}
	}
	return m
}

func (m *moving) acquire(now time.Time, host int) bool {
	return m.nodes[host].ledger.Acquire(now, team, 1) == ""
}

func (m *moving) release(now time.Time, host int) { m.nodes[host].ledger.Release(now, team, 1) }

func (m *moving) step(now time.Time, waiting []int) {
	for i, n := range m.nodes {
		n.ledger.SetWaiting(now, team, waiting[i])
	}
	for i, n := range m.nodes {
		m.balance(now, i, n)
	}
}

// balance reads in one step and writes callSteps later.
func (m *moving) balance(now time.Time, i int, n *node) {
	if n.plan != nil {
		if n.due--; n.due == 0 {
			m.commit(now, n)
		}
		return
	}
	hungry := n.ledger.Hungry(team) && !now.Before(n.retry)
	if !hungry && now.Before(n.next) {
		return
	}
	n.next = now.Add(simPeriod - time.Duration(m.rng.Int64N(int64(simPeriod/4))))
	n.backoff = min(320*time.Millisecond, max(20*time.Millisecond, 2*n.backoff))
	n.retry = now.Add(n.backoff - time.Duration(m.rng.Int64N(int64(n.backoff/4))))
	if !n.ledger.Hungry(team) {
		n.backoff = 0
	}
	s := rights.Survey{
		Team: team, Version: m.version, Row: m.row, ReadStart: now,
		Limit: rights.Limit{Rights: simLimit, Revision: 1}, Hosts: simHosts,
	}
	for j, peer := range m.nodes {
		if j != i {
			s.Peers = append(s.Peers, peer.holder)
		}
	}
	if p := n.ledger.Prepare(now, s); p.Cause != rights.CauseNone {
		n.plan, n.due = &p, callSteps
	}
}

func (m *moving) commit(now time.Time, n *node) {
	p := *n.plan
	n.plan = nil
	if p.Version != m.version {
		n.ledger.Settle(p, rights.Refused, 0, now)
		n.next = now
		return
	}
	m.row = p.Row
	m.version++
	m.writes++
	if p.Taken > 0 {
		n.backoff, n.retry = 0, now
	}
	n.ledger.Settle(p, rights.Committed, m.version, now)
}

// figures are the results of one simulation.
type figures struct {
	// admitted is the share of the requests that started in time; used is the
	// mean share of the limit that was running during bursts.
	admitted, used float64
	peak           int
}

// simulate runs the load of one seed; every scheme sees the same arrivals.
func simulate(seed uint64, spread int, g grants) figures {
	rng := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(1000, 0)
	end := now.Add(simLength)
	waiting := make([][]time.Time, simHosts)
	ends := make([][]time.Time, simHosts)
	var arrived, started, running, samples, peak int
	var sum float64
	mean := offered * simLimit / (burstFactor + idleFactor*(simQueues-1))
	for ; now.Before(end); now = now.Add(simStep) {
		bursting := int(now.Unix()/int64(burstTime/time.Second)) % simQueues
		for q := range simQueues {
			factor := idleFactor
			if q == bursting {
				factor = burstFactor
			}
			for range poisson(rng, mean*factor*float64(simStep)/float64(runTime)) {
				host := (q*simHosts/simQueues + rng.IntN(spread)) % simHosts
				waiting[host] = append(waiting[host], now)
				arrived++
			}
		}
		counts := make([]int, simHosts)
		for h := range simHosts {
			for len(ends[h]) > 0 && !now.Before(ends[h][0]) {
				ends[h] = ends[h][1:]
				running--
				g.release(now, h)
			}
			for len(waiting[h]) > 0 && now.Sub(waiting[h][0]) > maxWait {
				waiting[h] = waiting[h][1:]
			}
			for len(waiting[h]) > 0 && g.acquire(now, h) {
				waiting[h] = waiting[h][1:]
				ends[h] = append(ends[h], now.Add(runTime))
				running++
				started++
			}
			counts[h] = len(waiting[h])
		}
		g.step(now, counts)
		peak = max(peak, running)
		sum += float64(running) / simLimit
		samples++
	}
	return figures{admitted: float64(started) / float64(arrived), used: sum / float64(samples), peak: peak}
}

// poisson draws from a Poisson distribution (Knuth, TAOCP vol. 2, 3.4.1).
func poisson(rng *rand.Rand, mean float64) int {
	limit, product, n := math.Exp(-mean), rng.Float64(), 0
	for product > limit {
		product *= rng.Float64()
		n++
	}
	return n
}

const simSeed = 20261204

// Guards against rights that follow bursts no better than a static split, and
// against more running than the limit; it logs the figures of the run.
func TestBurstsNearLimit(t *testing.T) {
	for _, spread := range []int{1, 2, 4} {
		rng := rand.New(rand.NewPCG(simSeed, 2))
		m := newMoving(rng, time.Unix(1000, 0))
		best := simulate(simSeed, spread, &central{})
		moved := simulate(simSeed, spread, m)
		split := simulate(simSeed, spread, &static{})
		t.Logf("callers at %d hosts: of the limit in use: one counter %.3f, rights %.3f, static split %.3f; peak %d of %d; %.2f writes/s",
			spread, best.used, moved.used, split.used, moved.peak, simLimit, float64(m.writes)/simLength.Seconds())
		assert.Assert(t, moved.peak <= simLimit)
		assert.Assert(t, moved.used > split.used)
		assert.Assert(t, moved.used <= best.used)
	}
}

// BenchmarkBursts reports the part of the limit in use under moving bursts.
func BenchmarkBursts(b *testing.B) {
	for b.Loop() {
		m := newMoving(rand.New(rand.NewPCG(simSeed, 2)), time.Unix(1000, 0))
		b.ReportMetric(simulate(simSeed, 1, m).used, "rights/limit")
		b.ReportMetric(simulate(simSeed, 1, &static{}).used, "static/limit")
		b.ReportMetric(simulate(simSeed, 1, &central{}).used, "counter/limit")
	}
}

// BenchmarkAcquire measures the decision that runs for every request.
func BenchmarkAcquire(b *testing.B) {
	now := time.Unix(1000, 0)
	self := rights.Holder{Host: "a", Incarnation: 1}
	l := rights.NewLedger(self, now)
	row, _ := rights.Row{Limit: rights.Limit{Rights: 8, Revision: 1}}.Take(self, 8)
	l.Observe(team, 1, row, now)
	for b.Loop() {
		if l.Acquire(now, team, 1) != "" {
			b.Fatal("refused")
		}
		l.Release(now, team, 1)
	}
}
