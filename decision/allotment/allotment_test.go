package allotment

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Guards against a tenant over its maximum: the allotments of all pools, and
// what each may use of them, never exceed it in sum, whatever the pools ask for
// and however often the maximum changes.
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
				Used: fleet.Resources{MilliCPU: used},
				Want: fleet.Resources{MilliCPU: used + rapid.Int64Range(0, 900).Draw(t, "waiting")},
				Need: fleet.Resources{MilliCPU: rapid.Int64Range(0, 1200).Draw(t, "need")},
			}
			row = Next(limit, row, pool, demand, len(names), rapid.Int64Range(0, 3).Draw(t, "now"))
			assert.Assert(t, total(row.Pools) <= max(maximum, before), "%v after %d of %d", row, before, maximum)
			assert.Assert(t, row.Pools[pool].MilliCPU >= used, "cut below what runs")
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

// settleRounds is how often each pool looks at the division before what they
// agree on is judged.
const settleRounds = 8

// Guards against a gang, or a large task, that never starts although its tenant
// has room: idle pools kept their floors and up to 1.7 times as much, which is
// over half of the limit with four pools.
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
	assert.Equal(t, len(row.Reservations), 0, "a reservation stays after it is met")
}

// Guards against pools that wait for each other: each holds a part of what the
// other's work needs, and nothing runs in either.
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
					// What waits runs and ends.
					needs[name] = 0
				}
			}
		}
		assert.Assert(t, needs["a"]+needs["b"]+needs["c"] == 0, "waits for ever: %v, needs %v", row, needs)
	})
}

// Guards against a reservation that can never be met and keeps the other pools from
// growing.
func TestNeedAboveTheLimitIsNotReserved(t *testing.T) {
	limit := fleet.Resources{MilliCPU: 1000}
	need := fleet.Resources{MilliCPU: 1001}
	row := Next(limit, Row{}, "a", Demand{Want: need, Need: need}, 2, 1)
	assert.Equal(t, len(row.Reservations), 0)
}
