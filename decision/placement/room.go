package placement

import (
	"math"
	"slices"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// reservedPart is the part of a pool's capacity that only urgent work uses.
const reservedPart = 0.05

// Weights of the spread over zones and racks against the fit. A zone that
// holds all jobs of a queue costs half of an empty worker, a rack a quarter.
const (
	zoneWeight = 0.5
	rackWeight = 0.25
)

// room is the known free room of each worker.
type room struct {
	workers []Worker
	index   map[string]int
	// zones and racks number each worker's zone and rack, because a start
	// looks at every worker and string maps dominate its cost.
	zones numbering
	racks numbering
	free  []fleet.Resources
	// reserve is the part of each worker's free room kept for urgent work.
	reserve []fleet.Resources
	// holds keep workers clear for blocked work in this decision.
	holds []hold
	total fleet.Resources
	// largest are workers' capacities that no other capacity covers.
	largest []fleet.Resources
	spread  map[string]*spread
	// full are sizes that found no room. Room only shrinks within a
	// decision, so that a size covering one of them need not be tried.
	full map[fullKey][]fleet.Resources
}

type fullKey struct {
	class fleet.QueueClass
	team  string
}

// hold keeps a worker for one team's blocked work of a class. Work of a more
// urgent class may still use it.
type hold struct {
	team  string
	class fleet.QueueClass
}

// spread counts a queue's jobs by zone and rack.
type spread struct {
	all   int
	zones []int
	racks []int
}

// numbering numbers names in order of appearance.
type numbering struct {
	of    []int
	count int
}

func number(workers []Worker, name func(*Worker) string) numbering {
	n := numbering{of: make([]int, len(workers))}
	known := make(map[string]int)
	for i := range workers {
		key := name(&workers[i])
		id, ok := known[key]
		if !ok {
			id = len(known)
			known[key] = id
		}
		n.of[i] = id
	}
	n.count = len(known)
	return n
}

func newRoom(workers []Worker, running []Running) *room {
	r := &room{
		workers: workers,
		index:   make(map[string]int, len(workers)),
		free:    make([]fleet.Resources, len(workers)),
		holds:   make([]hold, len(workers)),
		spread:  make(map[string]*spread),
		full:    make(map[fullKey][]fleet.Resources),
	}
	for i := range workers {
		r.index[workers[i].Name] = i
		r.free[i] = workers[i].Capacity
		r.total = r.total.Add(workers[i].Capacity)
		r.addLargest(workers[i].Capacity)
	}
	r.reserve = reserves(workers, r.total)
	r.zones = number(workers, func(w *Worker) string { return string(w.Zone) })
	r.racks = number(workers, func(w *Worker) string { return w.Rack })
	for i := range running {
		if w, ok := r.index[running[i].Worker]; ok {
			r.take(w, running[i].Job, running[i].occupies())
		}
	}
	return r
}

// occupies returns the room that a running job takes.
func (r *Running) occupies() fleet.Resources {
	size := r.Size
	if r.ThrottlePercent > 0 {
		size.MilliCPU = size.MilliCPU * int64(r.ThrottlePercent) / 100
	}
	return size
}

func (r *room) addLargest(c fleet.Resources) {
	for _, l := range r.largest {
		if c.Fits(l) {
			return
		}
	}
	r.largest = append(r.largest, c)
}

// everFits reports whether an empty worker of the pool could hold size. A
// pool without workers decides nothing.
func (r *room) everFits(size fleet.Resources) bool {
	if len(r.largest) == 0 {
		return true
	}
	return slices.ContainsFunc(r.largest, size.Fits)
}

// reserves concentrates the reserved part on the first open workers, because
// crumbs on every worker would hold no job.
func reserves(workers []Worker, total fleet.Resources) []fleet.Resources {
	out := make([]fleet.Resources, len(workers))
	left := scale(total, reservedPart)
	first := true
	for i := range workers {
		if workers[i].Closed != "" {
			continue
		}
		want := maxOf(left, fleet.Resources{})
		if first {
			want = maxOf(want, slotOf(workers[i]))
			first = false
		}
		out[i] = minOf(want, workers[i].Capacity)
		left = left.Sub(out[i])
		if left.Fits(fleet.Resources{}) {
			break
		}
	}
	return out
}

func slotOf(w Worker) fleet.Resources {
	slots := w.Slots
	if slots <= 0 {
		slots = DefaultSlots
	}
	return scale(w.Capacity, 1/float64(slots))
}

func scale(r fleet.Resources, by float64) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     int64(math.Ceil(float64(r.MilliCPU) * by)),
		MemoryBytes:  int64(math.Ceil(float64(r.MemoryBytes) * by)),
		Accelerators: int64(math.Ceil(float64(r.Accelerators) * by)),
	}
}

