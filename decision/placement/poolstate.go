package placement

import (
	"math"
	"slices"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// urgentReserveFraction is the fraction of a pool's capacity that only urgent
// work uses.
const urgentReserveFraction = 0.05

// Weights of the spread over zones and racks relative to best fit. A zone that
// holds all jobs of a queue costs as much as half of an empty worker, a rack as
// much as a quarter.
const (
	zoneWeight = 0.5
	rackWeight = 0.25
)

// poolState tracks the free capacity of each worker during one decision.
type poolState struct {
	workers []Worker
	index   map[string]int
	// zones and racks number each worker's zone and rack, because a start
	// examines every worker and maps keyed by string would dominate its cost.
	zones numbering
	racks numbering
	free  []fleet.Resources
	// urgentReserve is the part of each worker's free capacity kept for urgent
	// work.
	urgentReserve []fleet.Resources
	// holds has the hold on each worker in this decision, if there is one.
	holds []hold
	total fleet.Resources
	// largest includes each worker capacity that no other capacity covers.
	largest []fleet.Resources
	spreads map[string]*spread
	// unplaceable lists sizes that fit on no worker. Free capacity only shrinks
	// within a decision, so a size that covers one of them need not be tried.
	unplaceable map[classTeam][]fleet.Resources
}

type classTeam struct {
	class fleet.QueueClass
	team  string
}

// hold reserves a worker for one team's unplaced work of a class. Work of a
// more urgent class may still use it.
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

// numbering numbers names in order of appearance; ids has one per worker.
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
	p := &poolState{
		workers:     workers,
		index:       make(map[string]int, len(workers)),
		free:        make([]fleet.Resources, len(workers)),
		holds:       make([]hold, len(workers)),
		spreads:     make(map[string]*spread),
		unplaceable: make(map[classTeam][]fleet.Resources),
	}
	for i := range workers {
		p.index[workers[i].Name] = i
		p.free[i] = workers[i].Capacity
		p.total = p.total.Add(workers[i].Capacity)
		p.addLargest(workers[i].Capacity)
	}
	p.urgentReserve = urgentReserves(workers, p.total)
	p.zones = assignIDs(workers, func(w *Worker) string { return string(w.Zone) })
	p.racks = assignIDs(workers, func(w *Worker) string { return w.Rack })
	for i := range running {
		if w, ok := p.index[running[i].Worker]; ok {
			p.allocate(w, running[i].Job, running[i].allocation())
		}
	}
	return p
}

// allocation returns the capacity that a running job occupies.
func (r *Running) allocation() fleet.Resources {
	size := r.Size
	if r.ThrottlePercent > 0 {
		size.MilliCPU = size.MilliCPU * int64(r.ThrottlePercent) / 100
	}
	return size
}

func (p *poolState) addLargest(c fleet.Resources) {
	for _, l := range p.largest {
		if c.Fits(l) {
			return
		}
	}
	p.largest = append(p.largest, c)
}

// fitsEmptyWorker reports whether an empty worker of the pool could hold size.
// It reports true for a pool without workers.
func (p *poolState) fitsEmptyWorker(size fleet.Resources) bool {
	if len(p.largest) == 0 {
		return true
	}
	return slices.ContainsFunc(p.largest, size.Fits)
}

// urgentReserves returns the reserve of each worker. The reserve is concentrated
// on the first open workers, because a small part of every worker would be too
// small for any job.
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

