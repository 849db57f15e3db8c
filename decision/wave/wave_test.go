package wave

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"fuchsiafront.example/fuchsiafront/decision/budget"
	"fuchsiafront.example/fuchsiafront/decision/document"
	"fuchsiafront.example/fuchsiafront/fleet"
)

var start = time.Unix(1_000_000, 0)

const hostTime = 60 * time.Second

var parallelismParams = ParallelismParams{Weights: Weights{RollOut: 1, Buffer: 1}, InitialMeanOut: hostTime, ReferenceRollOut: 10 * time.Second, SlowFactor: 2}

// cluster returns a basis with n hosts in one pool, four to a rack, in three
// zones.
func cluster(n int, pool document.Pool) budget.Snapshot {
	pool.Name, pool.Kind = "a", fleet.KindWorker
	b := budget.Snapshot{
		Document:    &document.Document{Sections: map[string]document.Section{"s": {Pools: []document.Pool{pool}}}},
		Assignments: budget.Assignments{}, Ledger: &budget.Ledger{Waves: map[string]budget.Wave{}},
		Hosts: &fleet.HostList{AsOf: start}, Now: start,
	}
	for i := range n {
		h := fleet.Host{Name: fmt.Sprintf("w%04d", i), Kind: pool.Kind, Phase: fleet.PhaseLive,
			Zone: fleet.AvailabilityZone(fmt.Sprint("z", i/4%3)), Rack: fmt.Sprint("r", i/4)}
		b.Hosts.Hosts = append(b.Hosts.Hosts, h)
		b.Assignments[h.Name] = "a"
	}
	return b
}

func withWave(b budget.Snapshot, w budget.Wave) budget.Snapshot {
	w.ID, w.Pool, w.Pending = "v", "a", HostOrder(b.Hosts.Hosts)
	b.Ledger.Waves["v"] = w
	return b
}

// TestOrderKeepsRacksTogether guards against an order that takes hosts of
// several racks at once or all hosts of one zone first.
func TestOrderKeepsRacksTogether(t *testing.T) {
	got := HostOrder(cluster(24, document.Pool{}).Hosts.Hosts)
	for i := 0; i < len(got); i += 4 {
		rack := slices.Clone(got[i : i+4])
		slices.Sort(rack)
		var first int
		_, err := fmt.Sscanf(rack[0], "w%d", &first)
		assert.NilError(t, err)
		assert.Equal(t, first, i, "racks must alternate between zones")
		assert.Equal(t, rack[3], fmt.Sprintf("w%04d", first+3))
	}
}

// TestParallel guards against a wave that ignores demand, measured times,
// failures or its own bounds.
func TestParallel(t *testing.T) {
	names := func(n int) []string { return make([]string, n) }
	cases := []struct {
		name              string
		wave              budget.Wave
		inService, needed int
		spare             int
		want              int
		reason            string
	}{
		{"square root of 50*6", budget.Wave{Pending: names(25), Done: names(25)}, 50, 0, 0, 17, "pace"},
		{"hosts take four times as long", budget.Wave{Pending: names(10), Done: names(40), MeanOutOfService: 240 * time.Second, ShortestOutOfService: 200 * time.Second}, 50, 0, 0, 35, "pace"},
		{"slowed down by parallel steps", budget.Wave{Pending: names(10), Done: names(40), MeanOutOfService: 240 * time.Second, ShortestOutOfService: 60 * time.Second}, 50, 0, 0, 17, "pace"},
		{"one failure", budget.Wave{Pending: names(9), Done: names(40), Failed: names(1), MaxFailed: 3}, 50, 0, 0, 9, "pace"},
		{"bounded by the operator", budget.Wave{Pending: names(25), Done: names(25), MaxParallel: 5}, 50, 0, 0, 5, "maxParallel"},
		{"first hosts", budget.Wave{Pending: names(50), MaxFailed: 3}, 50, 0, 0, 3, "first hosts not back yet"},
		{"demand", budget.Wave{Pending: names(25), Done: names(25)}, 50, 40, 2, 8, "demand"},
		{"demand counts hosts of the wave once", budget.Wave{Pending: names(20), Done: names(25)}, 45, 40, 2, 8, "demand"},
		{"demand takes every host", budget.Wave{Pending: names(25), Done: names(25)}, 50, 50, 2, 0, "demand"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := parallelismParams
			p.Spare = c.spare
			out := 50 - c.inService
			n, reason := Parallel(c.wave, out, c.inService, c.needed, p)
			assert.Equal(t, n, c.want)
			assert.Equal(t, reason, c.reason)
		})
	}
}

