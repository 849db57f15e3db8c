// Package allotment divides a tenant's upper limit over the pools in which it
// runs work. The sum of all allotments is at or under the limit after every
// change, and each pool's owner starts work within its allotment alone.
package allotment

import (
	"maps"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Allotments holds the allotment of each pool.
type Allotments map[string]fleet.Resources

// Reservation is what a pool needs to start anything of what waits in it, while the
// others leave it less.
type Reservation struct {
	Need    fleet.Resources `json:"Need"`
	SinceMs int64           `json:"SinceMs"`
}

// Row is the division of one tenant's limit, with the reservations on it.
type Row struct {
	Pools        Allotments             `json:"pools"`
	Reservations map[string]Reservation `json:"reservations,omitempty"`
}

// Demand is what a pool would do with an allotment.
type Demand struct {
	// Used is what runs there; it is never cut.
	Used fleet.Resources
	// Want is what could run if the limit allowed it, Used included.
	Want fleet.Resources
	// Need is the least that lets anything of what waits start, Used included;
	// zero while the allotment is not what it waits for.
	Need fleet.Resources
}

// Headroom of an allotment over what the pool could use, in percent.
const (
	headroomPercent        = 25
	shrinkThresholdPercent = 60
	// floorDivisor times the number of pools gives the part of the limit that
	// a pool keeps although it has no use for it.
	floorDivisor = 3
)

// Next returns the row with the allotment and the reservation that a pool should have.
// Of several reservations the oldest is served first: the other pools give up what they
// do not use until it is met, without a floor, because a gang may need nearly the
// whole limit. pools is the number of pools that share the limit.
func Next(maximum fleet.Resources, row Row, pool string, demand Demand, pools int, nowMs int64) Row {
	next := Row{Pools: maps.Clone(row.Pools), Reservations: maps.Clone(row.Reservations)}
	if next.Pools == nil {
		next.Pools = Allotments{}
	}
	others := fleet.Resources{}
	for name, r := range row.Pools {
		if name != pool {
			others = others.Add(r)
		}
	}
	reserved := reservedForOther(maximum, row, pool)
	each := func(limit, others, have, used, want, reserved int64) int64 {
		return allotDimension(bounds{limit, max(limit-others, 0), reserved, limit / (floorDivisor * int64(max(pools, 1)))}, have, used, max(want, used))
	}
	have := row.Pools[pool]
	allotted := fleet.Resources{
		MilliCPU:     each(maximum.MilliCPU, others.MilliCPU, have.MilliCPU, demand.Used.MilliCPU, demand.Want.MilliCPU, reserved.MilliCPU),
		MemoryBytes:  each(maximum.MemoryBytes, others.MemoryBytes, have.MemoryBytes, demand.Used.MemoryBytes, demand.Want.MemoryBytes, reserved.MemoryBytes),
		Accelerators: each(maximum.Accelerators, others.Accelerators, have.Accelerators, demand.Used.Accelerators, demand.Want.Accelerators, reserved.Accelerators),
	}
	if allotted != have {
		next.Pools[pool] = allotted
	}
	next.reserve(maximum, pool, demand.Need, nowMs)
	return next
}

// reserve sets or removes the reservation of a pool.
func (r *Row) reserve(maximum fleet.Resources, pool string, need fleet.Resources, nowMs int64) {
	if need == (fleet.Resources{}) || covers(maximum, r.Pools[pool], need) || !covers(maximum, maximum, need) {
		delete(r.Reservations, pool)
		return
	}
	if r.Reservations == nil {
		r.Reservations = make(map[string]Reservation)
	}
	since := nowMs
	if old, ok := r.Reservations[pool]; ok {
		since = old.SinceMs
	}
	r.Reservations[pool] = Reservation{need, since}
}

// Equal reports whether two rows say the same.
func (r Row) Equal(o Row) bool {
	return maps.Equal(r.Pools, o.Pools) && maps.Equal(r.Reservations, o.Reservations)
}

// oldestReservation returns the pool whose reservation is served, or "".
func (r Row) oldestReservation() string {
	first := ""
	for name, c := range r.Reservations {
		f := r.Reservations[first]
		if first == "" || c.SinceMs < f.SinceMs || c.SinceMs == f.SinceMs && name < first {
			first = name
		}
	}
	return first
}

// reservedForOther returns what is kept for the reservation of another pool.
func reservedForOther(maximum fleet.Resources, row Row, pool string) fleet.Resources {
	first := row.oldestReservation()
	if first == "" || first == pool {
		return fleet.Resources{}
	}
	need, have := row.Reservations[first].Need, row.Pools[first]
	missing := func(limit, need, have int64) int64 {
		if limit <= 0 {
			return 0
		}
		return max(need-have, 0)
	}
	return fleet.Resources{
		MilliCPU:     missing(maximum.MilliCPU, need.MilliCPU, have.MilliCPU),
		MemoryBytes:  missing(maximum.MemoryBytes, need.MemoryBytes, have.MemoryBytes),
		Accelerators: missing(maximum.Accelerators, need.Accelerators, have.Accelerators),
	}
}

// covers reports whether r is enough for need in each dimension that maximum
// bounds.
func covers(maximum, r, need fleet.Resources) bool {
	return (maximum.MilliCPU <= 0 || need.MilliCPU <= r.MilliCPU) &&
		(maximum.MemoryBytes <= 0 || need.MemoryBytes <= r.MemoryBytes) &&
		(maximum.Accelerators <= 0 || need.Accelerators <= r.Accelerators)
}

// bounds of an allotment in one dimension.
type bounds struct {
	// limit is the tenant's; a limit of zero bounds nothing.
	limit int64
	// available is what the other pools leave, of which reserved is kept for one of
	// them.
	available, reserved int64
	// floor is what a pool keeps although it has no use for it.
	floor int64
}

// allotDimension returns the allotment in one dimension.
func allotDimension(b bounds, have, used, want int64) int64 {
	if b.limit <= 0 {
		return 0
	}
	room := max(b.available-b.reserved, 0)
	goal := max(want+want*headroomPercent/100, b.floor)
	switch {
	case have > room:
		return max(min(goal, room), min(used, have))
	case have < min(want, room):
		return min(goal, room)
	case have*shrinkThresholdPercent/100 > goal:
		return max(goal, used)
	case have < min(b.floor, room):
		return min(b.floor, room)
	}
	return have
}

// Effective returns what a pool may use: its allotment, cut in proportion while
// the sum is over a limit that was lowered.
func Effective(maximum fleet.Resources, d Allotments, pool string) fleet.Resources {
	sum := fleet.Resources{}
	for _, r := range d {
		sum = sum.Add(r)
	}
	have := d[pool]
	return fleet.Resources{
		MilliCPU:     scaleToLimit(have.MilliCPU, sum.MilliCPU, maximum.MilliCPU),
		MemoryBytes:  scaleToLimit(have.MemoryBytes, sum.MemoryBytes, maximum.MemoryBytes),
		Accelerators: scaleToLimit(have.Accelerators, sum.Accelerators, maximum.Accelerators),
	}
}

func scaleToLimit(have, sum, maximum int64) int64 {
	if maximum <= 0 || sum <= maximum {
		return have
	}
	return int64(float64(have) * float64(maximum) / float64(sum))
}
