package allotment

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Guards against a tenant above its maximum: no change raises the sum of the
// allotments above it, and the sum of what pools may use never exceeds it,
// whatever the demands and however often the maximum changes.
func TestSumStaysWithinMaximum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d"}
		row := Row{}
		maximum := int64(1000)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				maximum = rapid.Int64Range(1, 2000).Draw(t, "maximum")
			}
			limit := fleet.Resources{MilliCPU: maximum}
			pool := rapid.SampledFrom(names).Draw(t, "pool")
			used := min(rapid.Int64Range(0, 500).Draw(t, "used"), row.Pools[pool].MilliCPU)
			before := total(row.Pools)
			demand := Demand{
				Used:    fleet.Resources{MilliCPU: used},
				Lasting: fleet.Resources{MilliCPU: rapid.Int64Range(0, used).Draw(t, "lasting")},
				Want:    fleet.Resources{MilliCPU: used + rapid.Int64Range(0, 900).Draw(t, "waiting")},
				Need:    fleet.Resources{MilliCPU: rapid.Int64Range(0, 1200).Draw(t, "need")},
			}
			demand.Least = fleet.Resources{MilliCPU: rapid.Int64Range(0, demand.Need.MilliCPU).Draw(t, "least")}
			row = Next(limit, row, pool, demand, len(names), rapid.Int64Range(0, 3).Draw(t, "now"))
			assert.Assert(t, total(row.Pools) <= max(maximum, before), "%v after %d of %d", row, before, maximum)
			assert.Assert(t, row.Pools[pool].MilliCPU >= used, "allotment of pool %s is below the %d in use: %v", pool, used, row)
			sum := int64(0)
			for _, name := range names {
				sum += Effective(limit, row.Pools, name).MilliCPU
			}
			assert.Assert(t, sum <= maximum)
		}
	})
}

func total(d Allotments) int64 {
	sum := int64(0)
	for _, r := range d {
		sum += r.MilliCPU
	}
	return sum
}

// settleRounds is how often each pool adjusts its allotment before the result
// is checked.
const settleRounds = 8

// Guards against a gang or large task that never starts although its tenant's
// limit has enough unused: idle pools kept up to 1.7 times their floors, which
// is over half of the limit with four pools.
func TestIdlePoolsGiveUpWhatOneNeeds(t *testing.T) {
	limit := fleet.Resources{MilliCPU: 1000}
	row := Row{Pools: Allotments{"a": {MilliCPU: 130}, "b": {MilliCPU: 130}, "c": {MilliCPU: 130}, "d": {MilliCPU: 83}}}
	need := fleet.Resources{MilliCPU: 950}
	for now := range int64(settleRounds) {
		for _, pool := range []string{"a", "b", "c"} {
			row = Next(limit, row, pool, Demand{}, 4, now)
		}
		row = Next(limit, row, "d", Demand{Want: need, Need: need}, 4, now)
	}
	assert.Assert(t, row.Pools["d"].MilliCPU >= 950, "%v", row)
	assert.Equal(t, len(row.Reservations), 0, "reservation remains after it was met")
}

// Guards against a deadlock of pools that each hold a part of what the other's
// work needs, so that nothing runs in either.
func TestPoolsThatNeedMoreThanHalfDoNotBlockEachOther(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := fleet.Resources{MilliCPU: 1000}
		names := []string{"a", "b", "c"}
		needs := make(map[string]int64)
		row := Row{Pools: Allotments{}}
		for _, name := range names {
			needs[name] = rapid.Int64Range(400, 1000).Draw(t, "need")
			row.Pools[name] = fleet.Resources{MilliCPU: rapid.Int64Range(0, 333).Draw(t, "have")}
		}
		now := int64(0)
		for range settleRounds * len(names) {
			for _, name := range names {
				now++
				need := fleet.Resources{MilliCPU: needs[name]}
				row = Next(limit, row, name, Demand{Want: need, Need: need}, len(names), now)
				if row.Pools[name].MilliCPU >= needs[name] {
					// The waiting work runs and ends.
					needs[name] = 0
				}
			}
		}
		assert.Assert(t, needs["a"]+needs["b"]+needs["c"] == 0, "a pool waits forever: allotments %v, unmet needs %v", row, needs)
	})
}

// Guards against a reservation that can never be met and keeps the other pools
// from growing.
func TestNeedAboveTheLimitIsNotReserved(t *testing.T) {
	limit := fleet.Resources{MilliCPU: 1000}
	need := fleet.Resources{MilliCPU: 1001}
	row := Next(limit, Row{}, "a", Demand{Want: need, Need: need}, 2, 1)
	assert.Equal(t, len(row.Reservations), 0)
}

// tenantWorld has the demands of one tenant in several pools. Work that lasts stays, work that
// ends takes its pool's allotment and gives it back each round.
type tenantWorld struct {
	limit          fleet.Resources
	row            Row
	lasting, small map[string]int64
	// large is the size of one waiting task in each pool, started that of those that run.
	large, started map[string]int64
	now            int64
}