// runWave runs a wave to its end. Every round starts from the encoded ledger
// alone, as after a restart. Each host is out for hostTime; hosts in fail do
// not come back. It returns the duration, the most hosts out at once, and the
// wave.
func runWave(t testing.TB, b budget.Snapshot, needed int, p ParallelismParams, fail map[string]bool) (time.Duration, int, budget.Wave) {
	maxOut := 0
	for {
		data, err := json.Marshal(b.Ledger)
		assert.NilError(t, err)
		b.Ledger = &budget.Ledger{}
		assert.NilError(t, json.Unmarshal(data, b.Ledger))
		b.Hosts.AsOf = b.Now
		d := budget.NewDraft(b)
		for _, o := range b.Ledger.Entries {
			if b.Now.Sub(o.GrantedAt) < hostTime || o.Cause == budget.CauseFailed {
				continue
			}
			d.Advance(o.Host)
			d.Advance(o.Host)
			if fail[o.Host] {
				d.Fail(o.Host)
				continue
			}
			d.Finish(o.Host)
		}
		Next(d, "v", needed, p)
		out := d.WaveHostsOut("v")
		maxOut = max(maxOut, out)
		if l := d.Outcome().Ledger; l != nil {
			b.Ledger = l
		}
		if w := b.Ledger.Waves["v"]; w.Ended() && out == 0 {
			return b.Now.Sub(start), maxOut, w
		}
		b.Now = b.Now.Add(time.Second)
		assert.Assert(t, b.Now.Sub(start) < 1000*hostTime, "wave has not ended after 1000 host times: %v", b.Ledger.Waves)
	}
}

// TestRollOutAgainstOneAtATime guards against a planner that is no faster than
// taking one host at a time, or that takes hosts which demand or the budget
// needs in service.
func TestRollOutAgainstOneAtATime(t *testing.T) {
	cases := []struct {
		name         string
		pool         document.Pool
		needed       int
		most, atMost int
	}{
		{"budget of 8, 3 a zone", document.Pool{MaxUnavailable: 8, MaxUnavailablePerZone: 3}, 0, 8, 8},
		{"one rack at a time", document.Pool{MaxUnavailable: 8, MaxRacksOut: 1}, 0, 4, 15},
		{"demand leaves 5", document.Pool{MaxUnavailable: 8}, 43, 5, 12},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := parallelismParams
			p.Spare = 2
			oneAtATime, _, _ := runWave(t, withWave(cluster(50, c.pool), budget.Wave{MaxParallel: 1, MaxFailed: 2}), c.needed, p, nil)
			took, most, w := runWave(t, withWave(cluster(50, c.pool), budget.Wave{MaxFailed: 2}), c.needed, p, nil)
			t.Logf("one at a time %v, planned %v (%.1f times as fast), at most %d out", oneAtATime, took, oneAtATime.Seconds()/took.Seconds(), most)
			assert.Equal(t, len(w.Done), 50)
			assert.Equal(t, most, c.most)
			assert.Assert(t, took <= time.Duration(c.atMost)*hostTime)
		})
	}
}

// BenchmarkNext measures one round of a wave, by number of hosts.
func BenchmarkNext(b *testing.B) {
	for _, hosts := range []int{50, 500, 5000} {
		b.Run(fmt.Sprint(hosts), func(b *testing.B) { benchmarkNext(b, hosts) })
	}
}

func benchmarkNext(b *testing.B, hosts int) {
	basis := withWave(cluster(hosts, document.Pool{MaxUnavailable: hosts / 10, MaxUnavailablePerZone: hosts / 20}), budget.Wave{MaxFailed: hosts})
	b.ReportAllocs()
	for b.Loop() {
		d := budget.NewDraft(basis)
		if plan := Next(d, "v", 0, parallelismParams); len(plan.Granted) == 0 {
			b.Fatal("nothing granted")
		}
	}
}

// TestWaveStopsAtTolerance guards against a wave that continues to break hosts
// after the tolerated number of failures.
func TestWaveStopsAtTolerance(t *testing.T) {
	fail := map[string]bool{}
	for i := range 50 {
		fail[fmt.Sprintf("w%04d", i)] = true
	}
	_, most, w := runWave(t, withWave(cluster(50, document.Pool{MaxUnavailable: 20}), budget.Wave{MaxFailed: 3}), 0, parallelismParams, fail)
	assert.Equal(t, len(w.Failed), 3)
	assert.Equal(t, most, 3)
	assert.Equal(t, w.StopReason, "3 of its hosts failed; the tolerance is 3")
}
