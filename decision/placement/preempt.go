package placement

import (
	"cmp"
	"slices"

	"fuchsiafront.example/fuchsiafront/fleet"
)

// maxPreemptingJobs bounds the urgent jobs for which work is preempted in one
// decision.
const maxPreemptingJobs = 16

// preemptFor chooses, for each unplaced urgent job, the worker with the fewest
// preemptions. Idempotent batch jobs are checkpointed; others are only
// throttled, because they must not be started a second time.
func preemptFor(p *poolState, running []Running, unplaced []Job) []Preemption {
	if len(unplaced) == 0 {
		return nil
	}
	byWorker := make(map[int][]*Running)
	for i := range running {
		if w, ok := p.index[running[i].Worker]; ok && running[i].Class == fleet.ClassBatch {
			byWorker[w] = append(byWorker[w], &running[i])
		}
	}
	var out []Preemption
	for _, j := range unplaced[:min(len(unplaced), maxPreemptingJobs)] {
		w, preemptions := fewestPreemptions(p, byWorker, j)
		if w < 0 {
			continue
		}
		out = append(out, preemptions...)
		// The worker is held for this job and serves no second one.
		delete(byWorker, w)
		p.holds[w] = hold{j.Team, j.Class}
	}
	return out
}

func fewestPreemptions(p *poolState, byWorker map[int][]*Running, j Job) (int, []Preemption) {
	best, fewest := -1, []Preemption(nil)
	for i := range p.workers {
		if len(byWorker[i]) == 0 || !p.accepts(i, j, j.Avoid) {
			continue
		}
		preemptions, ok := preemptionsFor(p.free[i], byWorker[i], j)
		if ok && (best < 0 || len(preemptions) < len(fewest)) {
			best, fewest = i, preemptions
		}
	}
	return best, fewest
}

// preemptionsFor returns the preemptions after which j fits. It counts the
// capacity of jobs with a pending preemption as free, and preempts no others if
// that is enough.
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
	var preemptions []Preemption
	for _, b := range order {
		if j.Size.Fits(free) {
			break
		}
		kind, freed := freedBy(b)
		if freed == (fleet.Resources{}) {
			continue
		}
		free = free.Add(freed)
		preemptions = append(preemptions, Preemption{Job: b.ID, Worker: b.Worker, Kind: kind, For: j.ID})
	}
	return preemptions, j.Size.Fits(free)
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

// endThrottles gives throttled jobs their processors back where enough capacity
// outside the urgent reserve is free.
func endThrottles(p *poolState, running []Running) []Preemption {
	var out []Preemption
	for i := range running {
		b := &running[i]
		w, ok := p.index[b.Worker]
		if !ok || b.ThrottlePercent == 0 {
			continue
		}
		missing := b.Size.Sub(b.allocation())
		if !missing.Fits(p.free[w].Sub(p.urgentReserve[w])) {
			continue
		}
		p.free[w] = p.free[w].Sub(missing)
		out = append(out, Preemption{Job: b.ID, Worker: b.Worker, Kind: EndThrottle})
	}
	return out
}
