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
	// offeredLoad is the concurrency asked for, as a multiple of the limit.
	offeredLoad = 1.3
	// callLatencySteps is the latency of a call to the platform.
	callLatencySteps = 1
	// simReadPeriod is how often a host with idle rights reads the row.
	simReadPeriod = 200 * time.Millisecond
)

// limiter decides at which host a request may start.
type limiter interface {
	acquire(now time.Time, host int) bool
	release(now time.Time, host int)
	step(now time.Time, waiting []int)
}

// centralCounter is the bound: one counter that every host sees without delay.
type centralCounter struct{ used int }

func (c *centralCounter) acquire(time.Time, int) bool {
	if c.used == simLimit {
		return false
	}
	c.used++
	return true
}
func (c *centralCounter) release(time.Time, int) { c.used-- }
func (c *centralCounter) step(time.Time, []int)  {}

// staticSplit splits the limit evenly over the hosts.
type staticSplit struct{ used [simHosts]int }

func (s *staticSplit) acquire(_ time.Time, host int) bool {
	if s.used[host] == simLimit/simHosts {
		return false
	}
	s.used[host]++
	return true
}
func (s *staticSplit) release(_ time.Time, host int) { s.used[host]-- }
func (s *staticSplit) step(time.Time, []int)         {}

// ledgerLimiter runs the ledgers of this package with the timing of the service.
type ledgerLimiter struct {
	rng     *rand.Rand
	row     rights.Row
	version uint64
	writes  int
	hosts   [simHosts]*simHost
}

type simHost struct {
	ledger        *rights.Ledger
	holder        rights.Holder
	nextRead      time.Time
	backoff       time.Duration
	retryAt       time.Time
	plan          *rights.Plan
	stepsToCommit int
}

func newLedgerLimiter(rng *rand.Rand, now time.Time) *ledgerLimiter {
	m := &ledgerLimiter{rng: rng}
	for i := range m.hosts {
		h := rights.Holder{Host: fmt.Sprintf("h%d", i), Incarnation: 1}
		m.hosts[i] = &simHost{ledger: rights.NewLedger(h, now), holder: h}
	}
	return m
}

func (m *ledgerLimiter) acquire(now time.Time, host int) bool {
	return m.hosts[host].ledger.Acquire(now, team, 1) == ""
}

func (m *ledgerLimiter) release(now time.Time, host int) { m.hosts[host].ledger.Release(now, team, 1) }

func (m *ledgerLimiter) step(now time.Time, waiting []int) {
	for i, n := range m.hosts {
		n.ledger.SetWaiting(now, team, waiting[i])
	}
	for i, n := range m.hosts {
		m.balance(now, i, n)
	}
}

// balance reads in one step and writes callLatencySteps later.
func (m *ledgerLimiter) balance(now time.Time, i int, n *simHost) {
	if n.plan != nil {
		if n.stepsToCommit--; n.stepsToCommit == 0 {
			m.commit(now, n)
		}
		return
	}
	hungry := n.ledger.NeedsBalancing(team) && !now.Before(n.retryAt)
	if !hungry && now.Before(n.nextRead) {
		return
	}
	n.nextRead = now.Add(simReadPeriod - time.Duration(m.rng.Int64N(int64(simReadPeriod/4))))
	n.backoff = min(320*time.Millisecond, max(20*time.Millisecond, 2*n.backoff))
	n.retryAt = now.Add(n.backoff - time.Duration(m.rng.Int64N(int64(n.backoff/4))))
	if !n.ledger.NeedsBalancing(team) {
		n.backoff = 0
	}
	s := rights.BalanceInput{
		Team: team, Version: m.version, Row: m.row, ReadStart: now,
		Limit: rights.Limit{Rights: simLimit, Revision: 1}, Hosts: simHosts,
	}
	for j, peer := range m.hosts {
		if j != i {
			s.Peers = append(s.Peers, peer.holder)
		}
	}
	if p := n.ledger.Prepare(now, s); p.Cause != rights.CauseNone {
		n.plan, n.stepsToCommit = &p, callLatencySteps
	}
}

func (m *ledgerLimiter) commit(now time.Time, n *simHost) {
	p := *n.plan
	n.plan = nil
	if p.Version != m.version {
		n.ledger.RecordOutcome(p, rights.Refused, 0, now)
		n.nextRead = now
		return
	}
	m.row = p.Row
	m.version++
	m.writes++
	if p.Taken > 0 {
		n.backoff, n.retryAt = 0, now
	}
	n.ledger.RecordOutcome(p, rights.Committed, m.version, now)
}

// simResult are the results of one simulation.
type simResult struct {
	// admitted is the share of the requests that started in time; used is the
	// mean share of the limit that was running during bursts.
	admitted, used float64
	peak           int
}

// simulate runs the load of one seed; every scheme sees the same arrivals.
func simulate(seed uint64, spread int, g limiter) simResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	now := time.Unix(1000, 0)
	end := now.Add(simLength)
	waiting := make([][]time.Time, simHosts)
	ends := make([][]time.Time, simHosts)
	var arrived, started, running, samples, peak int
	var sum float64
	mean := offeredLoad * simLimit / (burstFactor + idleFactor*(simQueues-1))
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
	return simResult{admitted: float64(started) / float64(arrived), used: sum / float64(samples), peak: peak}
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
		m := newLedgerLimiter(rng, time.Unix(1000, 0))
		best := simulate(simSeed, spread, &centralCounter{})
		moved := simulate(simSeed, spread, m)
		split := simulate(simSeed, spread, &staticSplit{})
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
		m := newLedgerLimiter(rand.New(rand.NewPCG(simSeed, 2)), time.Unix(1000, 0))
		b.ReportMetric(simulate(simSeed, 1, m).used, "rights/limit")
		b.ReportMetric(simulate(simSeed, 1, &staticSplit{}).used, "static/limit")
		b.ReportMetric(simulate(simSeed, 1, &centralCounter{}).used, "counter/limit")
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
