package placement

import (
	"cmp"
	"slices"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// maxPreemptingJobs bounds the urgent jobs for which work yields in one decision.
const maxPreemptingJobs = 16

// preemptFor chooses, for each blocked urgent job, the worker on which the
// least batch work has to yield. Idempotent jobs are checkpointed; others are
// only throttled, because they must not be started a second time.
func preemptFor(r *poolState, running []Running, blocked []Job) []Preemption {
	if len(blocked) == 0 {
		return nil
	}
	byWorker := make(map[int][]*Running)
	for i := range running {
		if w, ok := r.index[running[i].Worker]; ok && running[i].Class == fleet.ClassBatch {
			byWorker[w] = append(byWorker[w], &running[i])
		}
	}
	var out []Preemption
	for _, j := range blocked[:min(len(blocked), maxPreemptingJobs)] {
		w, yields := fewestPreemptions(r, byWorker, j)
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

func fewestPreemptions(r *poolState, byWorker map[int][]*Running, j Job) (int, []Preemption) {
	best, fewest := -1, []Preemption(nil)
	for i := range r.workers {
		if len(byWorker[i]) == 0 || !r.accepts(i, j, j.Avoid) {
			continue
		}
		yields, ok := preemptionsFor(r.free[i], byWorker[i], j)
		if ok && (best < 0 || len(yields) < len(fewest)) {
			best, fewest = i, yields
		}
	}
	return best, fewest
}

// preemptionsFor returns the yields after which j fits. Room of jobs that already
// yield counts, and no further one is asked when that is enough.
func preemptionsFor(free fleet.Resources, batch []*Running, j Job) ([]Preemption, bool) {
	order := slices.Clone(batch)
	slices.SortFunc(order, func(a, b *Running) int {
		return cmp.Or(cmp.Compare(b.Size.MilliCPU, a.Size.MilliCPU), cmp.Compare(a.ID, b.ID))
	})
	for _, b := range order {
		if b.PreemptionPending {
			free = free.Add(b.allocation())
		}
	}
	var yields []Preemption
	for _, b := range order {
		if j.Size.Fits(free) {
			break
		}
		kind, gain := freedBy(b)
		if gain == (fleet.Resources{}) {
			continue
		}
		free = free.Add(gain)
		yields = append(yields, Preemption{Job: b.ID, Worker: b.Worker, Kind: kind, For: j.ID})
	}
	return yields, j.Size.Fits(free)
}

func freedBy(b *Running) (PreemptionKind, fleet.Resources) {
	switch {
	case b.PreemptionPending:
		return "", fleet.Resources{}
	case b.Idempotent:
		return PreemptByCheckpoint, b.allocation()
	case b.ThrottlePercent == 0:
		throttled := *b
		throttled.ThrottlePercent = ThrottledPercent
		return PreemptByThrottle, b.Size.Sub(throttled.allocation())
	default:
		return "", fleet.Resources{}
	}
}

// endThrottles gives throttled jobs their processors back where there is room
// outside the reserve.
func endThrottles(r *poolState, running []Running) []Preemption {
	var out []Preemption
	for i := range running {
		b := &running[i]
		w, ok := r.index[b.Worker]
		if !ok || b.ThrottlePercent == 0 {
			continue
		}
		missing := b.Size.Sub(b.allocation())
		if !missing.Fits(r.free[w].Sub(r.urgentReserve[w])) {
			continue
		}
		r.free[w] = r.free[w].Sub(missing)
		out = append(out, Preemption{Job: b.ID, Worker: b.Worker, Kind: EndThrottle})
	}
	return out
}
