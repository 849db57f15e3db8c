// Package allotment divides a tenant's upper limit over the pools in which it
// runs work. The sum of all allotments is at or under the limit after every
// change, and each pool's owner starts work within its allotment alone.
package allotment

import (
	"fuchsiafront.example/fuchsiafront/fleet"
)

// Division holds the allotment of each pool.
type Division map[string]fleet.Resources

// Headroom of an allotment over what the pool could use, in percent.
const (
	growPercent   = 25
	shrinkPercent = 60
	// floorDivisor times the number of pools gives the part of the limit that
	// a pool keeps although it has no use for it.
	floorDivisor = 3
)

// Next returns the allotment that a pool should have. used is what runs there
// and is never cut, want what could run if the limit allowed it. changed is
// false when the present allotment is good enough.
func Next(maximum fleet.Resources, d Division, pool string, used, want fleet.Resources, pools int) (next fleet.Resources, changed bool) {
	have := d[pool]
	others := fleet.Resources{}
	for name, r := range d {
		if name != pool {
			others = others.Add(r)
		}
	}
	pools = max(pools, 1)
	next = fleet.Resources{
		MilliCPU:     dimension(maximum.MilliCPU, others.MilliCPU, have.MilliCPU, used.MilliCPU, want.MilliCPU, int64(pools)),
		MemoryBytes:  dimension(maximum.MemoryBytes, others.MemoryBytes, have.MemoryBytes, used.MemoryBytes, want.MemoryBytes, int64(pools)),
		Accelerators: dimension(maximum.Accelerators, others.Accelerators, have.Accelerators, used.Accelerators, want.Accelerators, int64(pools)),
	}
	return next, next != have
}

// dimension returns the allotment in one dimension. A maximum of zero bounds
// nothing.
func dimension(maximum, others, have, used, want, pools int64) int64 {
	if maximum <= 0 {
		return 0
	}
	room := max(maximum-others, 0)
	floor := maximum / (floorDivisor * pools)
	want = max(want, used)
	goal := max(want+want*growPercent/100, floor)
	switch {
	case have > room:
		return max(min(goal, room), min(used, have))
	case have < min(want, room):
		return min(goal, room)
	case have*shrinkPercent/100 > goal:
		return max(goal, used)
	case have < min(floor, room):
		return min(floor, room)
	}
	return have
}

// Effective returns what a pool may use: its allotment, cut in proportion while
// the sum is over a limit that was lowered.
func Effective(maximum fleet.Resources, d Division, pool string) fleet.Resources {
	sum := fleet.Resources{}
	for _, r := range d {
		sum = sum.Add(r)
	}
	have := d[pool]
	return fleet.Resources{
		MilliCPU:     cut(have.MilliCPU, sum.MilliCPU, maximum.MilliCPU),
		MemoryBytes:  cut(have.MemoryBytes, sum.MemoryBytes, maximum.MemoryBytes),
		Accelerators: cut(have.Accelerators, sum.Accelerators, maximum.Accelerators),
	}
}

func cut(have, sum, maximum int64) int64 {
	if maximum <= 0 || sum <= maximum {
		return have
	}
	return int64(float64(have) * float64(maximum) / float64(sum))
}
