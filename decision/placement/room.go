package placement

import (
	"math"
	"slices"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// urgentReserveFraction is the part of a pool's capacity that only urgent work uses.
const urgentReserveFraction = 0.05

// Weights of the spread over zones and racks against the fit. A zone that
// holds all jobs of a queue costs half of an empty worker, a rack a quarter.
const (
	zoneWeight = 0.5
	rackWeight = 0.25
)

// poolState is the known free room of each worker.
type poolState struct {
	workers []Worker
	index   map[string]int
	// zones and racks number each worker's zone and rack, because a start
	// looks at every worker and string maps dominate its cost.
	zones numbering
	racks numbering
	free  []fleet.Resources
	// urgentReserve is the part of each worker's free room kept for urgent work.
	urgentReserve []fleet.Resources
	// holds keep workers clear for blocked work in this decision.
	holds []hold
	total fleet.Resources
	// largest are workers' capacities that no other capacity covers.
	largest []fleet.Resources
	spreads map[string]*spread
	// unplaceable are sizes that found no room. Room only shrinks within a
	// decision, so that a size covering one of them need not be tried.
	unplaceable map[classTeam][]fleet.Resources
}

type classTeam struct {
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
	total int
	zones []int
	racks []int
}

// numbering numbers names in order of appearance.
type numbering struct {
	ids   []int
	count int
}

func assignIDs(workers []Worker, name func(*Worker) string) numbering {
	n := numbering{ids: make([]int, len(workers))}
	known := make(map[string]int)
	for i := range workers {
		key := name(&workers[i])
		id, ok := known[key]
		if !ok {
			id = len(known)
			known[key] = id
		}
		n.ids[i] = id
	}
	n.count = len(known)
	return n
}

func newPoolState(workers []Worker, running []Running) *poolState {
	r := &poolState{
		workers:     workers,
		index:       make(map[string]int, len(workers)),
		free:        make([]fleet.Resources, len(workers)),
		holds:       make([]hold, len(workers)),
		spreads:     make(map[string]*spread),
		unplaceable: make(map[classTeam][]fleet.Resources),
	}
	for i := range workers {
		r.index[workers[i].Name] = i
		r.free[i] = workers[i].Capacity
		r.total = r.total.Add(workers[i].Capacity)
		r.addLargest(workers[i].Capacity)
	}
	r.urgentReserve = urgentReserves(workers, r.total)
	r.zones = assignIDs(workers, func(w *Worker) string { return string(w.Zone) })
	r.racks = assignIDs(workers, func(w *Worker) string { return w.Rack })
	for i := range running {
		if w, ok := r.index[running[i].Worker]; ok {
			r.allocate(w, running[i].Job, running[i].allocation())
		}
	}
	return r
}

// allocation returns the room that a running job takes.
func (r *Running) allocation() fleet.Resources {
	size := r.Size
	if r.ThrottlePercent > 0 {
		size.MilliCPU = size.MilliCPU * int64(r.ThrottlePercent) / 100
	}
	return size
}

func (r *poolState) addLargest(c fleet.Resources) {
	for _, l := range r.largest {
		if c.Fits(l) {
			return
		}
	}
	r.largest = append(r.largest, c)
}

// fitsEmptyWorker reports whether an empty worker of the pool could hold size. A
// pool without workers decides nothing.
func (r *poolState) fitsEmptyWorker(size fleet.Resources) bool {
	if len(r.largest) == 0 {
		return true
	}
	return slices.ContainsFunc(r.largest, size.Fits)
}

// urgentReserves concentrates the reserved part on the first open workers, because
// crumbs on every worker would hold no job.
func urgentReserves(workers []Worker, total fleet.Resources) []fleet.Resources {
	out := make([]fleet.Resources, len(workers))
	left := scale(total, urgentReserveFraction)
	first := true
	for i := range workers {
		if workers[i].ClosedReason != "" {
			continue
		}
		want := maxOf(left, fleet.Resources{})
		if first {
			want = maxOf(want, slotSize(workers[i]))
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

func slotSize(w Worker) fleet.Resources {
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

// allocate occupies room on a worker; urgent work uses the reserve up first, so
// that the rest of the worker stays usable for others.
func (r *poolState) allocate(w int, j Job, size fleet.Resources) {
	r.free[w] = r.free[w].Sub(size)
	if j.Class == fleet.ClassUrgent {
		r.urgentReserve[w] = maxOf(r.urgentReserve[w].Sub(size), fleet.Resources{})
	}
	s := r.spreadOf(j.Queue)
	s.total++
	s.zones[r.zones.ids[w]]++
	s.racks[r.racks.ids[w]]++
}

func (r *poolState) spreadOf(queue string) *spread {
	s := r.spreads[queue]
	if s == nil {
		s = &spread{zones: make([]int, r.zones.count), racks: make([]int, r.racks.count)}
		r.spreads[queue] = s
	}
	return s
}

// chooseWorker returns the best worker for j, or -1. Urgent work takes reserved
// room only when no other is free.
func (r *poolState) chooseWorker(j Job) (worker int, reserved bool) {
	if r.knownUnplaceable(j) {
		return -1, false
	}
	avoid := r.avoided(j)
	if w := r.bestWorker(j, avoid, false); w >= 0 {
		return w, false
	}
	if j.Class == fleet.ClassUrgent {
		if w := r.bestWorker(j, avoid, true); w >= 0 {
			return w, true
		}
	}
	if len(avoid) == 0 {
		key := classTeam{j.Class, j.Team}
		r.unplaceable[key] = append(r.unplaceable[key], j.Size)
	}
	return -1, false
}

func (r *poolState) knownUnplaceable(j Job) bool {
	return slices.ContainsFunc(r.unplaceable[classTeam{j.Class, j.Team}], func(full fleet.Resources) bool { return full.Fits(j.Size) })
}

// avoided returns the workers that j must not use, unless nothing would
// remain that could ever hold it.
func (r *poolState) avoided(j Job) []string {
	if len(j.Avoid) == 0 {
		return nil
	}
	for i := range r.workers {
		w := &r.workers[i]
		if w.ClosedReason == "" && j.Size.Fits(w.Capacity) && !slices.Contains(j.Avoid, w.Name) {
			return j.Avoid
		}
	}
	return nil
}

func (r *poolState) bestWorker(j Job, avoid []string, useReserve bool) int {
	best, bestCost := -1, math.Inf(1)
	s := r.spreadOf(j.Queue)
	for i := range r.workers {
		free := r.free[i]
		if !useReserve {
			free = free.Sub(r.urgentReserve[i])
		}
		if !j.Size.Fits(free) || !r.accepts(i, j, avoid) {
			continue
		}
		if cost := r.cost(i, j, s); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (r *poolState) accepts(i int, j Job, avoid []string) bool {
	w := &r.workers[i]
	if w.ClosedReason != "" {
		return false
	}
	if h := r.holds[i]; h.class != "" && h.team != j.Team && !moreUrgent(j.Class, h.class) {
		return false
	}
	return len(avoid) == 0 || !slices.Contains(avoid, w.Name)
}

// cost is the part of the worker that stays free (best fit) plus the
// concentration of the queue's jobs in the worker's zone and rack.
func (r *poolState) cost(i int, j Job, s *spread) float64 {
	cost := r.free[i].Sub(j.Size).DominantShare(r.workers[i].Capacity)
	if s.total == 0 {
		return cost
	}
	cost += zoneWeight * float64(s.zones[r.zones.ids[i]]) / float64(s.total)
	return cost + rackWeight*float64(s.racks[r.racks.ids[i]])/float64(s.total)
}

// holdWorkerFor keeps the suitable worker with the most free room clear of less
// entitled work, so that room for j gathers there. It reports whether there is such a worker.
func (r *poolState) holdWorkerFor(j Job) bool {
	best, most := -1, math.Inf(-1)
	for i := range r.workers {
		w := &r.workers[i]
		if w.ClosedReason != "" || r.holds[i].class != "" || !j.Size.Fits(w.Capacity) {
			continue
		}
		usable := r.free[i]
		if j.Class != fleet.ClassUrgent {
			usable = usable.Sub(r.urgentReserve[i])
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
