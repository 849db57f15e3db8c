// Package allotment divides a tenant's upper limit among the pools in which it
// runs work. No change raises the sum of all allotments above the limit, so
// that each pool's owner can start work by looking only at its own allotment.
package allotment

import (
	"maps"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// Allotments maps each pool to its allotment.
type Allotments map[string]fleet.Resources

// Reservation is what a pool needs to start any of its waiting work while the
// other pools leave it less.
type Reservation struct {
	// Need is what it takes beside all that runs in the pool, and Least beside what
	// lasts there. Earlier versions of this program did not record Least.
	Need    fleet.Resources `json:"Need"`
	Least   fleet.Resources `json:"Least"`
	SinceMs int64           `json:"SinceMs"`
}

// Row has the allotments and reservations of one tenant's limit.
type Row struct {
	Pools        Allotments             `json:"pools"`
	Reservations map[string]Reservation `json:"reservations,omitempty"`
	// Lasting is what work that does not end by itself uses in each pool, while there
	// are reservations.
	Lasting Allotments `json:"lasting,omitempty"`
}

// Demand is a tenant's demand in one pool.
type Demand struct {
	// Used is what running work takes; an allotment is never cut below it. Lasting is
	// the part of it that does not come free by itself.
	Used, Lasting fleet.Resources
	// Want is what could run if the limit allowed it, including Used.
	Want fleet.Resources
	// Need is the least allotment with which any waiting work can start,
	// including Used; zero if the allotment is not what delays that work. Least is the
	// same once the work in Used that ends has ended.
	Need, Least fleet.Resources
}

// Parameters of the size of an allotment.
const (
	// headroomPercent is added to what the pool could use.
	headroomPercent = 25
	// shrinkThresholdPercent of an allotment must exceed the goal before the
	// allotment shrinks.
	shrinkThresholdPercent = 60
	// floorDivisor times the number of pools is the divisor of the limit that
	// gives the allotment of a pool without demand.
	floorDivisor = 3
)

// Next returns row with the allotment and reservation that a pool should have.
// The oldest reservation that can be met is served first: until it is met, the other
// pools give up what they do not use, even below their floor, because a gang may need
// nearly the whole limit. One that does not fit beside the lasting work of other pools
// holds nothing back, and keeps its age for the time when it fits. pools is the number of
// pools that share the limit.
func Next(maximum fleet.Resources, row Row, pool string, demand Demand, pools int, nowMs int64) Row {
	next := Row{Pools: maps.Clone(row.Pools), Reservations: maps.Clone(row.Reservations), Lasting: maps.Clone(row.Lasting)}
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
	demand.dropUnattainable(maximum, row, pool)
	allot := func(limit, others, current, used, want, reserved int64) int64 {
		return allotDimension(bounds{limit, max(limit-others, 0), reserved, limit / (floorDivisor * int64(max(pools, 1)))}, current, used, max(want, used))
	}
	current := row.Pools[pool]
	allotted := fleet.Resources{
		MilliCPU:     allot(maximum.MilliCPU, others.MilliCPU, current.MilliCPU, demand.Used.MilliCPU, demand.Want.MilliCPU, reserved.MilliCPU),
		MemoryBytes:  allot(maximum.MemoryBytes, others.MemoryBytes, current.MemoryBytes, demand.Used.MemoryBytes, demand.Want.MemoryBytes, reserved.MemoryBytes),
		Accelerators: allot(maximum.Accelerators, others.Accelerators, current.Accelerators, demand.Used.Accelerators, demand.Want.Accelerators, reserved.Accelerators),
	}
	if allotted != current {
		next.Pools[pool] = allotted
	}
	next.reserve(maximum, pool, &demand, nowMs)
	next.recordLasting(pool, demand.Lasting)
	return next
}

// dropUnattainable removes the blocked work from what a pool wants, if that cannot start
// whatever the allotment: it would keep room from others.
func (d *Demand) dropUnattainable(maximum fleet.Resources, row Row, pool string) {
	if _, ok := row.attainable(maximum, pool); ok || d.Need == (fleet.Resources{}) {
		return
	}
	blocked := d.Least.Sub(d.Lasting)
	if rest := d.Want.Sub(blocked); d.Used.Fits(rest) {
		d.Want = rest
	}
}

// reserve sets or removes the reservation of a pool.
func (r *Row) reserve(maximum fleet.Resources, pool string, demand *Demand, nowMs int64) {
	if demand.Need == (fleet.Resources{}) || covers(maximum, r.Pools[pool], demand.Need) || !covers(maximum, maximum, demand.least()) {
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
	r.Reservations[pool] = Reservation{demand.Need, demand.least(), since}
}

// least returns Least, or Need if that is not known.
func (d *Demand) least() fleet.Resources {
	if d.Least == (fleet.Resources{}) {
		return d.Need
	}
	return d.Least
}

// recordLasting records what lasts in a pool, if a reservation depends on it.
func (r *Row) recordLasting(pool string, lasting fleet.Resources) {
	if len(r.Reservations) == 0 {
		r.Lasting = nil
		return
	}
	if lasting == (fleet.Resources{}) {
		delete(r.Lasting, pool)
		return
	}
	if r.Lasting == nil {
		r.Lasting = Allotments{}
	}
	r.Lasting[pool] = lasting
}

// attainable returns the allotment that meets the reservation of a pool, and whether the
// lasting work of the other pools leaves so much. It may be less than the need, as work
// that runs in the pool itself ends.
func (r *Row) attainable(maximum fleet.Resources, pool string) (need fleet.Resources, ok bool) {
	reservation, reserved := r.Reservations[pool]
	if !reserved {
		return need, true
	}
	left := maximum
	for name, lasting := range r.Lasting {
		if name != pool {
			left = left.Sub(lasting)
		}
	}
	least := reservation.Least
	if least == (fleet.Resources{}) {
		least = reservation.Need
	}
	if !covers(maximum, left, least) {
		return need, false
	}
	return Lower(reservation.Need, left), true
}

// HasAttainableReservation reports whether a reservation can be met.
func (r *Row) HasAttainableReservation(maximum fleet.Resources) bool {
	return r.oldestReservation(maximum) != ""
}

// Equal reports whether r and o have the same allotments and reservations.
func (r Row) Equal(o Row) bool {
	return maps.Equal(r.Pools, o.Pools) && maps.Equal(r.Reservations, o.Reservations) && maps.Equal(r.Lasting, o.Lasting)
}

// oldestReservation returns the pool whose reservation is served first, or "".
func (r *Row) oldestReservation(maximum fleet.Resources) string {
	oldest := ""
	for name, reservation := range r.Reservations {
		if _, ok := r.attainable(maximum, name); !ok {
			continue
		}
		oldestSoFar := r.Reservations[oldest]
		if oldest == "" || reservation.SinceMs < oldestSoFar.SinceMs || reservation.SinceMs == oldestSoFar.SinceMs && name < oldest {
			oldest = name
		}
	}
	return oldest
}

// HeldBack returns how much of its allotment a pool leaves to the oldest reservation that can
// be met: no work that ends starts there beyond the rest. Otherwise a pool with work in wait
// would use what its work gives back before anything could be taken from it.
func (r *Row) HeldBack(maximum fleet.Resources, pool string) fleet.Resources {
	return reservedForOther(maximum, *r, pool)
}

// reservedForOther returns what must be kept free for the oldest reservation that can be
// met, if that is another pool's.
func reservedForOther(maximum fleet.Resources, row Row, pool string) fleet.Resources {
	oldest := row.oldestReservation(maximum)
	if oldest == "" || oldest == pool {
		return fleet.Resources{}
	}
	need, _ := row.attainable(maximum, oldest)
	have := row.Pools[oldest]
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

// covers reports whether allotted covers need in each dimension that maximum
// bounds.
func covers(maximum, allotted, need fleet.Resources) bool {
	return (maximum.MilliCPU <= 0 || need.MilliCPU <= allotted.MilliCPU) &&
		(maximum.MemoryBytes <= 0 || need.MemoryBytes <= allotted.MemoryBytes) &&
		(maximum.Accelerators <= 0 || need.Accelerators <= allotted.Accelerators)
}

// bounds limits an allotment in one dimension.
type bounds struct {
	// limit is the tenant's upper limit; zero means no limit.
	limit int64
	// available is what the other pools leave, of which reserved is kept for one
	// of them.
	available, reserved int64
	// floor is what a pool keeps without demand.
	floor int64
}

// allotDimension returns the allotment in one dimension.
func allotDimension(b bounds, current, used, wanted int64) int64 {
	if b.limit <= 0 {
		return 0
	}
	available := max(b.available-b.reserved, 0)
	goal := max(wanted+wanted*headroomPercent/100, b.floor)
	switch {
	case current > available:
		return max(min(goal, available), min(used, current))
	case current < min(wanted, available):
		return min(goal, available)
	case current*shrinkThresholdPercent/100 > goal:
		return max(goal, used)
	case current < min(b.floor, available):
		return min(b.floor, available)
	}
	return current
}

// Lower returns the lower of two allotments in each dimension.
func Lower(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// Effective returns what a pool may use: its allotment, less all that the sum of the
// allotments exceeds a limit by that was lowered. The other pools may use all of theirs, as
// work that lasts does.
func Effective(maximum fleet.Resources, allotments Allotments, pool string) fleet.Resources {
	sum := fleet.Resources{}
	for _, r := range allotments {
		sum = sum.Add(r)
	}
	allotted := allotments[pool]
	return fleet.Resources{
		MilliCPU:     lessExcess(allotted.MilliCPU, sum.MilliCPU, maximum.MilliCPU),
		MemoryBytes:  lessExcess(allotted.MemoryBytes, sum.MemoryBytes, maximum.MemoryBytes),
		Accelerators: lessExcess(allotted.Accelerators, sum.Accelerators, maximum.Accelerators),
	}
}

func lessExcess(allotted, sum, maximum int64) int64 {
	if maximum <= 0 || sum <= maximum {
		return allotted
	}
	return max(allotted-(sum-maximum), 0)
}
