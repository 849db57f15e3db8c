package placement

import (
	"cmp"
	"slices"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// maxYieldsFor bounds the urgent jobs for which work yields in one decision.
const maxYieldsFor = 16

// yieldFor chooses, for each blocked urgent job, the worker on which the
// least batch work has to yield. Idempotent jobs are checkpointed; others are
// only throttled, because they must not be started a second time.
func yieldFor(r *room, running []Running, blocked []Job) []Yield {
	if len(blocked) == 0 {
		return nil
	}
	byWorker := make(map[int][]*Running)
	for i := range running {
		if w, ok := r.index[running[i].Worker]; ok && running[i].Class == fleet.ClassBatch {
			byWorker[w] = append(byWorker[w], &running[i])
		}
	}
	var out []Yield
	for _, j := range blocked[:min(len(blocked), maxYieldsFor)] {
		w, yields := cheapest(r, byWorker, j)
		if w < 0 {
			continue
		}
		out = append(out, yields...)
		// The worker is promised to this job and serves no second one.
		delete(byWorker, w)
		r.holds[w] = hold{j.Team, j.Class}
	}
	return out
}

func cheapest(r *room, byWorker map[int][]*Running, j Job) (int, []Yield) {
	best, fewest := -1, []Yield(nil)
	for i := range r.workers {
		if len(byWorker[i]) == 0 || !r.open(i, j, j.Avoid) {
			continue
		}
		yields, ok := enough(r.free[i], byWorker[i], j)
		if ok && (best < 0 || len(yields) < len(fewest)) {
			best, fewest = i, yields
		}
	}
	return best, fewest
}

// enough returns the yields after which j fits. Room of jobs that already
// yield counts, and no further one is asked when that is enough.
func enough(free fleet.Resources, batch []*Running, j Job) ([]Yield, bool) {
	order := slices.Clone(batch)
	slices.SortFunc(order, func(a, b *Running) int {
		return cmp.Or(cmp.Compare(b.Size.MilliCPU, a.Size.MilliCPU), cmp.Compare(a.ID, b.ID))
	})
	for _, b := range order {
		if b.Yielding {
			free = free.Add(b.occupies())
		}
	}
	var yields []Yield
	for _, b := range order {
		if j.Size.Fits(free) {
			break
		}
		kind, gain := gainOf(b)
		if gain == (fleet.Resources{}) {
			continue
		}
		free = free.Add(gain)
		yields = append(yields, Yield{Job: b.ID, Worker: b.Worker, Kind: kind, For: j.ID})
	}
	return yields, j.Size.Fits(free)
}

func gainOf(b *Running) (YieldKind, fleet.Resources) {
	switch {
	case b.Yielding:
		return "", fleet.Resources{}
	case b.Idempotent:
		return YieldCheckpoint, b.occupies()
	case b.ThrottlePercent == 0:
		throttled := *b
		throttled.ThrottlePercent = ThrottledPercent
		return YieldThrottle, b.Size.Sub(throttled.occupies())
	default:
		return "", fleet.Resources{}
	}
}

// restore gives throttled jobs their processors back where there is room
// outside the reserve.
func restore(r *room, running []Running) []Yield {
	var out []Yield
	for i := range running {
		b := &running[i]
		w, ok := r.index[b.Worker]
		if !ok || b.ThrottlePercent == 0 {
			continue
		}
		missing := b.Size.Sub(b.occupies())
		if !missing.Fits(r.free[w].Sub(r.reserve[w])) {
			continue
		}
		r.free[w] = r.free[w].Sub(missing)
		out = append(out, Yield{Job: b.ID, Worker: b.Worker, Kind: YieldRestore})
	}
	return out
}