func scale(r fleet.Resources, factor float64) fleet.Resources {
	return fleet.Resources{
		MilliCPU:     int64(math.Ceil(float64(r.MilliCPU) * factor)),
		MemoryBytes:  int64(math.Ceil(float64(r.MemoryBytes) * factor)),
		Accelerators: int64(math.Ceil(float64(r.Accelerators) * factor)),
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

// allocate takes capacity of a worker; urgent work uses up the reserve first, so
// that the rest of the worker stays usable for other work.
func (p *poolState) allocate(w int, j Job, size fleet.Resources) {
	p.free[w] = p.free[w].Sub(size)
	if j.Class == fleet.ClassUrgent {
		p.urgentReserve[w] = maxOf(p.urgentReserve[w].Sub(size), fleet.Resources{})
	}
	s := p.spreadOf(j.Queue)
	s.total++
	s.zones[p.zones.ids[w]]++
	s.racks[p.racks.ids[w]]++
}

func (p *poolState) spreadOf(queue string) *spread {
	s := p.spreads[queue]
	if s == nil {
		s = &spread{zones: make([]int, p.zones.count), racks: make([]int, p.racks.count)}
		p.spreads[queue] = s
	}
	return s
}

// chooseWorker returns the index of the best worker for j, or -1. Urgent work
// takes reserved capacity only when no other is free.
func (p *poolState) chooseWorker(j Job) (worker int, fromReserve bool) {
	if p.knownUnplaceable(j) {
		return -1, false
	}
	avoid := p.avoided(j)
	if w := p.bestWorker(j, avoid, false); w >= 0 {
		return w, false
	}
	if j.Class == fleet.ClassUrgent {
		if w := p.bestWorker(j, avoid, true); w >= 0 {
			return w, true
		}
	}
	if len(avoid) == 0 {
		key := classTeam{j.Class, j.Team}
		p.unplaceable[key] = append(p.unplaceable[key], j.Size)
	}
	return -1, false
}

func (p *poolState) knownUnplaceable(j Job) bool {
	return slices.ContainsFunc(p.unplaceable[classTeam{j.Class, j.Team}], func(size fleet.Resources) bool { return size.Fits(j.Size) })
}

// avoided returns the workers that j must not use: those in j.Avoid, or none if
// no other open worker could ever hold it.
func (p *poolState) avoided(j Job) []string {
	if len(j.Avoid) == 0 {
		return nil
	}
	for i := range p.workers {
		w := &p.workers[i]
		if w.ClosedReason == "" && j.Size.Fits(w.Capacity) && !slices.Contains(j.Avoid, w.Name) {
			return j.Avoid
		}
	}
	return nil
}

func (p *poolState) bestWorker(j Job, avoid []string, useReserve bool) int {
	best, bestCost := -1, math.Inf(1)
	s := p.spreadOf(j.Queue)
	for i := range p.workers {
		free := p.free[i]
		if !useReserve {
			free = free.Sub(p.urgentReserve[i])
		}
		if !j.Size.Fits(free) || !p.accepts(i, j, avoid) {
			continue
		}
		if cost := p.cost(i, j, s); cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

func (p *poolState) accepts(i int, j Job, avoid []string) bool {
	w := &p.workers[i]
	if w.ClosedReason != "" {
		return false
	}
	if h := p.holds[i]; h.class != "" && h.team != j.Team && !moreUrgent(j.Class, h.class) {
		return false
	}
	return len(avoid) == 0 || !slices.Contains(avoid, w.Name)
}

// cost returns the fraction of the worker that would stay free (best fit) plus
// the weighted concentration of the queue's jobs in the worker's zone and rack.
func (p *poolState) cost(i int, j Job, s *spread) float64 {
	cost := p.free[i].Sub(j.Size).DominantShare(p.workers[i].Capacity)
	if s.total == 0 {
		return cost
	}
	cost += zoneWeight * float64(s.zones[p.zones.ids[i]]) / float64(s.total)
	return cost + rackWeight*float64(s.racks[p.racks.ids[i]])/float64(s.total)
}

// holdWorkerFor holds the suitable worker with the most free capacity for j, so
// that capacity freed there accumulates until j fits. It reports whether there
// is such a worker.
func (p *poolState) holdWorkerFor(j Job) bool {
	best, most := -1, math.Inf(-1)
	for i := range p.workers {
		w := &p.workers[i]
		if w.ClosedReason != "" || p.holds[i].class != "" || !j.Size.Fits(w.Capacity) {
			continue
		}
		usable := p.free[i]
		if j.Class != fleet.ClassUrgent {
			usable = usable.Sub(p.urgentReserve[i])
		}
		if free := usable.DominantShare(w.Capacity); free > most {
			best, most = i, free
		}
	}
	if best < 0 {
		return false
	}
	p.holds[best] = hold{j.Team, j.Class}
	return true
}

func moreUrgent(a, b fleet.QueueClass) bool {
	return slices.Index(classes, a) < slices.Index(classes, b)
}