func (w *tenantWorld) rounds(n int) {
	for range n {
		for _, pool := range []string{"a", "b", "c"} {
			w.now++
			lasting := w.lasting[pool]
			rest := w.row.Pools[pool].MilliCPU - w.row.HeldBack(w.limit, pool).MilliCPU - lasting
			used := lasting + min(w.small[pool], max(rest, 0))
			d := Demand{Used: cpu(used), Lasting: cpu(lasting), Want: cpu(lasting + w.small[pool] + w.large[pool])}
			if large := w.large[pool]; large > 0 {
				d.Need, d.Least = cpu(used+large), cpu(lasting+large)
			}
			w.row = Next(w.limit, w.row, pool, d, 3, w.now)
			// Small work in the pool lets the large task go first.
			if large := w.large[pool]; large > 0 && w.row.Pools[pool].MilliCPU >= lasting+large {
				w.large[pool], w.started[pool] = 0, large
			}
		}
	}
}

func cpu(milli int64) fleet.Resources { return fleet.Resources{MilliCPU: milli} }

func newTenantWorld() *tenantWorld {
	return &tenantWorld{limit: cpu(40), lasting: make(map[string]int64), small: make(map[string]int64), large: make(map[string]int64), started: make(map[string]int64)}
}

// Guards against pools of a tenant that stand still because of a reservation that does not fit
// beside lasting work of another pool, and against one that is forgotten until that work ends.
func TestReservationBesideLastingWork(t *testing.T) {
	w := newTenantWorld()
	w.lasting["b"] = 12
	w.rounds(settleRounds)
	w.large["a"] = 30
	w.rounds(settleRounds)
	w.small["c"] = 4
	w.rounds(settleRounds)
	assert.Assert(t, w.row.Pools["c"].MilliCPU >= 4, "%+v", w.row)
	assert.Equal(t, w.started["a"], int64(0))
	w.small["b"], w.small["c"] = 20, 20
	w.rounds(settleRounds)
	w.lasting["b"] = 0
	w.rounds(settleRounds)
	assert.Equal(t, w.started["a"], int64(30), "the large task does not get its turn: %+v", w.row)
}

// Guards against a large task that starves while small work keeps coming, in its own pool and
// in others, and against an older reservation that cannot be met and keeps it waiting.
func TestLargeTaskGetsItsTurn(t *testing.T) {
	for _, blockedOlder := range []bool{false, true} {
		w := newTenantWorld()
		w.small["a"], w.small["b"], w.small["c"] = 20, 20, 20
		w.rounds(settleRounds)
		if blockedOlder {
			w.lasting["b"] = 5
			w.large["c"] = 38
			w.rounds(settleRounds)
		}
		w.large["a"] = 30
		w.rounds(settleRounds)
		assert.Equal(t, w.started["a"], int64(30), "%+v", w.row)
		assert.Equal(t, w.started["c"], int64(0))
	}
}

// Guards against a reservation that holds others back after the maximum was lowered below it.
func TestReservationAboveLoweredMaximum(t *testing.T) {
	w := newTenantWorld()
	w.small["b"], w.small["c"] = 20, 20
	w.rounds(settleRounds)
	w.large["a"] = 30
	w.now++
	w.row = Next(w.limit, w.row, "a", Demand{Want: cpu(30), Need: cpu(30), Least: cpu(30)}, 3, w.now)
	assert.Equal(t, len(w.row.Reservations), 1)
	for name, reserved := range map[string]bool{"40": true, "20": false} {
		limit := cpu(40)
		if !reserved {
			limit = cpu(20)
		}
		assert.Equal(t, w.row.HasAttainableReservation(limit), reserved, name)
	}
}

// Guards against a tenant above a maximum that was lowered: one pool's lasting work keeps its
// allotment, and another one fills a part of its own again that the two do not have together.
func TestLoweredMaximumIsNotFilledBesideLastingWork(t *testing.T) {
	w := newTenantWorld()
	w.lasting["b"] = 18
	w.rounds(settleRounds)
	w.small["a"] = 20
	w.rounds(settleRounds)
	lowered := cpu(20)
	running := int64(20)
	for now := range int64(2 * settleRounds) {
		// Some of the work that ends does, and more waits.
		running = max(running-5, 0)
		allowed := Effective(lowered, w.row.Pools, "a").MilliCPU
		running = max(running, min(allowed, 20))
		used := running + w.lasting["b"]
		if running <= allowed {
			assert.Assert(t, used <= lowered.MilliCPU, "%d in use: %+v", used, w.row)
		}
		w.row = Next(lowered, w.row, "a", Demand{Used: cpu(running), Want: cpu(40), Need: cpu(running + 1), Least: cpu(1)}, 3, w.now+now)
		w.row = Next(lowered, w.row, "b", Demand{Used: cpu(18), Lasting: cpu(18), Want: cpu(18)}, 3, w.now+now)
		w.row = Next(lowered, w.row, "c", Demand{}, 3, w.now+now)
	}
	assert.Assert(t, running > 0, "what is left of the maximum is not used: %+v", w.row)
}
