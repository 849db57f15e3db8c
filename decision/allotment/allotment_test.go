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
		d := Division{}
		maximum := int64(1000)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "change") == 0 {
				maximum = rapid.Int64Range(1, 2000).Draw(t, "maximum")
			}
			limit := fleet.Resources{MilliCPU: maximum}
			pool := rapid.SampledFrom(names).Draw(t, "pool")
			used := min(rapid.Int64Range(0, 500).Draw(t, "used"), d[pool].MilliCPU)
			before := total(d)
			next, _ := Next(limit, d, pool, fleet.Resources{MilliCPU: used}, fleet.Resources{MilliCPU: used + rapid.Int64Range(0, 900).Draw(t, "waiting")}, len(names))
			d[pool] = next
			assert.Assert(t, total(d) <= max(maximum, before), "%v after %d of %d", d, before, maximum)
			assert.Assert(t, next.MilliCPU >= used, "cut below what runs")
			sum := int64(0)
			for _, name := range names {
				sum += Effective(limit, d, name).MilliCPU
			}
			assert.Assert(t, sum <= maximum)
		}
	})
}

func total(d Division) int64 {
	sum := int64(0)
	for _, r := range d {
		sum += r.MilliCPU
	}
	return sum
}