func maxOf(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     max(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  max(a.MemoryBytes, b.MemoryBytes),
		Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func minOf(a, b fleet.Resources) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryBytes:  min(a.MemoryBytes, b.MemoryBytes),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// take occupies room on a worker; urgent work uses the reserve up first, so
// that the rest of the worker stays usable for others.
func (r *room) take(w int, j Job, size fleet.Resources) {
	r.free[w] = r.free[w].Sub(size)
	if j.Class == fleet.ClassUrgent {
		r.reserve[w] = maxOf(r.reserve[w].Sub(size), fleet.Resources{})
	}
	s := r.spreadOf(j.Queue)
	s.all++
	s.zones[r.zones.of[w]]++
	s.racks[r.racks.of[w]]++
}

func (r *room) spreadOf(queue string) *spread {
	s := r.spread[queue]
	if s == nil {
		s = &spread{zones: make([]int, r.zones.count), racks: make([]int, r.racks.count)}
		r.spread[queue] = s
	}
	return s
}

// choose returns the best worker for j, or -1. Urgent work takes reserved
// room only when no other is free.
func (r *room) choose(j Job) (worker int, reserved bool) {
	if r.knownFull(j) {
		return -1, false
	}
	avoid := r.avoided(j)
	if w := r.best(j, avoid, false); w >= 0 {
		return w, false
	}
	if j.Class == fleet.ClassUrgent {
		if w := r.best(j, avoid, true); w >= 0 {
			return w, true
		}
	}
	if len(avoid) == 0 {
		key := fullKey{j.Class, j.Team}
		r.full[key] = append(r.full[key], j.Size)
	}
	return -1, false
}

func (r *room) knownFull(j Job) bool {
	return slices.ContainsFunc(r.full[fullKey{j.Class, j.Team}], func(full fleet.Resources) bool { return full.Fits(j.Size) })
}

// avoided returns the workers that j must not use, unless nothing would
// remain that could ever hold it.
func (r *room) avoided(j Job) []string {
	if len(j.Avoid) == 0 {
		return nil
	}
	for i := range r.workers {
		w := &r.workers[i]
		if w.Closed == "" && j.Size.Fits(w.Capacity) && !slices.Contains(j.Avoid, w.Name) {
			return j.Avoid
		}
	}
	return nil
}

func (r *room) best(j Job, avoid []string, useReserve bool) int {
	best, bestCost := -1, math.Inf(1)
	s := r.spreadOf(j.Queue)
	for i := range r.workers {
		free := r.free[i]
		if !useReserve {
			free = free.Sub(r.reserve[i])
		}
		if !j.Size.Fits(free) || !r.open(i, j, avoid) {
			continue
		}
		if cost := r.cost(i, j, s); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (r *room) open(i int, j Job, avoid []string) bool {
	w := &r.workers[i]
	if w.Closed != "" {
		return false
	}
	if h := r.holds[i]; h.class != "" && h.team != j.Team && !moreUrgent(j.Class, h.class) {
		return false
	}
	return len(avoid) == 0 || !slices.Contains(avoid, w.Name)
}

// cost is the part of the worker that stays free (best fit) plus the
// concentration of the queue's jobs in the worker's zone and rack.
func (r *room) cost(i int, j Job, s *spread) float64 {
	cost := r.free[i].Sub(j.Size).DominantShare(r.workers[i].Capacity)
	if s.all == 0 {
		return cost
	}
	cost += zoneWeight * float64(s.zones[r.zones.of[i]]) / float64(s.all)
	return cost + rackWeight*float64(s.racks[r.racks.of[i]])/float64(s.all)
}

// holdFor keeps the suitable worker with the most free room clear of less
// entitled work, so that room for j gathers there. It reports whether there is such a worker.
func (r *room) holdFor(j Job) bool {
	best, most := -1, math.Inf(-1)
	for i := range r.workers {
		w := &r.workers[i]
		if w.Closed != "" || r.holds[i].class != "" || !j.Size.Fits(w.Capacity) {
			continue
		}
		usable := r.free[i]
		if j.Class != fleet.ClassUrgent {
			usable = usable.Sub(r.reserve[i])
		}
		if free := usable.DominantShare(w.Capacity); free > most {
			best, most = i, free
		}
	}
	if best < 0 {
		return false
	}
	r.holds[best] = hold{j.Team, j.Class}
	return true
}

func moreUrgent(a, b fleet.QueueClass) bool {
	return slices.Index(classes, a) < slices.Index(classes, b)
}
